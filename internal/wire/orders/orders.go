// Package orders turns the orders of core/group into messages and back, and
// conducts a leader: it sends what the leader asks for and feeds back the
// answers. The rules are in core/group.
package orders

import (
	"context"
	"net/netip"
	"time"

	"bramleydeal/internal/core/group"
	"bramleydeal/internal/settings/snapshot"
	"bramleydeal/internal/wire/dial"
	"bramleydeal/internal/wire/peer"
	"github.com/samber/oops"
	"google.golang.org/grpc"
	"google.golang.org/grpc/encoding/gzip"
)

// Message returns the message of an order to a group's rank.
func OrderToProto(name string, o group.Order) *peer.GrantOrder {
	m := &peer.GrantOrder{Group: name}
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
	case group.Restore:
		m.Kind, m.Ballot, m.Incarnation, m.Grants = peer.GrantOrder_RESTORE, BallotToProto(v.Ballot), v.Incarnation, grantsToProto(v.Grants)
	}
	return m
}

// Order returns the order of a message.
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
		return group.Give{Ballot: b, Incarnation: m.Incarnation, Grant: grantsFromProto(m.Grants)[0]}, nil
	case peer.GrantOrder_RESTORE:
		return group.Restore{Ballot: b, Incarnation: m.Incarnation, Grants: grantsFromProto(m.Grants)}, nil
	}
	return nil, oops.Code("invalid-order").Errorf("no order of kind %v", m.Kind)
}

// ReplyMessage returns the message of a rank's answer.
func ReplyToProto(r group.Reply) *peer.GrantReply {
	return &peer.GrantReply{
		Accepted: r.Accepted, Incarnation: r.State.Incarnation, Promised: BallotToProto(r.State.Promised),
		Grants: grantsToProto(r.State.Grants), Hold: r.State.HoldStep, Step: r.NextStep,
	}
}

// Reply returns the answer of a message.
func ReplyFromProto(m *peer.GrantReply) group.Reply {
	return group.Reply{Accepted: m.Accepted, NextStep: m.Step, State: group.Rank{
		Incarnation: m.Incarnation, Promised: BallotFromProto(m.Promised), Grants: grantsFromProto(m.Grants), HoldStep: m.Hold,
	}}
}

// BallotMessage returns the message of a ballot.
func BallotToProto(b group.Ballot) *peer.Ballot {
	return &peer.Ballot{Term: b.Term, Attempt: b.Attempt, Proposer: b.Proposer}
}

// BallotOf returns the ballot of a message.
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

// Times of a conducted leader.
const (
	tickInterval = 10 * time.Millisecond
	// steadyInterval is the same while nothing changes.
	steadyTickInterval = 30 * time.Millisecond
	// CallTimeout bounds one order's call.
	CallTimeout = time.Second
)

// Caller sends a message to a rank's agent.
type CallFunc func(ctx context.Context, rank string, m *peer.GrantOrder) (*peer.GrantReply, error)

// answered is a rank's answer on its way to the leader.
type rankReply struct {
	rank  string
	order group.Order
	reply group.Reply
}

// Conduct drives a leader until until reports true or ctx ends. until is called
// after each event, on the goroutine that owns the leader; it may propose.
func RunLeader(ctx context.Context, name string, ranks int, l *group.Leader, call CallFunc, until func(*group.Leader) bool) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	// Each rank has at most a few orders under way; a full ring drops answers,
	// which are asked for again.
	answers := make(chan rankReply, 4*ranks)
	for {
		for _, s := range l.Tick(time.Now()) {
			go sendOrder(ctx, name, s, call, answers)
		}
		select {
		case a := <-answers:
			l.HandleReply(a.rank, a.order, a.reply, time.Now())
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		if until(l) {
			return
		}
		if l.Phase() == group.Steady {
			timer.Reset(steadyTickInterval)
		} else {
			timer.Reset(tickInterval)
		}
	}
}

func sendOrder(ctx context.Context, name string, s group.OutgoingOrder, call CallFunc, answers chan<- rankReply) {
	ctx, cancel := context.WithTimeout(ctx, CallTimeout)
	defer cancel()
	reply, err := call(ctx, s.Rank, OrderToProto(name, s.Order))
	if err != nil {
		return // the leader asks again
	}
	select {
	case answers <- rankReply{s.Rank, s.Order, ReplyFromProto(reply)}:
	default:
	}
}

// Call sends an order to the agent of a rank.
func Call(ctx context.Context, now *snapshot.Snapshot, pool *dial.Pool, rank string, m *peer.GrantOrder) (*peer.GrantReply, error) {
	i, ok := now.Instances[rank]
	if !ok {
		return nil, oops.Code("unreachable").Errorf("%s is no instance", rank)
	}
	return CallAt(ctx, pool, i.Address, m)
}

// CallAt sends an order to the agent at an address.
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
