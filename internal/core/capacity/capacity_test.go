package capacity_test

import (
	"fmt"
	"testing"
	"time"

	"bramleydeal/internal/core/capacity"
	"bramleydeal/internal/world/service"
	"github.com/matryer/is"
)

// engine is an engine of a group with experts: a pass of six steps, each of which takes 6 ms
// and 0.5 ms more for each running request.
var engine = &service.Engine{
	Slots: 10, StepTime: 6 * time.Millisecond, SequenceTime: 500 * time.Microsecond, StepsPerPass: 6,
	Experts: &service.Experts{WorkShare: 0.8},
}

func ExampleModel() {
	m := capacity.NewModel(engine)
	fmt.Println(m.PassTime(10, 1), m.PassTime(10, 2))
	fmt.Printf("%.1f\n", m.Running(90*time.Millisecond, 2))
	// Output:
	// 66ms 90ms
	// 10.0
}

// TestSkewFollowsFromThePass checks that the skew of a pass, and the requests that may run,
// are the inverses of the predicted time.
func TestSkewFollowsFromThePass(t *testing.T) {
	is := is.New(t)
	m := capacity.NewModel(engine)
	for _, running := range []float64{1, 4, 9.5} {
		for _, skew := range []float64{1, 1.7, 3} {
			pass := m.PassTime(running, skew)
			is.True(abs(m.Skew(pass, running)-skew) < 0.001)
			is.True(abs(m.Running(pass, skew)-running) < 0.001)
		}
	}
	is.Equal(m.Skew(0, 5), 1.0)                      // a pass that is shorter than possible has no skew
	is.Equal(m.Running(20*time.Millisecond, 1), 0.0) // less than the fixed part of a pass
}

// TestEfficientLoadDoesItsShare checks that engines do the given share of their work with the
// load that is called efficient, and that this is less the more a request costs.
func TestEfficientLoadDoesItsShare(t *testing.T) {
	is := is.New(t)
	m := capacity.NewModel(engine)
	work := func(running, skew float64) float64 { return running / m.PassTime(running, skew).Seconds() }
	for _, skew := range []float64{1, 2, 4} {
		running := m.Efficient(engine.Slots, 0.9, skew)
		is.True(abs(work(running, skew)/work(float64(engine.Slots), skew)-0.9) < 0.001)
		is.True(running < m.Efficient(engine.Slots, 0.9, skew-0.5) || skew == 1)
	}
}

// TestPromptsCountForThePass checks that the reading of prompts is part of a pass.
func TestPromptsCountForThePass(t *testing.T) {
	is := is.New(t)
	e := *engine
	e.PrefillRate, e.MeanPromptTokens, e.MeanAnswerTokens = 60_000, 900, 150
	is.True(capacity.NewModel(&e).PassTime(10, 1) > capacity.NewModel(engine).PassTime(10, 1))
}

// TestUnknownEngineIsNotPredicted checks that a service without engines, or with engines that
// the configuration does not describe, has no prediction.
func TestUnknownEngineIsNotPredicted(t *testing.T) {
	is := is.New(t)
	for _, e := range []*service.Engine{nil, {}, {Slots: 10}} {
		m := capacity.NewModel(e)
		is.True(!m.Known())
		is.Equal(m.Running(time.Second, 1), 0.0)
	}
}

func abs(x float64) float64 { return max(x, -x) }
