package rank

import (
	"context"
	"errors"
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

// Intervals and timeouts for completing a change whose leader is unreachable.
const (
	holdCheckInterval = 200 * time.Millisecond
	// completionDelay is how long a rank that is stopped by a hold waits for its
	// leader. Each rank waits completionDelayPerRank longer than the previous one, so
	// that they do not all start to complete the change at the same time.
	completionDelay        = 600 * time.Millisecond
	completionDelayPerRank = 150 * time.Millisecond
	completionTimeout      = 5 * time.Second
)

// Rank controls the engine of one rank by the orders of the group's leader. Calls to
// the engine that change its plan are made one at a time. Its methods may be called
// concurrently.
type Rank struct {
	group  Group
	engine Engine
	log    logr.Logger

	mu sync.Mutex
	// heldSince is the time at which the engine was first seen stopped by a hold.
	heldSince time.Time
	// lastOrder is the time of the last accepted order, promised the ballot that the
	// rank had promised to follow then.
	lastOrder time.Time
	promised  group.Ballot
	stats     Stats
	// lastMisdirected is the recipient of the last order that was for another rank. It is not
	// guarded by mu.
	lastMisdirected atomic.Value
}

// Stats counts the orders that a rank accepted and refused, those that were for another
// rank, and the unfinished changes that it completed.
type Stats struct{ Accepted, Refused, Misdirected, Completed atomic.Uint64 }

// Group describes the group of a rank and sends orders to its other ranks.
type Group interface {
	// Name returns the group's name.
	Name() string
	// ExpertParallel reports whether the group is expert-parallel, that is, runs its
	// steps by expert maps.
	ExpertParallel() bool
	// Self returns the name of the rank itself.
	Self() string
	// Ranks returns the names of all ranks, in order of rank.
	Ranks() []string
	// Call sends an order to the agent of another rank. After an error the order may
	// or may not have been carried out.
	Call(ctx context.Context, rank string, m *peer.GrantOrder) (*peer.GrantReply, error)
}

// New returns a Rank that controls the engine e of group g.
func New(g Group, e Engine, log logr.Logger) *Rank {
	return &Rank{group: g, engine: e, log: log}
}

// Order carries out one order, or refuses it. An error is a gRPC status:
// InvalidArgument for a malformed order, else Unavailable, also for a STAGE order
// with a malformed map. A STAGE order whose content builds on an unknown map is refused
// with UnknownBase. After Unavailable the order may or may not have been carried
// out, and may be sent again. FailedPrecondition means that the engine belongs to another
// group or is another rank than the order is for, which was not carried out.
func (r *Rank) Order(ctx context.Context, m *peer.GrantOrder) (*peer.GrantReply, error) {
	if m.Kind == peer.GrantOrder_STAGE {
		if r.superseded(m) {
			return &peer.GrantReply{}, nil
		}
		s, err := r.engine.Read(ctx, false)
		if err == nil {
			err = r.checkRecipient(s, m)
		}
		if err != nil {
			return nil, orderError(err)
		}
		err = r.engine.Stage(ctx, m.Map, m.Content)
		if errors.Is(err, orders.ErrUnknownBase) {
			return &peer.GrantReply{UnknownBase: true}, nil
		}
		if err != nil {
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
	reply, err := r.decide(ctx, o, m)
	if err != nil {
		return nil, orderError(err)
	}
	if reply.Accepted {
		r.stats.Accepted.Add(1)
		r.lastOrder, r.promised = time.Now(), orders.ReplyFromProto(reply).State.Promised
	} else {
		r.stats.Refused.Add(1)
	}
	return reply, nil
}

// errOtherRank means that the engine is not the rank that an order is for. Its address may have
// been that of the rank before.
var errOtherRank = errors.New("the order is for another rank")

// checkRecipient returns errOtherRank if an order is for another group or rank than the engine
// with the given status. The engine's own word counts before the list of upstreams, which may
// be older.
func (r *Rank) checkRecipient(s Status, m *peer.GrantOrder) error {
	rank := s.Rank
	if rank == "" && m.Rank != "" {
		rank = r.group.Self()
	}
	if (s.Group == "" || m.Group == "" || s.Group == m.Group) && (m.Rank == "" || m.Rank == rank) {
		return nil
	}
	r.stats.Misdirected.Add(1)
	if wanted := m.Group + "/" + m.Rank; r.lastMisdirected.Swap(wanted) != wanted {
		r.log.Info("order for another rank not carried out; further ones are counted only", "for-group", m.Group, "for-rank", m.Rank,
			"group", s.Group, "rank", rank, "order", m.Kind.String(), "term", m.Ballot.GetTerm())
	}
	return errOtherRank
}

// orderError returns the gRPC status of an order that was not carried out.
func orderError(err error) error {
	if errors.Is(err, errOtherRank) {
		return grpcstatus.Error(codes.FailedPrecondition, err.Error())
	}
	return grpcstatus.Error(codes.Unavailable, err.Error())
}

// superseded reports whether the rank has promised to follow a higher ballot than
// that of the order. It is false for an order without a ballot.
func (r *Rank) superseded(m *peer.GrantOrder) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return m.Ballot != nil && orders.BallotFromProto(m.Ballot).Compare(r.promised) < 0
}

// decide reads the rank's state from the engine, decides on the order, and applies
// the new plan to the engine before it returns the reply. o is the order of m. If m asks for
// loads the reply contains how often experts were chosen, and if it asks for them the experts
// that the rank holds, if the engine counts by expert. The caller holds r.mu.
func (r *Rank) decide(ctx context.Context, o group.Order, m *peer.GrantOrder) (*peer.GrantReply, error) {
	s, err := r.engine.Read(ctx, m.Loads)
	if err != nil {
		return nil, err
	}
	if err := r.checkRecipient(s, m); err != nil {
		return nil, err
	}
	state, err := r.engineState(ctx, &s)
	if err != nil {
		return nil, err
	}
	next, accepted := state.Apply(o, s.Step)
	p := planFor(next, s.Plan.Version)
	p.addConditions(o)
	if accepted && (!sameState(next, state) || p.Retired != 0) {
		status, ok, err := r.engine.Put(ctx, p)
		if err != nil {
			return nil, err
		}
		s.Step, s.Staged = status.Step, status.Staged
		if !ok {
			next, accepted = state, false
		}
	}
	reply := orders.ReplyToProto(group.Reply{Accepted: accepted, State: next, NextStep: s.Step, Staged: s.Staged})
	reply.LoadMap, reply.Loads = s.LoadMap, s.Tokens
	reply.Chosen, reply.ChosenUnit = s.Chosen.Counts, float32(s.Chosen.Unit)
	if !m.Held {
		return reply, nil
	}
	for _, experts := range s.HeldExperts {
		set := &peer.ExpertSet{}
		for _, e := range experts {
			set.Experts = append(set.Experts, uint32(e))
		}
		reply.Held = append(reply.Held, set)
	}
	return reply, nil
}

// engineState returns the state that the engine stores. An engine has none after a
// start or restart. The rank then starts a new incarnation, which is stored in the
// engine before any reply names it.
func (r *Rank) engineState(ctx context.Context, s *Status) (group.Rank, error) {
	if s.Plan.State != nil {
		return *s.Plan.State, nil
	}
	initial := group.Rank{Incarnation: strconv.FormatUint(rand.Uint64(), 36)}
	status, ok, err := r.engine.Put(ctx, planFor(initial, s.Plan.Version))
	if err != nil {
		return group.Rank{}, err
	}
	if !ok {
		return group.Rank{}, oops.Code("engine").Errorf("another agent put a plan to the engine")
	}
	s.Plan = status.Plan
	return initial, nil
}

// sameState reports whether two states of a rank are equal.
func sameState(a, b group.Rank) bool {
	return a.Incarnation == b.Incarnation && a.Promised == b.Promised && a.HoldStep == b.HoldStep && slices.Equal(a.Grants, b.Grants)
}

// addConditions adds the conditions under which the engine may accept the plan that
// follows from an order: the latest step that may be its next one, the map that it must
// have staged, and the map that it must not switch to.
func (p *Plan) addConditions(o group.Order) {
	switch v := o.(type) {
	case group.Hold:
		p.MaxStep, p.RequiredMap = v.Step, v.MapVersion
	case group.Give:
		p.MaxStep, p.RequiredMap = v.Grant.FromStep, v.Grant.MapVersion
	case group.Retire:
		p.Retired = v.MapVersion
	}
}

// Run completes changes that the leader left unfinished, until ctx is done.
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

// unfinishedChange reports whether the rank has been stopped by a hold for so long
// that its leader counts as unreachable. It returns the ballot under which the rank
// is to complete the change.
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
	delay := completionDelay + time.Duration(r.index())*completionDelayPerRank
	if now.Sub(r.heldSince) < delay || now.Sub(r.lastOrder) < delay {
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

// index returns the position of the rank in its group, 0 when the group does not
// contain it.
func (r *Rank) index() int { return max(slices.Index(r.group.Ranks(), r.group.Self()), 0) }

// completeChange acts as a leader under a ballot. It collects the states of all
// ranks and brings every rank to the latest grant that any of them holds. It ends when
// another one does so under a higher ballot, since neither would end if both went on.
func (r *Rank) completeChange(ctx context.Context, b group.Ballot) {
	ctx, cancel := context.WithTimeout(ctx, completionTimeout)
	defer cancel()
	ranks := r.group.Ranks()
	r.log.Info("completing a change that the leader left unfinished", "attempt", b.Attempt)
	l := group.NewLeader(ranks, b, 0, group.LeaderConfig{ResendInterval: orders.CallTimeout / 2, PromiseTimeout: completionTimeout, Yields: true})
	orders.RunLeader(ctx, r.log, r.group.Name(), len(ranks), l, r.Call, func(l *group.Leader) bool {
		if l.Phase() == group.Steady {
			r.stats.Completed.Add(1)
			r.log.Info("completed the change", "from-step", l.Current().FromStep, "map", l.Current().MapVersion)
			return true
		}
		if l.Superseded() {
			r.log.Info("another agent or the leader completes the change", "attempt", b.Attempt)
		}
		return l.Superseded()
	})
}

// Call sends an order to the agent of a rank. An order for the rank itself is
// carried out directly.
func (r *Rank) Call(ctx context.Context, rank string, m *peer.GrantOrder) (*peer.GrantReply, error) {
	if rank == r.group.Self() {
		return r.Order(ctx, m)
	}
	return r.group.Call(ctx, rank, m)
}

// Stats returns the rank's counters, which the caller may read at any time.
func (r *Rank) Stats() *Stats { return &r.stats }

// State is the rank's debug state.
type State struct {
	Step     uint64     `json:"step"`
	Rank     group.Rank `json:"rank"`
	Accepted uint64     `json:"orders-accepted"`
	Refused  uint64     `json:"orders-refused"`
	// Misdirected counts the orders that were for another rank.
	Misdirected uint64 `json:"orders-misdirected"`
	Completed   uint64 `json:"changes-completed"`
	Error       string `json:"error,omitempty"`
}

// State returns the rank's debug state. Error is set when the engine cannot be read.
func (r *Rank) State(ctx context.Context) State {
	out := State{Accepted: r.stats.Accepted.Load(), Refused: r.stats.Refused.Load(), Misdirected: r.stats.Misdirected.Load(), Completed: r.stats.Completed.Load()}
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
