package group

import (
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var replanShape = Shape{Ranks: 8, Experts: 64, Layers: 6, Slots: 11}

var replanConfig = ReplanConfig{MaxFetches: 4, MaxFetchesPerLayer: 4, MinSaving: 0.08}

// roundRobinMap returns the map that a group starts with: the experts in round-robin
// order, without replicas, and the remaining slots empty.
func roundRobinMap(s Shape) Map {
	byRank := make([][][]int, s.Ranks)
	for r := range byRank {
		byRank[r] = make([][]int, s.Layers)
		for l := range byRank[r] {
			for e := r; e < s.Experts; e += s.Ranks {
				byRank[r][l] = append(byRank[r][l], e)
			}
		}
	}
	return MapFromRanks(0, byRank, s)
}

// skewedLoads returns loads with a few heavily loaded experts, which differ between the
// layers.
func skewedLoads(s Shape, seed uint64) Loads {
	random := rand.New(rand.NewPCG(seed, seed))
	out := make(Loads, s.Layers)
	for l := range out {
		out[l] = make([]float64, s.Experts)
		for position, e := range random.Perm(s.Experts) {
			out[l][e] = 1e6 * math.Pow(float64(position+1), -1.6)
		}
	}
	return out
}

// checkMap fails the test if a rank holds an expert twice or an expert has no rank: an
// engine refuses such a map.
func checkMap(t interface{ Fatalf(string, ...any) }, m Map, s Shape) {
	for l, layer := range m.Layers {
		count := make([]int, s.Experts)
		for r := range s.Ranks {
			held := slices.DeleteFunc(slices.Clone(layer[r*s.Slots:(r+1)*s.Slots]), func(e int) bool { return e == EmptySlot })
			slices.Sort(held)
			if len(slices.Compact(slices.Clone(held))) != len(held) {
				t.Fatalf("layer %d: rank %d holds an expert twice: %v", l, r, held)
			}
			for _, e := range held {
				count[e]++
			}
		}
		if i := slices.Index(count, 0); i >= 0 {
			t.Fatalf("layer %d: no rank holds expert %d", l, i)
		}
	}
}

// mostFetches returns the largest number of experts that one rank fetches for a change,
// over all layers and in a single layer.
func mostFetches(from, to Map, s Shape) (all, layer int) {
	total := make([]int, s.Ranks)
	for l := range from.Layers {
		for r, n := range fetchesPerRank(from.Layers[l], to.Layers[l], s) {
			total[r] += n
			layer = max(layer, n)
		}
	}
	return slices.Max(total), layer
}

func TestReplanRemovesSkewInFewChanges(t *testing.T) {
	is := is.New(t)
	loads := skewedLoads(replanShape, 1)
	m := roundRobinMap(replanShape)
	before := Skew(m, loads, replanShape)
	is.True(before > 3)
	for change := 1; ; change++ {
		next, changed := Replan(m, loads, replanShape, replanConfig)
		if !changed {
			break
		}
		checkMap(t, next, replanShape)
		all, layer := mostFetches(m, next, replanShape)
		is.True(all <= replanConfig.MaxFetches)
		is.True(layer <= replanConfig.MaxFetchesPerLayer)
		is.True(Skew(next, loads, replanShape) < Skew(m, loads, replanShape))
		m = next
		is.True(change < 10)
	}
	is.True(Skew(m, loads, replanShape) < 1.25)
}

func TestReplanTakesTheLargestSavingsFirst(t *testing.T) {
	is := is.New(t)
	loads := skewedLoads(replanShape, 2)
	next, changed := Replan(roundRobinMap(replanShape), loads, replanShape, ReplanConfig{MaxFetches: 6, MaxFetchesPerLayer: 4, MinSaving: 0.08})
	is.True(changed)
	// One fetch per rank and layer already has a large effect: the first change removes
	// more than half of the excess step time.
	before, after := Skew(roundRobinMap(replanShape), loads, replanShape), Skew(next, loads, replanShape)
	is.True(before-after > (before-1)/2)
}

// TestReplanFollowsAShiftOfDemandWithFewFetches answers the pattern expert-shift: from one
// moment to the next other experts are in demand, and a rank has time to fetch one or two
// of them before many requests are late.
func TestReplanFollowsAShiftOfDemandWithFewFetches(t *testing.T) {
	for name, c := range map[string]struct {
		shape      Shape
		maxFetches int
		// remaining is the largest share of the skew above 1 that may be left after one
		// change, fetches the most experts that all ranks together may fetch for it.
		remaining float64
		fetches   int
	}{
		"12 ranks, one expert each":   {Shape{Ranks: 12, Experts: 96, Layers: 3, Slots: 11}, 1, 0.5, 12},
		"24 ranks, two experts each":  {Shape{Ranks: 24, Experts: 96, Layers: 16, Slots: 5}, 2, 0.5, 48},
		"96 ranks, five experts each": {Shape{Ranks: 96, Experts: 192, Layers: 16, Slots: 3}, 5, 0.5, 480},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			config := ReplanConfig{MaxFetches: 1000, MaxFetchesPerLayer: 1000, MinSaving: 0.01}
			m, _ := Replan(roundRobinMap(c.shape), skewedLoads(c.shape, 1), c.shape, config)
			loads := skewedLoads(c.shape, 2)
			before := Skew(m, loads, c.shape)
			is.True(before > 2)
			config = ReplanConfig{MaxFetches: c.maxFetches, MaxFetchesPerLayer: 2, MinSaving: 0.01}
			next, changed := Replan(m, loads, c.shape, config)
			is.True(changed)
			checkMap(t, next, c.shape)
			after := Skew(next, loads, c.shape)
			t.Logf("skew %.2f, then %.2f with %d fetches", before, after, m.Moves(next))
			is.True(after-1 < c.remaining*(before-1))
			is.True(m.Moves(next) <= c.fetches)
		})
	}
}

func TestReplanKeepsTheMapForEvenLoads(t *testing.T) {
	is := is.New(t)
	loads := make(Loads, replanShape.Layers)
	for l := range loads {
		loads[l] = slices.Repeat([]float64{1000}, replanShape.Experts)
	}
	_, changed := Replan(roundRobinMap(replanShape), loads, replanShape, replanConfig)
	is.True(!changed)
	_, changed = Replan(roundRobinMap(replanShape), make(Loads, replanShape.Layers), replanShape, replanConfig)
	is.True(!changed) // no loads yet
}

func TestReplanFetchesLessWithALargerMinSaving(t *testing.T) {
	is := is.New(t)
	loads := skewedLoads(replanShape, 3)
	m := roundRobinMap(replanShape)
	moves := func(minSaving float64) int {
		config := replanConfig
		config.MinSaving, config.MaxFetches = minSaving, 100
		next, changed := Replan(m, loads, replanShape, config)
		if !changed {
			return 0
		}
		return m.Moves(next)
	}
	is.True(moves(0.05) > moves(0.5))
	is.Equal(moves(100), 0)
}

// TestReplannedMapsAreValid checks the maps and the fetches of changes under random loads
// for groups of many shapes.
func TestReplannedMapsAreValid(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ranks := rapid.SampledFrom([]int{2, 3, 8, 32}).Draw(t, "ranks")
		s := Shape{Ranks: ranks, Layers: rapid.IntRange(1, 3).Draw(t, "layers"), Experts: ranks * rapid.IntRange(1, 6).Draw(t, "experts")}
		s.Slots = s.Experts/ranks + rapid.IntRange(0, 3).Draw(t, "empty slots")
		config := ReplanConfig{
			MaxFetches: rapid.IntRange(1, 8).Draw(t, "fetches"), MaxFetchesPerLayer: rapid.IntRange(1, 4).Draw(t, "fetches per layer"),
			MinSaving: 0.05,
		}
		m := roundRobinMap(s)
		for range 4 {
			loads := make(Loads, s.Layers)
			for l := range loads {
				for range s.Experts {
					loads[l] = append(loads[l], float64(rapid.IntRange(0, 1000).Draw(t, "load")))
				}
			}
			next, changed := Replan(m, loads, s, config)
			if !changed {
				continue
			}
			checkMap(t, next, s)
			if all, layer := mostFetches(m, next, s); all > config.MaxFetches || layer > config.MaxFetchesPerLayer {
				t.Fatalf("a rank fetches %d experts, %d in one layer", all, layer)
			}
			m = next
		}
	})
}

func TestSampleIsTheDifferenceOfTwoCounts(t *testing.T) {
	tests := map[string]struct {
		before, after []uint32
		want          []float64
	}{
		"rising counts":                   {[]uint32{10, 10, 10}, []uint32{10, 265, 20}, []float64{0, 255, 10}},
		"counts that overflow their type": {[]uint32{math.MaxUint32 - 9}, []uint32{90}, []float64{100}},
		"counts that were reset":          {[]uint32{5000, 5000}, []uint32{10, 6000}, nil},
		"nothing selected":                {[]uint32{7}, []uint32{7}, nil},
		"counts of another length":        {[]uint32{7}, []uint32{7, 8}, nil},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := NewSample(test.before, test.after)
			var got []float64
			for _, n := range s.Counts {
				got = append(got, math.Round(float64(n)*s.Unit))
			}
			is.Equal(got, test.want)
		})
	}
}

func TestLoadEstimatorFollowsShiftsAtOnceAndDriftsSlowly(t *testing.T) {
	is := is.New(t)
	s := Shape{Ranks: 2, Experts: 2, Layers: 1, Slots: 2}
	estimator := NewLoadEstimator(s)
	now := time.Unix(1000, 0)
	step := func(first, second uint8) Loads {
		now = now.Add(150 * time.Millisecond)
		for range s.Ranks {
			estimator.Add(Sample{Counts: []uint8{first, second}, Unit: 1})
		}
		estimator.Update(now)
		loads, ok := estimator.Expected()
		is.True(ok)
		return loads
	}
	_, ok := estimator.Expected()
	is.True(!ok)
	for range 10 {
		step(100, 0)
	}
	is.Equal(step(0, 100)[0], []float64{0, 200}) // a shift discards the earlier estimate
	drifted := step(5, 95)[0]
	is.True(drifted[0] > 0 && drifted[0] < 10) // a drift does not
}

func TestLoadEstimatorKeepsItsEstimateWithoutSamples(t *testing.T) {
	is := is.New(t)
	estimator := NewLoadEstimator(Shape{Ranks: 1, Experts: 2, Layers: 1, Slots: 2})
	estimator.Add(Sample{Counts: []uint8{1, 2}, Unit: 10})
	estimator.Add(Sample{Counts: []uint8{1, 2, 3}, Unit: 10}) // ignored: does not match the shape
	estimator.Update(time.Unix(1000, 0))
	estimator.Update(time.Unix(1001, 0))
	loads, ok := estimator.Expected()
	is.True(ok)
	is.Equal(loads[0], []float64{10, 20})
}
