package proof

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"bramleydeal/internal/world/answer"
	"github.com/matryer/is"
)

// callTally counts the results of calls. Calls without a complete response count as
// failed. Refusals are counted by title and detail. It is safe for concurrent use.
type callTally struct {
	mu        sync.Mutex
	refusals  map[string]int
	failed    int
	succeeded int
}

// add counts a result.
func (t *callTally) add(result callResult) {
	t.mu.Lock()
	defer t.mu.Unlock()
	switch {
	case result.err != nil:
		t.failed++
	case result.succeeded():
		t.succeeded++
	default:
		t.refusals[result.problem.Title+": "+result.problem.Detail]++
	}
}

// readyEntries returns those of the given entries whose /readyz returns status 200.
func (d *deployment) readyEntries(entries []string) []string {
	var ready []string
	for _, entry := range entries {
		response, err := http.Get(d.url(entry) + "/readyz")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			ready = append(ready, entry)
		}
	}
	return ready
}

// balancer is a stand-in for the platform's load balancer. It distributes requests over
// the entries that were ready when it last checked, every 50 ms.
type balancer struct {
	ready atomic.Pointer[[]string]
	next  atomic.Uint64
}

// startBalancer returns a balancer over entries that checks their readiness until stop is
// closed. While no entry is ready, it keeps the previous set.
func (d *deployment) startBalancer(entries []string, stop <-chan struct{}) *balancer {
	b := &balancer{}
	ready := d.readyEntries(entries)
	b.ready.Store(&ready)
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
				current := d.readyEntries(entries)
				if len(current) > 0 {
					b.ready.Store(&current)
				}
			}
		}
	}()
	return b
}

// pick returns the next entry, in turn.
func (b *balancer) pick() string {
	ready := *b.ready.Load()
	return ready[b.next.Add(1)%uint64(len(ready))]
}

// TestRollingReplacementInterruptsNoRequest drains and restarts every entry and agent in
// turn under load. No stream may be interrupted, and no call may fail or be refused.
func TestRollingReplacementInterruptsNoRequest(t *testing.T) {
	is := is.New(t)
	d := deploy(t, fleetSize{entries: 3, engines: 3, services: 3}, nil)
	for _, name := range []string{"s1", "s2", "s3"} {
		d.setKnobs(d.processes["service-"+name].address, map[string]any{"delay-milliseconds": 30})
	}
	entries := []string{"e1", "e2", "e3"}
	stop := make(chan struct{})
	b := d.startBalancer(entries, stop)
	tally := &callTally{refusals: map[string]int{}}
	var group sync.WaitGroup
	var mu sync.Mutex
	var streamCallers []*streamCaller
	var requests []keyedRequest
	for n := range 8 {
		group.Go(func() {
			for i := 0; !isClosed(stop); i++ {
				c := newStreamCaller(d, []string{b.pick()}, fmt.Sprintf("rolling %d %d", n, i), 60, false)
				c.run(0)
				mu.Lock()
				streamCallers = append(streamCallers, c)
				mu.Unlock()
			}
		})
		session := ""
		if n%2 == 0 {
			session = d.open("e1")
		}
		group.Go(func() {
			for i := 0; !isClosed(stop); i++ {
				request := d.sendWithRetries([]string{b.pick()}, fmt.Sprintf("rolling-%d-%d", n, i), session, 0)
				for _, r := range request.results {
					tally.add(r)
				}
				mu.Lock()
				requests = append(requests, request)
				mu.Unlock()
				if newSession := request.last().header.Get("Bramleydeal-Session"); newSession != "" {
					session = newSession
				}
			}
		})
		group.Go(func() {
			for !isClosed(stop) {
				tally.add(d.call(t.Context(), b.pick(), http.MethodGet, "/services/stock/slots", "", nil))
			}
		})
	}
	for _, name := range []string{"e1", "w1", "s1", "e2", "w2", "s2", "e3", "w3", "s3"} {
		d.drain(name, 10*time.Second)
		is.Equal(d.processes[name].command.ProcessState.ExitCode(), 0)
		d.restart(name, map[byte]string{'e': "entry", 'w': "agent", 's': "agent"}[name[0]])
		d.waitReady()
		time.Sleep(200 * time.Millisecond)
	}
	close(stop)
	group.Wait()
	d.checkAtMostOnce(requests)
	resumed := 0
	for _, c := range streamCallers {
		c.check()
		resumed += c.resumed
		is.True(c.complete) // every stream is complete
	}
	t.Logf("%d complete streams, %d reconnections; calls: %d succeeded, %d failed, refusals %v", len(streamCallers), resumed, tally.succeeded, tally.failed, tally.refusals)
	is.Equal(resumed, 0)
	is.Equal(tally.failed, 0)
	is.Equal(len(tally.refusals), 0)
}

// isClosed reports whether c is closed.
func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// TestDrainingAgentGetsNoNewRequests drains an agent that still runs requests, during a
// platform outage: the entries can learn of the draining only from the agent itself, as
// the platform cannot update their list of instances.
func TestDrainingAgentGetsNoNewRequests(t *testing.T) {
	is := is.New(t)
	d := deploy(t, fleetSize{entries: 3, engines: 0, services: 2}, nil)
	d.setKnobs(d.platformAddress, map[string]any{"outage": true})
	d.setKnobs(d.processes["service-s1"].address, map[string]any{"delay-milliseconds": 3000})
	d.setKnobs(d.processes["service-s2"].address, map[string]any{"delay-milliseconds": 1})
	var runningRequests sync.WaitGroup
	for n := range 6 {
		runningRequests.Go(func() {
			d.call(t.Context(), fmt.Sprintf("e%d", n%3+1), http.MethodGet, fmt.Sprintf("/services/stock/long-%d", n), "", nil)
		})
	}
	time.Sleep(300 * time.Millisecond)
	d.signal("s1", syscall.SIGTERM)
	time.Sleep(100 * time.Millisecond)
	before := d.totalExecutions("s1")
	for n := range 200 {
		r := d.call(t.Context(), fmt.Sprintf("e%d", n%3+1), http.MethodGet, fmt.Sprintf("/services/stock/new-%d", n), "", nil)
		is.True(r.succeeded())
	}
	is.Equal(d.totalExecutions("s1"), before) // no new request 100 ms after the signal; the guarantee allows 3 s
	runningRequests.Wait()
	select {
	case <-d.processes["s1"].done:
	case <-time.After(10 * time.Second):
		t.Fatal("s1 did not end within 10 s after its last request")
	}
}

// totalExecutions returns the number of executions at the service of one agent.
func (d *deployment) totalExecutions(agent string) int {
	d.t.Helper()
	n := 0
	for _, count := range d.executionsOf("service-" + agent) {
		n += count
	}
	return n
}

// TestStreamsResumeElsewhereAfterDrainLimit drains an entry with streams that run longer
// than its drain limit. Every caller must be able to resume its stream at another entry,
// after exactly one reconnection.
func TestStreamsResumeElsewhereAfterDrainLimit(t *testing.T) {
	is := is.New(t)
	d := deploy(t, fleetSize{entries: 2, engines: 2, services: 0}, map[string]map[string]any{
		"fleet": {"drain-limit": "500ms"},
	})
	var group sync.WaitGroup
	callers := make([]*streamCaller, 12)
	for n := range callers {
		callers[n] = newStreamCaller(d, []string{"e1", "e2"}, fmt.Sprintf("long %d", n), 600, false)
		group.Go(func() { callers[n].run(0) })
	}
	time.Sleep(300 * time.Millisecond)
	d.drain("e1", 5*time.Second)
	group.Wait()
	for _, c := range callers {
		c.check()
		is.True(c.complete)
		is.Equal(c.resumed, 1)
	}
}

// TestStoredResponsesOutliveTheirAgent repeats a request after the agent that ran it has
// drained, and again after a new agent was started under the same name. Each repetition
// must return the stored response, without another execution. The responses are stored in
// the agent's ledger, its deduplication table of idempotency keys. A session names a ledger
// term, which is one generation of the ledger.
func TestStoredResponsesOutliveTheirAgent(t *testing.T) {
	is := is.New(t)
	d := deploy(t, fleetSize{entries: 2, engines: 0, services: 3}, nil)
	session := d.open("e1")
	owner := session[:2] // all agents in this test have names of two characters
	first := d.post("e1", "kept", session, "body of kept")
	is.True(first.succeeded())
	claimed := d.post("e1", "claimed", "", "body of claimed")
	is.True(claimed.succeeded())
	d.drain(owner, 10*time.Second)
	repeated := d.post("e2", "kept", session, "body of kept")
	is.True(repeated.succeeded()) // the successor of the owner has the stored response
	is.Equal(repeated.body, first.body)
	newRequest := d.post("e2", "new under the old session", session, "x")
	is.True(newRequest.succeeded()) // the successor runs new requests under the ledger term of the session
	d.restart(owner, "agent")
	d.waitReady()
	repeated = d.post("e1", "kept", session, "body of kept")
	is.True(repeated.succeeded())
	is.Equal(repeated.body, first.body)
	for _, n := range d.executions() {
		is.Equal(n, 1)
	}
}

// TestKilledOwnerEndsLedgerTermButNotSession kills the agent that owns a session while it
// runs a request. The ledger is lost with the agent: the outcome of the request must be
// reported as unknown, and the caller gets a session token with a new ledger term.
func TestKilledOwnerEndsLedgerTermButNotSession(t *testing.T) {
	is := is.New(t)
	d := deploy(t, fleetSize{entries: 2, engines: 0, services: 3}, nil)
	session := d.open("e1")
	owner := session[:2]
	d.setKnobs(d.processes["service-"+owner].address, map[string]any{"delay-milliseconds": 5000})
	results := make(chan callResult, 1)
	go func() { results <- d.post("e1", "lost", session, "x") }()
	eventually(t, 3*time.Second, "the service runs the request", func() bool { return d.executions()["lost"] == 1 })
	killedAt := time.Now()
	d.kill(owner)
	r := <-results
	is.Equal(r.problem.Run, answer.RunUnknown)
	is.True(time.Since(killedAt) < 3*time.Second) // long before the request's deadline
	newSession := r.header.Get("Bramleydeal-Session")
	is.True(newSession != "" && newSession != session)
	d.restart(owner, "agent")
	d.waitReady()
	repeated := d.post("e2", "lost", session, "x")
	is.Equal(repeated.problem.Type, "urn:bramleydeal:error:outcome-unknown")
	is.True(!repeated.problem.RetryAllowed)
	newRequest := d.post("e2", "fresh", newSession, "x")
	is.True(newRequest.succeeded())
	counts := d.executions()
	is.Equal(counts["lost"], 1)
	is.Equal(counts["fresh"], 1)
}

// TestRepeatedStopCutsNothingOff stops an entry and an agent by a series of SIGTERM, as
// overlapping restarts send them. It guards against a process that ends at once at the
// second one and cuts off the requests that it serves.
func TestRepeatedStopCutsNothingOff(t *testing.T) {
	for _, name := range []string{"e1", "s1"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := deploy(t, fleetSize{entries: 1, services: 1}, nil)
			d.setKnobs(d.processes["service-s1"].address, map[string]any{"delay-milliseconds": 1500})
			var group sync.WaitGroup
			results := make([]callResult, 6)
			for n := range results {
				method := []string{http.MethodGet, http.MethodPost}[n%2] // POST is not idempotent
				group.Go(func() {
					results[n] = d.call(t.Context(), "e1", method, fmt.Sprintf("/services/stock/%d", n), "", nil)
				})
			}
			time.Sleep(300 * time.Millisecond)
			for range 3 {
				d.signal(name, syscall.SIGTERM)
				time.Sleep(100 * time.Millisecond)
			}
			group.Wait()
			for _, r := range results {
				is.NoErr(r.err)
				is.True(r.succeeded())
			}
		})
	}
}
