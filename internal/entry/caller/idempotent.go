package caller

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"time"

	core "bramleydeal/internal/core/upstream"
	"bramleydeal/internal/entry/agent"
	"bramleydeal/internal/process/clock"
	"bramleydeal/internal/settings/reference"
	"bramleydeal/internal/settings/tree"
	"bramleydeal/internal/wire/peer"
	"bramleydeal/internal/world/answer"
	"bramleydeal/internal/world/fleet"
	"google.golang.org/protobuf/proto"
)

// plan is how an idempotent request is to be run.
type plan struct {
	execute *peer.ExecuteRequest
	// resume tells whether an engine can go on from another's tokens.
	resume bool
	// exclude names the agents already tried.
	exclude []string
}

// runIdempotent runs a request that may be repeated, at as many upstreams as
// its retries allow, and relays one whole answer.
func (h *Handler) runIdempotent(w http.ResponseWriter, r *http.Request, rq *request, p plan) {
	ctx, cancel := h.withDeadline(r.Context(), rq)
	defer cancel()
	h.balancer.Request(rq.scope, tree.Get(rq.snapshot.Tree, rq.scope, reference.RetryRatio))
	h.runOn(ctx, rq, p, newRelay(w, p.execute.Events, 0))
}

// An answer that has begun is not given up because each upstream failed once.
const (
	// begunFactor multiplies its tries.
	begunFactor = 3
	// begunPause is how long it waits before upstreams that failed it are tried again.
	begunPause = 300 * time.Millisecond
)

// runOn runs a plan for a relay that may have begun.
func (h *Handler) runOn(ctx context.Context, rq *request, p plan, out *relay) {
	retries := tree.Get(rq.snapshot.Tree, rq.scope, reference.Retries)
	var last agent.Event
	var refusals []*peer.Refusal
	for try := 0; try <= retries || out.headSent && try <= begunFactor*retries; try++ {
		i, ok := h.chooseNext(ctx, rq, &p, out)
		if !ok {
			break
		}
		last = h.tryAt(ctx, rq, p, i, out)
		if h.concluded(rq, last, out) || ctx.Err() != nil || out.gone {
			break
		}
		if refused, ok := last.(agent.Refused); ok {
			refusals = append(refusals, refused.Refusal)
			continue
		}
		if !h.mayMove(ctx, rq, last, out) || !p.prepareMove(out, try) {
			break
		}
		h.stats.Moved.Add(1)
		rq.log.Info("moved", "from", i.Name, "position", out.position)
	}
	if _, whole := last.(agent.Complete); whole || out.gone || errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	h.fail(rq, out, finalRefusal(ctx, last, refusals))
}

// mayMove tells whether a request may go to another upstream after a failure.
// An answer that its caller has begun to read goes on whatever the budget: its
// old upstream no longer works on it, so the move adds no load.
func (h *Handler) mayMove(ctx context.Context, rq *request, last agent.Event, out *relay) bool {
	if _, unsent := last.(agent.NotSent); unsent || out.headSent {
		return true
	}
	return h.balancer.Retry(ctx, rq.scope)
}

// chooseNext picks the agent for the next try and excludes it from later ones.
func (h *Handler) chooseNext(ctx context.Context, rq *request, p *plan, out *relay) (fleet.Instance, bool) {
	i, ok := h.choose(ctx, rq, *p)
	if !ok && out.headSent && len(p.exclude) > 0 {
		p.exclude = nil
		clock.Sleep(ctx, begunPause)
		i, ok = h.choose(ctx, rq, *p)
	}
	p.exclude = append(p.exclude, i.Name)
	return i, ok
}

// choose picks the agent for a try.
func (h *Handler) choose(ctx context.Context, rq *request, p plan) (fleet.Instance, bool) {
	q := core.CandidateQuery{Prefix: p.execute.Prefix, Exclude: slices.Clone(p.exclude)}
	for {
		name, ok := h.balancer.Choose(ctx, rq.scope, q)
		if !ok {
			return fleet.Instance{}, false
		}
		if i, listed := rq.snapshot.Instances[name]; listed {
			return i, true
		}
		h.balancer.Ended(rq.scope, name, core.Declined, 0)
		q.Exclude = append(q.Exclude, name)
	}
}

// tryAt runs the plan at one agent. If the connection breaks while the agent
// may be alive, it is followed once more from where the caller stands.
func (h *Handler) tryAt(ctx context.Context, rq *request, p plan, i fleet.Instance, out *relay) agent.Event {
	end := h.followCounted(ctx, rq, i, p.execute, out)
	if _, lost := end.(agent.Lost); !lost || ctx.Err() != nil || h.balancer.Silent(ctx, rq.scope, i) {
		return end
	}
	again := proto.CloneOf(p.execute)
	again.AttachOnly, again.ResumeFrom = true, out.position
	h.balancer.Begin(rq.scope, i.Name)
	return h.followCounted(ctx, rq, i, again, out)
}

// followCounted follows an answer and tells the balancer how it ended.
func (h *Handler) followCounted(ctx context.Context, rq *request, i fleet.Instance, x *peer.ExecuteRequest, out *relay) agent.Event {
	begun := time.Now()
	first := out.firstByte()
	end := h.follow(ctx, rq, i, x, out)
	took := time.Since(begun)
	if at := out.firstByte(); first.IsZero() && !at.IsZero() {
		took = at.Sub(begun)
	}
	h.balancer.Ended(rq.scope, i.Name, resultOf(ctx, end), took)
	return end
}

func resultOf(ctx context.Context, end agent.Event) core.Result {
	switch end.(type) {
	case agent.Complete:
		return core.Succeeded
	case agent.Refused:
		return core.Declined
	}
	if ctx.Err() != nil {
		return core.Abandoned
	}
	return core.Failed
}

// follow relays an answer until its last event, which it returns.
func (h *Handler) follow(ctx context.Context, rq *request, i fleet.Instance, x *peer.ExecuteRequest, out *relay) agent.Event {
	call := h.balancer.Execute(ctx, rq.scope, i, x)
	defer call.Close()
	for {
		switch e := call.Next().(type) {
		case agent.Head:
			out.begin(e)
		case agent.Data:
			if !out.add(e) {
				return agent.Lost{Detail: "a part of the answer is missing"}
			}
			if out.gone {
				return agent.Lost{Detail: "the caller went away"}
			}
		default:
			return e
		}
	}
}

// concluded ends the relay of a whole answer and reports whether it was one.
func (h *Handler) concluded(rq *request, end agent.Event, out *relay) bool {
	if _, whole := end.(agent.Complete); !whole {
		return false
	}
	out.finish()
	h.stats.Completed.Add(1)
	rq.log.V(1).Info("answered", "position", out.position)
	return true
}

// prepareMove readies the plan for another upstream, after the caller may have
// had part of the answer. It reports false when the answer can't be continued.
func (p *plan) prepareMove(out *relay, try int) bool {
	if !out.restart() {
		return false
	}
	p.execute = proto.CloneOf(p.execute)
	p.execute.Key = moveKey(p.execute.Key, try)
	p.execute.Moved = true
	p.execute.ResumeFrom = out.position
	if out.position == 0 || !p.execute.Events {
		return true
	}
	r, ok := out.resumption()
	if !p.resume || !ok {
		// The answer is run again from the prompt, passing over what the caller
		// has; that is the same answer only if the request is repeatable.
		c, refusal := parseChat(p.execute.Body)
		return refusal == nil && c.repeatable()
	}
	body, err := withResumption(p.execute.Body, r)
	if err != nil {
		return false
	}
	p.execute.Body = body
	return true
}

// finalRefusal is what the caller is told after the last try.
func finalRefusal(ctx context.Context, last agent.Event, refusals []*peer.Refusal) *answer.Refusal {
	switch e := last.(type) {
	case nil, agent.NotSent:
		if len(refusals) > 0 {
			return soonest(refusals)
		}
		return answer.Refuse(answer.NoUpstream, "no upstream can be reached")
	case agent.Refused:
		return soonest(refusals)
	case agent.Broken:
		return answer.Refuse(answer.UpstreamFailed, "%s", e.Detail)
	}
	if ctx.Err() != nil {
		return answer.Refuse(answer.DeadlineExceeded, "the request took longer than request-deadline")
	}
	return answer.Refuse(answer.UpstreamFailed, "the upstream's agent was lost")
}

// soonest returns the refusal with the earliest time to come back.
func soonest(refusals []*peer.Refusal) *answer.Refusal {
	best := slices.MinFunc(refusals, func(a, b *peer.Refusal) int {
		return int(a.RetryAfter.AsDuration() - b.RetryAfter.AsDuration())
	})
	return answer.Refuse(answer.Kind(best.Kind), "%s", best.Detail).WithRetryAfter(best.RetryAfter.AsDuration())
}

// fail ends a request that has no whole answer.
func (h *Handler) fail(rq *request, out *relay, r *answer.Refusal) {
	if out.gone {
		return
	}
	if out.headSent {
		h.stats.Broken.Add(1)
		rq.log.Info("broke off", "kind", r.Kind, "detail", r.Detail, "position", out.position)
		out.breakOff(r, rq.id)
		return
	}
	for name, value := range out.extra {
		out.w.Header().Set(name, value)
	}
	h.refuse(out.w, rq, r)
}
