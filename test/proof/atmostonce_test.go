package proof

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"bramleydeal/internal/world/answer"
	"github.com/matryer/is"
)

// keyedRequest is a request with an idempotency key, and the results of the attempts of
// its caller.
type keyedRequest struct {
	key, body string
	results   []callResult
}

// last returns the result of the last attempt.
func (r keyedRequest) last() callResult { return r.results[len(r.results)-1] }

// Limits of the callers in tests.
const (
	attemptTimeout = 1500 * time.Millisecond
	maxAttempts    = 6
)

// sendWithRetries sends a request with an idempotency key through one entry after
// another, beginning with the entry at index first, until it succeeds or a refusal
// forbids a retry, at most maxAttempts times. session is the session token, or empty to
// send the key without a session.
func (d *deployment) sendWithRetries(entries []string, key, session string, first int) keyedRequest {
	request := keyedRequest{key: key, body: "body of " + key}
	for n := range maxAttempts {
		ctx, cancel := context.WithTimeout(d.t.Context(), attemptTimeout)
		headers := map[string]string{"Idempotency-Key": key}
		if session != "" {
			headers["Bramleydeal-Session"] = session
		}
		r := d.call(ctx, entries[(first+n)%len(entries)], http.MethodPost, "/services/stock/confirm", request.body, headers)
		cancel()
		request.results = append(request.results, r)
		if r.succeeded() || r.err == nil && !r.problem.RetryAllowed {
			break
		}
		time.Sleep(time.Duration(r.problem.RetryAfterSeconds) * time.Second)
	}
	return request
}

// checkAtMostOnce checks every request against the execution counts of the services: no
// key ran more than once, a successful response belongs to its key and means exactly
// one execution, and a request whose last result is a refusal with "not run" did not
// run.
func (d *deployment) checkAtMostOnce(requests []keyedRequest) {
	d.t.Helper()
	counts := d.executions()
	tally := map[string]int{}
	for _, request := range requests {
		n, last := counts[request.key], request.last()
		switch {
		case n > 1:
			d.t.Errorf("key %s ran %d times", request.key, n)
		case last.succeeded():
			checkResponse(d.t, last, request.key, request.body)
			if n != 1 {
				d.t.Errorf("key %s has a response but ran %d times", request.key, n)
			}
			tally["answered"]++
		case last.err != nil:
			tally["no response"]++
		default:
			tally[last.problem.Title]++
		}
		for i, r := range request.results {
			if r.err == nil && r.problem.Run == answer.NotRun && i == len(request.results)-1 && n != 0 {
				d.t.Errorf("key %s was refused as not run (%s) but ran %d times", request.key, r.problem.Detail, n)
			}
		}
	}
	d.t.Logf("%d keys: %v", len(requests), tally)
}

// fault is a failure that a test causes for some time.
type fault struct {
	name string
	// begin causes the failure and end removes it.
	begin, end func(d *deployment)
}

// signalFault sends the signal s to a process, and undo at the end unless it is 0.
func signalFault(name string, s, undo syscall.Signal) fault {
	return fault{
		name:  fmt.Sprintf("%s gets %v", name, s),
		begin: func(d *deployment) { d.signal(name, s) },
		end: func(d *deployment) {
			if undo != 0 {
				d.signal(name, undo)
			}
		},
	}
}

// droppedTrafficFault drops all data on a link.
func droppedTrafficFault(link string) fault {
	return fault{"dropped traffic of " + link, func(d *deployment) { d.dropTraffic(link) }, func(d *deployment) { d.heal(link) }}
}

// droppedResponsesFault drops all responses on a link.
func droppedResponsesFault(link string) fault {
	return fault{"dropped responses of " + link, func(d *deployment) { d.dropResponses(link) }, func(d *deployment) { d.heal(link) }}
}

// platformFault sets faults of the platform stand-in.
func platformFault(name string, knobs map[string]any) fault {
	return fault{name,
		func(d *deployment) { d.setKnobs(d.platformAddress, knobs) },
		func(d *deployment) { d.setKnobs(d.platformAddress, map[string]any{}) }}
}

// serviceFault sets faults of the first service.
func serviceFault(name string, knobs map[string]any) fault {
	return fault{name,
		func(d *deployment) { d.setKnobs(d.processes["service-s1"].address, knobs) },
		func(d *deployment) { d.setKnobs(d.processes["service-s1"].address, map[string]any{}) }}
}

// Faults of several tests.
var (
	entryKilled              = signalFault("e1", syscall.SIGKILL, 0)
	entryStalled             = signalFault("e1", syscall.SIGSTOP, syscall.SIGCONT)
	agentKilled              = signalFault("s1", syscall.SIGKILL, 0)
	agentStalled             = signalFault("s1", syscall.SIGSTOP, syscall.SIGCONT)
	upstreamStalled          = signalFault("service-s1", syscall.SIGSTOP, syscall.SIGCONT)
	platformDown             = platformFault("platform outage", map[string]any{"outage": true})
	platformSlow             = platformFault("slow platform", map[string]any{"delay-milliseconds": 3000})
	platformDropsResponses   = platformFault("platform drops responses", map[string]any{"lose-answers": 30})
	serviceClosesConnections = serviceFault("service closes connections after executing", map[string]any{"break-after": 5, "delay-milliseconds": 20})
)

// Load and timing of a test with faults.
const (
	// faultDelay is the time from the start of the load to the first fault.
	faultDelay    = 100 * time.Millisecond
	faultDuration = 2 * time.Second
	callerCount   = 24
	// requestsPerCaller is the number of requests that a caller sends one after another,
	// each with a new key.
	requestsPerCaller = 20
)

// TestNonIdempotentRequestsRunAtMostOnce guards against requests that run twice when
// their callers retry through other entries during one or two faults. Requests run in a
// session, which names the agent that runs them, or without one, in which case a claim
// in the platform assigns each key to an agent.
func TestNonIdempotentRequestsRunAtMostOnce(t *testing.T) {
	for _, c := range []struct {
		faults   []fault
		sessions bool
	}{
		{[]fault{entryKilled}, true},
		{[]fault{entryStalled}, true},
		{[]fault{agentKilled}, true},
		{[]fault{agentStalled}, true},
		{[]fault{upstreamStalled}, true},
		{[]fault{droppedTrafficFault("s1")}, true},
		{[]fault{droppedResponsesFault("s1")}, true},
		{[]fault{serviceClosesConnections}, true},
		{[]fault{platformDown}, true},
		{[]fault{entryKilled}, false},
		{[]fault{agentKilled}, false},
		{[]fault{droppedResponsesFault("s1")}, false},
		{[]fault{platformDropsResponses}, false},
		{[]fault{platformSlow}, false},
		{[]fault{platformDown}, false},
		{[]fault{droppedResponsesFault("e1-platform")}, false},
		{[]fault{entryKilled, agentStalled}, true},
		{[]fault{agentStalled, platformDown}, false},
		{[]fault{entryStalled, droppedResponsesFault("s1")}, true},
	} {
		name := map[bool]string{true: "sessions", false: "claims"}[c.sessions]
		for _, f := range c.faults {
			name += ", " + f.name
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			testAtMostOnce(t, c.faults, c.sessions)
		})
	}
}

// testAtMostOnce runs callers with retries during faults. After the faults, a new request
// must succeed.
func testAtMostOnce(t *testing.T, faults []fault, sessions bool) {
	is := is.New(t)
	d := deploy(t, fleetSize{entries: 3, engines: 0, services: 3}, map[string]map[string]any{
		"service/stock": {"queue-length": 10, "upstream-slots": 4},
	})
	for _, name := range []string{"s1", "s2", "s3"} {
		d.setKnobs(d.processes["service-"+name].address, map[string]any{"delay-milliseconds": 20})
	}
	entries := []string{"e1", "e2", "e3"}
	random := rand.New(rand.NewPCG(*seed, 1))
	var mu sync.Mutex
	var group sync.WaitGroup
	var requests []keyedRequest
	for n := range callerCount {
		session := ""
		if sessions {
			session = d.open(entries[n%len(entries)])
		}
		startDelay := time.Duration(random.Int64N(int64(2 * faultDelay)))
		group.Go(func() {
			time.Sleep(startDelay)
			for i := range requestsPerCaller {
				request := d.sendWithRetries(entries, fmt.Sprintf("key-%d-%d", n, i), session, n)
				mu.Lock()
				requests = append(requests, request)
				mu.Unlock()
				if next := request.last().header.Get("Bramleydeal-Session"); next != "" {
					session = next
				}
			}
		})
	}
	time.Sleep(faultDelay)
	for _, f := range faults {
		f.begin(d)
	}
	time.Sleep(faultDuration)
	for _, f := range faults {
		f.end(d)
	}
	group.Wait()
	d.checkAtMostOnce(requests)
	is.Equal(len(requests), callerCount*requestsPerCaller)
	// After the faults, new requests succeed.
	newSession := ""
	if sessions {
		newSession = d.open("e2")
	}
	afterFaults := d.sendWithRetries([]string{"e2", "e3"}, "after", newSession, 0)
	is.True(afterFaults.last().succeeded())
}
