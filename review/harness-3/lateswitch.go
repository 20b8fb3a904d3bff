//go:build review

package main

import (
	"sync"
	"syscall"
	"time"
)

// minLate and maxLate bound the time after which an order without an answer is carried out.
const (
	minLate = 2 * time.Second
	maxLate = 12 * time.Second
)

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
	f := newAgentFleet(r)
	var mu sync.Mutex
	var late []*lateOrder
	orders, unanswered, kills := 0, 0, 0
	struckStep, nextStrike := uint64(0), time.Now().Add(10*time.Second)
	withheld := map[uint64]bool{}
	lastRank := switchRanks - 1
	f.group.onOrder = func(rank int, o engineOrder) bool {
		mu.Lock()
		defer mu.Unlock()
		orders++
		switch {
		case !trouble:
		case o.Op == "arm" && struckStep == 0 && time.Now().After(nextStrike):
			struckStep = o.Step
			kills++
			go func() {
				for _, p := range f.agents {
					p.signal(syscall.SIGKILL)
				}
				r.line("all agents are killed")
				time.Sleep(restartDelay)
				for i := range f.agents {
					f.begin(i)
				}
				r.line("all agents start again")
				time.AfterFunc(strikePause, func() {
					mu.Lock()
					defer mu.Unlock()
					struckStep, nextStrike = 0, time.Now()
				})
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
			time.AfterFunc(20*time.Millisecond, func() {
				mu.Lock()
				defer mu.Unlock()
				for _, l := range late {
					if age := time.Since(l.received); l.rank == rank && !l.done && l.order.Op == "arm" && age >= minLate && age <= maxLate {
						l.done = true
						r.line("rank %d carries out %s version %d step %d, %d ms late: %d", l.rank, l.order.Op, l.order.Version, l.order.Step, age.Milliseconds(), l.carryOut())
					}
				}
			})
		}
		return false
	}
	f.group.late = func(rank int, o engineOrder, carryOut func() int) {
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
	f.play(trouble)
	mu.Lock()
	defer mu.Unlock()
	return f.verdict(trouble, orders, unanswered, kills)
}
