//go:build review

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Bounds and counts of the sheet of mahnrouter-ost.
const (
	configApply     = 2 * time.Second
	stabilityWindow = 3 * time.Second
	grace           = 8 * time.Second
	// judgeMargin is added to configApply, so that a request counts only well after the bound.
	judgeMargin = 100 * time.Millisecond
	// staleLag is the age of what the store returns to calls with stale=1.
	staleLag = 3 * time.Second
	// keyChanges is the number of keys that are taken away.
	keyChanges = 18
)

// fronts are the entries by zone.
var fronts = []struct {
	zone  string
	count int
}{{"halle-simm", 2}, {"halle-flor", 3}, {"halle-lies", 2}}

// replacedZone is the zone whose machines are replaced.
const replacedZone = "halle-flor"

// directSettings is the member direct of the settings with the bounds of the sheet.
func directSettings(fencing bool) map[string]any {
	return map[string]any{
		"drain-time": "2000ms", "grace": "8s", "retry-ratio": 0.2, "retry-slack": 90, "retry-window": "10s",
		"regions":   map[string]string{"halle-simm": "ostregion", "halle-flor": "ostregion", "halle-lies": "ostregion"},
		"admission": "in-time", "fencing": fencing,
	}
}

// configuration is a desired state in which the tenant "planner" has the given keys.
func configuration(version int, keys []string) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "frist-check", "host": "app.example", "pathPrefix": "/check/", "kind": "idempotent", "timeoutMs": 1000, "targetLatencyMs": 150,
			"priority": 2, "service": "status-api", "attempts": 2, "public": false,
		}},
		"services": []map[string]any{{"name": "status-api", "healthPath": "/healthz", "maxConns": 100}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []map[string]any{{"name": "planner", "apiKeys": keys}},
	}
}

// frontEntry returns an entry on a host of its own.
func frontEntry(zone string, number int) *process {
	host := newHost()
	return &process{
		name: fmt.Sprintf("front-%s-%d", zone, number), zone: zone,
		listen: freeAddress(host), ready: freeAddress(host), peer: freeAddress(host), debug: freeAddress(host),
	}
}

// departedWatchers: the three entries of a zone are replaced one after the other, each by one at
// another address. Then keys are taken away, and each entry is asked with the dropped key after the
// bound.
func departedWatchers(r *record, trouble bool) bool {
	s := newStore(staleLag)
	var mu sync.Mutex
	runs := map[string]run{}
	for i, f := range fronts {
		w := newWorker(fmt.Sprintf("i-status-%d", i+1), 20*time.Millisecond, func(u run) {
			mu.Lock()
			defer mu.Unlock()
			runs[u.id] = u
		})
		s.put("servers", w.id, w.registration("status-api", f.zone, "ready"))
	}
	key := func(i int) string { return fmt.Sprintf("key-%d", i) }
	s.put("config", "main", configuration(1, []string{"key-main", key(1)}))

	var entries []*process
	for _, f := range fronts {
		for i := range f.count {
			entries = append(entries, frontEntry(f.zone, i+1))
		}
	}
	seeds := []string{entries[0].peer, entries[2].peer, entries[5].peer}
	begin := func(e *process) {
		// Each entry reaches the store at an address of its own, so that its calls can be told apart.
		at := serve(http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			if q.URL.Query().Has("watch") && strings.HasSuffix(q.URL.Path, "/config") {
				e.mu.Lock()
				if q.URL.Query().Get("stale") == "1" {
					e.cachedWatches++
				} else {
					e.directWatches++
				}
				e.mu.Unlock()
			}
			s.ServeHTTP(w, q)
		}))
		e.start("entry", settingsOf(e, at, seeds, directSettings(true), nil))
	}
	for _, e := range entries {
		begin(e)
	}
	for _, e := range entries {
		e.awaitReady(20 * time.Second)
	}
	r.line("%d entries are ready", len(entries))
	time.Sleep(3 * time.Second)
	if trouble {
		for i := range entries {
			old := entries[i]
			if old.zone != replacedZone {
				continue
			}
			next := frontEntry(replacedZone, 3+i-1)
			begin(next)
			next.awaitReady(10 * time.Second)
			r.line("%s has come; SIGTERM to %s, which leaves for good", next.name, old.name)
			old.signal(syscall.SIGTERM)
			select {
			case <-old.exited:
				r.line("%s has ended", old.name)
			case <-time.After(grace):
				cannotRun("%s has not ended", old.name)
			}
			entries[i] = next
		}
	} else {
		time.Sleep(12 * time.Second)
	}
	time.Sleep(stabilityWindow + time.Second)
	for _, e := range entries {
		e.mu.Lock()
		e.directWatches, e.cachedWatches = 0, 0
		e.mu.Unlock()
	}

	broken := 0
	for i := 1; i <= keyChanges; i++ {
		acknowledged := s.put("config", "main", configuration(1+i, []string{"key-main", key(i + 1)}))
		r.line("version %d acknowledged: %s is dropped", 1+i, key(i))
		time.Sleep(time.Until(acknowledged.Add(configApply + judgeMargin)))
		var calls sync.WaitGroup
		for _, e := range entries {
			calls.Go(func() {
				id := fmt.Sprintf("%s-%d", e.name, i)
				sent := time.Now()
				status := ask(e.listen, id, key(i))
				mu.Lock()
				defer mu.Unlock()
				u, ran := runs[id]
				switch {
				case ran:
					broken++
					r.line("BROKEN: request %s with the dropped %s, sent to %s %d ms after the ack, was run by %s for tenant %q (status %d)",
						id, key(i), e.name, sent.Sub(acknowledged).Milliseconds(), u.worker, u.tenant, status)
				default:
					r.line("request %s with the dropped %s to %s: status %d, not run", id, key(i), e.name, status)
				}
			})
		}
		calls.Wait()
		time.Sleep(1200*time.Millisecond + rand.N(1500*time.Millisecond))
	}
	for _, e := range entries {
		e.mu.Lock()
		r.line("%s watched the store %d times and its cache %d times since", e.name, e.directWatches, e.cachedWatches)
		e.mu.Unlock()
	}
	r.line("%d requests with a dropped key ran later than %v after the ack", broken, configApply)
	return broken > 0
}

// ask sends a request and returns the status, 0 if there is no answer.
func ask(entry, id, key string) int {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+entry+"/check/1", nil)
	if err != nil {
		return 0
	}
	q.Host = "app.example"
	q.Close = true
	q.Header.Set("Request-Id", id)
	q.Header.Set("Deadline-Ms", "1000")
	q.Header.Set("Authorization", "Token "+key)
	a, err := http.DefaultTransport.RoundTrip(q)
	if err != nil {
		return 0
	}
	_ = a.Body.Close()
	return a.StatusCode
}
