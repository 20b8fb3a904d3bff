package upstream

import (
	"maps"
	"slices"
	"testing"
	"time"

	"bramleydeal/internal/world/fleet"
	"github.com/matryer/is"
)

// regionsOf are the regions of the failure domains d0 to d3 of ungroupedUpstreams(5). The
// region of d4 is not known.
var regionsOf = map[fleet.FailureDomain]fleet.Region{"d0": "north", "d1": "north", "d2": "south", "d3": "south"}

// newRegionPool returns a pool of five upstreams in failure domain d0.
func newRegionPool() *Pool {
	p := newTestPool(ungroupedUpstreams(5))
	withRegions(p, regionsOf)
	return p
}

func withRegions(p *Pool, regions map[fleet.FailureDomain]fleet.Region) {
	config := poolConfig
	config.Regions = regions
	p.Configure(ungroupedUpstreams(5), config, testNow)
}

// TestRequestsStayInTheirRegions guards against requests that leave the regions of their route
// or account when those are loaded more than others: ten times as many requests are sent as
// the upstreams have slots.
func TestRequestsStayInTheirRegions(t *testing.T) {
	north, south, both := []fleet.Region{"north"}, []fleet.Region{"south"}, []fleet.Region{"north", "south"}
	for name, test := range map[string]struct {
		regions [][]fleet.Region
		want    []string
	}{
		"none required":            {nil, []string{"u0", "u1", "u2", "u3", "u4"}},
		"empty sets":               {[][]fleet.Region{nil, {}}, []string{"u0", "u1", "u2", "u3", "u4"}},
		"of the route":             {[][]fleet.Region{south, nil}, []string{"u2", "u3"}},
		"of the account":           {[][]fleet.Region{nil, north}, []string{"u0", "u1"}},
		"both bind":                {[][]fleet.Region{both, south}, []string{"u2", "u3"}},
		"unknown region":           {[][]fleet.Region{both}, []string{"u0", "u1", "u2", "u3"}},
		"nothing in common":        {[][]fleet.Region{north, south}, nil},
		"a region without domains": {[][]fleet.Region{{"east"}}, nil},
		"the unknown region named": {[][]fleet.Region{{""}}, nil},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			p := newRegionPool()
			seen := map[string]bool{}
			for range 300 {
				if id := chooseID(p, PoolQuery{Regions: test.regions}, testNow); id != "" {
					seen[id] = true
				}
			}
			is.Equal(slices.Sorted(maps.Keys(seen)), test.want)
			is.Equal(p.ServesRegions(test.regions), test.want != nil)
		})
	}
}

// TestRetryStaysInItsRegions guards against retries in another region after the upstreams of
// the required one have failed, are ejected or want no requests.
func TestRetryStaysInItsRegions(t *testing.T) {
	is := is.New(t)
	p := newRegionPool()
	q := PoolQuery{Regions: [][]fleet.Region{{"south"}}}
	for range 2 {
		id := chooseID(p, q, testNow)
		p.RecordOutcome(id, Unreachable, 0, testNow)
		q.Exclude = append(q.Exclude, id)
	}
	is.Equal(chooseID(p, q, testNow), "")
	is.True(p.ServesRegions(q.Regions)) // they are there, though they failed
	_, held := p.HeldUntil(q, testNow)
	is.True(!held) // no upstream elsewhere counts as one to wait for
}

// TestMovedRegionBindsTheNextChoice guards against choices by the regions of an earlier
// configuration.
func TestMovedRegionBindsTheNextChoice(t *testing.T) {
	is := is.New(t)
	p := newRegionPool()
	q := PoolQuery{Regions: [][]fleet.Region{{"south"}}}
	withRegions(p, map[fleet.FailureDomain]fleet.Region{"d0": "south", "d1": "north", "d2": "north", "d3": "north"})
	for range 20 {
		is.Equal(chooseID(p, q, testNow), "u0")
	}
	withRegions(p, nil)
	is.Equal(chooseID(p, q, testNow), "")
	is.True(!p.ServesRegions(q.Regions))
}

// TestAlternativeIsInTheRegions guards against streams that are taken from a group that stands
// still although no other upstream may continue them.
func TestAlternativeIsInTheRegions(t *testing.T) {
	is := is.New(t)
	p := NewPool(1, "e0", "d0", poolConfig)
	config := poolConfig
	config.Regions = regionsOf
	p.Configure(groupedUpstreams(2), config, testNow) // g0 in the north, g1 in the south
	later := testNow.Add(time.Second)
	is.True(p.Alternative("g0", later))
	is.True(!p.Alternative("g0", later, []fleet.Region{"north"}))
	is.True(p.Alternative("g0", later, []fleet.Region{"south"}))
}
