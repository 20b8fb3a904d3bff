package caller

import (
	"context"
	"errors"
	"net/http"
	"time"

	"bramleydeal/internal/core/instance"
	core "bramleydeal/internal/core/upstream"
	"bramleydeal/internal/entry/agent"
	"bramleydeal/internal/entry/store"
	"bramleydeal/internal/process/clock"
	"bramleydeal/internal/settings/reference"
	"bramleydeal/internal/settings/tree"
	"bramleydeal/internal/wire/peer"
	"bramleydeal/internal/world/answer"
	"bramleydeal/internal/world/fleet"
)

// Timing and limits of requests that run at most once.
const (
	// sendWindow is how long after a request's arrival an attempt may still be
	// sent with a new seal epoch, which makes an agent accept another attempt
	// for a key that it has sealed. A caller that is told "not run" retries
	// later than that, so an entry that stalled or was suspended cannot send an
	// attempt that its caller has given up.
	sendWindow = 800 * time.Millisecond
	// retryDelay is the delay before another attempt at the same agent. It also
	// bounds the choice of a new session after the owner was lost.
	retryDelay = 100 * time.Millisecond
	// maxSuccessors is the number of agents that are tried if the holder of a
	// term is not known, and for a new session.
	maxSuccessors = 3
)

// newSession returns a session with an agent and the current term of its ledger.
// The excluded agents are not used. It reports false if no agent is available.
func (h *Handler) newSession(ctx context.Context, rq *request, exclude ...string) (session, bool) {
	for range maxSuccessors {
		i, ok := h.choose(ctx, rq, plan{execute: &peer.ExecuteRequest{}, exclude: exclude})
		if !ok {
			return session{}, false
		}
		// choose counted a request as started, but none is sent here.
		h.balancer.RecordOutcome(rq.scope, i.Name, core.Declined, 0)
		if term := h.balancer.Term(ctx, i.Name); term != "" {
			return session{agent: i.Name, term: term}, true
		}
		exclude = append(exclude, i.Name)
	}
	return session{}, false
}

// sealProvesNotRun asks a session's owner to seal a key, that is, to refuse all
// earlier copies of the request, and reports whether the owner confirmed that
// the request has not run.
func (h *Handler) sealProvesNotRun(ctx context.Context, rq *request, s session, key string) bool {
	i, ok := rq.snapshot.Instances[s.agent]
	if !ok {
		return false
	}
	r := &peer.SealRequest{Account: rq.account, Key: key, Term: s.term}
	return h.balancer.Seal(ctx, i, r) == answer.NotRun
}

// runKeyed runs a request with an idempotency key at the agent that its session
// names. Without a session, a claim in the platform binds the key to an agent.
func (h *Handler) runKeyed(w http.ResponseWriter, r *http.Request, rq *request, x *peer.ExecuteRequest) {
	ctx, cancel := h.withDeadline(r.Context(), rq)
	defer cancel()
	out := newRelay(w, rq.connection, false, 0)
	x.Once = true
	token := r.Header.Get(SessionHeader)
	if token == "" {
		h.runClaimed(ctx, rq, x, out)
		return
	}
	s, ok := parseSession(token)
	if !ok {
		h.refuse(w, rq, answer.Refuse(answer.InvalidRequest, "%s: not a session of this service; open one by POST /sessions", SessionHeader))
		return
	}
	out.extraHeaders[SessionHeader] = token
	refusal := h.runBound(ctx, rq, x, s, out, false)
	h.renewSession(ctx, rq, s, refusal, out)
	if refusal != nil {
		h.fail(rq, out, refusal)
		return
	}
	out.finish()
}

// renewSession adds the header with a new session token to the response if the
// owner has started a new term, or if the owner is lost.
func (h *Handler) renewSession(ctx context.Context, rq *request, s session, refusal *answer.Refusal, out *relay) {
	lost := refusal != nil && (refusal.Kind == answer.OutcomeUnknown || refusal.Kind == answer.OwnerUnreachable)
	if lost {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), retryDelay)
		defer cancel()
		if next, ok := h.newSession(ctx, rq, s.agent); ok {
			out.extraHeaders[SessionHeader] = next.token()
		}
		return
	}
	if term := h.balancer.Term(ctx, s.agent); term != "" && term != s.term && refusal == nil {
		out.extraHeaders[SessionHeader] = session{agent: s.agent, term: term}.token()
	}
}

// runClaimed runs a request with an idempotency key but without a session.
func (h *Handler) runClaimed(ctx context.Context, rq *request, x *peer.ExecuteRequest, out *relay) {
	proposed, ok := h.newSession(ctx, rq)
	if !ok {
		h.fail(rq, out, answer.Refuse(answer.Undecided, "no upstream can be reached"))
		return
	}
	name := store.ClaimName(rq.account, rq.scope.Service, x.Key)
	binding, err := h.claims.Bind(ctx, name, store.Binding{Agent: proposed.agent, Term: proposed.term, At: rq.arrived.UTC()})
	if err != nil {
		var refusal *answer.Refusal
		if !errors.As(err, &refusal) {
			refusal = answer.Refuse(answer.ClaimUnavailable, "%v", err)
		}
		h.fail(rq, out, refusal)
		return
	}
	if refusal := h.runBound(ctx, rq, x, session{agent: binding.Agent, term: binding.Term}, out, false); refusal != nil {
		h.fail(rq, out, refusal)
		return
	}
	out.finish()
}

// runUnkeyed runs a non-idempotent request without a key. It tries one agent
// after another as long as it is certain that the request did not run.
func (h *Handler) runUnkeyed(w http.ResponseWriter, r *http.Request, rq *request, x *peer.ExecuteRequest) {
	ctx, cancel := h.withDeadline(r.Context(), rq)
	defer cancel()
	out := newRelay(w, rq.connection, false, 0)
	x.Once = true
	retries := tree.Get(rq.snapshot.Tree, rq.scope, reference.Retries)
	refusal := answer.Refuse(answer.NoUpstream, "no upstream can be reached")
	var exclude []string
	for range retries + 1 {
		i, ok := h.choose(ctx, rq, plan{execute: x, exclude: exclude})
		if !ok {
			break
		}
		// choose counted the request as started, and runBound counts it again.
		h.balancer.RecordOutcome(rq.scope, i.Name, core.Declined, 0)
		exclude = append(exclude, i.Name)
		term := h.balancer.Term(ctx, i.Name)
		if term == "" {
			continue
		}
		refusal = h.runBound(ctx, rq, x, session{agent: i.Name, term: term}, out, true)
		if refusal == nil {
			out.finish()
			return
		}
		if answer.Lookup(refusal.Kind).Run != answer.NotRun {
			refusal.Kind = unkeyedKind(refusal.Kind)
			break
		}
	}
	h.fail(rq, out, refusal)
}

// unkeyedKind replaces the kinds that ask the caller to retry with the same
// key.
func unkeyedKind(k answer.Kind) answer.Kind {
	switch k {
	case answer.OwnerUnreachable, answer.Undecided, answer.TermMoved:
		return answer.OutcomeUnknown
	}
	return k
}

// boundRequest is a request that may run at most once, in one ledger term, and
// is sent to the agent that holds the term. A term is one generation of an
// agent's ledger, the table of the keys that it has run. It moves to another
// agent as a whole when its holder drains.
type boundRequest struct {
	handler *Handler
	rq      *request
	x       *peer.ExecuteRequest
	session session
	out     *relay
	// holder is the agent to send the next attempt to. It changes if the term
	// moved.
	holder string
	// tried lists the agents that are gone or do not hold the term.
	tried map[string]bool
	// successor is the agent that the previous holder of the term named as the
	// new one.
	successor string
	// sent is true once an attempt may have run at a holder of the term, since
	// its call ended without a complete response or a refusal.
	sent bool
	// reassignable is true for a request without a key: any other agent may run
	// it in a term of its own, as long as no attempt may have run.
	reassignable bool
	giveUpAt     time.Time
}

// runBound runs a request at the holder of its session's term and relays the
// response. It returns nil once the relay has the complete response.
func (h *Handler) runBound(ctx context.Context, rq *request, x *peer.ExecuteRequest, s session, out *relay, reassignable bool) *answer.Refusal {
	x.Term, x.Epoch = s.term, 0
	b := &boundRequest{
		handler: h, rq: rq, x: x, session: s, out: out, holder: s.agent, tried: map[string]bool{}, reassignable: reassignable,
		giveUpAt: time.Now().Add(tree.Get(rq.snapshot.Tree, rq.scope, reference.OwnerTimeout)),
	}
	for {
		refusal, again := b.send(ctx)
		if !again {
			return refusal
		}
		if ctx.Err() != nil {
			return answer.Refuse(answer.DeadlineExceeded, "the request took longer than request-deadline")
		}
	}
}

// send sends the request once and reports whether to send it again. Sending
// again is safe: the ledger runs a key once and gives all further attempts the
// same response.
func (b *boundRequest) send(ctx context.Context) (refusal *answer.Refusal, again bool) {
	i, listed := b.handler.current().Instances[b.holder]
	if !listed {
		return b.nextHolder(ctx, answer.Refuse(answer.OutcomeUnknown, "the session's owner has gone"))
	}
	b.x.ResumeFrom = b.out.position
	end := b.follow(ctx, i)
	switch e := end.(type) {
	case agent.Complete:
		return nil, false
	case agent.Interrupted:
		return answer.Refuse(answer.OutcomeUnknown, "%s", e.Detail), false
	case agent.Refused:
		return b.handleRefusal(ctx, e.Refusal)
	case agent.NotSent:
		if b.reassignable && !b.sent {
			return answer.Refuse(answer.NoUpstream, "%s", e.Detail), false
		}
		return b.handleUnreachable(ctx, e.Detail)
	case agent.Lost:
		b.sent = true
		return b.handleUnreachable(ctx, e.Detail)
	}
	return answer.Refuse(answer.Internal, "the call gave no event"), false
}

// follow relays the response of the agent i. It counts the request as started
// there, since the agent was not chosen by choose.
func (b *boundRequest) follow(ctx context.Context, i fleet.Instance) agent.Event {
	h := b.handler
	h.balancer.RecordStart(b.rq.scope, i.Name)
	return h.followAndRecord(ctx, b.rq, i, b.x, b.out)
}

// handleRefusal handles the refusal of an agent and reports whether to send the
// request again.
func (b *boundRequest) handleRefusal(ctx context.Context, r *peer.Refusal) (*answer.Refusal, bool) {
	kind := answer.Kind(r.Kind)
	refusal := answer.Refuse(kind, "%s", r.Detail).WithRetryAfter(r.RetryAfter.AsDuration())
	switch {
	case kind == answer.Sealed && time.Since(b.rq.arrived) < sendWindow:
		b.x.Epoch = r.Epoch
		return refusal, true
	case kind == answer.Leaving && !b.reassignable && time.Since(b.rq.arrived) < sendWindow:
		// The draining owner is about to hand its ledger over to a successor.
		clock.Sleep(ctx, retryDelay)
		return refusal, true
	case kind == answer.Sealed:
		return answer.Refuse(answer.Undecided, "the attempt came too late to be run"), false
	case kind == answer.TermMoved && !b.tried[r.Successor]:
		b.moveTo(r.Successor)
		b.successor = r.Successor
		return refusal, true
	case r.TermUnknown && b.successor == b.holder:
		return b.awaitSuccessor(ctx)
	case kind == answer.TermMoved || r.TermUnknown:
		return b.nextHolder(ctx, refusal)
	}
	return refusal, false
}

// awaitSuccessor waits until the term's new holder has received it. The
// previous holder stops serving the term before it hands it over, so for a
// short time no agent holds it.
func (b *boundRequest) awaitSuccessor(ctx context.Context) (*answer.Refusal, bool) {
	if time.Now().After(b.giveUpAt) {
		return answer.Refuse(answer.TermMoved, "the term is on its way to %s", b.successor), false
	}
	clock.Sleep(ctx, retryDelay)
	return nil, true
}

func (b *boundRequest) moveTo(holder string) {
	b.tried[b.holder] = true
	b.holder = holder
}

// handleUnreachable continues after the holder could not be reached: at an
// agent that adopted the term if one is known, else at the same agent, until
// owner-timeout.
func (b *boundRequest) handleUnreachable(ctx context.Context, detail string) (*answer.Refusal, bool) {
	if time.Now().After(b.giveUpAt) {
		return answer.Refuse(answer.OwnerUnreachable, "the session's owner does not answer: %s", detail), false
	}
	if adopter := b.handler.balancer.Adopter(ctx, b.session.term); adopter != "" && adopter != b.holder {
		b.holder = adopter
		return nil, true
	}
	clock.Sleep(ctx, retryDelay)
	return nil, true
}

// nextHolder looks for another agent that may hold the term: the one that
// reported to have adopted it, or else the first ones in the order in which a
// draining agent chooses its successor. If none is left, the term is lost and
// the outcome unknown.
func (b *boundRequest) nextHolder(ctx context.Context, refusal *answer.Refusal) (*answer.Refusal, bool) {
	b.tried[b.holder] = true
	if adopter := b.handler.balancer.Adopter(ctx, b.session.term); adopter != "" && !b.tried[adopter] {
		b.holder = adopter
		return nil, true
	}
	current := b.handler.current()
	successors := instance.Successors(current.Upstreams(b.rq.scope), b.session.agent, b.session.term)
	for _, i := range successors[:min(len(successors), maxSuccessors)] {
		if !b.tried[i.Name] {
			b.holder = i.Name
			return nil, true
		}
	}
	return answer.Refuse(answer.OutcomeUnknown, "%s", refusal.Detail), false
}
