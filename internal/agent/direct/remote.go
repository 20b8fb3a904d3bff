package direct

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"bramleydeal/internal/agent/rank"
	"bramleydeal/internal/wire/dial"
	"bramleydeal/internal/wire/orders"
	"bramleydeal/internal/wire/peer"
	"github.com/go-logr/logr"
	"github.com/samber/oops"
)

// Times of another rank's agent.
const (
	// agentTimeout is long against an agent's answer, in which the engine may have
	// been asked several times.
	agentTimeout = 450 * time.Millisecond
	// stagingTimeout is the same for a map, whose experts are copied meanwhile.
	stagingTimeout = maxFetchTime + 900*time.Millisecond
	// absentAfter is the silence after which an agent is taken for absent.
	absentAfter = 500 * time.Millisecond
	// tryAgentEvery is how often an absent agent is tried again.
	tryAgentEvery = 500 * time.Millisecond
)

// remoteAgent is the agent of another rank as this one sees it. While that agent
// does not answer, orders for its rank go straight to its engine, as if it had
// been started again here: otherwise a group would wait for an agent that
// stopped in the middle of a change.
type remoteAgent struct {
	name    string
	address netip.AddrPort
	pool    *dial.Pool
	log     logr.Logger
	// takeover acts on the engine; nil where engines do not refuse old orders.
	takeover *rank.Rank
	// lost is called when the agent falls silent: the rank may have moved.
	lost func()

	mu             sync.Mutex
	heardAt, tryAt time.Time
	takenOver      bool
	engineSilent   bool
}

// call sends an order to the rank.
func (c *remoteAgent) call(ctx context.Context, m *peer.GrantOrder) (*peer.GrantReply, error) {
	var failed error
	if c.due(time.Now()) {
		timeout := agentTimeout
		if m.Kind == peer.GrantOrder_STAGE {
			timeout = stagingTimeout
		}
		limited, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		reply, err := orders.CallAt(limited, c.pool, c.address, m)
		if err == nil {
			c.heard(time.Now())
			return reply, nil
		}
		failed = err
	}
	if c.takeover == nil || !c.absent(time.Now()) {
		return nil, oops.Code("unreachable").Wrapf(failed, "the agent of rank %s does not answer", c.name)
	}
	// Counts that are read from afar stop the group for a moment.
	m.Loads = false
	reply, err := c.takeover.Order(ctx, m)
	c.engineAnswered(err)
	return reply, err
}

// engineAnswered logs when the engine of an absent agent falls silent and when it
// answers again.
func (c *remoteAgent) engineAnswered(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err != nil && !c.engineSilent:
		c.log.Info("the engine of an absent agent does not answer", "rank", c.name, "reason", err.Error())
	case err == nil && c.engineSilent:
		c.log.Info("the engine of an absent agent answers again", "rank", c.name)
	}
	c.engineSilent = err != nil
}

// due tells whether the agent itself is to be tried.
func (c *remoteAgent) due(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.heardAt.IsZero() {
		c.heardAt = now
	}
	if now.Sub(c.heardAt) > absentAfter && now.Before(c.tryAt) {
		return false
	}
	c.tryAt = now.Add(tryAgentEvery)
	return true
}

func (c *remoteAgent) heard(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.takenOver {
		c.log.Info("an unreachable agent is back", "rank", c.name, "address", c.address)
	}
	c.heardAt, c.takenOver = now, false
}

func (c *remoteAgent) absent(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	absent := now.Sub(c.heardAt) > absentAfter
	if absent && !c.takenOver {
		c.takenOver = true
		c.lost()
		c.log.Info("driving the engine of an unreachable agent", "rank", c.name, "address", c.address, "silent-ms", now.Sub(c.heardAt).Milliseconds())
	}
	return absent
}
