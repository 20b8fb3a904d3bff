package proof

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"bramleydeal/internal/world/answer"
	"github.com/matryer/is"
)

// TestOverloadIsRefusedAtOnceAsNotRun offers an upstream 5 times its capacity. The upstream
// must still complete requests at nearly its capacity. All other requests must be refused
// early, with the status "not run", which must be true, and with a delay after which a
// retry succeeds.
func TestOverloadIsRefusedAtOnceAsNotRun(t *testing.T) {
	is := is.New(t)
	const slots, executionTime = 4, 50 * time.Millisecond
	const capacity = float64(slots) / 0.05 // requests per second of the one upstream, at 0.05 s each
	d := deploy(t, fleetSize{entries: 2, engines: 0, services: 1}, map[string]map[string]any{
		"service/stock": {"upstream-slots": slots, "queue-length": 16, "queue-wait": "500ms"},
	})
	d.setKnobs(d.processes["service-s1"].address, map[string]any{"delay-milliseconds": executionTime.Milliseconds()})
	var mu sync.Mutex
	var group sync.WaitGroup
	served, refused, slowestRefusal := 0, 0, time.Duration(0)
	const loadDuration = 4 * time.Second
	const offeredRate = 5 * capacity
	start := time.Now()
	for n := 0; time.Since(start) < loadDuration; n++ {
		time.Sleep(time.Until(start.Add(time.Duration(float64(n) / offeredRate * float64(time.Second)))))
		group.Go(func() {
			sentAt := time.Now()
			r := d.call(t.Context(), fmt.Sprintf("e%d", n%2+1), http.MethodGet, fmt.Sprintf("/services/stock/%d", n), "", nil)
			took := time.Since(sentAt)
			mu.Lock()
			defer mu.Unlock()
			if r.succeeded() {
				served++
				return
			}
			refused++
			slowestRefusal = max(slowestRefusal, took)
			if r.err != nil || r.problem.Run != answer.NotRun || r.problem.RetryAfterSeconds < 1 {
				t.Errorf("refusal without a retry delay, or not marked as not run: error %v, body %s", r.err, r.body)
			}
		})
	}
	group.Wait()
	goodput := float64(served) / time.Since(start).Seconds()
	t.Logf("offered %.0f requests/s, served %.0f/s at a capacity of %.0f/s, %d refused, slowest refusal after %v", offeredRate, goodput, capacity, refused, slowestRefusal)
	is.True(goodput > 0.9*capacity)
	is.True(slowestRefusal < time.Second) // refused early, not near the request deadline of 5 minutes
	// No refused request may run, at once or later.
	is.Equal(len(d.executions()), served)
	// A retry after the delay named in the refusals succeeds.
	time.Sleep(time.Second)
	is.True(d.call(t.Context(), "e1", http.MethodGet, "/services/stock/again", "", nil).succeeded())
}

// TestFailingUpstreamsDoNotMultiplyLoad makes all services close every connection after the
// execution. The retry budget must keep the retries from multiplying the load.
func TestFailingUpstreamsDoNotMultiplyLoad(t *testing.T) {
	is := is.New(t)
	d := deploy(t, fleetSize{entries: 1, engines: 0, services: 3}, nil)
	for _, name := range []string{"s1", "s2", "s3"} {
		d.setKnobs(d.processes["service-"+name].address, map[string]any{"break-after": 1000000})
	}
	const requests = 300
	for n := range requests {
		r := d.call(t.Context(), "e1", http.MethodGet, fmt.Sprintf("/services/stock/%d", n), "", nil)
		is.Equal(r.problem.Run, answer.RunUnknown)
		is.True(r.problem.RetryAllowed)
	}
	ran := d.totalExecutions("s1") + d.totalExecutions("s2") + d.totalExecutions("s3")
	t.Logf("%d requests led to %d executions", requests, ran)
	is.True(float64(ran) < 1.25*requests) // retry-ratio 0.1 and at most 20 saved retries
}

// TestSlowUpstreamIsEjectedAndReadmitted slows down one of three services. It must be
// ejected, so that nearly all calls are fast, and used again once it is as fast as the
// others.
func TestSlowUpstreamIsEjectedAndReadmitted(t *testing.T) {
	is := is.New(t)
	d := deploy(t, fleetSize{entries: 1, engines: 0, services: 3}, map[string]map[string]any{"service/stock": {"ejection-time": "1s"}})
	slowAddress := d.processes["service-s1"].address
	d.setKnobs(slowAddress, map[string]any{"delay-milliseconds": 300})
	call := func(n int) time.Duration {
		start := time.Now()
		is.True(d.call(t.Context(), "e1", http.MethodGet, fmt.Sprintf("/services/stock/%d", n), "", nil).succeeded())
		return time.Since(start)
	}
	ejected := func() bool {
		var s processState
		if !d.readState("e1", &s) {
			return false
		}
		for _, c := range s.Upstreams["service/stock"] {
			if c.Name == "s1" {
				return c.Ejected
			}
		}
		return false
	}
	for n := 0; !ejected(); n++ {
		call(n)
		is.True(n < 200)
	}
	fastCalls := 0
	for n := range 60 {
		if call(1000+n) < 150*time.Millisecond {
			fastCalls++
		}
	}
	is.True(fastCalls >= 57) // a few calls may probe the ejected upstream
	d.setKnobs(slowAddress, map[string]any{})
	before := d.totalExecutions("s1")
	eventually(t, 20*time.Second, "the upstream is no longer ejected and serves requests", func() bool {
		for n := range 20 {
			call(2000 + n)
		}
		return !ejected() && d.totalExecutions("s1") > before+5
	})
}

// TestStalledPlatformBlocksNoRequest stops the platform process, so that the kernel still
// accepts connections but no call is answered. Only a request with a key but without a
// session needs the platform, to write a claim: it must be refused soon, and succeed once
// the platform runs again.
func TestStalledPlatformBlocksNoRequest(t *testing.T) {
	is := is.New(t)
	d := deploy(t, fleetSize{entries: 2, engines: 1, services: 2}, nil)
	session := d.open("e1")
	d.signal("platform", syscall.SIGSTOP)
	time.Sleep(500 * time.Millisecond)
	for n := range 20 {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		is.True(d.call(ctx, "e1", http.MethodGet, "/services/stock/x", "", nil).succeeded())
		cancel()
		is.True(d.post("e2", fmt.Sprint("keyed ", n), session, "x").succeeded())
	}
	// A key without a session needs a claim in the platform.
	start := time.Now()
	r := d.post("e1", "no session", "", "x")
	is.Equal(r.problem.Type, "urn:bramleydeal:error:claim-unavailable")
	is.True(r.problem.RetryAfterSeconds > 0)
	is.True(time.Since(start) < 2500*time.Millisecond)
	d.signal("platform", syscall.SIGCONT)
	eventually(t, 10*time.Second, "the request with a key but without a session succeeds", func() bool { return d.post("e1", "no session", "", "x").succeeded() })
	is.Equal(d.executions()["no session"], 1)
}

// TestLargeAccountDoesNotStarveSmallOnes saturates the only upstream with calls of one
// client account. Nearly all calls of another account must still be served.
func TestLargeAccountDoesNotStarveSmallOnes(t *testing.T) {
	is := is.New(t)
	d := deploy(t, fleetSize{entries: 2, engines: 0, services: 1}, map[string]map[string]any{
		"service/stock": {"upstream-slots": 2, "queue-length": 16, "queue-wait": "1s"},
	})
	output, code := d.runCommand("create", "-output", "json", "client-account", "portal")
	is.Equal(code, 0)
	var created struct {
		Key string `json:"key"`
	}
	is.NoErr(json.Unmarshal([]byte(output), &created))
	d.setKnobs(d.processes["service-s1"].address, map[string]any{"delay-milliseconds": 20})
	smallAccount := map[string]string{"Authorization": "Bearer " + created.Key}
	eventually(t, 5*time.Second, "e2 accepts the key of the new account", func() bool {
		return d.call(t.Context(), "e2", http.MethodGet, "/services/stock/x", "", smallAccount).succeeded()
	})
	stop := make(chan struct{})
	var group sync.WaitGroup
	for n := range 40 {
		group.Go(func() {
			for i := 0; !isClosed(stop); i++ {
				d.call(t.Context(), fmt.Sprintf("e%d", n%2+1), http.MethodGet, "/services/stock/large", "", nil)
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	served := 0
	for range 40 {
		if d.call(t.Context(), "e2", http.MethodGet, "/services/stock/small", "", smallAccount).succeeded() {
			served++
		}
	}
	close(stop)
	group.Wait()
	t.Logf("the small account was served %d of 40 times", served)
	is.True(served >= 38)
}
