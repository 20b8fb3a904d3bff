package group

import (
	"math"
	"time"
)

// Sample holds how often the requests of one rank selected each expert in a short
// interval. Counts has one entry per expert, layer after layer, in multiples of Unit.
type Sample struct {
	Counts []uint8
	Unit   float64
}

// NewSample returns the difference of two readings of counters that only rise, modulo
// 2^32. It returns an empty sample if the counters were reset between the readings, or
// if the readings differ in length.
func NewSample(before, after []uint32) Sample {
	if len(before) != len(after) {
		return Sample{}
	}
	most := uint32(0)
	for i := range after {
		most = max(most, after[i]-before[i])
	}
	if most == 0 || most > math.MaxInt32 {
		return Sample{}
	}
	// One byte per count is precise enough: experts with small counts hardly influence
	// the placement.
	s := Sample{Counts: make([]uint8, len(after)), Unit: float64(most) / math.MaxUint8}
	for i := range after {
		s.Counts[i] = uint8(math.Round(float64(after[i]-before[i]) / s.Unit))
	}
	return s
}

// SumSamples returns the sum of samples of the same length. Samples of another length than
// the first are left out. The sum is as precise as one sample: a share of the largest
// count.
func SumSamples(samples []Sample) Sample {
	if len(samples) == 0 {
		return Sample{}
	}
	sums := make([]float64, len(samples[0].Counts))
	most := 0.0
	for _, s := range samples {
		if len(s.Counts) != len(sums) {
			continue
		}
		for i, n := range s.Counts {
			sums[i] += float64(n) * s.Unit
			most = max(most, sums[i])
		}
	}
	if most == 0 {
		return Sample{}
	}
	out := Sample{Counts: make([]uint8, len(sums)), Unit: most / math.MaxUint8}
	for i, x := range sums {
		out.Counts[i] = uint8(math.Round(x / out.Unit))
	}
	return out
}

// LoadEstimator estimates the loads of the next steps from samples.
type LoadEstimator struct {
	shape Shape
	// pending is the sum of the samples since updatedAt, expected the estimate, nil
	// before the first update with samples.
	pending    Loads
	hasPending bool
	updatedAt  time.Time
	expected   Loads
}

const (
	// loadHalfLife is the interval between two updates after which the previous estimate
	// keeps half of its weight. Few requests run at once, so the counts of a tenth of a
	// second differ from the next ones although the demand has not changed.
	loadHalfLife = 800 * time.Millisecond
	// shiftThreshold is the share of the selections that must fall on other experts
	// than estimated for the previous estimate to be discarded at once.
	shiftThreshold = 0.15
)

// NewLoadEstimator returns an estimator without any samples.
func NewLoadEstimator(s Shape) *LoadEstimator {
	e := &LoadEstimator{shape: s}
	e.resetPending()
	return e
}

// resetPending discards the pending samples.
func (e *LoadEstimator) resetPending() {
	e.pending, e.hasPending = make(Loads, e.shape.Layers), false
	for l := range e.pending {
		e.pending[l] = make([]float64, e.shape.Experts)
	}
}

// Add adds a rank's sample. A sample whose length does not match the shape is ignored.
func (e *LoadEstimator) Add(s Sample) {
	if len(s.Counts) != e.shape.Layers*e.shape.Experts {
		return
	}
	e.hasPending = true
	for i, n := range s.Counts {
		e.pending[i/e.shape.Experts][i%e.shape.Experts] += float64(n) * s.Unit
	}
}

// Update updates the estimate at now with the samples added since the last call. The
// estimate stays as it is without any. It reports whether the loads have shifted, so that
// the estimate from before was discarded.
func (e *LoadEstimator) Update(now time.Time) (shifted bool) {
	age := now.Sub(e.updatedAt)
	e.updatedAt = now
	if !e.hasPending {
		return false
	}
	shifted = e.expected != nil && loadDistance(e.expected, e.pending) > shiftThreshold
	if e.expected == nil || shifted {
		e.expected = e.pending
	} else {
		e.expected = movingAverage(e.expected, e.pending, float64(age)/float64(age+loadHalfLife))
	}
	e.resetPending()
	return shifted
}

// Expected returns the estimated loads, and false before there is an estimate.
func (e *LoadEstimator) Expected() (Loads, bool) { return e.expected, e.expected != nil }

// loadDistance returns the share of the selections that fall on other experts in a
// than in b, between 0 and 1, as the mean over the layers. Layers without selections
// count as equal.
func loadDistance(a, b Loads) float64 {
	sum := 0.0
	for l := range a {
		x, y := sumLoads(a[l]), sumLoads(b[l])
		if x == 0 || y == 0 {
			continue
		}
		for e := range a[l] {
			sum += math.Abs(a[l][e]/x-b[l][e]/y) / 2
		}
	}
	return sum / float64(max(len(a), 1))
}

// sumLoads returns the sum of the loads of one layer.
func sumLoads(loads []float64) float64 {
	sum := 0.0
	for _, x := range loads {
		sum += x
	}
	return sum
}
