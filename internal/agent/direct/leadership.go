package direct

import (
	"context"
	"encoding/json"
	"errors"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"bramleydeal/internal/agent/rank"
	"bramleydeal/internal/core/group"
	"bramleydeal/internal/core/store"
	"bramleydeal/internal/process/clock"
	"bramleydeal/internal/process/task"
	"bramleydeal/internal/wire/orders"
	"bramleydeal/internal/wire/peer"
	"bramleydeal/internal/world/service"
	"github.com/go-logr/logr"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// Leases stores the lease of each group, which names its leader and its term.
type Leases interface {
	Get(ctx context.Context, name string) (store.Object, error)
	Put(ctx context.Context, name string, value []byte, version uint64) (store.Object, error)
	// Era returns the highest era of the store that was seen.
	Era() uint64
}

// Intervals and timeouts of leading a group.
const (
	// observeInterval is how often a leader reads the ranks' expert counters and updates
	// its estimate of the loads. It is well below the few seconds for which the
	// distribution of requests is stable. observePerRank bounds the reads in a large
	// group to about 500 per second.
	observeInterval = 100 * time.Millisecond
	observePerRank  = 2 * time.Millisecond
	// switchPollInterval is how often a leader polls the ranks while they switch to
	// a new map.
	switchPollInterval = 40 * time.Millisecond
	// keepAliveInterval is how often a leader that waits for some ranks sends an
	// order to all of them, so that no rank claims the leadership.
	keepAliveInterval = 500 * time.Millisecond
	// resendInterval is the time after which an order without a reply is sent again.
	resendInterval = 300 * time.Millisecond
	// promiseTimeout is how long a change of the map waits for the promises of all
	// ranks before it is aborted.
	promiseTimeout = 2 * time.Second
	// minStepsAhead is the minimum number of steps between the current step and the
	// step at which a new map takes effect. A step takes tens of milliseconds.
	minStepsAhead = 2
	// leaderTimeout is how long rank 0 waits for an order before it claims the
	// leadership. Each rank waits leaderTimeoutStep longer than the previous one, so
	// that they do not claim at the same time.
	leaderTimeout     = 1500 * time.Millisecond
	leaderTimeoutStep = 300 * time.Millisecond
	// firstClaimDelay is how long rank 0 waits after the group becomes known when no
	// order has been received yet. Each rank waits leaderTimeout longer than the
	// previous one.
	firstClaimDelay    = 300 * time.Millisecond
	claimTimeout       = time.Second
	claimCheckInterval = 100 * time.Millisecond
)

// Parameters of expert maps.
const (
	// maxFetchTime bounds the time that one change spends on fetching experts.
	// Slower fetches end after the distribution of requests has changed again.
	maxFetchTime = 200 * time.Millisecond
	// minSaving and longStepShare are the parameters of group.ReplannerConfig;
	// docs/BENCHMARKS.md compares other values.
	minSaving     = 0.05
	longStepShare = 0.75
)

// candidate claims the leadership of the rank's group when no leader sends orders,
// and leads the group while it holds it.
type candidate struct {
	self       string
	roster     *roster
	controller *rank.Rank
	courier    *courier
	leases     Leases
	log        logr.Logger
	// groupKnownSince is the time at which the agent learned of its group.
	groupKnownSince time.Time

	metrics leaderMetrics
}

// leaderMetrics are the metrics of a group that this agent leads. term is 0 while
// it does not lead.
type leaderMetrics struct {
	term, mapVersion, expertsMoved atomic.Uint64
	// skewMilli is the skew of the map in use under the latest counters (the time of
	// the slowest rank over the mean) in thousandths. stepNanoseconds is the mean
	// duration of a step.
	skewMilli, stepNanoseconds atomic.Int64
}

// run claims the leadership when no leader sends orders and leads the group while
// it holds it, until ctx is done.
func (c *candidate) run(ctx context.Context) {
	c.groupKnownSince = time.Now()
	for ctx.Err() == nil {
		clock.Sleep(ctx, claimCheckInterval)
		if !c.roster.ExpertParallel() {
			c.groupKnownSince = time.Now()
			continue
		}
		if !c.claimDue(time.Now()) {
			continue
		}
		term, err := c.claim(ctx)
		if err != nil {
			c.log.Info("leadership not claimed; retrying later", "group", c.roster.Name(), "reason", err.Error())
			clock.Sleep(ctx, leaderTimeout)
			continue
		}
		c.roster.requestRefresh() // followers read the roster less often than a leader needs
		c.leadGroup(ctx, term)
	}
}

// hasOtherLeader reports whether another agent leads the group: an order was
// accepted within leaderTimeout and this agent does not lead.
func (c *candidate) hasOtherLeader() bool {
	lastOrder, _ := c.controller.LastOrder()
	return c.metrics.term.Load() == 0 && !lastOrder.IsZero() && time.Since(lastOrder) < leaderTimeout
}

// claimDue reports whether the rank has been without an order for so long that it
// is to claim the leadership.
func (c *candidate) claimDue(now time.Time) bool {
	index := time.Duration(c.roster.current.Load().self.Rank)
	lastOrder, _ := c.controller.LastOrder()
	if lastOrder.IsZero() {
		return now.Sub(c.groupKnownSince) >= firstClaimDelay+index*leaderTimeout
	}
	return now.Sub(lastOrder) >= leaderTimeout+index*leaderTimeoutStep
}

// lease is the stored value of a group's lease. It does not expire. A rank that
// receives no orders claims the next term by replacing it. Term is the lease term,
// from which the fencing tokens of the leader's orders are derived.
type lease struct {
	Holder string `json:"holder"`
	Term   uint64 `json:"term"`
}

// termsPerEra is the number of terms that are reserved for each era of the store.
const termsPerEra = 1 << 20

// leaseName returns the name of a group's lease in an era of the store. Each era has an
// object of its own, since a write of an earlier era may be executed late.
func leaseName(group string, era uint64) string {
	if era == 0 {
		return "group-" + group
	}
	return "group-" + group + "-era-" + strconv.FormatUint(era, 10)
}

// claim claims the leadership by storing a lease with the next term, which it
// returns. It fails when another agent changes the lease at the same time, or when the
// store begins a new era.
//
// The term is higher than those of earlier eras, also of leases that the store has lost:
// no term, and no fencing token or map version derived from it, is used twice.
func (c *candidate) claim(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	era := c.leases.Era()
	held, last, err := c.readLease(ctx, era)
	if seen := c.leases.Era(); seen != era {
		era = seen
		held, last, err = c.readLease(ctx, era)
	}
	if err != nil {
		return 0, err
	}
	_, promised := c.controller.LastOrder()
	next := lease{Holder: c.self, Term: max(last.Term, promised.Term, era*termsPerEra) + 1}
	value, err := json.Marshal(next)
	if err != nil {
		return 0, err
	}
	stored, err := c.leases.Put(ctx, leaseName(c.roster.Name(), era), value, held.Version)
	if err == nil && store.EraOf(stored.Version) != era {
		err = store.ErrEarlierEra
	}
	return next.Term, err
}

// readLease returns the object of the lease in an era and its value, both zero if there is
// none yet.
func (c *candidate) readLease(ctx context.Context, era uint64) (held store.Object, last lease, err error) {
	held, err = c.leases.Get(ctx, leaseName(c.roster.Name(), era))
	switch {
	case errors.Is(err, store.ErrNotFound):
		return store.Object{}, lease{}, nil
	case err != nil:
		return store.Object{}, lease{}, err
	}
	return held, last, json.Unmarshal(held.Value, &last)
}

// leadership is the state of a group while this agent leads it.
type leadership struct {
	candidate *candidate
	term      uint64
	shape     group.Shape

	// mu guards the fields below.
	mu sync.Mutex
	// held are the experts that each rank reported, mapInUse the map that the own rank
	// uses.
	held                              map[string]heldExperts
	mapInUse                          uint64
	observedAt, polledAt, keepAliveAt time.Time
	// plannedAt is the time of the observation that the last plan used, plannedFrom the
	// version of the map that it was to replace.
	plannedAt   time.Time
	plannedFrom uint64
	// cancelStaging ends the staging of stagingMap in place of stagingBase, nil while no
	// map is staged.
	cancelStaging           context.CancelFunc
	stagingBase, stagingMap group.Map
	// stagedVersion is the version of a map that is staged at all ranks and waits to
	// be proposed, 0 for none. lastStaged and previousStaged are the maps that were
	// staged last and before.
	stagedVersion              uint64
	lastStaged, previousStaged group.Map
	// mapCounter counts the maps planned in this term.
	mapCounter uint64
	planner    *group.Replanner
}

// heldExperts are the experts of a rank by layer under a version of the map.
type heldExperts struct {
	version uint64
	experts [][]int
}

// leadGroup leads the group under a lease term until this agent's rank promises to
// follow a leader with a later term, or ctx is done.
func (c *candidate) leadGroup(ctx context.Context, term uint64) {
	info := c.roster.current.Load()
	g := newLeadership(c, term, info.experts, info.self.Size)
	c.log.Info("leading a group", "group", info.self.Group, "term", term, "ranks", info.self.Size)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	c.metrics.term.Store(term)
	defer c.metrics.term.Store(0)
	leader := group.NewLeader(c.roster.Ranks(), group.Ballot{Term: term, Proposer: c.self}, 0, group.LeaderConfig{
		ResendInterval: resendInterval, PollInterval: observeIntervalFor(info.self.Size), PromiseTimeout: promiseTimeout, MinStepsAhead: minStepsAhead,
	})
	orders.RunLeaderBySending(ctx, c.log, info.self.Size, leader, g.send, func(leader *group.Leader) bool {
		if _, promised := c.controller.LastOrder(); promised.Term > term {
			return true
		}
		g.handleEvent(ctx, leader)
		return false
	})
	c.log.Info("no longer leading a group", "group", info.self.Group, "term", term)
}

// observeIntervalFor returns the interval for a group of that many ranks:
// observeInterval, or observePerRank for each rank if that is longer.
func observeIntervalFor(ranks int) time.Duration {
	return max(observeInterval, time.Duration(ranks)*observePerRank)
}

// newLeadership returns the state for leading a group under a lease term. No map is
// staged and no counters have been read.
func newLeadership(c *candidate, term uint64, e *service.Experts, ranks int) *leadership {
	shape := group.Shape{Ranks: ranks, Experts: e.Count, Layers: e.Sets, Slots: e.Slots}
	return &leadership{
		candidate: c, term: term, shape: shape,
		planner: group.NewReplanner(shape, group.ReplannerConfig{
			FetchTime: e.FetchTime, MaxFetchesPerLayer: e.MaxFetchesPerSet, MaxFetchTime: maxFetchTime,
			MinSaving: minSaving, LongStepShare: longStepShare,
		}),
		held: map[string]heldExperts{},
	}
}

// send sends orders to the ranks, and records the map, the counters and the experts that
// the replies report.
func (g *leadership) send(ctx context.Context, batch []group.OutgoingOrder, deliver orders.DeliverFunc) {
	var out []dispatch
	held := g.needsHeldExperts()
	for _, o := range batch {
		m := orders.OrderToProto(g.candidate.roster.Name(), o.Rank, o.Order)
		m.Loads = m.Kind == peer.GrantOrder_COLLECT
		m.Held = m.Loads && held
		out = append(out, dispatch{o.Rank, o.Order, m})
	}
	g.candidate.courier.send(ctx, out, replyHandler{
		sample: g.addSample,
		reply: func(d dispatch, m *peer.GrantReply, err error) {
			if err != nil {
				if status.Code(err) == codes.FailedPrecondition {
					g.candidate.roster.requestRefresh() // another rank has the address
				}
				g.candidate.log.V(1).Info("no reply from a rank to an order", "rank", d.rank, "order", d.message.Kind.String(), "reason", err.Error())
				return
			}
			g.recordReply(d, m)
			deliver(d.rank, d.order, orders.ReplyFromProto(m))
		},
	})
}

// addSample adds the experts that were chosen at some ranks to the load estimate.
func (g *leadership) addSample(s group.Sample) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.planner.AddSample(s)
}

// recordReply records the map and the experts that a rank reports.
func (g *leadership) recordReply(d dispatch, m *peer.GrantReply) {
	if d.message.Kind != peer.GrantOrder_COLLECT {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if d.rank == g.candidate.roster.Self() {
		g.mapInUse = m.LoadMap
	}
	if len(m.Held) == 0 {
		return
	}
	h := heldExperts{version: m.LoadMap}
	for _, set := range m.Held {
		var experts []int
		for _, e := range set.Experts {
			experts = append(experts, int(e))
		}
		h.experts = append(h.experts, experts)
	}
	g.held[d.rank] = h
}

// needsHeldExperts reports whether the content of the map in use is not known from staging
// it, so that it has to be reported by the ranks.
func (g *leadership) needsHeldExperts() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, staged := g.stagedMap(g.mapInUse)
	return !staged
}

// stagedMap returns the map of a version if it is one of the last two that were staged. The
// caller holds g.mu.
func (g *leadership) stagedMap(version uint64) (group.Map, bool) {
	for _, m := range []group.Map{g.lastStaged, g.previousStaged} {
		if version != 0 && m.Version == version {
			return m, true
		}
	}
	return group.Map{}, false
}

// handleEvent is called after each event of the leader. In a steady group it
// proposes the staged map or plans the next one, else it keeps the ranks from
// claiming the leadership.
func (g *leadership) handleEvent(ctx context.Context, l *group.Leader) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if now.Sub(g.observedAt) >= observeIntervalFor(g.shape.Ranks) {
		g.observedAt = now
		if shifted := g.planner.Observe(l.Step(), now); shifted && g.cancelStaging != nil && !g.planner.Improves(g.stagingBase, g.stagingMap) {
			// The counts of one observation are few, so they shift without a change of
			// demand. The map is given up only if it is of no use any more.
			g.cancelStaging()
		}
	}
	switch {
	case l.Phase() != group.Steady:
		g.keepAlive(ctx, l, now)
	case l.ChangePending():
		// Staging another map would replace the one that the ranks are to switch to.
	case g.stagedVersion != 0:
		if l.Propose(g.stagedVersion) {
			g.candidate.log.Info("map proposed", "map", g.stagedVersion, "term", g.term, "step", l.Step())
			g.stagedVersion = 0
		}
	case g.cancelStaging == nil:
		g.plan(ctx, l, now)
	}
}

// plan plans a better map and starts to stage it, once all ranks use the latest
// one. The caller holds g.mu.
func (g *leadership) plan(ctx context.Context, l *group.Leader, now time.Time) {
	current, ok := g.currentMap(l.Current().MapVersion)
	if !ok {
		g.pollOwnRank(ctx, l, now)
		return
	}
	if g.plannedAt == g.observedAt && g.plannedFrom == current.Version {
		return // nothing new since the last plan
	}
	g.plannedAt, g.plannedFrom = g.observedAt, current.Version
	next, worthwhile := g.planner.Plan(current, g.candidate.roster.maxGap())
	g.candidate.metrics.mapVersion.Store(current.Version)
	g.candidate.metrics.skewMilli.Store(int64(1000 * next.Skew))
	g.candidate.metrics.stepNanoseconds.Store(int64(g.planner.StepTime()))
	if !worthwhile {
		return
	}
	g.mapCounter++
	next.Map.Version = group.MapVersion(g.term, g.mapCounter)
	moves := current.Moves(next.Map)
	g.candidate.log.Info("map planned", "map", next.Map.Version, "from", current.Version, "moves", moves, "skew", next.Skew,
		"planned-skew", next.PlannedSkew, "step-ms", g.planner.StepTime().Milliseconds(), "least", next.MinSaving)
	g.startStaging(ctx, current, next.Map, moves, l.Ballot())
}

// pollOwnRank asks the own rank once per switchPollInterval whether it has switched to the
// latest map. The other ranks switch at the same step. The caller holds g.mu.
func (g *leadership) pollOwnRank(ctx context.Context, l *group.Leader, now time.Time) {
	if now.Sub(g.polledAt) < switchPollInterval {
		return
	}
	g.polledAt = now
	batch := []group.OutgoingOrder{{Rank: g.candidate.roster.Self(), Order: group.Collect{Ballot: l.Ballot()}}}
	go task.Once(g.candidate.log, "poll", func() {
		g.send(ctx, batch, func(string, group.Order, group.Reply) {}) // send records the map
	})
}

// keepAlive sends an order to all ranks once per keepAliveInterval, while the
// leader waits for some of them. The caller holds g.mu.
func (g *leadership) keepAlive(ctx context.Context, l *group.Leader, now time.Time) {
	if now.Sub(g.keepAliveAt) < keepAliveInterval {
		return
	}
	g.keepAliveAt = now
	var batch []group.OutgoingOrder
	for _, name := range g.candidate.roster.Ranks() {
		batch = append(batch, group.OutgoingOrder{Rank: name, Order: group.Collect{Ballot: l.Ballot()}})
	}
	go task.Once(g.candidate.log, "keep-alive", func() {
		g.send(ctx, batch, func(string, group.Order, group.Reply) {}) // the replies are not needed
	})
}

// currentMap returns the map of a version, and true when the ranks use it and its content
// is known from staging it or from their reports. The caller holds g.mu.
func (g *leadership) currentMap(version uint64) (group.Map, bool) {
	if m, staged := g.stagedMap(version); staged {
		// All ranks have been granted the map from the same step on, and step together.
		return m, g.mapInUse == version
	}
	byRank := make([][][]int, g.shape.Ranks)
	for i := range byRank {
		h := g.held[strconv.Itoa(i)]
		if h.version != version || len(h.experts) != g.shape.Layers {
			return group.Map{}, false
		}
		byRank[i] = h.experts
	}
	return group.MapFromRanks(version, byRank, g.shape), true
}
