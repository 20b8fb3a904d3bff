package client

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// simulation drives a queue with arriving and ending requests in simulated time.
type simulation struct {
	queue       *Queue
	now         time.Time
	serviceTime time.Duration
	random      *rand.Rand
	endsAt      map[uint64]time.Time
	accountOf   map[uint64]string
	started     map[string]int
	refused     map[string]int
	arrivedAt   map[uint64]time.Time
	waits       []time.Duration
	nextID      uint64
}

// newSimulation returns a simulation in which a request takes between 0.5 and 1.5 times
// serviceTime.
func newSimulation(seed uint64, config QueueConfig, serviceTime time.Duration) *simulation {
	return &simulation{
		queue: NewQueue(config), now: time.Unix(0, 0), serviceTime: serviceTime, random: rand.New(rand.NewPCG(seed, seed)),
		endsAt: map[uint64]time.Time{}, accountOf: map[uint64]string{}, started: map[string]int{}, refused: map[string]int{},
		arrivedAt: map[uint64]time.Time{},
	}
}

// apply carries out the decisions of the queue.
func (s *simulation) apply(decisions []Decision) {
	for _, d := range decisions {
		switch v := d.(type) {
		case Start:
			s.started[s.accountOf[v.ID]]++
			s.waits = append(s.waits, s.now.Sub(s.arrivedAt[v.ID]))
			s.endsAt[v.ID] = s.now.Add(s.serviceTime/2 + time.Duration(s.random.Int64N(int64(s.serviceTime))))
		case Refuse:
			s.refused[s.accountOf[v.ID]]++
		}
	}
}

// arrive offers a new request to the queue.
func (s *simulation) arrive(account string, weight float64, priority int) {
	s.nextID++
	s.accountOf[s.nextID], s.arrivedAt[s.nextID] = account, s.now
	s.apply(s.queue.Offer(Request{ID: s.nextID, Account: account, Weight: weight, Priority: priority}, s.now))
}

// run simulates a period in which requests of each account arrive at the given rate per
// second.
func (s *simulation) run(length time.Duration, rates map[string]float64, weights map[string]float64) {
	const tick = time.Millisecond
	for range length / tick {
		s.now = s.now.Add(tick)
		for id, end := range s.endsAt {
			if !s.now.Before(end) {
				delete(s.endsAt, id)
				s.apply(s.queue.Done(s.accountOf[id], s.serviceTime, s.now))
			}
		}
		for _, account := range []string{"a", "b", "c", "d"} {
			if s.random.Float64() < rates[account]*tick.Seconds() {
				s.arrive(account, weights[account], 0)
			}
		}
		if s.now.UnixMilli()%100 == 0 {
			s.apply(s.queue.Expire(s.now))
		}
	}
}

var equalWeights = map[string]float64{"a": 1, "b": 1, "c": 1, "d": 1}

// TestQueueKeepsThroughputAndFairSharesUnderOverload guards against an overload by one
// account that starves the others or reduces the throughput. It offers 2 and 5 times the
// capacity of an upstream, most of it from one large account.
func TestQueueKeepsThroughputAndFairSharesUnderOverload(t *testing.T) {
	const slots, serviceTime = 10, 100 * time.Millisecond
	const capacity = 100.0 // requests per second
	for _, factor := range []float64{2, 5} {
		t.Run(fmt.Sprintf("%v times capacity", factor), func(t *testing.T) {
			is := is.New(t)
			s := newSimulation(1, QueueConfig{Slots: slots, MaxLength: 64, MaxWait: 2 * time.Second}, serviceTime)
			offered := factor * capacity
			// b, c and d stay below their fair share of 25 requests per second each.
			s.run(20*time.Second, map[string]float64{"a": offered - 45, "b": 15, "c": 15, "d": 15}, equalWeights)
			total := 0
			for account, n := range s.started {
				total += n
				t.Logf("%s started %d, refused %d", account, n, s.refused[account])
			}
			is.True(float64(total) > 0.9*capacity*20)
			for _, small := range []string{"b", "c", "d"} {
				is.True(float64(s.started[small]) > 0.9*15*20) // no small account starves
			}
			for _, w := range s.waits {
				is.True(w <= 2*time.Second+100*time.Millisecond)
			}
		})
	}
}

func TestQueueSharesFollowWeights(t *testing.T) {
	is := is.New(t)
	s := newSimulation(2, QueueConfig{Slots: 10, MaxLength: 64, MaxWait: 2 * time.Second}, 100*time.Millisecond)
	s.run(20*time.Second, map[string]float64{"a": 200, "b": 200}, map[string]float64{"a": 3, "b": 1})
	ratio := float64(s.started["a"]) / float64(s.started["b"])
	t.Logf("started %v", s.started)
	is.True(ratio > 2.5 && ratio < 3.5)
}

func TestQueueStartsHigherPriorityFirst(t *testing.T) {
	is := is.New(t)
	q := NewQueue(QueueConfig{Slots: 1, MaxLength: 10, MaxWait: time.Minute})
	now := time.Unix(0, 0)
	q.Offer(Request{ID: 1, Account: "a", Weight: 1}, now)
	q.Offer(Request{ID: 2, Account: "a", Weight: 1}, now)
	q.Offer(Request{ID: 3, Account: "b", Weight: 1, Priority: 1}, now)
	is.Equal(q.Done("a", time.Second, now), []Decision{Start{3}})
	is.Equal(q.Done("b", time.Second, now), []Decision{Start{2}})
}

func TestQueueRefusesRequestThatCannotStartInTime(t *testing.T) {
	is := is.New(t)
	q := NewQueue(QueueConfig{Slots: 1, MaxLength: 1000, MaxWait: time.Second})
	now := time.Unix(0, 0)
	waiting := 0
	for id := uint64(1); ; id++ {
		d := q.Offer(Request{ID: id, Account: "a", Weight: 1}, now)
		if r, ok := d[0].(Refuse); ok {
			is.True(r.RetryAfter > 0)
			is.True(!r.Expired)
			break
		}
		waiting = q.Waiting()
	}
	is.Equal(waiting, 10) // with the initial estimate of 100 ms per request
}

// TestRequestIsAdmittedAfterRetryAfter checks that the retry delay given with a refusal is
// long enough: after it, requests are admitted.
func TestRequestIsAdmittedAfterRetryAfter(t *testing.T) {
	is := is.New(t)
	s := newSimulation(3, QueueConfig{Slots: 10, MaxLength: 20, MaxWait: 2 * time.Second}, 100*time.Millisecond)
	s.run(5*time.Second, map[string]float64{"a": 300}, equalWeights)
	delay := s.queue.RetryAfter()
	t.Logf("retry after %v", delay)
	// The burst ends, and the caller that was refused last retries after the delay.
	s.run(delay, nil, equalWeights)
	refusedBefore := s.refused["b"]
	for range 10 {
		s.arrive("b", 1, 0)
	}
	is.Equal(s.refused["b"], refusedBefore)
}

func TestQueueCancel(t *testing.T) {
	is := is.New(t)
	q := NewQueue(QueueConfig{Slots: 1, MaxLength: 10, MaxWait: time.Minute})
	now := time.Unix(0, 0)
	q.Offer(Request{ID: 1, Account: "a", Weight: 1}, now)
	q.Offer(Request{ID: 2, Account: "b", Weight: 1}, now)
	is.True(q.Cancel(2))
	is.True(!q.Cancel(2))
	is.Equal(len(q.Done("a", time.Second, now)), 0)
	is.Equal(len(q.accounts), 1) // the state of b was dropped
}
