package upstream

import (
	"testing"
	"time"

	"bramleydeal/internal/world/service"
	"github.com/matryer/is"
)

// TestLimitIsLiftedOnlyByLaterRequest guards against a response that was sent before the
// upstream named its limit and arrives after it.
func TestLimitIsLiftedOnlyByLaterRequest(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	p := NewPool(1, "e0", "z1", poolConfig)
	u := service.Upstream{ID: "u1", StartedAt: start}
	p.Configure([]service.Upstream{u}, poolConfig, start)
	record := func(a Advice, sent, now time.Duration) AdviceChange {
		return p.RecordAdvice(u.Incarnation(), a, start.Add(sent), start.Add(now))
	}
	limit := func(perSecond float64) Advice { return Advice{Limited: true, Limit: perSecond} }
	is.Equal(record(Advice{}, 0, time.Second), AdviceUnchanged)
	is.Equal(record(limit(2), time.Second, 2*time.Second), LimitNamed)
	is.Equal(record(limit(2), time.Second, 3*time.Second), AdviceUnchanged)
	is.Equal(record(limit(1.5), time.Second, 4*time.Second), LimitChanged)
	is.Equal(record(Advice{}, 3*time.Second, 5*time.Second), AdviceUnchanged) // sent before the limit was named last
	is.Equal(record(Advice{Malformed: "x"}, 5*time.Second, 6*time.Second), LimitMalformed)
	is.Equal(*p.State(start.Add(6 * time.Second))[0].Limit, 1.5)
	is.Equal(record(Advice{}, 5*time.Second, 6*time.Second), LimitLifted)
	is.Equal(p.State(start.Add(6 * time.Second))[0].Limit, nil)
}

// TestAdviceOfFormerIncarnationIsIgnored guards against a late response of an upstream
// whose successor has the same ID.
func TestAdviceOfFormerIncarnationIsIgnored(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	p := NewPool(1, "e0", "z1", poolConfig)
	former := service.Upstream{ID: "u1", StartedAt: start}
	p.Configure([]service.Upstream{former}, poolConfig, start)
	successor := former
	successor.StartedAt = start.Add(time.Second)
	p.Configure([]service.Upstream{successor}, poolConfig, start)
	is.Equal(p.RecordAdvice(former.Incarnation(), Advice{Limited: true, Limit: 1}, start, start), AdviceUnchanged)
	is.Equal(p.State(start)[0].Limit, nil)
}
