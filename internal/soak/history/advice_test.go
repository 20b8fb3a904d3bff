package history

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestCheckReportsIgnoredAdvice guards against requests to an upstream against what it said
// that Check does not report, and against reports of requests that are allowed.
func TestCheckReportsIgnoredAdvice(t *testing.T) {
	evenly := func(from, to float64, n int) (out []float64) {
		for i := range n {
			out = append(out, from+(to-from)*float64(i)/float64(n))
		}
		return out
	}
	for name, c := range map[string]struct {
		advice Advice
		// sent are the times at which requests are sent; each arrives after 0.1 s and
		// ends after 0.2 s.
		sent      []float64
		restarted bool
		guarantee string
	}{
		"leaving, request after the drain time":  {Advice{Leaving: true, From: at(9)}, []float64{10, 13}, false, "a leaving upstream gets no new work"},
		"leaving, request within the drain time": {Advice{Leaving: true, From: at(9)}, []float64{10, 12}, false, ""},
		"leaving, entry restarted since":         {Advice{Leaving: true, From: at(9)}, []float64{10, 13}, true, ""},
		"over the limit":                         {Advice{Limit: 1, From: at(5), To: at(30)}, append([]float64{6}, evenly(10, 14, 12)...), false, "the limit of an upstream"},
		"within the limit and its slack":         {Advice{Limit: 1, From: at(5), To: at(30)}, append([]float64{6}, evenly(10, 14, 11)...), false, ""},
		"before the limit has settled":           {Advice{Limit: 1, From: at(5), To: at(30)}, evenly(5, 7.8, 30), false, ""},
		"over the limit after it was lifted":     {Advice{Limit: 1, From: at(5), To: at(9)}, append([]float64{6}, evenly(10, 14, 30)...), false, ""},
		"requests while none are wanted":         {Advice{RetryAfter: 3 * time.Second, From: at(9), To: at(10.5)}, []float64{10, 11, 11.5, 12}, false, "an upstream that wants no requests gets none"},
		"two requests while none are wanted":     {Advice{RetryAfter: 3 * time.Second, From: at(9), To: at(10.5)}, []float64{10, 11, 11.5}, false, ""},
		"requests after the time to come back":   {Advice{RetryAfter: 3 * time.Second, From: at(9), To: at(10.5)}, []float64{10, 13.1, 13.2, 13.3}, false, ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h := New()
			c.advice.Upstream = "w"
			h.advice = []*Advice{&c.advice}
			if c.restarted {
				h.faults = []*FaultInterval{{Target: "e", From: at(11), To: at(12)}}
			}
			for i, sent := range c.sent {
				r := request(sent, sent+0.2, Check, Answered)
				r.ID = fmt.Sprint("q", i)
				h.AddRequest(r)
				h.AddArrival(r.ID, Arrival{Upstream: "w", At: at(sent + 0.1), Executed: true})
			}
			found := ""
			for _, v := range h.Check(100) {
				found = v.Guarantee
			}
			is.Equal(found, c.guarantee)
		})
	}
}
