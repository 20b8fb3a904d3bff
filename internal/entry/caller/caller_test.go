package caller

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"bramleydeal/internal/entry/agent"
	"bramleydeal/internal/wire/peer"
	"bramleydeal/internal/world/answer"
	"github.com/matryer/is"
)

// FuzzParseChat checks that any body is either refused with a detail or has a
// model and messages.
func FuzzParseChat(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"x"}]}`))
	f.Add([]byte(`{"model":1}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		c, refusal := parseChat(body)
		if refusal != nil {
			if refusal.Detail == "" {
				t.Fatal("refused without a detail")
			}
			return
		}
		if c.Model == "" || len(c.Messages) == 0 {
			t.Fatal("accepted without a model or messages")
		}
		promptPrefix(c)
	})
}

// FuzzParseLastEventID checks that any event ID is either refused or names an
// agent, a key and a position.
func FuzzParseLastEventID(f *testing.F) {
	f.Add("w1~abc-12")
	f.Add("~-")
	f.Fuzz(func(t *testing.T, id string) {
		at, refusal := parseLastEventID(id)
		if refusal == nil && (at.agent == "" || at.key == "" || at.received == 0) {
			t.Fatalf("parseLastEventID(%q) accepted an incomplete position: %+v", id, at)
		}
		parseSession(id)
	})
}

const twoEvents = "id: a\ndata: {\"id\":\"c\",\"created\":1,\"choices\":[{\"index\":0,\"delta\":{\"content\":\"one \"}}]}\n\n" +
	"id: b\ndata: {\"id\":\"c\",\"created\":1,\"choices\":[{\"index\":0,\"delta\":{\"content\":\"two \"}}]}\n\n"

func TestRelaySendsEachEventOnce(t *testing.T) {
	is := is.New(t)
	w := httptest.NewRecorder()
	o := newRelay(w, nil, true, 0)
	o.start(agent.Head{Status: http.StatusOK})
	is.True(o.add(agent.Data{Position: 0, Count: 2, Content: []byte(twoEvents)}))
	is.True(o.add(agent.Data{Position: 0, Count: 2, Content: []byte(twoEvents)}))                                    // all received before
	is.True(o.add(agent.Data{Position: 1, Count: 2, Content: []byte(twoEvents[len(twoEvents)/2:] + "data: x\n\n")})) // half of it received before
	is.True(!o.add(agent.Data{Position: 9, Count: 1, Content: []byte("data: y\n\n")}))                               // a gap
	is.Equal(w.Body.String(), twoEvents+"data: x\n\n")
	is.Equal(o.position, uint64(3))
}

func TestResumptionContainsTextAlreadySent(t *testing.T) {
	is := is.New(t)
	o := newRelay(httptest.NewRecorder(), nil, true, 0)
	o.start(agent.Head{Status: http.StatusOK})
	o.add(agent.Data{Count: 2, Content: []byte(twoEvents)})
	r, ok := o.resumption()
	is.True(ok)
	is.Equal(r, resumption{ID: "c", Created: 1, Tokens: 2, Text: "one two "})
	body, err := withResumption([]byte(`{"model":"m"}`), r)
	is.NoErr(err)
	var members map[string]json.RawMessage
	is.NoErr(json.Unmarshal(body, &members))
	is.Equal(string(members["model"]), `"m"`)
	is.True(members["resume"] != nil)
}

func TestUnsentResponseCanRestart(t *testing.T) {
	is := is.New(t)
	w := httptest.NewRecorder()
	o := newRelay(w, nil, false, 0)
	o.start(agent.Head{Status: http.StatusOK})
	o.add(agent.Data{Position: 0, Count: 4, Content: []byte("half")})
	is.True(o.restart())
	o.start(agent.Head{Status: http.StatusCreated})
	o.add(agent.Data{Position: 0, Count: 5, Content: []byte("whole")})
	o.finish()
	is.Equal(w.Code, http.StatusCreated)
	is.Equal(w.Body.String(), "whole")
}

// TestRefusalAfterALostAttemptPromisesNothing guards against telling a caller that its request has
// not run because the last of several agents refused it, though an earlier one may have run it.
func TestRefusalAfterALostAttemptPromisesNothing(t *testing.T) {
	is := is.New(t)
	refusals := []*peer.Refusal{{Kind: string(answer.Overloaded)}}
	for _, last := range []agent.Event{agent.Refused{Refusal: refusals[0]}, agent.NotSent{}, nil} {
		is.Equal(answer.Lookup(finalRefusal(t.Context(), last, refusals, false).Kind).Run, answer.NotRun)
		is.Equal(answer.Lookup(finalRefusal(t.Context(), last, refusals, true).Kind).Run, answer.RunUnknown)
	}
}

// TestStreamGoesOnWithAStreamOnly guards against an error response that is taken for the rest of a
// stream that another upstream had begun, and against a stream that goes on after a part of an
// error response.
func TestStreamGoesOnWithAStreamOnly(t *testing.T) {
	is := is.New(t)
	head := func(status int, contentType string) agent.Head {
		return agent.Head{Status: status, Headers: []*peer.Header{{Name: "Content-Type", Value: contentType}}}
	}
	stream, problem := head(http.StatusOK, "text/event-stream"), head(http.StatusInternalServerError, "application/json")
	o := newRelay(httptest.NewRecorder(), nil, true, 0)
	is.True(o.accepts(problem)) // nothing was sent
	o.start(stream)
	is.True(o.accepts(head(http.StatusOK, "text/event-stream; charset=utf-8")))
	is.True(!o.accepts(problem))
	is.True(!o.accepts(head(http.StatusOK, "application/json")))
	is.True(!o.accepts(head(http.StatusInternalServerError, "text/event-stream")))
	is.True(o.restart())
	o = newRelay(httptest.NewRecorder(), nil, true, 0)
	o.start(problem)
	is.True(!o.restart())
}

// TestUpstreamHeadersNameTheAccountOfTheKey guards against an account that the caller claims, and
// against passing on its key.
func TestUpstreamHeadersNameTheAccountOfTheKey(t *testing.T) {
	is := is.New(t)
	from := http.Header{"Authorization": {"Bearer k"}, "X-Own": {"kept"}}
	from.Set(ownHeaderPrefix+"account", "forged")
	is.Equal(upstreamHeaders(from, "planner"), []*peer.Header{{Name: ownHeaderPrefix + "Account", Value: "planner"}, {Name: "X-Own", Value: "kept"}})
}
