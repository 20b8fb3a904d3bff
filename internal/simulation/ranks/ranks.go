// Package ranks models groups of ranks that step together and requests whose
// content shifts, to compare the rules by which maps change. It runs the core's own
// replanner in simulated time; it owns no decision, and knows no network.
package ranks

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"bramleydeal/internal/core/group"
)

// Options describe a group, its load and the leader's times.
type Options struct {
	Shape     group.Shape
	Replanner group.ReplannerConfig
	// StepTime is the time of a step without skew, MaxGap the longest step that is on
	// time. The experts do ExpertShare of a step's work.
	StepTime, MaxGap time.Duration
	ExpertShare      float64
	// Requests is the number of requests that each rank runs at once, Events the mean
	// number of steps of one.
	RequestsPerRank, MeanSteps int
	// Topics is the number of contents. Each prefers experts of its own, the more the
	// greater Concentration; the part Common of the choices is the same for all.
	Topics                     int
	Concentration, CommonShare float64
	// ShiftShare of new requests are about one topic, which changes every ShiftEvery.
	ShiftShare    float64
	ShiftInterval time.Duration
	// Observe is how often the leader reads counts, Ahead the steps from a proposal to
	// the change, MinPlanGap the least time between two changes.
	ObserveInterval, MinPlanInterval time.Duration
	StepsAhead                       uint64
	Duration                         time.Duration
	Seed                             uint64
}

// copySlowdown is how much longer steps take while experts are copied.
const copySlowdown = 1.15

// Report is the outcome of a run.
type Report struct {
	// Late is the share of requests with a step over MaxGap in them.
	LateShare float64
	// Long is the share of the time spent in such steps.
	LongStepShare float64
	// Skew is the mean over all steps. Bound is that of maps made afresh for the very
	// counts that they are measured by, at each observation: no change of maps does
	// much better.
	Skew, BoundSkew float64
	// Changes is the number of maps, Copies that of experts copied by all ranks.
	Changes, Fetches int
}

// request is one running request.
type request struct {
	topic, left int
	late        bool
}

// model is a run in progress.
type model struct {
	Options
	random  *rand.Rand
	weights [][][]float64
	running []request
	current group.Map
	planner *group.Replanner
	// counted sums the choices since the last observation.
	counted  []float64
	now      time.Time
	step     uint64
	observed time.Time
	// next is on its way: it is copied until copied, and used from switchStep on
	// once that is not 0.
	next       *group.Map
	copied     time.Time
	switchStep uint64
	planFrom   time.Time

	report          Report
	ended, lateOnes int
	observations    int
	long            time.Duration
}

// Run plays the options once. The same options give the same report.
func Run(o Options) Report {
	m := &model{
		Options: o, random: rand.New(rand.NewPCG(o.Seed, 3)), current: group.Uniform(o.Shape),
		planner: group.NewReplanner(o.Shape, o.Replanner), counted: make([]float64, o.Shape.Layers*o.Shape.Experts),
		now: time.Unix(0, 0),
	}
	m.drawTopics()
	end := m.now.Add(o.Duration)
	for range o.RequestsPerRank * o.Shape.Ranks {
		m.running = append(m.running, m.newRequest())
	}
	for m.now.Before(end) {
		m.takeStep()
		m.lead()
	}
	m.report.Skew /= float64(m.step)
	m.report.BoundSkew /= float64(max(m.observations, 1))
	m.report.LateShare = float64(m.lateOnes) / float64(max(m.ended, 1))
	m.report.LongStepShare = float64(m.long) / float64(o.Duration)
	return m.report
}

// drawTopics draws how likely each topic's requests choose each expert.
func (m *model) drawTopics() {
	weights := func() []float64 {
		out := make([]float64, m.Shape.Experts)
		sum := 0.0
		for place, e := range m.random.Perm(m.Shape.Experts) {
			out[e] = math.Pow(float64(place+1), -m.Concentration)
			sum += out[e]
		}
		for e := range out {
			out[e] /= sum
		}
		return out
	}
	common := make([][]float64, m.Shape.Layers)
	for l := range common {
		common[l] = weights()
	}
	for range m.Topics {
		topic := make([][]float64, m.Shape.Layers)
		for l := range topic {
			topic[l] = weights()
			for e := range topic[l] {
				topic[l][e] = m.CommonShare*common[l][e] + (1-m.CommonShare)*topic[l][e]
			}
		}
		m.weights = append(m.weights, topic)
	}
}

// newRequest draws a request of the content that is asked for now.
func (m *model) newRequest() request {
	topic := m.random.IntN(m.Topics)
	if m.random.Float64() < m.ShiftShare {
		topic = int(m.now.Sub(time.Unix(0, 0))/m.ShiftInterval) % m.Topics
	}
	return request{topic: topic, left: 1 + m.random.IntN(2*m.MeanSteps-1)}
}

// loads are the choices of one step, with the noise of so many choices.
func (m *model) loads() group.Loads {
	perTopic := make([]float64, m.Topics)
	for _, r := range m.running {
		perTopic[r.topic]++
	}
	const choices = 400 // of one request in one layer and step: tokens times experts a token
	out := make(group.Loads, m.Shape.Layers)
	for l := range out {
		out[l] = make([]float64, m.Shape.Experts)
		for t, n := range perTopic {
			for e, w := range m.weights[t][l] {
				out[l][e] += choices * n * w
			}
		}
		for e, mean := range out[l] {
			out[l][e] = max(mean+math.Sqrt(mean)*m.random.NormFloat64(), 0)
		}
	}
	return out
}

// takeStep lets the group make one step.
func (m *model) takeStep() {
	if m.switchStep != 0 && m.step >= m.switchStep {
		m.current, m.next, m.switchStep = *m.next, nil, 0
		m.planFrom = m.now.Add(m.MinPlanInterval)
	}
	loads := m.loads()
	skew := group.Skew(m.current, loads, m.Shape)
	took := float64(m.StepTime) * (1 - m.ExpertShare + m.ExpertShare*skew)
	if m.next != nil && m.now.Before(m.copied) {
		took *= copySlowdown
	}
	step := time.Duration(took)
	m.now = m.now.Add(step)
	m.step++
	m.report.Skew += skew
	long := step > m.MaxGap
	if long {
		m.long += step
	}
	for l := range loads {
		for e, n := range loads[l] {
			m.counted[l*m.Shape.Experts+e] += n
		}
	}
	for i := range m.running {
		r := &m.running[i]
		r.late = r.late || long
		if r.left--; r.left == 0 {
			m.ended++
			if r.late {
				m.lateOnes++
			}
			*r = m.newRequest()
		}
	}
}

// lead does what a group's leader does between two steps.
func (m *model) lead() {
	if m.now.Sub(m.observed) < m.ObserveInterval {
		return
	}
	m.observed = m.now
	m.bound()
	m.planner.AddSample(sample(m.counted))
	clear(m.counted)
	m.planner.Observe(m.step, m.now)
	switch {
	case m.next != nil && m.switchStep == 0 && !m.now.Before(m.copied):
		m.switchStep = m.step + m.StepsAhead
	case m.next == nil && !m.now.Before(m.planFrom):
		plan, ok := m.planner.Plan(m.current, m.MaxGap)
		if !ok {
			return
		}
		perRank, all := copies(m.current, plan.Map, m.Shape)
		m.next, m.copied = &plan.Map, m.now.Add(time.Duration(perRank)*m.Replanner.FetchTime)
		m.report.Changes++
		m.report.Fetches += all
	}
}

// bound measures a map made for the counts since the last observation.
func (m *model) bound() {
	loads := make(group.Loads, m.Shape.Layers)
	for l := range loads {
		loads[l] = m.counted[l*m.Shape.Experts : (l+1)*m.Shape.Experts]
	}
	m.report.BoundSkew += group.Skew(group.Greedy(loads, m.Shape), loads, m.Shape)
	m.observations++
}

// sample is what a rank would tell of so many choices.
func sample(counted []float64) group.Sample {
	after := make([]uint32, len(counted))
	for i, n := range counted {
		after[i] = uint32(n)
	}
	return group.NewSample(make([]uint32, len(counted)), after)
}

// copies counts the experts that the busiest rank and all ranks copy for a change.
func copies(from, to group.Map, s group.Shape) (most, all int) {
	perRank := make([]int, s.Ranks)
	for l := range to.Layers {
		for slot, e := range to.Layers[l] {
			rank := slot / s.Slots
			if e != group.EmptySlot && !slices.Contains(from.Layers[l][rank*s.Slots:(rank+1)*s.Slots], e) {
				perRank[rank]++
				all++
			}
		}
	}
	return slices.Max(perRank), all
}
