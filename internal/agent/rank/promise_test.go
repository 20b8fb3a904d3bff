package rank

import (
	"context"
	"strconv"
	"testing"
	"time"

	"bramleydeal/internal/core/group"
	"bramleydeal/internal/wire/orders"
	"bramleydeal/internal/wire/peer"
	"github.com/go-logr/logr"
	"github.com/matryer/is"
)

// controllers is a rank with its own agent and another one that controls its engine from another
// host, where reports come late.
type controllers struct {
	t          *testing.T
	simulation *simulation
	own, other *Rank
}

func newControllers(t *testing.T) *controllers {
	w := &simulation{now: time.Unix(1000, 0), engines: newEngineGroup(nil, 1)}
	w.engines.withFaults = false
	c := &controllers{t: t, simulation: w, own: w.newAgent(0), other: w.newFallback(0)}
	w.fallbacks = []*Rank{c.other}
	w.recordReports()
	return c
}

// pass lets time pass.
func (c *controllers) pass(d time.Duration) {
	for end := c.simulation.now.Add(d); c.simulation.now.Before(end); {
		c.simulation.now = c.simulation.now.Add(10 * time.Millisecond)
		c.simulation.recordReports()
	}
}

// order gives an order to one of the agents until it is accepted or refused.
func (c *controllers) order(r *Rank, o group.Order) *peer.GrantReply {
	c.t.Helper()
	for range 100 {
		if reply, err := r.Order(c.t.Context(), orders.OrderToProto("", "0", o)); err == nil {
			return reply
		}
		c.pass(10 * time.Millisecond)
	}
	c.t.Fatal("the order gets no reply")
	return nil
}

// hold has the rank promise to hold a step and to use map 1 from then on, by its own agent.
func (c *controllers) hold(b group.Ballot, step uint64) (incarnation string) {
	e := c.simulation.engines.ranks[0]
	e.prepared, e.highestPrepared = 1, 1
	incarnation = c.order(c.own, group.Collect{Ballot: b}).Incarnation
	if !c.order(c.own, group.Hold{Ballot: b, Incarnation: incarnation, Step: step, MapVersion: 1}).Accepted {
		c.t.Fatal("the hold was refused")
	}
	c.pass(time.Second)
	return incarnation
}

// TestPromiseOfAbsentAgentBindsItWhenItReturns guards against a rank that carries out a grant of a
// lower ballot than another agent has promised to follow for it.
func TestPromiseOfAbsentAgentBindsItWhenItReturns(t *testing.T) {
	is := is.New(t)
	c := newControllers(t)
	first, second := group.Ballot{Term: 1, Proposer: "a"}, group.Ballot{Term: 1, Attempt: 1, Proposer: "b"}
	incarnation := c.hold(first, 9)
	is.True(c.order(c.other, group.Collect{Ballot: second}).Accepted)
	is.True(!c.order(c.own, group.Give{Ballot: first, Incarnation: incarnation, Grant: group.Grant{FromStep: 9, MapVersion: 1}}).Accepted)
	is.Equal(c.simulation.engines.ranks[0].armed, uint64(0))
	is.Equal(c.simulation.engines.ranks[0].hold, uint64(9))
}

// TestPromiseOfReturnedAgentBindsTheOther guards against the reverse: the agent that acted for an
// absent one goes on under a lower ballot than that one has promised to follow since.
func TestPromiseOfReturnedAgentBindsTheOther(t *testing.T) {
	is := is.New(t)
	c := newControllers(t)
	first, second, third := group.Ballot{Term: 1, Proposer: "a"}, group.Ballot{Term: 2, Proposer: "b"}, group.Ballot{Term: 3, Proposer: "c"}
	c.hold(first, 9)
	incarnation := c.order(c.other, group.Collect{Ballot: second}).Incarnation
	is.True(c.order(c.own, group.Collect{Ballot: third}).Accepted)
	is.True(!c.order(c.other, group.Give{Ballot: second, Incarnation: incarnation, Grant: group.Grant{FromStep: 9, MapVersion: 1}}).Accepted)
	is.Equal(c.simulation.engines.ranks[0].armed, uint64(0))
}

// TestPromiseForAbsentAgentTellsItsLastGrant guards against a promise that is given with an older
// report: the absent agent has carried out a grant just before it, and the new leader does not
// hear of it.
func TestPromiseForAbsentAgentTellsItsLastGrant(t *testing.T) {
	is := is.New(t)
	c := newControllers(t)
	first, second := group.Ballot{Term: 1, Proposer: "a"}, group.Ballot{Term: 1, Attempt: 1, Proposer: "b"}
	incarnation := c.hold(first, 9)
	grant := group.Grant{FromStep: 9, MapVersion: 1}
	is.True(c.order(c.own, group.Give{Ballot: first, Incarnation: incarnation, Grant: grant}).Accepted)
	c.pass(simulatedLag / 2)
	reply := c.order(c.other, group.Collect{Ballot: second})
	is.True(reply.Accepted)
	grants := orders.ReplyFromProto(reply).State.Grants
	is.Equal(grants[len(grants)-1], grant)
}

// lateEngine is an engine that compares no fencing tokens, and carries out orders to switch only when
// carryOut is called.
type lateEngine struct {
	engineProxy
	carryOut []func()
	late     bool
}

func (e *lateEngine) Arm(ctx context.Context, f Fence, version, step uint64) (bool, error) {
	f.Token = 0
	if !e.late {
		return e.engineProxy.Arm(ctx, f, version, step)
	}
	e.carryOut = append(e.carryOut, func() {
		// The outcome reaches nobody.
		_, _ = e.engineProxy.Arm(ctx, f, version, step)
	})
	return false, errNoReply
}

// TestSwitchThatIsCarriedOutLateIsTakenBack guards against a rank that switches alone to the map of a
// change that was given up: all agents were killed after the orders to switch, which the engines
// had not answered, and one engine carries its order out seconds later, while the group is idle.
func TestSwitchThatIsCarriedOutLateIsTakenBack(t *testing.T) {
	is := is.New(t)
	const ranks = 3
	engines := newEngineGroup(nil, ranks)
	engines.withFaults = false
	now := time.Unix(1000, 0)
	var late []*lateEngine
	var agents []*Rank
	newAgent := func(i int) *Rank {
		return New(namedGroup{strconv.Itoa(i), ranks}, NewOrderAdapter(late[i], logr.Discard()), logr.Discard())
	}
	for i := range ranks {
		late = append(late, &lateEngine{engineProxy: engineProxy{engines, i}})
		agents = append(agents, newAgent(i))
	}
	lead := func(term uint64, rounds int, propose uint64) {
		l := group.NewLeader(namedGroup{"", ranks}.Ranks(), group.Ballot{Term: term, Proposer: "p"}, 0,
			group.LeaderConfig{ResendInterval: 100 * time.Millisecond, PollInterval: 100 * time.Millisecond, PromiseTimeout: time.Second, MinStepsAhead: 2})
		for range rounds {
			now = now.Add(50 * time.Millisecond)
			for _, o := range l.Tick(now) {
				n, err := strconv.Atoi(o.Rank)
				is.NoErr(err)
				if m, err := agents[n].Order(t.Context(), orders.OrderToProto("", o.Rank, o.Order)); err == nil {
					l.HandleReply(o.Rank, o.Order, orders.ReplyFromProto(m), now)
				}
			}
			if propose != 0 && l.Propose(propose) {
				propose = 0
			}
		}
	}
	for i, e := range engines.ranks {
		e.prepared, e.highestPrepared = 1, 1
		late[i].late = true
	}
	lead(1, 40, 1)
	for i := range ranks {
		is.True(len(late[i].carryOut) > 0) // the order to switch was sent
		late[i].late = false
		agents[i] = newAgent(i) // killed, and started again
	}
	lead(2, 40, 0)
	is.Equal(engines.ranks[1].hold, uint64(0)) // the change was given up
	late[1].carryOut[0]()
	is.Equal(engines.ranks[1].armed, uint64(1))
	lead(3, 40, 0)
	for range 20 {
		engines.startStep()
	}
	for _, e := range engines.ranks {
		is.Equal(e.mapInUse, uint64(0))
	}
	is.True(engines.step >= 20)
}
