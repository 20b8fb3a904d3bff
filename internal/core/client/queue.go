// Package client decides how the requests of client accounts are served: their
// admission at an upstream with priorities, fair shares by weight and refusals with a
// retry delay (Queue), and whether an entry retries a request (RetryState). It performs
// no I/O and reads no clock; the caller passes the time.
package client

import (
	"math"
	"slices"
	"time"
)

// Queue admits requests to the slots of one upstream. Waiting requests start in the order
// of their priority, then of their account's fair share (start-time fair queuing by
// weight). Both the number of waiting requests and their estimated waiting time are
// limited.
type Queue struct {
	config   QueueConfig
	running  int
	waiting  []*Request
	accounts map[string]*accountShare
	// virtualTime is the highest start tag of a request that was started.
	virtualTime float64
	// serviceTime is the moving average of the time that a request takes at the
	// upstream.
	serviceTime time.Duration
	lastArrival uint64
}

// QueueConfig holds the settings of a Queue.
type QueueConfig struct {
	// Slots is the number of requests that may run at the same time.
	Slots int
	// MaxLength is the maximum number of waiting requests.
	MaxLength int
	// MaxWait is the longest time that a request may wait. Requests that are
	// estimated to wait longer are refused on arrival.
	MaxWait time.Duration
}

// Request is one request that asks for admission.
type Request struct {
	ID      uint64
	Account string
	// Weight is the account's weight; its share is proportional to it.
	Weight float64
	// Priority is the request's priority; requests of a higher one start first.
	Priority int

	arrivedAt time.Time
	// startTag is the virtual time at which the request is due to start.
	startTag      float64
	arrivalNumber uint64
}

// accountShare is the state of an account in the fair queuing.
type accountShare struct {
	// finishTag is the virtual time up to which the account's requests use up its
	// share.
	finishTag float64
	waiting   int
	running   int
}

// Parameters of the estimates and limits.
const (
	initialServiceTime = 100 * time.Millisecond
	// serviceTimeGain is the weight of a new sample in the average service time.
	serviceTimeGain = 0.1
	minRetryAfter   = 100 * time.Millisecond
	maxRetryAfter   = 30 * time.Second
	// minWeight replaces lower weights, which would make the cost of a request
	// unbounded.
	minWeight = 0.01
)

// NewQueue returns an empty queue.
func NewQueue(config QueueConfig) *Queue {
	return &Queue{config: config, accounts: map[string]*accountShare{}, serviceTime: initialServiceTime}
}

// Configure changes the settings. Requests that run or wait keep their place.
func (q *Queue) Configure(config QueueConfig) { q.config = config }

// Decision is what happens to a request: Start, Enqueued or Refuse.
type Decision interface{ decision() }

// Start means that the request is started now.
type Start struct{ ID uint64 }

// Enqueued means that the request waits in the queue.
type Enqueued struct{ ID uint64 }

// Refuse means that the request is refused and removed from the queue.
type Refuse struct {
	ID uint64
	// RetryAfter is the delay after which the caller may retry.
	RetryAfter time.Duration
	// Expired is true if the request was refused because it waited for MaxWait.
	Expired bool
}

func (Start) decision()    {}
func (Enqueued) decision() {}
func (Refuse) decision()   {}

// Offer returns the decisions that follow from the arrival of r at now. If the queue is
// full, or r would wait longer than MaxWait, one of them may refuse a waiting request of
// the account that exceeds its share most, so that r can wait instead.
func (q *Queue) Offer(r Request, now time.Time) []Decision {
	a := q.shareOf(r.Account)
	if q.running < q.config.Slots && len(q.waiting) == 0 {
		q.assignTags(&r, a)
		q.markRunning(&r, a)
		return []Decision{Start{r.ID}}
	}
	var decisions []Decision
	if len(q.waiting) >= q.config.MaxLength || q.estimateWait(len(q.waiting)+1) > q.config.MaxWait {
		victim := q.victim(&r)
		if victim == nil {
			q.dropIfIdle(r.Account)
			return []Decision{Refuse{ID: r.ID, RetryAfter: q.RetryAfter()}}
		}
		q.remove(victim)
		decisions = append(decisions, Refuse{ID: victim.ID, RetryAfter: q.RetryAfter()})
		a = q.shareOf(r.Account)
	}
	q.assignTags(&r, a)
	r.arrivedAt = now
	a.waiting++
	q.waiting = append(q.waiting, &r)
	decisions = append(decisions, Enqueued{r.ID})
	return append(decisions, q.startNext()...)
}

// assignTags sets the request's start tag and arrival number, and advances the finish tag
// of its account.
func (q *Queue) assignTags(r *Request, a *accountShare) {
	q.lastArrival++
	r.arrivalNumber = q.lastArrival
	r.startTag = max(q.virtualTime, a.finishTag)
	a.finishTag = r.startTag + r.cost()
}

// markRunning counts a request as running and advances the virtual time.
func (q *Queue) markRunning(r *Request, a *accountShare) {
	q.running++
	a.running++
	q.virtualTime = max(q.virtualTime, r.startTag)
}

// estimateWait returns the estimated time until the nth waiting request starts.
func (q *Queue) estimateWait(n int) time.Duration {
	return time.Duration(float64(q.serviceTime) * float64(n) / float64(max(q.config.Slots, 1)))
}

// RetryAfter returns the estimated delay after which a refused request would be admitted.
func (q *Queue) RetryAfter() time.Duration {
	return min(max(q.estimateWait(len(q.waiting)+1), minRetryAfter), maxRetryAfter)
}

// victim returns the waiting request to refuse so that r can wait, or nil if r is refused.
// It is the last request of the account with the most waiting requests in proportion to
// its weight, if that account has more than r's account would have. Requests of a higher
// priority than r's are never refused for it.
func (q *Queue) victim(r *Request) *Request {
	var victim *Request
	highestShare := (float64(q.accounts[r.Account].waiting) + 1) * r.cost()
	for _, w := range q.waiting {
		if w.Priority > r.Priority {
			continue
		}
		s := float64(q.accounts[w.Account].waiting) * w.cost()
		if s > highestShare || (victim != nil && s == highestShare && w.Account == victim.Account && w.arrivalNumber > victim.arrivalNumber) {
			victim, highestShare = w, s
		}
	}
	return victim
}

// shareOf returns the state of an account, which is created if necessary.
func (q *Queue) shareOf(name string) *accountShare {
	a := q.accounts[name]
	if a == nil {
		a = &accountShare{finishTag: q.virtualTime}
		q.accounts[name] = a
	}
	return a
}

// dropIfIdle drops the state of an account that has no requests and has not used more
// than its share.
func (q *Queue) dropIfIdle(name string) {
	a := q.accounts[name]
	if a != nil && a.waiting == 0 && a.running == 0 && a.finishTag <= q.virtualTime {
		delete(q.accounts, name)
	}
}

// remove removes a waiting request from the queue. Since it was not started, it must not
// count against the share of its account: the start tags of the account's later requests
// move forward.
func (q *Queue) remove(r *Request) {
	q.waiting = slices.DeleteFunc(q.waiting, func(w *Request) bool { return w == r })
	a := q.accounts[r.Account]
	a.waiting--
	a.finishTag -= r.cost()
	for _, w := range q.waiting {
		if w.Account == r.Account && w.arrivalNumber > r.arrivalNumber {
			w.startTag -= r.cost()
		}
	}
	q.dropIfIdle(r.Account)
}

// cost returns the virtual time that the request takes, which is inversely proportional to
// the account's weight.
func (r *Request) cost() float64 { return 1 / max(r.Weight, minWeight) }

// startNext starts waiting requests while slots are free.
func (q *Queue) startNext() []Decision {
	var out []Decision
	for q.running < q.config.Slots && len(q.waiting) > 0 {
		next := slices.MinFunc(q.waiting, compareRequests)
		a := q.accounts[next.Account]
		q.waiting = slices.DeleteFunc(q.waiting, func(w *Request) bool { return w == next })
		a.waiting--
		q.markRunning(next, a)
		out = append(out, Start{next.ID})
	}
	return out
}

// compareRequests orders requests by priority (highest first), start tag and arrival.
func compareRequests(a, b *Request) int {
	switch {
	case a.Priority != b.Priority:
		return b.Priority - a.Priority
	case a.startTag != b.startTag && a.startTag < b.startTag:
		return -1
	case a.startTag != b.startTag:
		return 1
	case a.arrivalNumber < b.arrivalNumber:
		return -1
	default:
		return 1
	}
}

// Done records that a running request of the account ended after it took the given time at
// the upstream. It returns the decisions on waiting requests that follow.
func (q *Queue) Done(account string, took time.Duration, now time.Time) []Decision {
	q.running--
	if a := q.accounts[account]; a != nil {
		a.running--
	}
	q.dropIfIdle(account)
	q.serviceTime += time.Duration(math.Round(serviceTimeGain * float64(took-q.serviceTime)))
	return append(q.Expire(now), q.startNext()...)
}

// Cancel removes a waiting request. It returns false if the request is not waiting.
func (q *Queue) Cancel(id uint64) bool {
	for _, w := range q.waiting {
		if w.ID == id {
			q.remove(w)
			return true
		}
	}
	return false
}

// Expire refuses the requests that have waited for MaxWait.
func (q *Queue) Expire(now time.Time) []Decision {
	var out []Decision
	for _, w := range slices.Clone(q.waiting) {
		if now.Sub(w.arrivedAt) >= q.config.MaxWait {
			q.remove(w)
			out = append(out, Refuse{ID: w.ID, RetryAfter: q.RetryAfter(), Expired: true})
		}
	}
	return out
}

// Running returns the number of running requests.
func (q *Queue) Running() int { return q.running }

// Waiting returns the number of waiting requests.
func (q *Queue) Waiting() int { return len(q.waiting) }
