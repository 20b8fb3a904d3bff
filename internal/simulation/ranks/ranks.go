// Package ranks simulates an expert-parallel group under requests whose topics shift, to
// compare the configurations of the planner that changes expert maps. It runs
// [group.Replanner] itself in simulated time, without a network.
package ranks

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"bramleydeal/internal/core/group"
)

// Options holds the parameters of a simulation: the group, its load and the leader's
// intervals.
type Options struct {
	Shape     group.Shape
	Replanner group.ReplannerConfig
	// StepTime is the duration of a step without skew. MaxGap is the target for the
	// longest step. ExpertShare is the share of StepTime that the experts take.
	StepTime, MaxGap time.Duration
	ExpertShare      float64
	// RequestsPerRank is the number of requests that each rank runs concurrently,
	// MeanSteps the mean number of steps of a request.
	RequestsPerRank, MeanSteps int
	// Topics is the number of topics. The requests of each topic select some experts
	// more often than others; Concentration is the exponent of that distribution.
	// CommonShare is the share of the selections that follows the same distribution for
	// all topics.
	Topics                     int
	Concentration, CommonShare float64
	// ShiftShare is the share of new requests that are about one topic, which changes
	// every ShiftInterval. The other requests have random topics.
	ShiftShare    float64
	ShiftInterval time.Duration
	// ObserveInterval is the interval at which the leader reads the ranks' counts.
	// MinPlanInterval is the minimum time from a change to the next plan. StepsAhead is
	// the number of steps from a proposal to the change.
	ObserveInterval, MinPlanInterval time.Duration
	StepsAhead                       uint64
	// Duration is the simulated time.
	Duration time.Duration
	Seed     uint64
}

// fetchSlowdown is the factor by which steps take longer while experts are fetched.
const fetchSlowdown = 1.15

// Report is the result of a simulation.
type Report struct {
	// LateShare is the share of requests with a step longer than MaxGap.
	LateShare float64
	// LongStepShare is the share of the simulated time spent in such steps.
	LongStepShare float64
	// Skew is the mean skew over all steps. BoundSkew is the mean skew of maps that are
	// computed from scratch at each observation, from the same counts that they are
	// measured with. Hardly any configuration can do better than that.
	Skew, BoundSkew float64
	// Changes is the number of changes of the map, Fetches the number of experts that
	// all ranks together fetched for them.
	Changes, Fetches int
}

// request is a running request. late is set once a step was longer than MaxGap.
type request struct {
	topic, stepsLeft int
	late             bool
}

// simulation is the state of a run.
type simulation struct {
	Options
	random *rand.Rand
	// topicWeights holds the probability that a selection falls on an expert, by topic,
	// layer and expert.
	topicWeights [][][]float64
	running      []request
	currentMap   group.Map
	planner      *group.Replanner
	// selections counts the selections of each expert since the last observation, layer
	// after layer.
	selections []float64
	now        time.Time
	step       uint64
	observedAt time.Time
	// nextMap is the map of the change in progress, nil for none. The ranks fetch its
	// experts until fetchedAt and use it from switchStep on, which is 0 until the change
	// is proposed.
	nextMap    *group.Map
	fetchedAt  time.Time
	switchStep uint64
	nextPlanAt time.Time

	report                 Report
	finished, lateRequests int
	observations           int
	longStepTime           time.Duration
}

// Run runs a simulation. The result is the same for the same options.
func Run(o Options) Report {
	m := &simulation{
		Options: o, random: rand.New(rand.NewPCG(o.Seed, 3)), currentMap: group.Uniform(o.Shape),
		planner: group.NewReplanner(o.Shape, o.Replanner), selections: make([]float64, o.Shape.Layers*o.Shape.Experts),
		now: time.Unix(0, 0),
	}
	m.drawTopicWeights()
	end := m.now.Add(o.Duration)
	for range o.RequestsPerRank * o.Shape.Ranks {
		m.running = append(m.running, m.newRequest())
	}
	for m.now.Before(end) {
		m.runStep()
		m.replan()
	}
	m.report.Skew /= float64(m.step)
	m.report.BoundSkew /= float64(max(m.observations, 1))
	m.report.LateShare = float64(m.lateRequests) / float64(max(m.finished, 1))
	m.report.LongStepShare = float64(m.longStepTime) / float64(o.Duration)
	return m.report
}

// drawTopicWeights draws the probabilities with which the requests of each topic select
// the experts.
func (m *simulation) drawTopicWeights() {
	weights := func() []float64 {
		out := make([]float64, m.Shape.Experts)
		sum := 0.0
		for position, e := range m.random.Perm(m.Shape.Experts) {
			out[e] = math.Pow(float64(position+1), -m.Concentration)
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
		m.topicWeights = append(m.topicWeights, topic)
	}
}

// newRequest draws a request with a topic and a number of steps.
func (m *simulation) newRequest() request {
	topic := m.random.IntN(m.Topics)
	if m.random.Float64() < m.ShiftShare {
		topic = int(m.now.Sub(time.Unix(0, 0))/m.ShiftInterval) % m.Topics
	}
	return request{topic: topic, stepsLeft: 1 + m.random.IntN(2*m.MeanSteps-1)}
}

// loads returns the expert selections of one step, with random noise in proportion to the
// square root of their number.
func (m *simulation) loads() group.Loads {
	perTopic := make([]float64, m.Topics)
	for _, r := range m.running {
		perTopic[r.topic]++
	}
	// Selections of one request in one layer and step: tokens times experts per token.
	const selections = 400
	out := make(group.Loads, m.Shape.Layers)
	for l := range out {
		out[l] = make([]float64, m.Shape.Experts)
		for t, n := range perTopic {
			for e, w := range m.topicWeights[t][l] {
				out[l][e] += selections * n * w
			}
		}
		for e, mean := range out[l] {
			out[l][e] = max(mean+math.Sqrt(mean)*m.random.NormFloat64(), 0)
		}
	}
	return out
}

// runStep runs one step of the group.
func (m *simulation) runStep() {
	if m.switchStep != 0 && m.step >= m.switchStep {
		m.currentMap, m.nextMap, m.switchStep = *m.nextMap, nil, 0
		m.nextPlanAt = m.now.Add(m.MinPlanInterval)
	}
	loads := m.loads()
	skew := group.Skew(m.currentMap, loads, m.Shape)
	duration := float64(m.StepTime) * (1 - m.ExpertShare + m.ExpertShare*skew)
	if m.nextMap != nil && m.now.Before(m.fetchedAt) {
		duration *= fetchSlowdown
	}
	step := time.Duration(duration)
	m.now = m.now.Add(step)
	m.step++
	m.report.Skew += skew
	long := step > m.MaxGap
	if long {
		m.longStepTime += step
	}
	for l := range loads {
		for e, n := range loads[l] {
			m.selections[l*m.Shape.Experts+e] += n
		}
	}
	for i := range m.running {
		r := &m.running[i]
		r.late = r.late || long
		if r.stepsLeft--; r.stepsLeft == 0 {
			m.finished++
			if r.late {
				m.lateRequests++
			}
			*r = m.newRequest()
		}
	}
}

// replan does the work of the group's leader between two steps: it observes the ranks,
// and starts or continues a change of the map.
func (m *simulation) replan() {
	if m.now.Sub(m.observedAt) < m.ObserveInterval {
		return
	}
	m.observedAt = m.now
	m.measureBound()
	m.planner.AddSample(sample(m.selections))
	clear(m.selections)
	m.planner.Observe(m.step, m.now)
	switch {
	case m.nextMap != nil && m.switchStep == 0 && !m.now.Before(m.fetchedAt):
		m.switchStep = m.step + m.StepsAhead
	case m.nextMap == nil && !m.now.Before(m.nextPlanAt):
		plan, ok := m.planner.Plan(m.currentMap, m.MaxGap)
		if !ok {
			return
		}
		perRank, all := countFetches(m.currentMap, plan.Map, m.Shape)
		m.nextMap, m.fetchedAt = &plan.Map, m.now.Add(time.Duration(perRank)*m.Replanner.FetchTime)
		m.report.Changes++
		m.report.Fetches += all
	}
}

// measureBound adds the skew of a map that is computed from scratch for the counts since
// the last observation.
func (m *simulation) measureBound() {
	loads := make(group.Loads, m.Shape.Layers)
	for l := range loads {
		loads[l] = m.selections[l*m.Shape.Experts : (l+1)*m.Shape.Experts]
	}
	m.report.BoundSkew += group.Skew(group.Greedy(loads, m.Shape), loads, m.Shape)
	m.observations++
}

// sample returns the sample that a rank would report for the given selections.
func sample(selections []float64) group.Sample {
	after := make([]uint32, len(selections))
	for i, n := range selections {
		after[i] = uint32(n)
	}
	return group.NewSample(make([]uint32, len(selections)), after)
}

// countFetches returns the largest number of experts that one rank fetches for a change,
// and the number that all ranks fetch.
func countFetches(from, to group.Map, s group.Shape) (most, all int) {
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
