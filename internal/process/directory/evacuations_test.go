package directory

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"bramleydeal/internal/core/store"
	"bramleydeal/internal/core/upstream"
	"bramleydeal/internal/wire/dial"
	"bramleydeal/internal/wire/peer"
	"bramleydeal/internal/world/fleet"
	"bramleydeal/internal/world/service"
	"github.com/matryer/is"
)

// evacuationHold is the time for which the directories of these tests keep an evacuation
// that an older copy of the store lacks.
const evacuationHold = 5 * time.Second

// newEvacuatingDirectory returns the directory of instance e1, which follows evacuations, with
// a configuration and an empty list of upstreams, and its store.
func newEvacuatingDirectory(t *testing.T) (*Directory, *storeStandIn) {
	t.Helper()
	s := newStoreStandIn()
	d := New("e1", s, jsonDecoder{}, dial.NewPool(nil, &dial.Traffic{}), upstream.PresenceConfig{RemovalGrace: time.Second, RecoveryGrace: 2 * time.Second},
		WithEvacuations(evacuationHold))
	s.setList(Configuration, 10, configuration(7))
	s.setList(Upstreams, 10)
	s.setList(Instances, 10)
	s.setList(Evacuations, 10)
	for _, k := range d.Kinds() {
		load(t, d, k)
	}
	return d, s
}

// evacuated returns the failure domains that are evacuated in the directory's view.
func evacuated(d *Directory) []string {
	out := []string{}
	for domain := range d.View().Evacuated {
		out = append(out, string(domain))
	}
	slices.Sort(out)
	return out
}

// TestEvacuationNeverRevertsToOlderState guards against requests that are sent to an
// evacuated failure domain because a list or a peer tells of an older state, and against an
// evacuation that is lost with a new configuration or list of upstreams.
func TestEvacuationNeverRevertsToOlderState(t *testing.T) {
	is := is.New(t)
	d, s := newEvacuatingDirectory(t)
	is.Equal(evacuated(d), []string{})
	s.setList(Evacuations, 12, store.Object{Name: "z1", Value: []byte("not JSON")}, object("z2", nil))
	load(t, d, Evacuations)
	is.Equal(evacuated(d), []string{"z1", "z2"}) // whatever the objects hold
	s.setList(Evacuations, 11)
	load(t, d, Evacuations)
	is.Equal(evacuated(d), []string{"z1", "z2"})
	compare := func(from, revision uint64, objects ...store.Object) *peer.CompareReply {
		reply, err := d.Compare(t.Context(), &peer.CompareRequest{Instance: "e2", Kind: string(Evacuations), From: from, Revision: revision, Objects: peer.ObjectsToProto(objects)})
		is.NoErr(err)
		return reply
	}
	reply := compare(0, 11, store.Object{Name: "z3", Version: 11})
	is.Equal(evacuated(d), []string{"z1", "z2"})
	is.Equal(reply.Revision, uint64(12)) // and the peer is told
	is.Equal(len(reply.Objects), 2)
	s.setList(Configuration, 13, configuration(8))
	load(t, d, Configuration)
	s.setList(Upstreams, 13, object("u1", service.Upstream{ID: "u1", FailureDomain: "z1"}))
	load(t, d, Upstreams)
	is.Equal(evacuated(d), []string{"z1", "z2"})
	compare(12, 14, store.Object{Name: "z1", Version: 14, Deleted: true}) // a peer tells of the end
	is.Equal(evacuated(d), []string{"z2"})
	is.Equal(d.State().Evacuated, []fleet.FailureDomain{"z2"})
}

// TestEvacuationOutlivesOlderCopy guards against an evacuation that ends at once, or never,
// when the store comes back from a copy made before it that lists none.
func TestEvacuationOutlivesOlderCopy(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d, s := newEvacuatingDirectory(t)
		s.setList(Evacuations, store.VersionOf(1, 12), object("z1", nil))
		load(t, d, Evacuations)
		s.setList(Evacuations, store.VersionOf(2, 9))
		load(t, d, Evacuations)
		is.Equal(evacuated(d), []string{"z1"})
		time.Sleep(evacuationHold - 1)
		is.Equal(evacuated(d), []string{"z1"})
		time.Sleep(2 * time.Nanosecond)
		synctest.Wait()
		is.Equal(evacuated(d), []string{})
	})
}

// TestNothingIsServedUntilEvacuationsAreKnown guards against requests that an entry sends to
// an evacuated failure domain since it has just started, and against one that never serves
// because nobody can tell it the evacuations.
func TestNothingIsServedUntilEvacuationsAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newStoreStandIn()
		d := New("e1", s, jsonDecoder{}, dial.NewPool(nil, &dial.Traffic{}), upstream.PresenceConfig{}, WithEvacuations(evacuationHold))
		s.setList(Configuration, 10, configuration(7))
		s.setList(Upstreams, 10)
		s.setList(Instances, 10)
		ctx, cancel := context.WithTimeout(t.Context(), 2*unconfirmedLimit)
		defer cancel()
		go d.Run(ctx) // the evacuations' list has revision 0, which tells nothing
		time.Sleep(unconfirmedLimit / 2)
		is.Equal(version(d), uint64(0))
		s.setList(Evacuations, 10, object("z1", nil))
		time.Sleep(2 * minRetryPause)
		is.Equal(version(d), uint64(7))
		is.Equal(evacuated(d), []string{"z1"})
		cancel()
		synctest.Wait()

		unknowing := New("e2", s, jsonDecoder{}, dial.NewPool(nil, &dial.Traffic{}), upstream.PresenceConfig{}, WithEvacuations(evacuationHold))
		s.setList(Evacuations, 0)
		ctx, cancel = context.WithTimeout(t.Context(), 2*unconfirmedLimit)
		defer cancel()
		go unknowing.Run(ctx)
		time.Sleep(unconfirmedLimit + time.Millisecond)
		is.Equal(version(unknowing), uint64(7))
	})
}

// quietStore is a store whose watches return no changes once their time has passed.
type quietStore struct {
	*storeStandIn
	watches map[Kind]int
}

func (s *quietStore) Watch(ctx context.Context, k Kind, after uint64, wait time.Duration) (store.Update, error) {
	s.mu.Lock()
	s.watches[k]++
	s.mu.Unlock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
		return store.Update{From: after, Revision: after}, nil
	case <-ctx.Done():
		return store.Update{}, ctx.Err()
	}
}

// TestEmptyListOfEvacuationsTakesFewCalls guards against a process that calls the store over
// and over because no failure domain is evacuated, which is so nearly all the time.
func TestEmptyListOfEvacuationsTakesFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const span = 10 * time.Minute
		d, s := newEvacuatingDirectory(t)
		quiet := &quietStore{s, map[Kind]int{}}
		d.store = quiet
		listed := s.listCount(Evacuations)
		ctx, cancel := context.WithTimeout(t.Context(), span)
		defer cancel()
		d.followStore(ctx, Evacuations)
		is.Equal(s.listCount(Evacuations), listed+1)
		is.True(quiet.watches[Evacuations] <= int(span/watchWait)+1)
	})
}

// TestEvacuationsAreListedInEachTurn guards against an evacuation that the watches of all
// processes miss: whoever's turn it is lists the evacuations too.
func TestEvacuationsAreListedInEachTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d, s := newEvacuatingDirectory(t)
		listed := s.listCount(Evacuations)
		ctx, cancel := context.WithTimeout(t.Context(), 10*checkSlot)
		defer cancel()
		d.runChecks(ctx)
		is.True(s.listCount(Evacuations)-listed >= 9)
		is.True(2*checkSlot < evacuationHold/2)
	})
}

// TestEvacuationsAreNotFollowedWithoutOption guards against calls to the store, and waiting
// for what it says, where operators evacuate no failure domains.
func TestEvacuationsAreNotFollowedWithoutOption(t *testing.T) {
	is := is.New(t)
	d, _ := newDirectory("e1")
	reply, err := d.Compare(t.Context(), &peer.CompareRequest{
		Instance: "e2", Kind: string(Evacuations), Revision: 5, Objects: peer.ObjectsToProto([]store.Object{{Name: "z1", Version: 5}}),
	})
	is.NoErr(err)
	is.Equal(reply.Revision, uint64(0))
	is.Equal(len(d.View().Evacuated), 0)
	is.True(!slices.Contains(d.Kinds(), Evacuations))
	is.Equal(d.requestKinds, requestKinds)
}

// TestEvacuationsAreConfirmedAfterSuspension guards against requests to a failure domain that
// was evacuated while this process was suspended.
func TestEvacuationsAreConfirmedAfterSuspension(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d, _ := newEvacuatingDirectory(t)
		d.checkSuspension()
		time.Sleep(peerPollInterval + minStall)
		d.checkSuspension()
		is.Equal(d.kindsToCompare(), []Kind{Configuration, Upstreams, Evacuations})
		for _, k := range requestKinds {
			d.suspension.confirm(k, d.suspension.suspensions())
		}
		is.Equal(version(d), uint64(0))
		d.suspension.confirm(Evacuations, d.suspension.suspensions())
		is.Equal(version(d), uint64(7))
	})
}
