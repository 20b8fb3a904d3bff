//go:build review

package main

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Figures of long bodies.
const (
	// memoryMB is what a process of the class front may take.
	memoryMB = 284
	// bodyBytes is well below the maxBodyBytes of the desired state, 4,194,304.
	bodyBytes = 1536 << 10
	// uploadTime is the time that a client takes to send its body.
	uploadTime = 3 * time.Second
	// usualRate is the rate at one of the two fronts of halle-flor, which has 30.5 requests a
	// second. burstFactor and burstTime are those of a burst on the site.
	usualRate   = 15
	burstFactor = 1.7
	burstTime   = 3 * time.Second
)

// longBodies lets many clients come at once who send bodies of a permitted length, and checks
// that the entry does not end and cut off the requests that it has.
func longBodies(r *run) ([]string, error) {
	s, err := newSite(r, 1, append(slices.Repeat([]string{"textflotte"}, 16), "status-api", "status-api", "status-api")...)
	defer s.close()
	if err != nil {
		return nil, err
	}
	e := s.entries[0]
	stopped := make(chan struct{})
	var killedAt time.Time
	peak := 0.0
	var watch sync.WaitGroup
	watch.Go(func() {
		for {
			select {
			case <-stopped:
				return
			case <-time.After(10 * time.Millisecond):
			}
			peak = max(peak, e.peakMB())
			if peak > memoryMB && killedAt.IsZero() {
				killedAt = time.Now()
				e.signal(syscall.SIGKILL) // as the platform does
				r.note("the entry has taken %.0f MB of %d MB and is killed", peak, memoryMB)
			}
		}
	})
	var senders sync.WaitGroup
	var mu sync.Mutex
	answers := map[string]int{}
	began := time.Now()
	send := func(id string) {
		status, events, sent, err := upload(e.address, id)
		outcome := fmt.Sprintf("status %d, %d of %d events", status, events, streamEvents)
		if status == 200 && events == streamEvents && err == nil {
			outcome = "whole"
		}
		r.note("%s: %s, body sent %v, %v", id, outcome, sent, err)
		mu.Lock()
		answers[outcome]++
		mu.Unlock()
	}
	const trafficTime = 14 * time.Second
	for n, next := 0, time.Duration(0); next < trafficTime && killedAt.IsZero(); n++ {
		time.Sleep(time.Until(began.Add(next)))
		senders.Go(func() { send(fmt.Sprintf("r-%d", n)) })
		rate := float64(usualRate)
		if r.trouble && next >= 6*time.Second && next < 6*time.Second+burstTime {
			rate *= burstFactor
		}
		next += time.Duration(float64(time.Second) / rate)
	}
	senders.Wait()
	close(stopped)
	watch.Wait()
	r.note("the entry's most memory: %.0f MB; answers: %v", peak, answers)
	fmt.Printf("most memory %.0f MB; answers %v\n", peak, answers)
	if killedAt.IsZero() {
		return nil, nil
	}
	lost := 0
	ran := s.ran()
	for id, outcome := range r.outcomes("status 0,") {
		if len(ran[id]) > 0 {
			lost++
			r.note("LOST %s ran at a worker: %s", id, outcome)
		}
	}
	if lost <= 3 {
		return nil, nil
	}
	return []string{fmt.Sprintf("the entry took more than %d MB and was killed; %d requests that it had passed on got no answer", memoryMB, lost)}, nil
}

// upload sends a stream request with a long body at an even pace on a connection that is kept from
// a small request before, and returns how it was answered. sent reports whether the whole body was sent.
func upload(address, id string) (status, events int, sent bool, err error) {
	c, err := dialClient(address)
	if err != nil {
		return 0, 0, false, err
	}
	defer c.connection.Close()
	const budget = 8 * time.Second
	if _, err := c.send(http.MethodGet, "/frist/x", id+"-before", "key-1", budget, nil, 1, 0); err != nil {
		return 0, 0, false, err
	}
	_ = c.connection.SetDeadline(time.Now().Add(budget))
	if _, err := c.connection.Write(head(http.MethodPost, "/brief/x", id, "key-1", budget, bodyBytes)); err != nil {
		return 0, 0, false, err
	}
	piece := make([]byte, 32<<10)
	const pieces = bodyBytes / (32 << 10)
	began := time.Now()
	for i := range pieces {
		time.Sleep(time.Until(began.Add(uploadTime * time.Duration(i) / pieces)))
		if _, err := c.connection.Write(piece); err != nil {
			return 0, 0, false, err
		}
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0, 0, true, err
	}
	defer response.Body.Close()
	var body bytes.Buffer
	_, err = body.ReadFrom(response.Body)
	return response.StatusCode, bytes.Count(body.Bytes(), []byte("\n\n")), true, err
}
