package caller

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"bramleydeal/internal/entry/agent"
	"bramleydeal/internal/process/clock"
	"bramleydeal/internal/settings/reference"
	"bramleydeal/internal/settings/tree"
	"bramleydeal/internal/wire/peer"
	"bramleydeal/internal/world/answer"
	"github.com/cespare/xxhash/v2"
)

const chatPath = "/v1/chat/completions"

// prefixLength is the part of a prompt, in bytes, that is hashed to find the
// upstream that has it in its cache.
const prefixLength = 256

// chatBody is what the entry reads of a chat completion request. All other
// members go to the engine as they are.
type chatBody struct {
	Model       string            `json:"model"`
	Stream      bool              `json:"stream"`
	Messages    []json.RawMessage `json:"messages"`
	Temperature *float64          `json:"temperature"`
	Seed        *int64            `json:"seed"`
}

// repeatable tells whether running the request again gives the same answer.
func (c chatBody) repeatable() bool {
	return c.Seed != nil || c.Temperature != nil && *c.Temperature == 0
}

// parseChat reads and checks the body of a chat completion request.
func parseChat(body []byte) (chatBody, *answer.Refusal) {
	var c chatBody
	if err := json.Unmarshal(body, &c); err != nil {
		return c, answer.Refuse(answer.InvalidRequest, "the body is no chat completion request: %v", err)
	}
	if c.Model == "" {
		return c, answer.Refuse(answer.InvalidRequest, "model: name the model; GET /v1/models lists them")
	}
	if len(c.Messages) == 0 {
		return c, answer.Refuse(answer.InvalidRequest, "messages: give at least one message")
	}
	return c, nil
}

// chat serves POST /v1/chat/completions.
func (h *Handler) chat(w http.ResponseWriter, r *http.Request, rq *request) {
	if refusal := h.readBody(r, rq); refusal != nil {
		h.refuse(w, rq, refusal)
		return
	}
	c, refusal := parseChat(rq.body)
	if refusal == nil {
		refusal = h.findGroup(rq, c.Model)
	}
	if refusal != nil {
		h.refuse(w, rq, refusal)
		return
	}
	plan := plan{
		execute: h.executeRequest(r, rq, chatPath),
		resume:  tree.Get(rq.snapshot.Tree, rq.scope, reference.EngineResume),
	}
	plan.execute.Events = c.Stream
	plan.execute.Prefix = promptPrefix(c)
	if last := r.Header.Get(lastEventHeader); last != "" {
		h.resumeStream(w, r, rq, plan, last, c.repeatable())
		return
	}
	h.runIdempotent(w, r, rq, plan)
}

// findGroup sets the scope of the group that serves a model.
func (h *Handler) findGroup(rq *request, model string) *answer.Refusal {
	group, ok := rq.snapshot.GroupOfModel(model)
	if !ok {
		return answer.Refuse(answer.NotFound, "model: there is no model %q; GET /v1/models lists them", model)
	}
	if !rq.snapshot.Allowed(rq.account, group) {
		return answer.Refuse(answer.Forbidden, "model: the client account may not use %q", model)
	}
	rq.scope.Group = group
	return nil
}

// promptPrefix hashes the beginning of the prompt.
func promptPrefix(c chatBody) uint64 {
	text := bytes.Join([][]byte{[]byte(c.Model), bytes.Join(rawMessages(c.Messages), []byte{'\n'})}, []byte{0})
	return xxhash.Sum64(text[:min(len(text), prefixLength)])
}

func rawMessages(messages []json.RawMessage) [][]byte {
	out := make([][]byte, len(messages))
	for i, m := range messages {
		out[i] = m
	}
	return out
}

// executeRequest builds the request to an agent, without where it goes.
func (h *Handler) executeRequest(r *http.Request, rq *request, path string) *peer.ExecuteRequest {
	return &peer.ExecuteRequest{
		RequestId: rq.id,
		Account:   rq.account,
		Key:       newKey(),
		Method:    r.Method,
		Path:      path,
		Headers:   upstreamHeaders(r.Header, rq.account),
		Body:      rq.body,
		Weight:    tree.Get(rq.snapshot.Tree, rq.scope, reference.Weight),
		Priority:  int32(tree.Get(rq.snapshot.Tree, rq.scope, reference.Priority)),
	}
}

// models serves GET /v1/models.
func (h *Handler) models(w http.ResponseWriter, _ *http.Request, rq *request) {
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
		OwnedBy string `json:"owned_by"`
	}
	list := struct {
		Object string  `json:"object"`
		Data   []model `json:"data"`
	}{Object: "list", Data: []model{}}
	for _, name := range rq.snapshot.Models() {
		if g, ok := rq.snapshot.GroupOfModel(name); ok && rq.snapshot.Allowed(rq.account, g) {
			list.Data = append(list.Data, model{ID: name, Object: "model", OwnedBy: g})
		}
	}
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the caller has gone.
	_ = json.NewEncoder(w).Encode(list)
}

// streamPosition is where a caller stood in a stream, from its Last-Event-ID.
type streamPosition struct {
	agent, key string
	// next is the number of events that the caller has.
	next uint64
}

// parseLastEvent reads an event id, written by an agent as AGENT~KEY-NUMBER.
func parseLastEvent(id string) (streamPosition, *answer.Refusal) {
	handle, number, ok := cutLast(id, "-")
	name, key, ok2 := strings.Cut(handle, "~")
	n, err := strconv.ParseUint(number, 10, 63)
	if !ok || !ok2 || err != nil || name == "" || key == "" {
		return streamPosition{}, answer.Refuse(answer.InvalidRequest, "Last-Event-ID: %q is no event id of this service", id)
	}
	return streamPosition{agent: name, key: key, next: n + 1}, nil
}

func cutLast(s, separator string) (before, after string, found bool) {
	i := strings.LastIndex(s, separator)
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+len(separator):], true
}

// resumeChat serves GET /v1/chat/completions, by which an event source comes
// back to its stream without the request's body.
func (h *Handler) resumeChat(w http.ResponseWriter, r *http.Request, rq *request) {
	last := r.Header.Get(lastEventHeader)
	if last == "" {
		h.refuse(w, rq, answer.Refuse(answer.InvalidRequest, "Last-Event-ID: name the last event received, or POST a new request"))
		return
	}
	plan := plan{execute: h.executeRequest(r, rq, chatPath)}
	plan.execute.Events = true
	h.resumeStream(w, r, rq, plan, last, false)
}

// resumeStream goes on with a stream after the last event that the caller has.
// If its agent is lost, only a request whose answer is the same each time is
// run again.
func (h *Handler) resumeStream(w http.ResponseWriter, r *http.Request, rq *request, p plan, last string, repeatable bool) {
	at, refusal := parseLastEvent(last)
	if refusal != nil {
		h.refuse(w, rq, refusal)
		return
	}
	ctx, cancel := h.withDeadline(r.Context(), rq)
	defer cancel()
	out := newRelay(w, p.execute.Events, at.next)
	p.execute.Key = at.key
	repeatable = repeatable && len(rq.body) > 0
	end := h.attach(ctx, rq, at.agent, p.execute, out, repeatable)
	if h.concluded(rq, end, out) || out.gone {
		return
	}
	if !repeatable {
		h.fail(rq, out, lostStream(end))
		return
	}
	p.execute.AttachOnly = false
	p.exclude = []string{at.agent}
	p.resume = false
	h.runOn(ctx, rq, p, out)
}

// attach follows a stream that an agent holds until its end. While the agent
// cannot be reached it may still hold the stream: it is tried for owner-timeout
// after the last event, or once if the request can be run elsewhere. An agent
// that was not heard of for resume-window holds it no more.
func (h *Handler) attach(ctx context.Context, rq *request, holder string, x *peer.ExecuteRequest, out *relay, once bool) agent.Event {
	x.AttachOnly = true
	timeout := tree.Get(rq.snapshot.Tree, rq.scope, reference.OwnerTimeout)
	giveUp := time.Now().Add(timeout)
	for {
		i, listed := h.current().Instances[holder]
		if !listed {
			return streamGone("the stream's agent has gone")
		}
		before := out.position
		x.ResumeFrom = before
		end := h.follow(ctx, rq, i, x, out)
		h.stats.Reattached.Add(1)
		if e, unsent := end.(agent.NotSent); unsent && e.Ended {
			return streamGone("the stream's agent has ended")
		}
		if !unreachable(end) || once || out.gone || ctx.Err() != nil {
			return end
		}
		if out.position > before {
			giveUp = time.Now().Add(timeout)
		}
		if h.balancer.Quiet(ctx, rq.scope, holder) > tree.Get(rq.snapshot.Tree, rq.scope, reference.ResumeWindow) {
			return streamGone("the stream's agent was not heard of for longer than it keeps the stream")
		}
		if time.Now().After(giveUp) {
			return end
		}
		clock.Sleep(ctx, retryPause)
	}
}

// streamGone is the end of a stream that its agent cannot hold any more.
func streamGone(detail string) agent.Event {
	return agent.Refused{Refusal: &peer.Refusal{Kind: string(answer.StreamLost), Detail: detail}}
}

// unreachable tells whether a call ended without a word of the agent on it.
func unreachable(end agent.Event) bool {
	switch end.(type) {
	case agent.NotSent, agent.Lost:
		return true
	}
	return false
}

// lostStream is what the caller of a stream that cannot go on is told. An agent
// that was not reached may still hold it.
func lostStream(end agent.Event) *answer.Refusal {
	if unreachable(end) {
		return answer.Refuse(answer.OwnerUnreachable, "the stream's agent cannot be reached, come back with the same Last-Event-ID")
	}
	return answer.Refuse(answer.StreamLost, "the stream's upstream no longer holds it")
}
