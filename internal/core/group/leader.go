package group

import (
	"slices"
	"time"
)

// Leader is the proposer of the protocol that changes a group's expert map. It
// first completes or aborts a change that an earlier leader left unfinished, then
// makes further changes, under one ballot at a time. It performs no calls: its
// driver sends the orders that Tick returns and passes the replies to HandleReply.
// The holder of the group's lease uses it, and so does an agent that completes a
// change whose leader is unreachable. It is not safe for concurrent use.
type Leader struct {
	ranks        []string
	firstVersion uint64
	config       LeaderConfig
	ballot       Ballot
	phase        Phase
	// replies holds the latest reply of each rank. done holds the ranks that need
	// no further order in this phase.
	replies    map[string]Reply
	done       map[string]bool
	phaseStart time.Time
	lastSent   time.Time
	// current is the latest grant in effect. grantsInEffect are the grants that a
	// rank which lost its state is restored with.
	current        Grant
	grantsInEffect []Grant
	// pending is the grant of the change in progress. requestedVersion is the map
	// to change to next, 0 for none.
	pending          Grant
	requestedVersion uint64
	aborted          int
	// superseded is set once another leader is to go on instead of this one.
	superseded bool
	// abandoned is the map of the change that is given up. lastStep is the step of the
	// last change that this leader began.
	abandoned uint64
	lastStep  uint64
	progress  progress
}

// progress estimates the group's step rate and the duration of a polling round. The
// leader uses it to place a change at a step that no rank reaches before its grant
// arrives.
type progress struct {
	lastStep uint64
	lastPoll time.Time

	stepsPerSecond float64
	// pollTime is the duration of the last polling round, from the first order to
	// the reply of the last rank.
	pollTime time.Duration
}

// maxStepsAhead limits the result of progress.stepsAhead.
const maxStepsAhead = 10000

// stepsAhead returns the number of steps that the group is expected to make while
// promises are requested and given, the grants are sent and the holds are ended, if
// each of these rounds takes as long as the last polling round.
func (p progress) stepsAhead() uint64 {
	const rounds = 4
	return uint64(min(rounds*p.pollTime.Seconds()*p.stepsPerSecond, maxStepsAhead))
}

// record updates the estimate with a polling round that began at start and ended
// at now, in which step was the highest step of any rank.
func (p *progress) record(step uint64, start, now time.Time) {
	if elapsed := now.Sub(p.lastPoll).Seconds(); !p.lastPoll.IsZero() && elapsed > 0 && step > p.lastStep {
		p.stepsPerSecond = float64(step-p.lastStep) / elapsed
	}
	p.lastStep, p.lastPoll, p.pollTime = step, now, now.Sub(start)
}

// LeaderConfig holds the intervals and limits of a Leader.
type LeaderConfig struct {
	// ResendInterval is the time after which orders without a reply are sent again.
	ResendInterval time.Duration
	// PollInterval is the time between two polls of the ranks' steps in the Steady
	// phase. A poll that not all ranks have answered is repeated after ResendInterval.
	PollInterval time.Duration
	// PromiseTimeout is how long a change waits for the promises of all ranks
	// before it is aborted.
	PromiseTimeout time.Duration
	// Yields makes a leader end when a rank has promised a higher ballot of the same
	// term. Otherwise it collects again under a still higher one.
	Yields bool
	// MinStepsAhead is the smallest number of steps between the fastest rank and
	// the step of a change. Slow links add to it, so that promises and grants
	// arrive before any rank reaches the step.
	MinStepsAhead uint64
}

// Phase is the state of a Leader.
type Phase string

// The phases of a leader.
const (
	// Collecting asks every rank for its state.
	Collecting Phase = "collecting"
	// Confirming asks every rank a second time, after a reply of a rank that lost
	// its state.
	Confirming Phase = "confirming"
	// Retiring rules out that any rank switches to the map of a change that is given
	// up, before the ranks' holds are ended.
	Retiring Phase = "retiring"
	// Completing sends every rank the grants in effect that it lacks, and then ends
	// the ranks' holds.
	Completing Phase = "completing"
	// Steady has no change in progress; the ranks are polled for their steps.
	Steady Phase = "steady"
	// Holding asks every rank to promise to stop before the step of the change.
	Holding Phase = "holding"
	// Arming grants the new map, after all ranks have promised. The ranks keep their
	// holds.
	Arming Phase = "arming"
	// Giving ends the ranks' holds, after all of them have the grant of the new map.
	Giving Phase = "giving"
	// Releasing grants the old map from the step of an aborted change on, which
	// ends the ranks' holds.
	Releasing Phase = "releasing"
)

// OutgoingOrder is an order with the rank to send it to. The driver passes the
// reply to Leader.HandleReply.
type OutgoingOrder struct {
	Rank  string
	Order Order
}

// NewLeader returns a leader that begins in the Collecting phase. firstVersion is
// the map that is granted if no rank holds any grant.
func NewLeader(ranks []string, b Ballot, firstVersion uint64, config LeaderConfig) *Leader {
	l := &Leader{ranks: slices.Clone(ranks), config: config, firstVersion: firstVersion}
	l.startCollecting(b)
	return l
}

// startCollecting forgets all replies and begins to collect under ballot b.
func (l *Leader) startCollecting(b Ballot) {
	l.ballot = b
	l.replies = map[string]Reply{}
	l.enterPhase(Collecting)
}

// collectAgain collects under the next ballot after ResendInterval, since the ranks are not in the
// state that the leader expects.
func (l *Leader) collectAgain(now time.Time) {
	l.startCollecting(Ballot{Term: l.ballot.Term, Attempt: l.ballot.Attempt + 1, Proposer: l.ballot.Proposer})
	l.lastSent = now
}

// enterPhase starts phase p, in which orders to all ranks are due at once.
func (l *Leader) enterPhase(p Phase) {
	l.phase = p
	l.done = map[string]bool{}
	l.phaseStart, l.lastSent = time.Time{}, time.Time{}
}

// Phase returns the leader's current phase.
func (l *Leader) Phase() Phase { return l.phase }

// Ballot returns the ballot of the leader's orders. It changes when a rank lost
// its state or promised a higher ballot of the same term.
func (l *Leader) Ballot() Ballot { return l.ballot }

// Superseded reports whether a rank follows a leader to which this one yields. The driver
// is then to stop.
func (l *Leader) Superseded() bool { return l.superseded }

// Current returns the latest grant in effect. It is the zero Grant until the states
// of all ranks have been collected for the first time.
func (l *Leader) Current() Grant { return l.current }

// Abandoned returns the map of the change that was given up last.
func (l *Leader) Abandoned() uint64 { return l.abandoned }

// Aborted returns the number of changes that were aborted.
func (l *Leader) Aborted() int { return l.aborted }

// Step returns the highest next step in the latest replies, 0 before any reply.
func (l *Leader) Step() uint64 {
	var step uint64
	for _, r := range l.replies {
		step = max(step, r.NextStep)
	}
	return step
}

// Propose requests a change to a map that has been staged at every rank. It
// reports whether the request was accepted: it is refused outside the Steady
// phase, while another request is waiting, and for the map already in effect.
func (l *Leader) Propose(mapVersion uint64) bool {
	if l.phase != Steady || l.requestedVersion != 0 || mapVersion == l.current.MapVersion {
		return false
	}
	l.requestedVersion = mapVersion
	l.enterPhase(Steady) // polls the ranks at once
	return true
}

// ChangePending reports whether a proposed map waits for its change to begin.
func (l *Leader) ChangePending() bool { return l.requestedVersion != 0 }

// Tick returns the orders to send at now. It also aborts a change whose promises
// have taken longer than PromiseTimeout.
func (l *Leader) Tick(now time.Time) []OutgoingOrder {
	if l.phaseStart.IsZero() {
		l.phaseStart = now
	}
	if l.phase == Holding && now.Sub(l.phaseStart) >= l.config.PromiseTimeout {
		l.abortChange()
	}
	if !l.lastSent.IsZero() && now.Sub(l.lastSent) < l.sendInterval() {
		return nil
	}
	l.lastSent = now
	if l.phase == Steady && len(l.done) == len(l.ranks) {
		l.done = map[string]bool{}
		l.phaseStart = now
	}
	var out []OutgoingOrder
	for _, rank := range l.ranks {
		if o, due := l.orderFor(rank); due && !l.done[rank] {
			out = append(out, OutgoingOrder{rank, o})
		}
	}
	return out
}

// sendInterval returns the time between two rounds of orders.
func (l *Leader) sendInterval() time.Duration {
	if l.phase == Steady && len(l.done) == len(l.ranks) {
		return l.config.PollInterval
	}
	return l.config.ResendInterval
}

// orderFor returns the order for a rank in this phase, and false if the rank needs
// none.
func (l *Leader) orderFor(rank string) (Order, bool) {
	incarnation := l.replies[rank].State.Incarnation
	switch l.phase {
	case Holding:
		return Hold{l.ballot, incarnation, l.pending.FromStep, l.pending.MapVersion}, true
	case Arming:
		return Give{l.ballot, incarnation, l.pending, true}, true
	case Retiring:
		return Retire{l.ballot, incarnation, l.abandoned}, l.needsRetire(rank)
	case Releasing:
		if l.needsRetire(rank) {
			return Retire{l.ballot, incarnation, l.abandoned}, true
		}
		return Give{l.ballot, incarnation, l.pending, false}, true
	case Giving:
		return Give{l.ballot, incarnation, l.pending, false}, true
	case Completing:
		return l.completionOrder(rank)
	default:
		return Collect{l.ballot, l.phase == Confirming}, true
	}
}

// HandleReply processes a rank's reply to order o, received at now. Replies to
// orders of other ballots and of unknown ranks are ignored.
func (l *Leader) HandleReply(rank string, o Order, r Reply, now time.Time) {
	if ballotOf(o) != l.ballot || !slices.Contains(l.ranks, rank) {
		return
	}
	if r.State.Promised.Compare(l.ballot) > 0 {
		l.handleHigherBallot(r.State.Promised)
		return
	}
	if l.phase != Collecting && l.replies[rank].State.Incarnation != r.State.Incarnation {
		// The rank lost its state. Orders of this ballot may still be in transit to
		// it, so the rank is restored under a new ballot.
		l.startCollecting(Ballot{Term: l.ballot.Term, Attempt: l.ballot.Attempt + 1, Proposer: l.ballot.Proposer})
		return
	}
	if l.phase == Collecting && l.dropDoubleReply(rank, r.State.Incarnation) {
		return
	}
	l.replies[rank] = r
	switch v := o.(type) {
	case Collect:
		l.handleCollectReply(rank, v, r, now)
	case Hold:
		l.handleHoldReply(rank, v, r)
	case Give:
		l.handleGiveReply(rank, v, r, now)
	case Restore:
		l.handleCompletionReply(r, now)
	case Retire:
		l.handleRetireReply(r, now)
	}
}

// dropDoubleReply reports whether another rank has replied with the same incarnation. The orders
// for both reached one rank then, and it is not known which of the two it is, so neither reply
// counts. Both are asked again. After Collecting all incarnations differ.
func (l *Leader) dropDoubleReply(rank, incarnation string) bool {
	for other, r := range l.replies {
		if other != rank && incarnation != "" && r.State.Incarnation == incarnation {
			delete(l.replies, other)
			delete(l.done, other)
			return true
		}
	}
	return false
}

// ballotOf returns the ballot of any order.
func ballotOf(o Order) Ballot {
	switch v := o.(type) {
	case Collect:
		return v.Ballot
	case Hold:
		return v.Ballot
	case Give:
		return v.Ballot
	case Restore:
		return v.Ballot
	case Retire:
		return v.Ballot
	}
	return Ballot{}
}

// handleHigherBallot is called when a rank has promised a higher ballot. If that is of
// the leader's own term, the leader collects again under a still higher one, unless it
// yields. A higher term means that the lease was lost.
func (l *Leader) handleHigherBallot(higher Ballot) {
	switch {
	case higher.Term > l.ballot.Term || l.config.Yields:
		l.superseded = true
	default:
		l.startCollecting(Ballot{Term: l.ballot.Term, Attempt: higher.Attempt + 1, Proposer: l.ballot.Proposer})
	}
}

// handleCollectReply processes a reply to Collect. A rank that lost its state has
// also lost its promises to higher ballots, so its reply does not rule out that a
// higher ballot was completed. All ranks are therefore asked a second time: if a
// higher ballot was completed before the loss, the other ranks refuse this one.
// Agents of engines that compare no fencing tokens reconstruct their state, so none
// of their replies shows a loss, and they are always asked twice.
func (l *Leader) handleCollectReply(rank string, o Collect, r Reply, now time.Time) {
	expected := l.phase == Collecting || l.phase == Steady || l.phase == Confirming && o.Confirm
	if !r.Accepted || !expected {
		return
	}
	l.done[rank] = true
	if len(l.done) < len(l.ranks) {
		return
	}
	l.progress.record(l.Step(), l.phaseStart, now)
	switch {
	case l.phase == Collecting && (l.anyWithoutState() || l.lateOrdersPossible()):
		l.enterPhase(Confirming)
	case l.phase == Collecting || l.phase == Confirming:
		l.adoptLatestGrants()
	case l.requestedVersion != 0:
		l.beginChange()
	}
}

// anyWithoutState reports whether any rank has lost its state, or never had any.
func (l *Leader) anyWithoutState() bool {
	for _, r := range l.replies {
		if len(r.State.Grants) == 0 {
			return true
		}
	}
	return false
}

// beginChange starts the requested change at a step that no rank is expected to
// reach before the grants arrive.
func (l *Leader) beginChange() {
	step := max(l.Step(), l.current.FromStep) + l.config.MinStepsAhead + l.progress.stepsAhead()
	// An order of a change that was given up, carried out late, must not be one for this change.
	step = max(step, l.lastStep+1)
	l.pending = Grant{FromStep: step, MapVersion: l.requestedVersion}
	l.lastStep, l.requestedVersion = step, 0
	l.enterPhase(Holding)
}

// handleHoldReply processes a reply to Hold. The new map is granted only after
// every rank has promised; a refusal aborts the change.
func (l *Leader) handleHoldReply(rank string, v Hold, r Reply) {
	if l.phase != Holding || v.Step != l.pending.FromStep {
		return
	}
	if !r.Accepted {
		l.abortChange()
		return
	}
	l.done[rank] = true
	if len(l.done) == len(l.ranks) {
		l.enterPhase(Arming)
	}
}

// abortChange releases the promises of a change that not all ranks promised. No
// rank has been granted the new map, and none will be under this ballot. Where late
// orders are possible, each rank retires the map before it is released, so that no
// later leader completes the change while orders to release are under way.
func (l *Leader) abortChange() {
	l.aborted++
	l.abandoned, l.pending.MapVersion = l.pending.MapVersion, l.current.MapVersion
	l.enterPhase(Releasing)
}

// handleGiveReply processes a reply to Give.
func (l *Leader) handleGiveReply(rank string, v Give, r Reply, now time.Time) {
	switch {
	case l.phase == Completing:
		l.handleCompletionReply(r, now)
	case v.Grant != l.pending:
	case l.phase == Releasing:
		// A rank that is past the step never promised, and still uses the old map.
		if r.Accepted || r.NextStep > v.Grant.FromStep {
			l.recordOutcome(rank, l.current)
		}
	case l.phase == Arming && v.KeepHold && r.Accepted:
		l.done[rank] = true
		if len(l.done) == len(l.ranks) {
			l.enterPhase(Giving)
		}
	case l.phase == Giving && !v.KeepHold && r.Accepted:
		l.recordOutcome(rank, l.pending)
	case (l.phase == Arming || l.phase == Giving) && !r.Accepted:
		l.collectAgain(now)
	}
}

// recordOutcome notes that a rank holds the grant that a change ended with: that of
// the new map, or that of the old one if the change was aborted. The change ends
// once all ranks hold it.
func (l *Leader) recordOutcome(rank string, outcome Grant) {
	l.done[rank] = true
	if len(l.done) < len(l.ranks) {
		return
	}
	if outcome != l.current {
		l.grantsInEffect = []Grant{l.current, outcome}
	}
	l.current = outcome
	l.enterPhase(Steady)
}
