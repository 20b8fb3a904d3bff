//go:build review

package main

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync"
	"syscall"
	"time"
)

// anyOrder is no case: it plays random late orders, kills and freezes of agents, to find cases.
// RANKS, FENCING, SHARE and LENGTH are read from the environment.
func anyOrder(r *record, trouble bool) bool {
	ranks, _ := strconv.Atoi(os.Getenv("RANKS"))
	share, _ := strconv.ParseFloat(os.Getenv("SHARE"), 64)
	seconds, _ := strconv.Atoi(os.Getenv("LENGTH"))
	fencing := os.Getenv("FENCING") == "1"
	var hosts []string
	hosts = append(hosts, newHost())
	for len(hosts) < ranks {
		hosts = append(hosts, newHost())
	}
	g := newEngineGroup("g0-0", hosts)
	g.log, g.fencing = r.line, fencing
	s := newStore(500 * time.Millisecond)
	s.put("config", "main", engineConfiguration())
	for _, e := range g.ranks {
		s.put("servers", fmt.Sprintf("i-llm-%d", e.rank), e.registration("isb-a"))
	}
	storeAddress, port := serve(s), sharedPort(hosts)
	direct := directSettings(fencing)
	direct["regions"] = map[string]string{"isb-a": "pk-north"}
	agents := make([]*process, ranks)
	begin := func(i int) {
		p := &process{name: fmt.Sprintf("side-isb-a-%d", i+1), zone: "isb-a", peer: fmt.Sprintf("%s:%d", hosts[i], port), debug: freeAddress(hosts[i])}
		agents[i] = p
		settings := settingsOf(p, storeAddress, nil, direct, map[string]any{"kind": "engine", "address": g.ranks[i].address, "target": engineService})
		delete(settings, "listen")
		delete(settings, "ready-listen")
		p.start("agent", settings)
	}
	var mu sync.Mutex
	orders, unanswered := 0, 0
	g.onOrder = func(_ int, _ engineOrder) bool {
		mu.Lock()
		defer mu.Unlock()
		orders++
		if trouble && rand.Float64() < share {
			unanswered++
			return true
		}
		return false
	}
	g.late = func(rank int, o engineOrder, carryOut func() int) {
		after := minLate + rand.N(maxLate-minLate)
		time.AfterFunc(after, func() {
			r.line("rank %d carries out %s version %d step %d, %d ms late: %d", rank, o.Op, o.Version, o.Step, after.Milliseconds(), carryOut())
		})
	}
	stop := make(chan struct{})
	go g.run(stop)
	for i := range agents {
		begin(i)
	}
	for end := time.Now().Add(time.Duration(seconds) * time.Second); time.Now().Before(end) && g.brokenPasses() == 0; {
		time.Sleep(500*time.Millisecond + rand.N(4*time.Second))
		if !trouble {
			continue
		}
		struck := rand.Perm(ranks)[:1+rand.IntN(ranks)]
		if rand.IntN(3) > 0 {
			struck = struck[:1]
		}
		switch rand.IntN(2) {
		case 0:
			r.line("kill %v", struck)
			for _, i := range struck {
				agents[i].signal(syscall.SIGKILL)
			}
			time.Sleep(200*time.Millisecond + rand.N(3*time.Second))
			for _, i := range struck {
				<-agents[i].exited
				begin(i)
			}
			r.line("again %v", struck)
		case 1:
			r.line("freeze %v", struck)
			for _, i := range struck {
				agents[i].signal(syscall.SIGSTOP)
			}
			time.Sleep(200*time.Millisecond + rand.N(4*time.Second))
			for _, i := range struck {
				agents[i].signal(syscall.SIGCONT)
			}
			r.line("wake %v", struck)
		}
	}
	time.Sleep(time.Second)
	close(stop)
	mu.Lock()
	defer mu.Unlock()
	r.line("%d passes, %d orders, %d of them without an answer, %d passes on two maps", g.step, orders, unanswered, g.brokenPasses())
	return g.brokenPasses() > 0
}
