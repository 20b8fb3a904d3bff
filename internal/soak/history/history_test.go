package history

import (
	"testing"
	"time"

	"bramleydeal/internal/soak/program"
	"github.com/matryer/is"
)

var start = time.Unix(1_700_000_000, 0)

func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

// sent is a request that was sent and answered at times in seconds.
func sent(from, to float64, k Kind, o Outcome) Request {
	return Request{ID: "q", Kind: k, Entry: "e", Lifetime: 1, Key: 1, Sent: at(from), Ended: at(to), Until: at(from + 3), Outcome: o}
}

func TestCheckFindsEachBrokenPromise(t *testing.T) {
	runs := func(s float64) Arrival { return Arrival{Upstream: "w", At: at(s), Runs: true} }
	first := Version{Sent: at(-10), Acked: at(-10)}
	for name, c := range map[string]struct {
		requests []Request
		arrivals []Arrival
		troubles []*Trouble
		versions map[int]Version
		left     float64
		calm     bool
		promise  string
	}{
		"answered by one run": {
			requests: []Request{sent(10, 11, Confirm, Answered)}, arrivals: []Arrival{runs(10.5)},
		},
		"ran twice": {
			requests: []Request{sent(10, 11, Confirm, Failed)}, arrivals: []Arrival{runs(10.2), runs(10.5)},
			promise: "at most once",
		},
		"an idempotent request may run twice": {
			requests: []Request{sent(10, 11, Check, Answered)}, arrivals: []Arrival{runs(10.2), runs(10.5)},
		},
		"refused and ran later": {
			requests: []Request{sent(10, 11, Confirm, Refused)}, arrivals: []Arrival{runs(14)},
			promise: "not run is true",
		},
		"refused after the upstream declined": {
			requests: []Request{sent(10, 11, Confirm, Refused)}, arrivals: []Arrival{{Upstream: "w", At: at(10.5)}},
		},
		"an answer of no run": {
			requests: []Request{sent(10, 11, Check, Answered)},
			promise:  "the whole answer to the caller's own request",
		},
		"an answer that is wrong": {
			requests: []Request{sent(10, 11, Check, Wrong)}, arrivals: []Arrival{runs(10.5)},
			promise: "the whole answer to the caller's own request",
		},
		"late": {
			requests: []Request{sent(10, 15.5, Check, Failed)},
			promise:  "an answer in time",
		},
		"late at an entry that was paused": {
			requests: []Request{sent(10, 15.5, Check, Failed)},
			troubles: []*Trouble{{Target: "e", From: at(9), To: at(9.5)}},
		},
		"cut off": {
			requests: []Request{sent(10, 10.5, Check, Broken)},
			promise:  "nothing is cut off",
		},
		"cut off by a planned stop": {
			requests: []Request{sent(10, 10.1, Check, Broken)}, arrivals: []Arrival{runs(10.05)},
			troubles: []*Trouble{{Target: "e", Planned: true, From: at(9)}},
			promise:  "nothing is cut off",
		},
		"closed before it was read": {
			requests: []Request{sent(10, 10.1, Check, Broken)},
		},
		"cut off by a kill": {
			requests: []Request{sent(10, 10.5, Check, Broken)},
			troubles: []*Trouble{{Target: "e", From: at(10.4)}},
		},
		"broken off by the upstream": {
			requests: []Request{sent(10, 10.5, Draft, Broken)}, arrivals: []Arrival{runs(10.1)},
			troubles: []*Trouble{{Target: "w", From: at(10), To: at(12)}},
		},
		"denied after the version's time": {
			requests: []Request{sent(10, 10.1, Check, Denied)},
			versions: map[int]Version{1: {Sent: at(7), Acked: at(7.5)}},
			promise:  "a configuration is in force within seconds",
		},
		"denied within the version's time": {
			requests: []Request{sent(10, 10.1, Check, Denied)},
			versions: map[int]Version{1: {Sent: at(8), Acked: at(8.5)}},
		},
		"denied while the store is away": {
			requests: []Request{sent(10, 10.1, Check, Denied)},
			versions: map[int]Version{1: {Sent: at(7), Acked: at(7.5)}},
			troubles: []*Trouble{{Target: Store, From: at(8)}},
		},
		"served with a dropped key": {
			requests: []Request{sent(10, 10.1, Check, Answered)}, arrivals: []Arrival{runs(10)},
			versions: map[int]Version{1: first, 3: {Sent: at(7), Acked: at(7.5)}},
			promise:  "a configuration is in force within seconds",
		},
		"gone back": {
			requests: []Request{sent(10, 10.1, Check, Answered), sent(10.5, 10.6, Check, Denied)}, arrivals: []Arrival{runs(10)},
			versions: map[int]Version{1: {Sent: at(9), Acked: at(9)}},
			troubles: []*Trouble{{Target: Store, From: at(1)}}, // no excuse
			promise:  "a configuration never reverts",
		},
		"new work at a leaving upstream": {
			requests: []Request{sent(14, 14.1, Check, Answered)}, arrivals: []Arrival{runs(14)},
			left: 11.9, promise: "a leaving upstream gets no new work",
		},
		"work within the drain time": {
			requests: []Request{sent(14, 14.1, Check, Answered)}, arrivals: []Arrival{runs(14)}, left: 12.1,
		},
		"refused in the calm after all trouble": {
			requests: []Request{sent(10, 10.1, Check, Refused)}, calm: true,
			promise: "everything is served again",
		},
	} {
		t.Run(name, func(t *testing.T) {
			l := New()
			l.requests, l.troubles = c.requests, c.troubles
			l.versions = map[int]Version{1: first}
			if c.versions != nil {
				l.versions = c.versions
			}
			if c.arrivals != nil {
				l.arrivals["q"] = c.arrivals
			}
			if c.left != 0 {
				l.left["w"] = at(c.left)
			}
			if c.calm {
				l.calmFrom = at(9)
			}
			found := ""
			for _, v := range l.Check(100) {
				found = v.Promise
			}
			is.New(t).Equal(found, c.promise)
		})
	}
}

func TestCheckBoundsRepeatsInAnyWindow(t *testing.T) {
	const requests = 50
	allowed := int(program.RetryRatio*requests) + 5
	for name, c := range map[string]struct {
		repeats int
		found   int
	}{
		"as many as allowed": {allowed, 0},
		"one more":           {allowed + 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			l := New()
			for n := range requests {
				r := sent(10+float64(n)/10, 10.1+float64(n)/10, Check, Answered)
				r.ID = string(rune('a' + n))
				l.requests = append(l.requests, r)
				l.arrivals[r.ID] = []Arrival{{Upstream: "w", At: r.Sent, Runs: true}}
				for m := range c.repeats {
					if m%requests == n {
						l.arrivals[r.ID] = append(l.arrivals[r.ID], Arrival{Upstream: "w", At: r.Sent.Add(time.Millisecond), Runs: true})
					}
				}
			}
			is.New(t).Equal(len(l.Check(5)), c.found)
		})
	}
}
