// Package clock owns waiting in the drivers.
package clock

import (
	"context"
	"time"
)

// Sleep waits for a time, or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
