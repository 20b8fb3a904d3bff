//go:build review

package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Parameters of the case.
const (
	recovery = 12 * time.Second // recoveryS of the sheet
	// timeBudget is the time budget of the streams, requestPause the pause between two of them.
	timeBudget   = 8 * time.Second
	requestPause = 150 * time.Millisecond
	// judged is the time for which requests are judged, after recovery.
	judged = 12 * time.Second
	// troubleFrom is the time after the start from which on a change of the map may be struck.
	troubleFrom = 12 * time.Second
	lateRank    = 1
)

// sentRequest is a request of a client.
type sentRequest struct {
	id     string
	sent   time.Time
	served bool
}

// standstill: the day's final fault strikes as in case 11, all machines of the system lose power, but
// the order that is carried out late is one of rank 1. Clients send streams all the while.
func standstill(r *record, trouble bool) bool {
	f := newAgentFleet(r)
	begun := time.Now()
	host := newHost()
	front := &process{name: "front-isb-a-1", zone: "isb-a", peer: freeAddress(host), debug: freeAddress(host)}
	listen, ready := freeAddress(host), freeAddress(host)
	startFront := func() {
		front.start("entry", map[string]any{
			"name": front.name, "failure-domain": front.zone, "listen": listen, "ready-listen": ready, "peer-listen": front.peer, "debug-listen": front.debug,
			"platform": f.storeAddress, "peers": []string{front.peer}, "direct": f.direct, "memory-megabytes": 284, "descriptors": 4200, "log-format": "json",
			"plain-outside-loopback": true,
		})
	}
	var mu sync.Mutex
	orders, unanswered := 0, 0
	struckStep, killed, answering := uint64(0), false, false
	var struckAt, backAt time.Time
	strike := func() {
		for _, p := range append([]*process{front}, f.agents...) {
			p.signal(syscall.SIGKILL)
		}
		r.line("all machines lose power")
		time.Sleep(restartDelay)
		mu.Lock()
		answering = true
		mu.Unlock()
		<-front.exited
		startFront()
		last := len(f.agents) - 1
		for i := range last {
			f.begin(i)
		}
		r.line("the entry and the agents of ranks 0 to %d start again", last-1)
		time.Sleep(longDark - restartDelay)
		f.begin(last)
		mu.Lock()
		backAt = time.Now()
		mu.Unlock()
		r.line("the agent of rank %d starts again", last)
	}
	f.group.onOrder = func(rank int, o engineOrder) bool {
		mu.Lock()
		defer mu.Unlock()
		orders++
		if !trouble || o.Op != "arm" || answering || struckStep != 0 && o.Step != struckStep || time.Since(begun) < troubleFrom {
			return false
		}
		struckStep = o.Step
		unanswered++
		if rank == lateRank && !killed {
			killed, struckAt = true, time.Now()
			go strike()
		}
		return true
	}
	f.group.late = func(rank int, o engineOrder, carryOut func() int) {
		after := laterLate
		if rank == lateRank {
			after = earlyLate
		}
		time.AfterFunc(after, func() {
			r.line("rank %d carries out %s version %d step %d, %d ms late: %d", rank, o.Op, o.Version, o.Step, after.Milliseconds(), carryOut())
		})
	}

	stop := make(chan struct{})
	go f.group.run(stop)
	startFront()
	for i := range f.agents {
		f.begin(i)
	}
	time.Sleep(3 * time.Second)
	var requests []*sentRequest
	var calls sync.WaitGroup
	var end time.Time
	for i := 0; end.IsZero() || time.Now().Before(end); i++ {
		q := &sentRequest{id: fmt.Sprintf("request-%d", i), sent: time.Now()}
		requests = append(requests, q)
		calls.Go(func() {
			status, events, whole := ask(listen, q.id)
			q.served = whole && status == http.StatusOK && events == streamEvents
			r.line("%s, sent at %.3f: status %d, %d events, whole %t", q.id, q.sent.Sub(r.at).Seconds(), status, events, whole)
		})
		time.Sleep(requestPause)
		mu.Lock()
		switch {
		case !end.IsZero():
		case !trouble && time.Since(begun) > troubleFrom:
			struckAt, backAt = time.Now(), time.Now()
			end = backAt.Add(recovery + judged)
		case !backAt.IsZero():
			end = backAt.Add(recovery + judged)
		case time.Since(begun) > 50*time.Second:
			mu.Unlock()
			cannotRun("no change of the map was struck")
		}
		mu.Unlock()
	}
	calls.Wait()
	close(stop)
	before, beforeServed, after, afterServed := 0, 0, 0, 0
	for _, q := range requests {
		switch {
		case q.sent.Before(struckAt.Add(-timeBudget / 4)):
			before++
			if q.served {
				beforeServed++
			}
		case q.sent.After(backAt.Add(recovery)):
			after++
			if q.served {
				afterServed++
			}
		}
	}
	r.line("%d of %d requests served before the final fault, %d of %d of those sent later than %v after the machines were back; %d of %d orders without an answer; the group is at pass %d",
		beforeServed, before, afterServed, after, recovery, unanswered, orders, f.group.currentStep())
	return 4*beforeServed >= before && 4*afterServed < after
}

// ask sends a stream request and returns the status, the number of events that came, and whether the
// answer was whole.
func ask(entry, id string) (status, events int, whole bool) {
	ctx, cancel := context.WithTimeout(context.Background(), timeBudget)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+entry+"/ask/1", strings.NewReader("a question"))
	if err != nil {
		return 0, 0, false
	}
	q.Host, q.Close = "app.example", true
	for name, value := range map[string]string{
		"Request-Id": id, "Deadline-Ms": fmt.Sprint(timeBudget.Milliseconds()), "Accept": "text/event-stream", "Accept-Encoding": "identity",
		"Model": "m", "Token-Usage": "700,96", "Prompt-Prefix": fmt.Sprintf("5c1e07a2:40,%x:660", id),
	} {
		q.Header.Set(name, value)
	}
	a, err := http.DefaultTransport.RoundTrip(q)
	if err != nil {
		return 0, 0, false
	}
	defer a.Body.Close()
	body, err := io.ReadAll(a.Body)
	return a.StatusCode, strings.Count(string(body), "\nid: ") + strings.Count(string(body[:min(len(body), 4)]), "id: "), err == nil
}
