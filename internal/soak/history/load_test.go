package history

import (
	"fmt"
	"testing"
	"time"

	"bramleydeal/internal/soak/program"
	"github.com/matryer/is"
)

// TestCheckLoad guards against checks of evacuations, cold upstreams and overload that find
// nothing.
func TestCheckLoad(t *testing.T) {
	start := time.Now()
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	n := 0
	add := func(h *History, kind Kind, sent time.Time, o Outcome, arrivals ...Arrival) {
		n++
		id := fmt.Sprint("q", n)
		h.AddRequest(Request{ID: id, Kind: kind, Entry: "e0", Sent: sent, Ended: sent.Add(50 * time.Millisecond), Deadline: sent.Add(time.Second), Outcome: o, Key: 1})
		for _, a := range arrivals {
			a.At = sent
			h.AddArrival(id, a)
		}
	}
	// evacuated has the evacuation of a domain from 1 s to 20 s and a request to it.
	evacuated := func(arrival float64, misdirected bool, faults ...*FaultInterval) *History {
		h := New()
		h.evacuations = []*evacuation{{interval{at(1), at(20)}, "d0"}}
		h.faults = faults
		add(h, Check, at(arrival), Answered, Arrival{Upstream: "u0", Domain: "d0", Executed: !misdirected, Misdirected: misdirected}, Arrival{Upstream: "u1", Domain: "d1", Executed: true})
		return h
	}
	// cold has an upstream that is cold until 3 s and a number of requests to it in less than
	// a second, by way of several entries.
	cold := func(count int, from float64, faults ...*FaultInterval) *History {
		h := New()
		h.MarkCold("u0", at(3))
		h.faults = faults
		for i := range count {
			add(h, Check, at(from+0.9*float64(i)/float64(count)), Answered, Arrival{Upstream: "u0", Executed: true})
		}
		return h
	}
	// overloaded has 100 requests of each kind, of which some are served.
	overloaded := func(urgent, other int) *History {
		h := New()
		h.overloads = []*interval{{From: at(0)}}
		for i := range 100 {
			for kind, count := range map[Kind]int{Confirm: urgent, Check: other} {
				if i < count {
					add(h, kind, at(1+float64(i)/10), Answered, Arrival{Upstream: "u0", Executed: true})
				} else {
					add(h, kind, at(1+float64(i)/10), Refused)
				}
			}
		}
		return h
	}
	inTime := program.EvacuationTime.Seconds() + 0.9
	late := inTime + 0.2
	ranRefused := overloaded(50, 50)
	add(ranRefused, Confirm, at(5), Refused, Arrival{Upstream: "u0", Executed: true})
	const evacuatedGuarantee, coldGuarantee = "an evacuated failure domain gets no requests", "a cold upstream gets few requests"
	for name, test := range map[string]struct {
		history *History
		want    string
	}{
		"evacuation in time":               {evacuated(inTime, false), ""},
		"request after evacuation":         {evacuated(late, false), evacuatedGuarantee},
		"request after taking back":        {evacuated(20.1, false), ""},
		"misdirected after evacuation":     {evacuated(late, true), ""},
		"store has a fault":                {evacuated(late, false, &FaultInterval{Target: Store, From: at(0), To: at(2)}), ""},
		"store had a fault before":         {evacuated(late+2, false, &FaultInterval{Target: Store, From: at(0), To: at(2)}), evacuatedGuarantee},
		"another entry has a fault":        {evacuated(late, false, &FaultInterval{Target: "e1", From: at(0)}), evacuatedGuarantee},
		"cold upstream spared":             {cold(int(maxCold), 0.5), ""},
		"cold upstream loaded":             {cold(int(maxCold)+1, 0.5), coldGuarantee},
		"warm upstream loaded":             {cold(int(maxCold)+1, 3.1), ""},
		"cold upstream with delayed link":  {cold(int(maxCold)+1, 0.5, &FaultInterval{Target: "u0", From: at(0), To: at(1)}), ""},
		"cold upstream, entry has a fault": {cold(int(maxCold)+1, 0.5, &FaultInterval{Target: "e0", From: at(0)}), coldGuarantee},
		"overload shared":                  {overloaded(50, 55), ""},
		"overload borne by less urgent":    {overloaded(90, 20), ""},
		"overload borne by urgent":         {overloaded(50, 75), "overload is not borne by urgent requests"},
		"run and refused in overload":      {ranRefused, "not run is true"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got := ""
			for _, v := range test.history.Check(1000) {
				got = v.Guarantee
			}
			is.Equal(got, test.want)
		})
	}
}
