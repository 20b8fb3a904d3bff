package history

import (
	"fmt"
	"slices"
	"time"

	"bramleydeal/internal/soak/program"
)

// Time bounds of the checks, as the platform's operators state them.
const (
	// SettleTime is the time that a target must be without faults before time bounds
	// apply to it again.
	SettleTime = 3 * time.Second
	// maxApplyTime is the maximum time from the acknowledgement of a configuration
	// version by the store until it is in effect.
	maxApplyTime = 2 * time.Second
	// revertSlack is the time after which a version whose effect was seen must apply
	// to all further requests to the same process.
	revertSlack = 250 * time.Millisecond
	// readSlack is the time after which an entry counts as having read a request that
	// was sent to it.
	readSlack = 200 * time.Millisecond
	// lateSlack is the time by which a response may miss its deadline, because a host
	// that runs many processes schedules them late.
	lateSlack = 2 * time.Second
	// excusedTime is the time after the stop of an entry up to which requests may be sent that
	// the entry cuts off in the last sixth of its grace period.
	excusedTime = 3 * time.Second
	// RecoveryTime is the time after the last fault within which all requests must be
	// served again.
	RecoveryTime = 12 * time.Second
)

// Violation is a guarantee that did not hold, with the requests that show it.
type Violation struct {
	Guarantee, Detail string
}

// String returns the violation as one line of a report.
func (v Violation) String() string { return v.Guarantee + ": " + v.Detail }

// Check returns the violations of the guarantees. slack is the number of retries
// that are allowed within the retry window in addition to the retry ratio. Check
// must be called after the run has ended.
func (h *History) Check(slack float64) []Violation {
	h.mu.Lock()
	defer h.mu.Unlock()
	c := &checker{History: h, byID: map[string]*Request{}}
	slices.SortFunc(h.requests, func(a, b Request) int { return a.Sent.Compare(b.Sent) })
	for i := range h.requests {
		c.byID[h.requests[i].ID] = &h.requests[i]
	}
	for i := range h.requests {
		r := &h.requests[i]
		c.checkResponse(r)
		c.checkExecutions(r)
		c.checkConnection(r)
		c.checkKey(r)
		c.checkRecovery(r)
	}
	c.checkReverts()
	c.checkDraining()
	c.checkAdvice()
	c.checkEvacuations()
	c.checkDeadly()
	c.checkLoad()
	c.checkRetries(slack)
	return c.violations
}

// checker holds the state of one call of Check.
type checker struct {
	*History
	byID       map[string]*Request
	violations []Violation
}

// addViolation records a violation of a guarantee. The format describes its details.
func (c *checker) addViolation(guarantee, format string, args ...any) {
	c.violations = append(c.violations, Violation{guarantee, fmt.Sprintf(format, args...)})
}

// String describes the request and its outcome in one line.
func (r *Request) String() string {
	return fmt.Sprintf("%s %s at %s (process %d), sent %s, %s with status %d after %s: %s",
		r.Kind, r.ID, r.Entry, r.Incarnation, r.Sent.Format("15:04:05.000"), r.Outcome, r.Status, r.Ended.Sub(r.Sent).Round(time.Millisecond), r.Detail)
}

// faultFree reports whether a target had no fault between two times. Planned faults
// count only if planned is true.
func (c *checker) faultFree(target string, from, to time.Time, planned bool) bool {
	return !slices.ContainsFunc(c.faults, func(f *FaultInterval) bool {
		return f.Target == target && (planned || !f.Planned) && f.From.Before(to) && (f.To.IsZero() || f.To.After(from))
	})
}

// timeBoundsApply reports whether the time bounds of the configuration and of
// draining apply to a request: neither its entry nor the store had a fault during
// the request or in the settle time before it.
func (c *checker) timeBoundsApply(r *Request) bool {
	from := r.Sent.Add(-SettleTime)
	return c.faultFree(r.Entry, from, r.Ended, true) && c.faultFree(Store, from, r.Ended, true)
}

// checkResponse checks that a response is complete, belongs to the request and is
// not late.
func (c *checker) checkResponse(r *Request) {
	if r.Outcome == Wrong {
		c.addViolation("the whole answer to the caller's own request", "%v", r)
	}
	if r.Ended.After(r.Deadline.Add(lateSlack)) && c.faultFree(r.Entry, r.Sent.Add(-SettleTime), r.Ended, false) {
		c.addViolation("an answer in time", "%v", r)
	}
}

// checkExecutions compares the number of executions of a request with what its
// caller was told: a request that is not idempotent is executed at most once, a
// refused or denied one never, and an answered one at least once.
func (c *checker) checkExecutions(r *Request) {
	n := 0
	for _, a := range c.arrivals[r.ID] {
		if a.Executed {
			n++
		}
	}
	if r.Kind == Confirm && n > 1 {
		c.addViolation("at most once", "ran %d times: %v at %v", n, r, c.arrivals[r.ID])
	}
	if (r.Outcome == Refused || r.Outcome == Denied) && n > 0 {
		c.addViolation("not run is true", "ran %d times: %v at %v", n, r, c.arrivals[r.ID])
	}
	if r.Outcome == Answered && n == 0 {
		c.addViolation("the whole answer to the caller's own request", "no upstream ran it: %v", r)
	}
}

// checkConnection checks that no request is interrupted unless its entry or an
// upstream that received it had an unplanned fault, or it was sent before the entry took no
// more callers and lasted until the entry's exit. A connection may be closed before the entry
// has read the request.
func (c *checker) checkConnection(r *Request) {
	if r.Outcome != Interrupted || !c.faultFree(r.Entry, r.Sent.Add(-SettleTime), r.Ended, false) || c.outlastedGrace(r) {
		return
	}
	arrived := false
	for _, a := range c.arrivals[r.ID] {
		arrived = true
		if !c.faultFree(a.Upstream, a.At.Add(-SettleTime), r.Ended, false) {
			return
		}
	}
	if arrived || r.Ended.Sub(r.Sent) > readSlack {
		c.addViolation("nothing is cut off", "%v", r)
	}
}

// outlastedGrace reports whether a request was sent no later than excusedTime after its entry was
// told to stop and ended in the last sixth of the grace period.
func (c *checker) outlastedGrace(r *Request) bool {
	return slices.ContainsFunc(c.faults, func(f *FaultInterval) bool {
		return f.Target == r.Entry && f.Stops && !r.Sent.After(f.From.Add(excusedTime)) && r.Ended.After(f.From.Add(program.GracePeriod*5/6)) &&
			(f.To.IsZero() || r.Sent.Before(f.To))
	})
}

// checkKey checks that configuration versions take effect in time: a key is accepted
// within maxApplyTime after the version that adds it was acknowledged, and rejected
// within that time after the version that drops it was acknowledged.
func (c *checker) checkKey(r *Request) {
	if !c.timeBoundsApply(r) {
		return
	}
	added, dropped := c.versions[r.Key], c.versions[r.Key+2]
	if r.Outcome == Denied && !added.Acknowledged.IsZero() && r.Sent.After(added.Acknowledged.Add(maxApplyTime)) &&
		(dropped.WriteStarted.IsZero() || dropped.WriteStarted.After(r.Ended)) {
		c.addViolation("a configuration is in force within seconds", "key %d was acknowledged at %s: %v", r.Key, added.Acknowledged.Format("15:04:05.000"), r)
	}
	if r.Outcome == Answered && !dropped.Acknowledged.IsZero() && r.Sent.After(dropped.Acknowledged.Add(maxApplyTime)) {
		c.addViolation("a configuration is in force within seconds", "key %d was dropped at %s: %v", r.Key, dropped.Acknowledged.Format("15:04:05.000"), r)
	}
}

// checkReverts checks that no process returns to a configuration version older than
// one whose effect was seen: once it has accepted a key, it must accept that key and
// all older ones that no later version drops.
func (c *checker) checkReverts() {
	type process struct {
		entry       string
		incarnation int
	}
	type effect struct {
		key  int
		seen time.Time
	}
	effects := map[process][]effect{}
	for i := range c.requests {
		r := &c.requests[i]
		if r.Outcome == Answered {
			at := process{r.Entry, r.Incarnation}
			effects[at] = append(effects[at], effect{r.Key, r.Ended})
		}
	}
	for i := range c.requests {
		r := &c.requests[i]
		if dropped := c.versions[r.Key+2]; r.Outcome != Denied || !dropped.WriteStarted.IsZero() && dropped.WriteStarted.Before(r.Ended) {
			continue
		}
		for _, e := range effects[process{r.Entry, r.Incarnation}] {
			if e.key >= r.Key && r.Sent.After(e.seen.Add(revertSlack)) {
				c.addViolation("a configuration never reverts", "key %d was taken at %s: %v", e.key, e.seen.Format("15:04:05.000"), r)
				break
			}
		}
	}
}

// checkDraining checks that a draining upstream executes no new requests after its
// drain time.
func (c *checker) checkDraining() {
	for id, arrivals := range c.arrivals {
		r := c.byID[id]
		for _, a := range arrivals {
			since, ok := c.drainingSince[a.Upstream]
			if !ok || !a.Executed || r == nil || !a.At.After(since.Add(program.DrainTime)) {
				continue
			}
			if c.timeBoundsApply(r) && c.faultFree(r.Entry, since.Add(-SettleTime), a.At, true) && c.faultFree(Store, since.Add(-SettleTime), a.At, true) &&
				c.faultFree(a.Upstream, since, a.At, false) {
				c.addViolation("a leaving upstream gets no new work", "%s left at %s, arrival at %s: %v",
					a.Upstream, since.Format("15:04:05.000"), a.At.Format("15:04:05.000"), r)
			}
		}
	}
}

// checkRetries checks that the number of retries in any window of program.RetryWindow
// does not exceed program.RetryRatio times the number of requests plus slack. Retries are
// the arrivals of a request after its first. The number of requests is the largest one
// of three windows: the window of the retries and those that start half a window and a
// whole window earlier.
func (c *checker) checkRetries(slack float64) {
	var retries, requests []time.Time
	for _, arrivals := range c.arrivals {
		slices.SortFunc(arrivals, func(a, b Arrival) int { return a.At.Compare(b.At) })
		for _, a := range arrivals[1:] {
			retries = append(retries, a.At)
		}
	}
	slices.SortFunc(retries, time.Time.Compare)
	for i := range c.requests {
		requests = append(requests, c.requests[i].Sent)
	}
	window := program.RetryWindow
	for i, from := range retries {
		n := countBetween(retries[i:], from, from.Add(window))
		maxRequests := 0
		for _, back := range []time.Duration{0, window / 2, window} {
			maxRequests = max(maxRequests, countBetween(requests, from.Add(-back), from.Add(window-back)))
		}
		if allowed := program.RetryRatio*float64(maxRequests) + slack; float64(n) > allowed {
			c.addViolation("the bound of repeats", "%d in the window from %s, %.0f are allowed", n, from.Format("15:04:05.000"), allowed)
			return
		}
	}
}

// countBetween returns the number of times in sorted that are not before from and are
// before to.
func countBetween(sorted []time.Time, from, to time.Time) int {
	first, _ := slices.BinarySearchFunc(sorted, from, time.Time.Compare)
	last, _ := slices.BinarySearchFunc(sorted, to, time.Time.Compare)
	return last - first
}

// checkRecovery checks that all requests are answered once the recovery time after
// the last fault is over. A request may be denied if its key has been dropped.
func (c *checker) checkRecovery(r *Request) {
	denied := r.Outcome == Denied && !c.versions[r.Key+2].WriteStarted.IsZero()
	if !c.recoveredAt.IsZero() && r.Sent.After(c.recoveredAt) && r.Outcome != Answered && !denied && r.Deadly == "" {
		c.addViolation("everything is served again", "%v", r)
	}
}
