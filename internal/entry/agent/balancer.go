// Package agent connects an entry to the agents beside the upstreams. It
// subscribes to their load reports, chooses the agent for a request by means of
// package core/upstream, and sends requests to agents. Package caller relays the
// responses to callers.
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

// Sizes and timing of the balancer.
const (
	// eventQueueSize is how many functions can wait for the balancer's loop.
	eventQueueSize = 4096
	// remoteLatency is the assumed one-way latency to another failure domain.
	remoteLatency = 2 * time.Millisecond
	// resubscribeDelay is the delay before a failed subscription is repeated.
	resubscribeDelay = 200 * time.Millisecond
)

// Balancer keeps the state of the agents of all services and groups and chooses
// among them.
type Balancer struct {
	self   string
	domain fleet.FailureDomain
	pool   *dial.Pool
	log    logr.Logger
	seed   uint64

	loop *eventloop.Loop[*state]

	// mu guards subscriptions, which have keys of the form
	// NAME@ADDRESS/INTERVAL.
	mu            sync.Mutex
	subscriptions map[string]context.CancelFunc
	lifetime      context.Context
	subscribers   sync.WaitGroup
}

// state is the data that only the balancer's loop accesses. A set consists of
// the agents of one service or group.
type state struct {
	sets    map[string]*core.CandidateSet
	budgets map[string]*core.RetryBudget
	// setsByAgent lists the names of the sets that an agent belongs to.
	setsByAgent map[string][]string
	// terms maps an agent to the ledger term that it reported last. A term is
	// one generation of an agent's ledger of non-idempotent requests.
	terms map[string]string
	// adopters maps a term to the agent that adopted it from a draining agent.
	adopters map[string]string
}

// maxAdopters limits the adopted terms that an entry keeps.
const maxAdopters = 4096

// New returns a Balancer. seed determines its random choices. Subscriptions end
// with ctx.
func New(ctx context.Context, self string, domain fleet.FailureDomain, pool *dial.Pool, seed uint64, log logr.Logger) *Balancer {
	s := &state{
		sets: map[string]*core.CandidateSet{}, budgets: map[string]*core.RetryBudget{}, setsByAgent: map[string][]string{},
		terms: map[string]string{}, adopters: map[string]string{},
	}
	return &Balancer{
		self: self, domain: domain, pool: pool, log: log, seed: seed, lifetime: ctx,
		loop: eventloop.NewLoop(s, eventQueueSize), subscriptions: map[string]context.CancelFunc{},
	}
}

// Run runs the balancer's loop until ctx ends and waits for the subscriptions
// to end.
func (b *Balancer) Run(ctx context.Context) {
	b.loop.Run(ctx)
	b.subscribers.Wait()
}

// SettingsChanged applies a new settings snapshot: the members and settings
// of each set, and the agents to subscribe to.
func (b *Balancer) SettingsChanged(settings *snapshot.Snapshot) {
	wanted := map[string]fleet.Instance{}
	sets := map[string]setConfig{}
	for _, s := range b.scopes(settings) {
		members := settings.Upstreams(s)
		sets[setName(s)] = setConfig{members: b.members(settings.Tree, members), config: candidateSetConfig(settings, s)}
		for _, i := range instance.Subset(members, b.self, b.domain, tree.Get(settings.Tree, s, reference.AgentsHeard)) {
			wanted[i.Name] = i
		}
	}
	b.loop.Send(func(s *state) { s.configure(sets, b.seed) })
	b.updateSubscriptions(wanted, tree.Get(settings.Tree, tree.Scope{FailureDomain: string(b.domain)}, reference.ReportInterval))
}

// setConfig is the configuration of a set.
type setConfig struct {
	members []core.ConfiguredUpstream
	config  core.CandidateSetConfig
}

// scopes returns the scopes of all services and groups in the entry's failure
// domain.
func (b *Balancer) scopes(settings *snapshot.Snapshot) []tree.Scope {
	var out []tree.Scope
	for _, name := range settings.Tree.Names(reference.Service) {
		out = append(out, tree.Scope{FailureDomain: string(b.domain), Service: name})
	}
	for _, name := range settings.Tree.Names(reference.Group) {
		out = append(out, tree.Scope{FailureDomain: string(b.domain), Group: name})
	}
	return out
}

// setName returns the name of a scope's set. The prefix keeps services and
// groups of the same name apart.
func setName(s tree.Scope) string {
	if s.Service != "" {
		return "service/" + s.Service
	}
	return "group/" + s.Group
}

// members returns the upstreams of a set. Those of evacuated failure domains get no new
// requests, like those that leave.
func (b *Balancer) members(t *tree.Tree, instances []fleet.Instance) []core.ConfiguredUpstream {
	out := make([]core.ConfiguredUpstream, 0, len(instances))
	for _, i := range instances {
		m := core.ConfiguredUpstream{Name: i.Name, Leaving: i.Leaving || tree.Get(t, tree.Scope{FailureDomain: string(i.FailureDomain)}, reference.Evacuated)}
		if i.FailureDomain != b.domain {
			m.Distance = remoteLatency
		}
		out = append(out, m)
	}
	return out
}

func candidateSetConfig(settings *snapshot.Snapshot, s tree.Scope) core.CandidateSetConfig {
	return core.CandidateSetConfig{
		EjectionFailures: tree.Get(settings.Tree, s, reference.EjectionFailures),
		EjectionTime:     tree.Get(settings.Tree, s, reference.EjectionTime),
		SlowFactor:       tree.Get(settings.Tree, s, reference.SlowFactor),
		ReportInterval:   tree.Get(settings.Tree, tree.Scope{FailureDomain: s.FailureDomain}, reference.ReportInterval),
	}
}

// configure replaces the sets and their configurations. The state of the sets
// that remain is kept.
func (s *state) configure(sets map[string]setConfig, seed uint64) {
	s.setsByAgent = map[string][]string{}
	for name, m := range sets {
		set := s.sets[name]
		if set == nil {
			h := fnv.New64a()
			// Writes to a hash never fail.
			_, _ = h.Write([]byte(name))
			set = core.NewCandidateSet(seed^h.Sum64(), m.config)
			s.sets[name] = set
			s.budgets[name] = core.NewRetryBudget()
		}
		set.Configure(m.members, m.config)
		for _, member := range m.members {
			s.setsByAgent[member.Name] = append(s.setsByAgent[member.Name], name)
		}
	}
	for name := range s.sets {
		if _, ok := sets[name]; !ok {
			delete(s.sets, name)
			delete(s.budgets, name)
		}
	}
}

// updateSubscriptions starts and stops subscriptions to load reports. A
// subscription is replaced if the agent's address or the interval changed.
func (b *Balancer) updateSubscriptions(wanted map[string]fleet.Instance, interval time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	keys := map[string]fleet.Instance{}
	for _, i := range wanted {
		keys[i.Name+"@"+i.Address.String()+"/"+interval.String()] = i
	}
	for key, stop := range b.subscriptions {
		if _, ok := keys[key]; !ok {
			stop()
			delete(b.subscriptions, key)
		}
	}
	for key, i := range keys {
		if _, ok := b.subscriptions[key]; ok {
			continue
		}
		ctx, stop := context.WithCancel(b.lifetime)
		b.subscriptions[key] = stop
		b.subscribers.Go(func() { b.subscribe(ctx, i, interval) })
	}
}

// subscribe receives an agent's load reports until ctx ends. It subscribes again
// after an error.
func (b *Balancer) subscribe(ctx context.Context, i fleet.Instance, interval time.Duration) {
	for ctx.Err() == nil {
		err := b.receiveReports(ctx, i, interval)
		b.log.V(1).Info("load reports interrupted; subscribing again", "agent", i.Name, "error", err.Error())
		clock.Sleep(ctx, resubscribeDelay)
	}
}

// receiveReports records the reports of one stream and returns the error that
// ended it.
func (b *Balancer) receiveReports(ctx context.Context, i fleet.Instance, interval time.Duration) error {
	connection, err := b.pool.Get(i.Address)
	if err != nil {
		return err
	}
	stream, err := peer.NewAgentClient(connection).Report(ctx, &peer.ReportRequest{Every: durationpb.New(interval)})
	if err != nil {
		return err
	}
	for {
		report, err := stream.Recv()
		if err != nil {
			return err
		}
		b.RecordLoadReport(report)
	}
}

// RecordLoadReport records a load report that was received by subscription or
// with a response. It ignores nil and reports without a term.
func (b *Balancer) RecordLoadReport(r *peer.LoadReport) {
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
		for _, name := range s.setsByAgent[r.Instance] {
			s.sets[name].RecordLoadReport(r.Instance, core.LoadReport{
				Running: int(r.Running), Queued: int(r.Queued), Slots: int(r.Slots), Leaving: r.Leaving, Prefixes: r.Prefixes, PrefixesComplete: r.PrefixesAnew,
			}, time.Now())
		}
	})
}

// Choose returns the agent for a request and counts the request as started
// there. ok is false if no agent can be used.
func (b *Balancer) Choose(ctx context.Context, scope tree.Scope, q core.CandidateQuery) (name string, ok bool) {
	// An error means that the process is stopping or the caller is gone; no
	// agent is chosen.
	_ = b.loop.Do(ctx, func(s *state) {
		if set := s.sets[setName(scope)]; set != nil {
			name, ok = set.Choose(q, time.Now())
		}
	})
	return name, ok
}

// RecordStart counts a request as started at an agent that was not chosen by
// Choose.
func (b *Balancer) RecordStart(scope tree.Scope, name string) {
	b.loop.Send(func(s *state) {
		if set := s.sets[setName(scope)]; set != nil {
			set.RecordStart(name, time.Now())
		}
	})
}

// RecordOutcome records the outcome of a request at an agent. took is the time to
// the first byte of the response, or to the end of the call if there was none.
func (b *Balancer) RecordOutcome(scope tree.Scope, name string, o core.CandidateOutcome, took time.Duration) {
	b.loop.Send(func(s *state) {
		if set := s.sets[setName(scope)]; set != nil {
			set.RecordOutcome(name, o, took, time.Now())
		}
	})
}

// RecordRequest counts a request for its set's retry budget, which allows ratio
// more retries.
func (b *Balancer) RecordRequest(scope tree.Scope, ratio float64) {
	b.loop.Send(func(s *state) {
		if budget := s.budgets[setName(scope)]; budget != nil {
			budget.RecordRequest(ratio)
		}
	})
}

// TakeRetry reports whether the retry budget allows a retry. If so, it takes
// the retry from the budget.
func (b *Balancer) TakeRetry(ctx context.Context, scope tree.Scope) (ok bool) {
	// If the loop does not respond, no retry is made.
	_ = b.loop.Do(ctx, func(s *state) {
		if budget := s.budgets[setName(scope)]; budget != nil {
			ok = budget.TakeRetry()
		}
	})
	return ok
}

// ReportOverdue reports whether an agent that this entry is subscribed to has
// not sent a load report in time, whether or not one has arrived before.
func (b *Balancer) ReportOverdue(ctx context.Context, scope tree.Scope, i fleet.Instance) (overdue bool) {
	if !b.isSubscribed(i) {
		return false
	}
	// If the loop does not respond, the report is assumed to be on time.
	_ = b.loop.Do(ctx, func(s *state) {
		if set := s.sets[setName(scope)]; set != nil {
			overdue = set.ReportOverdue(i.Name, time.Now())
		}
	})
	return overdue
}

// SinceLastReport returns the time since an agent's last report, 0 if none has
// arrived.
func (b *Balancer) SinceLastReport(ctx context.Context, scope tree.Scope, name string) (elapsed time.Duration) {
	// If the loop does not respond, the report is assumed to be on time.
	_ = b.loop.Do(ctx, func(s *state) {
		if set := s.sets[setName(scope)]; set != nil {
			elapsed = set.SinceLastReport(name, time.Now())
		}
	})
	return elapsed
}

// isSubscribed reports whether this entry is subscribed to an agent's load
// reports, at any address.
func (b *Balancer) isSubscribed(i fleet.Instance) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for key := range b.subscriptions {
		if len(key) > len(i.Name) && key[:len(i.Name)+1] == i.Name+"@" {
			return true
		}
	}
	return false
}

// Term returns the ledger term that an agent reported last, empty if none.
func (b *Balancer) Term(ctx context.Context, name string) (term string) {
	// On an error the term is empty, as for an agent without reports.
	_ = b.loop.Do(ctx, func(s *state) { term = s.terms[name] })
	return term
}

// Adopter returns the agent that reported to have adopted a term, empty if
// none.
func (b *Balancer) Adopter(ctx context.Context, term string) (name string) {
	// On an error no adopter is known.
	_ = b.loop.Do(ctx, func(s *state) { name = s.adopters[term] })
	return name
}

// State returns the debug state of each set's members.
func (b *Balancer) State(ctx context.Context) map[string][]core.CandidateState {
	out := map[string][]core.CandidateState{}
	// An error means that the process is stopping; the state is then empty.
	_ = b.loop.Do(ctx, func(s *state) {
		for name, set := range s.sets {
			out[name] = set.State(time.Now())
		}
	})
	return out
}

// Subscriptions returns the current subscriptions as NAME@ADDRESS/INTERVAL,
// sorted.
func (b *Balancer) Subscriptions() []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []string
	for key := range b.subscriptions {
		out = append(out, key)
	}
	slices.Sort(out)
	return out
}
