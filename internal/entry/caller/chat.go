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

// hashedPrefixLength is how many bytes of a prompt are hashed to find an
// upstream that has the prompt's beginning in its cache.
const hashedPrefixLength = 256

// chatBody holds the members of a chat completion request that the entry reads.
// All other members reach the engine unchanged.
type chatBody struct {
	Model       string            `json:"model"`
	Stream      bool              `json:"stream"`
	Messages    []json.RawMessage `json:"messages"`
	Temperature *float64          `json:"temperature"`
	Seed        *int64            `json:"seed"`
}

// repeatable reports whether running the request again generates the same
// response: it has a seed, or a temperature of 0.
func (c chatBody) repeatable() bool {
	return c.Seed != nil || c.Temperature != nil && *c.Temperature == 0
}

// parseChat parses the body of a chat completion request and checks that it has
// a model and messages.
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
	if refusal := h.readBody(w, r, rq); refusal != nil {
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
	if lastEventID := r.Header.Get(lastEventIDHeader); lastEventID != "" {
		h.resumeStream(w, r, rq, plan, lastEventID, c.repeatable())
		return
	}
	h.runIdempotent(w, r, rq, plan)
}

// findGroup sets the scope to the group that serves the model. It refuses a
// model that does not exist or that the client account may not use.
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

// promptPrefix returns the hash of the beginning of the model name and
// messages.
func promptPrefix(c chatBody) uint64 {
	text := bytes.Join([][]byte{[]byte(c.Model), bytes.Join(rawMessages(c.Messages), []byte{'\n'})}, []byte{0})
	return xxhash.Sum64(text[:min(len(text), hashedPrefixLength)])
}

func rawMessages(messages []json.RawMessage) [][]byte {
	out := make([][]byte, len(messages))
	for i, m := range messages {
		out[i] = m
	}
	return out
}

// executeRequest returns the request to an agent, with a random key.
func (h *Handler) executeRequest(r *http.Request, rq *request, path string) *peer.ExecuteRequest {
	return &peer.ExecuteRequest{
		RequestId: rq.id,
		Account:   rq.account,
		Key:       randomKey(),
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
	// Write errors are ignored: they mean that the caller is gone.
	_ = json.NewEncoder(w).Encode(list)
}

// streamPosition is the position in a stream that a Last-Event-ID names.
type streamPosition struct {
	agent, key string
	// received is the number of events that the caller has received.
	received uint64
}

// parseLastEventID parses an event ID of the form AGENT~KEY-NUMBER, as agents
// write it.
func parseLastEventID(id string) (streamPosition, *answer.Refusal) {
	handle, number, ok := cutLast(id, "-")
	name, key, ok2 := strings.Cut(handle, "~")
	n, err := strconv.ParseUint(number, 10, 63)
	if !ok || !ok2 || err != nil || name == "" || key == "" {
		return streamPosition{}, answer.Refuse(answer.InvalidRequest, "Last-Event-ID: %q is no event id of this service", id)
	}
	return streamPosition{agent: name, key: key, received: n + 1}, nil
}

func cutLast(s, separator string) (before, after string, found bool) {
	i := strings.LastIndex(s, separator)
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+len(separator):], true
}

// resumeChat serves GET /v1/chat/completions, with which an event source
// resumes its stream without sending the request's body again.
func (h *Handler) resumeChat(w http.ResponseWriter, r *http.Request, rq *request) {
	lastEventID := r.Header.Get(lastEventIDHeader)
	if lastEventID == "" {
		h.refuse(w, rq, answer.Refuse(answer.InvalidRequest, "Last-Event-ID: name the last event received, or POST a new request"))
		return
	}
	plan := plan{execute: h.executeRequest(r, rq, chatPath)}
	plan.execute.Events = true
	h.resumeStream(w, r, rq, plan, lastEventID, false)
}

// resumeStream continues a stream after the last event that the caller
// received. If the stream's agent is lost, the request is run again only if it
// is repeatable and its body is known.
func (h *Handler) resumeStream(w http.ResponseWriter, r *http.Request, rq *request, p plan, lastEventID string, repeatable bool) {
	position, refusal := parseLastEventID(lastEventID)
	if refusal != nil {
		h.refuse(w, rq, refusal)
		return
	}
	ctx, cancel := h.withDeadline(r.Context(), rq)
	defer cancel()
	out := newRelay(w, rq.connection, p.execute.Events, position.received)
	p.execute.Key = position.key
	repeatable = repeatable && len(rq.body) > 0
	end := h.attach(ctx, rq, position.agent, p.execute, out, repeatable)
	if h.finishIfComplete(rq, end, out) || out.callerGone {
		return
	}
	if !repeatable {
		h.fail(rq, out, lostStreamRefusal(end))
		return
	}
	p.execute.AttachOnly = false
	p.exclude = []string{position.agent}
	p.resume = false
	h.runPlan(ctx, rq, p, out)
}

// attach relays the rest of a stream that an agent holds and returns the event
// that ended it. An agent that cannot be reached may still hold the stream, so
// the call is repeated until owner-timeout after the last event arrived. If
// noRetry is set, because the request can run at another agent, the call is made
// only once. After resume-window without load reports from the agent, the stream
// is considered lost.
func (h *Handler) attach(ctx context.Context, rq *request, holder string, x *peer.ExecuteRequest, out *relay, noRetry bool) agent.Event {
	x.AttachOnly = true
	timeout := tree.Get(rq.snapshot.Tree, rq.scope, reference.OwnerTimeout)
	giveUpAt := time.Now().Add(timeout)
	for {
		i, listed := h.current().Instances[holder]
		if !listed {
			return streamGone("the stream's agent has gone")
		}
		before := out.position
		x.ResumeFrom = before
		end := h.follow(ctx, rq, i, x, out)
		h.stats.Reattached.Add(1)
		if e, notSent := end.(agent.NotSent); notSent && e.AgentExited {
			return streamGone("the stream's agent has ended")
		}
		if !unreachable(end) || noRetry || out.callerGone || ctx.Err() != nil {
			return end
		}
		if out.position > before {
			giveUpAt = time.Now().Add(timeout)
		}
		if h.balancer.SinceLastReport(ctx, rq.scope, holder) > tree.Get(rq.snapshot.Tree, rq.scope, reference.ResumeWindow) {
			return streamGone("the stream's agent was not heard of for longer than it keeps the stream")
		}
		if time.Now().After(giveUpAt) {
			return end
		}
		clock.Sleep(ctx, retryDelay)
	}
}

// streamGone returns the refusal, as an event, for a stream that its agent can
// no longer hold.
func streamGone(detail string) agent.Event {
	return agent.Refused{Refusal: &peer.Refusal{Kind: string(answer.StreamLost), Detail: detail}}
}

// unreachable reports whether a call ended because the agent could not be
// reached, not by a response of the agent.
func unreachable(end agent.Event) bool {
	switch end.(type) {
	case agent.NotSent, agent.Lost:
		return true
	}
	return false
}

// lostStreamRefusal returns the refusal for a stream that cannot be resumed. An
// agent that could not be reached may still hold the stream, so the caller is
// told to retry.
func lostStreamRefusal(end agent.Event) *answer.Refusal {
	if unreachable(end) {
		return answer.Refuse(answer.OwnerUnreachable, "the stream's agent cannot be reached, come back with the same Last-Event-ID")
	}
	return answer.Refuse(answer.StreamLost, "the stream's upstream no longer holds it")
}
