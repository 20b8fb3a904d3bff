package config

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"bramleydeal/internal/world/fleet"
	"github.com/go-logr/logr"
)

// checkInterval is the time between two checks of a settings file for changes that
// no signal announces.
const checkInterval = 2 * time.Second

// Follow calls apply with the new settings whenever the settings file changes, until
// ctx ends. It checks the file at intervals and at once after SIGHUP. If the file
// cannot be read or is invalid, Follow logs that and does not call apply: the current
// settings stay in effect.
func Follow(ctx context.Context, path string, role fleet.Role, log logr.Logger, apply func(Process)) {
	changed := make(chan os.Signal, 1)
	signal.Notify(changed, syscall.SIGHUP)
	defer signal.Stop(changed)
	follow(ctx, path, role, log, changed, checkInterval, apply)
}

// follow implements Follow with the given signal channel and interval.
func follow(ctx context.Context, path string, role fleet.Role, log logr.Logger, changed <-chan os.Signal, interval time.Duration, apply func(Process)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	// If the file cannot be read now, any later content counts as a change.
	previous, _ := os.ReadFile(path)
	for {
		reason := "the file changed"
		select {
		case <-ticker.C:
		case <-changed:
			reason = "SIGHUP"
		case <-ctx.Done():
			return
		}
		text, err := os.ReadFile(path)
		if err != nil {
			log.Error(err, "cannot read the settings file; the current settings stay in effect", "file", path)
			continue
		}
		if bytes.Equal(text, previous) {
			continue
		}
		previous = text
		p, err := Parse(text, role)
		if err != nil {
			log.Error(err, "the settings file is invalid; the current settings stay in effect", "file", path)
			continue
		}
		log.Info("settings reloaded", "file", path, "reason", reason)
		apply(p)
	}
}
