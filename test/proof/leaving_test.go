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

// rollingRefusals are the refusals that callers may get while processes leave.
// Anything else in a rolling replacement is a cut-off request.
type rollingTally struct {
	mu       sync.Mutex
	refusals map[string]int
	broken   int
	whole    int
}

func (r *rollingTally) add(x reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case x.err != nil:
		r.broken++
	case x.whole():
		r.whole++
	default:
		r.refusals[x.problem.Title+": "+x.problem.Detail]++
	}
}

// readyEntries returns the entries that the balancer would send work to.
func (d *deployment) readyEntries(all []string) []string {
	var out []string
	for _, e := range all {
		response, err := http.Get(d.url(e) + "/readyz")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			out = append(out, e)
		}
	}
	return out
}

// balancer stands for the platform's balancer: it checks readiness every 50 ms.
type balancer struct {
	ready atomic.Pointer[[]string]
	next  atomic.Uint64
}

func (d *deployment) balance(entries []string, stop <-chan struct{}) *balancer {
	b := &balancer{}
	all := d.readyEntries(entries)
	b.ready.Store(&all)
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(50 * time.Millisecond):
				now := d.readyEntries(entries)
				if len(now) > 0 {
					b.ready.Store(&now)
				}
			}
		}
	}()
	return b
}

func (b *balancer) pick() string {
	ready := *b.ready.Load()
	return ready[b.next.Add(1)%uint64(len(ready))]
}

// TestRollingReplacementCutsOffNoRequest drains every entry and agent in turn
// under load, replacing each before the next leaves.
func TestRollingReplacementCutsOffNoRequest(t *testing.T) {
	is := is.New(t)
	d := deploy(t, size{entries: 3, engines: 3, services: 3}, nil)
	for _, name := range []string{"s1", "s2", "s3"} {
		d.knobs(d.processes["service-"+name].address, map[string]any{"delay-milliseconds": 30})
	}
	entries := []string{"e1", "e2", "e3"}
	stop := make(chan struct{})
	b := d.balance(entries, stop)
	tally := &rollingTally{refusals: map[string]int{}}
	var group sync.WaitGroup
	var mu sync.Mutex
	var streamsRun []*streamCaller
	var stories []story
	for n := range 8 {
		group.Go(func() {
			for i := 0; !closed(stop); i++ {
				c := newStreamCaller(d, []string{b.pick()}, fmt.Sprintf("rolling %d %d", n, i), 60, false)
				c.run(0)
				mu.Lock()
				streamsRun = append(streamsRun, c)
				mu.Unlock()
			}
		})
		session := ""
		if n%2 == 0 {
			session = d.open("e1")
		}
		group.Go(func() {
			for i := 0; !closed(stop); i++ {
				s := d.persist([]string{b.pick()}, fmt.Sprintf("rolling-%d-%d", n, i), session, 0)
				for _, r := range s.replies {
					tally.add(r)
				}
				mu.Lock()
				stories = append(stories, s)
				mu.Unlock()
				if next := s.last().header.Get("Bramleydeal-Session"); next != "" {
					session = next
				}
			}
		})
		group.Go(func() {
			for !closed(stop) {
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
	d.checkOnce(stories)
	resumed := 0
	for _, c := range streamsRun {
		c.check()
		resumed += c.resumed
		is.True(c.done) // every stream is whole
	}
	t.Logf("%d streams whole, %d came back; calls: %d whole, %d broken, refusals %v", len(streamsRun), resumed, tally.whole, tally.broken, tally.refusals)
	is.Equal(resumed, 0)
	is.Equal(tally.broken, 0)
	is.Equal(len(tally.refusals), 0)
}

func closed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

// TestLeavingAgentGetsNoNewWork freezes the platform's list, so that only the
// agent's own word says that it leaves, and holds the agent's last request open.
func TestLeavingAgentGetsNoNewWork(t *testing.T) {
	is := is.New(t)
	d := deploy(t, size{entries: 3, engines: 0, services: 2}, nil)
	d.knobs(d.platform, map[string]any{"outage": true})
	d.knobs(d.processes["service-s1"].address, map[string]any{"delay-milliseconds": 3000})
	d.knobs(d.processes["service-s2"].address, map[string]any{"delay-milliseconds": 1})
	var long sync.WaitGroup
	for n := range 6 {
		long.Go(func() {
			d.call(t.Context(), fmt.Sprintf("e%d", n%3+1), http.MethodGet, fmt.Sprintf("/services/stock/long-%d", n), "", nil)
		})
	}
	time.Sleep(300 * time.Millisecond)
	d.signal("s1", syscall.SIGTERM)
	time.Sleep(100 * time.Millisecond)
	before := d.ran("s1")
	for n := range 200 {
		r := d.call(t.Context(), fmt.Sprintf("e%d", n%3+1), http.MethodGet, fmt.Sprintf("/services/stock/new-%d", n), "", nil)
		is.True(r.whole())
	}
	is.Equal(d.ran("s1"), before) // nothing new after 100 ms, and the promise is 3 s
	long.Wait()
	select {
	case <-d.processes["s1"].done:
	case <-time.After(10 * time.Second):
		t.Fatal("s1 did not end")
	}
}

// ran returns the number of executions at one service.
func (d *deployment) ran(name string) int {
	d.t.Helper()
	n := 0
	for _, count := range d.countsOf("service-" + name) {
		n += count
	}
	return n
}

// TestStreamsGoOnElsewhereWhenTheDrainLimitPasses has streams longer than an
// entry's drain limit.
func TestStreamsGoOnElsewhereWhenTheDrainLimitPasses(t *testing.T) {
	is := is.New(t)
	d := deploy(t, size{entries: 2, engines: 2, services: 0}, map[string]map[string]any{
		"fleet": {"drain-limit": "500ms"},
	})
	var group sync.WaitGroup
	all := make([]*streamCaller, 12)
	for n := range all {
		all[n] = newStreamCaller(d, []string{"e1", "e2"}, fmt.Sprintf("long %d", n), 600, false)
		group.Go(func() { all[n].run(0) })
	}
	time.Sleep(300 * time.Millisecond)
	d.drain("e1", 5*time.Second)
	group.Wait()
	for _, c := range all {
		c.check()
		is.True(c.done)
		is.Equal(c.resumed, 1)
	}
}

// TestAnswersOutliveTheirAgent retries keys after their owner has left, and
// after it was replaced under its old name.
func TestAnswersOutliveTheirAgent(t *testing.T) {
	is := is.New(t)
	d := deploy(t, size{entries: 2, engines: 0, services: 3}, nil)
	session := d.open("e1")
	owner := session[:2] // agents have names of two letters here
	first := d.post("e1", "kept", session, "body of kept")
	is.True(first.whole())
	claimed := d.post("e1", "claimed", "", "body of claimed")
	is.True(claimed.whole())
	d.drain(owner, 10*time.Second)
	again := d.post("e2", "kept", session, "body of kept")
	is.True(again.whole()) // the successor answers
	is.Equal(again.body, first.body)
	fresh := d.post("e2", "new under the old session", session, "x")
	is.True(fresh.whole()) // and takes new work under the term
	d.restart(owner, "agent")
	d.waitReady()
	again = d.post("e1", "kept", session, "body of kept")
	is.True(again.whole())
	is.Equal(again.body, first.body)
	for _, n := range d.counts() {
		is.Equal(n, 1)
	}
}

// TestLostOwnerEndsTheTermAndNotTheSession kills an owner with a request under
// way: the request becomes unknown, and the caller goes on under a new term.
func TestLostOwnerEndsTheTermAndNotTheSession(t *testing.T) {
	is := is.New(t)
	d := deploy(t, size{entries: 2, engines: 0, services: 3}, nil)
	session := d.open("e1")
	owner := session[:2]
	d.knobs(d.processes["service-"+owner].address, map[string]any{"delay-milliseconds": 5000})
	answers := make(chan reply, 1)
	go func() { answers <- d.post("e1", "lost", session, "x") }()
	eventually(t, 3*time.Second, "the request runs", func() bool { return d.counts()["lost"] == 1 })
	begun := time.Now()
	d.kill(owner)
	r := <-answers
	is.Equal(r.problem.Run, answer.RunUnknown)
	is.True(time.Since(begun) < 3*time.Second) // told at once, not near the deadline
	next := r.header.Get("Bramleydeal-Session")
	is.True(next != "" && next != session)
	d.restart(owner, "agent")
	d.waitReady()
	again := d.post("e2", "lost", session, "x")
	is.Equal(again.problem.Type, "urn:bramleydeal:error:outcome-unknown")
	is.True(!again.problem.RetryAllowed)
	fresh := d.post("e2", "fresh", next, "x")
	is.True(fresh.whole())
	counts := d.counts()
	is.Equal(counts["lost"], 1)
	is.Equal(counts["fresh"], 1)
}
