package proof

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"bramleydeal/internal/standin/engine"
	"bramleydeal/internal/standin/service"
	"bramleydeal/internal/world/answer"
	"github.com/matryer/is"
	"github.com/openai/openai-go"
	"github.com/openai/openai-go/option"
)

// reply is what a caller got.
type reply struct {
	err     error
	status  int
	header  http.Header
	body    []byte
	problem answer.Problem
}

// whole tells whether the caller got a whole answer of its upstream.
func (r reply) whole() bool { return r.err == nil && r.status == http.StatusOK }

// call sends a request to an entry.
func (d *deployment) call(ctx context.Context, entry, method, path, body string, headers map[string]string) reply {
	request, err := http.NewRequestWithContext(ctx, method, d.url(entry)+path, strings.NewReader(body))
	if err != nil {
		return reply{err: err}
	}
	request.Header.Set("Authorization", "Bearer "+key)
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	// A fresh connection keeps net/http from repeating requests by itself.
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return reply{err: err}
	}
	defer response.Body.Close()
	out := reply{status: response.StatusCode, header: response.Header}
	out.body, out.err = io.ReadAll(response.Body)
	// Answers that are no problem documents leave the problem empty.
	_ = json.Unmarshal(out.body, &out.problem)
	return out
}

// post calls the service "stock" with a key, and a session unless empty.
func (d *deployment) post(entry, key, session, body string) reply {
	headers := map[string]string{"Idempotency-Key": key}
	if session != "" {
		headers["Bramleydeal-Session"] = session
	}
	return d.call(d.t.Context(), entry, http.MethodPost, "/services/stock/confirm", body, headers)
}

// open opens a session.
func (d *deployment) open(entry string) string {
	d.t.Helper()
	r := d.call(d.t.Context(), entry, http.MethodPost, "/sessions", `{"service":"stock"}`, nil)
	if r.status != http.StatusCreated {
		d.t.Fatalf("no session: %d %s %v", r.status, r.body, r.err)
	}
	return r.header.Get("Bramleydeal-Session")
}

// checkAnswer fails unless an answer of the service is the one for a request.
func checkAnswer(t testing.TB, r reply, key, body string) {
	t.Helper()
	is := is.New(t)
	var a service.Response
	is.NoErr(json.Unmarshal(r.body, &a))
	is.Equal(a, service.Response{Key: key, Account: "planners", Path: "/confirm", Digest: service.Digest([]byte(body))})
}

func TestRequestsAreServedThroughSeparateProcesses(t *testing.T) {
	is := is.New(t)
	d := deploy(t, size{entries: 2, engines: 2, services: 2}, nil)

	r := d.post("e1", "first", "", "body of first")
	is.Equal(r.status, http.StatusOK)
	checkAnswer(t, r, "first", "body of first")
	again := d.post("e2", "first", "", "body of first")
	is.Equal(again.body, r.body)
	is.Equal(d.counts()["first"], 1)

	get := d.call(t.Context(), "e2", http.MethodGet, "/services/stock/slots?day=sat", "", nil)
	is.Equal(get.status, http.StatusOK)
	is.True(bytes.Contains(get.body, []byte("/slots?day=sat")))

	other := d.post("e1", "first", "", "another body")
	is.Equal(other.problem.Type, "urn:bramleydeal:error:key-reused")
}

func TestCallersGetClearRefusals(t *testing.T) {
	d := deploy(t, size{entries: 1, engines: 1, services: 1}, map[string]map[string]any{
		"service/stock": {"body-limit": 1000},
	})
	bearer := map[string]string{"Authorization": "Bearer nobody"}
	for _, c := range []struct {
		name, method, path, body string
		headers                  map[string]string
		status                   int
		kind                     answer.Kind
	}{
		{"a wrong key", "POST", "/services/stock/x", "", bearer, 401, answer.Unauthorized},
		{"an unknown service", "POST", "/services/none/x", "", nil, 404, answer.NotFound},
		{"an unknown path", "POST", "/nowhere", "", nil, 404, answer.NotFound},
		{"a body over the limit", "POST", "/services/stock/x", strings.Repeat("x", 1001), nil, 413, answer.TooLarge},
		{"a bad session", "POST", "/services/stock/x", "", map[string]string{"Idempotency-Key": "k", "Bramleydeal-Session": "x"}, 400, answer.InvalidRequest},
		{"a bad session body", "POST", "/sessions", "{", nil, 400, answer.InvalidRequest},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := d.call(t.Context(), "e1", c.method, c.path, c.body, c.headers)
			is.NoErr(r.err)
			is.Equal(r.status, c.status)
			is.Equal(r.problem.Type, "urn:bramleydeal:error:"+string(c.kind))
			is.Equal(r.problem.Run, answer.NotRun)
		})
	}
}

func TestOpenAIClientIsServed(t *testing.T) {
	is := is.New(t)
	d := deploy(t, size{entries: 1, engines: 2, services: 1}, nil)
	client := openai.NewClient(option.WithBaseURL(d.url("e1")+"/v1"), option.WithAPIKey(key), option.WithMaxRetries(0))
	params := openai.ChatCompletionNewParams{
		Model:     "quotes-1",
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("a marquee for 80 guests")},
		MaxTokens: openai.Int(12),
	}
	want := engine.Text("a marquee for 80 guests", 12)

	whole, err := client.Chat.Completions.New(t.Context(), params)
	is.NoErr(err)
	is.Equal(whole.Choices[0].Message.Content, want)

	stream := client.Chat.Completions.NewStreaming(t.Context(), params)
	var text strings.Builder
	for stream.Next() {
		for _, c := range stream.Current().Choices {
			text.WriteString(c.Delta.Content)
		}
	}
	is.NoErr(stream.Err())
	is.Equal(text.String(), want)

	models, err := client.Models.List(t.Context())
	is.NoErr(err)
	is.Equal(len(models.Data), 1)
	is.Equal(models.Data[0].ID, "quotes-1")

	unknown := params
	unknown.Model = "none"
	_, err = client.Chat.Completions.New(t.Context(), unknown)
	var failure *openai.Error
	is.True(errors.As(err, &failure))
	is.Equal(failure.StatusCode, http.StatusNotFound)
	is.Equal(failure.Code, string(answer.NotFound))

	_, err = client.Chat.Completions.New(t.Context(), params, option.WithAPIKey("wrong"))
	is.True(errors.As(err, &failure))
	is.Equal(failure.StatusCode, http.StatusUnauthorized)

	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	long := params
	long.MaxTokens = openai.Int(100000)
	cancelled := client.Chat.Completions.NewStreaming(ctx, long)
	for cancelled.Next() {
		continue
	}
	is.True(errors.Is(cancelled.Err(), context.DeadlineExceeded))
}
