package direct

import (
	"context"
	"math/rand/v2"
	"net/netip"
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
	"bramleydeal/internal/world/service"
	"github.com/go-logr/logr"
	"github.com/samber/oops"
)

// Times of the roster.
const (
	// rosterInterval is how often the roster is read, rosterPerWorker what each
	// entry of the list adds: every agent reads the whole list.
	rosterInterval  = 5 * time.Second
	rosterPerWorker = 10 * time.Millisecond
	// followerInterval is the same while another agent leads the group: that one
	// finds the ranks, and a rank that moved hears from another leader.
	followerInterval = time.Minute
	// rosterAsked is how soon it is read again when a rank cannot be reached.
	rosterAsked = time.Second
	// rosterRetry is the first pause until the own engine is found and after a
	// failure; it doubles up to rosterRetryMost, so that many agents that start
	// together do not keep the store from serving any.
	rosterRetry     = 500 * time.Millisecond
	rosterRetryMost = 8 * time.Second
	// rosterTimeout bounds a list of many pages.
	rosterTimeout = 15 * time.Second
)

// Lister reads what may be some seconds old.
type Lister interface {
	ListCached(ctx context.Context, k directory.Kind) (store.Update, error)
}

// members is a group as the upstreams' list shows it.
type members struct {
	self    service.Membership
	service string
	// engines are the addresses of the ranks' engines.
	engines map[string]netip.AddrPort
	experts *service.Experts
	// gap is the longest pause between events that every route to the service
	// takes for on time, 0 for none.
	gap time.Duration
}

// roster knows the group of the engine beside this agent. It implements
// rank.Group.
type roster struct {
	lister Lister
	reader directory.Decoder
	engine netip.AddrPort
	// port is where agents listen, the same on all machines.
	port uint16
	pool *dial.Pool
	log  logr.Logger
	// orders reaches the engine at an address; fencing tells whether engines
	// refuse orders that are out of date.
	orders  func(netip.AddrPort) rank.OrderEngine
	fencing bool

	current atomic.Pointer[members]
	// followed tells whether another agent leads the group; nil for never.
	followed func() bool
	// formed tells whether the own engine knows its group; before, the list does
	// not name it. nil for always.
	formed func(context.Context) bool
	// asked is written when the roster is to be read soon.
	asked chan struct{}

	mu      sync.Mutex
	remotes map[netip.AddrPort]*remoteAgent
}

// Name implements rank.Group.
func (r *roster) Name() string {
	if m := r.current.Load(); m != nil {
		return m.self.Group
	}
	return ""
}

// Stepping implements rank.Group.
func (r *roster) ExpertParallel() bool {
	m := r.current.Load()
	return m != nil && m.experts != nil && m.self.Size > 1
}

// Self implements rank.Group.
func (r *roster) Self() string {
	if m := r.current.Load(); m != nil {
		return strconv.Itoa(m.self.Rank)
	}
	return ""
}

// Ranks implements rank.Group.
func (r *roster) Ranks() []string {
	m := r.current.Load()
	if m == nil {
		return nil
	}
	out := make([]string, m.self.Size)
	for i := range out {
		out[i] = strconv.Itoa(i)
	}
	return out
}

// Call implements rank.Group.
func (r *roster) Call(ctx context.Context, name string, m *peer.GrantOrder) (*peer.GrantReply, error) {
	now := r.current.Load()
	if now == nil || !now.engines[name].IsValid() {
		return nil, oops.Code("unreachable").Errorf("no engine is known for rank %s", name)
	}
	return r.remoteAgent(name, now.engines[name]).call(ctx, m)
}

// remoteAgent returns the agent beside another rank's engine.
func (r *roster) remoteAgent(name string, engine netip.AddrPort) *remoteAgent {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.remotes[engine]
	if c == nil || c.name != name {
		c = &remoteAgent{name: name, address: netip.AddrPortFrom(engine.Addr(), r.port), pool: r.pool, log: r.log, lost: r.ask}
		if r.fencing {
			c.takeover = rank.New(r, rank.NewOrderedEngine(r.orders(engine), r.log.WithValues("for-rank", name)), r.log)
		}
		if r.remotes == nil {
			r.remotes = map[netip.AddrPort]*remoteAgent{}
		}
		r.remotes[engine] = c
	}
	return c
}

// run keeps the roster up to date until ctx ends.
func (r *roster) run(ctx context.Context) {
	retry := rosterRetry
	for ctx.Err() == nil {
		if r.current.Load() == nil && r.formed != nil && !r.formed(ctx) {
			clock.Sleep(ctx, rosterRetry)
			continue
		}
		upstreams, err := r.read(ctx)
		pause := r.interval(upstreams)
		switch {
		case err != nil:
			r.log.V(1).Info("the roster cannot be read", "reason", err.Error())
			fallthrough
		case r.current.Load() == nil:
			pause = retry/2 + rand.N(retry)
			retry = min(2*retry, rosterRetryMost)
		default:
			retry = rosterRetry
		}
		r.wait(ctx, pause)
	}
}

// interval is the time from one reading to the next.
func (r *roster) interval(upstreams int) time.Duration {
	if r.followed != nil && r.followed() {
		return followerInterval
	}
	return rosterInterval + time.Duration(upstreams)*rosterPerWorker
}

// wait waits for a pause, or until the roster is asked for, but not less than
// rosterAsked.
func (r *roster) wait(ctx context.Context, pause time.Duration) {
	clock.Sleep(ctx, min(pause, rosterAsked))
	timer := time.NewTimer(max(pause-rosterAsked, 0))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.asked:
	case <-ctx.Done():
	}
}

// ask makes the roster be read soon.
func (r *roster) ask() {
	select {
	case r.asked <- struct{}{}:
	default:
	}
}

// read reads the list of upstreams, and the shape of the experts once. It returns
// the number of upstreams.
func (r *roster) read(ctx context.Context) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, rosterTimeout)
	defer cancel()
	list, err := r.lister.ListCached(ctx, directory.Upstreams)
	if err != nil {
		return 0, err
	}
	var all []service.Upstream
	var own *service.Upstream
	for _, o := range list.Objects {
		u, err := r.reader.Upstream(o.Name, o.Value)
		if err != nil || u.Membership == nil {
			continue // names no rank
		}
		all = append(all, u)
		if u.Address == r.engine {
			own = &all[len(all)-1]
		}
	}
	if own == nil {
		return len(all), nil
	}
	next := &members{self: *own.Membership, service: own.Service, engines: map[string]netip.AddrPort{}}
	for _, u := range all {
		if u.Membership.Group == own.Membership.Group {
			next.engines[strconv.Itoa(u.Membership.Rank)] = u.Address
		}
	}
	if before := r.current.Load(); before != nil && before.service == next.service && before.experts != nil {
		next.experts, next.gap = before.experts, before.gap
	} else if err := r.readService(ctx, next); err != nil {
		return len(all), err
	}
	r.current.Store(next)
	return len(all), nil
}

// readService reads what the configuration says of the group's service.
func (r *roster) readService(ctx context.Context, m *members) error {
	list, err := r.lister.ListCached(ctx, directory.Configuration)
	if err != nil {
		return err
	}
	for _, o := range list.Objects {
		d, err := r.reader.Configuration(o.Value)
		if err != nil {
			return err
		}
		if e := d.Services[m.service].Engine; e != nil {
			m.experts = e.Experts
		}
		m.gap = shortestGap(d, m.service)
	}
	return nil
}

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

// maxGap returns the longest pause between events that is on time, 0 for none.
func (r *roster) maxGap() time.Duration {
	if m := r.current.Load(); m != nil {
		return m.gap
	}
	return 0
}
