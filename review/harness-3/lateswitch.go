//go:build review

package main

import (
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"
)

// Parameters of the case.
const (
	switchRanks = 4
	// minLate and maxLate bound the time after which an order without an answer is carried out.
	minLate = 2 * time.Second
	maxLate = 12 * time.Second
	// restartDelay is the time for which the machines of the agents are without power.
	restartDelay = 2 * time.Second
	switchLength = 100 * time.Second
	calmLength   = 40 * time.Second
	// strikePause is the time from a restart of the agents to the next kill.
	strikePause = 14 * time.Second
	// afterBreak is the time for which the group is watched after the rule was broken.
	afterBreak = 6 * time.Second
)

// sharedPort returns a port that is free on all hosts: agents find each other by it.
func sharedPort(hosts []string) int {
	for range 50 {
		first, err := net.Listen("tcp", hosts[0]+":0")
		if err != nil {
			break
		}
		port, free := first.Addr().(*net.TCPAddr).Port, true
		for _, h := range hosts[1:] {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", h, port))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		_ = first.Close()
		if free {
			return port
		}
	}
	cannotRun("no port is free on all hosts")
	return 0
}

// engineConfiguration is a desired state with one service of model engines.
func engineConfiguration() map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []map[string]any{{
			"name": "policy-ask", "host": "app.example", "pathPrefix": "/ask/", "kind": "stream", "timeoutMs": 8000, "targetLatencyMs": 500,
			"gap_aim_ms": 60, "priority": 1, "service": engineService, "attempts": 2, "public": true, "resumable": true,
		}},
		"services": []map[string]any{{"name": engineService, "healthPath": "/healthz", "maxConns": 408, "engine": map[string]any{
			"slots": 12, "kvCapacity": 280000, "stride": 1, "step_ms": 4.55, "per_seq_ms": 0.1, "context_per_k": 0.1, "read_per_s": 61400, "chunk": 512,
			"linkMbps": 20, "usual": map[string]any{"prompt": 800, "answer": 100}, "sets": expertSets, "experts": expertCount, "places": expertPlaces,
			"spare": expertSpare, "expert_mb": 0.1, "expert_share": 0.5, "form_ms": 500,
		}}},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
}

// lateOrder is an order that got no answer.
type lateOrder struct {
	rank     int
	order    engineOrder
	received time.Time
	carryOut func() int
	done     bool
}

// lateSwitch: the agents of a group are killed right after the first of them has ordered its engine
// to switch to another map, and those orders get no answer and are carried out late. The agents come
// back and give the change up. One of their orders gets no answer at first.
func lateSwitch(r *record, trouble bool) bool {
	var hosts []string
	for range switchRanks {
		hosts = append(hosts, newHost())
	}
	g := newEngineGroup("g0-0", hosts)
	g.log = r.line
	s := newStore(500 * time.Millisecond)
	s.put("config", "main", engineConfiguration())
	for _, e := range g.ranks {
		s.put("servers", fmt.Sprintf("i-llm-%d", e.rank), e.registration("isb-a"))
	}
	storeAddress, port := serve(s), sharedPort(hosts)
	direct := directSettings(false)
	direct["regions"] = map[string]string{"isb-a": "pk-north"}
	agents := make([]*process, switchRanks)
	begin := func(i int) {
		p := &process{name: fmt.Sprintf("side-isb-a-%d", i+1), zone: "isb-a", peer: fmt.Sprintf("%s:%d", hosts[i], port), debug: freeAddress(hosts[i])}
		agents[i] = p
		settings := settingsOf(p, storeAddress, nil, direct, map[string]any{"kind": "engine", "address": g.ranks[i].address, "target": engineService})
		delete(settings, "listen")
		delete(settings, "ready-listen")
		p.start("agent", settings)
	}

	var mu sync.Mutex
	var late []*lateOrder
	orders, unanswered, kills := 0, 0, 0
	struckStep, nextStrike := uint64(0), time.Now().Add(10*time.Second)
	withheld := map[uint64]bool{}
	restarted := make(chan struct{}, 1)
	lastRank := switchRanks - 1
	g.onOrder = func(rank int, o engineOrder) bool {
		mu.Lock()
		defer mu.Unlock()
		orders++
		switch {
		case !trouble:
		case o.Op == "arm" && struckStep == 0 && time.Now().After(nextStrike):
			struckStep = o.Step
			kills++
			go func() {
				for _, p := range agents {
					p.signal(syscall.SIGKILL)
				}
				r.line("all agents are killed")
				time.Sleep(restartDelay)
				for i := range agents {
					<-agents[i].exited
					begin(i)
				}
				r.line("all agents start again")
				restarted <- struct{}{}
			}()
			unanswered++
			return true
		case o.Op == "arm" && o.Step == struckStep:
			unanswered++
			return true
		case o.Op == "go" && o.Step == struckStep && rank == lastRank && !withheld[o.Step]:
			withheld[o.Step] = true
			unanswered++
			return true
		case o.Op == "go" && o.Step == struckStep:
			// The rank is let go. An order to switch that it got is carried out next, if that is late.
			go func() {
				time.Sleep(20 * time.Millisecond)
				mu.Lock()
				defer mu.Unlock()
				for _, l := range late {
					if age := time.Since(l.received); l.rank == rank && !l.done && l.order.Op == "arm" && age >= minLate && age <= maxLate {
						l.done = true
						r.line("rank %d carries out %s version %d step %d, %d ms late: %d", l.rank, l.order.Op, l.order.Version, l.order.Step, age.Milliseconds(), l.carryOut())
					}
				}
			}()
		}
		return false
	}
	g.late = func(rank int, o engineOrder, carryOut func() int) {
		l := &lateOrder{rank: rank, order: o, received: time.Now(), carryOut: carryOut}
		mu.Lock()
		late = append(late, l)
		mu.Unlock()
		time.AfterFunc(maxLate-time.Second, func() {
			mu.Lock()
			defer mu.Unlock()
			if !l.done {
				l.done = true
				r.line("rank %d carries out %s version %d step %d, %d ms late: %d", rank, o.Op, o.Version, o.Step, time.Since(l.received).Milliseconds(), carryOut())
			}
		})
	}

	stop := make(chan struct{})
	go g.run(stop)
	for i := range agents {
		begin(i)
	}
	length := switchLength
	if !trouble {
		length = calmLength
	}
	for end := time.Now().Add(length); time.Now().Before(end) && g.brokenPasses() == 0; {
		select {
		case <-restarted:
			time.AfterFunc(strikePause, func() {
				mu.Lock()
				defer mu.Unlock()
				struckStep, nextStrike = 0, time.Now()
			})
		case <-time.After(50 * time.Millisecond):
		}
	}
	time.Sleep(afterBreak)
	close(stop)
	mu.Lock()
	defer mu.Unlock()
	r.line("%d passes, %d orders, %d of them without an answer, agents killed %d times, %d passes on two maps", g.step, orders, unanswered, kills, g.brokenPasses())
	if orders < 20 {
		cannotRun("the agents changed no map")
	}
	return g.brokenPasses() > 0
}
