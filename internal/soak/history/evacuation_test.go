package history

import (
	"testing"
	"time"

	"bramleydeal/internal/soak/program"
	"github.com/matryer/is"
)

// TestCheckEvacuations guards against requests to an evacuated failure domain that Check does
// not report, and against reports of those that are allowed.
func TestCheckEvacuations(t *testing.T) {
	from := time.Now()
	late := from.Add(program.EvacuationTime + time.Second)
	for name, test := range map[string]struct {
		arrival Arrival
		fault   *FaultInterval
		want    int
	}{
		"late":                        {Arrival{At: late}, nil, 1},
		"in time":                     {Arrival{At: late.Add(-2 * time.Second)}, nil, 0},
		"after the end":               {Arrival{At: late.Add(10 * time.Second)}, nil, 0},
		"in another failure domain":   {Arrival{At: late, FailureDomain: "other"}, nil, 0},
		"for a former upstream":       {Arrival{At: late, Misdirected: true}, nil, 0},
		"of an entry with a fault":    {Arrival{At: late}, &FaultInterval{Target: "e", Planned: true, From: late.Add(-2 * time.Second), To: late.Add(-time.Second)}, 0},
		"of an entry, a fault before": {Arrival{At: late}, &FaultInterval{Target: "e", From: from.Add(-time.Second), To: from}, 1},
		"with a fault of the store":   {Arrival{At: late}, &FaultInterval{Target: Store, From: from, To: late.Add(-time.Second)}, 0},
		"of an upstream with a fault": {Arrival{At: late}, &FaultInterval{Target: "w", From: from, To: late}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := New()
			a := test.arrival
			a.Upstream, a.Executed = "w", true
			if a.FailureDomain == "" {
				a.FailureDomain = "d"
			}
			h.AddArrival("q", a)
			h.AddRequest(Request{ID: "q", Kind: Check, Entry: "e", Sent: a.At, Ended: a.At.Add(time.Millisecond), Deadline: a.At.Add(time.Second), Outcome: Answered, Key: 1})
			h.evacuations = []*Evacuation{{FailureDomain: "d", From: from, To: late.Add(5 * time.Second)}}
			if test.fault != nil {
				h.faults = append(h.faults, test.fault)
			}
			is.Equal(len(h.Check(100)), test.want)
		})
	}
}
