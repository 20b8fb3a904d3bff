package replication

import (
	"testing"

	"bramleydeal/internal/core/store"
	"bramleydeal/internal/settings/snapshot"
	"bramleydeal/internal/wire/dial"
	"bramleydeal/internal/world/fleet"
	"github.com/matryer/is"
)

// TestASnapshotIsInForceOnlyOnceSubscribersHaveIt: an entry that says it is
// ready by the snapshot in force must be able to choose by it.
func TestASnapshotIsInForceOnlyOnceSubscribersHaveIt(t *testing.T) {
	is := is.New(t)
	s := New("e1", "d1", fleet.EntryRole, dial.NewPool(nil, &dial.Traffic{}))
	ctx := t.Context()
	go s.replica.Run(ctx)
	var heard, inForce []uint64
	s.Subscribe(func(now *snapshot.Snapshot) {
		heard, inForce = append(heard, now.Revision), append(inForce, s.Current().Revision)
	})
	is.Equal(s.apply(ctx, store.Update{Revision: 5}, "store"), store.Applied)
	is.Equal(s.apply(ctx, store.Update{From: 5, Revision: 6}, "store"), store.Applied)
	is.Equal(heard, []uint64{0, 5, 6})
	is.Equal(inForce, []uint64{0, 0, 5}) // the one before, while subscribers are told
	is.Equal(s.Current().Revision, uint64(6))
}
