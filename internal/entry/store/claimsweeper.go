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

// Parameters of the sweep. Claims are listed in partitions, by the first two
// hexadecimal digits of their names; the delays limit the load on the platform.
const (
	// sweepTask is the name of the task and of its lease.
	sweepTask            = "claims"
	contendCheckInterval = 5 * time.Second
	sweepPartitions      = 256
	partitionDelay       = time.Second
	deleteDelay          = 20 * time.Millisecond
	// listTimeout bounds the call that lists a partition.
	listTimeout = 5 * time.Second
)

// ClaimSweeper is the leader task that deletes claims older than
// claim-retention. Its lease ensures that only one entry at a time does this.
type ClaimSweeper struct {
	client *object.Client
	holder string
	domain fleet.FailureDomain
	// contends reports whether this entry may contend for the lease.
	contends func(task string) bool
	current  func() *snapshot.Snapshot
	log      logr.Logger

	holding atomic.Bool
	deleted atomic.Uint64
	failed  atomic.Uint64
}

// NewClaimSweeper returns the ClaimSweeper of an entry. holder identifies this
// run of the entry's process as a lease holder.
func NewClaimSweeper(c *object.Client, holder string, domain fleet.FailureDomain, contends func(task string) bool, current func() *snapshot.Snapshot, log logr.Logger) *ClaimSweeper {
	return &ClaimSweeper{client: c, holder: holder, domain: domain, contends: contends, current: current, log: log}
}

// Run contends for the lease until ctx ends, and sweeps while it holds the
// lease.
func (s *ClaimSweeper) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if s.contends(sweepTask) {
			s.contend(ctx)
		}
		clock.Sleep(ctx, contendCheckInterval)
	}
}

// contend takes and renews the lease and sweeps, until the entry is no longer
// one of those that contend.
func (s *ClaimSweeper) contend(ctx context.Context) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		for ctx.Err() == nil && s.contends(sweepTask) {
			clock.Sleep(ctx, contendCheckInterval)
		}
		cancel()
	}()
	duration := tree.Get(s.current().Tree, s.scope(), reference.LeaseDuration)
	NewLease(s.client, sweepTask, s.holder, duration).Hold(ctx, func(ctx context.Context, _ uint64) {
		s.holding.Store(true)
		defer s.holding.Store(false)
		for part := 0; ctx.Err() == nil; part = (part + 1) % sweepPartitions {
			s.sweep(ctx, fmt.Sprintf("%s%02x", ClaimPrefix, part))
			clock.Sleep(ctx, partitionDelay)
		}
	})
}

func (s *ClaimSweeper) scope() tree.Scope { return tree.Scope{FailureDomain: string(s.domain)} }

// sweep deletes the expired claims whose names begin with prefix. Deletes name
// the version that was read, so a claim that has changed since is kept.
func (s *ClaimSweeper) sweep(ctx context.Context, prefix string) {
	listCtx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	claims, err := s.client.List(listCtx, prefix)
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
		clock.Sleep(ctx, deleteDelay)
	}
}

// ClaimSweeperState is the sweeper's debug state.
type ClaimSweeperState struct {
	Task    string `json:"duty"`
	Holding bool   `json:"holding"`
	Deleted uint64 `json:"claims-deleted"`
	Failed  uint64 `json:"failed-calls"`
}

// State returns the sweeper's debug state.
func (s *ClaimSweeper) State() any {
	return ClaimSweeperState{Task: "claims", Holding: s.holding.Load(), Deleted: s.deleted.Load(), Failed: s.failed.Load()}
}
