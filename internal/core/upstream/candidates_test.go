package upstream

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// simulation is a seeded simulation of entries that choose among upstreams whose
// load reports arrive late. One tick is a millisecond.
type simulation struct {
	entries     int
	upstreams   []*simulatedUpstream
	reportDelay int // ticks between the creation of a report and its arrival
	random      *rand.Rand
	now         time.Time
	pending     []delayedReport
}

const (
	simulatedSlots     = 16
	simulatedPrefixes  = 160
	simulatedCacheSize = 24 // prefixes
	// hitTicks and missTicks are the durations of a request whose prefix is cached and
	// of one whose prefix is not.
	hitTicks  = 40
	missTicks = 100
	// reportTicks is the interval between two load reports.
	reportTicks = 200
	// arrivalsPerTick is about 80% of the capacity of all upstreams.
	arrivalsPerTick = 2.6
)

// simulatedUpstream is one upstream with slots, a queue and a cache of prefixes.
type simulatedUpstream struct {
	name        string
	running     []simulatedRequest
	queue       []simulatedRequest
	cache       []uint64
	slowFactor  int
	leaving     bool
	hits        int
	served      int
	newPrefixes []uint64
}

type simulatedRequest struct {
	prefix  uint64
	arrived int
	entry   int
	// ends is the tick at which the request ends once it is running.
	ends int
}

type delayedReport struct {
	due    int
	name   string
	report LoadReport
}

// policy is a load-balancing policy: it gets the load reports and chooses an upstream
// for each request.
type policy interface {
	choose(entry int, prefix uint64, sim *simulation) int
	recordReport(entry int, name string, r LoadReport, sim *simulation)
	recordEnd(entry int, name string, took time.Duration, sim *simulation)
}

// policyResult is the performance of a policy in one simulation.
type policyResult struct {
	p50, p95, p99 int // latency in ms
	hitRate       float64
	served        int
	// spread is the highest load of an upstream divided by the mean, averaged over
	// time.
	spread float64
}

// tick ends the requests that are due at now and starts queued ones in the free slots. It
// calls started for each request that starts, with the tick at which it will end.
func (s *simulatedUpstream) tick(now int, started func(w simulatedRequest, at int)) {
	s.running = slices.DeleteFunc(s.running, func(w simulatedRequest) bool { return w.ends <= now })
	for len(s.running) < simulatedSlots && len(s.queue) > 0 {
		w := s.queue[0]
		s.queue = s.queue[1:]
		ticks := missTicks
		if i := slices.Index(s.cache, w.prefix); i >= 0 {
			ticks = hitTicks
			s.hits++
			s.cache = slices.Delete(s.cache, i, i+1)
		}
		s.cache = append(s.cache, w.prefix)
		s.newPrefixes = append(s.newPrefixes, w.prefix)
		if len(s.cache) > simulatedCacheSize {
			s.cache = s.cache[1:]
		}
		ticks *= max(s.slowFactor, 1)
		w.ends = now + ticks
		s.served++
		s.running = append(s.running, w)
		started(w, now+ticks)
	}
}

// runSimulation runs a policy with 8 entries and 16 upstreams, of which one is slow and
// one leaves at half of the time. Load reports arrive reportDelay ticks late.
func runSimulation(p policy, reportDelay int, seed uint64) policyResult {
	const warmUp, length = 3000, 15000 // ticks
	sim := &simulation{entries: 8, reportDelay: reportDelay, random: rand.New(rand.NewPCG(seed, seed))}
	for i := range 16 {
		sim.upstreams = append(sim.upstreams, &simulatedUpstream{name: fmt.Sprint("u", i)})
	}
	sim.upstreams[3].slowFactor = 4
	var latencies []int
	spread, samples := 0.0, 0
	type completion struct {
		at, entry int
		name      string
		took      int
	}
	var completions []completion
	for now := range length {
		sim.now = time.Unix(0, 0).Add(time.Duration(now) * time.Millisecond)
		sim.upstreams[5].leaving = now > length/2
		for range poisson(sim.random, arrivalsPerTick) {
			entry, prefix := sim.random.IntN(sim.entries), uint64(1+int(simulatedPrefixes*sim.random.Float64()*sim.random.Float64()))
			u := sim.upstreams[p.choose(entry, prefix, sim)]
			u.queue = append(u.queue, simulatedRequest{prefix: prefix, arrived: now, entry: entry})
		}
		for _, u := range sim.upstreams {
			u.tick(now, func(w simulatedRequest, at int) {
				if now > warmUp {
					latencies = append(latencies, at-w.arrived)
				}
				completions = append(completions, completion{at, w.entry, u.name, at - w.arrived})
			})
		}
		completions = slices.DeleteFunc(completions, func(c completion) bool {
			if c.at <= now {
				p.recordEnd(c.entry, c.name, time.Duration(c.took)*time.Millisecond, sim)
				return true
			}
			return false
		})
		if now%reportTicks == 0 {
			highest, sum := 0, 0
			for _, u := range sim.upstreams {
				r := LoadReport{Running: len(u.running), Queued: len(u.queue), Slots: simulatedSlots, Leaving: u.leaving, Prefixes: u.newPrefixes}
				u.newPrefixes = nil
				sim.pending = append(sim.pending, delayedReport{now + reportDelay, u.name, r})
				if u.slowFactor == 0 && !u.leaving {
					highest = max(highest, len(u.running)+len(u.queue))
					sum += len(u.running) + len(u.queue)
				}
			}
			if now > warmUp && sum > 0 {
				spread += float64(highest) * 15 / float64(sum) // 15 upstreams are not slow
				samples++
			}
		}
		sim.pending = slices.DeleteFunc(sim.pending, func(d delayedReport) bool {
			if d.due > now {
				return false
			}
			for e := range sim.entries {
				p.recordReport(e, d.name, d.report, sim)
			}
			return true
		})
	}
	slices.Sort(latencies)
	quantile := func(q float64) int { return latencies[int(q*float64(len(latencies)-1))] }
	hits, served := 0, 0
	for _, u := range sim.upstreams {
		hits += u.hits
		served += u.served
	}
	return policyResult{quantile(0.5), quantile(0.95), quantile(0.99), float64(hits) / float64(served), served, spread / float64(max(samples, 1))}
}

// poisson draws a Poisson-distributed number with the given mean.
func poisson(random *rand.Rand, mean float64) int {
	n := 0
	for left := mean; ; n++ {
		left -= random.ExpFloat64()
		if left < 0 {
			return n
		}
	}
}

// candidateSetPolicy is the policy under test, with one CandidateSet per entry.
type candidateSetPolicy struct {
	sets []*CandidateSet
	// ignorePrefixes makes all requests ones without a prefix.
	ignorePrefixes bool
}

func newCandidateSetPolicy(seed uint64) *candidateSetPolicy {
	p := &candidateSetPolicy{}
	for e := range 8 {
		s := NewCandidateSet(seed+uint64(e), CandidateSetConfig{EjectionFailures: 5, EjectionTime: 5 * time.Second, SlowFactor: 4, ReportInterval: reportTicks * time.Millisecond})
		var upstreams []ConfiguredUpstream
		for i := range 16 {
			upstreams = append(upstreams, ConfiguredUpstream{Name: fmt.Sprint("u", i)})
		}
		s.Configure(upstreams, s.config)
		p.sets = append(p.sets, s)
	}
	return p
}

func (p *candidateSetPolicy) choose(entry int, prefix uint64, sim *simulation) int {
	if p.ignorePrefixes {
		prefix = 0
	}
	name, _ := p.sets[entry].Choose(CandidateQuery{Prefix: prefix}, sim.now)
	for i, u := range sim.upstreams {
		if u.name == name {
			return i
		}
	}
	return 0
}

func (p *candidateSetPolicy) recordReport(entry int, name string, r LoadReport, sim *simulation) {
	p.sets[entry].RecordLoadReport(name, r, sim.now)
}

func (p *candidateSetPolicy) recordEnd(entry int, name string, took time.Duration, sim *simulation) {
	p.sets[entry].RecordOutcome(name, Succeeded, took, sim.now)
}

// reportPolicy is a simple policy to compare with. It uses the last load reports only.
type reportPolicy struct {
	pick func(entry int, prefix uint64, last map[string]LoadReport, sim *simulation) int
	last map[string]LoadReport
}

func (p *reportPolicy) choose(entry int, prefix uint64, sim *simulation) int {
	return p.pick(entry, prefix, p.last, sim)
}
func (p *reportPolicy) recordReport(_ int, name string, r LoadReport, _ *simulation) {
	p.last[name] = r
}
func (p *reportPolicy) recordEnd(int, string, time.Duration, *simulation) {}

// reportedLoad returns the last reported load of the upstream i and whether it may get
// requests.
func reportedLoad(last map[string]LoadReport, sim *simulation, i int) (int, bool) {
	r := last[sim.upstreams[i].name]
	return r.Running + r.Queued, !r.Leaving
}

// simplePolicies returns constructors of the policies to compare with, by name.
func simplePolicies() map[string]func() policy {
	next := 0
	usable := func(last map[string]LoadReport, sim *simulation, draw func() int) int {
		for {
			if i := draw(); !last[sim.upstreams[i].name].Leaving {
				return i
			}
		}
	}
	constructor := func(pick func(int, uint64, map[string]LoadReport, *simulation) int) func() policy {
		return func() policy { return &reportPolicy{pick: pick, last: map[string]LoadReport{}} }
	}
	return map[string]func() policy{
		"round robin": constructor(func(_ int, _ uint64, last map[string]LoadReport, sim *simulation) int {
			return usable(last, sim, func() int { next++; return next % 16 })
		}),
		"random": constructor(func(_ int, _ uint64, last map[string]LoadReport, sim *simulation) int {
			return usable(last, sim, func() int { return sim.random.IntN(16) })
		}),
		"least loaded by report": constructor(func(_ int, _ uint64, last map[string]LoadReport, sim *simulation) int {
			best, least := 0, 1<<30
			for i := range 16 {
				if n, ok := reportedLoad(last, sim, i); ok && n < least {
					best, least = i, n
				}
			}
			return best
		}),
		"two choices": constructor(func(_ int, _ uint64, last map[string]LoadReport, sim *simulation) int {
			i := usable(last, sim, func() int { return sim.random.IntN(16) })
			j := usable(last, sim, func() int { return sim.random.IntN(16) })
			m, _ := reportedLoad(last, sim, i)
			if n, _ := reportedLoad(last, sim, j); n < m {
				return j
			}
			return i
		}),
		"prefix affinity": constructor(func(_ int, prefix uint64, last map[string]LoadReport, sim *simulation) int {
			return usable(last, sim, func() int { prefix = prefix*0x9e3779b97f4a7c15 + 1; return int(prefix >> 60) })
		}),
	}
}

// TestCandidateSetBeatsSimplePolicies guards against high latencies and against herding,
// where all entries choose the same upstream by the same outdated reports. It compares
// policies on the same seeds, with one slow and one leaving upstream, and with load
// reports that are 0.2 s or 2 s late.
func TestCandidateSetBeatsSimplePolicies(t *testing.T) {
	for _, delay := range []int{200, 2000} {
		t.Run(fmt.Sprintf("reports %d ms late", delay), func(t *testing.T) {
			is := is.New(t)
			set := runSimulation(newCandidateSetPolicy(1), delay, 1)
			t.Logf("%-24s p50 %4d p95 %5d p99 %5d ms, cache hits %.2f, highest load over mean %.2f", "candidate set", set.p50, set.p95, set.p99, set.hitRate, set.spread)
			for name, p := range simplePolicies() {
				r := runSimulation(p(), delay, 1)
				t.Logf("%-24s p50 %4d p95 %5d p99 %5d ms, cache hits %.2f, highest load over mean %.2f", name, r.p50, r.p95, r.p99, r.hitRate, r.spread)
				is.True(set.p95 <= r.p95)
				is.True(set.p99 <= r.p99)
			}
			is.True(set.spread < 2) // no herding on stale reports
		})
	}
}

// TestCandidateSetBalancesRequestsWithoutPrefix checks that requests without a prefix,
// for which upstreams differ by load only, are balanced at least as well as by a random
// choice.
func TestCandidateSetBalancesRequestsWithoutPrefix(t *testing.T) {
	is := is.New(t)
	for _, delay := range []int{200, 2000} {
		p := newCandidateSetPolicy(2)
		p.ignorePrefixes = true
		set, random := runSimulation(p, delay, 2), runSimulation(simplePolicies()["random"](), delay, 2)
		t.Logf("reports %d ms late: candidate set p95 %d p99 %d spread %.2f, random p95 %d p99 %d spread %.2f", delay, set.p95, set.p99, set.spread, random.p95, random.p99, random.spread)
		is.True(set.p95 <= random.p95)
		is.True(set.p99 <= random.p99)
		is.True(set.spread <= random.spread)
	}
}

func TestCandidateSetEjectsAtMostHalf(t *testing.T) {
	is := is.New(t)
	s := NewCandidateSet(1, CandidateSetConfig{EjectionFailures: 1, EjectionTime: time.Minute, SlowFactor: 4, ReportInterval: time.Second})
	now := time.Unix(0, 0)
	s.Configure([]ConfiguredUpstream{{Name: "a"}, {Name: "b"}, {Name: "c"}, {Name: "d"}}, s.config)
	for _, name := range []string{"a", "b", "c", "d"} {
		s.RecordOutcome(name, Failed, 0, now)
	}
	ejected := 0
	for _, c := range s.State(now) {
		if c.Ejected {
			ejected++
		}
	}
	is.Equal(ejected, 2)
	_, ok := s.Choose(CandidateQuery{}, now)
	is.True(ok)
}

// TestCandidateSetSkipsLeavingUpstreams checks that one mark, by the list or by the
// agent, is enough: the other source may lag behind.
func TestCandidateSetSkipsLeavingUpstreams(t *testing.T) {
	is := is.New(t)
	s := NewCandidateSet(1, CandidateSetConfig{EjectionFailures: 5, EjectionTime: time.Minute, SlowFactor: 4, ReportInterval: time.Second})
	now := time.Unix(0, 0)
	s.Configure([]ConfiguredUpstream{{Name: "a"}, {Name: "b", Leaving: true}}, s.config)
	s.RecordLoadReport("a", LoadReport{Slots: 1, Leaving: true}, now)
	s.RecordLoadReport("b", LoadReport{Slots: 1}, now) // not marked as leaving by the agent
	_, ok := s.Choose(CandidateQuery{}, now)
	is.True(!ok)
}

// BenchmarkChoose measures Choose on sets of several sizes.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{16, 64, 256} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := NewCandidateSet(1, CandidateSetConfig{EjectionFailures: 5, EjectionTime: time.Second, SlowFactor: 4, ReportInterval: time.Second})
			var upstreams []ConfiguredUpstream
			for i := range n {
				upstreams = append(upstreams, ConfiguredUpstream{Name: fmt.Sprint("u", i)})
			}
			s.Configure(upstreams, s.config)
			now := time.Unix(0, 0)
			for i := uint64(0); b.Loop(); i++ {
				name, _ := s.Choose(CandidateQuery{Prefix: 1 + i%50}, now)
				s.RecordOutcome(name, Succeeded, time.Millisecond, now)
			}
		})
	}
}

// BenchmarkLedger measures the time and memory that the ledger takes for one key from
// Begin to MarkDone.
func BenchmarkLedger(b *testing.B) {
	now := time.Unix(0, 0)
	l := NewLedger[string]("a", 1<<30, time.Hour, now)
	n := 0
	for b.Loop() {
		key := fmt.Sprint("account/key-", n)
		l.Begin(Attempt{Key: key, Term: l.Term(), Digest: 1}, "", now)
		l.MarkDone(key, l.Term())
		n++
	}
}

func TestSinceLastReport(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	s := NewCandidateSet(1, CandidateSetConfig{ReportInterval: 500 * time.Millisecond})
	s.Configure([]ConfiguredUpstream{{Name: "a"}}, CandidateSetConfig{ReportInterval: 500 * time.Millisecond})
	is.Equal(s.SinceLastReport("a", now.Add(time.Hour)), time.Duration(0)) // no report yet proves nothing about the upstream
	s.RecordLoadReport("a", LoadReport{Slots: 1}, now)
	is.Equal(s.SinceLastReport("a", now.Add(12*time.Second)), 12*time.Second)
	is.Equal(s.SinceLastReport("b", now), time.Duration(0)) // not in the set
}
