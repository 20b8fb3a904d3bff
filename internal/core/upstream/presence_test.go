package upstream

import (
	"maps"
	"net/netip"
	"slices"
	"testing"
	"time"

	"bramleydeal/internal/world/service"
	"github.com/matryer/is"
)

var presenceConfig = PresenceConfig{RemovalGrace: 800 * time.Millisecond, RecoveryGrace: 2200 * time.Millisecond}

// byID returns the upstreams by ID.
func byID(upstreams ...service.Upstream) map[string]service.Upstream {
	out := map[string]service.Upstream{}
	for _, u := range upstreams {
		out[u.ID] = u
	}
	return out
}

// usableIDs returns the IDs of the usable upstreams, sorted.
func usableIDs(p *Presence, now time.Time) []string {
	out, _ := p.Usable(now)
	return slices.Sorted(maps.Keys(out))
}

func TestPresence(t *testing.T) {
	four := ungroupedUpstreams(4)
	leaving := four[0]
	leaving.Leaving = true
	reusing := four[3]
	reusing.ID, reusing.Address = "other", four[0].Address
	tests := map[string]struct {
		before, after []service.Upstream
		sinceRecovery time.Duration // negative without an outage
		at            time.Duration // after the second list
		want          []string
	}{
		"removed upstream is usable within the grace": {four, four[1:], -1, 700 * time.Millisecond, []string{"u0", "u1", "u2", "u3"}},
		"removed upstream is gone after the grace":    {four, four[1:], -1, 800 * time.Millisecond, []string{"u1", "u2", "u3"}},
		"removed leaving upstream is gone at once":    {append([]service.Upstream{leaving}, four[1:]...), four[1:], -1, 0, []string{"u1", "u2", "u3"}},
		"lapsed during an outage, within the grace":   {four, four[1:], 0, 2100 * time.Millisecond, []string{"u0", "u1", "u2", "u3"}},
		"lapsed during an outage, after the grace":    {four, four[1:], 0, 2200 * time.Millisecond, []string{"u1", "u2", "u3"}},
		"recovery grace counts from the recovery":     {four, four[1:], 2 * time.Second, 300 * time.Millisecond, []string{"u1", "u2", "u3"}},
		"most removed at once: list is incomplete":    {four, four[3:], -1, 2 * time.Second, []string{"u0", "u1", "u2", "u3"}},
		"reused address belongs to the new upstream":  {four, append([]service.Upstream{reusing}, four[1:]...), -1, 0, []string{"other", "u1", "u2", "u3"}},
		"upstream that is listed again":               {four, four, 0, time.Hour, []string{"u0", "u1", "u2", "u3"}},
		"outage ended long before the removal":        {four, four[1:], time.Hour, 800 * time.Millisecond, []string{"u1", "u2", "u3"}},
		"unchanged list":                              {four, four, -1, 0, []string{"u0", "u1", "u2", "u3"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := NewPresence(presenceConfig)
			p.UpdateList(byID(test.before...), -1, testNow)
			p.UpdateList(byID(test.after...), test.sinceRecovery, testNow)
			is.Equal(usableIDs(p, testNow.Add(test.at)), test.want)
		})
	}
}

func TestPresenceReturnsEndOfGracePeriod(t *testing.T) {
	is := is.New(t)
	p := NewPresence(presenceConfig)
	p.UpdateList(byID(ungroupedUpstreams(4)...), -1, testNow)
	p.UpdateList(byID(ungroupedUpstreams(4)[1:]...), -1, testNow)
	out, next := p.Usable(testNow)
	is.True(out["u0"].Lapsed)
	is.Equal(next, testNow.Add(presenceConfig.RemovalGrace))
	_, next = p.Usable(next)
	is.True(next.IsZero())
}

func TestPresenceKeepsLatestUpstreamPerAddress(t *testing.T) {
	is := is.New(t)
	p := NewPresence(PresenceConfig{RemovalGrace: time.Second, RecoveryGrace: 2 * time.Second})
	now := time.Unix(1000, 0)
	address := netip.MustParseAddrPort("10.0.0.1:80")
	before := service.Upstream{ID: "before", Address: address, StartedAt: now}
	after := service.Upstream{ID: "after", Address: address, StartedAt: now.Add(time.Second)}
	other := service.Upstream{ID: "other", Address: netip.MustParseAddrPort("10.0.0.2:80")}
	p.UpdateList(map[string]service.Upstream{"before": before, "after": after, "other": other}, -1, now)
	usable, _ := p.Usable(now)
	is.Equal(usable, map[string]service.Upstream{"after": after, "other": other})
}

// TestLeavingUpstreamStaysLeavingInOlderList guards against new work for a leaving upstream
// after the store came back from a copy in which it was not leaving yet, also if it was not
// listed in between.
func TestLeavingUpstreamStaysLeavingInOlderList(t *testing.T) {
	is := is.New(t)
	p := NewPresence(PresenceConfig{RemovalGrace: time.Second, RecoveryGrace: 2 * time.Second})
	start := time.Unix(1000, 0)
	ready := service.Upstream{ID: "u1", StartedAt: start}
	leaving := ready
	leaving.Leaving = true
	p.UpdateList(map[string]service.Upstream{"u1": ready}, -1, start)
	p.UpdateList(map[string]service.Upstream{"u1": leaving}, -1, start)
	p.UpdateList(map[string]service.Upstream{}, -1, start.Add(time.Second))
	p.UpdateList(map[string]service.Upstream{"u1": ready}, 0, start.Add(10*time.Second))
	usable, _ := p.Usable(start.Add(10 * time.Second))
	is.True(usable["u1"].Leaving)
	successor := ready
	successor.StartedAt = start.Add(5 * time.Second)
	p.UpdateList(map[string]service.Upstream{"u1": successor}, 0, start.Add(11*time.Second))
	usable, _ = p.Usable(start.Add(11 * time.Second))
	is.True(!usable["u1"].Leaving)
}

// TestGoneUpstreamStaysGoneInOlderList guards against new work for an upstream that left without
// notice, after the store came back from a copy that still lists it. One that lives is used again
// once the store had time to drop it, and a successor at once.
func TestGoneUpstreamStaysGoneInOlderList(t *testing.T) {
	is := is.New(t)
	all := ungroupedUpstreams(3)
	for i := range all {
		all[i].StartedAt = testNow
	}
	p := NewPresence(presenceConfig)
	p.UpdateList(byID(all...), -1, testNow)
	p.UpdateList(byID(all[1:]...), -1, testNow)
	restored := testNow.Add(5 * time.Second)
	is.Equal(usableIDs(p, restored), []string{"u1", "u2"})
	for range 2 { // twice in a row
		p.DoubtGone(restored)
		p.UpdateList(byID(all...), 0, restored)
		out, next := p.Usable(restored)
		is.Equal(slices.Sorted(maps.Keys(out)), []string{"u1", "u2"})
		is.Equal(next, restored.Add(doubtTime))
		p.UpdateList(byID(all[1:]...), 2*time.Second, restored.Add(2*time.Second)) // the store drops it
		is.Equal(usableIDs(p, restored.Add(2*time.Second)), []string{"u1", "u2"})
		restored = restored.Add(3 * time.Second)
	}
	p.DoubtGone(restored)
	successor := all[0]
	successor.StartedAt = restored
	p.UpdateList(byID(successor, all[1], all[2]), 0, restored)
	is.Equal(usableIDs(p, restored), []string{"u0", "u1", "u2"})
	p.UpdateList(byID(all...), 0, restored)
	is.Equal(usableIDs(p, restored.Add(doubtTime)), []string{"u0", "u1", "u2"}) // it lives after all
}

// TestUpstreamThatLapsedWithTheListIsNotDoubted guards against an outage of all upstreams because
// they had lapsed before the store came back from an older copy.
func TestUpstreamThatLapsedWithTheListIsNotDoubted(t *testing.T) {
	is := is.New(t)
	four := ungroupedUpstreams(4)
	for name, since := range map[string]time.Duration{"most at once": -1, "after an outage": 0} {
		p := NewPresence(presenceConfig)
		p.UpdateList(byID(four...), -1, testNow)
		p.UpdateList(byID(four[3:]...), since, testNow)
		p.DoubtGone(testNow.Add(time.Second))
		p.UpdateList(byID(four...), 0, testNow.Add(time.Second))
		if got := usableIDs(p, testNow.Add(time.Second)); len(got) != 4 {
			t.Errorf("%s: %v are usable", name, got)
		}
	}
	is.True(doubtTime < leavingMemory)
}
