package directory

import (
	"context"
	"sync"
	"time"

	"bramleydeal/internal/world/service"
)

// Times around a suspension.
const (
	// minSuspension is the shortest suspension of the machine that counts: a change
	// must be in force within seconds, and the clocks are read some milliseconds
	// apart.
	minSuspension = 200 * time.Millisecond
	// minStandstill is the shortest time for which a process that was stopped, or got
	// no processor, counts as suspended, beyond the interval of the ticks. A busy
	// machine holds a process up for some tenths of a second.
	minStandstill = 700 * time.Millisecond
	// unconfirmedLimit is how long a process that reaches neither the store nor a
	// peer serves nothing after a suspension. A loss of the store must not keep
	// the whole system from serving.
	unconfirmedLimit = 3 * time.Second
	// confirmationWait is how long a request waits for the confirmation: some round
	// trips to the store.
	confirmationWait = 200 * time.Millisecond
)

// suspension follows whether the machine was suspended or the process stood still.
// What a process knew before is used again when the store or a peer has confirmed
// it.
type suspension struct {
	// read returns how far the clock that counts suspension is ahead.
	read func() (time.Duration, error)

	mu    sync.Mutex
	ahead time.Duration
	// noticed is when the clocks were read last, zero before the first time.
	noticed time.Time
	// count is the number of suspensions. An answer to a call confirms only what was
	// asked after the last one.
	count       uint64
	unconfirmed map[Kind]bool
	woke        time.Time
	// confirmed is closed when nothing is unconfirmed any more.
	confirmed chan struct{}
}

func newSuspension(read func() (time.Duration, error)) *suspension {
	s := &suspension{read: read, unconfirmed: map[Kind]bool{}, confirmed: make(chan struct{})}
	close(s.confirmed)
	// An error shows at the next reading as well, which reports it.
	s.ahead, _ = read()
	return s
}

// notice reads the clocks; it is called at least every peerPollInterval. It returns
// the length of a suspension that was not noticed before, or 0.
func (s *suspension) notice(now time.Time) (time.Duration, error) {
	ahead, err := s.read()
	s.mu.Lock()
	defer s.mu.Unlock()
	slept := time.Duration(0)
	if still := now.Sub(s.noticed) - peerPollInterval; !s.noticed.IsZero() && still >= minStandstill {
		slept = still
	}
	s.noticed = now
	if err == nil && ahead > s.ahead {
		if ahead-s.ahead >= minSuspension {
			slept = max(slept, ahead-s.ahead)
		}
		s.ahead = ahead
	}
	if slept == 0 {
		return 0, err
	}
	s.count++
	s.woke = now
	if len(s.unconfirmed) == 0 {
		s.confirmed = make(chan struct{})
	}
	for _, k := range served {
		s.unconfirmed[k] = true
	}
	return slept, err
}

// suspensions returns the number of suspensions so far.
func (s *suspension) suspensions() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count
}

// confirm takes the answer to a question about a kind that was asked after count
// suspensions.
func (s *suspension) confirm(k Kind, count uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if count != s.count || !s.unconfirmed[k] {
		return
	}
	delete(s.unconfirmed, k)
	if len(s.unconfirmed) == 0 {
		close(s.confirmed)
	}
}

// pending returns a channel that is closed with the confirmation, and whether what
// is known must not be used before.
func (s *suspension) pending(now time.Time) (confirmed <-chan struct{}, blocked bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confirmed, len(s.unconfirmed) > 0 && now.Sub(s.woke) < unconfirmedLimit
}

// awaits tells whether what is known of a kind awaits confirmation.
func (s *suspension) awaits(k Kind) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unconfirmed[k]
}

// WithSuspended replaces the clocks that tell of suspensions.
func WithSuspended(read func() (time.Duration, error)) Option {
	return func(d *Directory) { d.suspension = newSuspension(read) }
}

// noticeSuspension asks anew for everything after a suspension: connections may
// have ended unnoticed, and changes are missed.
func (d *Directory) noticeSuspension() {
	slept, err := d.suspension.notice(time.Now())
	if err != nil {
		// Each request asks, and the clock answers the next one no better.
		d.unreadable.Do(func() { d.log.Error(err, "a suspension of the machine would not be noticed") })
	}
	if slept == 0 {
		return
	}
	d.log.Info("the process stood still, what is known awaits confirmation", "for-ms", slept.Milliseconds(),
		"configuration-version", configurationVersion(d.view.Load()))
	for _, k := range kinds {
		d.endWatch(k)
	}
}

// Await waits for a short time while what is known awaits confirmation.
func (d *Directory) AwaitConfirmation(ctx context.Context) {
	d.noticeSuspension()
	confirmed, blocked := d.suspension.pending(time.Now())
	if !blocked {
		return
	}
	timer := time.NewTimer(confirmationWait)
	defer timer.Stop()
	select {
	case <-confirmed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// View returns what is known now. It has no configuration while what was known
// before a suspension of the machine awaits confirmation.
func (d *Directory) View() *service.View {
	if _, blocked := d.suspension.pending(time.Now()); blocked {
		return nothingKnown
	}
	return d.view.Load()
}

var nothingKnown = service.NewView(nil, nil, false)

func configurationVersion(v *service.View) uint64 {
	if v.Configuration == nil {
		return 0
	}
	return v.Configuration.Version
}
