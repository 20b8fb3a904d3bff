package caller

import (
	"context"
	"errors"
	"fmt"
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

// plan describes how to run an idempotent request.
type plan struct {
	execute *peer.ExecuteRequest
	// resume is true if another engine can continue from the tokens already
	// generated.
	resume bool
	// exclude lists the agents that were already tried.
	exclude []string
}

// runIdempotent runs a request that may run more than once, at as many
// upstreams as its retries allow, and relays one complete response.
func (h *Handler) runIdempotent(w http.ResponseWriter, r *http.Request, rq *request, p plan) {
	ctx, cancel := h.withDeadline(r.Context(), rq)
	defer cancel()
	h.balancer.RecordRequest(rq.scope, tree.Get(rq.snapshot.Tree, rq.scope, reference.RetryRatio))
	h.runPlan(ctx, rq, p, newRelay(w, rq.connection, p.execute.Events, 0))
}

// A response that has started is not aborted when each upstream has failed
// once.
const (
	// startedRetryFactor multiplies the number of retries for a started
	// response.
	startedRetryFactor = 3
	// startedRetryDelay is the delay before upstreams that failed a started
	// response are tried again.
	startedRetryDelay = 300 * time.Millisecond
)

// runPlan runs a plan and relays the response to out, which may have sent a
// part of it already.
func (h *Handler) runPlan(ctx context.Context, rq *request, p plan, out *relay) {
	retries := tree.Get(rq.snapshot.Tree, rq.scope, reference.Retries)
	var last agent.Event
	var refusals []*peer.Refusal
	mayHaveRun := false
	for attempt := 0; attempt <= retries || out.headSent && attempt <= startedRetryFactor*retries; attempt++ {
		i, ok := h.chooseNext(ctx, rq, &p, out)
		if !ok {
			break
		}
		last = h.runAt(ctx, rq, p, i, out)
		if h.finishIfComplete(rq, last, out) || ctx.Err() != nil || out.callerGone {
			break
		}
		if refused, ok := last.(agent.Refused); ok {
			refusals = append(refusals, refused.Refusal)
			continue
		}
		if _, notSent := last.(agent.NotSent); !notSent {
			mayHaveRun = true
		}
		if !h.allowMove(ctx, rq, last, out) || !p.prepareMove(out, attempt) {
			break
		}
		h.stats.Moved.Add(1)
		rq.log.Info("attempt failed; retrying if attempts and upstreams are left", "from", i.Name, "position", out.position)
	}
	if _, complete := last.(agent.Complete); complete || out.callerGone || errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	h.fail(rq, out, finalRefusal(ctx, last, refusals, mayHaveRun))
}

// allowMove reports whether a request may be retried at another upstream after
// a failure. Requests that were not sent and responses that have started need no
// retry budget: the previous upstream does not work on them any more, so the
// move adds no load.
func (h *Handler) allowMove(ctx context.Context, rq *request, last agent.Event, out *relay) bool {
	if _, notSent := last.(agent.NotSent); notSent || out.headSent {
		return true
	}
	return h.balancer.TakeRetry(ctx, rq.scope)
}

// chooseNext returns the agent for the next attempt and excludes it from later
// attempts. For a started response, once all agents are excluded, it waits for
// startedRetryDelay and considers all of them again.
func (h *Handler) chooseNext(ctx context.Context, rq *request, p *plan, out *relay) (fleet.Instance, bool) {
	i, ok := h.choose(ctx, rq, *p)
	if !ok && out.headSent && len(p.exclude) > 0 {
		p.exclude = nil
		clock.Sleep(ctx, startedRetryDelay)
		i, ok = h.choose(ctx, rq, *p)
	}
	p.exclude = append(p.exclude, i.Name)
	return i, ok
}

// choose returns the agent for an attempt. ok is false if there is none.
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
		// Choose counted the request as started, but it is not sent here.
		h.balancer.RecordOutcome(rq.scope, name, core.Declined, 0)
		q.Exclude = append(q.Exclude, name)
	}
}

// runAt runs the plan at one agent. If the connection fails while the agent may
// still be running, it attaches once more to the same response, from the
// caller's position.
func (h *Handler) runAt(ctx context.Context, rq *request, p plan, i fleet.Instance, out *relay) agent.Event {
	end := h.followAndRecord(ctx, rq, i, p.execute, out)
	if _, lost := end.(agent.Lost); !lost || ctx.Err() != nil || h.balancer.ReportOverdue(ctx, rq.scope, i) {
		return end
	}
	attach := proto.CloneOf(p.execute)
	attach.AttachOnly, attach.ResumeFrom = true, out.position
	h.balancer.RecordStart(rq.scope, i.Name)
	return h.followAndRecord(ctx, rq, i, attach, out)
}

// followAndRecord relays a response and reports its outcome to the balancer.
func (h *Handler) followAndRecord(ctx context.Context, rq *request, i fleet.Instance, x *peer.ExecuteRequest, out *relay) agent.Event {
	startedAt := time.Now()
	before := out.firstByteAt()
	end := h.follow(ctx, rq, i, x, out)
	took := time.Since(startedAt)
	if at := out.firstByteAt(); before.IsZero() && !at.IsZero() {
		took = at.Sub(startedAt)
	}
	h.balancer.RecordOutcome(rq.scope, i.Name, outcomeOf(ctx, end), took)
	return end
}

func outcomeOf(ctx context.Context, end agent.Event) core.CandidateOutcome {
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

// follow relays a response and returns the event that ended it.
func (h *Handler) follow(ctx context.Context, rq *request, i fleet.Instance, x *peer.ExecuteRequest, out *relay) agent.Event {
	call := h.balancer.Execute(ctx, rq.scope, i, x)
	defer call.Close()
	for {
		switch e := call.Next().(type) {
		case agent.Head:
			if !out.accepts(e) {
				return agent.Interrupted{Detail: fmt.Sprintf("a stream that had begun was answered with status %d, %q", e.Status, contentType(e))}
			}
			out.start(e)
		case agent.Data:
			if !out.add(e) {
				return agent.Lost{Detail: "a part of the answer is missing"}
			}
			if out.callerGone {
				return agent.Lost{Detail: "the caller went away"}
			}
		default:
			return e
		}
	}
}

// finishIfComplete finishes the relay and reports true if the response is
// complete.
func (h *Handler) finishIfComplete(rq *request, end agent.Event, out *relay) bool {
	if _, complete := end.(agent.Complete); !complete {
		return false
	}
	out.finish()
	h.stats.Completed.Add(1)
	rq.log.V(1).Info("answered", "position", out.position)
	return true
}

// prepareMove prepares the plan for an attempt at another upstream. It reports
// false if the caller already has a part of the response that cannot be
// continued.
func (p *plan) prepareMove(out *relay, attempt int) bool {
	if !out.restart() {
		return false
	}
	p.execute = proto.CloneOf(p.execute)
	p.execute.Key = nextAttemptKey(p.execute.Key, attempt)
	p.execute.Moved = true
	p.execute.ResumeFrom = out.position
	if out.position == 0 || !p.execute.Events {
		return true
	}
	r, ok := out.resumption()
	if !p.resume || !ok {
		// The upstream runs the request again from the prompt, and the part
		// that the caller has is skipped. The rest fits only if both runs
		// generate the same response.
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

// finalRefusal returns the refusal for a request after its last attempt.
// refusals are those of the agents that refused it. If an attempt may have run, the refusal
// does not say otherwise.
func finalRefusal(ctx context.Context, last agent.Event, refusals []*peer.Refusal, mayHaveRun bool) *answer.Refusal {
	switch e := last.(type) {
	case agent.Interrupted:
		return answer.Refuse(answer.UpstreamFailed, "%s", e.Detail)
	case nil, agent.NotSent, agent.Refused:
		if mayHaveRun {
			break
		}
		if len(refusals) > 0 {
			return earliestRetry(refusals)
		}
		return answer.Refuse(answer.NoUpstream, "no upstream can be reached")
	}
	if ctx.Err() != nil {
		return answer.Refuse(answer.DeadlineExceeded, "the request took longer than request-deadline")
	}
	return answer.Refuse(answer.UpstreamFailed, "the upstream's agent was lost")
}

// earliestRetry returns the refusal with the shortest Retry-After delay.
func earliestRetry(refusals []*peer.Refusal) *answer.Refusal {
	best := slices.MinFunc(refusals, func(a, b *peer.Refusal) int {
		return int(a.RetryAfter.AsDuration() - b.RetryAfter.AsDuration())
	})
	return answer.Refuse(answer.Kind(best.Kind), "%s", best.Detail).WithRetryAfter(best.RetryAfter.AsDuration())
}

// fail ends a request without a complete response: with a refusal, or by
// aborting a response that has started.
func (h *Handler) fail(rq *request, out *relay, r *answer.Refusal) {
	if out.callerGone {
		return
	}
	if out.headSent {
		h.stats.Interrupted.Add(1)
		rq.log.Info("response interrupted; aborting it", "kind", r.Kind, "detail", r.Detail, "position", out.position)
		out.abort(r, rq.id)
		return
	}
	for name, value := range out.extraHeaders {
		out.w.Header().Set(name, value)
	}
	h.refuse(out.w, rq, r)
}
