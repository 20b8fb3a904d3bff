package upstream

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

// bench is a seeded simulation of entries that choose among upstreams whose
// load reports come late. One tick is a millisecond.
type bench struct {
	entries   int
	upstreams []*simulated
	lag       int // ticks between a report's state and its arrival
	random    *rand.Rand
	now       time.Time
	pending   []timedReport
}

const (
	benchSlots    = 16
	benchPrefixes = 160
	benchCache    = 24
	hitTicks      = 40
	missTicks     = 100
	reportTicks   = 200
	// arrivalsPerTick is about four fifths of what all upstreams can do.
	arrivalsPerTick = 2.6
)

// simulated is one upstream: slots, a line, and a cache of prefixes.
type simulated struct {
	name    string
	running []work
	line    []work
	cache   []uint64
	slow    int
	leaving bool
	hits    int
	served  int
	noted   []uint64
}

type work struct {
	prefix  uint64
	arrived int
	entry   int
	// ends is when running work ends.
	ends int
}

type timedReport struct {
	due    int
	name   string
	report LoadReport
}

// chooser is one policy; it is told of reports and asked for a choice.
type chooser interface {
	choose(entry int, prefix uint64, b *bench) int
	report(entry int, name string, r LoadReport, b *bench)
	ended(entry int, name string, took time.Duration, b *bench)
}

// result is what a policy came to.
type result struct {
	p50, p95, p99 int
	hits          float64
	served        int
	// spread is the highest load of an upstream over the mean, on average.
	spread float64
}

func (s *simulated) tick(now int, done func(w work, at int)) {
	s.running = slices.DeleteFunc(s.running, func(w work) bool { return w.ends <= now })
	for len(s.running) < benchSlots && len(s.line) > 0 {
		w := s.line[0]
		s.line = s.line[1:]
		ticks := missTicks
		if i := slices.Index(s.cache, w.prefix); i >= 0 {
			ticks = hitTicks
			s.hits++
			s.cache = slices.Delete(s.cache, i, i+1)
		}
		s.cache = append(s.cache, w.prefix)
		s.noted = append(s.noted, w.prefix)
		if len(s.cache) > benchCache {
			s.cache = s.cache[1:]
		}
		ticks *= max(s.slow, 1)
		w.ends = now + ticks
		s.served++
		s.running = append(s.running, w)
		done(w, now+ticks)
	}
}

func runBench(p chooser, lag int, seed uint64) result {
	const warm, length = 3000, 15000
	b := &bench{entries: 8, lag: lag, random: rand.New(rand.NewPCG(seed, seed))}
	for i := range 16 {
		b.upstreams = append(b.upstreams, &simulated{name: fmt.Sprint("u", i)})
	}
	b.upstreams[3].slow = 4
	var times []int
	spread, samples := 0.0, 0
	type ending struct {
		at, entry int
		name      string
		took      int
	}
	var endings []ending
	for now := range length {
		b.now = time.Unix(0, 0).Add(time.Duration(now) * time.Millisecond)
		b.upstreams[5].leaving = now > length/2
		for range poisson(b.random, arrivalsPerTick) {
			entry, prefix := b.random.IntN(b.entries), uint64(1+int(benchPrefixes*b.random.Float64()*b.random.Float64()))
			u := b.upstreams[p.choose(entry, prefix, b)]
			u.line = append(u.line, work{prefix: prefix, arrived: now, entry: entry})
		}
		for _, u := range b.upstreams {
			u.tick(now, func(w work, at int) {
				if now > warm {
					times = append(times, at-w.arrived)
				}
				endings = append(endings, ending{at, w.entry, u.name, at - w.arrived})
			})
		}
		endings = slices.DeleteFunc(endings, func(e ending) bool {
			if e.at <= now {
				p.ended(e.entry, e.name, time.Duration(e.took)*time.Millisecond, b)
				return true
			}
			return false
		})
		if now%reportTicks == 0 {
			highest, sum := 0, 0
			for _, u := range b.upstreams {
				r := LoadReport{Running: len(u.running), Queued: len(u.line), Slots: benchSlots, Leaving: u.leaving, Prefixes: u.noted}
				u.noted = nil
				b.pending = append(b.pending, timedReport{now + lag, u.name, r})
				if u.slow == 0 && !u.leaving {
					highest = max(highest, len(u.running)+len(u.line))
					sum += len(u.running) + len(u.line)
				}
			}
			if now > warm && sum > 0 {
				spread += float64(highest) * 15 / float64(sum)
				samples++
			}
		}
		b.pending = slices.DeleteFunc(b.pending, func(t timedReport) bool {
			if t.due > now {
				return false
			}
			for e := range b.entries {
				p.report(e, t.name, t.report, b)
			}
			return true
		})
	}
	slices.Sort(times)
	at := func(q float64) int { return times[int(q*float64(len(times)-1))] }
	hits, served := 0, 0
	for _, u := range b.upstreams {
		hits += u.hits
		served += u.served
	}
	return result{at(0.5), at(0.95), at(0.99), float64(hits) / float64(served), served, spread / float64(max(samples, 1))}
}

func poisson(random *rand.Rand, mean float64) int {
	n := 0
	for left := mean; ; n++ {
		left -= random.ExpFloat64()
		if left < 0 {
			return n
		}
	}
}

// ours is the set under test, one for each entry.
type ours struct {
	sets []*CandidateSet
	// plain leaves the prefixes out.
	plain bool
}

func newOurs(seed uint64) *ours {
	o := &ours{}
	for e := range 8 {
		s := NewCandidateSet(seed+uint64(e), CandidateSetConfig{EjectionFailures: 5, EjectionTime: 5 * time.Second, SlowFactor: 4, ReportInterval: reportTicks * time.Millisecond})
		var members []ConfiguredUpstream
		for i := range 16 {
			members = append(members, ConfiguredUpstream{Name: fmt.Sprint("u", i)})
		}
		s.Configure(members, s.rules)
		o.sets = append(o.sets, s)
	}
	return o
}

func (o *ours) choose(entry int, prefix uint64, b *bench) int {
	if o.plain {
		prefix = 0
	}
	name, _ := o.sets[entry].Choose(CandidateQuery{Prefix: prefix}, b.now)
	for i, u := range b.upstreams {
		if u.name == name {
			return i
		}
	}
	return 0
}

func (o *ours) report(entry int, name string, r LoadReport, b *bench) {
	o.sets[entry].RecordLoadReport(name, r, b.now)
}

func (o *ours) ended(entry int, name string, took time.Duration, b *bench) {
	o.sets[entry].RecordResult(name, Succeeded, took, b.now)
}

// other is one of the policies compared with; it goes by the last reports.
type other struct {
	pick func(entry int, prefix uint64, last map[string]LoadReport, b *bench) int
	last map[string]LoadReport
}

func (o *other) choose(entry int, prefix uint64, b *bench) int {
	return o.pick(entry, prefix, o.last, b)
}
func (o *other) report(_ int, name string, r LoadReport, _ *bench) { o.last[name] = r }
func (o *other) ended(int, string, time.Duration, *bench)          {}
func reported(last map[string]LoadReport, b *bench, i int) (int, bool) { // load, usable
	r := last[b.upstreams[i].name]
	return r.Running + r.Queued, !r.Leaving
}

func otherPolicies() map[string]func() chooser {
	next := 0
	usable := func(last map[string]LoadReport, b *bench, first func() int) int {
		for {
			if i := first(); !last[b.upstreams[i].name].Leaving {
				return i
			}
		}
	}
	make := func(pick func(int, uint64, map[string]LoadReport, *bench) int) func() chooser {
		return func() chooser { return &other{pick: pick, last: map[string]LoadReport{}} }
	}
	return map[string]func() chooser{
		"round robin": make(func(_ int, _ uint64, last map[string]LoadReport, b *bench) int {
			return usable(last, b, func() int { next++; return next % 16 })
		}),
		"random": make(func(_ int, _ uint64, last map[string]LoadReport, b *bench) int {
			return usable(last, b, func() int { return b.random.IntN(16) })
		}),
		"least loaded by report": make(func(_ int, _ uint64, last map[string]LoadReport, b *bench) int {
			best, least := 0, 1<<30
			for i := range 16 {
				if n, ok := reported(last, b, i); ok && n < least {
					best, least = i, n
				}
			}
			return best
		}),
		"two choices": make(func(_ int, _ uint64, last map[string]LoadReport, b *bench) int {
			i := usable(last, b, func() int { return b.random.IntN(16) })
			j := usable(last, b, func() int { return b.random.IntN(16) })
			m, _ := reported(last, b, i)
			if n, _ := reported(last, b, j); n < m {
				return j
			}
			return i
		}),
		"prefix affinity": make(func(_ int, prefix uint64, last map[string]LoadReport, b *bench) int {
			return usable(last, b, func() int { prefix = prefix*0x9e3779b97f4a7c15 + 1; return int(prefix >> 60) })
		}),
	}
}

// TestChoiceBeatsTheSimplePolicies compares policies on the same seeds, with one
// slow and one leaving upstream, and reports 0.2 s and 2 s late.
func TestChoiceBeatsTheSimplePolicies(t *testing.T) {
	for _, lag := range []int{200, 2000} {
		t.Run(fmt.Sprintf("reports %d ms late", lag), func(t *testing.T) {
			is := is.New(t)
			mine := runBench(newOurs(1), lag, 1)
			t.Logf("%-24s p50 %4d p95 %5d p99 %5d ms, cache hits %.2f, highest load over mean %.2f", "chosen", mine.p50, mine.p95, mine.p99, mine.hits, mine.spread)
			for name, p := range otherPolicies() {
				r := runBench(p(), lag, 1)
				t.Logf("%-24s p50 %4d p95 %5d p99 %5d ms, cache hits %.2f, highest load over mean %.2f", name, r.p50, r.p95, r.p99, r.hits, r.spread)
				is.True(mine.p95 <= r.p95)
				is.True(mine.p99 <= r.p99)

			}
			is.True(mine.spread < 2) // no herding on stale reports
		})
	}
}

// TestChoiceWithoutPrefixesIsEven has plain requests, for which no upstream is
// better than another but by its load.
func TestChoiceWithoutPrefixesIsEven(t *testing.T) {
	is := is.New(t)
	for _, lag := range []int{200, 2000} {
		plain := newOurs(2)
		plain.plain = true
		mine, random := runBench(plain, lag, 2), runBench(otherPolicies()["random"](), lag, 2)
		t.Logf("reports %d ms late: chosen p95 %d p99 %d spread %.2f, random p95 %d p99 %d spread %.2f", lag, mine.p95, mine.p99, mine.spread, random.p95, random.p99, random.spread)
		is.True(mine.p95 <= random.p95)
		is.True(mine.p99 <= random.p99)
		is.True(mine.spread <= random.spread)
	}
}

func TestHalfOfASetIsNeverEjected(t *testing.T) {
	is := is.New(t)
	s := NewCandidateSet(1, CandidateSetConfig{EjectionFailures: 1, EjectionTime: time.Minute, SlowFactor: 4, ReportInterval: time.Second})
	now := time.Unix(0, 0)
	s.Configure([]ConfiguredUpstream{{Name: "a"}, {Name: "b"}, {Name: "c"}, {Name: "d"}}, s.rules)
	for _, name := range []string{"a", "b", "c", "d"} {
		s.RecordResult(name, Failed, 0, now)
	}
	out := 0
	for _, c := range s.State(now) {
		if c.Ejected {
			out++
		}
	}
	is.Equal(out, 2)
	_, ok := s.Choose(CandidateQuery{}, now)
	is.True(ok)
}

func TestLeavingIsTakenFromListOrAgent(t *testing.T) {
	is := is.New(t)
	s := NewCandidateSet(1, CandidateSetConfig{EjectionFailures: 5, EjectionTime: time.Minute, SlowFactor: 4, ReportInterval: time.Second})
	now := time.Unix(0, 0)
	s.Configure([]ConfiguredUpstream{{Name: "a"}, {Name: "b", Leaving: true}}, s.rules)
	s.RecordLoadReport("a", LoadReport{Slots: 1, Leaving: true}, now)
	s.RecordLoadReport("b", LoadReport{Slots: 1}, now) // the list says otherwise
	_, ok := s.Choose(CandidateQuery{}, now)
	is.True(!ok)
}

// BenchmarkChoose measures a choice among sets of several sizes.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{16, 64, 256} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := NewCandidateSet(1, CandidateSetConfig{EjectionFailures: 5, EjectionTime: time.Second, SlowFactor: 4, ReportInterval: time.Second})
			var members []ConfiguredUpstream
			for i := range n {
				members = append(members, ConfiguredUpstream{Name: fmt.Sprint("u", i)})
			}
			s.Configure(members, s.rules)
			now := time.Unix(0, 0)
			for i := uint64(0); b.Loop(); i++ {
				name, _ := s.Choose(CandidateQuery{Prefix: 1 + i%50}, now)
				s.RecordResult(name, Succeeded, time.Millisecond, now)
			}
		})
	}
}

// BenchmarkLedger measures one key from its arrival to its end, and the memory
// that it takes.
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

func TestQuietCountsFromTheLastReport(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	s := NewCandidateSet(1, CandidateSetConfig{ReportInterval: 500 * time.Millisecond})
	s.Configure([]ConfiguredUpstream{{Name: "a"}}, CandidateSetConfig{ReportInterval: 500 * time.Millisecond})
	is.Equal(s.SinceLastReport("a", now.Add(time.Hour)), time.Duration(0)) // nothing heard yet proves nothing
	s.RecordLoadReport("a", LoadReport{Slots: 1}, now)
	is.Equal(s.SinceLastReport("a", now.Add(12*time.Second)), 12*time.Second)
	is.Equal(s.SinceLastReport("b", now), time.Duration(0)) // not in the set
}
