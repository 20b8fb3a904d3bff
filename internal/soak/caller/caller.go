// Package caller speaks to the entries of a soak run as callers do, and judges the
// answers by themselves. What follows from all of them together is checked in the
// ledger.
package caller

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"bramleydeal/internal/soak/history"
	"bramleydeal/internal/soak/program"
	"bramleydeal/platform/standin"
)

// Times of the callers.
const (
	// timeLeft is what a caller tells an entry.
	timeLeft = 3 * time.Second
	// patience is when a caller gives a request up that has no answer.
	patience = timeLeft + 4*time.Second
	// pause is the mean time between two requests of a caller.
	pause = 60 * time.Millisecond
	// readyPoll is how often the entries are asked whether they are ready; two
	// questions in a row without a 200 take an entry out of the rotation.
	readyPoll = 300 * time.Millisecond
	// sessionLength is the number of requests that a caller sends to one entry.
	sessionLength = 12
)

// Host is that of all routes.
const Host = "books.example"

// KeyName is the key that a version of the configuration brings.
func KeyName(version int) string { return fmt.Sprintf("k-%d", version) }

// Callers are all callers of a run.
type Callers struct {
	Ledger  *history.Ledger
	Entries []*program.Entry
	// Keys returns a version whose key should be known, and the newest one.
	Keys func() (sure, newest int)
	// Events is the whole text of a stream.
	Events string

	sent     atomic.Int64
	mu       sync.Mutex
	rotation []*program.Entry
}

// Run sends requests from count callers until ctx ends, and waits for the answers.
func (c *Callers) Run(ctx context.Context, seed uint64, count int) {
	var running sync.WaitGroup
	running.Go(func() { c.followReady(ctx) })
	for n := range count {
		random := rand.New(rand.NewPCG(seed, uint64(n)))
		running.Go(func() { c.call(ctx, random) })
	}
	running.Wait()
}

// followReady keeps the rotation, as a balancer in front of the entries does.
func (c *Callers) followReady(ctx context.Context) {
	client := &http.Client{Timeout: readyPoll, Transport: &http.Transport{DisableKeepAlives: true}}
	missed := make([]int, len(c.Entries))
	for ; ctx.Err() == nil; time.Sleep(readyPoll) {
		rotation := []*program.Entry{}
		for i, e := range c.Entries {
			missed[i]++
			if e.Ready(client) {
				missed[i] = 0
			}
			if missed[i] < 2 {
				rotation = append(rotation, e)
			}
		}
		c.mu.Lock()
		c.rotation = rotation
		c.mu.Unlock()
	}
}

// pick returns an entry of the rotation, nil while there is none.
func (c *Callers) pick(random *rand.Rand) *program.Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.rotation) == 0 {
		return nil
	}
	return c.rotation[random.IntN(len(c.rotation))]
}

// call is one caller, who keeps its connection for a session.
func (c *Callers) call(ctx context.Context, random *rand.Rand) {
	transport := &http.Transport{MaxIdleConnsPerHost: 2}
	defer transport.CloseIdleConnections()
	var entry *program.Entry
	for n := 0; ctx.Err() == nil; n++ {
		if n%sessionLength == 0 || entry == nil || !entry.Runs() {
			entry = c.pick(random)
		}
		if entry != nil {
			c.send(transport, random, entry)
		}
		time.Sleep(time.Duration(random.ExpFloat64() * float64(pause)))
	}
}

// send sends one request and records how it ended.
func (c *Callers) send(transport http.RoundTripper, random *rand.Rand, e *program.Entry) {
	sure, newest := c.Keys()
	r := history.Request{
		ID: fmt.Sprintf("q-%d", c.sent.Add(1)), Entry: e.Settings.Name, Lifetime: e.Lifetime(), Key: sure,
		Kind: []history.Kind{history.Confirm, history.Confirm, history.Check, history.Draft}[random.IntN(4)],
	}
	call := standin.Call{ID: r.ID, Method: http.MethodPost, Path: "/" + string(r.Kind) + "/x", Host: Host, Body: "slot=" + r.ID, TimeLeft: timeLeft}
	switch {
	case r.Kind == history.Check:
		call.Method, call.Body = http.MethodGet, ""
		// Only these may be denied without harm.
		r.Key = []int{sure, newest, newest - 2}[random.IntN(3)]
	case r.Kind == history.Draft:
		call.Stream = true
	}
	r.Key = max(r.Key, 1)
	call.Key = KeyName(r.Key)
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	request, err := call.Request(ctx, e.Settings.Callers)
	if err != nil {
		panic(err) // calls are built from constants
	}
	r.Sent = time.Now()
	r.Until = r.Sent.Add(timeLeft)
	answer, err := transport.RoundTrip(request)
	if err != nil {
		r.Outcome, r.Detail = lost(err), err.Error()
	} else {
		c.judge(&r, call, answer)
	}
	r.Ended = time.Now()
	c.Ledger.Ended(r)
}

// lost returns the outcome of a request without an answer.
func lost(err error) history.Outcome {
	var operation *net.OpError
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return history.Abandoned
	case errors.As(err, &operation) && operation.Op == "dial", errors.Is(err, syscall.ECONNREFUSED):
		return history.Unsent
	default:
		return history.Broken
	}
}

// judge reads an answer and compares it with what an upstream would have sent.
func (c *Callers) judge(r *history.Request, call standin.Call, answer *http.Response) {
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	body := string(text)
	r.Status = answer.StatusCode
	upstream := standin.SignedBy(answer.Header)
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		r.Outcome = history.Abandoned
	case err != nil && r.Kind == history.Draft && !strings.HasPrefix(c.Events, body):
		r.Outcome, r.Detail = history.Wrong, fmt.Sprintf("events %q", body)
	case err != nil:
		r.Outcome, r.Detail = history.Broken, err.Error()
	case r.Status == http.StatusUnauthorized:
		r.Outcome = history.Denied
	case r.Status == http.StatusTooManyRequests, r.Status == http.StatusServiceUnavailable,
		r.Status == http.StatusRequestTimeout, r.Status == http.StatusMisdirectedRequest:
		r.Outcome, r.Detail = history.Refused, strings.TrimSpace(body)
		if upstream != "" {
			r.Outcome, r.Detail = history.Wrong, "a refusal bears the signature of "+upstream
		}
	case r.Status != http.StatusOK:
		r.Outcome, r.Detail = history.Failed, strings.TrimSpace(body)
	case upstream == "":
		r.Outcome, r.Detail = history.Wrong, "a success without a signature"
	case r.Kind == history.Draft && body != c.Events:
		r.Outcome, r.Detail = history.Wrong, fmt.Sprintf("events %q", body)
	case r.Kind != history.Draft && body != standin.ResponseBody(upstream, call.Method, call.Path, call.Body):
		r.Outcome, r.Detail = history.Wrong, fmt.Sprintf("body %q of %s", body, upstream)
	default:
		r.Outcome, r.Detail = history.Answered, upstream
	}
}
