// Package client owns the decisions about client accounts at an upstream's
// door: admission, fair shares by weight, priorities, and refusals with a time
// to come back. It performs no calls and reads no clock.
package client

import (
	"math"
	"slices"
	"time"
)

// Queue admits requests to the slots of one upstream. Waiting requests are
// started by priority, then by each account's share (start-time fair
// queuing by weight). The queue is bounded in count and in estimated time.
type Queue struct {
	config   QueueConfig
	running  int
	waiting  []*Request
	accounts map[string]*accountShare
	// virtual is the start tag of the request started last.
	virtualTime float64
	serviceTime time.Duration
	lastArrival uint64
}

// Rules are the settings of a queue.
type QueueConfig struct {
	Slots     int
	MaxLength int
	// Wait is the longest time that a request may wait.
	MaxWait time.Duration
}

// Request is one request at the door.
type Request struct {
	ID       uint64
	Account  string
	Weight   float64
	Priority int

	arrivedAt     time.Time
	startTag      float64
	arrivalNumber uint64
}

type accountShare struct {
	finishTag float64
	waiting   int
	running   int
}

// Constants of the estimate.
const (
	initialServiceTime = 100 * time.Millisecond
	serviceTimeGain    = 0.1
	minRetryAfter      = 100 * time.Millisecond
	maxRetryAfter      = 30 * time.Second
	minWeight          = 0.01
)

// NewQueue returns an empty queue.
func NewQueue(rules QueueConfig) *Queue {
	return &Queue{config: rules, accounts: map[string]*accountShare{}, serviceTime: initialServiceTime}
}

// Configure changes the rules for requests that arrive from now on.
func (q *Queue) Configure(rules QueueConfig) { q.config = rules }

// Decision is what the queue does with a request.
type Decision interface{ decision() }

// Start says that the request runs now.
type Start struct{ ID uint64 }

// Enqueued says that the request waits.
type Enqueued struct{ ID uint64 }

// Refuse says that the request is refused and when to come back.
type Refuse struct {
	ID         uint64
	RetryAfter time.Duration
	// Expired is true for a request that waited for its longest time.
	Expired bool
}

func (Start) decision()    {}
func (Enqueued) decision() {}
func (Refuse) decision()   {}

// Offer decides on an arriving request. The decisions may also refuse a
// waiting request of the account that is furthest above its share, in favour
// of the arriving one.
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

// tag sets the request's place among the accounts.
func (q *Queue) assignTags(r *Request, a *accountShare) {
	q.lastArrival++
	r.arrivalNumber = q.lastArrival
	r.startTag = max(q.virtualTime, a.finishTag)
	a.finishTag = r.startTag + r.cost()
}

func (q *Queue) markRunning(r *Request, a *accountShare) {
	q.running++
	a.running++
	q.virtualTime = max(q.virtualTime, r.startTag)
}

// estimate is the time until the nth waiting request starts.
func (q *Queue) estimateWait(n int) time.Duration {
	return time.Duration(float64(q.serviceTime) * float64(n) / float64(max(q.config.Slots, 1)))
}

// RetryAfter is when a refused request would find room.
func (q *Queue) RetryAfter() time.Duration {
	return min(max(q.estimateWait(len(q.waiting)+1), minRetryAfter), maxRetryAfter)
}

// victim returns the waiting request to refuse in favour of r: the last one of
// the account with the most waiting by weight, if that is above r's own.
func (q *Queue) victim(r *Request) *Request {
	var worst *Request
	worstShare := (float64(q.accounts[r.Account].waiting) + 1) * r.cost()
	for _, w := range q.waiting {
		if w.Priority > r.Priority {
			continue
		}
		s := float64(q.accounts[w.Account].waiting) * w.cost()
		if s > worstShare || (worst != nil && s == worstShare && w.Account == worst.Account && w.arrivalNumber > worst.arrivalNumber) {
			worst, worstShare = w, s
		}
	}
	return worst
}

func (q *Queue) shareOf(name string) *accountShare {
	a := q.accounts[name]
	if a == nil {
		a = &accountShare{finishTag: q.virtualTime}
		q.accounts[name] = a
	}
	return a
}

// forget drops accounts that have nothing here and no claim on the future.
func (q *Queue) dropIfIdle(name string) {
	a := q.accounts[name]
	if a != nil && a.waiting == 0 && a.running == 0 && a.finishTag <= q.virtualTime {
		delete(q.accounts, name)
	}
}

// remove takes a request out of the line that was not started. It must not
// count against its account: the account's later requests move up.
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

// cost is a request's share of its account's time, in units of weight.
func (r *Request) cost() float64 { return 1 / max(r.Weight, minWeight) }

// startNext starts waiting requests while there are slots.
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

// Done records the end of a running request that took a time at the upstream.
func (q *Queue) Done(account string, took time.Duration, now time.Time) []Decision {
	q.running--
	if a := q.accounts[account]; a != nil {
		a.running--
	}
	q.dropIfIdle(account)
	q.serviceTime += time.Duration(math.Round(serviceTimeGain * float64(took-q.serviceTime)))
	return append(q.Expire(now), q.startNext()...)
}

// Cancel takes back a waiting request. It reports false when the request does
// not wait.
func (q *Queue) Cancel(id uint64) bool {
	for _, w := range q.waiting {
		if w.ID == id {
			q.remove(w)
			return true
		}
	}
	return false
}

// Expire refuses the requests that have waited too long.
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

// Running returns the number of requests that run.
func (q *Queue) Running() int { return q.running }

// Waiting returns the number of requests that wait.
func (q *Queue) Waiting() int { return len(q.waiting) }
