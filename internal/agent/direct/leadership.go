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
	"bramleydeal/internal/wire/orders"
	"bramleydeal/internal/wire/peer"
	"bramleydeal/internal/world/service"
	"github.com/go-logr/logr"
)

// Leases keeps who leads a group.
type Leases interface {
	Get(ctx context.Context, name string) (store.Object, error)
	Put(ctx context.Context, name string, value []byte, version uint64) (store.Object, error)
}

// Times of leading a group.
const (
	// observeInterval is how often a leader reads the ranks' counts: well below
	// the seconds for which a demand lasts. observePerRank bounds the reads of a
	// large group to some 200 a second.
	observeInterval = 150 * time.Millisecond
	observePerRank  = 5 * time.Millisecond
	// switchInterval is the same while the ranks are about to switch maps.
	switchInterval = 40 * time.Millisecond
	// keepAliveInterval is how often a leader that waits for some ranks sends an
	// order to all of them, so that none claims the next term.
	keepAliveInterval = 500 * time.Millisecond
	// resendInterval is when an order that was not answered is sent again.
	resendInterval = 300 * time.Millisecond
	// giveUpAfter is how long a change waits for all promises.
	giveUpAfter = 2 * time.Second
	// aheadSteps is the least distance to a change in steps, each some tens of
	// milliseconds.
	aheadSteps = 2
	// leaderTimeout is how long a rank waits for an order before it claims to
	// lead; each rank waits leaderTimeoutStep longer than the one before.
	leaderTimeout     = 1500 * time.Millisecond
	leaderTimeoutStep = 300 * time.Millisecond
	// firstClaimDelay is the same for the first claim of the first rank.
	firstClaimDelay = 300 * time.Millisecond
	claimTimeout    = time.Second
	lookInterval    = 100 * time.Millisecond
	// minPlanGap is the least time between two changes, so that the counts under
	// the new map are in.
	minPlanGap = 150 * time.Millisecond
)

// Rules of the maps.
const (
	// counterBits is the room for the maps of one term in a map's version.
	counterBits = 16
	// maxFetchTime is how long one change may copy experts: much longer copies end
	// after the demand that they were made for.
	maxFetchTime = 450 * time.Millisecond
	// leastSaving, longStep and stayShare are those of group.ReplannerRules, found
	// by comparing days (docs/BENCHMARKS.md).
	leastSaving = 0.35
	longStep    = 0.75
	stayShare   = 0.03
)

// lead leads the rank's group whenever it must.
type lead struct {
	self   string
	roster *roster
	rank   *rank.Rank
	leases Leases
	log    logr.Logger
	// begun is since when the group has been known.
	begun time.Time

	numbers numbers
}

// numbers are what the metrics tell of a group while this agent leads it; term is
// 0 while it does not.
type numbers struct {
	term, version, moved atomic.Uint64
	// skewMilli is the map's skew over the latest counts in thousandths, step the
	// mean time of a step in nanoseconds.
	skewMilli, step atomic.Int64
}

// run claims to lead while no leader sends orders, until ctx ends.
func (l *lead) run(ctx context.Context) {
	l.begun = time.Now()
	for ctx.Err() == nil {
		clock.Sleep(ctx, lookInterval)
		if !l.roster.ExpertParallel() {
			l.begun = time.Now()
			continue
		}
		if !l.due(time.Now()) {
			continue
		}
		term, err := l.claim(ctx)
		if err != nil {
			l.log.Info("the lead cannot be claimed", "group", l.roster.Name(), "reason", err.Error())
			clock.Sleep(ctx, leaderTimeout)
			continue
		}
		l.roster.ask() // a follower's is older than a leader's
		l.hold(ctx, term)
	}
}

// followed tells whether another agent leads the group.
func (l *lead) followed() bool {
	heard, _ := l.rank.LastOrder()
	return l.numbers.term.Load() == 0 && !heard.IsZero() && time.Since(heard) < leaderTimeout
}

// due tells whether no leader has sent an order for too long.
func (l *lead) due(now time.Time) bool {
	index := time.Duration(l.roster.current.Load().self.Rank)
	heard, _ := l.rank.LastOrder()
	if heard.IsZero() {
		return now.Sub(l.begun) >= firstClaimDelay+index*leaderTimeout
	}
	return now.Sub(heard) >= leaderTimeout+index*leaderTimeoutStep
}

// lease is the value of a group's lease. It does not lapse: whoever gets no
// orders takes the next term.
type lease struct {
	Holder string `json:"holder"`
	Term   uint64 `json:"term"`
}

// claim takes the next term of the group in the store.
func (l *lead) claim(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	name := "group-" + l.roster.Name()
	var last lease
	held, err := l.leases.Get(ctx, name)
	switch {
	case errors.Is(err, store.ErrNotFound):
	case err != nil:
		return 0, err
	default:
		if err := json.Unmarshal(held.Value, &last); err != nil {
			return 0, err
		}
	}
	next := lease{Holder: l.self, Term: last.Term + 1}
	value, err := json.Marshal(next)
	if err != nil {
		return 0, err
	}
	_, err = l.leases.Put(ctx, name, value, held.Version)
	return next.Term, err
}

// led is a group while this agent leads it.
type led struct {
	lead  *lead
	term  uint64
	shape group.Shape

	mu                                   sync.Mutex
	held                                 map[string][][]int
	heldMap                              map[string]uint64
	maps                                 map[string]uint64
	countedAt, planAt, hurriedAt, keptAt time.Time
	staging                              bool
	staged                               uint64
	// latest is the map that was staged last.
	latest  group.Map
	counter uint64
	planner *group.Replanner
}

// hold leads the group under a term until another one does.
func (l *lead) hold(ctx context.Context, term uint64) {
	m := l.roster.current.Load()
	g := newLed(l, term, m.experts, m.self.Size)
	l.log.Info("leading a group", "group", m.self.Group, "term", term, "ranks", m.self.Size)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.numbers.term.Store(term)
	defer l.numbers.term.Store(0)
	leader := group.NewLeader(l.roster.Ranks(), group.Ballot{Term: term, Proposer: l.self}, 0, group.LeaderConfig{
		ResendInterval: resendInterval, PollInterval: observeEvery(m.self.Size), PromiseTimeout: giveUpAfter, MinStepsAhead: aheadSteps,
	})
	orders.RunLeader(ctx, m.self.Group, m.self.Size, leader, g.call, func(leader *group.Leader) bool {
		if _, promised := l.rank.LastOrder(); promised.Term > term {
			return true
		}
		g.event(ctx, leader)
		return false
	})
	l.log.Info("no longer leading a group", "group", m.self.Group, "term", term)
}

// observeEvery is how often the counts of so many ranks are read.
func observeEvery(ranks int) time.Duration {
	return max(observeInterval, time.Duration(ranks)*observePerRank)
}

func newLed(l *lead, term uint64, e *service.Experts, ranks int) *led {
	shape := group.Shape{Ranks: ranks, Experts: e.Count, Layers: e.Sets, Slots: e.Slots}
	return &led{
		lead: l, term: term, shape: shape,
		planner: group.NewReplanner(shape, group.ReplannerConfig{
			FetchTime: e.FetchTime, MaxFetchesPerLayer: e.MaxFetchesPerSet, MaxFetchTime: maxFetchTime,
			MinSaving: leastSaving, LongStepShare: longStep, FetchPenalty: stayShare,
		}),
		held: map[string][][]int{}, heldMap: map[string]uint64{}, maps: map[string]uint64{},
	}
}

// call sends an order and takes in what the answer tells of the rank.
func (g *led) call(ctx context.Context, name string, m *peer.GrantOrder) (*peer.GrantReply, error) {
	m.Loads = m.Kind == peer.GrantOrder_COLLECT
	reply, err := g.lead.rank.Call(ctx, name, m)
	if err != nil {
		g.lead.log.V(1).Info("a rank does not answer", "rank", name, "order", m.Kind.String(), "reason", err.Error())
		return nil, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if m.Kind == peer.GrantOrder_COLLECT {
		g.maps[name] = reply.LoadMap
	}
	if len(reply.Held) > 0 {
		g.planner.AddSample(group.Sample{Counts: reply.Chosen, Unit: float64(reply.ChosenUnit)})
		g.heldMap[name] = reply.LoadMap
		g.held[name] = g.held[name][:0]
		for _, set := range reply.Held {
			var experts []int
			for _, e := range set.Experts {
				experts = append(experts, int(e))
			}
			g.held[name] = append(g.held[name], experts)
		}
	}
	return reply, nil
}

// event is called after each event of the leader: it proposes a staged map, or
// begins the next plan.
func (g *led) event(ctx context.Context, l *group.Leader) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	if now.Sub(g.countedAt) >= observeEvery(g.shape.Ranks) {
		g.countedAt = now
		g.planner.Observe(l.Step(), now)
	}
	switch {
	case l.Phase() != group.Steady:
		g.keepAlive(ctx, l, now)
	case g.staged != 0:
		if l.Propose(g.staged) {
			g.lead.log.Info("map proposed", "map", g.staged, "term", g.term, "step", l.Step())
			g.staged, g.planAt = 0, now
		}
	case !g.staging && now.Sub(g.planAt) >= minPlanGap:
		g.plan(ctx, l, now)
	}
}

// plan begins to stage a better map, once all ranks use the latest one; g.mu is
// held.
func (g *led) plan(ctx context.Context, l *group.Leader, now time.Time) {
	current, ok := g.current(l.Current().MapVersion)
	if !ok {
		// The ranks have not switched yet, or not told so.
		if now.Sub(g.hurriedAt) >= switchInterval {
			g.hurriedAt = now
			l.PollNow()
		}
		return
	}
	g.planAt = now
	next, worthwhile := g.planner.Plan(current, g.lead.roster.maxGap())
	g.lead.numbers.version.Store(current.Version)
	g.lead.numbers.skewMilli.Store(int64(1000 * next.Skew))
	g.lead.numbers.step.Store(int64(g.planner.StepTime()))
	if !worthwhile {
		return
	}
	g.counter++
	next.Map.Version = g.term<<counterBits | g.counter
	g.staging = true
	moves := current.Moves(next.Map)
	g.lead.log.Info("map planned", "map", next.Map.Version, "from", current.Version, "moves", moves, "skew", next.Skew,
		"planned-skew", next.PlannedSkew, "step-ms", g.planner.StepTime().Milliseconds(), "least", next.MinSaving)
	go g.stage(ctx, next.Map, moves, l.Ballot())
}

// keepAlive sends an order to all ranks while the leader waits for some of them.
func (g *led) keepAlive(ctx context.Context, l *group.Leader, now time.Time) {
	if now.Sub(g.keptAt) < keepAliveInterval {
		return
	}
	g.keptAt = now
	for _, name := range g.lead.roster.Ranks() {
		m := orders.OrderToProto(g.lead.roster.Name(), group.Collect{Ballot: l.Ballot()})
		// An answer is of no interest, and what fails is logged by the call.
		go func() { _, _ = g.call(ctx, name, m) }()
	}
}

// current returns the map in use, once all ranks have told what they hold of it.
func (g *led) current(version uint64) (group.Map, bool) {
	byRank := make([][][]int, g.shape.Ranks)
	complete := true
	for i := range byRank {
		name := strconv.Itoa(i)
		if g.maps[name] != version {
			return group.Map{}, false
		}
		byRank[i] = g.held[name]
		complete = complete && len(g.held[name]) == g.shape.Layers && g.heldMap[name] == version
	}
	switch {
	case version != 0 && g.latest.Version == version:
		// A rank whose agent is absent does not tell what it holds.
		return g.latest, true
	case !complete:
		return group.Map{}, false
	}
	return group.MapFromRanks(version, byRank, g.shape), true
}

// errTermOver says that a rank has promised to follow a later leader.
var errTermOver = errors.New("the term is over")

// stage gives a map to all ranks at once and notes it when all have it.
func (g *led) stage(ctx context.Context, m group.Map, moves int, b group.Ballot) {
	began := time.Now()
	err := g.stageAtAll(ctx, m, b)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.staging = false
	if err != nil {
		g.lead.log.Info("a map cannot be staged", "map", m.Version, "reason", err.Error())
		return
	}
	g.staged, g.latest = m.Version, m
	g.lead.numbers.moved.Add(uint64(moves))
	g.lead.log.Info("map staged", "map", m.Version, "took-ms", time.Since(began).Milliseconds())
}

func (g *led) stageAtAll(ctx context.Context, m group.Map, b group.Ballot) error {
	content, err := json.Marshal(m)
	if err != nil {
		return err
	}
	failed := make([]error, g.shape.Ranks)
	var calls sync.WaitGroup
	for i := range failed {
		calls.Go(func() {
			reply, err := g.lead.rank.Call(ctx, strconv.Itoa(i), &peer.GrantOrder{
				Group: g.lead.roster.Name(), Kind: peer.GrantOrder_STAGE, Map: m.Version, Content: content,
				Ballot: orders.BallotToProto(b),
			})
			if err == nil && !reply.Accepted {
				err = errTermOver
			}
			failed[i] = err
		})
	}
	calls.Wait()
	return errors.Join(failed...)
}
