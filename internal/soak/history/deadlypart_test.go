package history

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"bramleydeal/internal/soak/program"
	"github.com/matryer/is"
)

// TestCheckDeadlyRequests guards against checks of the requests on which upstreams end that find
// nothing.
func TestCheckDeadlyRequests(t *testing.T) {
	start := time.Now()
	at := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }
	// record returns a history with five ends in the first seconds after 10 s, deadly requests
	// that reach an upstream after that, and sound ones of which a share is served.
	record := func(why DeadlyCause, lateDeadly int, served float64, fault *FaultInterval) *History {
		h := New()
		h.deadlyEnds = map[DeadlyCause][]time.Time{}
		for i := range deadlyCauses[why].ends {
			h.deadlyEnds[why] = append(h.deadlyEnds[why], at(10+float64(i)/10))
		}
		if fault != nil {
			h.faults = append(h.faults, fault)
		}
		add := func(id string, deadly DeadlyCause, sent time.Time, o Outcome) {
			h.AddRequest(Request{ID: id, Kind: deadlyCauses[why].kind, Entry: "e0", Deadly: deadly, Sent: sent, Ended: sent.Add(50 * time.Millisecond), Deadline: sent.Add(time.Second), Outcome: o, Key: 1})
			if o == Answered || deadly != "" {
				h.AddArrival(id, Arrival{Upstream: "w", At: sent, Executed: true})
			}
		}
		for i := range lateDeadly {
			add(fmt.Sprint("d", i), why, at(20+float64(i)/10), Failed)
		}
		add("last", why, at(40), Refused)
		delete(h.arrivals, "last")
		for i := range 100 {
			add(fmt.Sprint("b", i), "", at(float64(i)/20), Answered)
			o := Refused
			if float64(i) < 100*served {
				o = Answered
			}
			add(fmt.Sprint("s", i), "", at(18+float64(i)/10), o)
		}
		return h
	}
	for name, test := range map[string]struct {
		history *History
		want    []string
	}{
		"kept":                       {record(DeadlyPart, deadlyRequests, 0.6, nil), nil},
		"deadly requests go on":      {record(DeadlyPart, deadlyRequests+1, 1, nil), []string{"requests with a deadly part stop reaching upstreams"}},
		"sound ones are refused":     {record(DeadlyPart, 0, 0.4, nil), []string{"sound requests beside a deadly part are served"}},
		"while the store has faults": {record(DeadlyPart, 0, 0.4, &FaultInterval{Target: Store, From: at(17), To: at(40)}), nil},
		"while upstreams are cold":   {withColdUpstreams(record(DeadlyPart, 0, 0.4, nil), at(17), at(40)), nil},
		"equal requests kept":        {record(DeadlyConfirm, deadlyRequests, 0.6, nil), nil},
		"equal requests go on":       {record(DeadlyCheck, deadlyRequests+1, 1, nil), []string{"requests with a deadly check stop reaching upstreams"}},
		"sound confirms are refused": {record(DeadlyConfirm, 0, 0.4, nil), []string{"sound requests beside a deadly confirm are served"}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var got []string
			for _, v := range test.history.Check(100) {
				if strings.Contains(v.Guarantee, "deadly ") {
					got = append(got, v.Guarantee)
				}
			}
			is.Equal(got, test.want)
		})
	}
}

// withColdUpstreams adds upstreams to a history of which one is cold at any time between two.
func withColdUpstreams(h *History, from, to time.Time) *History {
	for at := from; at.Before(to); at = at.Add(time.Second) {
		h.MarkCold(at.String(), at.Add(program.ColdTime))
	}
	return h
}
