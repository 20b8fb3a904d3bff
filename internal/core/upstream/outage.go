package upstream

import (
	"slices"
	"time"
)

// Availability says whether the groups of a pool run requests.
type Availability int

// The values of Availability. A pool with an upstream outside all groups is Available.
const (
	Available Availability = iota
	// ProbeDue means that all groups are stalled and that one may be probed.
	ProbeDue
	// Stalled means that all groups are stalled and that no probe is due.
	Stalled
)

// Availability returns whether the groups run requests, as far as is known at now.
func (p *Pool) Availability(now time.Time) Availability {
	result := Available
	for _, m := range p.members {
		switch {
		case m.leaving():
		case m.group == nil || m.group.health.ejectedUntil.IsZero():
			return Available
		case !m.group.health.ejected(now):
			result = ProbeDue
		case result == Available:
			result = Stalled
		}
	}
	return result
}

// Grouped reports whether the pool has groups.
func (p *Pool) Grouped() bool { return len(p.groups) > 0 }

// OutageEvidence is what is known of the cause of an outage. A greater value tells more.
type OutageEvidence int

// The values of OutageEvidence.
const (
	// StallSeen means that upstreams say that their group is stalled.
	StallSeen OutageEvidence = iota
	// ListedBroken means that the list marks a group as broken, or that a rank has ended.
	ListedBroken
	// DomainUnreachable means that a failure domain cannot be connected to.
	DomainUnreachable
	outageEvidences
)

var outageEvidenceNames = [outageEvidences]string{"stall", "listed-broken", "domain-unreachable"}

// String returns the name of the evidence in dumps and metrics.
func (e OutageEvidence) String() string { return outageEvidenceNames[e] }

// outageEvidence returns the evidence for an outage of the groups.
func (p *Pool) outageEvidence() OutageEvidence {
	evidence := StallSeen
	for _, m := range p.members {
		switch {
		case p.reachabilityOf(m).connectTimeouts >= maxConnectTimeouts:
			return DomainUnreachable
		case m.group != nil && m.group.broken:
			evidence = ListedBroken
		}
	}
	return evidence
}

// Parameters of what is learnt of outages.
const (
	// maxOutageLengths is the number of outages that are remembered for each evidence.
	maxOutageLengths = 16
	// minOutageLengths is the number of remembered outages from which on they say how long
	// another one will last.
	minOutageLengths = 3
	// minOutageEstimate is the least remaining time that is assumed of an outage like which
	// none is known: a lost instance or failure domain takes some seconds to return, and
	// its group some more to re-form.
	minOutageEstimate = 3 * time.Second
	// maxReturnGap is the longest time between the returns of two callers that were refused
	// one after the other.
	maxReturnGap = 250 * time.Millisecond
	// returnShare is the part of the rate of answers before an outage at which callers are
	// told to return after it. The rest is left for new requests.
	returnShare = 0.5
	// rateWindow is the time over which the rate of answers is measured.
	rateWindow = 5 * time.Second
)

// Outages keeps the lengths of the outages of a service, estimates how long the current one
// will last, and says when callers that are refused are to return.
type Outages struct {
	// begunAt is when the current outage began, zero if there is none, and evidence the
	// strongest evidence for it so far.
	begunAt  time.Time
	evidence OutageEvidence
	// lengths holds the lengths of the latest outages by evidence, oldest first.
	lengths [outageEvidences][]time.Duration
	// returnAt is the time of the last return that was given out.
	returnAt time.Time
	answers  answerRate
}

// answerRate measures the rate of answers.
type answerRate struct {
	windowAt time.Time
	count    int
	// perSecond is the rate in the window before.
	perSecond float64
}

func (r *answerRate) record(now time.Time) {
	switch age := now.Sub(r.windowAt); {
	case r.windowAt.IsZero() || age >= 2*rateWindow:
		*r = answerRate{windowAt: now}
	case age >= rateWindow:
		*r = answerRate{windowAt: now, perSecond: float64(r.count) / age.Seconds()}
	}
	r.count++
}

// Record records whether the service is available at now, and the evidence if it is not.
func (o *Outages) Record(a Availability, evidence OutageEvidence, now time.Time) {
	switch {
	case a != Available && o.begunAt.IsZero():
		o.begunAt, o.evidence = now, evidence
	case a != Available:
		o.evidence = max(o.evidence, evidence)
	case !o.begunAt.IsZero():
		known := append(o.lengths[o.evidence], now.Sub(o.begunAt))
		o.lengths[o.evidence] = slices.Clone(known[max(len(known)-maxOutageLengths, 0):])
		o.begunAt, o.returnAt = time.Time{}, time.Time{}
	}
}

// RecordAnswer records that a request was answered at now.
func (o *Outages) RecordAnswer(now time.Time) { o.answers.record(now) }

// Lasted returns how long the current outage has lasted at now, 0 if there is none.
func (o *Outages) Lasted(now time.Time) time.Duration {
	if o.begunAt.IsZero() {
		return 0
	}
	return now.Sub(o.begunAt)
}

// Remaining returns the least and the longest time after which outages with the same
// evidence ended that had lasted as long as the current one. It returns false if there is no
// outage, or if too few like it are known.
func (o *Outages) Remaining(now time.Time) (least, most time.Duration, known bool) {
	if o.begunAt.IsZero() || len(o.lengths[o.evidence]) < minOutageLengths {
		return 0, 0, false
	}
	lasted := now.Sub(o.begunAt)
	for _, l := range o.lengths[o.evidence] {
		if l <= lasted {
			continue
		}
		if !known || l-lasted < least {
			least = l - lasted
		}
		most, known = max(most, l-lasted), true
	}
	return least, most, known
}

// Estimate returns a cautious estimate of the remaining time of the current outage, 0 if there
// is none. An outage like which none is known is taken to last as long again as it has.
func (o *Outages) Estimate(now time.Time) time.Duration {
	if o.begunAt.IsZero() {
		return 0
	}
	if _, most, known := o.Remaining(now); known {
		return most
	}
	return max(now.Sub(o.begunAt), minOutageEstimate)
}

// ReturnAfter returns the delay, at least atLeast and at most atMost, after which a caller that
// is refused at now is to return. It returns 0 if there is no outage. Callers return in the
// order in which they are refused, and no faster than the service is likely to take them.
func (o *Outages) ReturnAfter(atLeast, atMost time.Duration, now time.Time) time.Duration {
	if o.begunAt.IsZero() {
		return 0
	}
	at := now.Add(max(o.Estimate(now), atLeast))
	if next := o.returnAt.Add(o.returnGap()); next.After(at) {
		at = next
	}
	if latest := now.Add(atMost); at.After(latest) {
		at = latest
	}
	if at.After(o.returnAt) {
		o.returnAt = at
	}
	return at.Sub(now)
}

func (o *Outages) returnGap() time.Duration {
	if o.answers.perSecond <= 0 {
		return maxReturnGap
	}
	return min(time.Duration(float64(time.Second)/(returnShare*o.answers.perSecond)), maxReturnGap)
}

// trackOutage records whether the groups are available at now. It is called whenever that
// may have changed.
func (p *Pool) trackOutage(now time.Time) {
	evidence := StallSeen
	a := p.Availability(now)
	if a != Available {
		evidence = p.outageEvidence()
	}
	p.outages.Record(a, evidence, now)
}

// Outages returns what is known of the outages of the pool's groups.
func (p *Pool) Outages() *Outages { return &p.outages }

// RecordFirstEvent records that an upstream has sent the first event of a stream at now, in
// response to a request sent at sent. It reports whether that shows that the upstream's
// group, which was stalled, runs requests again.
func (p *Pool) RecordFirstEvent(id string, sent, now time.Time) bool {
	m := p.byID[id]
	if m == nil || !m.group.reopen(sent) {
		return false
	}
	if !m.advice.limited {
		// That the upstream took the request without a limit is news for a while. It
		// tells peers that its group runs requests.
		m.advice.setLimit(false, 0, sent)
	}
	p.trackOutage(now)
	return true
}

// reopen ends the stall of a group that has run a request sent at sent. It reports whether
// the group was stalled before. It does nothing if g is nil.
func (g *poolGroup) reopen(sent time.Time) bool {
	if g == nil || g.health.ejectedUntil.IsZero() || !sent.After(g.stalledAt) {
		return false
	}
	g.health, g.broken = health{}, false
	return true
}

// OutageState is the debug state of a service's outages.
type OutageState struct {
	LastedMS   int64              `json:"lasted-milliseconds"`
	EstimateMS int64              `json:"estimate-milliseconds"`
	Evidence   string             `json:"evidence,omitempty"`
	LengthsMS  map[string][]int64 `json:"lengths-milliseconds"`
	Waiting    int                `json:"waiting"`
}

// State returns the debug state at now.
func (o *Outages) State(now time.Time) OutageState {
	s := OutageState{LastedMS: o.Lasted(now).Milliseconds(), EstimateMS: o.Estimate(now).Milliseconds(), LengthsMS: map[string][]int64{}}
	if !o.begunAt.IsZero() {
		s.Evidence = o.evidence.String()
	}
	for e, lengths := range o.lengths {
		for _, l := range lengths {
			name := OutageEvidence(e).String()
			s.LengthsMS[name] = append(s.LengthsMS[name], l.Milliseconds())
		}
	}
	return s
}
