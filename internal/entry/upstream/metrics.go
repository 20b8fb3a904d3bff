package upstream

import (
	"fmt"
	"time"

	core "bramleydeal/internal/core/upstream"
	"bramleydeal/internal/world/service"
	"github.com/VictoriaMetrics/metrics"
)

// series are the numbers of each upstream, which go with it. The pools' lock
// guards them.
type series struct {
	set        *metrics.Set
	byUpstream map[string]*upstreamSeries
}

// upstreamSeries are the numbers of one upstream.
type upstreamSeries struct {
	labels string
	tries  map[core.Outcome]*metrics.Counter
	// seconds sums the times of the answered tries, to the head of a stream's
	// answer or the whole of another.
	seconds *metrics.FloatCounter
}

// outcomeNames are the outcomes in the metrics.
var outcomeNames = map[core.Outcome]string{
	core.Answered: "answered", core.UpstreamError: "faulty", core.Rejected: "turned-away", core.Unreachable: "unreachable", core.ConnectTimeout: "silent",
	core.GroupStalled: "group-stalled", core.CallerLeft: "caller-left",
}

func (s *upstreamSeries) triesName(o core.Outcome) string {
	return fmt.Sprintf(`bramleydeal_upstream_tries_total{%s,outcome=%q}`, s.labels, outcomeNames[o])
}

func (s *upstreamSeries) secondsName() string {
	return fmt.Sprintf(`bramleydeal_upstream_answered_seconds_total{%s}`, s.labels)
}

// ended counts a try at an upstream.
func (s *series) ended(u service.Upstream, o core.Outcome, took time.Duration) {
	of := s.byUpstream[u.ID]
	if of == nil {
		of = &upstreamSeries{
			labels: fmt.Sprintf(`service=%q,upstream=%q,domain=%q`, u.Service, u.ID, u.FailureDomain),
			tries:  map[core.Outcome]*metrics.Counter{},
		}
		of.seconds = s.set.GetOrCreateFloatCounter(of.secondsName())
		s.byUpstream[u.ID] = of
	}
	if of.tries[o] == nil {
		of.tries[o] = s.set.GetOrCreateCounter(of.triesName(o))
	}
	of.tries[o].Inc()
	if o == core.Answered {
		of.seconds.Add(took.Seconds())
	}
}

// keep removes the numbers of upstreams that are no longer there.
func (s *series) keep(upstreams map[string]service.Upstream) {
	for id, of := range s.byUpstream {
		if _, there := upstreams[id]; there {
			continue
		}
		for o := range of.tries {
			s.set.UnregisterMetric(of.triesName(o))
		}
		s.set.UnregisterMetric(of.secondsName())
		delete(s.byUpstream, id)
	}
}
