package upstream

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// outagesOf returns Outages that have seen outages with the given lengths.
func outagesOf(evidence OutageEvidence, lengths ...time.Duration) (*Outages, time.Time) {
	o, now := &Outages{}, testNow
	for _, l := range lengths {
		o.Record(Stalled, evidence, now)
		now = now.Add(l)
		o.Record(Available, StallSeen, now)
		now = now.Add(time.Minute)
	}
	return o, now
}

// TestRemainingTimeOfOutageIsLearnt guards against estimates that ignore how long outages
// with the same evidence have lasted, and against trust in too few of them.
func TestRemainingTimeOfOutageIsLearnt(t *testing.T) {
	const s = time.Second
	tests := map[string]struct {
		lengths  []time.Duration
		evidence OutageEvidence
		lasted   time.Duration
		want     time.Duration
	}{
		"none known, just begun":      {nil, DomainUnreachable, 0, minOutageEstimate},
		"none known":                  {nil, DomainUnreachable, 5 * s, 5 * s},
		"too few known":               {[]time.Duration{6 * s, 6 * s}, DomainUnreachable, 5 * s, 5 * s},
		"the longest counts":          {[]time.Duration{4 * s, 7 * s, 5 * s}, DomainUnreachable, s, 6 * s},
		"near the end of the longest": {[]time.Duration{4 * s, 7 * s, 5 * s}, DomainUnreachable, 6 * s, s},
		"longer than all known":       {[]time.Duration{4 * s, 7 * s, 5 * s}, DomainUnreachable, 9 * s, 9 * s},
		"other evidence":              {[]time.Duration{4 * s, 7 * s, 5 * s}, ListedBroken, s, minOutageEstimate},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			o, now := outagesOf(DomainUnreachable, test.lengths...)
			is.Equal(o.Estimate(now), time.Duration(0)) // no outage
			o.Record(Stalled, StallSeen, now)
			o.Record(Stalled, test.evidence, now)
			is.Equal(o.Estimate(now.Add(test.lasted)), test.want)
		})
	}
}

// TestReturnsKeepTheOrderOfRefusals guards against callers that are told to return together
// when the end of the outage is near, and against one that returns before a caller that was
// refused earlier.
func TestReturnsKeepTheOrderOfRefusals(t *testing.T) {
	is := is.New(t)
	o, now := outagesOf(ListedBroken, 6*time.Second, 6*time.Second, 6*time.Second)
	for range 200 { // 20 answers a second for ten seconds
		o.RecordAnswer(now)
		now = now.Add(50 * time.Millisecond)
	}
	o.Record(Stalled, ListedBroken, now)
	now = now.Add(5 * time.Second)
	var last time.Time
	for range 20 { // refused within a tenth of a second
		at := now.Add(o.ReturnAfter(0, 3*time.Second, now))
		is.True(!at.Before(now.Add(time.Second)))
		// Half of the rate of answers is left for new requests.
		is.True(last.IsZero() || at.Sub(last) >= 95*time.Millisecond || at.Equal(now.Add(3*time.Second)))
		last = at
		now = now.Add(5 * time.Millisecond)
	}
	is.Equal(o.ReturnAfter(0, 2*time.Second, now), 2*time.Second)
	is.Equal(o.ReturnAfter(1500*time.Millisecond, 3*time.Second, now.Add(time.Hour)), 3*time.Second)
}

// TestFirstEventEndsStall guards against a group that gets no requests until the whole stream
// of its probe has arrived, and against taking an event of a request from before the stall
// for a sign that it is over.
func TestFirstEventEndsStall(t *testing.T) {
	is := is.New(t)
	p := newTestPool(groupedUpstreams(2)[:2])
	before := testNow.Add(time.Second)
	u, ok := p.Choose(PoolQuery{}, before)
	is.True(ok)
	stalled := before.Add(time.Second)
	failed, _ := p.Choose(PoolQuery{}, stalled)
	p.RecordOutcome(failed.ID, GroupStalled, 0, stalled)
	is.Equal(p.Availability(stalled), Stalled)
	is.True(!p.RecordFirstEvent(u.ID, before, stalled.Add(time.Millisecond)))
	probeAt := stalled.Add(groupProbeInterval)
	is.Equal(p.Availability(probeAt), ProbeDue)
	probe, ok := p.Choose(PoolQuery{}, probeAt)
	is.True(ok)
	is.Equal(p.Availability(probeAt), Stalled) // one probe at a time
	event := probeAt.Add(200 * time.Millisecond)
	is.True(p.RecordFirstEvent(probe.ID, probeAt, event))
	is.Equal(p.Availability(event), Available)
	is.Equal(p.Outages().Lasted(event), time.Duration(0))
}

// TestNewsOfFirstEventEndsStallAtPeers guards against entries that find out by a doomed request
// each that a group runs again, and against news from before a stall that ends it.
func TestNewsOfFirstEventEndsStallAtPeers(t *testing.T) {
	is := is.New(t)
	teller, peer := newTestPool(groupedUpstreams(2)[:2]), newTestPool(groupedUpstreams(2)[:2])
	for _, p := range []*Pool{teller, peer} {
		u, _ := p.Choose(PoolQuery{}, testNow)
		p.RecordOutcome(u.ID, GroupStalled, 0, testNow)
	}
	probeAt := testNow.Add(groupProbeInterval)
	probe, _ := teller.Choose(PoolQuery{}, probeAt)
	event := probeAt.Add(200 * time.Millisecond)
	is.True(teller.RecordFirstEvent(probe.ID, probeAt, event))
	news := teller.News(event)
	is.Equal(len(news), 1)
	is.Equal(peer.RecordNews(news[0], event), []AdviceChange{Reopened})
	is.Equal(peer.Availability(event), Available)
	again, _ := peer.Choose(PoolQuery{}, event)
	peer.RecordOutcome(again.ID, GroupStalled, 0, event.Add(time.Second))
	is.Equal(len(peer.RecordNews(news[0], event.Add(time.Second))), 0)
	is.Equal(peer.Availability(event.Add(time.Second)), Stalled)
}
