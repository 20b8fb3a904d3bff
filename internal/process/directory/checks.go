package directory

import (
	"context"
	"maps"
	"slices"
	"time"

	"bramleydeal/internal/core/store"
	"bramleydeal/internal/process/clock"
)

// runChecks lists the kinds that are needed to handle requests whenever it is this process's
// turn, until ctx ends.
func (d *Directory) runChecks(ctx context.Context) {
	for ctx.Err() == nil {
		clock.Sleep(ctx, d.untilSlot(time.Now()))
		for _, k := range d.requestKinds {
			d.checkKind(ctx, k)
		}
	}
}

// untilSlot returns the time until this process's next turn. The turns follow the
// wall clock, in the order of the instances' names. If the clocks of processes
// differ, two of them may check in the same slot and none in another.
func (d *Directory) untilSlot(now time.Time) time.Duration {
	d.mu.Lock()
	names := slices.Sorted(maps.Keys(d.instances))
	d.mu.Unlock()
	index := max(slices.Index(names, d.self), 0)
	cycle := time.Duration(max(len(names), 1)) * checkSlot
	start := time.Duration(index) * checkSlot
	wait := start - time.Duration(now.UnixNano()%int64(cycle))
	if wait <= 0 {
		wait += cycle
	}
	return wait
}

// checkKind lists a kind to find changes that the watches missed, and pushes these
// to the peers. It does nothing if the kind was never listed or the store is failing.
func (d *Directory) checkKind(ctx context.Context, k Kind) {
	d.mu.Lock()
	skip := d.health[k].failing || d.replicas[k].Revision() == 0
	before := d.replicas[k].Revision()
	d.mu.Unlock()
	if skip {
		return
	}
	suspensions := d.suspension.suspensions()
	listCtx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	u, err := d.store.List(listCtx, k)
	if err != nil {
		d.recordFailure(k, err)
		d.endWatch(k)
		return
	}
	changed := d.apply(k, u, "check")
	d.suspension.confirm(k, suspensions)
	if changed {
		d.log.Info("the watch missed a change", "kind", k, "revision", store.RevisionOf(u.Revision), "known", store.RevisionOf(before))
		if d.watchesDirectly() {
			d.endWatch(k)
		}
		d.push(ctx, k, before)
	}
}
