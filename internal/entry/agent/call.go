package agent

import (
	"context"
	"errors"
	"io"
	"time"

	"bramleydeal/internal/settings/tree"
	"bramleydeal/internal/wire/dial"
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
type NotSent struct {
	Detail string
	// Ended is true when nobody listens at the agent's address: its process has
	// ended, and what it held is gone.
	Ended bool
}

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
	// ready are events that have come and were not taken yet.
	ready []Event
}

// Execute sends a request to an agent. Failures come as the call's first event.
func (b *Balancer) Execute(ctx context.Context, scope tree.Scope, to fleet.Instance, r *peer.ExecuteRequest) *Call {
	connection, err := b.pool.Ready(ctx, to.Address, connectTimeout)
	if err != nil {
		return &Call{balancer: b, failed: NotSent{Detail: err.Error(), Ended: errors.Is(err, dial.ErrRefused)}, cancel: func() {}}
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
	for len(c.ready) == 0 {
		part, err := c.stream.Recv()
		switch {
		case errors.Is(err, io.EOF):
			return Lost{"the agent ended the call without an ending"}
		case err != nil:
			return Lost{err.Error()}
		}
		c.balancer.Reported(part.Load)
		c.ready = eventsOf(part)
	}
	next := c.ready[0]
	c.ready = c.ready[1:]
	return next
}

// eventsOf returns the events of one part, in their order.
func eventsOf(part *peer.Part) []Event {
	var out []Event
	if part.Head != nil {
		out = append(out, Head{Status: int(part.Head.Status), Headers: part.Head.Headers})
	}
	if d := part.Data; d != nil {
		out = append(out, Data{Position: d.Position, Count: uint64(d.Count), Content: d.Content})
	}
	switch {
	case part.Refusal != nil:
		out = append(out, Refused{part.Refusal})
	case part.End != nil && part.End.Complete:
		out = append(out, Complete{})
	case part.End != nil:
		out = append(out, Broken{part.End.Detail})
	}
	return out
}

// Close ends the call.
func (c *Call) Close() { c.cancel() }

// Seal makes an agent refuse all earlier copies of a request and tells what is
// known of it: not-run is proven, anything else is unknown.
func (b *Balancer) Seal(ctx context.Context, to fleet.Instance, r *peer.SealRequest) answer.RunStatus {
	ctx, cancel := context.WithTimeout(ctx, sealTimeout)
	defer cancel()
	connection, err := b.pool.Ready(ctx, to.Address, sealTimeout)
	if err != nil {
		return answer.RunUnknown
	}
	reply, err := peer.NewAgentClient(connection).Seal(ctx, r)
	if err != nil {
		return answer.RunUnknown
	}
	return answer.RunStatus(reply.State)
}
