package group

import (
	"slices"
	"time"
)

// Leader completes what earlier leaders left behind and then changes the
// group's map, under one ballot at a time. It is the same for the holder of the
// lease and for an agent that completes a change while no leader answers.
type Leader struct {
	ranks  []string
	first  uint64
	rules  LeaderConfig
	ballot Ballot
	phase  Phase
	// replies are the latest from each rank, agreed the ranks that need no
	// further order in this phase.
	replies map[string]Reply
	agreed  map[string]bool
	begun   time.Time
	sentAt  time.Time
	// current is the latest grant in force, standing the grants that a rank
	// without memory needs.
	current  Grant
	standing []Grant
	// change is the grant being made, wanted the map to change to next.
	change  Grant
	wanted  uint64
	aborted int
	pace    pace
}

// pace is what a leader knows of the group's speed and of its own links.
type pace struct {
	step uint64
	at   time.Time
	// rate is in steps a second, round the time of the last round of asking.
	rate  float64
	round time.Duration
}

// maxAhead bounds the steps between the fastest rank and a change.
const maxAhead = 10000

// ahead is the number of steps that the group makes while promises are asked
// for, answered and followed by grants, over links as slow as the last round.
func (p pace) ahead() uint64 {
	const rounds = 3
	return uint64(min(rounds*p.round.Seconds()*p.rate, maxAhead))
}

// heard takes in the outcome of a round of asking.
func (p *pace) heard(step uint64, begun, now time.Time) {
	if took := now.Sub(p.at).Seconds(); !p.at.IsZero() && took > 0 && step > p.step {
		p.rate = float64(step-p.step) / took
	}
	p.step, p.at, p.round = step, now, now.Sub(begun)
}

// LeaderRules are the times of a leader.
type LeaderConfig struct {
	// Resend is after how long orders are sent again.
	ResendInterval time.Duration
	// Poll is the interval at which a steady leader asks the ranks for their steps.
	PollInterval time.Duration
	// GiveUp is how long a change waits for promises before it is given up.
	PromiseTimeout time.Duration
	// Ahead is the least number of steps between the fastest rank and a change;
	// slow links add to it, so that promises and grants arrive before any rank
	// gets there.
	MinStepsAhead uint64
}

// Phase is what a leader is doing.
type Phase string

// The phases of a leader.
const (
	// Collecting asks every rank where it stands.
	Collecting Phase = "collecting"
	// Confirming asks every rank once more, after a rank without memory answered.
	Confirming Phase = "confirming"
	// Completing brings every rank to where the group stands.
	Completing Phase = "completing"
	// Steady has nothing to change; the ranks are asked for their steps.
	Steady Phase = "steady"
	// Holding asks every rank to stop before the change.
	Holding Phase = "holding"
	// Giving grants the new map, after every rank's promise.
	Giving Phase = "giving"
	// Releasing grants the old map again, for a change that was given up.
	Releasing Phase = "releasing"
)

// Send asks the driver to send an order to a rank and to report the answer.
type OutgoingOrder struct {
	Rank  string
	Order Order
}

// NewLeader returns a leader that begins by collecting from all ranks. first is
// the map given when no rank holds any grant.
func NewLeader(ranks []string, b Ballot, first uint64, rules LeaderConfig) *Leader {
	l := &Leader{ranks: slices.Clone(ranks), rules: rules, first: first}
	l.collect(b)
	return l
}

func (l *Leader) collect(b Ballot) {
	l.ballot = b
	l.replies = map[string]Reply{}
	l.enter(Collecting)
}

func (l *Leader) enter(p Phase) {
	l.phase = p
	l.agreed = map[string]bool{}
	l.begun, l.sentAt = time.Time{}, time.Time{}
}

// Phase returns what the leader is doing.
func (l *Leader) Phase() Phase { return l.phase }

// Ballot returns the leader's ballot.
func (l *Leader) Ballot() Ballot { return l.ballot }

// Current returns the grant in force, once collected.
func (l *Leader) Current() Grant { return l.current }

// Aborted returns how many changes were given up.
func (l *Leader) Aborted() int { return l.aborted }

// Step returns the highest step heard of.
func (l *Leader) Step() uint64 {
	var step uint64
	for _, r := range l.replies {
		step = max(step, r.NextStep)
	}
	return step
}

// Propose asks for a change to a map that has been staged at every rank. It
// reports false while another change is under way.
func (l *Leader) Propose(mapVersion uint64) bool {
	if l.phase != Steady || l.wanted != 0 || mapVersion == l.current.MapVersion {
		return false
	}
	l.wanted = mapVersion
	l.enter(Steady) // ask for the ranks' steps at once
	return true
}

// Hurry makes a steady leader ask the ranks for their steps at its next tick.
func (l *Leader) PollNow() {
	if l.phase == Steady {
		l.sentAt = time.Time{}
	}
}

// Tick returns the orders due at now.
func (l *Leader) Tick(now time.Time) []OutgoingOrder {
	if l.begun.IsZero() {
		l.begun = now
	}
	if l.phase == Holding && now.Sub(l.begun) >= l.rules.PromiseTimeout {
		l.giveUp()
	}
	if !l.sentAt.IsZero() && now.Sub(l.sentAt) < l.interval() {
		return nil
	}
	l.sentAt = now
	if l.phase == Steady && len(l.agreed) == len(l.ranks) {
		l.agreed = map[string]bool{}
		l.begun = now
	}
	var out []OutgoingOrder
	for _, rank := range l.ranks {
		if o, due := l.orderFor(rank); due && !l.agreed[rank] {
			out = append(out, OutgoingOrder{rank, o})
		}
	}
	return out
}

// interval is the time between two rounds of orders.
func (l *Leader) interval() time.Duration {
	if l.phase == Steady && len(l.agreed) == len(l.ranks) {
		return max(l.rules.PollInterval, l.rules.ResendInterval)
	}
	return l.rules.ResendInterval
}

// orderFor returns what a rank is to be sent in this phase.
func (l *Leader) orderFor(rank string) (Order, bool) {
	incarnation := l.replies[rank].State.Incarnation
	switch l.phase {
	case Holding:
		return Hold{l.ballot, incarnation, l.change.FromStep, l.change.MapVersion}, true
	case Giving, Releasing:
		return Give{l.ballot, incarnation, l.change}, true
	case Completing:
		if len(l.replies[rank].State.Grants) == 0 {
			return Restore{l.ballot, incarnation, l.standing}, true
		}
		g, due := l.missing(rank)
		return Give{l.ballot, incarnation, g}, due
	default:
		return Collect{l.ballot, l.phase == Confirming}, true
	}
}

// missing returns the next grant that a rank needs to stand where the group
// stands; a hold that no change goes with any more is ended by granting the
// same map again.
func (l *Leader) missing(rank string) (Grant, bool) {
	r := l.replies[rank]
	for _, g := range l.standing {
		if r.NextStep > g.FromStep {
			continue
		}
		if m, ok := r.State.granted(g.FromStep); !ok || m != g.MapVersion {
			return g, true
		}
	}
	if r.State.HoldStep == 0 {
		return Grant{}, false
	}
	m, _ := Rank{Grants: l.standing}.granted(r.State.HoldStep)
	return Grant{FromStep: r.State.HoldStep, MapVersion: m}, true
}

// Replied records a rank's answer to an order of this leader, which came at now.
func (l *Leader) HandleReply(rank string, o Order, r Reply, now time.Time) {
	if ballotOf(o) != l.ballot || !slices.Contains(l.ranks, rank) {
		return
	}
	if r.State.Promised.Compare(l.ballot) > 0 {
		l.outbid(r.State.Promised)
		return
	}
	if l.phase != Collecting && l.replies[rank].State.Incarnation != r.State.Incarnation {
		// The rank lost its memory: orders of this ballot may still be under way
		// to it, so it is brought back under a new one.
		l.collect(Ballot{Term: l.ballot.Term, Attempt: l.ballot.Attempt + 1, Proposer: l.ballot.Proposer})
		return
	}
	l.replies[rank] = r
	switch v := o.(type) {
	case Collect:
		l.heard(rank, v, r, now)
	case Hold:
		l.held(rank, v, r)
	case Give:
		l.given(rank, v, r)
	case Restore:
		l.completed(r)
	}
}

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
	}
	return Ballot{}
}

// outbid begins again above a ballot of its own term; against a higher term the
// leader has lost its lease, and its driver ends it.
func (l *Leader) outbid(higher Ballot) {
	if higher.Term <= l.ballot.Term {
		l.collect(Ballot{Term: l.ballot.Term, Attempt: higher.Attempt + 1, Proposer: l.ballot.Proposer})
	}
}

// heard counts the answers to Collect. A rank without memory has forgotten what
// it promised to higher ballots, so its answer proves nothing about those. All
// ranks are asked again after it: had a higher ballot been completed before the
// loss, the other ranks would refuse this one now.
func (l *Leader) heard(rank string, o Collect, r Reply, now time.Time) {
	asked := l.phase == Collecting || l.phase == Steady || l.phase == Confirming && o.Confirm
	if !r.Accepted || !asked {
		return
	}
	l.agreed[rank] = true
	if len(l.agreed) < len(l.ranks) {
		return
	}
	l.pace.heard(l.Step(), l.begun, now)
	switch {
	case l.phase == Collecting && l.anyWithoutMemory():
		l.enter(Confirming)
	case l.phase == Collecting || l.phase == Confirming:
		l.collected()
	case l.wanted != 0:
		l.beginChange()
	}
}

func (l *Leader) anyWithoutMemory() bool {
	for _, r := range l.replies {
		if len(r.State.Grants) == 0 {
			return true
		}
	}
	return false
}

// collected decides, once every rank has answered, where the group stands. A
// grant that any rank holds may have been given after promises of all the
// others, so the latest one is completed everywhere. A change of which no rank
// holds the grant is given up: no rank will ever be given it, since all now
// refuse its ballot.
func (l *Leader) collected() {
	l.current = Grant{MapVersion: l.first}
	l.standing = []Grant{l.current}
	for _, rank := range l.ranks {
		grants := l.replies[rank].State.Grants
		if len(grants) == 0 {
			continue
		}
		if last := grants[len(grants)-1]; last.FromStep > l.current.FromStep || l.current.FromStep == 0 && last.FromStep == 0 {
			l.current, l.standing = last, slices.Clone(grants)
		}
	}
	l.enter(Completing)
	l.completeIfDone()
}

// completeIfDone ends the completion when no rank needs an order any more.
func (l *Leader) completeIfDone() {
	for _, rank := range l.ranks {
		if _, due := l.orderFor(rank); due {
			return
		}
	}
	l.enter(Steady)
}

// beginChange asks for promises to stop before a step that lies ahead of all.
func (l *Leader) beginChange() {
	l.change = Grant{FromStep: max(l.Step(), l.current.FromStep) + l.rules.MinStepsAhead + l.pace.ahead(), MapVersion: l.wanted}
	l.wanted = 0
	l.enter(Holding)
}

// held counts the promises. Only with that of every rank is the map given.
func (l *Leader) held(rank string, v Hold, r Reply) {
	if l.phase != Holding || v.Step != l.change.FromStep {
		return
	}
	if !r.Accepted {
		l.giveUp()
		return
	}
	l.agreed[rank] = true
	if len(l.agreed) == len(l.ranks) {
		l.enter(Giving)
	}
}

// giveUp releases the promises made for a change that not all ranks joined. No
// rank was granted the new map, and under this ballot none will be.
func (l *Leader) giveUp() {
	l.aborted++
	l.change.MapVersion = l.current.MapVersion
	l.enter(Releasing)
}

// given counts the grants.
func (l *Leader) given(rank string, v Give, r Reply) {
	switch {
	case l.phase == Completing:
		l.completed(r)
	case l.phase == Giving && v.Grant == l.change && r.Accepted:
		l.settled(rank, l.change)
	case l.phase == Releasing && v.Grant == l.change && (r.Accepted || r.NextStep > v.Grant.FromStep):
		// A rank that is past the step never promised, and runs the old map on.
		l.settled(rank, l.current)
	}
}

// completed notes that a rank took an order of the completion.
func (l *Leader) completed(r Reply) {
	if l.phase == Completing && r.Accepted {
		l.sentAt = time.Time{} // the rank may need another grant
		l.completeIfDone()
	}
}

// settled ends the change when every rank stands by its outcome.
func (l *Leader) settled(rank string, outcome Grant) {
	l.agreed[rank] = true
	if len(l.agreed) < len(l.ranks) {
		return
	}
	if outcome != l.current {
		l.standing = []Grant{l.current, outcome}
	}
	l.current = outcome
	l.enter(Steady)
}
