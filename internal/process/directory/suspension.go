package directory

import (
	"context"
	"sync"
	"time"

	"bramleydeal/internal/world/service"
)

// Times for the detection of a suspension and the confirmation after it.
const (
	// minSuspension is the shortest suspension of the host that is acted upon. It
	// is far below the seconds within which a change must take effect, and above
	// the few milliseconds that pass between the readings of the two clocks.
	minSuspension = 200 * time.Millisecond
	// minStall is the shortest stall that counts as a suspension: the time for which
	// the process was stopped or got no CPU, beyond peerPollInterval. On a busy host
	// a process may be delayed by some tenths of a second.
	minStall = 700 * time.Millisecond
	// unconfirmedLimit is how long a process serves no requests after a suspension
	// when neither the store nor a peer confirms its state. An outage of the store
	// must not stop the whole system from serving.
	unconfirmedLimit = 3 * time.Second
	// confirmationWait is how long a request waits for the confirmation. It allows
	// for several round trips to the store.
	confirmationWait = 200 * time.Millisecond
)

// suspension detects that the host was suspended or the process stalled. The
// configuration and the upstreams are unconfirmed from then on, and not used, until
// the store or a peer has confirmed them or unconfirmedLimit has passed.
type suspension struct {
	// readSuspendedTime returns the total time for which the host was suspended,
	// plus a constant.
	readSuspendedTime func() (time.Duration, error)
	// kinds are those that are unconfirmed after a suspension.
	kinds []Kind

	mu sync.Mutex
	// suspendedTime is the highest value of readSuspendedTime so far.
	suspendedTime time.Duration
	// checkedAt is the time of the last check, zero before the first one.
	checkedAt time.Time
	// count is the number of suspensions. A reply confirms a kind only if its call
	// was made after the last suspension.
	count       uint64
	unconfirmed map[Kind]bool
	// detectedAt is when the last suspension was detected.
	detectedAt time.Time
	// confirmed is closed while no kind is unconfirmed.
	confirmed chan struct{}
}

// newSuspension returns a suspension that calls read for the suspended time.
func newSuspension(read func() (time.Duration, error)) *suspension {
	s := &suspension{readSuspendedTime: read, unconfirmed: map[Kind]bool{}, confirmed: make(chan struct{})}
	close(s.confirmed)
	// If the clock cannot be read, the next check fails too and reports the error.
	s.suspendedTime, _ = read()
	return s
}

// check checks for a suspension since the last call and returns its length, or 0 if
// there was none. It has to be called at least every peerPollInterval: a time between
// two calls that is longer by minStall or more counts as a stall. The error says that
// the clock could not be read; stalls are detected all the same.
func (s *suspension) check(now time.Time) (time.Duration, error) {
	total, err := s.readSuspendedTime()
	s.mu.Lock()
	defer s.mu.Unlock()
	suspendedFor := time.Duration(0)
	if stall := now.Sub(s.checkedAt) - peerPollInterval; !s.checkedAt.IsZero() && stall >= minStall {
		suspendedFor = stall
	}
	s.checkedAt = now
	if err == nil && total > s.suspendedTime {
		if total-s.suspendedTime >= minSuspension {
			suspendedFor = max(suspendedFor, total-s.suspendedTime)
		}
		s.suspendedTime = total
	}
	if suspendedFor == 0 {
		return 0, err
	}
	s.count++
	s.detectedAt = now
	if len(s.unconfirmed) == 0 {
		s.confirmed = make(chan struct{})
	}
	for _, k := range s.kinds {
		s.unconfirmed[k] = true
	}
	return suspendedFor, err
}

// expect makes a kind that was never listed count as unconfirmed from now on.
func (s *suspension) expect(k Kind, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.unconfirmed) == 0 {
		s.confirmed = make(chan struct{})
	}
	s.unconfirmed[k], s.detectedAt = true, now
}

// suspensions returns the number of suspensions so far. Read it before a call whose
// reply is passed to confirm.
func (s *suspension) suspensions() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count
}

// confirm marks a kind as confirmed by the reply to a call that was made after count
// suspensions. It does nothing if there was another suspension since.
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

// confirmation returns a channel that is closed once all kinds are confirmed, and
// whether the state must not be used before that.
func (s *suspension) confirmation(now time.Time) (confirmed <-chan struct{}, blocked bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.confirmed, len(s.unconfirmed) > 0 && now.Sub(s.detectedAt) < unconfirmedLimit
}

// isUnconfirmed reports whether a kind is unconfirmed.
func (s *suspension) isUnconfirmed(k Kind) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.unconfirmed[k]
}

// WithSuspendedTime sets the function that returns the total time for which the host
// was suspended. The default is clock.SuspendedTime.
func WithSuspendedTime(read func() (time.Duration, error)) Option {
	return func(d *Directory) { d.suspension = newSuspension(read) }
}

// checkSuspension checks for a suspension and, after one, restarts all watches:
// their connections may be broken, and changes may have been missed.
func (d *Directory) checkSuspension() {
	suspendedFor, err := d.suspension.check(time.Now())
	if err != nil {
		// Logged once only: each request checks, and the error is permanent.
		d.logClockError.Do(func() { d.log.Error(err, "cannot read the boot clock; suspensions of the host are not detected") })
	}
	if suspendedFor == 0 {
		return
	}
	d.log.Info("the process was suspended or stalled; its configuration and upstreams must be confirmed before use", "for-ms", suspendedFor.Milliseconds(),
		"configuration-version", configurationVersion(d.view.Load()))
	if d.news != nil {
		d.news.Suspended(suspendedFor)
	}
	for _, k := range d.kinds {
		d.endWatch(k)
	}
}

// AwaitConfirmation checks for a suspension. While the configuration and the upstreams
// must not be used, it waits until they are confirmed, ctx ends or confirmationWait has
// passed.
func (d *Directory) AwaitConfirmation(ctx context.Context) {
	d.checkSuspension()
	confirmed, blocked := d.suspension.confirmation(time.Now())
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

// View returns the current configuration and upstreams. After a suspension, the view
// is empty until they are confirmed or unconfirmedLimit has passed.
func (d *Directory) View() *service.View {
	if _, blocked := d.suspension.confirmation(time.Now()); blocked {
		return emptyView
	}
	return d.view.Load()
}

// emptyView is the view without a configuration and upstreams.
var emptyView = service.NewView(nil, nil, false)

// configurationVersion returns the version of the view's configuration, 0 for none.
func configurationVersion(v *service.View) uint64 {
	if v.Configuration == nil {
		return 0
	}
	return v.Configuration.Version
}
