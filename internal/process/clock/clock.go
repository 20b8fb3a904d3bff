// Package clock provides a cancellable sleep and the time for which the host was
// suspended.
package clock

import (
	"context"
	"time"
)

// Sleep waits for d or until ctx ends, whichever comes first.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
