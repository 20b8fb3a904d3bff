package store

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync/atomic"
	"time"

	core "bramleydeal/internal/core/store"
	"bramleydeal/internal/process/clock"
	"bramleydeal/internal/settings/reference"
	"bramleydeal/internal/settings/snapshot"
	"bramleydeal/internal/settings/tree"
	"bramleydeal/internal/store/object"
	"bramleydeal/internal/world/fleet"
	"github.com/go-logr/logr"
)

// Pace of the sweep. Claims are listed by the first two digits of their names,
// one part at a time.
const (
	sweepDuty    = "claims"
	lookInterval = 5 * time.Second
	sweepParts   = 256
	sweepPause   = time.Second
	deletePause  = 20 * time.Millisecond
	sweepTimeout = 5 * time.Second
)

// Sweep is the duty that deletes claims older than claim-retention, under a
// lease, so that one entry of the fleet does it.
type Sweep struct {
	client *object.Client
	holder string
	domain fleet.FailureDomain
	// contends tells whether this entry is among those that may hold the lease.
	contends func(duty string) bool
	current  func() *snapshot.Snapshot
	log      logr.Logger

	holding atomic.Bool
	deleted atomic.Uint64
	failed  atomic.Uint64
}

// NewSweep returns the duty of one entry; holder names this run of its process.
func NewSweep(c *object.Client, holder string, domain fleet.FailureDomain, contends func(duty string) bool, current func() *snapshot.Snapshot, log logr.Logger) *Sweep {
	return &Sweep{client: c, holder: holder, domain: domain, contends: contends, current: current, log: log}
}

// Run contends for the lease and sweeps while it is held, until ctx ends.
func (s *Sweep) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if s.contends(sweepDuty) {
			s.contend(ctx)
		}
		clock.Sleep(ctx, lookInterval)
	}
}

// contend holds the lease whenever it can, as long as the entry contends.
func (s *Sweep) contend(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		for ctx.Err() == nil && s.contends(sweepDuty) {
			clock.Sleep(ctx, lookInterval)
		}
		cancel()
	}()
	duration := tree.Get(s.current().Tree, s.scope(), reference.LeaseDuration)
	NewLease(s.client, sweepDuty, s.holder, duration).Hold(ctx, func(ctx context.Context, _ uint64) {
		s.holding.Store(true)
		defer s.holding.Store(false)
		for part := 0; ctx.Err() == nil; part = (part + 1) % sweepParts {
			s.sweep(ctx, fmt.Sprintf("%s%02x", ClaimPrefix, part))
			clock.Sleep(ctx, sweepPause)
		}
	})
}

func (s *Sweep) scope() tree.Scope { return tree.Scope{FailureDomain: string(s.domain)} }

// sweep deletes the old claims under a prefix. Deletes are conditional, so a
// claim is never deleted in another state than the one that was looked at.
func (s *Sweep) sweep(ctx context.Context, prefix string) {
	list, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	claims, err := s.client.List(list, prefix)
	if err != nil {
		s.failed.Add(1)
		return
	}
	retention := tree.Get(s.current().Tree, s.scope(), reference.ClaimRetention)
	for _, c := range claims.Objects {
		var b Binding
		if json.Unmarshal(c.Value, &b) != nil || time.Since(b.At) < retention {
			continue
		}
		if err := s.client.Delete(ctx, c.Name, c.Version); err != nil && !errors.Is(err, core.ErrConflict) {
			s.failed.Add(1)
			return
		}
		s.deleted.Add(1)
		clock.Sleep(ctx, deletePause)
	}
}

// SweepState is the sweep's part of the dump.
type SweepState struct {
	Duty    string `json:"duty"`
	Holding bool   `json:"holding"`
	Deleted uint64 `json:"claims-deleted"`
	Failed  uint64 `json:"failed-calls"`
}

// State returns the sweep's part of the dump.
func (s *Sweep) State() any {
	return SweepState{Duty: "claims", Holding: s.holding.Load(), Deleted: s.deleted.Load(), Failed: s.failed.Load()}
}
