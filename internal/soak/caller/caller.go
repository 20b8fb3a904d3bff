// Package caller sends requests to the entries of a soak run as callers do, classifies
// each response by itself, and records the outcomes. Package history checks what
// follows from all requests together.
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

// Timing of the callers, and the number of requests between changes of the entry.
const (
	// timeLimit is the time from the sending of a request to the deadline that the
	// caller gives the entry.
	timeLimit = 3 * time.Second
	// abandonDelay is the time after the deadline after which a caller abandons a request
	// without a complete response.
	abandonDelay = 4 * time.Second
	// meanThinkTime is the mean time from the end of a request to the caller's next
	// one.
	meanThinkTime = 60 * time.Millisecond
	// readyPollInterval is the time between two readiness probes of the entries. Two
	// consecutive probes without status 200 remove an entry from the rotation.
	readyPollInterval = 300 * time.Millisecond
	// longTimeLimit is timeLimit for letters, which may take longer than a draining entry has
	// left. Their upstream sends an event after minPace to maxPace, and answers a long confirm
	// after confirmPaces times that.
	longTimeLimit    = 8 * time.Second
	minPace, maxPace = 200 * time.Millisecond, 850 * time.Millisecond
	confirmPaces     = 3
	// requestsPerEntry is the number of requests that a caller sends to one entry
	// before it chooses another one.
	requestsPerEntry = 12
	// sharedParts is the number of parts that the prompts of streams share. Upstreams end on
	// one request in deadlyEvery.
	sharedParts = 3
	deadlyEvery = 12
)

// Host is the host of all routes.
const Host = "books.example"

// DeadlySuffix ends the paths of the requests without a prompt on which upstreams end.
const DeadlySuffix = "/deadly"

// LongSuffix ends the paths of the requests that name the time that they take.
const LongSuffix = "/long"

// KeyName returns the API key that a version of the configuration adds.
func KeyName(version int) string { return fmt.Sprintf("k-%d", version) }

// Callers are the callers of a run.
type Callers struct {
	History *history.History
	Entries []*program.Entry
	// KeyVersions returns a configuration version whose key every entry should accept,
	// and the newest version.
	KeyVersions func() (accepted, newest int)
	// StreamBody is the complete body of a stream.
	StreamBody string
	// DeadlyPart is the part of prompts on which upstreams end.
	DeadlyPart string
	// Long is the number of further callers who send only letters and confirms that take
	// long.
	Long int
	// Deadly reports whether requests are sent on which upstreams end for the given cause.
	Deadly func(history.DeadlyCause) bool

	requestCount atomic.Int64
	mu           sync.Mutex
	rotation     []*program.Entry
}

// Run sends requests from count callers until ctx ends, and then waits until the last
// requests have ended. The seed determines which requests each caller sends.
func (c *Callers) Run(ctx context.Context, seed uint64, count int) {
	var running sync.WaitGroup
	running.Go(func() { c.pollReadiness(ctx) })
	for n := range count + c.Long {
		random := rand.New(rand.NewPCG(seed, uint64(n)))
		send := c.send
		if n >= count {
			send = c.sendLong
		}
		running.Go(func() { c.runCaller(ctx, random, send) })
	}
	running.Wait()
}

// pollReadiness updates the rotation until ctx ends, as a load balancer in front of the
// entries does.
func (c *Callers) pollReadiness(ctx context.Context) {
	client := &http.Client{Timeout: readyPollInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	failedProbes := make([]int, len(c.Entries))
	for ; ctx.Err() == nil; time.Sleep(readyPollInterval) {
		rotation := []*program.Entry{}
		for i, e := range c.Entries {
			failedProbes[i]++
			if e.Ready(client) {
				failedProbes[i] = 0
			}
			if failedProbes[i] < 2 {
				rotation = append(rotation, e)
			}
		}
		c.mu.Lock()
		c.rotation = rotation
		c.mu.Unlock()
	}
}

// pick returns a random entry of the rotation, or nil if it is empty.
func (c *Callers) pick(random *rand.Rand) *program.Entry {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.rotation) == 0 {
		return nil
	}
	return c.rotation[random.IntN(len(c.rotation))]
}

// runCaller sends the requests of one caller until ctx ends. The caller keeps its entry
// and connection for requestsPerEntry requests, unless the entry's process exits.
func (c *Callers) runCaller(ctx context.Context, random *rand.Rand, send func(http.RoundTripper, *rand.Rand, *program.Entry)) {
	transport := &http.Transport{MaxIdleConnsPerHost: 2}
	defer transport.CloseIdleConnections()
	var entry *program.Entry
	for n := 0; ctx.Err() == nil; n++ {
		if n%requestsPerEntry == 0 || entry == nil || !entry.Running() {
			entry = c.pick(random)
		}
		if entry != nil {
			send(transport, random, entry)
		}
		time.Sleep(time.Duration(random.ExpFloat64() * float64(meanThinkTime)))
	}
}

// send sends one request and records how it ended.
func (c *Callers) send(transport http.RoundTripper, random *rand.Rand, e *program.Entry) {
	accepted, newest := c.KeyVersions()
	r := history.Request{
		ID: fmt.Sprintf("q-%d", c.requestCount.Add(1)), Entry: e.Settings.Name, Incarnation: e.Incarnation(), Key: accepted,
		Kind: []history.Kind{history.Confirm, history.Confirm, history.Check, history.Draft}[random.IntN(4)],
	}
	call := standin.Call{ID: r.ID, Method: http.MethodPost, Path: "/" + string(r.Kind) + "/x", Host: Host, Body: "slot=" + r.ID, TimeLeft: timeLimit}
	switch {
	case r.Kind == history.Check:
		call.Method, call.Body = http.MethodGet, ""
		if c.drawDeadly(random, &r, history.DeadlyCheck) {
			call.Path += DeadlySuffix
		}
		// Only requests of this kind may be denied without harm, so only they are sent
		// with keys that an entry may deny.
		r.Key = []int{accepted, newest, newest - 2}[random.IntN(3)]
	case r.Kind == history.Draft:
		call.Stream = true
		shared := fmt.Sprintf("shared%d:40,", len(r.ID)%sharedParts)
		if c.drawDeadly(random, &r, history.DeadlyPart) {
			shared += c.DeadlyPart + ":9,"
		}
		call.Prompt = shared + r.ID + ":100"
	case c.drawDeadly(random, &r, history.DeadlyConfirm):
		call.Path, call.Body = call.Path+DeadlySuffix, "slot=deadly"
	}
	r.Key = max(r.Key, 1)
	c.exchange(transport, e, r, call)
}

// sendLong sends one request that takes long and records how it ended.
func (c *Callers) sendLong(transport http.RoundTripper, random *rand.Rand, e *program.Entry) {
	accepted, _ := c.KeyVersions()
	r := history.Request{
		ID: fmt.Sprintf("q-%d", c.requestCount.Add(1)), Entry: e.Settings.Name, Incarnation: e.Incarnation(), Key: accepted,
		Kind: []history.Kind{history.Confirm, history.Letter, history.Letter}[random.IntN(3)],
	}
	pace := minPace + time.Duration(random.Float64()*float64(maxPace-minPace))
	call := standin.Call{ID: r.ID, Method: http.MethodPost, Path: "/" + string(r.Kind) + LongSuffix, Host: Host, Body: pace.String(), TimeLeft: timeLimit}
	if r.Kind == history.Letter {
		call.Stream, call.TimeLeft = true, longTimeLimit
	} else {
		call.Body = (confirmPaces * pace).String()
	}
	c.exchange(transport, e, r, call)
}

// Pace returns the time that an upstream takes before its response to a request and between
// events: the time that the request names, or usual.
func Pace(r standin.Run, usual time.Duration) time.Duration {
	if !strings.HasSuffix(r.Target, LongSuffix) {
		return usual
	}
	pace, err := time.ParseDuration(r.Body)
	if err != nil {
		panic(err) // cannot happen: sendLong writes these bodies
	}
	return pace
}

// exchange sends a request and records how it ended.
func (c *Callers) exchange(transport http.RoundTripper, e *program.Entry, r history.Request, call standin.Call) {
	call.Key = KeyName(r.Key)
	ctx, cancel := context.WithTimeout(context.Background(), call.TimeLeft+abandonDelay)
	defer cancel()
	request, err := call.Request(ctx, e.Settings.ListenAddress)
	if err != nil {
		panic(err) // cannot happen: calls are built from constants
	}
	r.Sent = time.Now()
	r.Deadline = r.Sent.Add(call.TimeLeft)
	response, err := transport.RoundTrip(request)
	if err != nil {
		r.Outcome, r.Detail = transportOutcome(err), err.Error()
	} else {
		c.classify(&r, call, response)
	}
	r.Ended = time.Now()
	c.History.AddRequest(r)
}

// drawDeadly reports whether upstreams are to end on a request for a cause, and records that.
func (c *Callers) drawDeadly(random *rand.Rand, r *history.Request, why history.DeadlyCause) bool {
	if !c.Deadly(why) || random.IntN(deadlyEvery) != 0 {
		return false
	}
	r.Deadly = why
	return true
}

// transportOutcome returns the outcome of a request that ended with an error of the
// transport and no response.
func transportOutcome(err error) history.Outcome {
	var operation *net.OpError
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		return history.Abandoned
	case errors.As(err, &operation) && operation.Op == "dial", errors.Is(err, syscall.ECONNREFUSED):
		return history.Unsent
	default:
		return history.Interrupted
	}
}

// classify reads a response, compares it with the one that the upstream that signed it
// sends, and sets the status, outcome and detail of the request.
func (c *Callers) classify(r *history.Request, call standin.Call, response *http.Response) {
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	body := string(text)
	r.Status = response.StatusCode
	upstream := standin.SignedBy(response.Header)
	switch {
	case errors.Is(err, context.DeadlineExceeded):
		r.Outcome = history.Abandoned
	case err != nil && call.Stream && !strings.HasPrefix(c.StreamBody, body):
		r.Outcome, r.Detail = history.Wrong, fmt.Sprintf("events %q", body)
	case err != nil:
		r.Outcome, r.Detail = history.Interrupted, err.Error()
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
	case call.Stream && body != c.StreamBody:
		r.Outcome, r.Detail = history.Wrong, fmt.Sprintf("events %q", body)
	case !call.Stream && body != standin.ResponseBody(upstream, call.Method, call.Path, call.Body):
		r.Outcome, r.Detail = history.Wrong, fmt.Sprintf("body %q of %s", body, upstream)
	default:
		r.Outcome, r.Detail = history.Answered, upstream
	}
}
