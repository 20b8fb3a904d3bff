// Package agent speaks to the agents beside the upstreams: it listens to their
// load reports, asks core/upstream which of them serves a request, and carries
// requests to them. What callers see of it is decided in package caller.
package agent

import (
	"context"
	"hash/fnv"
	"slices"
	"sync"
	"time"

	"bramleydeal/internal/core/instance"
	core "bramleydeal/internal/core/upstream"
	"bramleydeal/internal/process/clock"
	"bramleydeal/internal/process/eventloop"
	"bramleydeal/internal/settings/reference"
	"bramleydeal/internal/settings/snapshot"
	"bramleydeal/internal/settings/tree"
	"bramleydeal/internal/wire/dial"
	"bramleydeal/internal/wire/peer"
	"bramleydeal/internal/world/fleet"
	"github.com/go-logr/logr"
	"google.golang.org/protobuf/types/known/durationpb"
)

// Sizes and times of the balancer.
const (
	ringSize = 4096
	// remoteDistance is the one-way time to another failure domain.
	remoteDistance = 2 * time.Millisecond
	listenPause    = 200 * time.Millisecond
)

// Balancer knows the agents of all services and groups.
type Balancer struct {
	self   string
	domain fleet.FailureDomain
	pool   *dial.Pool
	log    logr.Logger
	seed   uint64

	loop *eventloop.Loop[*state]

	mu        sync.Mutex
	listeners map[string]context.CancelFunc
	lifetime  context.Context
	group     sync.WaitGroup
}

// state is what the balancer's loop owns.
type state struct {
	sets    map[string]*core.CandidateSet
	budgets map[string]*core.RetryBudget
	// targets lists the sets that an agent belongs to.
	targets map[string][]string
	terms   map[string]string
	// adopters maps an adopted term to the agent that holds it.
	adopters map[string]string
}

// maxAdopters bounds the adopted terms that an entry remembers.
const maxAdopters = 4096

// New returns a balancer whose choices follow from seed.
func New(ctx context.Context, self string, domain fleet.FailureDomain, pool *dial.Pool, seed uint64, log logr.Logger) *Balancer {
	s := &state{
		sets: map[string]*core.CandidateSet{}, budgets: map[string]*core.RetryBudget{}, targets: map[string][]string{},
		terms: map[string]string{}, adopters: map[string]string{},
	}
	return &Balancer{
		self: self, domain: domain, pool: pool, log: log, seed: seed, lifetime: ctx,
		loop: eventloop.NewLoop(s, ringSize), listeners: map[string]context.CancelFunc{},
	}
}

// Run serves the balancer until ctx ends.
func (b *Balancer) Run(ctx context.Context) {
	b.loop.Run(ctx)
	b.group.Wait()
}

// SettingsChanged applies a new snapshot: the members of each set, their rules
// and the agents to listen to.
func (b *Balancer) SettingsChanged(now *snapshot.Snapshot) {
	listen := map[string]fleet.Instance{}
	sets := map[string]membership{}
	for _, s := range b.scopes(now) {
		members := now.Upstreams(s)
		sets[targetOf(s)] = membership{members: b.members(members), rules: rules(now, s)}
		for _, i := range instance.Subset(members, b.self, b.domain, tree.Get(now.Tree, s, reference.AgentsHeard)) {
			listen[i.Name] = i
		}
	}
	b.loop.Send(func(s *state) { s.configure(sets, b.seed) })
	b.listenTo(listen, tree.Get(now.Tree, tree.Scope{FailureDomain: string(b.domain)}, reference.ReportInterval))
}

type membership struct {
	members []core.ConfiguredUpstream
	rules   core.CandidateSetConfig
}

// scopes returns the scopes of all services and groups in this failure domain.
func (b *Balancer) scopes(now *snapshot.Snapshot) []tree.Scope {
	var out []tree.Scope
	for _, name := range now.Tree.Names(reference.Service) {
		out = append(out, tree.Scope{FailureDomain: string(b.domain), Service: name})
	}
	for _, name := range now.Tree.Names(reference.Group) {
		out = append(out, tree.Scope{FailureDomain: string(b.domain), Group: name})
	}
	return out
}

// targetOf names the set of a scope; services and groups do not share names.
func targetOf(s tree.Scope) string {
	if s.Service != "" {
		return "service/" + s.Service
	}
	return "group/" + s.Group
}

func (b *Balancer) members(instances []fleet.Instance) []core.ConfiguredUpstream {
	out := make([]core.ConfiguredUpstream, 0, len(instances))
	for _, i := range instances {
		m := core.ConfiguredUpstream{Name: i.Name, Leaving: i.Leaving}
		if i.FailureDomain != b.domain {
			m.Distance = remoteDistance
		}
		out = append(out, m)
	}
	return out
}

func rules(now *snapshot.Snapshot, s tree.Scope) core.CandidateSetConfig {
	return core.CandidateSetConfig{
		EjectionFailures: tree.Get(now.Tree, s, reference.EjectionFailures),
		EjectionTime:     tree.Get(now.Tree, s, reference.EjectionTime),
		SlowFactor:       tree.Get(now.Tree, s, reference.SlowFactor),
		ReportInterval:   tree.Get(now.Tree, tree.Scope{FailureDomain: s.FailureDomain}, reference.ReportInterval),
	}
}

func (s *state) configure(sets map[string]membership, seed uint64) {
	s.targets = map[string][]string{}
	for target, m := range sets {
		set := s.sets[target]
		if set == nil {
			h := fnv.New64a()
			// A hash never fails to write.
			_, _ = h.Write([]byte(target))
			set = core.NewCandidateSet(seed^h.Sum64(), m.rules)
			s.sets[target] = set
			s.budgets[target] = core.NewRetryBudget()
		}
		set.Configure(m.members, m.rules)
		for _, member := range m.members {
			s.targets[member.Name] = append(s.targets[member.Name], target)
		}
	}
	for target := range s.sets {
		if _, ok := sets[target]; !ok {
			delete(s.sets, target)
			delete(s.budgets, target)
		}
	}
}

// listenTo starts and stops the listeners of load reports. An agent that comes
// back at another address is listened to anew.
func (b *Balancer) listenTo(wanted map[string]fleet.Instance, every time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	keys := map[string]fleet.Instance{}
	for _, i := range wanted {
		keys[i.Name+"@"+i.Address.String()+"/"+every.String()] = i
	}
	for key, stop := range b.listeners {
		if _, ok := keys[key]; !ok {
			stop()
			delete(b.listeners, key)
		}
	}
	for key, i := range keys {
		if _, ok := b.listeners[key]; ok {
			continue
		}
		ctx, stop := context.WithCancel(b.lifetime)
		b.listeners[key] = stop
		b.group.Go(func() { b.listen(ctx, i, every) })
	}
}

// listen follows one agent's load reports until ctx ends.
func (b *Balancer) listen(ctx context.Context, i fleet.Instance, every time.Duration) {
	for ctx.Err() == nil {
		err := b.follow(ctx, i, every)
		b.log.V(1).Info("no load reports", "agent", i.Name, "error", err.Error())
		clock.Sleep(ctx, listenPause)
	}
}

// follow takes in one stream of load reports and returns why it ended.
func (b *Balancer) follow(ctx context.Context, i fleet.Instance, every time.Duration) error {
	connection, err := b.pool.Get(i.Address)
	if err != nil {
		return err
	}
	stream, err := peer.NewAgentClient(connection).Report(ctx, &peer.ReportRequest{Every: durationpb.New(every)})
	if err != nil {
		return err
	}
	for {
		report, err := stream.Recv()
		if err != nil {
			return err
		}
		b.Reported(report)
	}
}

// Reported takes in a load report, however it came.
func (b *Balancer) Reported(r *peer.LoadReport) {
	if r == nil || r.Term == "" {
		return
	}
	b.loop.Send(func(s *state) {
		s.terms[r.Instance] = r.Term
		for _, term := range r.Adopted {
			if len(s.adopters) < maxAdopters {
				s.adopters[term] = r.Instance
			}
		}
		for _, target := range s.targets[r.Instance] {
			s.sets[target].RecordLoadReport(r.Instance, core.LoadReport{
				Running: int(r.Running), Queued: int(r.Queued), Slots: int(r.Slots), Leaving: r.Leaving, Prefixes: r.Prefixes, PrefixesComplete: r.PrefixesAnew,
			}, time.Now())
		}
	})
}

// Choose returns the agent for a request and counts it as begun.
func (b *Balancer) Choose(ctx context.Context, scope tree.Scope, q core.CandidateQuery) (name string, ok bool) {
	// An error means that the process is stopping or the caller gone: no choice.
	_ = b.loop.Do(ctx, func(s *state) {
		if set := s.sets[targetOf(scope)]; set != nil {
			name, ok = set.Choose(q, time.Now())
		}
	})
	return name, ok
}

// Begin counts a request for an agent that was not chosen but bound.
func (b *Balancer) Begin(scope tree.Scope, name string) {
	b.loop.Send(func(s *state) {
		if set := s.sets[targetOf(scope)]; set != nil {
			set.Begin(name, time.Now())
		}
	})
}

// Ended records how a request ended; took is the time to its first byte.
func (b *Balancer) Ended(scope tree.Scope, name string, r core.Result, took time.Duration) {
	b.loop.Send(func(s *state) {
		if set := s.sets[targetOf(scope)]; set != nil {
			set.RecordResult(name, r, took, time.Now())
		}
	})
}

// Request brings the retry budget its share for one request.
func (b *Balancer) Request(scope tree.Scope, ratio float64) {
	b.loop.Send(func(s *state) {
		if budget := s.budgets[targetOf(scope)]; budget != nil {
			budget.RecordRequest(ratio)
		}
	})
}

// Retry tells whether the retry budget allows one more try.
func (b *Balancer) Retry(ctx context.Context, scope tree.Scope) (ok bool) {
	// Without an answer there is no retry.
	_ = b.loop.Do(ctx, func(s *state) {
		if budget := s.budgets[targetOf(scope)]; budget != nil {
			ok = budget.TakeRetry()
		}
	})
	return ok
}

// Silent tells whether an agent that this entry listens to has gone silent.
func (b *Balancer) Silent(ctx context.Context, scope tree.Scope, i fleet.Instance) (silent bool) {
	if !b.listensTo(i) {
		return false
	}
	// Without an answer nothing is known against the agent.
	_ = b.loop.Do(ctx, func(s *state) {
		if set := s.sets[targetOf(scope)]; set != nil {
			silent = set.ReportOverdue(i.Name, time.Now())
		}
	})
	return silent
}

// Quiet returns the time since an agent's last report, zero if none has come.
func (b *Balancer) Quiet(ctx context.Context, scope tree.Scope, name string) (quiet time.Duration) {
	// Without an answer nothing is known against the agent.
	_ = b.loop.Do(ctx, func(s *state) {
		if set := s.sets[targetOf(scope)]; set != nil {
			quiet = set.SinceLastReport(name, time.Now())
		}
	})
	return quiet
}

func (b *Balancer) listensTo(i fleet.Instance) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for key := range b.listeners {
		if len(key) > len(i.Name) && key[:len(i.Name)+1] == i.Name+"@" {
			return true
		}
	}
	return false
}

// Term returns the term that an agent reported last, empty if none.
func (b *Balancer) Term(ctx context.Context, name string) (term string) {
	// An empty term makes the agent name its own.
	_ = b.loop.Do(ctx, func(s *state) { term = s.terms[name] })
	return term
}

// Adopter returns the agent that reported to have adopted a term.
func (b *Balancer) Adopter(ctx context.Context, term string) (name string) {
	// Without an answer no adopter is known.
	_ = b.loop.Do(ctx, func(s *state) { name = s.adopters[term] })
	return name
}

// State returns the balancer's part of the dump.
func (b *Balancer) State(ctx context.Context) map[string][]core.CandidateState {
	out := map[string][]core.CandidateState{}
	// An error means that the process is stopping.
	_ = b.loop.Do(ctx, func(s *state) {
		for target, set := range s.sets {
			out[target] = set.State(time.Now())
		}
	})
	return out
}

// Listening returns the agents listened to, sorted.
func (b *Balancer) Listening() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []string
	for key := range b.listeners {
		out = append(out, key)
	}
	slices.Sort(out)
	return out
}
