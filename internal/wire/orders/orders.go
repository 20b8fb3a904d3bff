// Package orders converts the orders and replies of core/group to and from protocol
// messages, and runs a group's leader: it sends the leader's orders and delivers the
// replies. core/group makes the decisions.
//
// An order is an instruction of a group's leader to the agent of a rank.
package orders

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"bramleydeal/internal/core/group"
	"bramleydeal/internal/process/task"
	"bramleydeal/internal/settings/snapshot"
	"bramleydeal/internal/wire/dial"
	"bramleydeal/internal/wire/peer"
	"github.com/go-logr/logr"
	"github.com/samber/oops"
	"google.golang.org/grpc"
	"google.golang.org/grpc/encoding/gzip"
)

// OrderToProto converts an order to the named rank of the named group.
func OrderToProto(name, rank string, o group.Order) *peer.GrantOrder {
	m := &peer.GrantOrder{Group: name, Rank: rank}
	switch v := o.(type) {
	case group.Collect:
		m.Kind, m.Ballot = peer.GrantOrder_COLLECT, BallotToProto(v.Ballot)
		if v.Confirm {
			m.Kind = peer.GrantOrder_CONFIRM
		}
	case group.Hold:
		m.Kind, m.Ballot, m.Incarnation, m.Step, m.Map = peer.GrantOrder_HOLD, BallotToProto(v.Ballot), v.Incarnation, v.Step, v.MapVersion
	case group.Give:
		m.Kind, m.Ballot, m.Incarnation, m.Grants = peer.GrantOrder_GIVE, BallotToProto(v.Ballot), v.Incarnation, grantsToProto([]group.Grant{v.Grant})
		m.KeepHold = v.KeepHold
	case group.Restore:
		m.Kind, m.Ballot, m.Incarnation, m.Grants = peer.GrantOrder_RESTORE, BallotToProto(v.Ballot), v.Incarnation, grantsToProto(v.Grants)
	case group.Retire:
		m.Kind, m.Ballot, m.Incarnation, m.Map = peer.GrantOrder_RETIRE, BallotToProto(v.Ballot), v.Incarnation, v.MapVersion
	}
	return m
}

// OrderFromProto converts a message back into an order. It returns an error when the kind
// is unknown or has no order in core/group (STAGE), or when a GIVE order does not have
// exactly one grant.
func OrderFromProto(m *peer.GrantOrder) (group.Order, error) {
	b := BallotFromProto(m.Ballot)
	switch m.Kind {
	case peer.GrantOrder_COLLECT, peer.GrantOrder_CONFIRM:
		return group.Collect{Ballot: b, Confirm: m.Kind == peer.GrantOrder_CONFIRM}, nil
	case peer.GrantOrder_HOLD:
		return group.Hold{Ballot: b, Incarnation: m.Incarnation, Step: m.Step, MapVersion: m.Map}, nil
	case peer.GrantOrder_GIVE:
		if len(m.Grants) != 1 {
			return nil, oops.Code("invalid-order").Errorf("a GIVE order carries one grant, not %d", len(m.Grants))
		}
		return group.Give{Ballot: b, Incarnation: m.Incarnation, Grant: grantsFromProto(m.Grants)[0], KeepHold: m.KeepHold}, nil
	case peer.GrantOrder_RESTORE:
		return group.Restore{Ballot: b, Incarnation: m.Incarnation, Grants: grantsFromProto(m.Grants)}, nil
	case peer.GrantOrder_RETIRE:
		return group.Retire{Ballot: b, Incarnation: m.Incarnation, MapVersion: m.Map}, nil
	}
	return nil, oops.Code("invalid-order").Errorf("no order of kind %v", m.Kind)
}

// ReplyToProto converts the reply of a rank.
func ReplyToProto(r group.Reply) *peer.GrantReply {
	return &peer.GrantReply{
		Accepted: r.Accepted, Incarnation: r.State.Incarnation, Promised: BallotToProto(r.State.Promised),
		Grants: grantsToProto(r.State.Grants), Hold: r.State.HoldStep, Step: r.NextStep, Staged: r.Staged,
	}
}

// ReplyFromProto converts a message back into the reply of a rank.
func ReplyFromProto(m *peer.GrantReply) group.Reply {
	return group.Reply{Accepted: m.Accepted, NextStep: m.Step, Staged: m.Staged, State: group.Rank{
		Incarnation: m.Incarnation, Promised: BallotFromProto(m.Promised), Grants: grantsFromProto(m.Grants), HoldStep: m.Hold,
	}}
}

// BallotToProto converts a ballot.
func BallotToProto(b group.Ballot) *peer.Ballot {
	return &peer.Ballot{Term: b.Term, Attempt: b.Attempt, Proposer: b.Proposer}
}

// BallotFromProto converts a message back into a ballot. A nil message is the zero ballot.
func BallotFromProto(m *peer.Ballot) group.Ballot {
	return group.Ballot{Term: m.GetTerm(), Attempt: m.GetAttempt(), Proposer: m.GetProposer()}
}

func grantsToProto(grants []group.Grant) []*peer.Grant {
	out := make([]*peer.Grant, 0, len(grants))
	for _, g := range grants {
		out = append(out, &peer.Grant{FromStep: g.FromStep, Map: g.MapVersion})
	}
	return out
}

func grantsFromProto(messages []*peer.Grant) []group.Grant {
	out := make([]group.Grant, 0, len(messages))
	for _, m := range messages {
		out = append(out, group.Grant{FromStep: m.FromStep, MapVersion: m.Map})
	}
	return out
}

// Intervals and timeouts of running a leader.
const (
	tickInterval = 10 * time.Millisecond
	// steadyTickInterval is the tick interval while no change of the map is under way.
	steadyTickInterval = 30 * time.Millisecond
	// CallTimeout bounds the call that sends one order.
	CallTimeout = time.Second
)

// DeliverFunc delivers the reply of a rank to an order to the leader that sent it.
type DeliverFunc func(rank string, o group.Order, reply group.Reply)

// SendFunc sends orders and delivers the replies as they arrive. It returns when no more
// replies are to be expected.
type SendFunc func(ctx context.Context, batch []group.OutgoingOrder, deliver DeliverFunc)

// CallFunc sends an order to a rank's agent and returns its reply.
type CallFunc func(ctx context.Context, rank string, m *peer.GrantOrder) (*peer.GrantReply, error)

// rankReply is the reply of a rank to an order, to be delivered to the leader.
type rankReply struct {
	rank  string
	order group.Order
	reply group.Reply
}

// RunLeader runs a leader that sends each order by a call, until stop reports true or ctx
// is done. See RunLeaderBySending.
func RunLeader(ctx context.Context, log logr.Logger, name string, ranks int, l *group.Leader, call CallFunc, stop func(*group.Leader) bool) {
	RunLeaderBySending(ctx, log, ranks, l, func(ctx context.Context, batch []group.OutgoingOrder, deliver DeliverFunc) {
		var calls sync.WaitGroup
		for _, o := range batch {
			calls.Go(func() {
				task.Once(log, "send-order", func() {
					// Without a reply the leader sends the order again.
					if reply, err := call(ctx, o.Rank, OrderToProto(name, o.Rank, o.Order)); err == nil {
						deliver(o.Rank, o.Order, ReplyFromProto(reply))
					}
				})
			})
		}
		calls.Wait()
	}, stop)
}

// RunLeaderBySending runs a leader until stop reports true or ctx is done. It calls stop
// after each event in the calling goroutine, so stop may access the leader, for example to
// propose a map.
func RunLeaderBySending(ctx context.Context, log logr.Logger, ranks int, l *group.Leader, send SendFunc, stop func(*group.Leader) bool) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	// Each rank has at most a few orders in flight. A reply is dropped when the channel is
	// full, and the leader then sends the order again.
	replies := make(chan rankReply, 4*ranks)
	deliver := func(rank string, o group.Order, reply group.Reply) {
		select {
		case replies <- rankReply{rank, o, reply}:
		default:
		}
	}
	phase := l.Phase()
	for {
		if batch := l.Tick(time.Now()); len(batch) > 0 {
			go task.Once(log, "send-orders", func() {
				sendCtx, cancel := context.WithTimeout(ctx, CallTimeout)
				defer cancel()
				send(sendCtx, batch, deliver)
			})
		}
		select {
		case r := <-replies:
			l.HandleReply(r.rank, r.order, r.reply, time.Now())
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		if l.Phase() != phase {
			phase = l.Phase()
			logPhase(log, l)
		}
		if stop(l) {
			return
		}
		if phase == group.Steady {
			timer.Reset(steadyTickInterval)
		} else {
			timer.Reset(tickInterval)
		}
	}
}

// logPhase logs the phases that tell what becomes of a change which does not end as planned.
func logPhase(log logr.Logger, l *group.Leader) {
	values := []any{"phase", l.Phase(), "term", l.Ballot().Term, "attempt", l.Ballot().Attempt, "step", l.Step()}
	switch l.Phase() {
	case group.Retiring, group.Releasing:
		log.Info("giving up a change of the map", append(values, "map", l.Abandoned())...)
	case group.Completing:
		log.Info("completing what an earlier leader left", append(values, "map", l.Current().MapVersion, "from-step", l.Current().FromStep)...)
	}
}

// Call sends an order to the agent of a rank, whose address it takes from the settings.
// After an error the order may or may not have been carried out.
func Call(ctx context.Context, settings *snapshot.Snapshot, pool *dial.Pool, rank string, m *peer.GrantOrder) (*peer.GrantReply, error) {
	i, ok := settings.Instances[rank]
	if !ok {
		return nil, oops.Code("unreachable").Errorf("rank %s is not an instance in the settings", rank)
	}
	return CallAt(ctx, pool, i.Address, m)
}

// CallAt sends an order to the agent at an address. STAGE orders, which carry the content
// of a map, are compressed.
func CallAt(ctx context.Context, pool *dial.Pool, address netip.AddrPort, m *peer.GrantOrder) (*peer.GrantReply, error) {
	connection, err := pool.Get(address)
	if err != nil {
		return nil, err
	}
	if m.Kind == peer.GrantOrder_STAGE {
		return peer.NewAgentClient(connection).Order(ctx, m, grpc.UseCompressor(gzip.Name))
	}
	return peer.NewAgentClient(connection).Order(ctx, m)
}
