package history

import (
	"fmt"
	"slices"
	"time"

	"bramleydeal/internal/soak/program"
)

// Bounds of the checks, as the platform's operators state them.
const (
	// Touch is how long an entry must be without trouble before bounds in time hold
	// for it.
	Touch = 3 * time.Second
	// applyTime is the time from a version's acknowledgement to its effect.
	applyTime = 2 * time.Second
	// revertSlack is the time after which a version that was seen must bind all
	// later requests of the process.
	revertSlack = 250 * time.Millisecond
	// readSlack is the time after which a request that was sent counts as read.
	readSlack = 200 * time.Millisecond
	// lateSlack is how much later than its time an answer may come; it leaves room
	// for a machine that runs many processes.
	lateSlack = 2 * time.Second
	// Recovery is the time after all trouble in which everything serves again.
	Recovery = 12 * time.Second
)

// Violation is a promise that was not kept.
type Violation struct {
	Promise, Detail string
}

func (v Violation) String() string { return v.Promise + ": " + v.Detail }

// Check returns the promises that were not kept. It is called when nothing runs
// any more.
func (l *Ledger) Check(slack float64) []Violation {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := &check{Ledger: l, byID: map[string]*Request{}}
	slices.SortFunc(l.requests, func(a, b Request) int { return a.Sent.Compare(b.Sent) })
	for i := range l.requests {
		c.byID[l.requests[i].ID] = &l.requests[i]
	}
	for i := range l.requests {
		r := &l.requests[i]
		c.answer(r)
		c.runs(r)
		c.connection(r)
		c.key(r)
		c.calm(r)
	}
	c.reverts()
	c.leaving()
	c.repeats(slack)
	return c.found
}

type check struct {
	*Ledger
	byID  map[string]*Request
	found []Violation
}

func (c *check) violated(promise, format string, args ...any) {
	c.found = append(c.found, Violation{promise, fmt.Sprintf(format, args...)})
}

func (r *Request) String() string {
	return fmt.Sprintf("%s %s at %s (process %d), sent %s, %s with status %d after %s: %s",
		r.Kind, r.ID, r.Entry, r.Lifetime, r.Sent.Format("15:04:05.000"), r.Outcome, r.Status, r.Ended.Sub(r.Sent).Round(time.Millisecond), r.Detail)
}

// calmAt tells whether a target had no trouble in a time; planned trouble counts
// where it is asked for.
func (c *check) calmAt(target string, from, to time.Time, planned bool) bool {
	return !slices.ContainsFunc(c.troubles, func(t *Trouble) bool {
		return t.Target == target && (planned || !t.Planned) && t.From.Before(to) && (t.To.IsZero() || t.To.After(from))
	})
}

// inTouch tells whether the bounds in time hold for a request's entry.
func (c *check) inTouch(r *Request) bool {
	from := r.Sent.Add(-Touch)
	return c.calmAt(r.Entry, from, r.Ended, true) && c.calmAt(Store, from, r.Ended, true)
}

// answer checks that an answer is the caller's own, whole and in time.
func (c *check) answer(r *Request) {
	if r.Outcome == Wrong {
		c.violated("the whole answer to the caller's own request", "%v", r)
	}
	if r.Ended.After(r.Until.Add(lateSlack)) && c.calmAt(r.Entry, r.Sent.Add(-Touch), r.Ended, false) {
		c.violated("an answer in time", "%v", r)
	}
}

// runs checks how often a request ran against what its caller was told.
func (c *check) runs(r *Request) {
	n := 0
	for _, a := range c.arrivals[r.ID] {
		if a.Runs {
			n++
		}
	}
	if r.Kind == Confirm && n > 1 {
		c.violated("at most once", "ran %d times: %v at %v", n, r, c.arrivals[r.ID])
	}
	if (r.Outcome == Refused || r.Outcome == Denied) && n > 0 {
		c.violated("not run is true", "ran %d times: %v at %v", n, r, c.arrivals[r.ID])
	}
	if r.Outcome == Answered && n == 0 {
		c.violated("the whole answer to the caller's own request", "no upstream ran it: %v", r)
	}
}

// connection checks that no connection ends with a request in it, but for trouble
// that nobody planned.
func (c *check) connection(r *Request) {
	if r.Outcome != Broken || !c.calmAt(r.Entry, r.Sent.Add(-Touch), r.Ended, false) {
		return
	}
	ran := false
	for _, a := range c.arrivals[r.ID] {
		ran = true
		if !c.calmAt(a.Upstream, a.At.Add(-Touch), r.Ended, false) {
			return
		}
	}
	if ran || r.Ended.Sub(r.Sent) > readSlack {
		c.violated("nothing is cut off", "%v", r)
	}
}

// key checks that the versions of the configuration are in force in time.
func (c *check) key(r *Request) {
	if !c.inTouch(r) {
		return
	}
	brought, dropped := c.versions[r.Key], c.versions[r.Key+2]
	if r.Outcome == Denied && !brought.Acked.IsZero() && r.Sent.After(brought.Acked.Add(applyTime)) &&
		(dropped.Sent.IsZero() || dropped.Sent.After(r.Ended)) {
		c.violated("a configuration is in force within seconds", "key %d was acknowledged at %s: %v", r.Key, brought.Acked.Format("15:04:05.000"), r)
	}
	if r.Outcome == Answered && !dropped.Acked.IsZero() && r.Sent.After(dropped.Acked.Add(applyTime)) {
		c.violated("a configuration is in force within seconds", "key %d was dropped at %s: %v", r.Key, dropped.Acked.Format("15:04:05.000"), r)
	}
}

// reverts checks that no process goes back behind a version whose effect was seen.
func (c *check) reverts() {
	type process struct {
		entry    string
		lifetime int
	}
	type effect struct {
		key  int
		seen time.Time
	}
	effects := map[process][]effect{}
	for i := range c.requests {
		r := &c.requests[i]
		if r.Outcome == Answered {
			at := process{r.Entry, r.Lifetime}
			effects[at] = append(effects[at], effect{r.Key, r.Ended})
		}
	}
	for i := range c.requests {
		r := &c.requests[i]
		if dropped := c.versions[r.Key+2]; r.Outcome != Denied || !dropped.Sent.IsZero() && dropped.Sent.Before(r.Ended) {
			continue
		}
		for _, e := range effects[process{r.Entry, r.Lifetime}] {
			if e.key >= r.Key && r.Sent.After(e.seen.Add(revertSlack)) {
				c.violated("a configuration never reverts", "key %d was taken at %s: %v", e.key, e.seen.Format("15:04:05.000"), r)
				break
			}
		}
	}
}

// leaving checks that leaving upstreams get no new work.
func (c *check) leaving() {
	for id, arrivals := range c.arrivals {
		r := c.byID[id]
		for _, a := range arrivals {
			left, ok := c.left[a.Upstream]
			if !ok || !a.Runs || r == nil || !a.At.After(left.Add(program.DrainTime)) {
				continue
			}
			if c.inTouch(r) && c.calmAt(r.Entry, left.Add(-Touch), a.At, true) && c.calmAt(Store, left.Add(-Touch), a.At, true) &&
				c.calmAt(a.Upstream, left, a.At, false) {
				c.violated("a leaving upstream gets no new work", "%s left at %s, arrival at %s: %v",
					a.Upstream, left.Format("15:04:05.000"), a.At.Format("15:04:05.000"), r)
			}
		}
	}
}

// repeats checks the number of arrivals beyond the first of each request in any
// window.
func (c *check) repeats(slack float64) {
	var repeats, requests []time.Time
	for _, arrivals := range c.arrivals {
		slices.SortFunc(arrivals, func(a, b Arrival) int { return a.At.Compare(b.At) })
		for _, a := range arrivals[1:] {
			repeats = append(repeats, a.At)
		}
	}
	slices.SortFunc(repeats, time.Time.Compare)
	for i := range c.requests {
		requests = append(requests, c.requests[i].Sent)
	}
	window := program.RetryWindow
	for i, from := range repeats {
		n := between(repeats[i:], from, from.Add(window))
		most := 0
		for _, back := range []time.Duration{0, window / 2, window} {
			most = max(most, between(requests, from.Add(-back), from.Add(window-back)))
		}
		if allowed := program.RetryRatio*float64(most) + slack; float64(n) > allowed {
			c.violated("the bound of repeats", "%d in the window from %s, %.0f are allowed", n, from.Format("15:04:05.000"), allowed)
			return
		}
	}
}

func between(sorted []time.Time, from, to time.Time) int {
	first, _ := slices.BinarySearchFunc(sorted, from, time.Time.Compare)
	last, _ := slices.BinarySearchFunc(sorted, to, time.Time.Compare)
	return last - first
}

// calm checks that everything is served again some time after the last trouble.
func (c *check) calm(r *Request) {
	denied := r.Outcome == Denied && !c.versions[r.Key+2].Sent.IsZero()
	if !c.calmFrom.IsZero() && r.Sent.After(c.calmFrom) && r.Outcome != Answered && !denied {
		c.violated("everything is served again", "%v", r)
	}
}
