package group

import (
	"slices"
	"time"
)

// A leader that takes over completes the change that an earlier one left unfinished, or gives it up.
// An engine that compares no fencing tokens may carry out an order of that change seconds later, so both
// ways end in a state in which such an order has no effect:
//
//   - A change is completed by granting its map to all ranks before the hold of any of them is ended.
//     A late order to switch is then one that was carried out already.
//   - A change is given up by retiring its map at all ranks before the hold of any of them is ended.
//     A late order to switch is then refused, and no later leader can complete the change.
//
// A change that some leader may have ordered the ranks to make is completed, unless a rank has lost its
// map. An order to switch goes out only once all ranks hold, so this is the case if all of them still do.

// adoptLatestGrants determines the grants in effect once every rank has replied. A
// grant that any rank holds may have been sent after all ranks promised, and other
// ranks may use it already, so the latest one is completed at all ranks. A change
// whose grant no rank holds is aborted: no rank can receive that grant any more,
// since all of them now refuse its ballot. If an engine may carry out a late order,
// that is known only once the map has been retired.
func (l *Leader) adoptLatestGrants() {
	change, outcome := l.unfinishedChange()
	if outcome == giveUp {
		l.enterPhase(Retiring)
		l.abandoned = l.latestVersion()
		return
	}
	l.current = Grant{MapVersion: l.firstVersion}
	l.grantsInEffect = []Grant{l.current}
	for _, rank := range l.ranks {
		grants := l.replies[rank].State.Grants
		if len(grants) == 0 {
			continue
		}
		if last := grants[len(grants)-1]; last.FromStep > l.current.FromStep || l.current.FromStep == 0 && last.FromStep == 0 {
			l.current, l.grantsInEffect = last, slices.Clone(grants)
		}
	}
	if outcome == complete && change != l.current {
		l.current, l.grantsInEffect = change, append(l.grantsInEffect, change)
	}
	l.enterPhase(Completing)
	l.finishCompletionIfDone()
}

// changeOutcome is what a leader does with a change that an earlier one left unfinished.
type changeOutcome int

const (
	noChange changeOutcome = iota
	complete
	giveUp
)

// unfinishedChange returns the grant of a change that some rank is about to make, or may be by an order
// that is carried out late, and what is to become of it.
func (l *Leader) unfinishedChange() (Grant, changeOutcome) {
	change, outcome := Grant{}, noChange
	for _, rank := range l.ranks {
		r := l.replies[rank]
		g, ok := r.State.PendingSwitch(r.NextStep)
		if !ok {
			continue
		}
		for _, other := range l.ranks {
			if !l.replies[other].canSwitch(g) {
				return g, giveUp
			}
		}
		change, outcome = g, complete
	}
	if outcome == complete || !l.lateOrdersPossible() {
		return change, outcome
	}
	return l.heldChange()
}

// heldChange returns the grant of the change for which ranks hold, if no rank has that grant. The change
// can be completed if all ranks hold for it.
func (l *Leader) heldChange() (Grant, changeOutcome) {
	first := l.replies[l.ranks[0]]
	change := Grant{FromStep: first.State.HoldStep, MapVersion: first.Staged}
	held, switchable, allHold := false, false, true
	for _, rank := range l.ranks {
		r := l.replies[rank]
		held = held || r.State.HoldStep != 0
		switchable = switchable || r.switchable()
		allHold = allHold && r.State.HoldStep == change.FromStep && r.Staged == change.MapVersion && r.switchable()
	}
	switch {
	case !held || !switchable:
		return Grant{}, noChange
	case allHold:
		return change, complete
	}
	return change, giveUp
}

// lateOrdersPossible reports whether the engines of all ranks may carry out orders of lower ballots. An
// agent of an earlier version does not tell.
func (l *Leader) lateOrdersPossible() bool {
	for _, rank := range l.ranks {
		if l.replies[rank].Staged == 0 {
			return false
		}
	}
	return true
}

// switchable reports whether the rank has staged a map to which it may still switch.
func (r Reply) switchable() bool {
	used, _ := r.State.usedVersion(r.NextStep)
	return r.Staged != 0 && !isRetired(r.Staged) && r.Staged != used
}

// canSwitch reports whether the rank has made the switch of a grant, or is about to, or can be ordered to.
func (r Reply) canSwitch(g Grant) bool {
	if m, ok := r.State.grantedVersion(g.FromStep); r.Staged == 0 || ok && m == g.MapVersion {
		return true
	}
	last := len(r.State.Grants) - 1
	decided := last >= 0 && r.State.Grants[last].FromStep >= g.FromStep
	return r.Staged == g.MapVersion && !decided && r.NextStep <= g.FromStep
}

// latestVersion returns the latest version that any rank has staged or is about to switch to.
func (l *Leader) latestVersion() uint64 {
	var version uint64
	for _, rank := range l.ranks {
		r := l.replies[rank]
		g, _ := r.State.PendingSwitch(r.NextStep)
		version = max(version, r.Staged, g.MapVersion)
	}
	return version
}

// needsRetire reports whether a rank may still switch to the abandoned map.
func (l *Leader) needsRetire(rank string) bool {
	r := l.replies[rank]
	if r.Staged == 0 {
		return false
	}
	_, pending := r.State.PendingSwitch(r.NextStep)
	return pending || r.Staged < RetiringVersion(l.abandoned)
}

// handleRetireReply processes a reply to Retire. A leader that has taken over goes on once no rank may
// switch any more.
func (l *Leader) handleRetireReply(r Reply, now time.Time) {
	switch {
	case l.phase == Releasing && r.Accepted:
		l.lastSent = time.Time{} // the rank can be released
	case l.phase != Retiring:
	case !r.Accepted:
		l.collectAgain(now)
	case !slices.ContainsFunc(l.ranks, l.needsRetire):
		l.adoptLatestGrants()
	}
}

// completionOrder returns the order that a rank needs in the Completing phase, and false if it needs
// none. No hold is ended before all ranks have the grants in effect. A hold that is left of an
// aborted change is ended by granting the map in effect once more, from the step of the hold on.
func (l *Leader) completionOrder(rank string) (Order, bool) {
	r := l.replies[rank]
	if len(r.State.Grants) == 0 {
		return Restore{l.ballot, r.State.Incarnation, l.grantsInEffect}, true
	}
	if g, due := l.missingGrant(rank); due {
		return Give{l.ballot, r.State.Incarnation, g, true}, true
	}
	if r.State.HoldStep == 0 || slices.ContainsFunc(l.ranks, l.lacksGrants) {
		return nil, false
	}
	m, _ := Rank{Grants: l.grantsInEffect}.grantedVersion(r.State.HoldStep)
	return Give{l.ballot, r.State.Incarnation, Grant{FromStep: r.State.HoldStep, MapVersion: m}, false}, true
}

// lacksGrants reports whether a rank lacks grants in effect.
func (l *Leader) lacksGrants(rank string) bool {
	_, due := l.missingGrant(rank)
	return due || len(l.replies[rank].State.Grants) == 0
}

// missingGrant returns the next grant in effect that a rank lacks, and false if it
// lacks none.
func (l *Leader) missingGrant(rank string) (Grant, bool) {
	r := l.replies[rank]
	for _, g := range l.grantsInEffect {
		if r.NextStep > g.FromStep {
			continue
		}
		if m, ok := r.State.grantedVersion(g.FromStep); !ok || m != g.MapVersion {
			return g, true
		}
	}
	return Grant{}, false
}

// handleCompletionReply processes a reply to an order of the Completing phase.
func (l *Leader) handleCompletionReply(r Reply, now time.Time) {
	switch {
	case l.phase != Completing:
	case !r.Accepted:
		l.collectAgain(now)
	default:
		l.lastSent = time.Time{} // the rank may need another grant, or others can be released
		l.finishCompletionIfDone()
	}
}

// finishCompletionIfDone enters the Steady phase if no rank needs an order any more.
func (l *Leader) finishCompletionIfDone() {
	for _, rank := range l.ranks {
		if _, due := l.orderFor(rank); due {
			return
		}
	}
	l.enterPhase(Steady)
}
