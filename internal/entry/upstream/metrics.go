package upstream

import (
	"fmt"
	"time"

	core "bramleydeal/internal/core/upstream"
	"bramleydeal/internal/world/service"
	"github.com/VictoriaMetrics/metrics"
)

// series holds the metrics of all upstreams. Those of an upstream are
// unregistered when it is removed. Pools.mu guards it.
type series struct {
	set        *metrics.Set
	byUpstream map[string]*upstreamSeries
}

// upstreamSeries holds the metrics of one upstream.
type upstreamSeries struct {
	labels   string
	attempts map[core.PoolOutcome]*metrics.Counter
	// seconds is the sum of the durations of the answered attempts: to the
	// first event of a stream, or to the complete response otherwise.
	seconds *metrics.FloatCounter
}

// outcomeNames are the values of the outcome label.
var outcomeNames = map[core.PoolOutcome]string{
	core.Answered: "answered", core.UpstreamError: "faulty", core.Rejected: "turned-away", core.Unreachable: "unreachable", core.ConnectTimeout: "silent",
	core.GroupStalled: "group-stalled", core.CallerLeft: "caller-left",
}

func (s *upstreamSeries) attemptsName(o core.PoolOutcome) string {
	return fmt.Sprintf(`bramleydeal_upstream_tries_total{%s,outcome=%q}`, s.labels, outcomeNames[o])
}

func (s *upstreamSeries) secondsName() string {
	return fmt.Sprintf(`bramleydeal_upstream_answered_seconds_total{%s}`, s.labels)
}

// recordAttempt counts an attempt at an upstream and adds its duration if it
// was answered.
func (s *series) recordAttempt(u service.Upstream, o core.PoolOutcome, took time.Duration) {
	m := s.byUpstream[u.ID]
	if m == nil {
		m = &upstreamSeries{
			labels:   fmt.Sprintf(`service=%q,upstream=%q,domain=%q`, u.Service, u.ID, u.FailureDomain),
			attempts: map[core.PoolOutcome]*metrics.Counter{},
		}
		m.seconds = s.set.GetOrCreateFloatCounter(m.secondsName())
		s.byUpstream[u.ID] = m
	}
	if m.attempts[o] == nil {
		m.attempts[o] = s.set.GetOrCreateCounter(m.attemptsName(o))
	}
	m.attempts[o].Inc()
	if o == core.Answered {
		m.seconds.Add(took.Seconds())
	}
}

// prune unregisters the metrics of upstreams that are not in upstreams.
func (s *series) prune(upstreams map[string]service.Upstream) {
	for id, m := range s.byUpstream {
		if _, exists := upstreams[id]; exists {
			continue
		}
		for o := range m.attempts {
			s.set.UnregisterMetric(m.attemptsName(o))
		}
		s.set.UnregisterMetric(m.secondsName())
		delete(s.byUpstream, id)
	}
}
