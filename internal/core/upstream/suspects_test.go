package upstream

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"bramleydeal/internal/world/fleet"
	"bramleydeal/internal/world/service"
	"github.com/matryer/is"
)

// endOf returns the n-th upstream that ended.
func endOf(n int) service.Incarnation {
	return service.Incarnation{ID: fmt.Sprint("u", n), StartedAt: time.Unix(0, 0)}
}

// listedSuspects returns Suspects of the only entry.
func listedSuspects() *Suspects {
	s := NewSuspects("e0", PromptParts{})
	s.Configure([]fleet.Instance{{Name: "e0", Role: fleet.EntryRole}})
	return s
}

// recordEnd records an end and returns the parts that are held back because of it.
func recordEnd(s *Suspects, of service.Incarnation, parts []string, now time.Time) []string {
	held, _ := s.RecordEnd(of, parts, now)
	return held
}

// TestPartIsHeldBackLongerWithEachEnd guards against requests with a part that go on ending
// upstreams: each end lengthens the time until the next one is tried.
func TestPartIsHeldBackLongerWithEachEnd(t *testing.T) {
	is := is.New(t)
	s, now := listedSuspects(), time.Now()
	var gaps []time.Duration
	for n := range 8 {
		began := now
		for {
			if _, ok := s.Admit([]string{"first", "deadly"}, now); ok {
				break
			}
			now = now.Add(100 * time.Millisecond)
		}
		gaps = append(gaps, now.Sub(began))
		s.RecordProgress([]string{"first"}, now)
		is.Equal(recordEnd(s, endOf(n), []string{"deadly"}, now), []string{"deadly"})
	}
	is.True(slices.IsSorted(gaps))
	after := time.Duration(0)
	for _, gap := range gaps[5:8] {
		after += gap
	}
	is.True(after > 2*time.Hour) // three requests after the fifth end last hours
	wait, ok := s.Admit([]string{"deadly"}, now)
	is.True(!ok && wait > time.Hour)
	_, ok = s.Admit([]string{"first"}, now)
	is.True(ok) // what requests share with those held back is served
}

// TestProgressClearsPart guards against sound requests that stay held back because they were
// at an upstream that ended.
func TestProgressClearsPart(t *testing.T) {
	is := is.New(t)
	s, now := listedSuspects(), time.Now()
	is.Equal(recordEnd(s, endOf(1), []string{"a"}, now), []string{"a"})
	_, ok := s.Admit([]string{"a"}, now)
	is.True(!ok)
	is.Equal(s.RecordProgress([]string{"a"}, now.Add(time.Millisecond)), []string{"a"})
	_, ok = s.Admit([]string{"a"}, now.Add(time.Millisecond))
	is.True(ok)
	// A part that was proven lately is not suspected after a few ends at once.
	is.Equal(len(recordEnd(s, endOf(2), []string{"a"}, now.Add(time.Second))), 0)
	is.Equal(len(recordEnd(s, endOf(3), []string{"a"}, now.Add(time.Second))), 0)
	is.Equal(len(recordEnd(s, endOf(4), []string{"a"}, now.Add(time.Second))), 0)
}

// TestEndIsExplainedByPartThatEndedOthers guards against holding back a sound part that few
// requests have because it was at an upstream that another part has ended.
func TestEndIsExplainedByPartThatEndedOthers(t *testing.T) {
	is := is.New(t)
	s, now := listedSuspects(), time.Now()
	recordEnd(s, endOf(1), []string{"deadly"}, now)
	is.Equal(recordEnd(s, endOf(2), []string{"rare"}, now), []string{"rare"})
	recordEnd(s, endOf(2), []string{"deadly"}, now)
	_, ok := s.Admit([]string{"rare"}, now)
	is.True(ok)
	_, ok = s.Admit([]string{"deadly"}, now)
	is.True(!ok)
}

// TestPartsOfTheSameEndsAreToldApart guards against holding back the sound requests that share
// a part with deadly ones for as long as these, when no process knows yet that it is sound:
// all have restarted, and two upstreams ended at once (soak seed 42043).
func TestPartsOfTheSameEndsAreToldApart(t *testing.T) {
	is := is.New(t)
	s, now := listedSuspects(), time.Now()
	sound, deadly := []string{"shared"}, []string{"shared", "deadly"}
	recordEnd(s, endOf(1), deadly, now)
	recordEnd(s, endOf(2), deadly, now.Add(time.Millisecond))
	is.True(s.Conclusive(deadly, now.Add(time.Millisecond)))
	is.True(!s.Conclusive(sound, now.Add(time.Second))) // goes on and may prove its part
	now = now.Add(ambiguousHold + time.Second)
	_, ok := s.Admit(deadly, now)
	is.True(!ok)
	_, ok = s.Admit(sound, now)
	is.True(ok)
	is.Equal(s.RecordProgress(sound, now), sound)
	_, ok = s.Admit(sound, now)
	is.True(ok)
	_, ok = s.Admit(deadly, now)
	is.True(!ok)
}

// TestOneEndSoonAfterStartIsNotConclusive guards against cancelling sound requests because an
// upstream ended before this process knew any part to be sound (soak seed 43001).
func TestOneEndSoonAfterStartIsNotConclusive(t *testing.T) {
	is := is.New(t)
	s, now := listedSuspects(), time.Now()
	recordEnd(s, endOf(1), []string{"a"}, now)
	is.True(!s.Conclusive([]string{"a"}, now.Add(ClearingTime)))
	s.RecordProgress([]string{"b"}, now)
	is.True(!s.Conclusive([]string{"a"}, now.Add(ClearingTime)))
	now = now.Add(minHistory)
	recordEnd(s, endOf(2), []string{"c"}, now)
	is.True(s.Conclusive([]string{"c"}, now.Add(ClearingTime)))
}

// TestPartThatTurnsDeadlyIsHeldBack guards against a part that was sound and ends upstreams
// from some time on, as after a change of the model.
func TestPartThatTurnsDeadlyIsHeldBack(t *testing.T) {
	is := is.New(t)
	s, now := listedSuspects(), time.Now()
	s.RecordProgress([]string{"a"}, now)
	for n := range provenAllowance {
		now = now.Add(2 * time.Second)
		is.Equal(len(recordEnd(s, endOf(n), []string{"a"}, now)), 0)
	}
	now = now.Add(2 * time.Second)
	is.Equal(recordEnd(s, endOf(9), []string{"a"}, now), []string{"a"})
}

// TestOneTrialAtATime guards against a trial of a part at each of the processes when the time
// for which it is held back is over.
func TestOneTrialAtATime(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	var processes []*Suspects
	var entries []fleet.Instance
	for i := range 20 {
		processes = append(processes, NewSuspects(fmt.Sprint("e", i), PromptParts{}))
		entries = append(entries, fleet.Instance{Name: fmt.Sprint("e", i), Role: fleet.EntryRole})
	}
	for _, s := range processes {
		s.Configure(entries)
		recordEnd(s, endOf(1), []string{"a"}, now)
	}
	var trials []time.Time
	for at := now; at.Before(now.Add(firstHold + 3*trialInterval)); at = at.Add(10 * time.Millisecond) {
		for _, s := range processes {
			if _, ok := s.Admit([]string{"a"}, at); ok {
				trials = append(trials, at)
			}
		}
	}
	is.True(len(trials) >= 3)
	is.True(trials[0].Sub(now) >= firstHold)
	for i := range trials[1:] {
		is.True(trials[i+1].Sub(trials[i]) >= time.Second)
	}
}

// TestEachProcessHasATrialSoon guards against a sound part that stays held back for the
// callers of one process until it is the turn of that process, in a large fleet.
func TestEachProcessHasATrialSoon(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	var entries []fleet.Instance
	for i := range 149 {
		entries = append(entries, fleet.Instance{Name: fmt.Sprint("e", i), Role: fleet.EntryRole})
	}
	for _, e := range entries {
		s := NewSuspects(e.Name, PromptParts{})
		s.Configure(entries)
		recordEnd(s, endOf(1), []string{"a"}, now)
		_, ok := s.Admit([]string{"a"}, now.Add(firstHold+trialSpread))
		is.True(ok)
	}
}

// TestNewsOfSuspects guards against a process that does not learn from its peers which parts
// are held back, or that they are sound: one that has restarted or had no request there.
func TestNewsOfSuspects(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	knows, restarted, proves := listedSuspects(), listedSuspects(), listedSuspects()
	tell := func(from, to *Suspects) (held, cleared bool) {
		for _, n := range from.News(now) {
			c := to.RecordNews(n, now)
			held, cleared = held || c.Held, cleared || c.Cleared
		}
		return held, cleared
	}
	proves.RecordProgress([]string{"sound"}, now.Add(-time.Second))
	recordEnd(knows, endOf(1), []string{"sound", "deadly"}, now)
	held, _ := tell(knows, restarted)
	is.True(held)
	_, ok := restarted.Admit([]string{"deadly"}, now)
	is.True(!ok)
	held, _ = tell(knows, restarted)
	is.True(!held) // the same end counts once
	tell(knows, proves)
	_, ok = proves.Admit([]string{"sound"}, now)
	is.True(ok)
	_, cleared := tell(proves, knows)
	is.True(cleared)
	_, ok = knows.Admit([]string{"sound"}, now)
	is.True(ok)
	_, ok = proves.Admit([]string{"deadly"}, now)
	is.True(!ok)
	recordEnd(restarted, endOf(2), []string{"deadly"}, now)
	is.True(restarted.Conclusive([]string{"deadly"}, now))
}

// TestSuspectsAreBounded guards against memory that grows with what callers send.
func TestSuspectsAreBounded(t *testing.T) {
	is := is.New(t)
	s, now := listedSuspects(), time.Now()
	for n := range 4 * maxProven {
		s.RecordProgress([]string{fmt.Sprint("sound", n)}, now)
	}
	for n := range maxSuspects + 64 {
		recordEnd(s, endOf(n), []string{fmt.Sprint("part", n), "deadly"}, now)
	}
	is.True(len(s.parts) <= maxSuspects)
	is.True(len(s.proven.current)+len(s.proven.previous) <= 2*maxProven)
	is.True(len(s.News(now)) <= maxSuspectNews)
	is.Equal(s.News(now)[0].Part, "deadly")
	is.Equal(len(s.News(now.Add(49*time.Hour))), 0)
}

// deadlyFleet is a number of processes that send requests with shared parts to upstreams in
// groups, in virtual time. An upstream that ends stops its group for groupDown.
type deadlyFleet struct {
	random    *rand.Rand
	processes []*Suspects
	now       time.Time
	downUntil []time.Time
	running   []*fleetRequest
	news      []fleetNews
	ends      []time.Time
	reached   []time.Time
	// sound and soundHeld count the sound requests that found a group that runs.
	sound, soundHeld int
}

type fleetRequest struct {
	process, group, upstream int
	parts                    []string
	progressAt               time.Time
	deadly                   bool
}

type fleetNews struct {
	at       time.Time
	from, to int
}

const (
	groupDown     = 4 * time.Second
	deadlyTick    = 5 * time.Millisecond
	beginTime     = 200 * time.Millisecond
	ranksPerGroup = 8
)

func newDeadlyFleet(seed uint64, processes, groups int) *deadlyFleet {
	f := &deadlyFleet{random: rand.New(rand.NewPCG(seed, 7)), now: time.Now(), downUntil: make([]time.Time, groups)}
	var entries []fleet.Instance
	for i := range processes {
		f.processes = append(f.processes, NewSuspects(fmt.Sprint("e", i), PromptParts{}))
		entries = append(entries, fleet.Instance{Name: fmt.Sprint("e", i), Role: fleet.EntryRole})
	}
	for _, s := range f.processes {
		s.Configure(entries)
	}
	return f
}

// send sends a request from a random process to a random group that runs.
func (f *deadlyFleet) send(parts []string, deadly bool) {
	group := f.random.IntN(len(f.downUntil))
	if f.downUntil[group].After(f.now) {
		group = (group + 1) % len(f.downUntil)
	}
	if f.downUntil[group].After(f.now) {
		return
	}
	process := f.random.IntN(len(f.processes))
	_, ok := f.processes[process].Admit(parts, f.now)
	if !deadly {
		f.sound++
		if !ok {
			f.soundHeld++
		}
	}
	if !ok {
		return
	}
	if deadly {
		f.reached = append(f.reached, f.now)
	}
	upstream := group*ranksPerGroup + f.random.IntN(ranksPerGroup)
	f.running = append(f.running, &fleetRequest{process, group, upstream, parts, f.now.Add(beginTime), deadly})
}

// Exchange of news, as the directory does it.
const (
	announcedPeers  = 64
	forwardedPeers  = 3
	compareInterval = 900 * time.Millisecond
	peerLatency     = 5 * time.Millisecond
)

// exchange has a process and count others tell each other what they know.
func (f *deadlyFleet) exchange(from, count int) {
	for _, to := range f.random.Perm(len(f.processes))[:min(count, len(f.processes))] {
		f.news = append(f.news, fleetNews{f.now.Add(peerLatency), from, to}, fleetNews{f.now.Add(2 * peerLatency), to, from})
	}
}

func (f *deadlyFleet) announce(from int) { f.exchange(from, announcedPeers) }

// end ends an upstream and stops its group.
func (f *deadlyFleet) end(upstream int) {
	group := upstream / ranksPerGroup
	of := service.Incarnation{ID: fmt.Sprint("u", upstream), StartedAt: f.now}
	f.ends = append(f.ends, f.now)
	f.downUntil[group] = f.now.Add(groupDown)
	f.running = slices.DeleteFunc(f.running, func(r *fleetRequest) bool {
		if r.group == group && r.upstream == upstream {
			if _, learned := f.processes[r.process].RecordEnd(of, r.parts, f.now); learned {
				f.announce(r.process)
			}
		}
		return r.group == group
	})
}

// step lets a tick pass.
func (f *deadlyFleet) step() {
	f.now = f.now.Add(deadlyTick)
	due := slices.Clone(f.news)
	f.news = f.news[:0]
	for _, n := range due {
		if n.at.After(f.now) {
			f.news = append(f.news, n)
			continue
		}
		urgent := false
		for _, m := range f.processes[n.from].News(f.now) {
			urgent = f.processes[n.to].RecordNews(m, f.now).Learned || urgent
		}
		if urgent && len(f.processes) > announcedPeers {
			f.exchange(n.to, forwardedPeers)
		}
	}
	for i := range f.processes {
		if f.random.Float64() < float64(deadlyTick)/float64(compareInterval) {
			f.exchange(i, 1)
		}
	}
	f.running = slices.DeleteFunc(f.running, func(r *fleetRequest) bool {
		return f.processes[r.process].Conclusive(r.parts, f.now)
	})
	for {
		i := slices.IndexFunc(f.running, func(r *fleetRequest) bool { return !r.progressAt.After(f.now) })
		if i < 0 {
			return
		}
		r := f.running[i]
		if r.deadly {
			f.end(r.upstream)
			continue
		}
		f.running = slices.Delete(f.running, i, i+1)
		if len(f.processes[r.process].RecordProgress(r.parts, f.now)) > 0 {
			f.announce(r.process)
		}
	}
}

// soundParts returns the parts of a sound request: some are in many requests, most in few.
func (f *deadlyFleet) soundParts() []string {
	n := int(100 * f.random.Float64() * f.random.Float64())
	return []string{fmt.Sprint("shared", n)}
}

// TestDeadlyPartInFleetOfProcesses guards against a part that ends upstreams reaching them
// again and again by way of many processes, and against holding back the sound requests that
// share its other parts.
func TestDeadlyPartInFleetOfProcesses(t *testing.T) {
	const settling, atMost, soundShare = 3 * time.Second, 3, 0.5
	for _, processes := range []int{1, 7, 40, 149} {
		for seed := range uint64(20) {
			f := newDeadlyFleet(seed, processes, 2)
			begin := f.now
			for f.now.Sub(begin) < 40*time.Second {
				if f.random.Float64() < 0.4 {
					f.send(f.soundParts(), false)
				}
				if f.now.Sub(begin) > 4*time.Second && f.random.Float64() < 0.01 {
					f.send(append(f.soundParts(), "deadly"), true)
				}
				f.step()
			}
			late := 0
			for _, at := range f.reached {
				if len(f.ends) >= 5 && at.After(f.ends[4].Add(settling)) {
					late++
				}
			}
			if late > atMost {
				t.Errorf("%d processes, seed %d: %d requests with the part reached upstreams after the fifth end, at most %d allowed", processes, seed, late, atMost)
			}
			if served := 1 - float64(f.soundHeld)/float64(f.sound); served < soundShare {
				t.Errorf("%d processes, seed %d: %.2f of the sound requests served beside the part", processes, seed, served)
			}
			if testing.Verbose() {
				t.Logf("%d processes, seed %d: %d ends, %d requests reached upstreams, %d of %d sound requests held back", processes, seed, len(f.ends), len(f.reached), f.soundHeld, f.sound)
			}
		}
	}
}

// TestEndSoonAfterStartHoldsBackFewSoundRequests guards against holding back the parts of many
// requests for long when an upstream of the only group ends before any part is proven.
func TestEndSoonAfterStartHoldsBackFewSoundRequests(t *testing.T) {
	const soundShare = 0.5
	for _, processes := range []int{1, 7, 40} {
		for seed := range uint64(20) {
			f := newDeadlyFleet(seed, processes, 1)
			begin, ended := f.now, false
			for f.now.Sub(begin) < 30*time.Second {
				if f.random.Float64() < 0.4 {
					f.send(f.soundParts(), false)
				}
				if !ended && f.now.Sub(begin) > beginTime-deadlyTick {
					f.end(f.random.IntN(ranksPerGroup))
					ended = true
				}
				f.step()
			}
			served := 1 - float64(f.soundHeld)/float64(f.sound)
			t.Logf("%d processes, seed %d: %.3f of the sound requests served", processes, seed, served)
			if served < soundShare {
				t.Errorf("%d processes, seed %d: %.2f of the sound requests served after an end soon after the start", processes, seed, served)
			}
		}
	}
}

// TestEndsOfUpstreamsHoldBackFewSoundRequests guards against holding back sound requests when
// upstreams end by themselves, several at once too: no more than one request in 500.
func TestEndsOfUpstreamsHoldBackFewSoundRequests(t *testing.T) {
	const allowed = 1.0 / 500
	for _, processes := range []int{1, 7, 40, 149} {
		sound, held := 0, 0
		for seed := range uint64(20) {
			f := newDeadlyFleet(seed, processes, 2)
			begin := f.now
			for f.now.Sub(begin) < 40*time.Second {
				if f.random.Float64() < 0.4 {
					f.send(f.soundParts(), false)
				}
				if f.now.Sub(begin) > 4*time.Second && f.random.Float64() < 0.001 {
					for range 1 + f.random.IntN(4) {
						f.end(f.random.IntN(2 * ranksPerGroup))
					}
				}
				f.step()
			}
			sound, held = sound+f.sound, held+f.soundHeld
		}
		if share := float64(held) / float64(sound); share > allowed {
			t.Errorf("%d processes: %.4f of the sound requests held back, at most %.4f allowed", processes, share, allowed)
		}
		t.Logf("%d processes: %d of %d sound requests held back", processes, held, sound)
	}
}
