package rank

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"bramleydeal/internal/core/group"
	"bramleydeal/internal/process/clock"
	"github.com/go-logr/logr"
	"github.com/samber/oops"
)

// Orders is an engine that takes single orders and keeps nothing of the agent's
// state. An error says that the order may have been taken, or may be carried out
// later; false says that it was not and will not be.
type OrderEngine interface {
	// Report returns where the engine stands.
	Report(ctx context.Context) (Report, error)
	// Counts returns how often each expert was chosen since the rank started, by
	// layer and expert in one list, modulo 2^32.
	Counts(ctx context.Context) ([]uint32, error)
	// Held returns the experts of the rank by layer.
	Held(ctx context.Context) ([][]int, error)
	// Prepare begins to copy the experts of a map, by layer and rank.
	Prepare(ctx context.Context, m Fence, version uint64, experts [][][]int) (bool, error)
	// Arm makes the rank switch to a prepared map as a step begins.
	Arm(ctx context.Context, m Fence, version, step uint64) (bool, error)
	// Hold stops the group before a step, Release lets it go on.
	Hold(ctx context.Context, m Fence, step uint64) (bool, error)
	Release(ctx context.Context, m Fence, step uint64) (bool, error)
}

// Mark makes an engine refuse an order that is out of date.
type Fence struct {
	// Epoch is that of the group when the order was given.
	Epoch uint64
	// Fence follows from the ballot under which the order is given: an engine
	// refuses one that is lower than one it has seen. 0 is no fence.
	Token uint64
}

// attemptBits is the room for a ballot's attempt in a fence.
const attemptBits = 20

// mark returns the mark of an order that is given now; e.mu is held.
func (e *orderAdapter) fence(r Report, promised group.Ballot) Fence {
	return Fence{Epoch: r.Epoch, Token: promised.Term<<attemptBits + promised.Attempt}
}

// Report is where an engine stands.
type Report struct {
	// Epoch rises whenever the group forms anew; all maps but the first are then
	// forgotten.
	Epoch uint64
	// Next is the next step that the rank would start.
	NextStep uint64
	// Map is the version in use, Prepared one that was copied whole, 0 for none.
	Map, Prepared uint64
	// Armed is the map that the rank switches to as step ArmedStep begins, 0 for
	// none; Hold is the step before which the group stops, 0 for none.
	Armed, ArmedStep, Hold uint64
}

// orderedEngine makes an engine out of one that takes single orders. The agent's
// state is in memory only: after a restart, what the engine holds is taken for
// what was granted, under a new incarnation, so that orders sent to the one
// before are refused.
type orderAdapter struct {
	engine OrderEngine
	log    logr.Logger

	mu    sync.Mutex
	state *group.Rank
	epoch uint64
	// held are the experts of the map heldMap.
	heldExperts    [][]int
	heldMapVersion uint64
	// counts are those that were read last.
	lastCounts []uint32
}

// NewOrderedEngine returns the engine that takes single orders.
func NewOrderAdapter(o OrderEngine, log logr.Logger) Engine {
	return &orderAdapter{engine: o, log: log}
}

// Times of staging.
const (
	stagePollInterval = 25 * time.Millisecond
	// stageTimeout is longer than a rank copies all experts that one map may add.
	stageTimeout = 6 * time.Second
)

// Read implements Engine.
func (e *orderAdapter) Read(ctx context.Context, loads bool) (Status, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, err := e.report(ctx)
	if err != nil {
		return Status{}, err
	}
	s := e.status(r)
	if !loads {
		return s, nil
	}
	counts, err := e.engine.Counts(ctx)
	if err != nil {
		return Status{}, err
	}
	s.Chosen, e.lastCounts = group.NewSample(e.lastCounts, counts), counts
	if e.heldExperts == nil || e.heldMapVersion != r.Map {
		if e.heldExperts, err = e.engine.Held(ctx); err != nil {
			return Status{}, err
		}
		e.heldMapVersion = r.Map
	}
	s.HeldExperts = e.heldExperts
	return s, nil
}

// report reads where the engine stands and brings the state in line with it;
// e.mu is held.
func (e *orderAdapter) report(ctx context.Context) (Report, error) {
	r, err := e.engine.Report(ctx)
	if err != nil {
		return r, err
	}
	if e.state == nil || r.Epoch != e.epoch || e.contradictedBy(r) {
		e.startIncarnation(r)
	}
	if r.Hold != 0 && r.Hold != e.state.HoldStep {
		// The order for it was given up and carried out late. An agent that took
		// over this rank may have given it: its fence is higher.
		e.log.Info("ending a hold that no change goes with", "step", r.Hold, "next", r.NextStep)
		if _, err := e.engine.Release(ctx, e.fence(r, e.state.Promised), r.Hold); err != nil {
			return r, err
		}
	}
	return r, nil
}

// contradicted tells whether the engine stands where this agent's orders cannot
// have led it: another one took over the rank, or an unanswered order was
// carried out.
func (e *orderAdapter) contradictedBy(r Report) bool {
	if e.state.HoldStep != 0 && r.Hold != e.state.HoldStep {
		return true
	}
	if r.Armed != 0 && !slices.Contains(e.state.Grants, group.Grant{FromStep: r.ArmedStep, MapVersion: r.Armed}) {
		return true
	}
	granted := e.state.Grants[0].MapVersion
	for _, g := range e.state.Grants {
		if g.FromStep < r.NextStep {
			granted = g.MapVersion
		}
	}
	return r.Map != granted
}

// begin takes what the engine holds for what was granted.
func (e *orderAdapter) startIncarnation(r Report) {
	s := &group.Rank{
		Incarnation: strconv.FormatUint(r.Epoch, 10) + "-" + strconv.FormatUint(rand.Uint64(), 36),
		Grants:      []group.Grant{{MapVersion: r.Map}},
		HoldStep:    r.Hold,
	}
	if r.Armed != 0 {
		s.Grants = append(s.Grants, group.Grant{FromStep: r.ArmedStep, MapVersion: r.Armed})
	}
	e.log.Info("rank begins", "incarnation", s.Incarnation, "epoch", r.Epoch, "map", r.Map, "armed", r.Armed, "hold", r.Hold)
	e.state, e.epoch, e.heldExperts = s, r.Epoch, nil
}

func (e *orderAdapter) status(r Report) Status {
	state := *e.state
	return Status{Step: r.NextStep, LoadMap: r.Map, Plan: Plan{HoldStep: state.HoldStep, State: &state}}
}

// Put implements Engine: it gives the orders that lead from the state before to
// the plan's. What an order achieved is kept even when a later one fails.
func (e *orderAdapter) Put(ctx context.Context, p Plan) (Status, bool, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, err := e.report(ctx)
	if err != nil {
		return Status{}, false, err
	}
	next := p.State
	if next.Incarnation != e.state.Incarnation || p.MaxStep != 0 && r.NextStep > p.MaxStep {
		return e.status(r), false, nil
	}
	ok, err := e.apply(ctx, r, next, p.RequiredMap)
	if ok && err == nil {
		e.state = next
	}
	return e.status(r), ok, err
}

func (e *orderAdapter) apply(ctx context.Context, r Report, next *group.Rank, needs uint64) (bool, error) {
	mark := e.fence(r, next.Promised)
	if next.HoldStep != 0 && next.HoldStep != e.state.HoldStep {
		if needs != r.Prepared && needs != r.Map {
			return false, nil
		}
		return e.engine.Hold(ctx, mark, next.HoldStep)
	}
	last := next.Grants[len(next.Grants)-1]
	before := e.state.Grants[len(e.state.Grants)-1]
	if last != before && last.MapVersion != before.MapVersion && !(r.Armed == last.MapVersion && r.ArmedStep == last.FromStep) {
		if ok, err := e.engine.Arm(ctx, mark, last.MapVersion, last.FromStep); !ok || err != nil {
			return ok, err
		}
		e.log.Info("map armed", "map", last.MapVersion, "from-step", last.FromStep, "next", r.NextStep, "epoch", r.Epoch)
	}
	if e.state.HoldStep != 0 && next.HoldStep == 0 {
		// The grant stands even if the release is not answered.
		granted := *e.state
		granted.Grants = next.Grants
		e.state = &granted
		return e.engine.Release(ctx, mark, granted.HoldStep)
	}
	return true, nil
}

// Stage implements Engine: it returns once the map is copied whole.
func (e *orderAdapter) Stage(ctx context.Context, version uint64, content []byte) error {
	var m group.Map
	if err := json.Unmarshal(content, &m); err != nil {
		return oops.Code("invalid-order").Wrapf(err, "read the map")
	}
	ctx, cancel := context.WithTimeout(ctx, stageTimeout)
	defer cancel()
	for ordered := false; ; {
		done, given, err := e.tryStage(ctx, version, m, ordered)
		if done || err != nil {
			return err
		}
		ordered = given
		if ctx.Err() != nil {
			return oops.Code("engine").Errorf("map %d is not there in time", version)
		}
		clock.Sleep(ctx, stagePollInterval)
	}
}

// stageOnce looks whether a map is copied whole, and gives the order for it
// unless that was answered. No map is staged while a change is under way: it
// would take the place of the one that the rank promised to switch to.
func (e *orderAdapter) tryStage(ctx context.Context, version uint64, m group.Map, ordered bool) (done, given bool, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r, err := e.report(ctx)
	switch {
	case err != nil:
		e.log.V(1).Info("the engine does not answer", "reason", err.Error())
		return false, ordered, nil
	case r.Prepared == version || r.Map == version:
		return true, ordered, nil
	case r.Prepared > version || r.Map > version:
		return false, ordered, oops.Code("engine").Errorf("map %d is older than one that the engine has", version)
	case e.state.HoldStep != 0 || e.state.Grants[len(e.state.Grants)-1].MapVersion != r.Map:
		return false, ordered, oops.Code("engine").Errorf("a change of the map is under way")
	case ordered:
		return false, true, nil
	}
	// An order without an answer is given again; the engine refuses a second one
	// of the same version while the copy runs, which shows in the report.
	ok, err := e.engine.Prepare(ctx, e.fence(r, e.state.Promised), version, m.ByLayerAndRank())
	if err == nil && !ok {
		return false, false, oops.Code("engine").Errorf("the engine refuses map %d", version)
	}
	return false, err == nil, nil
}
