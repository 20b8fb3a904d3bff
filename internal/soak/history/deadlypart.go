package history

import (
	"slices"
	"time"
)

// DeadlyCause is why upstreams end on a request.
type DeadlyCause string

// The causes for which upstreams end on requests.
const (
	// DeadlyPart is a part of the prompt that many streams have.
	DeadlyPart DeadlyCause = "part"
	// DeadlyCheck and DeadlyConfirm are the content of a whole request of that kind, which is
	// sent again and again.
	DeadlyCheck   DeadlyCause = "check"
	DeadlyConfirm DeadlyCause = "confirm"
)

// deadlyBounds are the bounds of the requests with one cause, as the platform's operators state
// them.
type deadlyBounds struct {
	kind Kind
	// ends is the number of ends after which, SettleTime later, no more than deadlyRequests
	// may reach upstreams.
	ends int
}

var deadlyCauses = map[DeadlyCause]deadlyBounds{DeadlyPart: {Draft, 5}, DeadlyCheck: {Check, 3}, DeadlyConfirm: {Confirm, 3}}

// Bounds of all causes.
const (
	deadlyRequests = 3
	// soundShare is the fraction of the usual share of sound requests that must be served
	// from twice SettleTime on. It is checked with minSound requests or more.
	soundShare = 0.5
	minSound   = 20
)

// AddDeadlyEnd records that an upstream has ended now on a request.
func (h *History) AddDeadlyEnd(why DeadlyCause) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.deadlyEnds == nil {
		h.deadlyEnds = map[DeadlyCause][]time.Time{}
	}
	h.deadlyEnds[why] = append(h.deadlyEnds[why], time.Now())
}

// checkDeadly checks that requests on which upstreams end stop reaching them, by way of entries
// without a fault, and that sound requests of the same kind go on being served.
func (c *checker) checkDeadly() {
	for why, bounds := range deadlyCauses {
		ends := c.deadlyEnds[why]
		if len(ends) == 0 {
			continue
		}
		if len(ends) >= bounds.ends {
			c.checkDeadlyRequests(why, ends[bounds.ends-1].Add(SettleTime))
		}
		settled := ends[min(len(ends), bounds.ends)-1].Add(2 * SettleTime)
		before, beside := c.soundServed(bounds.kind, time.Time{}, ends[0].Add(-SettleTime)), c.soundServed(bounds.kind, settled, c.lastDeadly(why))
		if before.all >= minSound && beside.all >= minSound && beside.share() < soundShare*before.share() {
			c.addViolation("sound requests beside a deadly "+string(why)+" are served", "%.2f of %d, %.2f of %d before", beside.share(), beside.all, before.share(), before.all)
		}
	}
}

// checkDeadlyRequests checks how many requests with a cause reached upstreams since a time.
func (c *checker) checkDeadlyRequests(why DeadlyCause, since time.Time) {
	n := 0
	for id, arrivals := range c.arrivals {
		r := c.byID[id]
		if r == nil || r.Deadly != why {
			continue
		}
		for _, a := range arrivals {
			if a.At.After(since) && !a.Misdirected && c.faultFree(r.Entry, a.At.Add(-SettleTime), a.At, true) {
				n++
			}
		}
	}
	if n > deadlyRequests {
		c.addViolation("requests with a deadly "+string(why)+" stop reaching upstreams", "%d after %s, %d are allowed; %d ended in all", n, since.Format("15:04:05.000"), deadlyRequests, len(c.deadlyEnds[why]))
	}
}

// lastDeadly returns when the last request with a cause was sent.
func (c *checker) lastDeadly(why DeadlyCause) (last time.Time) {
	for i := range c.requests {
		if r := &c.requests[i]; r.Deadly == why && r.Sent.After(last) {
			last = r.Sent
		}
	}
	return last
}

// served counts requests, and those of them that were answered.
type served struct{ all, answered int }

func (s served) share() float64 { return float64(s.answered) / float64(max(s.all, 1)) }

// soundServed counts the sound requests of a kind sent between two times while neither their entry nor
// the store had a fault and upstreams had room, that met no upstream with a fault.
func (c *checker) soundServed(kind Kind, from, to time.Time) (s served) {
	for i := range c.requests {
		r := &c.requests[i]
		if r.Kind != kind || r.Deadly != "" || !r.Sent.After(from) || !r.Sent.Before(to) || !c.timeBoundsApply(r) || c.littleRoom(r.Sent) {
			continue
		}
		atFaulty := slices.ContainsFunc(c.arrivals[r.ID], func(a Arrival) bool { return !c.faultFree(a.Upstream, a.At.Add(-SettleTime), r.Ended, true) })
		if s.all++; r.Outcome == Answered {
			s.answered++
		} else if atFaulty {
			s.all--
		}
	}
	return s
}
