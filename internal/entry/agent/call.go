package agent

import (
	"context"
	"errors"
	"io"
	"time"

	"bramleydeal/internal/settings/tree"
	"bramleydeal/internal/wire/peer"
	"bramleydeal/internal/world/answer"
	"bramleydeal/internal/world/fleet"
)

// Times of a call.
const (
	// connectTimeout is how long a call waits for a connection before it gives
	// up without having sent anything.
	connectTimeout = 400 * time.Millisecond
	// silenceCheck is how often a call looks whether its agent has gone silent.
	silenceCheck = 250 * time.Millisecond
	sealTimeout  = 300 * time.Millisecond
)

// Event is what comes next in an answer.
type Event interface{ event() }

// Head begins an answer.
type Head struct {
	Status  int
	Headers []*peer.Header
}

// Data is a run of events or bytes.
type Data struct {
	Position, Count uint64
	Content         []byte
}

// Complete ends a whole answer.
type Complete struct{}

// Broken ends an answer whose upstream broke off; the agent is alive.
type Broken struct{ Detail string }

// Refused says that the agent did not run this attempt.
type Refused struct{ Refusal *peer.Refusal }

// NotSent says that nothing reached the agent.
type NotSent struct{ Detail string }

// Lost says that the connection to the agent failed, or that it went silent.
// The request may have run.
type Lost struct{ Detail string }

func (Head) event()     {}
func (Data) event()     {}
func (Complete) event() {}
func (Broken) event()   {}
func (Refused) event()  {}
func (NotSent) event()  {}
func (Lost) event()     {}

// Call is one request under way at one agent. It must be closed.
type Call struct {
	balancer *Balancer
	stream   peer.Agent_ExecuteClient
	cancel   context.CancelFunc
	failed   Event
}

// Execute sends a request to an agent. Failures come as the call's first event.
func (b *Balancer) Execute(ctx context.Context, scope tree.Scope, to fleet.Instance, r *peer.ExecuteRequest) *Call {
	connection, err := b.pool.Ready(ctx, to.Address, connectTimeout)
	if err != nil {
		return &Call{balancer: b, failed: NotSent{err.Error()}, cancel: func() {}}
	}
	ctx, cancel := context.WithCancel(ctx)
	stream, err := peer.NewAgentClient(connection).Execute(ctx, r)
	if err != nil {
		return &Call{balancer: b, failed: Lost{err.Error()}, cancel: cancel}
	}
	go b.cancelWhenSilent(ctx, cancel, scope, to)
	return &Call{balancer: b, stream: stream, cancel: cancel}
}

// cancelWhenSilent ends a call whose agent has stopped reporting: a frozen
// agent keeps its connections open and would hold the call for ever.
func (b *Balancer) cancelWhenSilent(ctx context.Context, cancel context.CancelFunc, scope tree.Scope, to fleet.Instance) {
	ticker := time.NewTicker(silenceCheck)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ticker.C:
			// After a pause of this process itself, reports that came meanwhile
			// are still to be read.
			paused := time.Since(last) > 2*silenceCheck
			last = time.Now()
			if !paused && b.Silent(ctx, scope, to) {
				cancel()
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// Next waits for the next event. After an event other than Head and Data there
// is none.
func (c *Call) Next() Event {
	if c.failed != nil {
		return c.failed
	}
	part, err := c.stream.Recv()
	switch {
	case errors.Is(err, io.EOF):
		return Lost{"the agent ended the call without an ending"}
	case err != nil:
		return Lost{err.Error()}
	}
	c.balancer.Reported(part.Load)
	switch kind := part.Kind.(type) {
	case *peer.Part_Head:
		return Head{Status: int(kind.Head.Status), Headers: kind.Head.Headers}
	case *peer.Part_Data:
		return Data{Position: kind.Data.Position, Count: uint64(kind.Data.Count), Content: kind.Data.Content}
	case *peer.Part_End:
		if kind.End.Complete {
			return Complete{}
		}
		return Broken{kind.End.Detail}
	case *peer.Part_Refusal:
		return Refused{kind.Refusal}
	}
	return Lost{"the agent sent a part of no known kind"}
}

// Close ends the call.
func (c *Call) Close() { c.cancel() }

// Seal makes an agent refuse all earlier copies of a request and tells what is
// known of it: not-run is proven, anything else is unknown.
func (b *Balancer) Seal(ctx context.Context, to fleet.Instance, r *peer.SealRequest) answer.Run {
	ctx, cancel := context.WithTimeout(ctx, sealTimeout)
	defer cancel()
	connection, err := b.pool.Ready(ctx, to.Address, sealTimeout)
	if err != nil {
		return answer.Unknown
	}
	reply, err := peer.NewAgentClient(connection).Seal(ctx, r)
	if err != nil {
		return answer.Unknown
	}
	return answer.Run(reply.State)
}
