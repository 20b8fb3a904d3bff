//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"bramleydeal/platform/standin"
)

// Times of olderCopy, from the moment at which the worker's object is removed.
const (
	drainTime       = 2 * time.Second
	stabilityWindow = 3 * time.Second
	awayAt          = 1200 * time.Millisecond
	backAt          = 1500 * time.Millisecond
	// requestsAt is when clients come again: the store has been stable for stabilityWindow.
	requestsAt = backAt + stabilityWindow + 200*time.Millisecond
)

// olderCopy removes a worker that leaves without notice from the store, and lets the store come
// back from a copy in which the worker is still ready. It checks that no request reaches the
// worker any more.
func olderCopy(r *run) ([]string, error) {
	s, err := newSite(r, 2, "status-api", "status-api", "status-api")
	defer s.close()
	if err != nil {
		return nil, err
	}
	var sent atomic.Int64
	call := func(e *entryProcess) {
		id := fmt.Sprintf("r-%d", sent.Add(1))
		c, err := dialClient(e.address)
		if err != nil {
			r.note("%s: %v", id, err)
			return
		}
		defer c.connection.Close()
		status, err := c.send(http.MethodPost, "/abgleich/x", id, "key-1", 4*time.Second, make([]byte, 200), 200, 0)
		r.note("%s at %s: %d %v", id, e.name, status, err)
	}
	// Both entries know all workers.
	for range 12 {
		for _, e := range s.entries {
			call(e)
		}
	}
	copied := s.store.Copy()
	r.note("the store's copy is made")
	time.Sleep(500 * time.Millisecond)
	leaver := s.workers[1]
	leaver.mu.Lock()
	leaver.leaving = true
	leaver.mu.Unlock()
	s.store.RemoveWorker(leaver.id)
	gone := time.Now()
	r.note("%s leaves without notice; its object is removed", leaver.id)
	var mu sync.Mutex
	var broken []string
	var ending sync.Once
	leaver.mu.Lock()
	leaver.arrived = func(run workerRun) {
		after := run.at.Sub(gone)
		r.note("%s reaches %s %d ms after its object was removed", run.id, leaver.id, after.Milliseconds())
		if after > drainTime {
			mu.Lock()
			broken = append(broken, fmt.Sprintf("%s reached %s %d ms after the worker was gone", run.id, leaver.id, after.Milliseconds()))
			mu.Unlock()
			// The worker ends, as it may at any time from drainTime on.
			ending.Do(func() { time.AfterFunc(workTime/2, leaver.close) })
		}
	}
	leaver.mu.Unlock()
	if r.trouble {
		time.Sleep(time.Until(gone.Add(awayAt)))
		s.store.SetFaults(standin.Faults{Status: http.StatusServiceUnavailable})
		r.note("the store is away")
		time.Sleep(time.Until(gone.Add(backAt)))
		s.store.Restore(copied)
		s.store.SetFaults(standin.Faults{})
		r.note("the store is back from the copy")
		// The operator writes its desired state again, the workers that are there their objects.
		s.store.PutConfiguration(plainConfiguration(1, false))
		for _, w := range s.workers {
			if w != leaver {
				s.store.Put("servers", w.id, w.beat)
			}
		}
	}
	time.Sleep(time.Until(gone.Add(requestsAt)))
	var calls sync.WaitGroup
	for range 6 {
		for _, e := range s.entries {
			calls.Go(func() { call(e) })
		}
	}
	calls.Wait()
	// Three ping intervals after it came back, the platform removes the silent worker again.
	s.store.RemoveWorker(leaver.id)
	mu.Lock()
	defer mu.Unlock()
	if lost := r.outcomes(": 502"); len(lost) > 0 {
		r.note("%d requests were answered 502", len(lost))
		fmt.Println(len(lost), "requests were answered 502")
	}
	return broken, nil
}

// outcomes returns the lines of the record that hold a text, by their first word.
func (r *run) outcomes(text string) map[string]string {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[string]string{}
	for _, line := range r.lines {
		if strings.Contains(line, text) {
			name, _, _ := strings.Cut(line, " ")
			out[strings.TrimSuffix(name, ":")] = line
		}
	}
	return out
}
