package clock

import (
	"time"

	"github.com/samber/oops"
	"golang.org/x/sys/unix"
)

// started is the origin of the monotonic clock's readings.
var started = time.Now()

// SuspendedTime returns the total time for which the host was suspended, plus an
// arbitrary constant: the difference between the boot clock, which counts suspension,
// and the monotonic clock, which does not. The result is never too high, but may be too
// low by the time that the process was not scheduled between the readings of the clocks.
func SuspendedTime() (time.Duration, error) {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		return 0, oops.Code("clock").Wrapf(err, "read the boot clock")
	}
	return time.Duration(now.Nano()) - time.Since(started), nil
}
