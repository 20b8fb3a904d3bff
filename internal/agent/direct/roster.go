package direct

import (
	"cmp"
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"bramleydeal/internal/agent/rank"
	"bramleydeal/internal/core/store"
	"bramleydeal/internal/process/clock"
	"bramleydeal/internal/process/directory"
	"bramleydeal/internal/wire/dial"
	"bramleydeal/internal/wire/peer"
	"bramleydeal/internal/world/fleet"
	"bramleydeal/internal/world/service"
	"github.com/go-logr/logr"
	"github.com/samber/oops"
)

// Intervals and timeouts of reading the roster.
const (
	// rosterInterval is the interval between reads of the list of upstreams. Every
	// agent reads the whole list, so rosterIntervalPerUpstream is added for each
	// rank in it to bound the load on the store.
	rosterInterval            = 5 * time.Second
	rosterIntervalPerUpstream = 10 * time.Millisecond
	// rosterFollowerInterval is the interval while another agent leads the group.
	// Only the leader needs the addresses of the ranks, and an engine that joins
	// another group receives an order from that group's leader.
	rosterFollowerInterval = time.Minute
	// remoteReportLag bounds the age of the reports of an engine on another host, which are
	// some hundred milliseconds old.
	remoteReportLag = time.Second
	// rosterRefreshDelay is the minimum time between reads when a refresh is
	// requested, for example because a rank is unreachable.
	rosterRefreshDelay = time.Second
	// rosterRetry is the first pause after a failed read or while the list does not
	// contain the agent's engine. It doubles up to rosterRetryMax, so that many
	// agents that start at the same time do not overload the store. rosterRetry is
	// also the interval between checks whether the engine's group has been formed.
	rosterRetry    = 500 * time.Millisecond
	rosterRetryMax = 8 * time.Second
	// rosterTimeout bounds one read, which may fetch many pages.
	rosterTimeout = 15 * time.Second
)

// Lister lists objects of the store, possibly a few seconds out of date.
type Lister interface {
	ListCached(ctx context.Context, k directory.Kind) (store.Update, error)
}

// groupInfo describes the group of the agent's engine, as read from the store.
type groupInfo struct {
	self    service.Membership
	service string
	// engineAddresses maps rank names to the addresses of their engines.
	engineAddresses map[string]netip.AddrPort
	// relayGroups numbers the relay group of each rank.
	relayGroups map[string]int
	experts     *service.Experts
	// maxGap is the smallest limit on the pause between two events of a stream that
	// a route to the service sets, 0 when no route sets one.
	maxGap time.Duration
}

// roster keeps track of the group of the agent's engine and its ranks. It
// implements rank.Group. Until the engine is found in the list of upstreams, the
// group has no name and no ranks.
type roster struct {
	lister    Lister
	decoder   directory.Decoder
	ownEngine netip.AddrPort
	// agentPort is the port of the agents' peer listeners, the same on all hosts.
	agentPort uint16
	pool      *dial.Pool
	log       logr.Logger
	// engineAt returns a client of the engine at an address.
	engineAt func(netip.AddrPort) rank.OrderEngine
	// fencing is true when engines refuse outdated orders by their fencing token.
	fencing bool

	current atomic.Pointer[groupInfo]
	// revision is that of the newest list that was read. Only run uses it.
	revision uint64
	// hasOtherLeader reports whether another agent leads the group; nil means never.
	hasOtherLeader func() bool
	// groupFormed reports whether the agent's engine belongs to a group. Before it
	// does, the list of upstreams does not contain it, so the list is not read. nil
	// means always.
	groupFormed func(context.Context) bool
	// refresh receives a value when a refresh is requested.
	refresh chan struct{}

	mu           sync.Mutex
	remoteAgents map[netip.AddrPort]*remoteAgent
}

// Name implements rank.Group.
func (r *roster) Name() string {
	if info := r.current.Load(); info != nil {
		return info.self.Group
	}
	return ""
}

// ExpertParallel implements rank.Group.
func (r *roster) ExpertParallel() bool {
	info := r.current.Load()
	return info != nil && info.experts != nil && info.self.Size > 1
}

// Self implements rank.Group.
func (r *roster) Self() string {
	if info := r.current.Load(); info != nil {
		return strconv.Itoa(info.self.Rank)
	}
	return ""
}

// Ranks implements rank.Group.
func (r *roster) Ranks() []string {
	info := r.current.Load()
	if info == nil {
		return nil
	}
	out := make([]string, info.self.Size)
	for i := range out {
		out[i] = strconv.Itoa(i)
	}
	return out
}

// Call implements rank.Group.
func (r *roster) Call(ctx context.Context, name string, m *peer.GrantOrder) (*peer.GrantReply, error) {
	info := r.current.Load()
	if info == nil || !info.engineAddresses[name].IsValid() {
		return nil, oops.Code("unreachable").Errorf("rank %s is not in the list of upstreams", name)
	}
	return r.remoteAgent(name, info.engineAddresses[name]).call(ctx, m)
}

// agentAddress returns the address of the agent of a rank, and false if the rank is not in
// the list of upstreams.
func (r *roster) agentAddress(name string) (netip.AddrPort, bool) {
	info := r.current.Load()
	if info == nil || !info.engineAddresses[name].IsValid() {
		return netip.AddrPort{}, false
	}
	return netip.AddrPortFrom(info.engineAddresses[name].Addr(), r.agentPort), true
}

// unreachable reports whether the agent of a rank is unreachable.
func (r *roster) unreachable(name string, now time.Time) bool {
	info := r.current.Load()
	return info != nil && r.remoteAgent(name, info.engineAddresses[name]).silent(now)
}

// recordResult records that the agent of a rank replied to a relay, or that it did not.
func (r *roster) recordResult(name string, replied bool, now time.Time) {
	info := r.current.Load()
	if info == nil {
		return
	}
	if c := r.remoteAgent(name, info.engineAddresses[name]); replied {
		c.recordReply(now)
	} else {
		c.recordFailure(now)
	}
}

// remoteAgent returns the client of the agent beside another rank's engine. It is
// reused until the rank's engine changes.
func (r *roster) remoteAgent(name string, engine netip.AddrPort) *remoteAgent {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.remoteAgents[engine]
	if c == nil || c.rank != name {
		c = &remoteAgent{rank: name, address: netip.AddrPortFrom(engine.Addr(), r.agentPort), pool: r.pool, log: r.log, onUnreachable: r.requestRefresh}
		if r.fencing {
			c.fallback = rank.New(r, rank.NewOrderAdapter(r.engineAt(engine), r.log.WithValues("for-rank", name), rank.WithFencing(), rank.WithReportLag(remoteReportLag, time.Now)), r.log)
		}
		if r.remoteAgents == nil {
			r.remoteAgents = map[netip.AddrPort]*remoteAgent{}
		}
		r.remoteAgents[engine] = c
	}
	return c
}

// run reads the roster at intervals until ctx is done.
func (r *roster) run(ctx context.Context) {
	retry := rosterRetry
	for ctx.Err() == nil {
		if r.current.Load() == nil && r.groupFormed != nil && !r.groupFormed(ctx) {
			clock.Sleep(ctx, rosterRetry)
			continue
		}
		upstreams, err := r.read(ctx)
		pause := r.interval(upstreams)
		switch {
		case err != nil:
			r.log.V(1).Info("roster not read; keeping the previous one", "reason", err.Error())
			fallthrough
		case r.current.Load() == nil:
			pause = retry/2 + rand.N(retry)
			retry = min(2*retry, rosterRetryMax)
		default:
			retry = rosterRetry
		}
		r.waitForNextRead(ctx, pause)
	}
}

// interval returns the pause after a successful read of a list with that many
// ranks.
func (r *roster) interval(upstreams int) time.Duration {
	if r.hasOtherLeader != nil && r.hasOtherLeader() {
		return rosterFollowerInterval
	}
	return rosterInterval + time.Duration(upstreams)*rosterIntervalPerUpstream
}

// waitForNextRead waits for the pause, or until a refresh is requested, but at
// least for the shorter of pause and rosterRefreshDelay.
func (r *roster) waitForNextRead(ctx context.Context, pause time.Duration) {
	clock.Sleep(ctx, min(pause, rosterRefreshDelay))
	timer := time.NewTimer(max(pause-rosterRefreshDelay, 0))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.refresh:
	case <-ctx.Done():
	}
}

// requestRefresh makes run read the roster within rosterRefreshDelay. It does not
// block.
func (r *roster) requestRefresh() {
	select {
	case r.refresh <- struct{}{}:
	default:
	}
}

// errOlderList means that a list of upstreams is older than one that was read before.
var errOlderList = errors.New("the list is older than the last one")

// read reads the list of upstreams and stores the group of the agent's engine, if
// the list contains it. The configuration is read only when the service is new or
// its experts are unknown. It returns the number of upstreams that are ranks.
func (r *roster) read(ctx context.Context) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, rosterTimeout)
	defer cancel()
	list, err := r.lister.ListCached(ctx, directory.Upstreams)
	if err != nil {
		return 0, err
	}
	if list.Revision < r.revision {
		return 0, oops.With("revision", store.RevisionOf(list.Revision), "last", store.RevisionOf(r.revision)).Wrap(errOlderList)
	}
	r.revision = list.Revision
	var all []service.Upstream
	for _, o := range list.Objects {
		u, err := r.decoder.Upstream(o.Name, o.Value)
		if err != nil || u.Membership == nil {
			continue // not a rank of a group, or malformed
		}
		all = append(all, u)
	}
	own := latestAt(all, r.ownEngine)
	if own == nil {
		return len(all), nil
	}
	next := &groupInfo{self: *own.Membership, service: own.Service, engineAddresses: map[string]netip.AddrPort{}}
	domains := map[string]fleet.FailureDomain{}
	for name, u := range members(all, own.Membership) {
		next.engineAddresses[name], domains[name] = u.Address, u.FailureDomain
	}
	next.relayGroups = relayGroups(domains)
	if before := r.current.Load(); before != nil && before.service == next.service && before.experts != nil {
		next.experts, next.maxGap = before.experts, before.maxGap
	} else if err := r.readServiceConfig(ctx, next); err != nil {
		return len(all), err
	}
	r.current.Store(next)
	return len(all), nil
}

// latestAt returns the rank at an address, nil if there is none. Of several entries that claim
// the address, those of former engines and those that others have written, the latest counts.
func latestAt(all []service.Upstream, address netip.AddrPort) *service.Upstream {
	var latest *service.Upstream
	for i := range all {
		if all[i].Address == address && (latest == nil || compareAge(all[i], *latest) >= 0) {
			latest = &all[i]
		}
	}
	return latest
}

// compareAge orders two entries of ranks, the earlier one first: by the epochs of their group if
// it is the same, otherwise by the starts of the engines.
func compareAge(a, b service.Upstream) int {
	if a.Membership.Group == b.Membership.Group {
		if byEpoch := cmp.Compare(a.Membership.Epoch, b.Membership.Epoch); byEpoch != 0 {
			return byEpoch
		}
	}
	return a.StartedAt.Compare(b.StartedAt)
}

// members returns the upstream of each rank of a group, by the rank's name. While the group is
// formed anew, the list has entries of two epochs, and those of the former one may claim a rank
// or an address that has another owner by now. Of several that claim one of them, the latest
// counts: a rank whose only entry claims another's address is missing.
func members(all []service.Upstream, own *service.Membership) map[string]service.Upstream {
	var claims []service.Upstream
	for _, u := range all {
		if m := u.Membership; m.Group == own.Group && m.Rank < own.Size {
			claims = append(claims, u)
		}
	}
	slices.SortStableFunc(claims, compareAge)
	out := map[string]service.Upstream{}
	taken := map[netip.AddrPort]bool{}
	for _, u := range slices.Backward(claims) {
		name := strconv.Itoa(u.Membership.Rank)
		if _, claimed := out[name]; !claimed && !taken[u.Address] {
			out[name], taken[u.Address] = u, true
		}
	}
	return out
}

// readServiceConfig sets the expert layout and the maximum gap of the group's
// service from the configuration.
func (r *roster) readServiceConfig(ctx context.Context, info *groupInfo) error {
	list, err := r.lister.ListCached(ctx, directory.Configuration)
	if err != nil {
		return err
	}
	for _, o := range list.Objects {
		d, err := r.decoder.Configuration(o.Value)
		if err != nil {
			return err
		}
		if e := d.Services[info.service].Engine; e != nil {
			info.experts = e.Experts
		}
		info.maxGap = shortestGap(d, info.service)
	}
	return nil
}

// shortestGap returns the smallest maximum gap of the routes to a service, 0 when
// none is set.
func shortestGap(d *service.Configuration, name string) time.Duration {
	gap := time.Duration(0)
	for _, r := range d.Routes {
		for _, t := range r.Targets {
			if t.Service == name && r.MaxGap > 0 && (gap == 0 || r.MaxGap < gap) {
				gap = r.MaxGap
			}
		}
	}
	return gap
}

// maxGap returns the longest pause between two events of a stream that no route
// counts as late, 0 when there is no limit.
func (r *roster) maxGap() time.Duration {
	if info := r.current.Load(); info != nil {
		return info.maxGap
	}
	return 0
}
