// Package load sends seeded requests to an entry, checks the content of every
// answer against what the request must give, and measures times.
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

// Options describe a load.
type Options struct {
	// Targets are the base addresses that requests go to in turn.
	Targets []string
	// Keys are the bearer keys used in turn, empty for none.
	Keys  []string
	Model string
	// Concurrency is the number of callers in a closed loop.
	Concurrency int
	// Rate is requests a second in an open loop; 0 for a closed one.
	Rate     float64
	Duration time.Duration
	Tokens   int
	Stream   bool
	// Prompts is the number of different prompts, for the prefix caches.
	Prompts int
	Seed    uint64
}

// Percentiles are times in milliseconds.
type Percentiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
	Max float64 `json:"max"`
}

// Report is the outcome of a load.
type Report struct {
	Requests int `json:"requests"`
	// Whole answers had exactly the content that the request must give.
	Complete int `json:"whole"`
	// Wrong answers claimed to be whole and were not.
	Wrong int `json:"wrong"`
	// Refused requests got a refusal; Broken ones an explicit error or a closed connection.
	Refused           int            `json:"refused"`
	Interrupted       int            `json:"broken"`
	Errors            map[string]int `json:"errors,omitempty"`
	RequestsPerSecond float64        `json:"requests-per-second"`
	TokensPerSecond   float64        `json:"tokens-per-second"`
	Total             Percentiles    `json:"total-milliseconds"`
	FirstToken        Percentiles    `json:"first-token-milliseconds"`
	BetweenTokens     Percentiles    `json:"between-tokens-milliseconds"`
}

// Highest time that the histograms tell apart, in microseconds, and their
// significant digits.
const (
	maxMicroseconds = int64(10 * time.Minute / time.Microsecond)
	digits          = 3
)

// recorder gathers what all callers saw.
type recorder struct {
	mu                    sync.Mutex
	report                Report
	tokens                int
	total, first, between *hdrhistogram.Histogram
}

func newRecorder() *recorder {
	h := func() *hdrhistogram.Histogram { return hdrhistogram.New(1, maxMicroseconds, digits) }
	return &recorder{total: h(), first: h(), between: h(), report: Report{Errors: map[string]int{}}}
}

// record adds a time to a histogram; times beyond its range are put at its end.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxMicroseconds))
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Percentiles{P50: at(50), P95: at(95), P99: at(99), Max: float64(h.Max()) / 1000}
}

// result is what one caller saw of one request.
type result struct {
	status  int
	text    string
	whole   bool
	failure string
	total   time.Duration
	first   time.Duration
	gaps    []time.Duration
}

// Run sends the load and returns its report.
func Run(ctx context.Context, o Options) Report {
	r := newRecorder()
	client := &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: max(o.Concurrency, 256), DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}}
	defer client.CloseIdleConnections()
	begun := time.Now()
	limited, cancel := context.WithTimeout(ctx, o.Duration)
	defer cancel()
	if o.Rate > 0 {
		openLoop(limited, ctx, o, client, r)
	} else {
		closedLoop(limited, ctx, o, client, r)
	}
	took := time.Since(begun).Seconds()
	r.report.RequestsPerSecond = float64(r.report.Requests) / took
	r.report.TokensPerSecond = float64(r.tokens) / took
	r.report.Total, r.report.FirstToken, r.report.BetweenTokens = percentiles(r.total), percentiles(r.first), percentiles(r.between)
	return r.report
}

func closedLoop(limited, ctx context.Context, o Options, client *http.Client, r *recorder) {
	var group sync.WaitGroup
	for n := range o.Concurrency {
		group.Go(func() {
			random := rand.New(rand.NewPCG(o.Seed, uint64(n)))
			for i := 0; limited.Err() == nil; i++ {
				r.one(ctx, o, client, random, n+i*o.Concurrency)
			}
		})
	}
	group.Wait()
}

func openLoop(limited, ctx context.Context, o Options, client *http.Client, r *recorder) {
	var group sync.WaitGroup
	random := rand.New(rand.NewPCG(o.Seed, 0))
	next := time.Now()
	for n := 0; limited.Err() == nil; n++ {
		next = next.Add(time.Duration(random.ExpFloat64() / o.Rate * float64(time.Second)))
		timer := time.NewTimer(time.Until(next))
		select {
		case <-timer.C:
		case <-limited.Done():
		}
		timer.Stop()
		own := rand.New(rand.NewPCG(o.Seed, uint64(n)+1))
		group.Go(func() { r.one(ctx, o, client, own, n) })
	}
	group.Wait()
}

// one sends a request and records what came of it.
func (r *recorder) one(ctx context.Context, o Options, client *http.Client, random *rand.Rand, n int) {
	prompt := fmt.Sprintf("prompt %d of seed %d", random.IntN(max(o.Prompts, 1)), o.Seed)
	s := send(ctx, o, client, prompt, n)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.Requests++
	switch {
	case s.status >= http.StatusBadRequest:
		r.report.Refused++
		r.report.Errors[fmt.Sprintf("status %d %s", s.status, s.failure)]++
	case !s.whole:
		r.report.Interrupted++
		r.report.Errors[s.failure]++
	case s.text != engine.Text(prompt, o.Tokens):
		r.report.Wrong++
	default:
		r.report.Complete++
		r.tokens += o.Tokens
		record(r.total, s.total)
		record(r.first, s.first)
		for _, g := range s.gaps {
			record(r.between, g)
		}
	}
}

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
	begun := time.Now()
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
		out.readStream(response.Body, begun)
	default:
		out.readWhole(response.Body, begun)
	}
	out.total = time.Since(begun)
	return out
}

func errorCode(body io.Reader) string {
	var e struct {
		Error struct {
			Code string `json:"code"`
		} `json:"error"`
	}
	// What can't be read has no code.
	_ = json.NewDecoder(body).Decode(&e)
	return e.Error.Code
}

type completion struct {
	Choices []struct {
		Delta   struct{ Content string } `json:"delta"`
		Message struct{ Content string } `json:"message"`
	} `json:"choices"`
	Error *struct {
		Code string `json:"code"`
	} `json:"error"`
}

func (s *result) readWhole(body io.Reader, begun time.Time) {
	var c completion
	if err := json.NewDecoder(body).Decode(&c); err != nil || len(c.Choices) != 1 {
		s.failure = "broken answer"
		return
	}
	s.first = time.Since(begun)
	s.text, s.whole = c.Choices[0].Message.Content, true
}

// readStream reads events until the closing one.
func (s *result) readStream(body io.Reader, begun time.Time) {
	var text strings.Builder
	lines := bufio.NewScanner(body)
	last := time.Time{}
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			s.text, s.whole = text.String(), true
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
			last = s.token(begun, last)
		}
	}
	s.failure = "stream cut off"
}

// token records the time of a token and returns it.
func (s *result) token(begun, last time.Time) time.Time {
	now := time.Now()
	if last.IsZero() {
		s.first = now.Sub(begun)
	} else {
		s.gaps = append(s.gaps, now.Sub(last))
	}
	return now
}
