// Package group owns the decisions about expert-parallel groups: which expert
// map each rank may use in which step, and where experts are placed. It
// performs no calls and reads no clock.
//
// The ranks of a group together are a register that is written at all ranks
// and read at all ranks: since every rank takes part in every step, no step
// past a change can run before each rank has its grant.
package group

import (
	"cmp"
	"slices"
)

// Ballot orders the attempts to change a group's map. Term is the fencing
// number of the lease under which the attempt began.
type Ballot struct {
	Term     uint64 `json:"term"`
	Attempt  uint64 `json:"attempt"`
	Proposer string `json:"proposer"`
}

// Compare orders ballots.
func (b Ballot) Compare(o Ballot) int {
	return cmp.Or(cmp.Compare(b.Term, o.Term), cmp.Compare(b.Attempt, o.Attempt), cmp.Compare(b.Proposer, o.Proposer))
}

// Grant allows a rank to use a map from a step on, until the next grant.
type Grant struct {
	FromStep   uint64 `json:"from"`
	MapVersion uint64 `json:"map"`
}

// Order is what a leader, or whoever completes its change, asks of a rank.
type Order interface{ order() }

// Collect asks for the rank's state and shuts out all lower ballots. Confirm
// marks the second round, which a leader makes when it has heard of a rank
// without memory.
type Collect struct {
	Ballot  Ballot
	Confirm bool
}

// Hold asks the rank to stop before a step unless granted more. It holds for
// one incarnation of the rank only, as does Give: an order that was sent before
// the rank lost its memory must not reach it afterwards.
type Hold struct {
	Ballot      Ballot
	Incarnation string
	Step        uint64
	// Map is the map that the rank must have staged to promise.
	MapVersion uint64
}

// Give grants a map from a step on, and ends a hold at that step.
type Give struct {
	Ballot      Ballot
	Incarnation string
	Grant       Grant
}

// Restore gives a rank without memory all grants that matter, in one order: a
// rank with only the first of them would run past the others.
type Restore struct {
	Ballot      Ballot
	Incarnation string
	Grants      []Grant
}

func (Collect) order() {}
func (Hold) order()    {}
func (Give) order()    {}
func (Restore) order() {}

// Rank is the state of one rank. Its grants and hold are those that its engine
// goes by; the agent puts them to the engine before it answers.
type Rank struct {
	// Incarnation changes whenever the rank loses its grants and promises.
	Incarnation string `json:"incarnation"`
	Promised    Ballot `json:"promised"`
	// Grants are in the order of their steps.
	Grants []Grant `json:"grants"`
	// Hold is the step before which the rank stops, 0 for none.
	HoldStep uint64 `json:"hold"`
}

// Reply is a rank's answer to an order.
type Reply struct {
	Accepted bool
	State    Rank
	// Step is the next step that the rank would start.
	NextStep uint64
}

// MapAt returns the map granted for a step, and false when the rank must not
// start that step.
func (r Rank) MapVersionAt(step uint64) (uint64, bool) {
	if r.HoldStep != 0 && step >= r.HoldStep {
		return 0, false
	}
	return r.granted(step)
}

// granted returns the map granted for a step, whether or not the rank is held.
func (r Rank) granted(step uint64) (uint64, bool) {
	for i := len(r.Grants) - 1; i >= 0; i-- {
		if r.Grants[i].FromStep <= step {
			return r.Grants[i].MapVersion, true
		}
	}
	return 0, false
}

// Next returns the rank's state after an order, and whether the order is
// accepted. step is the next step that the rank would start; whoever applies
// the new state must make sure that the rank has not started a later one, and
// that it has staged the map that the order names.
func (r Rank) Apply(o Order, step uint64) (Rank, bool) {
	switch v := o.(type) {
	case Collect:
		if v.Ballot.Compare(r.Promised) < 0 {
			return r, false
		}
		r.Promised = v.Ballot
		return r, true
	case Hold:
		return r.hold(v, step)
	case Give:
		return r.give(v, step)
	case Restore:
		return r.restore(v)
	}
	return r, false
}

func (r Rank) hold(v Hold, step uint64) (Rank, bool) {
	decided := len(r.Grants) > 0 && r.Grants[len(r.Grants)-1].FromStep >= v.Step
	if v.Ballot != r.Promised || v.Incarnation != r.Incarnation || step > v.Step || decided {
		return r, false
	}
	if r.HoldStep != 0 && r.HoldStep != v.Step {
		return r, false
	}
	r.HoldStep = v.Step
	return r, true
}

func (r Rank) give(v Give, step uint64) (Rank, bool) {
	if v.Ballot != r.Promised || v.Incarnation != r.Incarnation {
		return r, false
	}
	if !slices.Contains(r.Grants, v.Grant) {
		last := len(r.Grants) - 1
		if last < 0 || step > v.Grant.FromStep || r.Grants[last].FromStep >= v.Grant.FromStep {
			return r, false
		}
		r.Grants = append(r.prune(step), v.Grant)
	}
	if r.HoldStep == v.Grant.FromStep {
		r.HoldStep = 0
	}
	return r, true
}

func (r Rank) restore(v Restore) (Rank, bool) {
	if v.Ballot != r.Promised || v.Incarnation != r.Incarnation {
		return r, false
	}
	if len(r.Grants) > 0 {
		return r, slices.Equal(r.Grants, v.Grants)
	}
	r.Grants = slices.Clone(v.Grants)
	return r, true
}

// prune returns the grants that still matter at a step.
func (r Rank) prune(step uint64) []Grant {
	first := 0
	for first+1 < len(r.Grants) && r.Grants[first+1].FromStep <= step {
		first++
	}
	return slices.Clone(r.Grants[first:])
}
