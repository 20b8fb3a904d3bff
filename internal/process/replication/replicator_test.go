package replication

import (
	"testing"

	"bramleydeal/internal/core/store"
	"bramleydeal/internal/settings/snapshot"
	"bramleydeal/internal/wire/dial"
	"bramleydeal/internal/world/fleet"
	"github.com/matryer/is"
)

// TestSnapshotIsCurrentAfterSubscribersWereCalled guards against an entry that
// reports to be ready because of the current snapshot while its subscriber, which
// chooses upstreams, does not have that snapshot yet.
func TestSnapshotIsCurrentAfterSubscribersWereCalled(t *testing.T) {
	is := is.New(t)
	r := New("e1", "d1", fleet.EntryRole, dial.NewPool(nil, &dial.Traffic{}))
	ctx := t.Context()
	go r.replica.Run(ctx)
	var received, current []uint64
	r.Subscribe(func(next *snapshot.Snapshot) {
		received, current = append(received, next.Revision), append(current, r.Current().Revision)
	})
	is.Equal(r.apply(ctx, store.Update{Revision: 5}, "store"), store.Applied)
	is.Equal(r.apply(ctx, store.Update{From: 5, Revision: 6}, "store"), store.Applied)
	is.Equal(received, []uint64{0, 5, 6})
	is.Equal(current, []uint64{0, 0, 5}) // the previous snapshot while subscribers are called
	is.Equal(r.Current().Revision, uint64(6))
}
