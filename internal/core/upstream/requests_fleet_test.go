package upstream

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"bramleydeal/internal/world/fleet"
	"bramleydeal/internal/world/service"
)

// requestFleet is a number of processes that send plain requests to the upstreams of one
// service, in virtual time. A request that is lost is retried once.
type requestFleet struct {
	random    *rand.Rand
	entries   []fleet.Instance
	processes []*Suspects
	upstreams []plainUpstream
	running   []plainRequest
	news      []fleetNews
	now       time.Time
	ends      []time.Time
	reached   []time.Time
	// sound counts the sound requests that found an upstream, heldBack those that were refused.
	sound, heldBack int
}

type plainUpstream struct {
	generation int
	downUntil  time.Time
}

type plainRequest struct {
	process, upstream int
	identity          string
	deadly, retried   bool
	endsAt            time.Time
}

// Times of the upstreams of a requestFleet.
const (
	plainDown = 3 * time.Second
	plainTime = 80 * time.Millisecond
)

func newRequestFleet(seed uint64, processes, upstreams int) *requestFleet {
	f := &requestFleet{random: rand.New(rand.NewPCG(seed, 3)), now: time.Now(), upstreams: make([]plainUpstream, upstreams)}
	for i := range processes {
		f.entries = append(f.entries, fleet.Instance{Name: fmt.Sprint("e", i), Role: fleet.EntryRole})
		f.processes = append(f.processes, nil)
		f.restart(i)
	}
	return f
}

// restart starts a process that knows nothing and asks some peers, if there are any.
func (f *requestFleet) restart(process int) {
	s := NewSuspects(f.entries[process].Name, WholeRequests{})
	s.Configure(f.entries)
	f.processes[process] = s
	f.exchange(process, forwardedPeers)
}

func (f *requestFleet) exchange(from, count int) {
	for _, to := range f.random.Perm(len(f.processes))[:min(count, len(f.processes))] {
		f.news = append(f.news, fleetNews{f.now.Add(peerLatency), from, to}, fleetNews{f.now.Add(2 * peerLatency), to, from})
	}
}

// send sends a request from a process to a random upstream that runs.
func (f *requestFleet) send(r plainRequest) {
	var up []int
	for i, u := range f.upstreams {
		if !u.downUntil.After(f.now) {
			up = append(up, i)
		}
	}
	if len(up) == 0 {
		return
	}
	_, ok := f.processes[r.process].Admit([]string{r.identity}, f.now)
	if !r.deadly && !r.retried {
		f.sound++
	}
	if !ok {
		if !r.deadly {
			f.heldBack++
		}
		return
	}
	if r.deadly {
		f.reached = append(f.reached, f.now)
	}
	r.upstream, r.endsAt = up[f.random.IntN(len(up))], f.now.Add(plainTime/4+time.Duration(f.random.Int64N(int64(plainTime))))
	f.running = append(f.running, r)
}

// end ends an upstream. The requests that it had are retried.
func (f *requestFleet) end(upstream int) {
	u := &f.upstreams[upstream]
	if u.downUntil.After(f.now) {
		return
	}
	of := service.Incarnation{ID: fmt.Sprint("u", upstream, "-", u.generation), StartedAt: f.now}
	u.generation++
	u.downUntil = f.now.Add(plainDown)
	f.ends = append(f.ends, f.now)
	var lost []plainRequest
	f.running = slices.DeleteFunc(f.running, func(r plainRequest) bool {
		if r.upstream == upstream {
			lost = append(lost, r)
		}
		return r.upstream == upstream
	})
	for _, r := range lost {
		if _, learned := f.processes[r.process].RecordEnd(of, []string{r.identity}, f.now); learned {
			f.exchange(r.process, announcedPeers)
		}
	}
	for _, r := range lost {
		if !r.retried {
			r.retried = true
			f.send(r)
		}
	}
}

// step lets a tick pass.
func (f *requestFleet) step() {
	f.now = f.now.Add(deadlyTick)
	var later []fleetNews
	due := f.news
	f.news = nil
	for _, n := range due {
		if n.at.After(f.now) {
			later = append(later, n)
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
	f.news = append(f.news, later...)
	for i := range f.processes {
		if f.random.Float64() < float64(deadlyTick)/float64(compareInterval) {
			f.exchange(i, 1)
		}
	}
	f.running = slices.DeleteFunc(f.running, func(r plainRequest) bool {
		return f.processes[r.process].Conclusive([]string{r.identity}, f.now)
	})
	for {
		i := slices.IndexFunc(f.running, func(r plainRequest) bool { return !r.endsAt.After(f.now) })
		if i < 0 {
			return
		}
		r := f.running[i]
		if r.deadly {
			f.end(r.upstream)
			continue
		}
		f.running = slices.Delete(f.running, i, i+1)
		if len(f.processes[r.process].RecordProgress([]string{r.identity}, f.now)) > 0 {
			f.exchange(r.process, announcedPeers)
		}
	}
}

// sendSound sends about ten sound requests a second: unique ones, polls of a hundred callers, and
// one poll that all callers share.
func (f *requestFleet) sendSound() {
	if f.random.Float64() >= 0.05 {
		return
	}
	r := plainRequest{process: f.random.IntN(len(f.processes))}
	switch f.random.IntN(3) {
	case 0:
		r.identity = fmt.Sprint("unique", f.random.Uint64())
	case 1:
		r.identity = fmt.Sprint("poll", f.random.IntN(100))
	default:
		r.identity = "shared"
	}
	f.send(r)
}

// late returns the number of deadly requests that reached upstreams later than settling after
// the third end.
func (f *requestFleet) late(settling time.Duration) (n int) {
	for _, at := range f.reached {
		if len(f.ends) >= 3 && at.After(f.ends[2].Add(settling)) {
			n++
		}
	}
	return n
}

// TestDeadlyRequestInFleetOfProcesses guards against a request that ends upstreams reaching them
// again and again by way of many processes, which restart now and then, and against refusing sound
// requests beside it: no more than one in 500.
func TestDeadlyRequestInFleetOfProcesses(t *testing.T) {
	const settling, atMost, allowed = 3 * time.Second, 3, 1.0 / 500
	for _, processes := range []int{1, 7, 40, 149} {
		sound, heldBack, ends := 0, 0, 0
		for seed := range uint64(20) {
			f := newRequestFleet(seed, processes, 3)
			for begin := f.now; f.now.Sub(begin) < 40*time.Second; f.step() {
				f.sendSound()
				if f.now.Sub(begin) > 4*time.Second && f.random.Float64() < 0.015 {
					f.send(plainRequest{process: f.random.IntN(processes), identity: "deadly", deadly: true})
				}
				if processes > 1 && f.random.Float64() < 0.001 {
					f.restart(f.random.IntN(processes))
				}
			}
			if late := f.late(settling); late > atMost {
				t.Errorf("%d processes, seed %d: %d requests reached upstreams later than %v after the third end, at most %d allowed", processes, seed, late, settling, atMost)
			}
			sound, heldBack, ends = sound+f.sound, heldBack+f.heldBack, ends+len(f.ends)
		}
		t.Logf("%d processes: %d ends in 20 runs, %d of %d sound requests held back", processes, ends, heldBack, sound)
		if share := float64(heldBack) / float64(sound); share > allowed {
			t.Errorf("%d processes: %.4f of the sound requests held back, at most %.4f allowed", processes, share, allowed)
		}
	}
}

// TestEndsOfUpstreamsHoldBackFewEqualRequests guards against refusing sound requests, polls among
// them, when upstreams end by themselves: one, or all of the service at once. No more than one in
// 500.
func TestEndsOfUpstreamsHoldBackFewEqualRequests(t *testing.T) {
	const allowed = 1.0 / 500
	for _, processes := range []int{1, 7, 40, 149} {
		sound, heldBack, ends := 0, 0, 0
		for seed := range uint64(20) {
			f := newRequestFleet(seed, processes, 3)
			for begin := f.now; f.now.Sub(begin) < 40*time.Second; f.step() {
				f.sendSound()
				if f.random.Float64() < 0.001 {
					for i := range 1 + f.random.IntN(3) {
						f.end(i)
					}
				}
			}
			sound, heldBack, ends = sound+f.sound, heldBack+f.heldBack, ends+len(f.ends)
		}
		t.Logf("%d processes: %d ends in 20 runs, %d of %d sound requests held back", processes, ends, heldBack, sound)
		if share := float64(heldBack) / float64(sound); share > allowed {
			t.Errorf("%d processes: %.4f of the sound requests held back, at most %.4f allowed", processes, share, allowed)
		}
	}
}
