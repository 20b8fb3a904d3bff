package entry

import (
	"context"
	"time"

	"bramleydeal/internal/agent/upstream"
	"bramleydeal/internal/core/instance"
	core "bramleydeal/internal/core/upstream"
	"bramleydeal/internal/process/clock"
	"bramleydeal/internal/settings/reference"
	"bramleydeal/internal/settings/tree"
	"bramleydeal/internal/wire/peer"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// Times of a drain.
const (
	drainPoll       = 50 * time.Millisecond
	handOverTimeout = 3 * time.Second
	handOverTries   = 5
	// linger is how long a drained agent still says where its terms went.
	linger = time.Second
)

// Drain takes the agent out of service: it refuses new work at once, waits for
// running work up to the drain limit, and hands its terms to a successor.
func (s *Server) Drain(ctx context.Context) {
	limit := tree.Get(s.current().Tree, s.scope, reference.DrainLimit)
	s.log.Info("leaving, new work is refused", "limit", limit.String())
	err := s.loop.Do(ctx, func(d *door) {
		d.leaving = true
		s.publish(d)
	})
	if err != nil {
		return
	}
	s.tellAll()
	limited, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	s.waitUntil(limited, func(d *door) bool { return d.onceRunning() == 0 })
	s.handOverAll(ctx)
	s.tellAll()
	s.waitUntil(limited, func(d *door) bool { return d.queue.Running()+d.queue.Waiting() == 0 })
	s.waitUntil(limited, func(d *door) bool { return d.readers() == 0 })
	clock.Sleep(ctx, linger)
	s.log.Info("drained")
}

// onceRunning counts the non-idempotent requests that have not ended.
func (d *door) onceRunning() int { return d.ledger.RunningKeys() }

// readers counts the callers that still follow an answer.
func (d *door) readers() int {
	n := 0
	for _, j := range d.answers {
		n += j.buffer.Readers()
	}
	return n
}

func (s *Server) waitUntil(ctx context.Context, ready func(*door) bool) {
	for ctx.Err() == nil {
		done := false
		if s.loop.Do(ctx, func(d *door) { done = ready(d) }) != nil || done {
			return
		}
		clock.Sleep(ctx, drainPoll)
	}
}

// handOverAll gives every term of the ledger that has keys to a successor.
func (s *Server) handOverAll(ctx context.Context) {
	var terms []string
	if s.loop.Do(ctx, func(d *door) { terms = d.ledger.Terms() }) != nil {
		return
	}
	for _, term := range terms {
		s.handOver(ctx, term)
	}
}

// handOver gives one term to the first successor that can be reached. Once the
// term has been offered to one, no other is ever asked: the offer may have been
// taken although its answer was lost.
func (s *Server) handOver(ctx context.Context, term string) {
	for _, successor := range instance.Successors(s.current().Upstreams(s.scope), s.self, term) {
		connection, err := s.pool.Ready(ctx, successor.Address, handOverTimeout)
		if err != nil {
			s.log.Info("a successor cannot be reached", "successor", successor.Name)
			continue
		}
		request := s.prepareHandOver(ctx, term, successor.Name)
		if request == nil {
			return
		}
		s.offerTerm(ctx, peer.NewAgentClient(connection), request, successor.Name)
		return
	}
	s.log.Info("no successor for a term, its open requests become unknown", "term", term)
}

// prepareHandOver closes the term here and returns what goes to the successor.
func (s *Server) prepareHandOver(ctx context.Context, term, successor string) *peer.HandOverRequest {
	var keys []core.KeyRecord[*job]
	held := false
	if s.loop.Do(ctx, func(d *door) { keys, held = d.ledger.HandOver(term, successor) }) != nil || !held {
		return nil
	}
	request := &peer.HandOverRequest{From: s.self, Term: term, Last: true}
	for _, k := range keys {
		request.Entries = append(request.Entries, exportEntry(k))
	}
	return request
}

func (s *Server) offerTerm(ctx context.Context, to peer.AgentClient, request *peer.HandOverRequest, successor string) {
	for range handOverTries {
		call, cancel := context.WithTimeout(ctx, handOverTimeout)
		reply, err := to.HandOver(call, request)
		cancel()
		if err == nil {
			s.stats.Handed.Add(1)
			s.log.Info("term handed over", "term", request.Term, "successor", successor, "keys", len(request.Entries), "accepted", reply.Accepted)
			return
		}
		s.log.Info("the hand-over got no answer", "term", request.Term, "successor", successor, "error", err.Error())
		clock.Sleep(ctx, drainPoll)
	}
}

// States of a key on the wire.
const (
	wireSealed = "sealed"
	wireDone   = "done"
	wireLost   = "lost"
)

func exportEntry(k core.KeyRecord[*job]) *peer.LedgerEntry {
	e := &peer.LedgerEntry{Key: k.Key, Epoch: k.Epoch, State: wireLost, Digest: k.Digest}
	switch k.State {
	case core.Sealed:
		e.State = wireSealed
	case core.Done:
		e.State = wireDone
		head, body, whole := k.Answer.buffer.Whole()
		e.Status, e.BodyKept, e.Body = int32(head.Status), whole, body
		for _, h := range head.Headers {
			e.Headers = append(e.Headers, &peer.Header{Name: h.Name, Value: h.Value})
		}
	}
	return e
}

func importEntry(e *peer.LedgerEntry) core.KeyRecord[*job] {
	k := core.KeyRecord[*job]{Key: e.Key, Epoch: e.Epoch, Digest: e.Digest, State: core.Lost}
	switch e.State {
	case wireSealed:
		k.State = core.Sealed
	case wireDone:
		k.State = core.Done
		head := upstream.Head{Status: int(e.Status)}
		for _, h := range e.Headers {
			head.Headers = append(head.Headers, upstream.Header{Name: h.Name, Value: h.Value})
		}
		k.Answer = &job{request: &peer.ExecuteRequest{Key: e.Key, Once: true}, started: true, buffer: upstream.Restore(head, e.Body, e.BodyKept)}
	}
	return k
}

// HandOver implements peer.AgentServer. Asked again for a term that it holds
// from the same agent, it accepts again.
func (s *Server) HandOver(ctx context.Context, r *peer.HandOverRequest) (*peer.HandOverReply, error) {
	keys := make([]core.KeyRecord[*job], 0, len(r.Entries))
	for _, e := range r.Entries {
		keys = append(keys, importEntry(e))
	}
	reply := &peer.HandOverReply{}
	err := s.loop.Do(ctx, func(d *door) {
		if d.leaving {
			return
		}
		reply.Accepted = d.ledger.Holds(r.Term)
		if !reply.Accepted && d.ledger.Adopt(r.Term, keys, time.Now()) {
			reply.Accepted = true
			for _, k := range keys {
				if k.Answer != nil {
					d.keep(k.Answer)
				}
			}
		}
	})
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	if reply.Accepted {
		s.stats.Adopted.Add(1)
		s.log.Info("term adopted", "term", r.Term, "from", r.From, "keys", len(keys))
		s.tellAll()
	}
	return reply, nil
}

// State is the door's part of the dump.
type State struct {
	Target   string   `json:"target"`
	Terms    []string `json:"terms"`
	Keys     int      `json:"ledger-keys"`
	Running  int      `json:"running"`
	Waiting  int      `json:"waiting"`
	Slots    int64    `json:"slots"`
	Answers  int      `json:"answers-held"`
	Leaving  bool     `json:"leaving"`
	Executed uint64   `json:"executed"`
	Attached uint64   `json:"attached"`
	Refused  uint64   `json:"refused"`
	Started  uint64   `json:"started"`
	Broken   uint64   `json:"broken-off"`
	Handed   uint64   `json:"terms-handed-over"`
	Adopted  uint64   `json:"terms-adopted"`
}

// State returns the door's part of the dump.
func (s *Server) State(ctx context.Context) State {
	out := State{
		Target: s.target, Slots: s.slots.Load(),
		Executed: s.stats.Executed.Load(), Attached: s.stats.Attached.Load(), Refused: s.stats.Refused.Load(),
		Started: s.stats.Started.Load(), Broken: s.stats.Broken.Load(),
		Handed: s.stats.Handed.Load(), Adopted: s.stats.Adopted.Load(),
	}
	// An error means that the process is stopping; the counters are enough then.
	_ = s.loop.Do(ctx, func(d *door) {
		out.Terms, out.Keys = d.ledger.Terms(), d.ledger.Len()
		out.Running, out.Waiting = d.queue.Running(), d.queue.Waiting()
		out.Answers, out.Leaving = len(d.answers), d.leaving
	})
	return out
}

// Stop ends the streams of load reports, so that the server can close.
func (s *Server) Stop() { close(s.stopped) }
