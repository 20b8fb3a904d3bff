package history

import (
	"testing"
	"time"

	"bramleydeal/internal/soak/program"
	"github.com/matryer/is"
)

// start is the time that the times of the tests, in seconds, are relative to.
var start = time.Unix(1_700_000_000, 0)

// at returns the time that is s seconds after start.
func at(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }

// request returns a request that was sent and ended at two times in seconds, with a
// deadline 3 s after it was sent.
func request(from, to float64, k Kind, o Outcome) Request {
	return Request{ID: "q", Kind: k, Entry: "e", Incarnation: 1, Key: 1, Sent: at(from), Ended: at(to), Deadline: at(from + 3), Outcome: o}
}

// TestCheckReportsViolatedGuarantee guards against violations that Check does not report,
// and reports of histories that violate no guarantee. The cases are histories that violate
// one guarantee each, and histories close to them that violate none.
func TestCheckReportsViolatedGuarantee(t *testing.T) {
	executed := func(s float64) Arrival { return Arrival{Upstream: "w", At: at(s), Executed: true} }
	first := Version{WriteStarted: at(-10), Acknowledged: at(-10)}
	for name, c := range map[string]struct {
		requests []Request
		arrivals []Arrival
		faults   []*FaultInterval
		versions map[int]Version
		// drainingSince is the time in seconds at which upstream w began to drain, 0 for
		// never.
		drainingSince float64
		recovered     bool
		guarantee     string
	}{
		"answered after one execution": {
			requests: []Request{request(10, 11, Confirm, Answered)}, arrivals: []Arrival{executed(10.5)},
		},
		"non-idempotent request executed twice": {
			requests: []Request{request(10, 11, Confirm, Failed)}, arrivals: []Arrival{executed(10.2), executed(10.5)},
			guarantee: "at most once",
		},
		"idempotent request executed twice": {
			requests: []Request{request(10, 11, Check, Answered)}, arrivals: []Arrival{executed(10.2), executed(10.5)},
		},
		"refused request executed later": {
			requests: []Request{request(10, 11, Confirm, Refused)}, arrivals: []Arrival{executed(14)},
			guarantee: "not run is true",
		},
		"refused request declined by the upstream": {
			requests: []Request{request(10, 11, Confirm, Refused)}, arrivals: []Arrival{{Upstream: "w", At: at(10.5)}},
		},
		"answered without an execution": {
			requests:  []Request{request(10, 11, Check, Answered)},
			guarantee: "the whole answer to the caller's own request",
		},
		"response with wrong content": {
			requests: []Request{request(10, 11, Check, Wrong)}, arrivals: []Arrival{executed(10.5)},
			guarantee: "the whole answer to the caller's own request",
		},
		"late response": {
			requests:  []Request{request(10, 15.5, Check, Failed)},
			guarantee: "an answer in time",
		},
		"late response of an entry that was paused": {
			requests: []Request{request(10, 15.5, Check, Failed)},
			faults:   []*FaultInterval{{Target: "e", From: at(9), To: at(9.5)}},
		},
		"interrupted": {
			requests:  []Request{request(10, 10.5, Check, Interrupted)},
			guarantee: "nothing is cut off",
		},
		"interrupted by a planned stop": {
			requests: []Request{request(10, 10.1, Check, Interrupted)}, arrivals: []Arrival{executed(10.05)},
			faults:    []*FaultInterval{{Target: "e", Planned: true, From: at(9)}},
			guarantee: "nothing is cut off",
		},
		"connection closed before the request was read": {
			requests: []Request{request(10, 10.1, Check, Interrupted)},
		},
		"interrupted by a kill of the entry": {
			requests: []Request{request(10, 10.5, Check, Interrupted)},
			faults:   []*FaultInterval{{Target: "e", From: at(10.4)}},
		},
		"interrupted by a fault of the upstream": {
			requests: []Request{request(10, 10.5, Draft, Interrupted)}, arrivals: []Arrival{executed(10.1)},
			faults: []*FaultInterval{{Target: "w", From: at(10), To: at(12)}},
		},
		"denied after the version must be in effect": {
			requests:  []Request{request(10, 10.1, Check, Denied)},
			versions:  map[int]Version{1: {WriteStarted: at(7), Acknowledged: at(7.5)}},
			guarantee: "a configuration is in force within seconds",
		},
		"denied before the version must be in effect": {
			requests: []Request{request(10, 10.1, Check, Denied)},
			versions: map[int]Version{1: {WriteStarted: at(8), Acknowledged: at(8.5)}},
		},
		"denied while the store is unavailable": {
			requests: []Request{request(10, 10.1, Check, Denied)},
			versions: map[int]Version{1: {WriteStarted: at(7), Acknowledged: at(7.5)}},
			faults:   []*FaultInterval{{Target: Store, From: at(8)}},
		},
		"answered with a dropped key": {
			requests: []Request{request(10, 10.1, Check, Answered)}, arrivals: []Arrival{executed(10)},
			versions:  map[int]Version{1: first, 3: {WriteStarted: at(7), Acknowledged: at(7.5)}},
			guarantee: "a configuration is in force within seconds",
		},
		"reverted to an older version": {
			requests: []Request{request(10, 10.1, Check, Answered), request(10.5, 10.6, Check, Denied)}, arrivals: []Arrival{executed(10)},
			versions:  map[int]Version{1: {WriteStarted: at(9), Acknowledged: at(9)}},
			faults:    []*FaultInterval{{Target: Store, From: at(1)}}, // does not excuse a reversion
			guarantee: "a configuration never reverts",
		},
		"executed by a draining upstream": {
			requests: []Request{request(14, 14.1, Check, Answered)}, arrivals: []Arrival{executed(14)},
			drainingSince: 11.9, guarantee: "a leaving upstream gets no new work",
		},
		"executed within the drain time": {
			requests: []Request{request(14, 14.1, Check, Answered)}, arrivals: []Arrival{executed(14)}, drainingSince: 12.1,
		},
		"refused after the recovery time": {
			requests: []Request{request(10, 10.1, Check, Refused)}, recovered: true,
			guarantee: "everything is served again",
		},
	} {
		t.Run(name, func(t *testing.T) {
			h := New()
			h.requests, h.faults = c.requests, c.faults
			h.versions = map[int]Version{1: first}
			if c.versions != nil {
				h.versions = c.versions
			}
			if c.arrivals != nil {
				h.arrivals["q"] = c.arrivals
			}
			if c.drainingSince != 0 {
				h.drainingSince["w"] = at(c.drainingSince)
			}
			if c.recovered {
				h.recoveredAt = at(9)
			}
			found := ""
			for _, v := range h.Check(100) {
				found = v.Guarantee
			}
			is.New(t).Equal(found, c.guarantee)
		})
	}
}

// TestCheckBoundsRetriesInAnyWindow guards against a bound of retries that is too lax or
// too strict. It records 50 requests within one retry window, with as many retries as are
// allowed and with one more.
func TestCheckBoundsRetriesInAnyWindow(t *testing.T) {
	const requests = 50
	allowed := int(program.RetryRatio*requests) + 5
	for name, c := range map[string]struct {
		retries    int
		violations int
	}{
		"as many as allowed": {allowed, 0},
		"one more":           {allowed + 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			h := New()
			for n := range requests {
				r := request(10+float64(n)/10, 10.1+float64(n)/10, Check, Answered)
				r.ID = string(rune('a' + n))
				h.requests = append(h.requests, r)
				h.arrivals[r.ID] = []Arrival{{Upstream: "w", At: r.Sent, Executed: true}}
				for m := range c.retries {
					if m%requests == n {
						h.arrivals[r.ID] = append(h.arrivals[r.ID], Arrival{Upstream: "w", At: r.Sent.Add(time.Millisecond), Executed: true})
					}
				}
			}
			is.New(t).Equal(len(h.Check(5)), c.violations)
		})
	}
}
