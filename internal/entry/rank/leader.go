// Package rank carries out, on an entry, the duty of leading expert-parallel
// groups: under a lease in the platform it observes the experts' loads, plans
// maps, stages them at all ranks and has them granted. The decisions are in
// core/group.
package rank

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"bramleydeal/internal/core/group"
	"bramleydeal/internal/core/instance"
	"bramleydeal/internal/entry/store"
	"bramleydeal/internal/settings/reference"
	"bramleydeal/internal/settings/snapshot"
	"bramleydeal/internal/settings/tree"
	"bramleydeal/internal/store/object"
	"bramleydeal/internal/wire/dial"
	"bramleydeal/internal/wire/orders"
	"bramleydeal/internal/wire/peer"
	"bramleydeal/internal/world/fleet"
	"github.com/go-logr/logr"
)

// lookInterval is how often the duty looks which groups it contends for.
const lookInterval = time.Second

// Duty leads groups.
type GroupLeader struct {
	self    string
	domain  fleet.FailureDomain
	holder  string
	objects *object.Client
	pool    *dial.Pool
	current func() *snapshot.Snapshot
	log     logr.Logger

	mu      sync.Mutex
	running map[string]context.CancelFunc
	leading map[string]*State
}

// New returns the duty of one entry.
// holder names this run of its process.
func New(self, holder string, domain fleet.FailureDomain, objects *object.Client, pool *dial.Pool, current func() *snapshot.Snapshot, log logr.Logger) *GroupLeader {
	return &GroupLeader{
		self: self, domain: domain, objects: objects, pool: pool, current: current, log: log,
		holder: holder, running: map[string]context.CancelFunc{}, leading: map[string]*State{},
	}
}

// State is what the dump says of one group that this entry leads.
type State struct {
	Group   string      `json:"group"`
	Term    uint64      `json:"term"`
	Phase   group.Phase `json:"phase"`
	Step    uint64      `json:"step"`
	Grant   group.Grant `json:"grant"`
	Aborted int         `json:"changes-given-up"`
	Changes int         `json:"changes"`
	Skew    float64     `json:"skew"`
	Moves   int         `json:"experts-moved"`
}

// Run contends for the leases until ctx ends.
func (d *GroupLeader) Run(ctx context.Context) {
	var running sync.WaitGroup
	defer running.Wait()
	ticker := time.NewTicker(lookInterval)
	defer ticker.Stop()
	for {
		d.look(ctx, &running)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// look starts and stops contending as the settings and instances say.
func (d *GroupLeader) look(ctx context.Context, running *sync.WaitGroup) {
	d.mu.Lock()
	defer d.mu.Unlock()
	wanted := map[string]bool{}
	for _, name := range d.current().Tree.Names(reference.Group) {
		wanted[name] = d.contends(name)
	}
	for name, stop := range d.running {
		if !wanted[name] {
			stop()
			delete(d.running, name)
		}
	}
	for name, contend := range wanted {
		if _, already := d.running[name]; !contend || already {
			continue
		}
		own, stop := context.WithCancel(ctx)
		d.running[name] = stop
		duration := tree.Get(d.current().Tree, tree.Scope{FailureDomain: string(d.domain)}, reference.LeaseDuration)
		lease := store.NewLease(d.objects, "group-"+name, d.holder, duration)
		running.Go(func() {
			lease.Hold(own, func(ctx context.Context, term uint64) { d.lead(ctx, name, term) })
		})
	}
}

func (d *GroupLeader) contends(name string) bool {
	now := d.current()
	if !tree.Get(now.Tree, tree.Scope{Group: name}, reference.ExpertParallel) {
		return false
	}
	return instance.ContendsForLease(slices.Collect(maps.Values(now.Instances)), d.self, "lead/"+name)
}

// State returns the duty's part of the dump.
func (d *GroupLeader) State() any {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := []State{}
	for _, s := range d.leading {
		out = append(out, *s)
	}
	return map[string]any{"leading": out, "contending-for": slices.Sorted(maps.Keys(d.running))}
}

func (d *GroupLeader) note(s State) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leading[s.Group] = &s
}

func (d *GroupLeader) forget(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.leading, name)
}

// pollPerRank is the time that a steady leader takes for each rank in a round of
// asking, so that a large group costs its leader no more than a small one.
const pollPerRank = 100 * time.Millisecond

// leaderRules are the times of a leader; Ahead is in steps.
func leaderRules(ranks int) group.LeaderConfig {
	return group.LeaderConfig{ResendInterval: 500 * time.Millisecond, PollInterval: time.Duration(ranks) * pollPerRank, PromiseTimeout: 3 * time.Second, MinStepsAhead: 60}
}

// firstMap is the version of the uniform map that every group begins with.
const firstMap = 1

// lead leads a group while ctx lasts.
func (d *GroupLeader) lead(ctx context.Context, name string, term uint64) {
	defer d.forget(name)
	scope := tree.Scope{FailureDomain: string(d.domain), Group: name}
	ranks := []string{}
	for _, i := range d.current().Upstreams(scope) {
		ranks = append(ranks, i.Name)
	}
	if len(ranks) == 0 {
		return
	}
	d.log.Info("leading a group", "group", name, "term", term, "ranks", len(ranks))
	g := newGroup(d, name, scope, ranks, term)
	l := group.NewLeader(ranks, group.Ballot{Term: term, Proposer: d.holder}, firstMap, leaderRules(len(ranks)))
	orders.RunLeader(ctx, name, len(ranks), l, g.call, func(l *group.Leader) bool {
		g.event(ctx, l)
		return false
	})
	d.log.Info("no longer leading a group", "group", name, "term", term)
}

// mapName is the platform's object of a group's map.
func mapName(name string, version uint64) string {
	return "maps/" + name + "/" + strconv.FormatUint(version, 10)
}

// led is a group while this entry leads it.
type led struct {
	duty  *GroupLeader
	name  string
	scope tree.Scope
	ranks []string
	term  uint64
	shape group.Shape

	mu      sync.Mutex
	maps    map[uint64]group.Map
	planner *group.Planner
	planAt  time.Time
	// planning is true while a plan is made and staged; staged is the version
	// that waits to be proposed.
	planning bool
	staged   uint64
	counter  uint64
	state    State
}

func newGroup(d *GroupLeader, name string, scope tree.Scope, ranks []string, term uint64) *led {
	t := d.current().Tree
	shape := group.Shape{
		Ranks: len(ranks), Experts: tree.Get(t, scope, reference.Experts),
		Layers: tree.Get(t, scope, reference.Layers), Slots: tree.Get(t, scope, reference.ExpertSlots),
	}
	if shape.Slots == 0 {
		shape.Slots = group.DefaultSlots(shape.Experts, shape.Ranks)
	}
	g := &led{duty: d, name: name, scope: scope, ranks: ranks, term: term, shape: shape, maps: map[uint64]group.Map{}}
	g.planner = group.NewPlanner(shape, g.rules())
	g.state = State{Group: name, Term: term}
	return g
}

func (g *led) rules() group.PlannerConfig {
	t := g.duty.current().Tree
	return group.PlannerConfig{
		SkewWeight: tree.Get(t, g.scope, reference.SkewWeight), MoveWeight: tree.Get(t, g.scope, reference.MoveWeight),
		FetchTime: tree.Get(t, g.scope, reference.WeightFetch), MovesPerHour: tree.Get(t, g.scope, reference.MovesPerHour),
		Horizon: tree.Get(t, g.scope, reference.PlacementHorizon),
	}
}

// call sends an order to a rank's agent. A rank without memory needs the maps
// of its grants before it is given them.
func (g *led) call(ctx context.Context, rank string, m *peer.GrantOrder) (*peer.GrantReply, error) {
	if m.Kind == peer.GrantOrder_RESTORE {
		for _, grant := range m.Grants {
			if err := g.stageAt(ctx, rank, grant.Map); err != nil {
				return nil, err
			}
		}
	}
	return orders.Call(ctx, g.duty.current(), g.duty.pool, rank, m)
}

// mapOf returns a map by its version, from the platform if need be.
func (g *led) mapOf(ctx context.Context, version uint64) (group.Map, error) {
	g.mu.Lock()
	m, ok := g.maps[version]
	g.mu.Unlock()
	if ok {
		return m, nil
	}
	if version == firstMap {
		m = group.Uniform(g.shape)
		m.Version = firstMap
	} else {
		held, err := g.duty.objects.Get(ctx, mapName(g.name, version))
		if err != nil {
			return m, err
		}
		if err := json.Unmarshal(held.Value, &m); err != nil {
			return m, err
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.maps[version] = m
	return m, nil
}

func (g *led) stageAt(ctx context.Context, rank string, version uint64) error {
	m, err := g.mapOf(ctx, version)
	if err != nil {
		return err
	}
	content, err := json.Marshal(m)
	if err != nil {
		return err
	}
	_, err = orders.Call(ctx, g.duty.current(), g.duty.pool, rank,
		&peer.GrantOrder{Group: g.name, Kind: peer.GrantOrder_STAGE, Map: version, Content: content})
	return err
}

// event is called after each event of the leader, on the goroutine that owns
// it: it proposes a staged map and begins the next plan.
func (g *led) event(ctx context.Context, l *group.Leader) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state.Phase, g.state.Step, g.state.Grant, g.state.Aborted = l.Phase(), l.Step(), l.Current(), l.Aborted()
	g.duty.note(g.state)
	if l.Phase() != group.Steady {
		return
	}
	if g.staged != 0 && l.Propose(g.staged) {
		g.state.Changes++
		g.staged = 0
	}
	interval := tree.Get(g.duty.current().Tree, g.scope, reference.PlacementInterval)
	if now := time.Now(); !g.planning && g.staged == 0 && now.Sub(g.planAt) >= interval {
		g.planAt, g.planning = now, true
		grant, ballot := l.Current(), l.Ballot()
		go g.plan(ctx, grant, ballot)
	}
}

// plan observes the loads, plans, and stages a new map everywhere if there is
// one.
func (g *led) plan(ctx context.Context, grant group.Grant, b group.Ballot) {
	defer func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.planning = false
	}()
	current, err := g.mapOf(ctx, grant.MapVersion)
	if err != nil {
		g.duty.log.Info("the current map cannot be read", "group", g.name, "map", grant.MapVersion, "error", err.Error())
		return
	}
	loads, ok := g.observe(ctx, current, b)
	if !ok {
		return
	}
	g.mu.Lock()
	g.planner.Configure(g.rules(), nil)
	g.planner.Observe(loads, time.Now())
	next, changed := g.planner.Plan(current)
	g.state.Skew = group.Skew(current, loads, g.shape)
	g.counter++
	next.Version = g.term<<20 | g.counter
	g.mu.Unlock()
	if changed {
		g.stage(ctx, current, next)
	}
}

// observe asks every rank for the tokens of its experts and sums them. Ranks
// that counted under another map, or do not answer, leave a gap.
func (g *led) observe(ctx context.Context, current group.Map, b group.Ballot) (group.Loads, bool) {
	ctx, cancel := context.WithTimeout(ctx, orders.CallTimeout)
	defer cancel()
	replies := make([]*peer.GrantReply, len(g.ranks))
	var calls sync.WaitGroup
	for i, rank := range g.ranks {
		calls.Go(func() {
			m := orders.OrderToProto(g.name, group.Collect{Ballot: b})
			m.Loads = true
			reply, err := g.call(ctx, rank, m)
			if err == nil && reply.LoadMap == current.Version && len(reply.Loads) == g.shape.Layers*g.shape.Slots {
				replies[i] = reply
			}
		})
	}
	calls.Wait()
	loads := make(group.Loads, g.shape.Layers)
	for layer := range loads {
		loads[layer] = make([]float64, g.shape.Experts)
	}
	for i, reply := range replies {
		if reply == nil {
			return nil, false
		}
		for n, tokens := range reply.Loads {
			layer, slot := n/g.shape.Slots, n%g.shape.Slots
			if e := current.Layers[layer][i*g.shape.Slots+slot]; e != group.EmptySlot {
				loads[layer][e] += float64(tokens)
			}
		}
	}
	return loads, true
}

// stage keeps the map in the platform and gives it to every rank. Only a map
// that all ranks have is proposed.
func (g *led) stage(ctx context.Context, current, next group.Map) {
	value, err := json.Marshal(next)
	if err != nil {
		return
	}
	if _, err := g.duty.objects.Put(ctx, mapName(g.name, next.Version), value, 0); err != nil {
		g.duty.log.Info("the map cannot be kept", "group", g.name, "error", err.Error())
		return
	}
	g.mu.Lock()
	g.maps[next.Version] = next
	g.mu.Unlock()
	for _, rank := range g.ranks {
		if err := g.stageAt(ctx, rank, next.Version); err != nil {
			g.duty.log.Info("the map cannot be staged", "group", g.name, "rank", rank, "error", err.Error())
			return
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.staged = next.Version
	g.state.Moves += current.Moves(next)
	g.duty.log.Info("map staged", "group", g.name, "map", next.Version, "moves", current.Moves(next))
}
