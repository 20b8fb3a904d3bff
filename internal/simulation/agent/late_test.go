package agent

import (
	"flag"
	"math/rand/v2"
	"testing"
)

// The histories that the searches draw: their number, and the seed of the first one.
var (
	histories = flag.Uint64("histories", 15000, "number of histories that each search draws")
	firstSeed = flag.Uint64("first-seed", 1, "seed of the first history")
)

// drawHistory draws a history of a group. It consists of episodes, each with a leader of its own and
// a loss of agents, mostly of all at once, at its end. Orders to engines get no answer at times and are
// carried out late, at any rank, before and after other orders. The history ends at the first step on two
// maps.
func drawHistory(random *rand.Rand) *simulatedGroup {
	s := newGroup(2+random.IntN(3), answerAll)
	trouble := 5 + random.IntN(45) // orders without an answer in a hundred
	// A busy group begins a step as soon as it may.
	busy := random.IntN(2) == 0
	for range 2 + random.IntN(4) {
		s.playEpisode(random, trouble, busy)
		if s.twoMaps != "" {
			break
		}
	}
	s.decide = answerAll
	return s
}

// maxEvents is the largest number of events of an episode.
const maxEvents = 60

// playEpisode lets a leader work, amid trouble, until agents are lost.
func (s *simulatedGroup) playEpisode(random *rand.Rand, trouble int, busy bool) {
	down := -1
	if random.IntN(4) == 0 {
		down = random.IntN(len(s.agents)) // is back later than the others
	}
	for i, a := range s.agents {
		if a == nil && i != down {
			s.start(i)
		}
	}
	host := random.IntN(len(s.agents))
	if s.agents[host] == nil {
		return
	}
	l := s.lead(host, random.IntN(4) != 0)
	loseAll := false
	s.decide = func(_ int, operation string) outcome {
		if random.IntN(100) >= trouble {
			return answered
		}
		// Agents are often lost right after they have ordered a switch.
		loseAll = loseAll || operation == "arm" && random.IntN(4) == 0
		return []outcome{late, late, late, carriedOut, lost}[random.IntN(5)]
	}
	for range random.IntN(maxEvents) {
		switch {
		case len(s.inFlight) == 0 && random.IntN(3) == 0:
			s.propose(l)
		case len(s.inFlight) == 0 && len(s.leaders) > 0:
			s.tick(s.leaders[random.IntN(len(s.leaders))])
		case len(s.inFlight) > 0:
			s.deliver(random.IntN(len(s.inFlight)))
		}
		if len(s.unanswered) > 0 && random.IntN(8) == 0 {
			s.carryOut(random.IntN(len(s.unanswered)))
		}
		if busy || random.IntN(5) == 0 {
			s.runSteps(1)
		}
		if down >= 0 && s.agents[down] == nil && random.IntN(12) == 0 {
			s.start(down)
		}
		if loseAll {
			break
		}
	}
	switch random.IntN(5) {
	case 0:
		s.stop(random.IntN(len(s.agents)))
	case 1: // the leader goes on beside the next one
	default:
		s.stopAll()
	}
}

// search checks the histories that the flags name.
func search(t *testing.T, check func(t *testing.T, random *rand.Rand, s *simulatedGroup)) {
	for seed := *firstSeed; seed < *firstSeed+*histories; seed++ {
		random := rand.New(rand.NewPCG(seed, 1))
		if check(t, random, drawHistory(random)); t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

// TestNoLateOrderLeavesGroupOnTwoMaps guards against steps on two maps after agents were lost amid a
// change: an engine that compares no fencing tokens carries out an order of the change seconds later.
func TestNoLateOrderLeavesGroupOnTwoMaps(t *testing.T) {
	search(t, func(t *testing.T, _ *rand.Rand, s *simulatedGroup) {
		if s.twoMaps != "" {
			t.Errorf("%s\n%s", s.history(), s.twoMaps)
		}
	})
}

// TestGroupGoesOnAfterLateOrders guards against a group that stands still for good after such a history,
// once all agents are back, all late orders were carried out and one leader is active.
func TestGroupGoesOnAfterLateOrders(t *testing.T) {
	search(t, func(t *testing.T, random *rand.Rand, s *simulatedGroup) {
		for len(s.unanswered) > 0 {
			s.carryOut(random.IntN(len(s.unanswered)))
		}
		s.inFlight, s.leaders = nil, nil
		for i, a := range s.agents {
			if a == nil {
				s.start(i)
			}
		}
		l := s.lead(0, true)
		before := s.step
		for range 40 {
			s.run(l, 1)
			s.runSteps(2)
			s.propose(l)
		}
		if s.step < before+20 {
			t.Errorf("%s\nstep %d, %d before; phase %s", s.history(), s.step, before, l.Phase())
		}
	})
}
