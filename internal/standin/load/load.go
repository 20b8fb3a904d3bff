// Package load sends seeded requests to entries, compares the content of every
// response with the text that the stand-in engine generates for the request, and
// measures latencies.
package load

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"bramleydeal/internal/standin/engine"
	"github.com/HdrHistogram/hdrhistogram-go"
)

// Options describe the requests of a load run.
type Options struct {
	// Targets are the base URLs to which requests are sent in turn.
	Targets []string
	// Keys are the bearer tokens used in turn; none are sent when it is empty.
	Keys []string
	// Model is the model requested.
	Model string
	// Concurrency is the number of callers in a closed loop, each of which sends
	// its next request when the one before has ended.
	Concurrency int
	// Rate is the mean number of requests per second of an open loop, with
	// exponentially distributed gaps; 0 selects a closed loop.
	Rate float64
	// Duration is the time in which requests are started.
	Duration time.Duration
	// Tokens is the number of tokens requested.
	Tokens int
	// Stream requests streamed responses.
	Stream bool
	// Prompts is the number of different prompts; repeated ones hit the prefix
	// caches.
	Prompts int
	// Seed determines the sequence of prompts and gaps.
	Seed uint64
}

// Percentiles are percentiles and the maximum of a time, in milliseconds.
type Percentiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Report is the result of a load run. The latencies and the token rate are those
// of complete responses.
type Report struct {
	Requests int `json:"requests"`
	// Complete counts the responses that had exactly the expected content.
	Complete int `json:"whole"`
	// Wrong counts the responses that ended as complete but had other content.
	Wrong int `json:"wrong"`
	// Refused counts the responses with an error status.
	Refused int `json:"refused"`
	// Interrupted counts the requests that failed in another way: no response, a
	// malformed one, an error event or a connection closed within the response.
	Interrupted int `json:"broken"`
	// Errors counts the refused and interrupted requests by cause. The causes are
	// part of the printed report.
	Errors            map[string]int `json:"errors,omitempty"`
	RequestsPerSecond float64        `json:"requests-per-second"`
	TokensPerSecond   float64        `json:"tokens-per-second"`
	// Total is the time from the start of a request to the end of its response.
	Total Percentiles `json:"total-milliseconds"`
	// FirstToken is the time from the start of a request to its first token, or to
	// the complete response if that is not streamed.
	FirstToken Percentiles `json:"first-token-milliseconds"`
	// BetweenTokens is the time between consecutive events of a stream that contain
	// tokens.
	BetweenTokens Percentiles `json:"between-tokens-milliseconds"`
}

// Upper bound, in microseconds, and significant digits of the latency histograms.
const (
	maxRecordedMicroseconds = int64(10 * time.Minute / time.Microsecond)
	significantDigits       = 3
)

// recorder collects the results of all requests. It is safe for concurrent use.
type recorder struct {
	mu                               sync.Mutex
	report                           Report
	tokens                           int
	total, firstToken, betweenTokens *hdrhistogram.Histogram
}

func newRecorder() *recorder {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxRecordedMicroseconds, significantDigits) }
	return &recorder{total: h(), firstToken: h(), betweenTokens: h(), report: Report{Errors: map[string]int{}}}
}

// recordTime adds a time to a histogram. A time outside its range is recorded as
// the nearest bound of the range.
func recordTime(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxRecordedMicroseconds))
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Percentiles{P50: at(50), P95: at(95), P99: at(99), Max: float64(h.Max()) / 1000}
}

// result is the outcome of one request.
type result struct {
	status   int
	text     string
	complete bool
	// failure is the cause when the response is not complete, or the error code of
	// a response with an error status.
	failure       string
	total         time.Duration
	firstToken    time.Duration
	betweenTokens []time.Duration
}

// Run sends requests as o describes and returns the report once all have ended.
// Requests stop early when ctx ends; those still running are then cancelled.
func Run(ctx context.Context, o Options) Report {
	r := newRecorder()
	client := &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: max(o.Concurrency, 256), DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}
	defer client.CloseIdleConnections()
	start := time.Now()
	sendCtx, cancel := context.WithTimeout(ctx, o.Duration)
	defer cancel()
	if o.Rate > 0 {
		openLoop(sendCtx, ctx, o, client, r)
	} else {
		closedLoop(sendCtx, ctx, o, client, r)
	}
	elapsed := time.Since(start).Seconds()
	r.report.RequestsPerSecond = float64(r.report.Requests) / elapsed
	r.report.TokensPerSecond = float64(r.tokens) / elapsed
	r.report.Total, r.report.FirstToken, r.report.BetweenTokens = percentiles(r.total), percentiles(r.firstToken), percentiles(r.betweenTokens)
	return r.report
}

// closedLoop runs concurrent callers that each send one request after another
// until sendCtx ends. ctx is the context of the requests.
func closedLoop(sendCtx, ctx context.Context, o Options, client *http.Client, r *recorder) {
	var group sync.WaitGroup
	for n := range o.Concurrency {
		group.Go(func() {
			random := rand.New(rand.NewPCG(o.Seed, uint64(n)))
			for i := 0; sendCtx.Err() == nil; i++ {
				r.sendOne(ctx, o, client, random, n+i*o.Concurrency)
			}
		})
	}
	group.Wait()
}

// openLoop sends requests at a mean rate, whether or not earlier ones have ended,
// until sendCtx ends. ctx is the context of the requests.
func openLoop(sendCtx, ctx context.Context, o Options, client *http.Client, r *recorder) {
	var group sync.WaitGroup
	random := rand.New(rand.NewPCG(o.Seed, 0))
	next := time.Now()
	for n := 0; sendCtx.Err() == nil; n++ {
		next = next.Add(time.Duration(random.ExpFloat64() / o.Rate * float64(time.Second)))
		timer := time.NewTimer(time.Until(next))
		select {
		case <-timer.C:
		case <-sendCtx.Done():
		}
		timer.Stop()
		requestRandom := rand.New(rand.NewPCG(o.Seed, uint64(n)+1))
		group.Go(func() { r.sendOne(ctx, o, client, requestRandom, n) })
	}
	group.Wait()
}

// sendOne sends request n and records its result.
func (r *recorder) sendOne(ctx context.Context, o Options, client *http.Client, random *rand.Rand, n int) {
	prompt := fmt.Sprintf("prompt %d of seed %d", random.IntN(max(o.Prompts, 1)), o.Seed)
	s := send(ctx, o, client, prompt, n)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Requests++
	switch {
	case s.status >= http.StatusBadRequest:
		r.report.Refused++
		r.report.Errors[fmt.Sprintf("status %d %s", s.status, s.failure)]++
	case !s.complete:
		r.report.Interrupted++
		r.report.Errors[s.failure]++
	case s.text != engine.Text(prompt, o.Tokens):
		r.report.Wrong++
	default:
		r.report.Complete++
		r.tokens += o.Tokens
		recordTime(r.total, s.total)
		recordTime(r.firstToken, s.firstToken)
		for _, g := range s.betweenTokens {
			recordTime(r.betweenTokens, g)
		}
	}
}

// send sends one request for prompt and reads the response.
func send(ctx context.Context, o Options, client *http.Client, prompt string, n int) result {
	body, err := json.Marshal(map[string]any{
		"model": o.Model, "stream": o.Stream, "max_tokens": o.Tokens,
		"messages": []map[string]string{{"role": "user", "content": prompt}},
	})
	if err != nil {
		return result{failure: err.Error()}
	}
	url := o.Targets[n%len(o.Targets)] + "/v1/chat/completions"
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return result{failure: err.Error()}
	}
	request.Header.Set("Content-Type", "application/json")
	if len(o.Keys) > 0 {
		request.Header.Set("Authorization", "Bearer "+o.Keys[n%len(o.Keys)])
	}
	start := time.Now()
	response, err := client.Do(request)
	if err != nil {
		return result{failure: "no answer"}
	}
	defer response.Body.Close()
	out := result{status: response.StatusCode}
	switch {
	case response.StatusCode != http.StatusOK:
		out.failure = errorCode(response.Body)
	case o.Stream:
		out.readStream(response.Body, start)
	default:
		out.readJSON(response.Body, start)
	}
	out.total = time.Since(start)
	return out
}

// errorCode returns the error code in the body of an error response, or "" if it
// has none.
func errorCode(body io.Reader) string {
	var e struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	// A body that cannot be decoded has no code.
	_ = json.NewDecoder(body).Decode(&e)
	return e.Error.Code
}

// completion is the content that is read of a response, or of one event of a
// stream.
type completion struct {
	Choices []struct {
		Delta   struct{ Content string } `json:"delta"`
		Message struct{ Content string } `json:"message"`
	} `json:"choices"`
	Error *struct {
		Code string `json:"code"`
	} `json:"error"`
}

// readJSON reads a response that is not streamed.
func (s *result) readJSON(body io.Reader, start time.Time) {
	var c completion
	if err := json.NewDecoder(body).Decode(&c); err != nil || len(c.Choices) != 1 {
		s.failure = "broken answer"
		return
	}
	s.firstToken = time.Since(start)
	s.text, s.complete = c.Choices[0].Message.Content, true
}

// readStream reads events up to the one that marks the end of the stream.
func (s *result) readStream(body io.Reader, start time.Time) {
	var text strings.Builder
	lines := bufio.NewScanner(body)
	last := time.Time{}
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			s.text, s.complete = text.String(), true
			return
		}
		var c completion
		if err := json.Unmarshal([]byte(data), &c); err != nil {
			s.failure = "broken event"
			return
		}
		if c.Error != nil {
			s.failure = "error event " + c.Error.Code
			return
		}
		if len(c.Choices) == 1 && c.Choices[0].Delta.Content != "" {
			text.WriteString(c.Choices[0].Delta.Content)
			last = s.recordToken(start, last)
		}
	}
	s.failure = "stream cut off"
}

// recordToken records the latency of an event with tokens that was received now,
// and returns the current time. last is the time of the one before, zero for the
// first.
func (s *result) recordToken(start, last time.Time) time.Time {
	now := time.Now()
	if last.IsZero() {
		s.firstToken = now.Sub(start)
	} else {
		s.betweenTokens = append(s.betweenTokens, now.Sub(last))
	}
	return now
}
