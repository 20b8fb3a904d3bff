// Package group decides which expert map each rank of an expert-parallel group may
// use in which step, and on which ranks the experts are placed. It performs no I/O
// and reads no clock; the caller passes the time.
//
// A group is a set of ranks that run every step of the model together. An expert
// map assigns the experts of each layer to slots of the ranks; it is identified by
// its version. All ranks must use the same map in a step.
//
// Maps are changed by a protocol in the manner of Paxos, with a [Leader] as the
// proposer and a [Rank] as the acceptor. Its quorum is all ranks of the group, for
// reading and for writing: every rank takes part in every step, so no step after a
// change can run before each rank has received the grant of the new map.
package group

import (
	"cmp"
	"slices"
)

// Ballot identifies an attempt to change a group's map. Term is the fencing token
// of the lease under which the attempt began, Attempt a number within the term, and
// Proposer the name of the process that makes the attempt.
type Ballot struct {
	Term     uint64 `json:"term"`
	Attempt  uint64 `json:"attempt"`
	Proposer string `json:"proposer"`
}

// Compare orders ballots by term, then attempt, then proposer. It returns a negative
// number if b is lower than o, 0 if they are equal, and a positive one otherwise.
func (b Ballot) Compare(o Ballot) int {
	return cmp.Or(cmp.Compare(b.Term, o.Term), cmp.Compare(b.Attempt, o.Attempt), cmp.Compare(b.Proposer, o.Proposer))
}

// Grant allows a rank to use a map from a step on, up to the step of the next grant.
type Grant struct {
	FromStep   uint64 `json:"from"`
	MapVersion uint64 `json:"map"`
}

// Order is an instruction of a Leader to a rank: Collect, Hold, Give, Restore or Retire.
type Order interface{ order() }

// Collect asks a rank for its state and makes it refuse all lower ballots from then
// on. Confirm marks the second round of a leader, which follows a reply of a rank
// that lost its state.
type Collect struct {
	Ballot  Ballot
	Confirm bool
}

// Hold asks a rank to promise not to start Step, or any later step, until it has
// a grant from that step on. Like Give and Restore it is valid for one incarnation
// of the rank only: an order that was sent before the rank lost its state must not
// take effect afterwards.
type Hold struct {
	Ballot      Ballot
	Incarnation string
	Step        uint64
	// MapVersion is the map that the rank must have staged to promise.
	MapVersion uint64
}

// Give adds a grant to a rank, and ends a hold at the step from which the grant
// applies, unless KeepHold is set.
type Give struct {
	Ballot      Ballot
	Incarnation string
	Grant       Grant
	KeepHold    bool
}

// Restore gives all grants in effect to a rank that lost its state. They are sent in
// one order, because a rank with only the first of them would use its map in steps
// that belong to a later grant.
type Restore struct {
	Ballot      Ballot
	Incarnation string
	Grants      []Grant
}

// Retire rules out that a rank switches to the map of a version, or to an earlier one that it does not
// use yet, also by an order of a lower ballot that its engine carries out late.
type Retire struct {
	Ballot      Ballot
	Incarnation string
	MapVersion  uint64
}

func (Collect) order() {}
func (Hold) order()    {}
func (Give) order()    {}
func (Restore) order() {}
func (Retire) order()  {}

// Rank is the state of one rank, which is the acceptor of the protocol. The rank's
// engine enforces the grants and the hold: the rank's agent passes them to the
// engine before it replies to an order.
type Rank struct {
	// Incarnation changes whenever the rank loses its grants and promises.
	Incarnation string `json:"incarnation"`
	// Promised is the ballot that the rank has promised to follow. It accepts a
	// Collect of this or a higher ballot, and other orders of this ballot only.
	Promised Ballot `json:"promised"`
	// Grants are in ascending order of their steps.
	Grants []Grant `json:"grants"`
	// HoldStep is the step before which the rank stops, 0 for none.
	HoldStep uint64 `json:"hold"`
}

// Reply is a rank's reply to an order, with its state after the order.
type Reply struct {
	Accepted bool
	State    Rank
	// NextStep is the next step that the rank would start.
	NextStep uint64
	// Staged is the version that the rank has staged, if its engine may still carry out an order of a
	// lower ballot to switch to that map. It is 0 if the engine refuses such orders.
	Staged uint64
}

// MapVersionAt returns the version of the map granted for a step, and false if the
// rank must not start that step.
func (r Rank) MapVersionAt(step uint64) (uint64, bool) {
	if r.HoldStep != 0 && step >= r.HoldStep {
		return 0, false
	}
	return r.grantedVersion(step)
}

// grantedVersion returns the version of the map granted for a step, and false if
// there is no grant for it. It ignores a hold.
func (r Rank) grantedVersion(step uint64) (uint64, bool) {
	for i := len(r.Grants) - 1; i >= 0; i-- {
		if r.Grants[i].FromStep <= step {
			return r.Grants[i].MapVersion, true
		}
	}
	return 0, false
}

// Apply returns the rank's state after an order, and whether the order is accepted.
// A refused order leaves the state as it was. step is the next step that the rank
// would start. When the caller puts the state after a Hold or a Give into effect, it
// must check that the rank's next step is still not after the step of the order, and
// that the rank has staged the map that the order names.
func (r Rank) Apply(o Order, step uint64) (Rank, bool) {
	switch v := o.(type) {
	case Collect:
		if v.Ballot.Compare(r.Promised) < 0 {
			return r, false
		}
		r.Promised = v.Ballot
		return r, true
	case Hold:
		return r.applyHold(v, step)
	case Give:
		return r.applyGive(v, step)
	case Restore:
		return r.applyRestore(v)
	case Retire:
		return r.applyRetire(v, step)
	}
	return r, false
}

// applyHold accepts a hold under the promised ballot, unless the rank is past the step,
// has a grant from that step or a later one on, or already holds at another step.
func (r Rank) applyHold(v Hold, step uint64) (Rank, bool) {
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

// applyGive accepts a grant under the promised ballot if the rank has it already, or if
// it starts after the rank's other grants and the rank is not past its first step. A
// rank without any grants gets them by a Restore only.
func (r Rank) applyGive(v Give, step uint64) (Rank, bool) {
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
	if r.HoldStep == v.Grant.FromStep && !v.KeepHold {
		r.HoldStep = 0
	}
	return r, true
}

// applyRestore accepts grants under the promised ballot if the rank has none, or if it
// has exactly these already.
func (r Rank) applyRestore(v Restore) (Rank, bool) {
	if v.Ballot != r.Promised || v.Incarnation != r.Incarnation {
		return r, false
	}
	if len(r.Grants) > 0 {
		return r, slices.Equal(r.Grants, v.Grants)
	}
	r.Grants = slices.Clone(v.Grants)
	return r, true
}

// applyRetire drops the grant of a switch that has not begun. It refuses to retire the map in use.
func (r Rank) applyRetire(v Retire, step uint64) (Rank, bool) {
	if v.Ballot != r.Promised || v.Incarnation != r.Incarnation {
		return r, false
	}
	if used, ok := r.usedVersion(step); ok && used == v.MapVersion {
		return r, false
	}
	if _, pending := r.PendingSwitch(step); pending {
		r.Grants = slices.Clone(r.Grants[:len(r.Grants)-1])
	}
	return r, true
}

// usedVersion returns the map that the rank uses before it starts a step, and false if it has no grants.
func (r Rank) usedVersion(step uint64) (uint64, bool) {
	if len(r.Grants) == 0 {
		return 0, false
	}
	if m, ok := r.grantedVersion(max(step, 1) - 1); ok {
		return m, true
	}
	return r.Grants[0].MapVersion, true
}

// PendingSwitch returns the rank's latest grant if it makes the rank switch to another map at a step
// that it has not started.
func (r Rank) PendingSwitch(step uint64) (Grant, bool) {
	last := len(r.Grants) - 1
	if last < 1 || r.Grants[last].FromStep < step || r.Grants[last].MapVersion == r.Grants[last-1].MapVersion {
		return Grant{}, false
	}
	return r.Grants[last], true
}

// prune returns the grants that apply to a step or to later ones.
func (r Rank) prune(step uint64) []Grant {
	first := 0
	for first+1 < len(r.Grants) && r.Grants[first+1].FromStep <= step {
		first++
	}
	return slices.Clone(r.Grants[first:])
}
