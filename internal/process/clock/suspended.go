package clock

import (
	"time"

	"github.com/samber/oops"
	"golang.org/x/sys/unix"
)

// started is when the process began to count.
var started = time.Now()

// SuspendedTime returns how far the clock that counts suspension is ahead of the
// monotonic clock, from an arbitrary origin. It rises by the time that the machine
// was suspended. Between two readings it may fall short by a scheduling delay, and
// never exceeds the true value.
func SuspendedTime() (time.Duration, error) {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return 0, oops.Code("clock").Wrapf(err, "read the boot clock")
	}
	return time.Duration(now.Nano()) - time.Since(started), nil
}
