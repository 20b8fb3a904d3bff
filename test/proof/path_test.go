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

// callResult is the result of one call. err is set if no response or only a part of it
// was received. problem is set if the body is a problem document, as in refusals.
type callResult struct {
	err     error
	status  int
	header  http.Header
	body    []byte
	problem answer.Problem
}

// succeeded reports whether the complete response was received and has status 200.
func (r callResult) succeeded() bool { return r.err == nil && r.status == http.StatusOK }

// call sends a request to an entry with the key of the client account "planners". headers
// are added to the request and may replace the key.
func (d *deployment) call(ctx context.Context, entry, method, path, body string, headers map[string]string) callResult {
	request, err := http.NewRequestWithContext(ctx, method, d.url(entry)+path, strings.NewReader(body))
	if err != nil {
		return callResult{err: err}
	}
	request.Header.Set("Authorization", "Bearer "+plannersKey)
	for name, value := range headers {
		request.Header.Set(name, value)
	}
	// net/http may resend a request that fails on a reused connection, so each request
	// uses a new one.
	request.Close = true
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return callResult{err: err}
	}
	defer response.Body.Close()
	result := callResult{status: response.StatusCode, header: response.Header}
	result.body, result.err = io.ReadAll(response.Body)
	// If the body is not a problem document, result.problem stays empty.
	_ = json.Unmarshal(result.body, &result.problem)
	return result
}

// post sends a request with an idempotency key to the service "stock", in a session
// unless session is empty.
func (d *deployment) post(entry, key, session, body string) callResult {
	headers := map[string]string{"Idempotency-Key": key}
	if session != "" {
		headers["Bramleydeal-Session"] = session
	}
	return d.call(d.t.Context(), entry, http.MethodPost, "/services/stock/confirm", body, headers)
}

// open opens a session with the service "stock" and returns its token, which begins with
// the name of the agent that owns the session.
func (d *deployment) open(entry string) string {
	d.t.Helper()
	r := d.call(d.t.Context(), entry, http.MethodPost, "/sessions", `{"service":"stock"}`, nil)
	if r.status != http.StatusCreated {
		d.t.Fatalf("open session: status %d, body %s, error %v", r.status, r.body, r.err)
	}
	return r.header.Get("Bramleydeal-Session")
}

// checkResponse fails the test unless a response of the service "stock" belongs to the
// request with this key and body.
func checkResponse(t testing.TB, r callResult, key, body string) {
	t.Helper()
	is := is.New(t)
	var a service.Response
	is.NoErr(json.Unmarshal(r.body, &a))
	is.Equal(a, service.Response{Key: key, Account: "planners", Path: "/confirm", Digest: service.Digest([]byte(body))})
}

// TestRequestsAreServedThroughSeparateProcesses checks that a repeated idempotency key
// gets the stored response through any entry, that a request without a key reaches the
// service with its query, and that a key cannot be reused with another body.
func TestRequestsAreServedThroughSeparateProcesses(t *testing.T) {
	is := is.New(t)
	d := deploy(t, fleetSize{entries: 2, engines: 2, services: 2}, nil)

	r := d.post("e1", "first", "", "body of first")
	is.Equal(r.status, http.StatusOK)
	checkResponse(t, r, "first", "body of first")
	repeated := d.post("e2", "first", "", "body of first")
	is.Equal(repeated.body, r.body)
	is.Equal(d.executions()["first"], 1)

	get := d.call(t.Context(), "e2", http.MethodGet, "/services/stock/slots?day=sat", "", nil)
	is.Equal(get.status, http.StatusOK)
	is.True(bytes.Contains(get.body, []byte("/slots?day=sat")))

	reused := d.post("e1", "first", "", "another body")
	is.Equal(reused.problem.Type, "urn:bramleydeal:error:key-reused")
}

// TestInvalidRequestsAreRefused checks that each kind of invalid request gets its own
// status and problem type, and is reported as not run.
func TestInvalidRequestsAreRefused(t *testing.T) {
	d := deploy(t, fleetSize{entries: 1, engines: 1, services: 1}, map[string]map[string]any{
		"service/stock": {"body-limit": 1000},
	})
	wrongKey := map[string]string{"Authorization": "Bearer nobody"}
	for _, c := range []struct {
		name, method, path, body string
		headers                  map[string]string
		status                   int
		kind                     answer.Kind
	}{
		{"a wrong key", "POST", "/services/stock/x", "", wrongKey, 401, answer.Unauthorized},
		{"an unknown service", "POST", "/services/none/x", "", nil, 404, answer.NotFound},
		{"an unknown path", "POST", "/nowhere", "", nil, 404, answer.NotFound},
		{"a body over the limit", "POST", "/services/stock/x", strings.Repeat("x", 1001), nil, 413, answer.TooLarge},
		{"a malformed session token", "POST", "/services/stock/x", "", map[string]string{"Idempotency-Key": "k", "Bramleydeal-Session": "x"}, 400, answer.InvalidRequest},
		{"a malformed session request", "POST", "/sessions", "{", nil, 400, answer.InvalidRequest},
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

// TestOpenAIClientIsServed runs the OpenAI client library against an entry: completions,
// streams, the list of models, errors and a cancelled stream.
func TestOpenAIClientIsServed(t *testing.T) {
	is := is.New(t)
	d := deploy(t, fleetSize{entries: 1, engines: 2, services: 1}, nil)
	client := openai.NewClient(option.WithBaseURL(d.url("e1")+"/v1"), option.WithAPIKey(plannersKey), option.WithMaxRetries(0))
	params := openai.ChatCompletionNewParams{
		Model:     "quotes-1",
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("a marquee for 80 guests")},
		MaxTokens: openai.Int(12),
	}
	want := engine.Text("a marquee for 80 guests", 12)

	completion, err := client.Chat.Completions.New(t.Context(), params)
	is.NoErr(err)
	is.Equal(completion.Choices[0].Message.Content, want)

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

	unknownModel := params
	unknownModel.Model = "none"
	_, err = client.Chat.Completions.New(t.Context(), unknownModel)
	var failure *openai.Error
	is.True(errors.As(err, &failure))
	is.Equal(failure.StatusCode, http.StatusNotFound)
	is.Equal(failure.Code, string(answer.NotFound))

	_, err = client.Chat.Completions.New(t.Context(), params, option.WithAPIKey("wrong"))
	is.True(errors.As(err, &failure))
	is.Equal(failure.StatusCode, http.StatusUnauthorized)

	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	longParams := params
	longParams.MaxTokens = openai.Int(100000)
	cancelled := client.Chat.Completions.NewStreaming(ctx, longParams)
	for cancelled.Next() {
		continue
	}
	is.True(errors.Is(cancelled.Err(), context.DeadlineExceeded))
}
