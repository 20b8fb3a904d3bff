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

// Times of a request that runs at most once.
const (
	// sendWindow is how long after its arrival an attempt may still be sent
	// under a new seal epoch. A caller told "not run" comes back later than
	// that, so an entry that was paused cannot send an attempt that its caller
	// has given up.
	sendWindow = 800 * time.Millisecond
	retryPause = 100 * time.Millisecond
	// maxSuccessors is how many agents are asked for a term whose holder is unknown.
	maxSuccessors = 3
)

// newSession binds a caller to an agent and its current term; not to those
// excluded, which are lost.
func (h *Handler) newSession(ctx context.Context, rq *request, exclude ...string) (session, bool) {
	for range maxSuccessors {
		i, ok := h.choose(ctx, rq, plan{execute: &peer.ExecuteRequest{}, exclude: exclude})
		if !ok {
			return session{}, false
		}
		h.balancer.Ended(rq.scope, i.Name, core.Declined, 0)
		if term := h.balancer.Term(ctx, i.Name); term != "" {
			return session{agent: i.Name, term: term}, true
		}
		exclude = append(exclude, i.Name)
	}
	return session{}, false
}

// sealed asks a session's owner to refuse all earlier copies of a request, and
// reports whether the owner proved that it has not run.
func (h *Handler) sealed(ctx context.Context, rq *request, s session, key string) bool {
	i, ok := rq.snapshot.Instances[s.agent]
	if !ok {
		return false
	}
	r := &peer.SealRequest{Account: rq.account, Key: key, Term: s.term}
	return h.balancer.Seal(ctx, i, r) == answer.NotRun
}

// runKeyed runs a request with an idempotency key at the owner that its session
// names, or at the one that a claim in the platform binds it to.
func (h *Handler) runKeyed(w http.ResponseWriter, r *http.Request, rq *request, x *peer.ExecuteRequest) {
	ctx, cancel := h.withDeadline(r.Context(), rq)
	defer cancel()
	out := newRelay(w, false, 0)
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
	out.extra[SessionHeader] = token
	refusal := h.runBound(ctx, rq, x, s, out, false)
	h.renewSession(ctx, rq, s, refusal, out)
	if refusal != nil {
		h.fail(rq, out, refusal)
		return
	}
	out.finish()
}

// renewSession tells the caller of its session's next term: when the owner has
// begun one, or when the owner is lost.
func (h *Handler) renewSession(ctx context.Context, rq *request, s session, refusal *answer.Refusal, out *relay) {
	lost := refusal != nil && (refusal.Kind == answer.OutcomeUnknown || refusal.Kind == answer.OwnerUnreachable)
	if lost {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), retryPause)
		defer cancel()
		if next, ok := h.newSession(ctx, rq, s.agent); ok {
			out.extra[SessionHeader] = next.token()
		}
		return
	}
	if term := h.balancer.Term(ctx, s.agent); term != "" && term != s.term && refusal == nil {
		out.extra[SessionHeader] = session{agent: s.agent, term: term}.token()
	}
}

// runClaimed runs a keyed request without a session.
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

// runUnkeyed runs a non-idempotent request without a key. It is bound to one
// agent after another as long as each proves that it did not run.
func (h *Handler) runUnkeyed(w http.ResponseWriter, r *http.Request, rq *request, x *peer.ExecuteRequest) {
	ctx, cancel := h.withDeadline(r.Context(), rq)
	defer cancel()
	out := newRelay(w, false, 0)
	x.Once = true
	retries := tree.Get(rq.snapshot.Tree, rq.scope, reference.Retries)
	refusal := answer.Refuse(answer.NoUpstream, "no upstream can be reached")
	var exclude []string
	for range retries + 1 {
		i, ok := h.choose(ctx, rq, plan{execute: x, exclude: exclude})
		if !ok {
			break
		}
		h.balancer.Ended(rq.scope, i.Name, core.Declined, 0)
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

// unkeyedKind replaces kinds that ask for a retry with the same key.
func unkeyedKind(k answer.Kind) answer.Kind {
	switch k {
	case answer.OwnerUnreachable, answer.Undecided, answer.TermMoved:
		return answer.OutcomeUnknown
	}
	return k
}

// bound is one keyed request on its way to the holder of its term.
type bound struct {
	handler *Handler
	rq      *request
	x       *peer.ExecuteRequest
	session session
	out     *relay
	// holder is the agent tried now; it changes when the term moved.
	holder string
	asked  map[string]bool
	// heir is the agent that the term's old holder named as its successor.
	heir string
	// sent is true once an attempt may have reached a holder of the term.
	sent bool
	// movable is true for a request that any other agent may run as well, as
	// long as none has been sent it.
	movable bool
	giveUp  time.Time
}

// runBound runs a request at the holder of its session's term and relays the
// answer. It returns nil when the relay holds the whole answer.
func (h *Handler) runBound(ctx context.Context, rq *request, x *peer.ExecuteRequest, s session, out *relay, movable bool) *answer.Refusal {
	x.Term, x.Epoch = s.term, 0
	b := &bound{
		handler: h, rq: rq, x: x, session: s, out: out, holder: s.agent, asked: map[string]bool{}, movable: movable,
		giveUp: time.Now().Add(tree.Get(rq.snapshot.Tree, rq.scope, reference.OwnerTimeout)),
	}
	for {
		refusal, again := b.attempt(ctx)
		if !again {
			return refusal
		}
		if ctx.Err() != nil {
			return answer.Refuse(answer.DeadlineExceeded, "the request took longer than request-deadline")
		}
	}
}

// attempt sends the request once. again tells whether to send it once more;
// the ledger answers every attempt of one key, so sending again is safe.
func (b *bound) attempt(ctx context.Context) (refusal *answer.Refusal, again bool) {
	i, listed := b.handler.current().Instances[b.holder]
	if !listed {
		return b.nextHolder(ctx, answer.Refuse(answer.OutcomeUnknown, "the session's owner has gone"))
	}
	b.x.ResumeFrom = b.out.position
	end := b.follow(ctx, i)
	switch e := end.(type) {
	case agent.Complete:
		return nil, false
	case agent.Broken:
		return answer.Refuse(answer.OutcomeUnknown, "%s", e.Detail), false
	case agent.Refused:
		return b.refused(ctx, e.Refusal)
	case agent.NotSent:
		if b.movable && !b.sent {
			return answer.Refuse(answer.NoUpstream, "%s", e.Detail), false
		}
		return b.unreachable(ctx, e.Detail)
	case agent.Lost:
		b.sent = true
		return b.unreachable(ctx, e.Detail)
	}
	return answer.Refuse(answer.Internal, "the call gave no event"), false
}

func (b *bound) follow(ctx context.Context, i fleet.Instance) agent.Event {
	h := b.handler
	h.balancer.Begin(b.rq.scope, i.Name)
	return h.followCounted(ctx, b.rq, i, b.x, b.out)
}

// refused handles a holder's refusal.
func (b *bound) refused(ctx context.Context, r *peer.Refusal) (*answer.Refusal, bool) {
	kind := answer.Kind(r.Kind)
	refusal := answer.Refuse(kind, "%s", r.Detail).WithRetryAfter(r.RetryAfter.AsDuration())
	switch {
	case kind == answer.Sealed && time.Since(b.rq.arrived) < sendWindow:
		b.x.Epoch = r.Epoch
		return refusal, true
	case kind == answer.Leaving && !b.movable && time.Since(b.rq.arrived) < sendWindow:
		// The owner hands its ledger over soon.
		clock.Sleep(ctx, retryPause)
		return refusal, true
	case kind == answer.Sealed:
		return answer.Refuse(answer.Undecided, "the attempt came too late to be run"), false
	case kind == answer.TermMoved && !b.asked[r.Successor]:
		b.moveTo(r.Successor)
		b.heir = r.Successor
		return refusal, true
	case r.TermUnknown && b.heir == b.holder:
		return b.awaitHeir(ctx)
	case kind == answer.TermMoved || r.TermUnknown:
		return b.nextHolder(ctx, refusal)
	}
	return refusal, false
}

// awaitHeir waits for the hand-over of the term to arrive: its old holder closes
// the term before it offers it.
func (b *bound) awaitHeir(ctx context.Context) (*answer.Refusal, bool) {
	if time.Now().After(b.giveUp) {
		return answer.Refuse(answer.TermMoved, "the term is on its way to %s", b.heir), false
	}
	clock.Sleep(ctx, retryPause)
	return nil, true
}

func (b *bound) moveTo(holder string) {
	b.asked[b.holder] = true
	b.holder = holder
}

// unreachable tries another holder of the term, or the same one again until
// the owner's timeout.
func (b *bound) unreachable(ctx context.Context, detail string) (*answer.Refusal, bool) {
	if time.Now().After(b.giveUp) {
		return answer.Refuse(answer.OwnerUnreachable, "the session's owner does not answer: %s", detail), false
	}
	if adopter := b.handler.balancer.Adopter(ctx, b.session.term); adopter != "" && adopter != b.holder {
		b.holder = adopter
		return nil, true
	}
	clock.Sleep(ctx, retryPause)
	return nil, true
}

// nextHolder looks for an agent that adopted the term: the one that said so,
// or the first ones in the order in which a leaving agent asks. Without one,
// the term is lost.
func (b *bound) nextHolder(ctx context.Context, lost *answer.Refusal) (*answer.Refusal, bool) {
	b.asked[b.holder] = true
	if adopter := b.handler.balancer.Adopter(ctx, b.session.term); adopter != "" && !b.asked[adopter] {
		b.holder = adopter
		return nil, true
	}
	now := b.handler.current()
	successors := instance.Successors(now.Upstreams(b.rq.scope), b.session.agent, b.session.term)
	for _, i := range successors[:min(len(successors), maxSuccessors)] {
		if !b.asked[i.Name] {
			b.holder = i.Name
			return nil, true
		}
	}
	return answer.Refuse(answer.OutcomeUnknown, "%s", lost.Detail), false
}
