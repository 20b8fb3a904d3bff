// Package rank leads expert-parallel groups on behalf of an entry. While the
// entry holds a group's lease in the platform, it collects the loads of the
// experts, plans expert maps, stages each new map at all ranks, where the expert
// weights for it are fetched, and grants its use from a certain step on. Ranks
// receive orders: to report their state, to stage a map, to hold (stop) before a
// step, or to use a grant. The ballot in an order lets a rank refuse those of an
// earlier leader. The decisions are in core/group.
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

// reconcileInterval is how often the groups whose leases this entry contends
// for are updated.
const reconcileInterval = time.Second

// GroupLeader contends for the leases of expert-parallel groups and leads the
// groups whose lease it holds. It is a leader task of an entry.
type GroupLeader struct {
	self    string
	domain  fleet.FailureDomain
	holder  string
	objects *object.Client
	pool    *dial.Pool
	current func() *snapshot.Snapshot
	log     logr.Logger

	// mu guards the fields below, which are keyed by group.
	mu         sync.Mutex
	contending map[string]context.CancelFunc
	leading    map[string]*State
}

// New returns the GroupLeader of an entry. holder identifies this run of the
// entry's process as a lease holder.
func New(self, holder string, domain fleet.FailureDomain, objects *object.Client, pool *dial.Pool, current func() *snapshot.Snapshot, log logr.Logger) *GroupLeader {
	return &GroupLeader{
		self: self, domain: domain, objects: objects, pool: pool, current: current, log: log,
		holder: holder, contending: map[string]context.CancelFunc{}, leading: map[string]*State{},
	}
}

// State is the debug state of a group that this entry leads. Term is the term of
// the group's lease.
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

// Run contends for the leases of groups until ctx ends, and leads each group
// whose lease it holds.
func (gl *GroupLeader) Run(ctx context.Context) {
	var contenders sync.WaitGroup
	defer contenders.Wait()
	ticker := time.NewTicker(reconcileInterval)
	defer ticker.Stop()
	for {
		gl.reconcile(ctx, &contenders)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// reconcile starts and stops contending for leases according to the settings
// and the list of instances.
func (gl *GroupLeader) reconcile(ctx context.Context, contenders *sync.WaitGroup) {
	gl.mu.Lock()
	defer gl.mu.Unlock()
	wanted := map[string]bool{}
	for _, name := range gl.current().Tree.Names(reference.Group) {
		wanted[name] = gl.contends(name)
	}
	for name, stop := range gl.contending {
		if !wanted[name] {
			stop()
			delete(gl.contending, name)
		}
	}
	for name, contend := range wanted {
		if _, already := gl.contending[name]; !contend || already {
			continue
		}
		leaseCtx, stop := context.WithCancel(ctx)
		gl.contending[name] = stop
		duration := tree.Get(gl.current().Tree, tree.Scope{FailureDomain: string(gl.domain)}, reference.LeaseDuration)
		lease := store.NewLease(gl.objects, "group-"+name, gl.holder, duration)
		contenders.Go(func() {
			lease.Hold(leaseCtx, func(ctx context.Context, term uint64) { gl.leadGroup(ctx, name, term) })
		})
	}
}

// contends reports whether this entry contends for the lease of a group.
func (gl *GroupLeader) contends(name string) bool {
	settings := gl.current()
	if !tree.Get(settings.Tree, tree.Scope{Group: name}, reference.ExpertParallel) {
		return false
	}
	return instance.ContendsForLease(slices.Collect(maps.Values(settings.Instances)), gl.self, "lead/"+name)
}

// State returns the groups led and the groups whose leases are contended for,
// for the debug state.
func (gl *GroupLeader) State() any {
	gl.mu.Lock()
	defer gl.mu.Unlock()
	out := []State{}
	for _, s := range gl.leading {
		out = append(out, *s)
	}
	return map[string]any{"leading": out, "contending-for": slices.Sorted(maps.Keys(gl.contending))}
}

func (gl *GroupLeader) recordState(s State) {
	gl.mu.Lock()
	defer gl.mu.Unlock()
	gl.leading[s.Group] = &s
}

func (gl *GroupLeader) removeState(name string) {
	gl.mu.Lock()
	defer gl.mu.Unlock()
	delete(gl.leading, name)
}

// pollPerRank is the time per rank between two rounds in which a leader polls
// all ranks while nothing changes. The rate of calls is therefore independent
// of the group's size.
const pollPerRank = 100 * time.Millisecond

// resendInterval is the time after which an order without a reply is sent again.
const resendInterval = 500 * time.Millisecond

// leaderConfig returns the timing of the leader of a group with this many
// ranks.
func leaderConfig(ranks int) group.LeaderConfig {
	return group.LeaderConfig{
		ResendInterval: resendInterval, PollInterval: max(time.Duration(ranks)*pollPerRank, resendInterval),
		PromiseTimeout: 3 * time.Second, MinStepsAhead: 60,
	}
}

// initialMapVersion is the version of the uniform map that every group starts
// with.
const initialMapVersion = 1

// leadGroup leads a group until ctx ends, with the ranks that the settings have
// when it is called; without any, it returns at once. term is the lease term, which
// serves as a fencing token.
func (gl *GroupLeader) leadGroup(ctx context.Context, name string, term uint64) {
	defer gl.removeState(name)
	scope := tree.Scope{FailureDomain: string(gl.domain), Group: name}
	ranks := []string{}
	for _, i := range gl.current().Upstreams(scope) {
		ranks = append(ranks, i.Name)
	}
	if len(ranks) == 0 {
		return
	}
	gl.log.Info("leading a group", "group", name, "term", term, "ranks", len(ranks))
	g := newLeadership(gl, name, scope, ranks, term)
	l := group.NewLeader(ranks, group.Ballot{Term: term, Proposer: gl.holder}, initialMapVersion, leaderConfig(len(ranks)))
	orders.RunLeader(ctx, gl.log, name, len(ranks), l, g.call, func(l *group.Leader) bool {
		g.handleEvent(ctx, l)
		return false
	})
	gl.log.Info("no longer leading a group", "group", name, "term", term)
}

// mapName returns the name of the platform object that holds a version of a
// group's map.
func mapName(name string, version uint64) string {
	return "maps/" + name + "/" + strconv.FormatUint(version, 10)
}

// leadership is the state of a group while this entry leads it.
type leadership struct {
	groupLeader *GroupLeader
	name        string
	scope       tree.Scope
	ranks       []string
	term        uint64
	shape       group.Shape

	// mu guards the fields below.
	mu sync.Mutex
	// maps caches maps by version.
	maps      map[uint64]group.Map
	planner   *group.Planner
	plannedAt time.Time
	// planning is true while a plan is made and staged. stagedVersion is the
	// version of a map that is staged at all ranks and waits to be proposed, 0
	// for none.
	planning      bool
	stagedVersion uint64
	mapCounter    uint64
	state         State
}

// newLeadership returns the state of a group with the given ranks, in the order
// of the expert map, at the start of a lease term.
func newLeadership(gl *GroupLeader, name string, scope tree.Scope, ranks []string, term uint64) *leadership {
	t := gl.current().Tree
	shape := group.Shape{
		Ranks: len(ranks), Experts: tree.Get(t, scope, reference.Experts),
		Layers: tree.Get(t, scope, reference.Layers), Slots: tree.Get(t, scope, reference.ExpertSlots),
	}
	if shape.Slots == 0 {
		shape.Slots = group.DefaultSlots(shape.Experts, shape.Ranks)
	}
	g := &leadership{groupLeader: gl, name: name, scope: scope, ranks: ranks, term: term, shape: shape, maps: map[uint64]group.Map{}}
	g.planner = group.NewPlanner(shape, g.plannerConfig())
	g.state = State{Group: name, Term: term}
	return g
}

func (g *leadership) plannerConfig() group.PlannerConfig {
	t := g.groupLeader.current().Tree
	return group.PlannerConfig{
		SkewWeight: tree.Get(t, g.scope, reference.SkewWeight), MoveWeight: tree.Get(t, g.scope, reference.MoveWeight),
		FetchTime: tree.Get(t, g.scope, reference.WeightFetch), MovesPerHour: tree.Get(t, g.scope, reference.MovesPerHour),
		Horizon: tree.Get(t, g.scope, reference.PlacementHorizon),
	}
}

// call sends an order to a rank's agent. A rank that restarted and lost its
// state needs the maps of its grants before the grants can be restored.
func (g *leadership) call(ctx context.Context, rank string, m *peer.GrantOrder) (*peer.GrantReply, error) {
	if m.Kind == peer.GrantOrder_RESTORE {
		for _, grant := range m.Grants {
			if err := g.stageAt(ctx, rank, grant.Map); err != nil {
				return nil, err
			}
		}
	}
	return orders.Call(ctx, g.groupLeader.current(), g.groupLeader.pool, rank, m)
}

// loadMap returns the map of a version and caches it. It is read from the
// platform if necessary.
func (g *leadership) loadMap(ctx context.Context, version uint64) (group.Map, error) {
	g.mu.Lock()
	m, ok := g.maps[version]
	g.mu.Unlock()
	if ok {
		return m, nil
	}
	if version == initialMapVersion {
		m = group.Uniform(g.shape)
		m.Version = initialMapVersion
	} else {
		stored, err := g.groupLeader.objects.Get(ctx, mapName(g.name, version))
		if err != nil {
			return m, err
		}
		if err := json.Unmarshal(stored.Value, &m); err != nil {
			return m, err
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.maps[version] = m
	return m, nil
}

// stageAt stages a version of the map at a rank.
func (g *leadership) stageAt(ctx context.Context, rank string, version uint64) error {
	m, err := g.loadMap(ctx, version)
	if err != nil {
		return err
	}
	content, err := json.Marshal(m)
	if err != nil {
		return err
	}
	_, err = orders.Call(ctx, g.groupLeader.current(), g.groupLeader.pool, rank,
		&peer.GrantOrder{Group: g.name, Rank: rank, Kind: peer.GrantOrder_STAGE, Map: version, Content: content})
	return err
}

// handleEvent is called after each event of the leader, on the goroutine that
// owns it. It proposes a staged map, and starts the next plan once the interval
// has passed and no staged map is waiting.
func (g *leadership) handleEvent(ctx context.Context, l *group.Leader) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.state.Phase, g.state.Step, g.state.Grant, g.state.Aborted = l.Phase(), l.Step(), l.Current(), l.Aborted()
	g.groupLeader.recordState(g.state)
	if l.Phase() != group.Steady {
		return
	}
	if g.stagedVersion != 0 && l.Propose(g.stagedVersion) {
		g.state.Changes++
		g.stagedVersion = 0
	}
	interval := tree.Get(g.groupLeader.current().Tree, g.scope, reference.PlacementInterval)
	if now := time.Now(); !g.planning && g.stagedVersion == 0 && now.Sub(g.plannedAt) >= interval {
		g.plannedAt, g.planning = now, true
		grant, ballot := l.Current(), l.Ballot()
		go g.plan(ctx, grant, ballot)
	}
}

// plan collects the loads, plans a map, and stages it at all ranks if it
// differs from the current one.
func (g *leadership) plan(ctx context.Context, grant group.Grant, b group.Ballot) {
	defer func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.planning = false
	}()
	current, err := g.loadMap(ctx, grant.MapVersion)
	if err != nil {
		g.groupLeader.log.Info("reading the current map failed; no new map is planned", "group", g.name, "map", grant.MapVersion, "error", err.Error())
		return
	}
	loads, ok := g.collectLoads(ctx, current, b)
	if !ok {
		return
	}
	g.mu.Lock()
	g.planner.Configure(g.plannerConfig(), nil)
	g.planner.Observe(loads, time.Now())
	next, changed := g.planner.Plan(current)
	g.state.Skew = group.Skew(current, loads, g.shape)
	g.mapCounter++
	// The lease term keeps the versions of different leaders apart.
	next.Version = g.term<<20 | g.mapCounter
	g.mu.Unlock()
	if changed {
		g.stage(ctx, current, next)
	}
}

// collectLoads asks every rank for the number of tokens that its experts
// processed and returns the sums. It reports false if a rank does not reply
// or counted under another map.
func (g *leadership) collectLoads(ctx context.Context, current group.Map, b group.Ballot) (group.Loads, bool) {
	ctx, cancel := context.WithTimeout(ctx, orders.CallTimeout)
	defer cancel()
	replies := make([]*peer.GrantReply, len(g.ranks))
	var calls sync.WaitGroup
	for i, rank := range g.ranks {
		calls.Go(func() {
			m := orders.OrderToProto(g.name, rank, group.Collect{Ballot: b})
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

// stage stores a map in the platform and stages it at all ranks. Only a map
// that is staged everywhere is proposed.
func (g *leadership) stage(ctx context.Context, current, next group.Map) {
	value, err := json.Marshal(next)
	if err != nil {
		return
	}
	if _, err := g.groupLeader.objects.Put(ctx, mapName(g.name, next.Version), value, 0); err != nil {
		g.groupLeader.log.Info("storing the new map in the platform failed; the map is dropped", "group", g.name, "error", err.Error())
		return
	}
	g.mu.Lock()
	g.maps[next.Version] = next
	g.mu.Unlock()
	for _, rank := range g.ranks {
		if err := g.stageAt(ctx, rank, next.Version); err != nil {
			g.groupLeader.log.Info("staging the new map at a rank failed; the map is dropped", "group", g.name, "rank", rank, "error", err.Error())
			return
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.stagedVersion = next.Version
	g.state.Moves += current.Moves(next)
	g.groupLeader.log.Info("map staged", "group", g.name, "map", next.Version, "moves", current.Moves(next))
}
