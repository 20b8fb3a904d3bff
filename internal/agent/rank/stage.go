package rank

import (
	"context"
	"slices"
	"strconv"
	"time"

	"bramleydeal/internal/core/group"
	"bramleydeal/internal/process/clock"
	"bramleydeal/internal/wire/orders"
	"github.com/samber/oops"
)

// maxStagedMaps is the number of maps that an adapter keeps. A leader's next map builds on
// the one in use, after which only a few can have been staged and dropped.
const maxStagedMaps = 4

// Intervals and timeouts of staging a map.
const (
	stagePollInterval = 25 * time.Millisecond
	// stageTimeout is longer than a rank needs to fetch all experts that one map may
	// add.
	stageTimeout = 6 * time.Second
)

// Stage implements Engine. It returns when all experts of the map have been fetched.
func (e *orderAdapter) Stage(ctx context.Context, version uint64, content []byte) error {
	m, err := orders.DecodeMap(version, content, e.stagedMap)
	if err != nil {
		return err
	}
	e.rememberMap(m)
	ctx, cancel := context.WithTimeout(ctx, stageTimeout)
	defer cancel()
	p := &preparation{version: version, content: m}
	for {
		done, err := e.tryStage(ctx, p)
		if done || err != nil {
			return err
		}
		if ctx.Err() != nil {
			return oops.Code("engine").Errorf("map %d is not there in time", version)
		}
		clock.Sleep(ctx, stagePollInterval)
	}
}

// preparation is the state of staging one map at the engine.
type preparation struct {
	version uint64
	content group.Map
	// acknowledged is set once the engine has accepted a Prepare order, unconfirmed once
	// one got no reply.
	acknowledged, unconfirmed bool
}

// rememberMap keeps a staged map, so that the content of the next ones can build on it.
func (e *orderAdapter) rememberMap(m group.Map) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if slices.ContainsFunc(e.staged, func(o group.Map) bool { return o.Version == m.Version }) {
		return
	}
	e.staged = append(e.staged, m)
	if len(e.staged) > maxStagedMaps {
		e.staged = slices.Delete(e.staged, 0, 1)
	}
}

// stagedMap returns a staged map that is still kept.
func (e *orderAdapter) stagedMap(version uint64) (group.Map, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	i := slices.IndexFunc(e.staged, func(m group.Map) bool { return m.Version == version })
	if i < 0 {
		return group.Map{}, false
	}
	return e.staged[i], true
}

// tryStage reports whether the experts of a map have all been fetched. If not, it sends
// the Prepare order, unless the engine has acknowledged an earlier one. No map is staged
// during a change, since it would replace the map that the rank promised to switch to.
func (e *orderAdapter) tryStage(ctx context.Context, p *preparation) (done bool, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, err := e.report(ctx)
	switch {
	case err != nil:
		e.log.V(1).Info("engine not reachable while staging a map; trying again", "reason", err.Error())
		return false, nil
	case r.Prepared == p.version || r.Map == p.version:
		return true, nil
	case r.Prepared > p.version || r.Map > p.version:
		return false, oops.Code("engine").Errorf("map %d is older than one that the engine has", p.version)
	case e.state.HoldStep != 0 || e.state.Grants[len(e.state.Grants)-1].MapVersion != r.Map:
		return false, oops.Code("engine").Errorf("a change of the map is under way")
	case p.acknowledged:
		return false, nil
	}
	accepted, err := e.engine.Prepare(ctx, e.fence(r, e.state.Promised), p.version, p.content.ByLayerAndRank())
	switch {
	case err != nil:
		p.unconfirmed = true
	case accepted || p.unconfirmed:
		// An engine that did receive an order without a reply refuses the next one while it
		// fetches the experts.
		p.acknowledged = true
	default:
		return false, oops.Code("engine").Errorf("the engine refuses map %d", p.version)
	}
	return false, nil
}

// Polling of an engine that stages a map which retires another one. It fetches no experts for it.
const (
	retirePollInterval = 10 * time.Millisecond
	maxRetirePolls     = 10
)

// retire rules out that the engine switches to the map of a version or an earlier one, also by an order
// that it carries out late: it takes a pending switch back and stages a map that is not to come into use
// in place of the one that may. It reports false if the engine refuses that, and returns the report that
// follows. The caller holds e.mu.
func (e *orderAdapter) retire(ctx context.Context, r Report, ballot group.Ballot, version uint64) (Report, bool, error) {
	defer e.recordOrder()
	fence, retiring := e.fence(r, ballot), group.RetiringVersion(version)
	if r.Armed != 0 {
		if ok, err := e.engine.Disarm(ctx, fence, r.Armed); !ok || err != nil {
			return r, ok, err
		}
	}
	if r.Prepared < retiring {
		experts, err := e.sameExperts(ctx, r)
		if err != nil {
			return r, false, err
		}
		// An engine that has carried out an order without a reply refuses the next one.
		if _, err := e.engine.Prepare(ctx, fence, retiring, experts); err != nil {
			return r, false, err
		}
	}
	e.log.Info("map retired", "map", version, "armed", r.Armed, "prepared", r.Prepared, "next", r.NextStep, "epoch", r.Epoch)
	for range maxRetirePolls {
		after, err := e.engine.ReportAnew(ctx)
		if err != nil || after.Epoch != r.Epoch || after.Armed != 0 {
			return r, false, err
		}
		if r = after; r.Prepared >= retiring {
			return r, true, nil
		}
		clock.Sleep(ctx, retirePollInterval)
	}
	return r, false, nil
}

// sameExperts returns a map, by layer and rank, in which this rank has the experts that it holds, so
// that it fetches none to stage it. The other ranks have the other experts. The caller holds e.mu.
func (e *orderAdapter) sameExperts(ctx context.Context, r Report) ([][][]int, error) {
	self, err := strconv.Atoi(r.Rank)
	if err != nil || self < 0 || self >= r.Ranks {
		return nil, oops.Code("engine").Errorf("the engine says that it is rank %q of %d", r.Rank, r.Ranks)
	}
	held, err := e.engine.Held(ctx, r.Map)
	if err != nil {
		return nil, err
	}
	counts, err := e.engine.Counts(ctx)
	if err != nil {
		return nil, err
	}
	var out [][][]int
	for _, own := range held {
		byRank := make([][]int, r.Ranks)
		byRank[self] = own
		next := 0
		for expert := range len(counts) / len(held) {
			if slices.Contains(own, expert) {
				continue
			}
			if next%r.Ranks == self {
				next++
			}
			byRank[next%r.Ranks] = append(byRank[next%r.Ranks], expert)
			next++
		}
		out = append(out, byRank)
	}
	return out, nil
}
