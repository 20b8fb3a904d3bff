package direct

import (
	"cmp"
	"context"
	"io"
	"slices"
	"strconv"
	"sync"
	"time"

	"bramleydeal/internal/agent/rank"
	"bramleydeal/internal/core/group"
	"bramleydeal/internal/process/task"
	"bramleydeal/internal/wire/peer"
	"bramleydeal/internal/world/fleet"
	"github.com/go-logr/logr"
	"github.com/samber/oops"
	"google.golang.org/protobuf/proto"
)

const (
	// maxDirectRanks is the number of ranks up to which a leader sends each order itself.
	// In a larger group it sends an order to one agent of each relay group.
	maxDirectRanks = 16
	// maxRelayGroup is the maximum number of ranks of a relay group. It is about the
	// square root of the largest groups, so that the leader and a relay each make as many
	// calls.
	maxRelayGroup = 10
	// relayPause is the time for which an agent that failed as a relay is not used as one.
	relayPause = time.Second
	// maxRelayAttempts is the number of relays that are tried for one order.
	maxRelayAttempts = 3
)

// dispatch is an order on its way to a rank. Order is nil for a STAGE order.
type dispatch struct {
	rank    string
	order   group.Order
	message *peer.GrantOrder
}

// replyHandler handles what the ranks reply. Its functions may be called concurrently.
type replyHandler struct {
	// reply gets the reply of a rank, or the reason for which there is none.
	reply func(d dispatch, m *peer.GrantReply, err error)
	// sample gets the experts that were chosen at one or several ranks.
	sample func(group.Sample)
}

// courier sends the orders of a leader to the ranks of its group, in a large group by way
// of relays. A relay is the agent of one rank of a relay group, which are ranks of one
// failure domain: so the leader sends and receives one message for all of them, and few
// bytes pass between the domains. The protocol of package group allows orders and replies
// to be lost, late or doubled, so the choice of relays is not part of it.
type courier struct {
	roster *roster
	own    *rank.Rank
	log    logr.Logger

	// mu guards the fields below.
	mu sync.Mutex
	// pausedUntil is the time until which an agent is not used as a relay, by rank.
	pausedUntil map[string]time.Time
}

// send sends orders and returns when there is a reply to each of them, or the reason for
// which there is none.
func (c *courier) send(ctx context.Context, batch []dispatch, h replyHandler) {
	var parts sync.WaitGroup
	for _, part := range c.split(batch) {
		parts.Go(func() {
			task.Once(c.log, "send-order", func() {
				if len(part) == 1 {
					c.sendDirectly(ctx, part[0], h)
				} else {
					c.sendRelayed(ctx, part, h)
				}
			})
		})
	}
	parts.Wait()
}

// split returns the orders that are sent together: those with the same content to ranks of
// one relay group whose agents are reachable. All others stand alone.
func (c *courier) split(batch []dispatch) [][]dispatch {
	info := c.roster.current.Load()
	if info == nil || len(info.engineAddresses) <= maxDirectRanks {
		return single(batch)
	}
	var alone []dispatch
	type key struct {
		relayGroup int
		content    string
	}
	together := map[key][]dispatch{}
	for _, d := range batch {
		number, ok := info.relayGroups[d.rank]
		if !ok || d.rank == c.roster.Self() || c.roster.unreachable(d.rank, time.Now()) {
			alone = append(alone, d)
			continue
		}
		k := key{number, contentKey(d.message)}
		together[k] = append(together[k], d)
	}
	out := single(alone)
	for _, part := range together {
		out = append(out, part)
	}
	return out
}

// single returns parts of one order each.
func single(batch []dispatch) [][]dispatch {
	out := make([][]dispatch, 0, len(batch))
	for _, d := range batch {
		out = append(out, []dispatch{d})
	}
	return out
}

// contentKey identifies the content of an order but for the rank and its incarnation.
func contentKey(m *peer.GrantOrder) string {
	if m.Kind == peer.GrantOrder_STAGE {
		return "stage " + strconv.FormatUint(m.Map, 10) + " " + strconv.Itoa(len(m.Content))
	}
	plain := proto.CloneOf(m)
	plain.Rank, plain.Incarnation = "", ""
	return plain.String()
}

// sendDirectly sends an order to the agent of its rank, or carries it out if it is for the
// own rank.
func (c *courier) sendDirectly(ctx context.Context, d dispatch, h replyHandler) {
	var m *peer.GrantReply
	var err error
	if d.rank == c.roster.Self() {
		m, err = c.own.Order(ctx, d.message)
	} else {
		m, err = c.roster.Call(ctx, d.rank, d.message)
	}
	if err == nil && len(m.Chosen) > 0 {
		h.sample(group.Sample{Counts: m.Chosen, Unit: float64(m.ChosenUnit)})
	}
	h.reply(d, m, err)
}

// errNoRelay means that no agent of a relay group passed an order on.
var errNoRelay = oops.Code("unreachable").Errorf("no agent of the relay group passed the order on")

// sendRelayed sends an order by one relay after another until all ranks have replied or
// enough relays were tried.
func (c *courier) sendRelayed(ctx context.Context, part []dispatch, h replyHandler) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout(part[0].message))
	defer cancel()
	missing := map[string]dispatch{}
	for _, d := range part {
		missing[d.rank] = d
	}
	for range maxRelayAttempts {
		relay, ok := c.chooseRelay(part, missing, time.Now())
		if !ok || ctx.Err() != nil {
			break
		}
		err := c.relay(ctx, relay, missing, h)
		if len(missing) == 0 {
			return
		}
		c.pauseRelay(relay, err)
	}
	for _, d := range missing {
		h.reply(d, nil, errNoRelay)
	}
}

// chooseRelay returns the first rank of a part that gave no reply yet and whose agent is
// not paused as a relay.
func (c *courier) chooseRelay(part []dispatch, missing map[string]dispatch, now time.Time) (string, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, d := range part {
		if _, open := missing[d.rank]; open && !now.Before(c.pausedUntil[d.rank]) {
			return d.rank, true
		}
	}
	return "", false
}

// pauseRelay stops using an agent as a relay for relayPause.
func (c *courier) pauseRelay(name string, err error) {
	c.log.V(1).Info("an agent relayed no order; trying others", "rank", name, "reason", err.Error())
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pausedUntil[name] = time.Now().Add(relayPause)
}

// relay sends the missing orders by way of a rank's agent. It deletes those from missing
// for which the relay returned a reply, or the information that there is none.
func (c *courier) relay(ctx context.Context, relay string, missing map[string]dispatch, h replyHandler) error {
	request, err := c.relayRequest(missing)
	if err != nil {
		return err
	}
	address, ok := c.roster.agentAddress(relay)
	if !ok {
		return oops.Code("unreachable").Errorf("rank %s is not in the list of upstreams", relay)
	}
	connection, err := c.roster.pool.Get(address)
	if err != nil {
		return err
	}
	stream, err := peer.NewAgentClient(connection).Relay(ctx, request)
	if err != nil {
		return err
	}
	for {
		m, err := stream.Recv()
		if err == io.EOF {
			return oops.Code("unreachable").Errorf("the relay returned too few replies")
		}
		if err != nil {
			return err
		}
		if len(m.Chosen) > 0 {
			h.sample(group.Sample{Counts: m.Chosen, Unit: float64(m.ChosenUnit)})
		}
		for _, r := range m.Replies {
			c.handleRelayed(r, missing, h)
		}
		if len(missing) == 0 {
			return nil
		}
	}
}

// errNoReply means that the agent of a rank did not reply to the relay.
var errNoReply = oops.Code("unreachable").Errorf("the agent did not reply to the relay")

// handleRelayed handles the reply of one rank.
func (c *courier) handleRelayed(r *peer.RankReply, missing map[string]dispatch, h replyHandler) {
	name := strconv.FormatUint(uint64(r.Rank), 10)
	d, open := missing[name]
	if !open {
		return
	}
	delete(missing, name)
	c.roster.recordResult(name, r.Reply != nil, time.Now())
	if r.Reply == nil {
		h.reply(d, nil, errNoReply)
		return
	}
	h.reply(d, r.Reply, nil)
}

// relayRequest returns the request for orders with the same content.
func (c *courier) relayRequest(missing map[string]dispatch) (*peer.RelayRequest, error) {
	out := &peer.RelayRequest{}
	for name, d := range missing {
		if out.Order == nil {
			out.Order = proto.CloneOf(d.message)
			out.Order.Rank, out.Order.Incarnation = "", ""
		}
		number, err := strconv.ParseUint(name, 10, 32)
		if err != nil {
			return nil, oops.Code("invalid-order").Wrapf(err, "rank %s", name)
		}
		address, ok := c.roster.agentAddress(name)
		if !ok {
			continue
		}
		b, err := address.MarshalBinary()
		if err != nil {
			return nil, oops.Code("invalid-order").Wrapf(err, "address of rank %s", name)
		}
		out.Targets = append(out.Targets, &peer.RelayTarget{Rank: uint32(number), Address: b, Incarnation: d.message.Incarnation})
	}
	return out, nil
}

// relayGroups assigns the ranks of each failure domain to relay groups of about equal size,
// maxRelayGroup at most.
func relayGroups(domains map[string]fleet.FailureDomain) map[string]int {
	byDomain := map[fleet.FailureDomain][]string{}
	for name, domain := range domains {
		byDomain[domain] = append(byDomain[domain], name)
	}
	out := make(map[string]int, len(domains))
	next := 0
	for _, names := range byDomain {
		slices.SortFunc(names, func(a, b string) int { return cmp.Or(cmp.Compare(len(a), len(b)), cmp.Compare(a, b)) })
		groups := (len(names) + maxRelayGroup - 1) / maxRelayGroup
		for i, name := range names {
			out[name] = next + i*groups/len(names)
		}
		next += groups
	}
	return out
}
