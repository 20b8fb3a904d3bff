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

// followInterval is how often a settings file is looked at that may change
// without any signal.
const followInterval = 2 * time.Second

// Follow calls apply with the settings whenever the file changes, after SIGHUP at
// once, until ctx ends. A file that cannot be read or is invalid changes nothing:
// the settings before stay in force.
func Follow(ctx context.Context, path string, role fleet.Role, log logr.Logger, apply func(Process)) {
	changed := make(chan os.Signal, 1)
	signal.Notify(changed, syscall.SIGHUP)
	defer signal.Stop(changed)
	follow(ctx, path, role, log, changed, followInterval, apply)
}

func follow(ctx context.Context, path string, role fleet.Role, log logr.Logger, changed <-chan os.Signal, interval time.Duration, apply func(Process)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	// What cannot be read now is compared with nothing.
	before, _ := os.ReadFile(path)
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
			log.Error(err, "the settings file cannot be read, the settings before stay in force", "file", path)
			continue
		}
		if bytes.Equal(text, before) {
			continue
		}
		before = text
		p, err := Parse(text, role)
		if err != nil {
			log.Error(err, "the settings file is invalid, the settings before stay in force", "file", path)
			continue
		}
		log.Info("settings reloaded", "file", path, "reason", reason)
		apply(p)
	}
}
