package direct

import (
	"context"
	"net/netip"
	"strconv"
	"time"

	"bramleydeal/internal/core/group"
	"bramleydeal/internal/process/task"
	"bramleydeal/internal/wire/orders"
	"bramleydeal/internal/wire/peer"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"google.golang.org/protobuf/proto"
)

const (
	// relayFlushInterval is the time over which a relay combines replies into one message.
	relayFlushInterval = 15 * time.Millisecond
	// maxRelayTargets bounds the ranks of one relayed order.
	maxRelayTargets = 256
)

// relayTarget is a rank to which an agent relays an order.
type relayTarget struct {
	rank        uint32
	address     netip.AddrPort
	incarnation string
}

// Relay implements peer.AgentServer. It passes an order on to the agents of the targets,
// and to the agent's own rank if that is one of them. The leader learns from an empty
// reply that the agent of a rank did not reply.
func (a *Agent) Relay(request *peer.RelayRequest, stream grpc.ServerStreamingServer[peer.RelayReply]) error {
	targets, err := relayTargets(request)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(stream.Context(), callTimeout(request.Order))
	defer cancel()
	replies := make(chan *peer.RankReply, len(targets))
	for _, t := range targets {
		go func() {
			reply := &peer.RankReply{Rank: t.rank}
			task.Once(a.log.Component("relay"), "relay", func() { reply.Reply = a.relayTo(ctx, t, request.Order) })
			replies <- reply
		}()
	}
	return flushReplies(stream, replies, len(targets))
}

// relayTargets decodes the targets of a request.
func relayTargets(request *peer.RelayRequest) ([]relayTarget, error) {
	if request.Order == nil || len(request.Targets) > maxRelayTargets {
		return nil, status.Errorf(codes.InvalidArgument, "a relayed order must have at most %d targets, not %d", maxRelayTargets, len(request.Targets))
	}
	out := make([]relayTarget, 0, len(request.Targets))
	for _, t := range request.Targets {
		var address netip.AddrPort
		if err := address.UnmarshalBinary(t.Address); err != nil {
			return nil, status.Errorf(codes.InvalidArgument, "address of rank %d: %v", t.Rank, err)
		}
		out = append(out, relayTarget{t.Rank, address, t.Incarnation})
	}
	return out, nil
}

// relayTo returns the reply of a rank to an order, nil if there is none.
func (a *Agent) relayTo(ctx context.Context, t relayTarget, order *peer.GrantOrder) *peer.GrantReply {
	m := proto.CloneOf(order)
	m.Rank, m.Incarnation = strconv.FormatUint(uint64(t.rank), 10), t.incarnation
	var reply *peer.GrantReply
	var err error
	if m.Group == a.roster.Name() && m.Rank == a.roster.Self() {
		reply, err = a.Order(ctx, m)
	} else {
		reply, err = orders.CallAt(ctx, a.pool, t.address, m)
	}
	if err != nil {
		a.log.Component("relay").V(1).Info("no reply from a rank to a relayed order", "rank", t.rank, "order", m.Kind.String(), "reason", err.Error())
		return nil
	}
	return reply
}

// flushReplies sends n replies to the leader as they arrive, several in one message.
func flushReplies(stream grpc.ServerStreamingServer[peer.RelayReply], replies <-chan *peer.RankReply, n int) error {
	timer := time.NewTimer(relayFlushInterval)
	defer timer.Stop()
	next := &relayBatch{}
	for n > 0 {
		select {
		case r := <-replies:
			next.add(r)
			if n--; n > 0 {
				continue
			}
		case <-timer.C:
			timer.Reset(relayFlushInterval)
		}
		if len(next.replies) == 0 {
			continue
		}
		if err := stream.Send(next.message()); err != nil {
			return err
		}
		next = &relayBatch{}
	}
	return nil
}

// relayBatch collects replies for one message.
type relayBatch struct {
	replies []*peer.RankReply
	samples []group.Sample
}

// add adds a reply. What it says of chosen experts is added to that of the others.
func (b *relayBatch) add(r *peer.RankReply) {
	if m := r.Reply; m != nil && len(m.Chosen) > 0 {
		b.samples = append(b.samples, group.Sample{Counts: m.Chosen, Unit: float64(m.ChosenUnit)})
		m.Chosen, m.ChosenUnit = nil, 0
	}
	b.replies = append(b.replies, r)
}

func (b *relayBatch) message() *peer.RelayReply {
	sum := group.SumSamples(b.samples)
	return &peer.RelayReply{Replies: b.replies, Chosen: sum.Counts, ChosenUnit: float32(sum.Unit)}
}
