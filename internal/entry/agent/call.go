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

// Timing of a call.
const (
	// connectTimeout is how long a call waits for a connection before it fails
	// without having sent anything.
	connectTimeout = 400 * time.Millisecond
	// reportCheckInterval is how often a call checks whether its agent still
	// sends load reports.
	reportCheckInterval = 250 * time.Millisecond
	// sealTimeout bounds the connection and the call of a seal.
	sealTimeout = 300 * time.Millisecond
)

// Event is an event of a call: a part of the response, or the way in which the
// call ended.
type Event interface{ event() }

// Head is the head of a response.
type Head struct {
	Status  int
	Headers []*peer.Header
}

// Data is a part of a response's body: server-sent events, or bytes of another
// response. Position is that of the first event or byte, Count their number.
type Data struct {
	Position, Count uint64
	Content         []byte
}

// Complete means that the response is complete.
type Complete struct{}

// Interrupted means that the upstream failed before the end of its response.
// The agent is still running.
type Interrupted struct{ Detail string }

// Refused means that the agent did not run this attempt.
type Refused struct{ Refusal *peer.Refusal }

// NotSent means that nothing was sent to the agent.
type NotSent struct {
	Detail string
	// AgentExited is true if the connection was refused: the agent's process
	// has exited, and the responses and ledger that it held are lost.
	AgentExited bool
}

// Lost means that the connection to the agent failed, or that the agent stopped
// sending load reports. The request may have run.
type Lost struct{ Detail string }

func (Head) event()        {}
func (Data) event()        {}
func (Complete) event()    {}
func (Interrupted) event() {}
func (Refused) event()     {}
func (NotSent) event()     {}
func (Lost) event()        {}

// Call is a request in progress at one agent. It must be closed.
type Call struct {
	balancer *Balancer
	stream   peer.Agent_ExecuteClient
	cancel   context.CancelFunc
	failure  Event
	// pending are events that were received but not yet returned by Next.
	pending []Event
}

// Execute sends a request to an agent. A failure to send it is returned by the
// call's first Next.
func (b *Balancer) Execute(ctx context.Context, scope tree.Scope, to fleet.Instance, r *peer.ExecuteRequest) *Call {
	connection, err := b.pool.Ready(ctx, to.Address, connectTimeout)
	if err != nil {
		return &Call{balancer: b, failure: NotSent{Detail: err.Error(), AgentExited: errors.Is(err, dial.ErrRefused)}, cancel: func() {}}
	}
	ctx, cancel := context.WithCancel(ctx)
	stream, err := peer.NewAgentClient(connection).Execute(ctx, r)
	if err != nil {
		return &Call{balancer: b, failure: Lost{err.Error()}, cancel: cancel}
	}
	go b.cancelWhenReportOverdue(ctx, cancel, scope, to)
	return &Call{balancer: b, stream: stream, cancel: cancel}
}

// cancelWhenReportOverdue cancels a call if its agent stops sending load
// reports. An agent whose process has stalled keeps its connections open, so
// the call would otherwise never end.
func (b *Balancer) cancelWhenReportOverdue(ctx context.Context, cancel context.CancelFunc, scope tree.Scope, to fleet.Instance) {
	ticker := time.NewTicker(reportCheckInterval)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ticker.C:
			// If this process itself stalled, reports that arrived meanwhile
			// have not been read yet.
			stalled := time.Since(last) > 2*reportCheckInterval
			last = time.Now()
			if !stalled && b.ReportOverdue(ctx, scope, to) {
				cancel()
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

// Next waits for the next event. Any event other than Head and Data is the last
// one.
func (c *Call) Next() Event {
	if c.failure != nil {
		return c.failure
	}
	for len(c.pending) == 0 {
		part, err := c.stream.Recv()
		switch {
		case errors.Is(err, io.EOF):
			return Lost{"the agent ended the call without an ending"}
		case err != nil:
			return Lost{err.Error()}
		}
		c.balancer.RecordLoadReport(part.Load)
		c.pending = eventsOf(part)
	}
	next := c.pending[0]
	c.pending = c.pending[1:]
	return next
}

// eventsOf returns the events in one part, in order.
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
		out = append(out, Interrupted{part.End.Detail})
	}
	return out
}

// Close ends the call.
func (c *Call) Close() { c.cancel() }

// Seal makes an agent refuse all earlier copies of a request that has not run,
// and returns whether the request has run. answer.NotRun is a guarantee; if the
// agent cannot be reached, the result is answer.RunUnknown.
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
