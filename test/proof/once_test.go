package proof

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"bramleydeal/internal/world/answer"
	"github.com/matryer/is"
)

// story is what happened to one key: the answers to its caller's attempts.
type story struct {
	key, body string
	replies   []reply
}

// last returns the answer to the last attempt.
func (s story) last() reply { return s.replies[len(s.replies)-1] }

// Times of a test's caller.
const (
	attemptTimeout = 1500 * time.Millisecond
	maxAttempts    = 6
)

// persist sends a keyed request through one entry after another until it is
// decided.
func (d *deployment) persist(entries []string, key, session string, first int) story {
	s := story{key: key, body: "body of " + key}
	for n := range maxAttempts {
		ctx, cancel := context.WithTimeout(d.t.Context(), attemptTimeout)
		headers := map[string]string{"Idempotency-Key": key}
		if session != "" {
			headers["Bramleydeal-Session"] = session
		}
		r := d.call(ctx, entries[(first+n)%len(entries)], http.MethodPost, "/services/stock/confirm", s.body, headers)
		cancel()
		s.replies = append(s.replies, r)
		if r.whole() || r.err == nil && !r.problem.RetryAllowed {
			break
		}
		time.Sleep(time.Duration(r.problem.RetryAfterSeconds) * time.Second)
	}
	return s
}

// checkOnce checks the promises on every story against the services' own
// counts: no key ran twice, whole answers are the key's own, and where the last
// word is "not run" the count is zero.
func (d *deployment) checkOnce(stories []story) {
	d.t.Helper()
	counts := d.counts()
	tally := map[string]int{}
	for _, s := range stories {
		n, last := counts[s.key], s.last()
		switch {
		case n > 1:
			d.t.Errorf("%s ran %d times", s.key, n)
		case last.whole():
			checkAnswer(d.t, last, s.key, s.body)
			if n != 1 {
				d.t.Errorf("%s has an answer but ran %d times", s.key, n)
			}
			tally["answered"]++
		case last.err != nil:
			tally["no answer"]++
		default:
			tally[last.problem.Title]++
		}
		for i, r := range s.replies {
			if r.err == nil && r.problem.Run == answer.NotRun && i == len(s.replies)-1 && n != 0 {
				d.t.Errorf("%s was refused as not run (%s) and ran %d times", s.key, r.problem.Detail, n)
			}
		}
	}
	d.t.Logf("%d keys: %v", len(stories), tally)
}

// fault is something that goes wrong during a test.
type fault struct {
	name string
	// begin brings it about and end mends it.
	begin, end func(d *deployment)
}

func signalFault(name string, s, undo syscall.Signal) fault {
	return fault{
		name:  fmt.Sprintf("%s gets %v", name, s),
		begin: func(d *deployment) { d.signal(name, s) },
		end: func(d *deployment) {
			if undo != 0 {
				d.signal(name, undo)
			}
		},
	}
}

func cutFault(link string) fault {
	return fault{"a cut of " + link, func(d *deployment) { d.cut(link) }, func(d *deployment) { d.heal(link) }}
}

func lostAnswersFault(link string) fault {
	return fault{"lost answers of " + link, func(d *deployment) { d.cutAnswers(link) }, func(d *deployment) { d.heal(link) }}
}

func platformFault(name string, knobs map[string]any) fault {
	return fault{name,
		func(d *deployment) { d.knobs(d.platform, knobs) },
		func(d *deployment) { d.knobs(d.platform, map[string]any{}) }}
}

func serviceFault(name string, knobs map[string]any) fault {
	return fault{name,
		func(d *deployment) { d.knobs(d.processes["service-s1"].address, knobs) },
		func(d *deployment) { d.knobs(d.processes["service-s1"].address, map[string]any{}) }}
}

var (
	entryKilled    = signalFault("e1", syscall.SIGKILL, 0)
	entryFrozen    = signalFault("e1", syscall.SIGSTOP, syscall.SIGCONT)
	agentKilled    = signalFault("s1", syscall.SIGKILL, 0)
	agentFrozen    = signalFault("s1", syscall.SIGSTOP, syscall.SIGCONT)
	upstreamKilled = signalFault("service-s1", syscall.SIGSTOP, syscall.SIGCONT)
	platformDown   = platformFault("platform outage", map[string]any{"outage": true})
	platformSlow   = platformFault("slow platform", map[string]any{"delay-milliseconds": 3000})
	platformLoses  = platformFault("platform loses answers", map[string]any{"lose-answers": 30})
	serviceBreaks  = serviceFault("service breaks after executing", map[string]any{"break-after": 5, "delay-milliseconds": 20})
)

// Times of a test with faults.
const (
	faultAfter = 100 * time.Millisecond
	faultFor   = 2 * time.Second
	callers    = 24
	// requestsEach is the number of keys that one caller uses in turn.
	requestsEach = 20
)

// TestNonIdempotentRequestsRunAtMostOnce has callers that come back through
// other entries while things fail, alone and two at once.
func TestNonIdempotentRequestsRunAtMostOnce(t *testing.T) {
	for _, c := range []struct {
		faults   []fault
		sessions bool
	}{
		{[]fault{entryKilled}, true},
		{[]fault{entryFrozen}, true},
		{[]fault{agentKilled}, true},
		{[]fault{agentFrozen}, true},
		{[]fault{upstreamKilled}, true},
		{[]fault{cutFault("s1")}, true},
		{[]fault{lostAnswersFault("s1")}, true},
		{[]fault{serviceBreaks}, true},
		{[]fault{platformDown}, true},
		{[]fault{entryKilled}, false},
		{[]fault{agentKilled}, false},
		{[]fault{lostAnswersFault("s1")}, false},
		{[]fault{platformLoses}, false},
		{[]fault{platformSlow}, false},
		{[]fault{platformDown}, false},
		{[]fault{lostAnswersFault("e1-platform")}, false},
		{[]fault{entryKilled, agentFrozen}, true},
		{[]fault{agentFrozen, platformDown}, false},
		{[]fault{entryFrozen, lostAnswersFault("s1")}, true},
	} {
		name := map[bool]string{true: "sessions", false: "claims"}[c.sessions]
		for _, f := range c.faults {
			name += ", " + f.name
		}
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			runOnceUnder(t, c.faults, c.sessions)
		})
	}
}

func runOnceUnder(t *testing.T, faults []fault, sessions bool) {
	is := is.New(t)
	d := deploy(t, size{entries: 3, engines: 0, services: 3}, map[string]map[string]any{
		"service/stock": {"queue-length": 10, "upstream-slots": 4},
	})
	for _, name := range []string{"s1", "s2", "s3"} {
		d.knobs(d.processes["service-"+name].address, map[string]any{"delay-milliseconds": 20})
	}
	entries := []string{"e1", "e2", "e3"}
	random := rand.New(rand.NewPCG(*seed, 1))
	var mu sync.Mutex
	var group sync.WaitGroup
	var stories []story
	for n := range callers {
		session := ""
		if sessions {
			session = d.open(entries[n%len(entries)])
		}
		start := time.Duration(random.Int64N(int64(2 * faultAfter)))
		group.Go(func() {
			time.Sleep(start)
			for i := range requestsEach {
				s := d.persist(entries, fmt.Sprintf("key-%d-%d", n, i), session, n)
				mu.Lock()
				stories = append(stories, s)
				mu.Unlock()
				if next := s.last().header.Get("Bramleydeal-Session"); next != "" {
					session = next
				}
			}
		})
	}
	time.Sleep(faultAfter)
	for _, f := range faults {
		f.begin(d)
	}
	time.Sleep(faultFor)
	for _, f := range faults {
		f.end(d)
	}
	group.Wait()
	d.checkOnce(stories)
	is.Equal(len(stories), callers*requestsEach)
	// Once all is mended, new work goes through again.
	fresh := ""
	if sessions {
		fresh = d.open("e2")
	}
	last := d.persist([]string{"e2", "e3"}, "after", fresh, 0)
	is.True(last.last().whole())
}
