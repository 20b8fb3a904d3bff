//go:build review

package main

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"bramleydeal/platform/standin"
)

// Times of formedAnew.
const (
	// rosterPeriod is about the time between two reads of the list by a leader.
	rosterPeriod = 5 * time.Second
	// From the crash on: when a worker starts again at its machine and another one at a new machine,
	// when the group opens (form_ms later) and the first one writes its object, and when the other
	// one does (a heartbeat after its start).
	startsAt    = 400 * time.Millisecond
	opensAt     = startsAt + 600*time.Millisecond
	newListedAt = startsAt + 1200*time.Millisecond
	// The leader reads the list anew about then.
	readAt = 1900 * time.Millisecond
	// removedAt is three ping intervals.
	removedAt = 3600 * time.Millisecond
	// oldest is the greatest age of a read with stale = 1.
	oldest = 6 * time.Second
)

// cachedLists answers the lists of workers with stale = 1, which may be seconds old.
type cachedLists struct {
	run   *run
	store *standin.Store

	mu sync.Mutex
	// kept is an earlier list and keptAt its time. It is given out while old is set.
	kept   []byte
	keptAt time.Time
	old    bool
	// reads are the times of the reads of each process.
	reads map[int][]time.Time
}

// keep keeps the list as it is now.
func (c *cachedLists) keep() {
	w := httptest.NewRecorder()
	c.store.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/objects/servers", nil))
	c.mu.Lock()
	defer c.mu.Unlock()
	c.kept, c.keptAt = w.Body.Bytes(), time.Now()
}

func (c *cachedLists) setOld(old bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.old = old
}

// lastRead returns the time of the last read of a process, zero if there was none.
func (c *cachedLists) lastRead(process int) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.reads[process]; len(r) > 0 {
		return r[len(r)-1]
	}
	return time.Time{}
}

// handler returns the store as one process sees it.
func (c *cachedLists) handler(process int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method != http.MethodGet || !strings.HasSuffix(r.URL.Path, "/servers") || r.URL.Query().Get("stale") != "1" {
			c.store.ServeHTTP(w, r)
			return
		}
		c.mu.Lock()
		c.reads[process] = append(c.reads[process], time.Now())
		old, kept, age := c.old, c.kept, time.Since(c.keptAt)
		c.mu.Unlock()
		if old && age <= oldest {
			c.run.note("side-%d reads a list that is %d ms old", process, age.Milliseconds())
			w.Header().Set("Content-Type", "application/json")
			_, _ = w.Write(kept)
			return
		}
		c.run.note("side-%d reads the list", process)
		c.store.ServeHTTP(w, r)
	})
}

// formedAnew lets two workers of a group crash, one of them with its machine. The other one starts
// again, a new machine comes, and the group is formed anew: the new worker takes the first vacant
// rank and the one that starts again the other. Later a leader reads a list that is some seconds
// old. It checks that all ranks begin each pass with the same map.
func formedAnew(r *run) ([]string, error) {
	const machines = groupSize + 1
	const back, lost, fresh = 2, 3, groupSize
	var hosts, stores []string
	for i := range machines {
		hosts = append(hosts, fmt.Sprintf("127.0.0.%d", 21+i))
		stores = append(stores, fmt.Sprintf("127.0.1.%d", 21+i))
	}
	peerPort, err := freePort(hosts...)
	if err != nil {
		return nil, err
	}
	appPort, err := freePort(hosts...)
	if err != nil {
		return nil, err
	}
	storePort, err := freePort(stores...)
	if err != nil {
		return nil, err
	}
	g := &group{run: r, closed: make(chan struct{})}
	lists := &cachedLists{run: r, store: standin.NewStore(), reads: map[int][]time.Time{}}
	lists.store.PutConfiguration(modelConfiguration())
	var workers []*modelWorker
	// register writes the object of a worker, as its heartbeat does.
	started := time.Now()
	register := func(i int, id string, born time.Time) {
		beat := map[string]any{
			"service": "bramley-llm", "address": fmt.Sprintf("%s:%d", hosts[i], appPort), "zone": fmt.Sprintf("z%d", i%3), "version": "v1", "slots": 12,
			"state": "ready", "coldRemainingMs": 0, "seq": 1, "born": born.UnixMilli(),
		}
		g.mu.Lock()
		if w := workers[i]; w.rank >= 0 {
			beat["size"], beat["group"] = groupSize, map[string]any{"name": "g0", "epoch": g.epoch, "rank": w.rank, "state": "open"}
		}
		g.mu.Unlock()
		lists.store.Put("servers", id, beat)
		r.note("%s is listed at machine %d: %v", id, i, beat["group"])
	}
	for i := range machines {
		w := newModelWorker(g, fmt.Sprintf("worker at machine %d", i))
		workers = append(workers, w)
		stop, err := serveAt(fmt.Sprintf("%s:%d", hosts[i], appPort), w)
		if err != nil {
			return nil, err
		}
		defer stop()
		if stop, err = serveAt(fmt.Sprintf("%s:%d", stores[i], storePort), lists.handler(i)); err != nil {
			return nil, err
		}
		defer stop()
	}
	g.form(workers[:groupSize])
	for i := range groupSize {
		register(i, fmt.Sprintf("i-%d", i), started)
	}
	go g.play()
	defer close(g.closed)
	agents := map[int]*program{}
	startAgent := func(i int) error {
		p, err := r.start("agent", fmt.Sprintf("side-%d", i), fmt.Sprintf(`{
  "name": "side-%d", "failure-domain": "z%d", "listen": "", "ready-listen": "", "peer-listen": "%s:%d",
  "platform": "%s:%d", "peers": [],
  "upstream": { "kind": "engine", "address": "%s:%d", "target": "bramley-llm" },
  "direct": { "drain-time": "2000ms", "grace": "8s", "retry-ratio": 0.2, "retry-slack": 92, "retry-window": "10s",
    "regions": {"z0":"r","z1":"r","z2":"r"}, "admission": "in-time", "fencing": false },
  "log-format": "json", "plain-outside-loopback": true
}`, i, i%3, hosts[i], peerPort, stores[i], storePort, hosts[i], appPort))
		if err == nil {
			agents[i] = p
		}
		return err
	}
	defer func() {
		for _, p := range agents {
			p.end()
		}
	}()
	for i := range groupSize {
		if err := startAgent(i); err != nil {
			return nil, err
		}
	}
	// The agent of rank 0 leads. Its reads of the list are about rosterPeriod apart.
	time.Sleep(3 * time.Second)
	if g.changesMade() == 0 {
		return nil, fmt.Errorf("no map was changed in 3 s")
	}
	first := lists.lastRead(0)
	for lists.lastRead(0) == first {
		time.Sleep(5 * time.Millisecond)
	}
	period := lists.lastRead(0).Sub(first)
	r.note("the leader reads every %d ms", period.Milliseconds())
	crash := lists.lastRead(0).Add(period - readAt)
	time.Sleep(time.Until(crash))
	if r.trouble {
		g.crash(workers[back], workers[lost])
		agents[lost].signal(syscall.SIGKILL) // its machine is gone for good
		time.Sleep(time.Until(crash.Add(startsAt)))
		g.back(workers[back])
		if err := startAgent(fresh); err != nil {
			return nil, err
		}
		time.Sleep(time.Until(crash.Add(opensAt)))
		members := slices.Clone(workers[:groupSize])
		members[back], members[lost] = workers[fresh], workers[back]
		g.form(members)
		for i := range groupSize {
			if i != back && i != lost {
				register(i, fmt.Sprintf("i-%d", i), started)
			}
		}
		register(back, "i-again", crash.Add(startsAt))
	}
	time.Sleep(time.Until(crash.Add(newListedAt - 50*time.Millisecond)))
	lists.keep()
	if r.trouble {
		time.Sleep(time.Until(crash.Add(newListedAt)))
		register(fresh, "i-new", crash.Add(startsAt))
		time.Sleep(time.Until(crash.Add(removedAt)))
		lists.store.Remove("servers", fmt.Sprintf("i-%d", back))
		lists.store.Remove("servers", fmt.Sprintf("i-%d", lost))
	}
	time.Sleep(time.Until(crash.Add(readAt + time.Second)))
	lists.setOld(true)
	time.Sleep(time.Until(crash.Add(readAt + 3*rosterPeriod)))
	g.mu.Lock()
	defer g.mu.Unlock()
	r.note("%d passes, %d changes in epoch %d", g.passes, g.changes, g.epoch)
	fmt.Printf("%d passes, %d changes in epoch %d\n", g.passes, g.changes, g.epoch)
	if g.changes == 0 {
		return nil, fmt.Errorf("no map was changed in the last epoch")
	}
	return g.broken, nil
}

// modelConfiguration returns a desired state with one model service.
func modelConfiguration() map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "policy-ask", "host": "bramley.example", "pathPrefix": "/ask/", "kind": "stream", "timeoutMs": 8000, "targetLatencyMs": 400, "priority": 1,
			"service": "bramley-llm", "attempts": 2, "public": true, "sessionAffinity": true, "resumable": true, "gap_aim_ms": 120,
		}},
		"services": []any{map[string]any{
			"name": "bramley-llm", "healthPath": "/healthz", "maxConns": 408, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": 12, "kvCapacity": 280000, "kvTokenBytes": 35136, "linkMbps": 44000.0, "stride": 4, "models": []any{map[string]any{"name": "m"}},
				"step_ms": 4.55, "per_seq_ms": 0.905, "context_per_k": 0.0183, "read_per_s": 61400.0, "pairs_per_m": 0.525, "chunk": 512, "report_lag_ms": 200.0,
				"usual": map[string]any{"prompt": 835, "answer": 159}, "sets": expertSets, "experts": experts, "places": places, "spare": spare,
				"expert_mb": 2200.0, "expert_share": 0.85, "form_ms": 600.0,
			},
		}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}
