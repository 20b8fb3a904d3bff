// Package ranks simulates an expert-parallel group under requests whose topics shift, to
// compare configurations of [group.Replanner], which decides on changes of the expert map.
// It runs the replanner itself in simulated time, without a network.
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
	replanner    *group.Replanner
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
	s := &simulation{
		Options: o, random: rand.New(rand.NewPCG(o.Seed, 3)), currentMap: group.Uniform(o.Shape),
		replanner: group.NewReplanner(o.Shape, o.Replanner), selections: make([]float64, o.Shape.Layers*o.Shape.Experts),
		now: time.Unix(0, 0),
	}
	s.drawTopicWeights()
	end := s.now.Add(o.Duration)
	for range o.RequestsPerRank * o.Shape.Ranks {
		s.running = append(s.running, s.newRequest())
	}
	for s.now.Before(end) {
		s.runStep()
		s.replan()
	}
	s.report.Skew /= float64(s.step)
	s.report.BoundSkew /= float64(max(s.observations, 1))
	s.report.LateShare = float64(s.lateRequests) / float64(max(s.finished, 1))
	s.report.LongStepShare = float64(s.longStepTime) / float64(o.Duration)
	return s.report
}

// drawTopicWeights draws the probabilities with which the requests of each topic select
// the experts.
func (s *simulation) drawTopicWeights() {
	weights := func() []float64 {
		out := make([]float64, s.Shape.Experts)
		sum := 0.0
		for position, e := range s.random.Perm(s.Shape.Experts) {
			out[e] = math.Pow(float64(position+1), -s.Concentration)
			sum += out[e]
		}
		for e := range out {
			out[e] /= sum
		}
		return out
	}
	common := make([][]float64, s.Shape.Layers)
	for l := range common {
		common[l] = weights()
	}
	for range s.Topics {
		topic := make([][]float64, s.Shape.Layers)
		for l := range topic {
			topic[l] = weights()
			for e := range topic[l] {
				topic[l][e] = s.CommonShare*common[l][e] + (1-s.CommonShare)*topic[l][e]
			}
		}
		s.topicWeights = append(s.topicWeights, topic)
	}
}

// newRequest draws a request with a topic and a number of steps.
func (s *simulation) newRequest() request {
	topic := s.random.IntN(s.Topics)
	if s.random.Float64() < s.ShiftShare {
		topic = int(s.now.Sub(time.Unix(0, 0))/s.ShiftInterval) % s.Topics
	}
	return request{topic: topic, stepsLeft: 1 + s.random.IntN(2*s.MeanSteps-1)}
}

// loads returns the expert selections of one step, with random noise in proportion to the
// square root of their number.
func (s *simulation) loads() group.Loads {
	perTopic := make([]float64, s.Topics)
	for _, r := range s.running {
		perTopic[r.topic]++
	}
	// Selections of one request in one layer and step: tokens times experts per token.
	const selections = 400
	out := make(group.Loads, s.Shape.Layers)
	for l := range out {
		out[l] = make([]float64, s.Shape.Experts)
		for t, n := range perTopic {
			for e, w := range s.topicWeights[t][l] {
				out[l][e] += selections * n * w
			}
		}
		for e, mean := range out[l] {
			out[l][e] = max(mean+math.Sqrt(mean)*s.random.NormFloat64(), 0)
		}
	}
	return out
}

// runStep runs one step of the group.
func (s *simulation) runStep() {
	if s.switchStep != 0 && s.step >= s.switchStep {
		s.currentMap, s.nextMap, s.switchStep = *s.nextMap, nil, 0
		s.nextPlanAt = s.now.Add(s.MinPlanInterval)
	}
	loads := s.loads()
	skew := group.Skew(s.currentMap, loads, s.Shape)
	duration := float64(s.StepTime) * (1 - s.ExpertShare + s.ExpertShare*skew)
	if s.nextMap != nil && s.now.Before(s.fetchedAt) {
		duration *= fetchSlowdown
	}
	step := time.Duration(duration)
	s.now = s.now.Add(step)
	s.step++
	s.report.Skew += skew
	long := step > s.MaxGap
	if long {
		s.longStepTime += step
	}
	for l := range loads {
		for e, n := range loads[l] {
			s.selections[l*s.Shape.Experts+e] += n
		}
	}
	for i := range s.running {
		r := &s.running[i]
		r.late = r.late || long
		if r.stepsLeft--; r.stepsLeft == 0 {
			s.finished++
			if r.late {
				s.lateRequests++
			}
			*r = s.newRequest()
		}
	}
}

// replan does the work of the group's leader between two steps: it observes the ranks,
// and starts or continues a change of the map.
func (s *simulation) replan() {
	if s.now.Sub(s.observedAt) < s.ObserveInterval {
		return
	}
	s.observedAt = s.now
	s.measureBound()
	s.replanner.AddSample(sample(s.selections))
	clear(s.selections)
	s.replanner.Observe(s.step, s.now)
	switch {
	case s.nextMap != nil && s.switchStep == 0 && !s.now.Before(s.fetchedAt):
		s.switchStep = s.step + s.StepsAhead
	case s.nextMap == nil && !s.now.Before(s.nextPlanAt):
		plan, ok := s.replanner.Plan(s.currentMap, s.MaxGap)
		if !ok {
			return
		}
		perRank, all := countFetches(s.currentMap, plan.Map, s.Shape)
		s.nextMap, s.fetchedAt = &plan.Map, s.now.Add(time.Duration(perRank)*s.Replanner.FetchTime)
		s.report.Changes++
		s.report.Fetches += all
	}
}

// measureBound adds the skew of a map that is computed from scratch for the counts since
// the last observation.
func (s *simulation) measureBound() {
	loads := make(group.Loads, s.Shape.Layers)
	for l := range loads {
		loads[l] = s.selections[l*s.Shape.Experts : (l+1)*s.Shape.Experts]
	}
	s.report.BoundSkew += group.Skew(group.Greedy(loads, s.Shape), loads, s.Shape)
	s.observations++
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
