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

var presenceRules = PresenceConfig{RemovalGrace: 800 * time.Millisecond, RecoveryGrace: 2200 * time.Millisecond}

// list makes a list of upstreams by ID.
func list(upstreams ...service.Upstream) map[string]service.Upstream {
	out := map[string]service.Upstream{}
	for _, u := range upstreams {
		out[u.ID] = u
	}
	return out
}

func usable(p *Presence, now time.Time) []string {
	out, _ := p.Usable(now)
	return slices.Sorted(maps.Keys(out))
}

func TestPresence(t *testing.T) {
	four := plain(4)
	leaving := four[0]
	leaving.Leaving = true
	reused := four[3]
	reused.ID, reused.Address = "other", four[0].Address
	tests := map[string]struct {
		before, after []service.Upstream
		away          time.Duration
		at            time.Duration
		want          []string
	}{
		"a removed upstream lingers for a short time":       {four, four[1:], -1, 700 * time.Millisecond, []string{"u0", "u1", "u2", "u3"}},
		"a removed upstream is gone after that":             {four, four[1:], -1, 800 * time.Millisecond, []string{"u1", "u2", "u3"}},
		"a leaving upstream that is removed is gone":        {append([]service.Upstream{leaving}, four[1:]...), four[1:], -1, 0, []string{"u1", "u2", "u3"}},
		"entries that lapse while the store is away stay":   {four, four[1:], 0, 2100 * time.Millisecond, []string{"u0", "u1", "u2", "u3"}},
		"lapsed entries are gone two seconds after it":      {four, four[1:], 0, 2200 * time.Millisecond, []string{"u1", "u2", "u3"}},
		"the time since the return counts":                  {four, four[1:], 2 * time.Second, 300 * time.Millisecond, []string{"u1", "u2", "u3"}},
		"many that go at once were lost by the list":        {four, four[3:], -1, 2 * time.Second, []string{"u0", "u1", "u2", "u3"}},
		"an address used again belongs to its new upstream": {four, append([]service.Upstream{reused}, four[1:]...), -1, 0, []string{"other", "u1", "u2", "u3"}},
		"an entry that comes back is no longer lapsed":      {four, four, 0, time.Hour, []string{"u0", "u1", "u2", "u3"}},
		"a store that was away long ago explains nothing":   {four, four[1:], time.Hour, 800 * time.Millisecond, []string{"u1", "u2", "u3"}},
		"a list without any change changes nothing at all":  {four, four, -1, 0, []string{"u0", "u1", "u2", "u3"}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := NewPresence(presenceRules)
			p.UpdateList(list(test.before...), -1, testNow)
			p.UpdateList(list(test.after...), test.away, testNow)
			is.Equal(usable(p, testNow.Add(test.at)), test.want)
		})
	}
}

func TestPresenceTellsWhenALapseEnds(t *testing.T) {
	is := is.New(t)
	p := NewPresence(presenceRules)
	p.UpdateList(list(plain(4)...), -1, testNow)
	p.UpdateList(list(plain(4)[1:]...), -1, testNow)
	out, next := p.Usable(testNow)
	is.True(out["u0"].Lapsed)
	is.Equal(next, testNow.Add(presenceRules.RemovalGrace))
	_, next = p.Usable(next)
	is.True(next.IsZero())
}

func TestTheLatestUpstreamAtAnAddressCounts(t *testing.T) {
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
