package history

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestCheckDeadlyPart guards against checks of the requests with a part on which upstreams end
// that find nothing.
func TestCheckDeadlyPart(t *testing.T) {
	start := time.Now()
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	// record returns a history with five ends in the first seconds after 10 s, deadly requests
	// that reach an upstream after that, and sound ones of which a share is served.
	record := func(lateDeadly int, served float64, fault *FaultInterval) *History {
		h := New()
		for i := range deadlyEnds {
			h.deadlyEnds = append(h.deadlyEnds, at(10+float64(i)/10))
		}
		if fault != nil {
			h.faults = append(h.faults, fault)
		}
		add := func(id string, deadly bool, sent time.Time, o Outcome) {
			h.AddRequest(Request{ID: id, Kind: Draft, Entry: "e0", Deadly: deadly, Sent: sent, Ended: sent.Add(50 * time.Millisecond), Deadline: sent.Add(time.Second), Outcome: o, Key: 1})
			if o == Answered || deadly {
				h.AddArrival(id, Arrival{Upstream: "w", At: sent, Executed: true})
			}
		}
		for i := range lateDeadly {
			add(fmt.Sprint("d", i), true, at(20+float64(i)/10), Failed)
		}
		add("last", true, at(40), Refused)
		delete(h.arrivals, "last")
		for i := range 100 {
			add(fmt.Sprint("b", i), false, at(float64(i)/20), Answered)
			o := Refused
			if float64(i) < 100*served {
				o = Answered
			}
			add(fmt.Sprint("s", i), false, at(18+float64(i)/10), o)
		}
		return h
	}
	for name, test := range map[string]struct {
		history *History
		want    []string
	}{
		"kept":                       {record(deadlyRequests, 0.6, nil), nil},
		"deadly requests go on":      {record(deadlyRequests+1, 1, nil), []string{"requests with a deadly part stop reaching upstreams"}},
		"sound ones are refused":     {record(0, 0.4, nil), []string{"sound requests beside a deadly part are served"}},
		"while the store has faults": {record(0, 0.4, &FaultInterval{Target: Store, From: at(17), To: at(40)}), nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var got []string
			for _, v := range test.history.Check(100) {
				if strings.Contains(v.Guarantee, "deadly part") {
					got = append(got, v.Guarantee)
				}
			}
			is.Equal(got, test.want)
		})
	}
}
