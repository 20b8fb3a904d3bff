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

// maxEvents is the largest number of random events of a history.
const maxEvents = 120

// drawHistory draws a history of a group that begins with a change of the map: agents that are lost alone
// or all at once, and orders to engines that get no answer and are carried out late, at any rank, before
// and after other orders. It ends at the first step on two maps.
func drawHistory(random *rand.Rand) *simulatedGroup {
	s := newGroup(2+random.IntN(3), answerAll)
	l := s.lead(0, true)
	s.run(l, 4)
	s.propose(l)
	trouble := 5 + random.IntN(45) // orders without an answer in a hundred
	loseAll := false
	s.decide = func(_ int, operation string) outcome {
		if random.IntN(100) >= trouble {
			return answered
		}
		// Agents are often lost right after they have ordered a switch.
		loseAll = loseAll || operation == "arm" && random.IntN(4) == 0
		return []outcome{late, late, late, carriedOut, lost}[random.IntN(5)]
	}
	for range 10 + random.IntN(maxEvents-10) {
		s.performEvent(random)
		if loseAll {
			s.stopAll()
			loseAll = false
		}
		if s.twoMaps != "" {
			break
		}
	}
	s.decide = answerAll
	return s
}

// performEvent performs one random event: usually progress, sometimes a fault.
func (s *simulatedGroup) performEvent(random *rand.Rand) {
	var up, down []int
	for i, a := range s.agents {
		if a == nil {
			down = append(down, i)
		} else {
			up = append(up, i)
		}
	}
	switch kind := random.IntN(100); {
	case kind < 34 && len(s.inFlight) > 0:
		s.deliver(random.IntN(len(s.inFlight)))
	case kind < 44:
		s.deliverAll()
	case kind < 54 && len(s.unanswered) > 0:
		s.carryOut(random.IntN(len(s.unanswered)))
	case kind < 58 && len(down) > 0:
		s.start(down[random.IntN(len(down))])
	case kind < 64 && len(down) > 0:
		for _, i := range down {
			s.start(i)
		}
	case len(s.leaders) == 0 && len(up) > 0 || kind < 67 && len(up) > 0 && len(s.leaders) < 3:
		s.lead(up[random.IntN(len(up))], random.IntN(3) != 0)
	case kind < 82 && len(s.leaders) > 0:
		s.tick(s.leaders[random.IntN(len(s.leaders))])
	case kind < 87 && len(s.leaders) > 0:
		s.propose(s.leaders[random.IntN(len(s.leaders))])
	case kind < 97:
		s.runSteps(1 + random.IntN(3))
	case kind < 98:
		s.stopAll()
	default:
		s.stop(random.IntN(len(s.agents)))
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
