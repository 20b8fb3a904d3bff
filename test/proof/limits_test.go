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

// TestOverloadIsRefusedAtOnceAndHonestly offers an upstream 5 times what it can
// do and checks goodput, the time to a refusal, and that coming back helps.
func TestOverloadIsRefusedAtOnceAndHonestly(t *testing.T) {
	is := is.New(t)
	const slots, service = 4, 50 * time.Millisecond
	const capacity = float64(slots) / 0.05 // a second, for one upstream
	d := deploy(t, size{entries: 2, engines: 0, services: 1}, map[string]map[string]any{
		"service/stock": {"upstream-slots": slots, "queue-length": 16, "queue-wait": "500ms"},
	})
	d.knobs(d.processes["service-s1"].address, map[string]any{"delay-milliseconds": service.Milliseconds()})
	var mu sync.Mutex
	var group sync.WaitGroup
	served, refused, slowest := 0, 0, time.Duration(0)
	const length = 4 * time.Second
	const offered = 5 * capacity
	begun := time.Now()
	for n := 0; time.Since(begun) < length; n++ {
		time.Sleep(time.Until(begun.Add(time.Duration(float64(n) / offered * float64(time.Second)))))
		group.Go(func() {
			sent := time.Now()
			r := d.call(t.Context(), fmt.Sprintf("e%d", n%2+1), http.MethodGet, fmt.Sprintf("/services/stock/%d", n), "", nil)
			took := time.Since(sent)
			mu.Lock()
			defer mu.Unlock()
			if r.whole() {
				served++
				return
			}
			refused++
			slowest = max(slowest, took)
			if r.err != nil || r.problem.Run != answer.NotRun || r.problem.RetryAfterSeconds < 1 {
				t.Errorf("refused with %v %s", r.err, r.body)
			}
		})
	}
	group.Wait()
	goodput := float64(served) / time.Since(begun).Seconds()
	t.Logf("offered %.0f/s, served %.0f/s of %.0f/s, %d refused, the slowest refusal after %v", offered, goodput, capacity, refused, slowest)
	is.True(goodput > 0.9*capacity)
	is.True(slowest < time.Second) // never held until near the deadline of minutes
	// The promise of not-run, for ever after.
	is.Equal(len(d.counts()), served)
	// Whoever comes back when told is served.
	time.Sleep(time.Second)
	is.True(d.call(t.Context(), "e1", http.MethodGet, "/services/stock/again", "", nil).whole())
}

// TestFailingUpstreamsDoNotMultiplyLoad breaks every engine's answers at once.
func TestFailingUpstreamsDoNotMultiplyLoad(t *testing.T) {
	is := is.New(t)
	d := deploy(t, size{entries: 1, engines: 0, services: 3}, nil)
	for _, name := range []string{"s1", "s2", "s3"} {
		d.knobs(d.processes["service-"+name].address, map[string]any{"break-after": 1000000})
	}
	const requests = 300
	for n := range requests {
		r := d.call(t.Context(), "e1", http.MethodGet, fmt.Sprintf("/services/stock/%d", n), "", nil)
		is.Equal(r.problem.Run, answer.RunUnknown)
		is.True(r.problem.RetryAllowed)
	}
	ran := d.ran("s1") + d.ran("s2") + d.ran("s3")
	t.Logf("%d requests came to %d executions", requests, ran)
	is.True(float64(ran) < 1.25*requests) // retry-ratio 0.1 and the reserve of 20
}

// TestSlowUpstreamIsEjectedAndLetBack slows one of three services down.
func TestSlowUpstreamIsEjectedAndLetBack(t *testing.T) {
	is := is.New(t)
	d := deploy(t, size{entries: 1, engines: 0, services: 3}, map[string]map[string]any{"service/stock": {"ejection-time": "1s"}})
	slow := d.processes["service-s1"].address
	d.knobs(slow, map[string]any{"delay-milliseconds": 300})
	call := func(n int) time.Duration {
		begun := time.Now()
		is.True(d.call(t.Context(), "e1", http.MethodGet, fmt.Sprintf("/services/stock/%d", n), "", nil).whole())
		return time.Since(begun)
	}
	ejected := func() bool {
		var s entryState
		if !d.dump("e1", &s) {
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
	fast := 0
	for n := range 60 {
		if call(1000+n) < 150*time.Millisecond {
			fast++
		}
	}
	is.True(fast >= 57) // but for a probe or two
	d.knobs(slow, map[string]any{})
	before := d.ran("s1")
	eventually(t, 20*time.Second, "the upstream is let back", func() bool {
		for n := range 20 {
			call(2000 + n)
		}
		return !ejected() && d.ran("s1") > before+5
	})
}

// TestFrozenPlatformBlocksNoRequest freezes the platform, which then accepts
// connections and never answers.
func TestFrozenPlatformBlocksNoRequest(t *testing.T) {
	is := is.New(t)
	d := deploy(t, size{entries: 2, engines: 1, services: 2}, nil)
	session := d.open("e1")
	d.signal("platform", syscall.SIGSTOP)
	time.Sleep(500 * time.Millisecond)
	for n := range 20 {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		is.True(d.call(ctx, "e1", http.MethodGet, "/services/stock/x", "", nil).whole())
		cancel()
		is.True(d.post("e2", fmt.Sprint("keyed ", n), session, "x").whole())
	}
	// Only a key without a session needs the platform; it is refused soon.
	begun := time.Now()
	r := d.post("e1", "no session", "", "x")
	is.Equal(r.problem.Type, "urn:bramleydeal:error:claim-unavailable")
	is.True(r.problem.RetryAfterSeconds > 0)
	is.True(time.Since(begun) < 2500*time.Millisecond)
	d.signal("platform", syscall.SIGCONT)
	eventually(t, 10*time.Second, "the key goes through", func() bool { return d.post("e1", "no session", "", "x").whole() })
	is.Equal(d.counts()["no session"], 1)
}

// TestLargeAccountDoesNotStarveSmallOnes has one account send all it can.
func TestLargeAccountDoesNotStarveSmallOnes(t *testing.T) {
	is := is.New(t)
	d := deploy(t, size{entries: 2, engines: 0, services: 1}, map[string]map[string]any{
		"service/stock": {"upstream-slots": 2, "queue-length": 16, "queue-wait": "1s"},
	})
	output, code := d.command("create", "-output", "json", "client-account", "portal")
	is.Equal(code, 0)
	var created struct {
		Key string `json:"key"`
	}
	is.NoErr(json.Unmarshal([]byte(output), &created))
	d.knobs(d.processes["service-s1"].address, map[string]any{"delay-milliseconds": 20})
	small := map[string]string{"Authorization": "Bearer " + created.Key}
	eventually(t, 5*time.Second, "the new account is known", func() bool {
		return d.call(t.Context(), "e2", http.MethodGet, "/services/stock/x", "", small).whole()
	})
	stop := make(chan struct{})
	var group sync.WaitGroup
	for n := range 40 {
		group.Go(func() {
			for i := 0; !closed(stop); i++ {
				d.call(t.Context(), fmt.Sprintf("e%d", n%2+1), http.MethodGet, "/services/stock/large", "", nil)
			}
		})
	}
	time.Sleep(200 * time.Millisecond)
	served := 0
	for range 40 {
		if d.call(t.Context(), "e2", http.MethodGet, "/services/stock/small", "", small).whole() {
			served++
		}
	}
	close(stop)
	group.Wait()
	t.Logf("the small account was served %d of 40 times", served)
	is.True(served >= 38)
}
