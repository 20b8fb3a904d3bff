package agent

import (
	"slices"
	"testing"

	"github.com/matryer/is"
)

// loseAllAgentsAsSwitchIsOrdered lets a leader change the map of a group of 4 ranks until the orders to
// switch go out. These get no answer and are late, and all agents are lost.
func loseAllAgentsAsSwitchIsOrdered(t *testing.T, decide func(rank int, operation string) outcome) *simulatedGroup {
	t.Helper()
	is := is.New(t)
	const ranks = 4
	s := newGroup(ranks, func(int, string) outcome { return answered })
	l := s.lead(0, true)
	s.run(l, 10)
	is.True(s.propose(l))
	s.decide = func(_ int, operation string) outcome {
		if operation == "arm" {
			return late
		}
		return answered
	}
	for round := 0; len(s.unanswered) < ranks*maxSends; round++ {
		is.True(round < 10) // the orders to switch go out
		s.run(l, 1)
	}
	s.stopAll()
	s.decide = decide
	return s
}

// checkGoesOn checks that a group runs on, on one map, while a leader is active.
func checkGoesOn(t *testing.T, s *simulatedGroup, l *simulatedLeader) {
	t.Helper()
	before := s.step
	for range 30 {
		s.run(l, 1)
		s.runSteps(1)
	}
	s.carryOutAll(-1, "")
	for range 30 {
		s.run(l, 1)
		s.runSteps(1)
	}
	if s.twoMaps != "" || s.step < before+40 {
		t.Fatalf("%s\nstep %d, %d before; %s", s.history(), s.step, before, s.twoMaps)
	}
}

func answerAll(int, string) outcome { return answered }

// TestSwitchCarriedOutWhileLeaderCollects guards against a group on two maps for good: a leader gives a
// change up with a rank's reply from before that rank carries out its order to switch.
func TestSwitchCarriedOutWhileLeaderCollects(t *testing.T) { testSwitchWhileLeaderCollects(t, 0) }

// TestSwitchOfOtherRankCarriedOutWhileLeaderCollects guards against a group that stands still for good:
// two grants for one step, one given by the leader and one that the late switch shows.
func TestSwitchOfOtherRankCarriedOutWhileLeaderCollects(t *testing.T) {
	testSwitchWhileLeaderCollects(t, 1)
}

func testSwitchWhileLeaderCollects(t *testing.T, lateRank int) {
	s := loseAllAgentsAsSwitchIsOrdered(t, answerAll)
	for i := range 3 {
		s.start(i)
	}
	l := s.lead(0, true)
	s.run(l, 2)
	s.carryOutAll(lateRank, "arm")
	s.start(3)
	checkGoesOn(t, s, l)
}

// TestSwitchCarriedOutBetweenReleases guards against a step on two maps: a rank that was let go carries
// out its order to switch before the last rank is let go.
func TestSwitchCarriedOutBetweenReleases(t *testing.T) {
	var s *simulatedGroup
	var released []int
	withheld := 0
	s = loseAllAgentsAsSwitchIsOrdered(t, func(rank int, operation string) outcome {
		switch {
		case operation == "release" && len(released) == 3 && !slices.Contains(released, rank) && withheld < maxSends:
			withheld++
			return lost
		case operation == "release" && len(released) == 3:
			s.carryOutAll(released[0], "arm")
		case operation == "release" && !slices.Contains(released, rank):
			released = append(released, rank)
		}
		return answered
	})
	s.runSteps(20) // up to the hold
	for i := range s.agents {
		s.start(i)
	}
	l := s.lead(0, true)
	for range 10 {
		s.tick(l)
		for len(s.inFlight) > 0 {
			s.deliver(0)
			s.runSteps(1)
		}
	}
	is.New(t).Equal(withheld, maxSends)
	checkGoesOn(t, s, l)
}

// TestRepliesFromBeforeAChangeCountOnlyOnce guards against a step on two maps: a leader that collected
// from some ranks before a change, and from one that has lost its promise after it, takes that rank's
// order to switch back.
func TestRepliesFromBeforeAChangeCountOnlyOnce(t *testing.T) {
	is := is.New(t)
	s := newGroup(3, answerAll)
	first := s.lead(2, true)
	s.tick(first)
	var toLostRank []message
	s.inFlight = slices.DeleteFunc(s.inFlight, func(m message) bool {
		if m.rank == 1 {
			toLostRank = append(toLostRank, m)
		}
		return m.rank == 1
	})
	s.deliverAll()
	second := s.lead(0, true)
	s.run(second, 10)
	is.True(s.propose(second))
	for round := 0; s.engines[0].armed == 0 || s.engines[0].hold != 0; round++ {
		is.True(round < 10) // the change is made at all ranks
		s.run(second, 1)
	}
	s.stop(1)
	s.start(1)
	s.inFlight = toLostRank
	s.deliverAll()
	s.run(first, 2)
	s.runSteps(20)
	checkGoesOn(t, s, s.lead(0, true))
}
