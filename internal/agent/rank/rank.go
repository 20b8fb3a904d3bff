package rank

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"bramleydeal/internal/core/group"
	"bramleydeal/internal/wire/orders"
	"bramleydeal/internal/wire/peer"
	"github.com/go-logr/logr"
	"github.com/samber/oops"
	"google.golang.org/grpc/codes"
	grpcstatus "google.golang.org/grpc/status"
)

// Times of the completion of a change whose leader does not answer.
const (
	holdCheckInterval = 200 * time.Millisecond
	// leaveOpen is how long a held rank waits for its leader; each rank waits a
	// little longer than the one before, so that they do not all begin at once.
	completionDelay        = 600 * time.Millisecond
	completionDelayPerRank = 150 * time.Millisecond
	completionTimeout      = 5 * time.Second
)

// Rank is the agent's part in its group. All calls to the engine that change
// its plan are made one at a time.
type Rank struct {
	group  Group
	engine Engine
	log    logr.Logger

	mu        sync.Mutex
	heldSince time.Time
	lastOrder time.Time
	promised  group.Ballot
	stats     Stats
}

// Stats counts what a rank did.
type Stats struct{ Accepted, Refused, Completed atomic.Uint64 }

// Group is what a rank knows of its group.
type Group interface {
	// Name returns the group's name.
	Name() string
	// Stepping tells whether the group steps on expert maps.
	ExpertParallel() bool
	// Self returns the name of the rank itself.
	Self() string
	// Ranks returns the names of all ranks in their order.
	Ranks() []string
	// Call sends an order to the agent of another rank.
	Call(ctx context.Context, rank string, m *peer.GrantOrder) (*peer.GrantReply, error)
}

// New returns the rank beside an engine.
func New(g Group, e Engine, log logr.Logger) *Rank {
	return &Rank{group: g, engine: e, log: log}
}

// Order carries out one order, or refuses it. An error says that the engine did
// not answer; the order may or may not have been taken, and may be sent again.
func (r *Rank) Order(ctx context.Context, m *peer.GrantOrder) (*peer.GrantReply, error) {
	if m.Kind == peer.GrantOrder_STAGE {
		if r.superseded(m) {
			return &peer.GrantReply{}, nil
		}
		if err := r.engine.Stage(ctx, m.Map, m.Content); err != nil {
			return nil, grpcstatus.Error(codes.Unavailable, err.Error())
		}
		return &peer.GrantReply{Accepted: true}, nil
	}
	o, err := orders.OrderFromProto(m)
	if err != nil {
		return nil, grpcstatus.Error(codes.InvalidArgument, err.Error())
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	reply, err := r.decide(ctx, o, m.Loads)
	if err != nil {
		return nil, grpcstatus.Error(codes.Unavailable, err.Error())
	}
	if reply.Accepted {
		r.stats.Accepted.Add(1)
		r.lastOrder, r.promised = time.Now(), orders.ReplyFromProto(reply).State.Promised
	} else {
		r.stats.Refused.Add(1)
	}
	return reply, nil
}

// outdated tells whether an order comes from a leader whose term is over.
func (r *Rank) superseded(m *peer.GrantOrder) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return m.Ballot != nil && orders.BallotFromProto(m.Ballot).Compare(r.promised) < 0
}

// take reads the engine's plan, which is the rank's state, decides on the order
// and puts the new plan to the engine before anybody hears of it; r.mu is held.
func (r *Rank) decide(ctx context.Context, o group.Order, loads bool) (*peer.GrantReply, error) {
	s, err := r.engine.Read(ctx, loads)
	if err != nil {
		return nil, err
	}
	state, err := r.engineState(ctx, &s)
	if err != nil {
		return nil, err
	}
	next, accepted := state.Apply(o, s.Step)
	if accepted && !sameState(next, state) {
		p := planFor(next, s.Plan.Version)
		p.addConditions(o)
		after, ok, err := r.engine.Put(ctx, p)
		if err != nil {
			return nil, err
		}
		s.Step = after.Step
		if !ok {
			next, accepted = state, false
		}
	}
	reply := orders.ReplyToProto(group.Reply{Accepted: accepted, State: next, NextStep: s.Step})
	reply.LoadMap, reply.Loads = s.LoadMap, s.Tokens
	reply.Chosen, reply.ChosenUnit = s.Chosen.Counts, float32(s.Chosen.Unit)
	for _, experts := range s.HeldExperts {
		set := &peer.ExpertSet{}
		for _, e := range experts {
			set.Experts = append(set.Experts, uint32(e))
		}
		reply.Held = append(reply.Held, set)
	}
	return reply, nil
}

// state returns the state that the engine keeps. An engine that keeps none has
// lost its memory: the rank begins a new incarnation, known to the engine
// before it is known to anybody else.
func (r *Rank) engineState(ctx context.Context, s *Status) (group.Rank, error) {
	if s.Plan.State != nil {
		return *s.Plan.State, nil
	}
	fresh := group.Rank{Incarnation: strconv.FormatUint(rand.Uint64(), 36)}
	after, ok, err := r.engine.Put(ctx, planFor(fresh, s.Plan.Version))
	if err != nil {
		return group.Rank{}, err
	}
	if !ok {
		return group.Rank{}, oops.Code("engine").Errorf("another agent put a plan to the engine")
	}
	s.Plan = after.Plan
	return fresh, nil
}

func sameState(a, b group.Rank) bool {
	return a.Incarnation == b.Incarnation && a.Promised == b.Promised && a.HoldStep == b.HoldStep && slices.Equal(a.Grants, b.Grants)
}

// require adds what must be true of the engine for an order to be carried out.
func (p *Plan) addConditions(o group.Order) {
	switch v := o.(type) {
	case group.Hold:
		p.MaxStep, p.RequiredMap = v.Step, v.MapVersion
	case group.Give:
		p.MaxStep, p.RequiredMap = v.Grant.FromStep, v.Grant.MapVersion
	}
}

// Run completes changes that their leader leaves open, until ctx ends.
func (r *Rank) Run(ctx context.Context) {
	ticker := time.NewTicker(holdCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if !r.group.ExpertParallel() {
				continue
			}
			if b, due := r.unfinishedChange(ctx, time.Now()); due {
				r.completeChange(ctx, b)
			}
		case <-ctx.Done():
			return
		}
	}
}

// leftOpen tells whether the rank has been stopped by a hold for so long that
// its leader must be lost, and returns the ballot to complete the change under.
func (r *Rank) unfinishedChange(ctx context.Context, now time.Time) (group.Ballot, bool) {
	s, err := r.engine.Read(ctx, false)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil || s.Plan.State == nil || s.Plan.HoldStep == 0 || s.Step < s.Plan.HoldStep {
		r.heldSince = time.Time{}
		return group.Ballot{}, false
	}
	if r.heldSince.IsZero() {
		r.heldSince = now
	}
	patience := completionDelay + time.Duration(r.index())*completionDelayPerRank
	if now.Sub(r.heldSince) < patience || now.Sub(r.lastOrder) < patience {
		return group.Ballot{}, false
	}
	r.heldSince = time.Time{}
	p := s.Plan.State.Promised
	return group.Ballot{Term: p.Term, Attempt: p.Attempt + 1, Proposer: r.group.Self()}, true
}

// LastOrder returns when the rank last accepted an order, and the ballot that it
// promised.
func (r *Rank) LastOrder() (time.Time, group.Ballot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.lastOrder, r.promised
}

func (r *Rank) index() int { return max(slices.Index(r.group.Ranks(), r.group.Self()), 0) }

// complete brings the group to where it stands by its ranks' own word.
func (r *Rank) completeChange(ctx context.Context, b group.Ballot) {
	ctx, cancel := context.WithTimeout(ctx, completionTimeout)
	defer cancel()
	ranks := r.group.Ranks()
	r.log.Info("completing a change that its leader left open", "attempt", b.Attempt)
	l := group.NewLeader(ranks, b, 0, group.LeaderConfig{ResendInterval: orders.CallTimeout / 2, PromiseTimeout: completionTimeout})
	orders.RunLeader(ctx, r.group.Name(), len(ranks), l, r.Call, func(l *group.Leader) bool {
		if l.Phase() == group.Steady {
			r.stats.Completed.Add(1)
			r.log.Info("completed the change", "from-step", l.Current().FromStep, "map", l.Current().MapVersion)
			return true
		}
		return false
	})
}

// Call sends an order to another rank's agent, or takes it itself.
func (r *Rank) Call(ctx context.Context, rank string, m *peer.GrantOrder) (*peer.GrantReply, error) {
	if rank == r.group.Self() {
		return r.Order(ctx, m)
	}
	return r.group.Call(ctx, rank, m)
}

// Stats returns what the rank counted.
func (r *Rank) Stats() *Stats { return &r.stats }

// State is the rank's part of the dump.
type State struct {
	Step      uint64     `json:"step"`
	Rank      group.Rank `json:"rank"`
	Accepted  uint64     `json:"orders-accepted"`
	Refused   uint64     `json:"orders-refused"`
	Completed uint64     `json:"changes-completed"`
	Error     string     `json:"error,omitempty"`
}

// State returns the rank's part of the dump.
func (r *Rank) State(ctx context.Context) State {
	out := State{Accepted: r.stats.Accepted.Load(), Refused: r.stats.Refused.Load(), Completed: r.stats.Completed.Load()}
	s, err := r.engine.Read(ctx, false)
	if err != nil {
		out.Error = err.Error()
		return out
	}
	out.Step = s.Step
	if s.Plan.State != nil {
		out.Rank = *s.Plan.State
	}
	return out
}
