package direct

import (
	"context"
	"errors"
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

// Timeouts of the calls to another rank's agent.
const (
	// agentCallTimeout bounds one order. An agent may call its engine several times
	// before it replies.
	agentCallTimeout = 450 * time.Millisecond
	// stageCallTimeout bounds a STAGE order, during which the engine fetches the
	// experts of the new map.
	stageCallTimeout = maxFetchTime + 900*time.Millisecond
	// unreachableAfter is the time without a reply after which an agent counts as
	// unreachable.
	unreachableAfter = 500 * time.Millisecond
	// agentRetryInterval is the interval between calls to an unreachable agent.
	agentRetryInterval = 500 * time.Millisecond
)

// remoteAgent is a client of another rank's agent. While that agent is
// unreachable, remoteAgent sends the orders for its rank directly to its engine,
// as a restarted agent would. Otherwise an agent that stops during a change would
// block the whole group.
type remoteAgent struct {
	rank    string
	address netip.AddrPort
	pool    *dial.Pool
	log     logr.Logger
	// fallback controls the engine directly. It is nil when engines do not refuse
	// outdated orders, since two controllers would then be unsafe.
	fallback *rank.Rank
	// onUnreachable is called when the agent becomes unreachable and there is a
	// fallback, because the rank may have moved to another engine.
	onUnreachable func()

	mu sync.Mutex
	// repliedAt is the time of the agent's last reply, or of the first call while
	// there is none. failedAt is the time of the last call that failed, by this agent or
	// by a relay. An unreachable agent is not called before retryAt.
	repliedAt, failedAt, retryAt time.Time
	usingFallback                bool
	engineUnreachable            bool
}

// errNotDue means that an unreachable agent was not called, because the last call was less
// than agentRetryInterval ago.
var errNotDue = errors.New("no call is due")

// call sends an order to the rank's agent, or to its engine while the agent is
// unreachable and the engine refuses outdated orders. An error means that the
// order may or may not have been carried out.
func (c *remoteAgent) call(ctx context.Context, m *peer.GrantOrder) (*peer.GrantReply, error) {
	reply, err := c.callAgent(ctx, m)
	if err == nil {
		return reply, nil
	}
	if c.fallback == nil || !c.unreachable(time.Now()) {
		return nil, oops.Code("unreachable").Wrapf(err, "agent of rank %s is unreachable", c.rank)
	}
	// Reading the counters of a remote engine briefly pauses the whole group.
	m.Loads = false
	reply, err = c.fallback.Order(ctx, m)
	c.recordEngineResult(err)
	return reply, err
}

// callAgent sends an order to the rank's agent if a call is due.
func (c *remoteAgent) callAgent(ctx context.Context, m *peer.GrantOrder) (*peer.GrantReply, error) {
	if !c.shouldCall(time.Now()) {
		return nil, errNotDue
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout(m))
	defer cancel()
	reply, err := orders.CallAt(ctx, c.pool, c.address, m)
	if err != nil {
		c.recordFailure(time.Now())
		return nil, err
	}
	c.recordReply(time.Now())
	return reply, nil
}

// callTimeout returns the timeout of a call that sends an order.
func callTimeout(m *peer.GrantOrder) time.Duration {
	if m.Kind == peer.GrantOrder_STAGE {
		return stageCallTimeout
	}
	return agentCallTimeout
}

// recordEngineResult records the outcome of a direct call to the engine and logs
// when the engine becomes unreachable or reachable again.
func (c *remoteAgent) recordEngineResult(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case err != nil && !c.engineUnreachable:
		c.log.Info("engine of an unreachable agent is unreachable as well; its rank receives no orders", "rank", c.rank, "reason", err.Error())
	case err == nil && c.engineUnreachable:
		c.log.Info("engine of an unreachable agent is reachable again", "rank", c.rank)
	}
	c.engineUnreachable = err != nil
}

// shouldCall reports whether the agent is to be called: always while it is
// reachable, else once per agentRetryInterval.
func (c *remoteAgent) shouldCall(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.repliedAt.IsZero() {
		c.repliedAt = now
	}
	if c.silentLocked(now) && now.Before(c.retryAt) {
		return false
	}
	c.retryAt = now.Add(agentRetryInterval)
	return true
}

// recordReply records that the agent replied at now.
func (c *remoteAgent) recordReply(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.usingFallback {
		c.log.Info("agent is reachable again; no longer controlling its engine directly", "rank", c.rank, "address", c.address)
	}
	c.repliedAt, c.usingFallback = now, false
}

// recordFailure records that a call of the agent failed at now.
func (c *remoteAgent) recordFailure(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.repliedAt.IsZero() {
		c.repliedAt = now
	}
	c.failedAt = now
}

// silent reports whether the agent has not replied for unreachableAfter although it was
// called. Without a failed call there was no reason for it to reply.
func (c *remoteAgent) silent(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.silentLocked(now)
}

func (c *remoteAgent) silentLocked(now time.Time) bool {
	return c.failedAt.After(c.repliedAt) && now.Sub(c.repliedAt) > unreachableAfter
}

// unreachable reports whether the agent is unreachable. The first call that finds
// it so logs the change and calls onUnreachable.
func (c *remoteAgent) unreachable(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	unreachable := c.silentLocked(now)
	if unreachable && !c.usingFallback {
		c.usingFallback = true
		c.onUnreachable()
		c.log.Info("agent is unreachable; controlling its engine directly", "rank", c.rank, "address", c.address, "silent-ms", now.Sub(c.repliedAt).Milliseconds())
	}
	return unreachable
}
