package agent

import (
	"testing"

	"github.com/matryer/is"
)

// TestReleaseOfOwnHoldIsNotCarriedOutLate guards against a step on two maps: an agent released a hold
// whose order had got no reply, its rank promised to hold at that step once more, and the engine carried
// the release out then.
func TestReleaseOfOwnHoldIsNotCarriedOutLate(t *testing.T) {
	is := is.New(t)
	s := newGroup(2, answerAll)
	l := s.lead(0, true)
	s.run(l, 10)
	is.True(s.propose(l))
	s.decide = func(_ int, operation string) outcome {
		if operation == "hold" {
			return late
		}
		return answered
	}
	for round := 0; len(s.unanswered) < 2*maxSends; round++ {
		is.True(round < 10) // the orders to hold go out
		s.run(l, 1)
	}
	s.carryOutAll(-1, "hold")
	sent := map[int]bool{}
	s.decide = func(rank int, operation string) outcome {
		switch {
		case operation == "release" && !sent[rank]:
			sent[rank] = true
			return late
		case operation == "arm" && rank == 0:
			return late
		}
		return answered
	}
	s.run(l, 3)
	s.carryOutAll(-1, "release")
	s.runSteps(20)
	s.decide = answerAll
	checkGoesOn(t, s, l)
}
