package history

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestCheckLoad guards against checks of cold upstreams and overload that find nothing.
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
	ranRefused := overloaded(50, 50)
	add(ranRefused, Confirm, at(5), Refused, Arrival{Upstream: "u0", Executed: true})
	const coldGuarantee = "a cold upstream gets few requests"
	for name, test := range map[string]struct {
		history *History
		want    string
	}{
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
