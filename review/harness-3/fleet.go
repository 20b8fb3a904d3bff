//go:build review

package main

import (
	"fmt"
	"net"
	"time"
)

// Parameters of all cases.
const (
	switchRanks = 4
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

// agentFleet is a group of engines with their agents.
type agentFleet struct {
	record       *record
	group        *engineGroup
	agents       []*process
	hosts        []string
	storeAddress string
	port         int
	direct       map[string]any
}

// newAgentFleet starts the engines of a group of switchRanks and a store. Their agents are started by
// play.
func newAgentFleet(r *record) *agentFleet {
	f := &agentFleet{record: r, agents: make([]*process, switchRanks), direct: directSettings()}
	for range switchRanks {
		f.hosts = append(f.hosts, newHost())
	}
	f.group = newEngineGroup("g0-0", f.hosts)
	f.group.log = r.line
	s := newStore(500 * time.Millisecond)
	s.put("config", "main", engineConfiguration())
	for _, e := range f.group.ranks {
		s.put("servers", fmt.Sprintf("i-llm-%d", e.rank), e.registration("isb-a"))
	}
	f.storeAddress, f.port = serve(s), sharedPort(f.hosts)
	return f
}

// begin starts the agent of a rank, after its former process has ended.
func (f *agentFleet) begin(i int) {
	if f.agents[i] != nil {
		<-f.agents[i].exited
	}
	p := &process{name: fmt.Sprintf("side-isb-a-%d", i+1), zone: "isb-a", peer: fmt.Sprintf("%s:%d", f.hosts[i], f.port), debug: freeAddress(f.hosts[i])}
	f.agents[i] = p
	p.start("agent", agentSettings(p, f.storeAddress, f.direct, map[string]any{"kind": "engine", "address": f.group.ranks[i].address, "target": engineService}))
}

// play runs the group until the rule was broken or the time is over.
func (f *agentFleet) play(trouble bool) {
	stop := make(chan struct{})
	go f.group.run(stop)
	for i := range f.agents {
		f.begin(i)
	}
	length := switchLength
	if !trouble {
		length = calmLength
	}
	for end := time.Now().Add(length); time.Now().Before(end) && f.group.brokenPasses() == 0; {
		time.Sleep(50 * time.Millisecond)
	}
	time.Sleep(afterBreak)
	close(stop)
}

// verdict records the outcome and reports whether the rule was broken.
func (f *agentFleet) verdict(trouble bool, orders, unanswered, kills int) bool {
	broken := f.group.brokenPasses()
	f.record.line("%d passes, %d orders, %d of them without an answer, agents killed %d times, %d passes on two maps", f.group.step, orders, unanswered, kills, broken)
	if orders < 20 || trouble && kills == 0 {
		cannotRun("the agents changed no map")
	}
	return broken > 0
}
