//go:build review

package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// lateBy is how long after their arrival the orders without an answer are carried out, by rank:
// between 2 and 12 s.
var lateBy = [ranks]time.Duration{9 * time.Second, 10 * time.Second, 4500 * time.Millisecond, 11 * time.Second}

const (
	// restartDelay is the time after which the platform starts a killed process again.
	restartDelay = 500 * time.Millisecond
	// quietTime is how long no client sends a request.
	quietTime = 6500 * time.Millisecond
	service   = "huvo11a"
)

// groupConfiguration is the desired state: for each service of model workers one route, whose
// path begins with the name of the service.
func groupConfiguration(names ...string) map[string]any {
	var routes, services []any
	for _, name := range names {
		routes = append(routes, map[string]any{
			"name": "r-" + name, "host": streamHost, "pathPrefix": "/" + name + "/", "kind": "stream", "timeoutMs": 8000, "targetLatencyMs": 500,
			"priority": 1, "service": name, "attempts": 2, "public": false, "sessionAffinity": true, "resumable": true, "gap_aim_ms": 120,
		})
		services = append(services, map[string]any{
			"name": name, "healthPath": "/healthz", "maxConns": 408, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": 12, "kvCapacity": 280000, "kvTokenBytes": 35136, "linkMbps": 44000.0, "stride": 4, "models": []any{map[string]any{"name": "m"}},
				"step_ms": 4.55, "per_seq_ms": 0.905, "context_per_k": 0.0183, "read_per_s": 61400.0, "pairs_per_m": 0.525, "chunk": 512,
				"report_lag_ms": 200.0, "usual": map[string]any{"prompt": 835, "answer": 97},
				"sets": sets, "experts": experts, "places": places, "spare": spare, "expert_mb": 2200.0, "expert_share": 0.85, "form_ms": 600.0,
			},
		})
	}
	return map[string]any{
		"version": 7, "routes": routes, "services": services,
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "hule930", "apiKeys": []string{apiKey}, "priority": 1}},
	}
}

// members are clients that send streams one after the other while they are not quiet.
type members struct {
	record  *record
	service string
	front   netip.AddrPort
	quiet   atomic.Bool
	sent    atomic.Int64
	done    atomic.Int64
}

func (m *members) run(ctx context.Context) {
	for range 6 {
		go func() {
			for ctx.Err() == nil {
				if m.quiet.Load() {
					time.Sleep(20 * time.Millisecond)
					continue
				}
				m.ask()
			}
		}()
	}
}

// ask sends one request on a new connection and reads its answer.
func (m *members) ask() {
	c, err := net.Dial("tcp", m.front.String())
	if err != nil {
		time.Sleep(100 * time.Millisecond)
		return
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(timeBudget))
	id := fmt.Sprintf("%s-%d", m.service, m.sent.Add(1))
	p := &planner{c, bufio.NewReader(c)}
	a := p.send(id, "POST", "/"+m.service+"/2f?events=20", "{}")
	m.record.printf("client: request %s: status %d, last event %q, ended after %.3f s, error %v", id, a.status, a.lastEvent, a.endAt.Sub(a.sentAt).Seconds(), a.err)
	if a.status == 200 && a.err == nil {
		m.done.Add(1)
	} else {
		time.Sleep(200 * time.Millisecond)
	}
}

// mapsCase kills the agents of a group while a change of its map is under way, and lets the
// orders of that moment be carried out late. It checks the rule MAP.
func mapsCase(ctx context.Context, r *record, trouble bool) (bool, error) {
	d, err := newDeployment(r)
	if err != nil {
		return false, err
	}
	defer d.close()
	g, err := startExpertGroup(d, "g1", service, 3)
	if err != nil {
		return false, err
	}
	d.store.PutConfiguration(groupConfiguration(service))
	unfenced := func(s map[string]any) map[string]any {
		s["direct"].(map[string]any)["fencing"] = false
		return s
	}
	frontIP := d.ip(1, 1)
	front := netip.AddrPortFrom(frontIP, 8227)
	if _, err := d.add("front-za-1", "entry", unfenced(d.settings("front-za-1", "za", frontIP, map[string]any{
		"listen": front.String(), "ready-listen": frontIP.String() + ":8220",
	}))); err != nil {
		return false, err
	}
	var agents []*process
	for i, w := range g.ranks {
		name := fmt.Sprintf("side-za-%d", i+1)
		p, err := d.add(name, "agent", unfenced(d.settings(name, "za", w.address.Addr(), map[string]any{
			"upstream": map[string]any{"kind": "engine", "address": w.address.String(), "target": service},
		})))
		if err != nil {
			return false, err
		}
		agents = append(agents, p)
	}
	if err := awaitReady(ctx, netip.AddrPortFrom(frontIP, 8220)); err != nil {
		return false, err
	}
	m := &members{record: r, service: service, front: front}
	m.run(ctx)
	time.Sleep(8 * time.Second)
	return playMaps(ctx, r, g, m, agents, trouble)
}

// playMaps waits for a change of the map. As its holds arrive, the clients become quiet. With
// trouble, the orders to switch get no answer, and the agents are killed.
func playMaps(ctx context.Context, r *record, g *expertGroup, m *members, agents []*process, trouble bool) (bool, error) {
	holding, armed := make(chan struct{}), make(chan struct{})
	var heldOnce, armedOnce sync.Once
	seen := map[int]bool{}
	g.mu.Lock()
	g.onOrder = func(rank int, o orderBody) time.Duration {
		switch {
		case o.Op == "hold":
			heldOnce.Do(func() {
				m.quiet.Store(true)
				g.endRequests()
				r.printf("the clients become quiet")
				close(holding)
			})
		case o.Op == "arm" && !isClosed(armed):
			if seen[rank] = true; len(seen) == ranks {
				armedOnce.Do(func() { close(armed) })
			}
			if trouble {
				return lateBy[rank]
			}
		}
		return 0
	}
	g.mu.Unlock()
	select {
	case <-armed:
	case <-time.After(30 * time.Second):
		return false, fmt.Errorf("no change of the map was made within 30 s; %d passes", g.passes)
	case <-ctx.Done():
		return false, ctx.Err()
	}
	quietSince := time.Now()
	if trouble {
		var ended []<-chan struct{}
		for _, a := range agents {
			ended = append(ended, a.signal(syscall.SIGKILL))
		}
		for _, e := range ended {
			<-e
		}
		time.Sleep(restartDelay)
		for _, a := range agents {
			if err := a.start(); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(time.Until(quietSince.Add(quietTime)))
	r.printf("the clients send requests again")
	m.quiet.Store(false)
	time.Sleep(12 * time.Second)
	g.mu.Lock()
	defer g.mu.Unlock()
	r.printf("%d passes, %d of them with different maps; %d requests sent, %d answered", g.passes, len(g.mixed), m.sent.Load(), m.done.Load())
	return len(g.mixed) == 0, nil
}

func isClosed(c chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}
