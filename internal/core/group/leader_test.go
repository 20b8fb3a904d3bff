package group

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// steadyLeader returns a leader in the Steady phase, the time, and a function that
// answers its orders at a time as ranks would that accept all of them.
func steadyLeader(t *testing.T, c LeaderConfig) (*Leader, time.Time, func(time.Time) int) {
	t.Helper()
	now := time.Unix(1000, 0)
	ranks := map[string]Rank{"0": {Incarnation: "a"}, "1": {Incarnation: "b"}}
	l := NewLeader([]string{"0", "1"}, Ballot{Term: 1, Proposer: "0"}, 0, c)
	answer := func(now time.Time) int {
		sent := l.Tick(now)
		for _, o := range sent {
			next, accepted := ranks[o.Rank].Apply(o.Order, 5)
			ranks[o.Rank] = next
			l.HandleReply(o.Rank, o.Order, Reply{Accepted: accepted, State: next, NextStep: 5}, now)
		}
		return len(sent)
	}
	for range 20 {
		if l.Phase() == Steady {
			answer(now) // the first poll
			return l, now, answer
		}
		answer(now)
	}
	t.Fatal("the leader does not reach the Steady phase")
	return nil, now, nil
}

func TestSteadyLeaderPollsAtItsInterval(t *testing.T) {
	is := is.New(t)
	_, now, answer := steadyLeader(t, LeaderConfig{ResendInterval: 300 * time.Millisecond, PollInterval: 100 * time.Millisecond, PromiseTimeout: time.Second})
	is.Equal(answer(now.Add(99*time.Millisecond)), 0)
	is.Equal(answer(now.Add(100*time.Millisecond)), 2) // although orders are sent again after 300 ms only
}

// TestProposedMapIsPendingUntilItsChangeBegins guards against staging another map in
// that time: it would replace the map that the ranks are about to switch to.
func TestProposedMapIsPendingUntilItsChangeBegins(t *testing.T) {
	is := is.New(t)
	l, now, answer := steadyLeader(t, LeaderConfig{ResendInterval: time.Second, PollInterval: time.Second, PromiseTimeout: time.Second})
	is.True(!l.ChangePending())
	is.True(l.Propose(7))
	is.True(l.ChangePending())
	is.Equal(l.Phase(), Steady)
	answer(now)
	is.True(!l.ChangePending())
	is.Equal(l.Phase(), Holding)
}
