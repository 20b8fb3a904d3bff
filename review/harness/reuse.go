//go:build review

package main

import (
	"context"
	"fmt"
	"net/netip"
	"strconv"
	"syscall"
	"time"
)

// Names of the two services of model workers.
const (
	serviceA = "huvo11a"
	serviceB = "dele69b"
)

const (
	// reuseAfter is how long after the end of a worker its address is given to another one;
	// the least that the sheet allows is 2 s.
	reuseAfter = 2500 * time.Millisecond
	// silence is the time after which the store removes the entry of a worker that is gone:
	// three ping intervals.
	silence = 3 * 1200 * time.Millisecond
	// lostRank is the rank of each group whose machine is removed for good.
	lostRank = 2
)

// reuseCase removes a machine of each of two groups for good. The new machine of the second group
// gets the address of the one that the first group has lost. It checks the rule MAP.
func reuseCase(ctx context.Context, r *record, trouble bool) (bool, error) {
	d, err := newDeployment(r)
	if err != nil {
		return false, err
	}
	defer d.close()
	d.store.PutConfiguration(groupConfiguration(serviceA, serviceB))
	a, err := startExpertGroup(d, "ga", serviceA, 3)
	if err != nil {
		return false, err
	}
	b, err := startExpertGroup(d, "gb", serviceB, 4)
	if err != nil {
		return false, err
	}
	frontIP := d.ip(1, 1)
	front := netip.AddrPortFrom(frontIP, 8227)
	settings := func(name string, ip netip.Addr, more map[string]any) map[string]any {
		s := d.settings(name, "za", ip, more)
		s["direct"].(map[string]any)["fencing"] = false // as on int-bramley
		return s
	}
	if _, err := d.add("front-za-1", "entry", settings("front-za-1", frontIP, map[string]any{"listen": front.String(), "ready-listen": frontIP.String() + ":8220"})); err != nil {
		return false, err
	}
	startAgent := func(name string, w *expertRank) (*process, error) {
		return d.add(name, "agent", settings(name, w.address.Addr(), map[string]any{
			"upstream": map[string]any{"kind": "engine", "address": w.address.String(), "target": w.group.service},
		}))
	}
	lost := map[*expertGroup]*process{}
	machine := 0
	for _, g := range []*expertGroup{a, b} {
		for i, w := range g.ranks {
			machine++
			p, err := startAgent("side-za-"+strconv.Itoa(machine), w)
			if err != nil {
				return false, err
			}
			if i == lostRank {
				lost[g] = p
			}
		}
	}
	if err := awaitReady(ctx, netip.AddrPortFrom(frontIP, 8220)); err != nil {
		return false, err
	}
	for _, s := range []string{serviceA, serviceB} {
		(&members{record: r, service: s, front: front}).run(ctx)
	}
	time.Sleep(12 * time.Second)
	if trouble {
		// Both machines lose power for good.
		lostAddress := a.ranks[lostRank].address.Addr()
		for _, g := range []*expertGroup{a, b} {
			<-lost[g].signal(syscall.SIGKILL)
			id := g.ranks[lostRank].id
			g.lose(lostRank)
			time.AfterFunc(silence, func() {
				d.store.RemoveWorker(id)
				r.printf("the store removes the entry of %s", id)
			})
		}
		time.Sleep(reuseAfter)
		if err := a.replace(lostRank, d.ip(3, 100), "i-7c40"); err != nil {
			return false, err
		}
		if err := b.replace(lostRank, lostAddress, "i-19e2"); err != nil {
			return false, err
		}
		for _, g := range []*expertGroup{a, b} {
			machine++
			if _, err := startAgent("side-za-"+strconv.Itoa(machine), g.ranks[lostRank]); err != nil {
				return false, err
			}
		}
	}
	time.Sleep(25 * time.Second)
	mixed := 0
	for _, g := range []*expertGroup{a, b} {
		g.mu.Lock()
		r.printf("%s: %d passes, %d of them with different maps", g.name, g.passes, len(g.mixed))
		mixed += len(g.mixed)
		passes := g.passes
		g.mu.Unlock()
		if passes < 100 {
			return false, fmt.Errorf("%s made %d passes only", g.name, passes)
		}
	}
	return mixed == 0, nil
}
