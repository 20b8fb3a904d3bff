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

// Intervals, timeouts and limits of a drain.
const (
	drainPollInterval = 50 * time.Millisecond
	handOverTimeout   = 3 * time.Second
	handOverAttempts  = 5
	// drainLinger is how long a drained agent continues to serve, so that entries learn
	// which successor holds its terms.
	drainLinger = time.Second
)

// Drain takes the agent out of service. It refuses new requests at once, waits for the
// at-most-once requests to end, and hands each term of its ledger over to a successor,
// which then answers retries of the term's keys. It then waits for the other requests
// and their readers. The waits together last up to the drain limit.
func (s *Server) Drain(ctx context.Context) {
	limit := tree.Get(s.current().Tree, s.scope, reference.DrainLimit)
	s.log.Info("draining; new requests are refused", "limit", limit.String())
	err := s.events.Do(ctx, func(g *gateway) {
		g.draining = true
		s.publishLoad(g)
	})
	if err != nil {
		return
	}
	s.notifyEntries()
	drainCtx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	s.waitUntil(drainCtx, func(g *gateway) bool { return g.runningAtMostOnce() == 0 })
	s.handOverAll(ctx)
	s.notifyEntries()
	s.waitUntil(drainCtx, func(g *gateway) bool { return g.queue.Running()+g.queue.Waiting() == 0 })
	s.waitUntil(drainCtx, func(g *gateway) bool { return g.activeReaders() == 0 })
	clock.Sleep(ctx, drainLinger)
	s.log.Info("drained")
}

// runningAtMostOnce returns the number of at-most-once requests that have not ended.
func (g *gateway) runningAtMostOnce() int { return g.ledger.RunningKeys() }

// activeReaders returns the number of callers that are reading an idempotent request's
// response.
func (g *gateway) activeReaders() int {
	n := 0
	for _, j := range g.resumable {
		n += j.response.Readers()
	}
	return n
}

// waitUntil polls until ready reports true, ctx is done or the event loop has stopped.
func (s *Server) waitUntil(ctx context.Context, ready func(*gateway) bool) {
	for ctx.Err() == nil {
		done := false
		if s.events.Do(ctx, func(g *gateway) { done = ready(g) }) != nil || done {
			return
		}
		clock.Sleep(ctx, drainPollInterval)
	}
}

// handOverAll hands every term that the ledger holds over to a successor.
func (s *Server) handOverAll(ctx context.Context) {
	var terms []string
	if s.events.Do(ctx, func(g *gateway) { terms = g.ledger.Terms() }) != nil {
		return
	}
	for _, term := range terms {
		s.handOver(ctx, term)
	}
}

// handOver hands one term over to the first successor that is reachable. After the term
// has been offered to a successor, it is not offered to another one: the first may have
// adopted it although its reply was lost.
func (s *Server) handOver(ctx context.Context, term string) {
	for _, successor := range instance.Successors(s.current().Upstreams(s.scope), s.self, term) {
		connection, err := s.pool.Ready(ctx, successor.Address, handOverTimeout)
		if err != nil {
			s.log.Info("successor not reachable; trying the next one", "successor", successor.Name)
			continue
		}
		request := s.prepareHandOver(ctx, term, successor.Name)
		if request == nil {
			return
		}
		s.offerTerm(ctx, peer.NewAgentClient(connection), request, successor.Name)
		return
	}
	s.log.Info("no successor reachable; the outcomes of the requests of this term become unknown", "term", term)
}

// prepareHandOver closes the term in this agent's ledger and returns the request that
// transfers its keys, or nil when the ledger does not hold the term.
func (s *Server) prepareHandOver(ctx context.Context, term, successor string) *peer.HandOverRequest {
	var keys []core.KeyRecord[*job]
	held := false
	if s.events.Do(ctx, func(g *gateway) { keys, held = g.ledger.HandOver(term, successor) }) != nil || !held {
		return nil
	}
	request := &peer.HandOverRequest{From: s.self, Term: term, Last: true}
	for _, k := range keys {
		request.Entries = append(request.Entries, entryToProto(k))
	}
	return request
}

// offerTerm sends a term to a successor until it replies, at most handOverAttempts
// times.
func (s *Server) offerTerm(ctx context.Context, to peer.AgentClient, request *peer.HandOverRequest, successor string) {
	for range handOverAttempts {
		call, cancel := context.WithTimeout(ctx, handOverTimeout)
		reply, err := to.HandOver(call, request)
		cancel()
		if err == nil {
			s.stats.HandedOver.Add(1)
			s.log.Info("term handed over", "term", request.Term, "successor", successor, "keys", len(request.Entries), "accepted", reply.Accepted)
			return
		}
		s.log.Info("no reply to the handover of a term", "term", request.Term, "successor", successor, "error", err.Error())
		clock.Sleep(ctx, drainPollInterval)
	}
}

// States of a key in peer.LedgerEntry.
const (
	protoSealed = "sealed"
	protoDone   = "done"
	protoLost   = "lost"
)

// entryToProto converts a key record. A response that has been dropped or is incomplete
// is left out.
func entryToProto(k core.KeyRecord[*job]) *peer.LedgerEntry {
	e := &peer.LedgerEntry{Key: k.Key, Epoch: k.Epoch, State: protoLost, Digest: k.Digest}
	switch k.State {
	case core.Sealed:
		e.State = protoSealed
	case core.Done:
		e.State = protoDone
		head, body, complete := k.Response.response.Complete()
		e.Status, e.BodyKept, e.Body = int32(head.Status), complete, body
		for _, h := range head.Headers {
			e.Headers = append(e.Headers, &peer.Header{Name: h.Name, Value: h.Value})
		}
	}
	return e
}

// entryFromProto converts a key record back. A key in an unknown state counts as lost.
func entryFromProto(e *peer.LedgerEntry) core.KeyRecord[*job] {
	k := core.KeyRecord[*job]{Key: e.Key, Epoch: e.Epoch, Digest: e.Digest, State: core.Lost}
	switch e.State {
	case protoSealed:
		k.State = core.Sealed
	case protoDone:
		k.State = core.Done
		head := upstream.Head{Status: int(e.Status)}
		for _, h := range e.Headers {
			head.Headers = append(head.Headers, upstream.Header{Name: h.Name, Value: h.Value})
		}
		k.Response = &job{request: &peer.ExecuteRequest{Key: e.Key, Once: true}, started: true, response: upstream.RestoreBuffer(head, e.Body, e.BodyKept)}
	}
	return k
}

// HandOver implements peer.AgentServer: it adopts a term of another agent, unless this
// agent is draining too. A term that the ledger already holds is accepted again, because
// the reply to the first request may have been lost.
func (s *Server) HandOver(ctx context.Context, r *peer.HandOverRequest) (*peer.HandOverReply, error) {
	keys := make([]core.KeyRecord[*job], 0, len(r.Entries))
	for _, e := range r.Entries {
		keys = append(keys, entryFromProto(e))
	}
	reply := &peer.HandOverReply{}
	err := s.events.Do(ctx, func(g *gateway) {
		if g.draining {
			return
		}
		reply.Accepted = g.ledger.Holds(r.Term)
		if !reply.Accepted && g.ledger.Adopt(r.Term, keys, time.Now()) {
			reply.Accepted = true
			for _, k := range keys {
				if k.Response != nil {
					g.retain(k.Response)
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
		s.notifyEntries()
	}
	return reply, nil
}

// State is the gateway's debug state.
type State struct {
	Target      string   `json:"target"`
	Terms       []string `json:"terms"`
	Keys        int      `json:"ledger-keys"`
	Running     int      `json:"running"`
	Waiting     int      `json:"waiting"`
	Slots       int64    `json:"slots"`
	Resumable   int      `json:"answers-held"`
	Draining    bool     `json:"leaving"`
	Executed    uint64   `json:"executed"`
	Attached    uint64   `json:"attached"`
	Refused     uint64   `json:"refused"`
	Started     uint64   `json:"started"`
	Interrupted uint64   `json:"broken-off"`
	HandedOver  uint64   `json:"terms-handed-over"`
	Adopted     uint64   `json:"terms-adopted"`
}

// State returns the gateway's debug state.
func (s *Server) State(ctx context.Context) State {
	out := State{
		Target: s.target, Slots: s.slots.Load(),
		Executed: s.stats.Executed.Load(), Attached: s.stats.Attached.Load(), Refused: s.stats.Refused.Load(),
		Started: s.stats.Started.Load(), Interrupted: s.stats.Interrupted.Load(),
		HandedOver: s.stats.HandedOver.Load(), Adopted: s.stats.Adopted.Load(),
	}
	// An error means that the process is stopping; then only the counters are returned.
	_ = s.events.Do(ctx, func(g *gateway) {
		out.Terms, out.Keys = g.ledger.Terms(), g.ledger.Len()
		out.Running, out.Waiting = g.queue.Running(), g.queue.Waiting()
		out.Resumable, out.Draining = len(g.resumable), g.draining
	})
	return out
}

// Stop ends the streams of load reports, so that the gRPC server can stop gracefully.
// It must be called once only.
func (s *Server) Stop() { close(s.stopReports) }
