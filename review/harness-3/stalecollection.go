//go:build review

package main

import (
	"sync"
	"syscall"
	"time"
)

// Parameters of the case.
const (
	// longDark is the time for which the machine of one agent is without power.
	longDark = 3500 * time.Millisecond
	// earlyLate is the time after which the order to switch that matters is carried out.
	earlyLate = 2800 * time.Millisecond
	// laterLate is the same for the others.
	laterLate = 11 * time.Second
)

// staleCollection: the agents of a group lose power right after that of rank 0 has ordered its engine
// to switch to another map. That order and those of the other agents at the same moment get no answer
// and are carried out late. One of the machines comes back later than the others.
func staleCollection(r *record, trouble bool) bool {
	f := newAgentFleet(r)
	var mu sync.Mutex
	orders, unanswered, kills := 0, 0, 0
	killed, answering := false, false // answering is set since the agents came back
	struckStep, nextStrike := uint64(0), time.Now().Add(10*time.Second)
	strike := func() {
		for _, p := range f.agents {
			p.signal(syscall.SIGKILL)
		}
		r.line("all agents are killed")
		time.Sleep(restartDelay)
		mu.Lock()
		answering = true
		mu.Unlock()
		last := len(f.agents) - 1
		for i := range last {
			f.begin(i)
		}
		r.line("the agents of ranks 0 to %d start again", last-1)
		time.Sleep(longDark - restartDelay)
		f.begin(last)
		r.line("the agent of rank %d starts again", last)
		time.AfterFunc(strikePause, func() {
			mu.Lock()
			defer mu.Unlock()
			struckStep, nextStrike, killed, answering = 0, time.Now(), false, false
		})
	}
	f.group.onOrder = func(rank int, o engineOrder) bool {
		mu.Lock()
		defer mu.Unlock()
		orders++
		if !trouble || o.Op != "arm" || answering || struckStep != 0 && o.Step != struckStep || time.Now().Before(nextStrike) {
			return false
		}
		struckStep = o.Step
		unanswered++
		if rank == 0 && !killed {
			killed = true
			kills++
			go strike()
		}
		return true
	}
	f.group.late = func(rank int, o engineOrder, carryOut func() int) {
		after := laterLate
		if rank == 0 {
			after = earlyLate
		}
		time.AfterFunc(after, func() {
			r.line("rank %d carries out %s version %d step %d, %d ms late: %d", rank, o.Op, o.Version, o.Step, after.Milliseconds(), carryOut())
		})
	}
	f.play(trouble)
	mu.Lock()
	defer mu.Unlock()
	return f.verdict(trouble, orders, unanswered, kills)
}
