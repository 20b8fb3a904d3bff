package directory

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"sync"
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

// storeStandIn is a store whose lists are set by the test. Its watches return no
// changes.
type storeStandIn struct {
	mu         sync.Mutex
	lists      map[Kind]store.Update
	listCounts map[Kind]int
	err        error
}

func newStoreStandIn() *storeStandIn {
	return &storeStandIn{lists: map[Kind]store.Update{}, listCounts: map[Kind]int{}}
}

// listCount returns the number of times that a kind was listed.
func (s *storeStandIn) listCount(k Kind) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listCounts[k]
}

// setList sets the list of a kind at a revision, which becomes the objects' version.
func (s *storeStandIn) setList(k Kind, revision uint64, objects ...store.Object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range objects {
		objects[i].Version = revision
	}
	s.lists[k] = store.Update{Revision: revision, Objects: objects}
}

// setError makes List return err, nil for none.
func (s *storeStandIn) setError(err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.err = err
}

func (s *storeStandIn) List(_ context.Context, k Kind) (store.Update, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listCounts[k]++
	return s.lists[k], s.err
}

func (s *storeStandIn) Watch(ctx context.Context, _ Kind, _ uint64, _ time.Duration) (store.Update, error) {
	<-ctx.Done()
	return store.Update{}, ctx.Err()
}

func (s *storeStandIn) WatchCached(ctx context.Context, k Kind, after uint64, wait time.Duration) (store.Update, error) {
	return s.Watch(ctx, k, after, wait)
}

func (s *storeStandIn) Create(context.Context, Kind, string, []byte) (store.Object, error) {
	return store.Object{}, errors.New("not used")
}

func (s *storeStandIn) Replace(context.Context, Kind, string, []byte, uint64) (store.Object, error) {
	return store.Object{}, errors.New("not used")
}

// jsonDecoder decodes objects that are the JSON form of the service types.
type jsonDecoder struct{}

func (jsonDecoder) Configuration(value []byte) (*service.Configuration, error) {
	var c service.Configuration
	err := json.Unmarshal(value, &c)
	return &c, err
}

func (jsonDecoder) Upstream(_ string, value []byte) (service.Upstream, error) {
	var u service.Upstream
	err := json.Unmarshal(value, &u)
	return u, err
}

// object returns a stored object whose value is the JSON form of v.
func object(name string, v any) store.Object {
	value, err := json.Marshal(v)
	if err != nil {
		panic(err) // a test passed a value that JSON cannot represent
	}
	return store.Object{Name: name, Value: value}
}

// configuration returns the object of a configuration that has only a version.
func configuration(version uint64) store.Object {
	return object("main", service.Configuration{Version: version})
}

// newDirectory returns the directory of the named instance and its store.
func newDirectory(name string) (*Directory, *storeStandIn) {
	s := newStoreStandIn()
	config := upstream.PresenceConfig{RemovalGrace: time.Second, RecoveryGrace: 2 * time.Second}
	return New(name, s, jsonDecoder{}, dial.NewPool(nil, &dial.Traffic{}), config), s
}

// load lists a kind and applies the list, as a process does when it starts.
func load(t *testing.T, d *Directory, k Kind) {
	t.Helper()
	u, err := d.listOrWatch(t.Context(), k, true)
	if err != nil {
		t.Fatal(err)
	}
	d.apply(k, u, "store")
}

// version returns the version of the directory's configuration, 0 for none.
func version(d *Directory) uint64 {
	if d.View().Configuration == nil {
		return 0
	}
	return d.View().Configuration.Version
}

// TestConfigurationVersionNeverDecreases guards against a return to an older
// configuration by an outdated list, by an operator's mistake or by an invalid object.
func TestConfigurationVersionNeverDecreases(t *testing.T) {
	is := is.New(t)
	d, s := newDirectory("e1")
	is.Equal(version(d), uint64(0))
	s.setList(Configuration, 10, configuration(7))
	load(t, d, Configuration)
	is.Equal(version(d), uint64(7))
	s.setList(Configuration, 9, configuration(6)) // a list with a lower revision
	load(t, d, Configuration)
	is.Equal(version(d), uint64(7))
	s.setList(Configuration, 12, configuration(5)) // a newer object with a lower version
	load(t, d, Configuration)
	is.Equal(version(d), uint64(7))
	s.setList(Configuration, 13, store.Object{Name: "main", Value: []byte("[]")}) // an invalid configuration
	load(t, d, Configuration)
	is.Equal(version(d), uint64(7))
	s.setList(Configuration, 14, configuration(8))
	load(t, d, Configuration)
	is.Equal(version(d), uint64(8))
}

// TestViewChangesAfterSubscribersWereCalled guards against requests that use a route
// whose upstreams a subscriber has not received yet.
func TestViewChangesAfterSubscribersWereCalled(t *testing.T) {
	is := is.New(t)
	d, s := newDirectory("e1")
	var received, current []uint64
	d.Subscribe(func(v *service.View, _ map[string]fleet.Instance) {
		received, current = append(received, configurationVersion(v)), append(current, version(d))
	})
	s.setList(Configuration, 10, configuration(7))
	load(t, d, Configuration)
	is.Equal(received, []uint64{0, 7})
	is.Equal(current, []uint64{0, 0})
	is.Equal(version(d), uint64(7))
}

// busyStore is a store in which each watch of the configuration returns a change at
// once.
type busyStore struct {
	*storeStandIn
	watches int
}

func (s *busyStore) Watch(_ context.Context, _ Kind, after uint64, _ time.Duration) (store.Update, error) {
	s.watches++
	o := configuration(after + 1)
	o.Version = after + 1
	return store.Update{From: after, Revision: after + 1, Objects: []store.Object{o}}, nil
}

// TestManyChangesTakeFewCalls guards against a call to the store for each change of
// a series: after the first one, the pause has to combine them.
func TestManyChangesTakeFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d, s := newDirectory("e1")
		s.setList(Configuration, 1, configuration(1))
		busy := &busyStore{storeStandIn: s}
		d.store = busy
		ctx, cancel := context.WithTimeout(t.Context(), 10*configurationPause)
		defer cancel()
		go d.followStore(ctx, Configuration)
		synctest.Wait()
		is.Equal(version(d), uint64(1))
		<-ctx.Done()
		synctest.Wait()
		is.True(busy.watches <= 10)
		is.Equal(version(d), uint64(1+busy.watches))
	})
}

// TestOnlyTheConfigurationProbesAFailingStore guards against calls for all kinds
// while the store fails. The other kinds have to be listed again soon after it is
// available.
func TestOnlyTheConfigurationProbesAFailingStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d, s := newDirectory("e1")
		s.setList(Configuration, 1, configuration(1))
		s.setList(Upstreams, 1, object("u1", service.Upstream{ID: "u1", Service: "quotes"}))
		s.setError(errors.New("unavailable"))
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for _, k := range kinds {
			go d.followStore(ctx, k)
		}
		time.Sleep(4 * time.Second)
		is.True(s.listCount(Configuration) >= 4)
		is.True(s.listCount(Upstreams) <= 2)
		is.True(s.listCount(Instances) <= 2)
		s.setError(nil)
		time.Sleep(maxRetryPause + maxRetryPause/2 + 2*minRetryPause)
		is.Equal(version(d), uint64(1))
		is.Equal(len(d.View().Upstreams), 1)
		is.Equal(len(d.kindsToCompare()), 0)
		cancel()
		synctest.Wait()
	})
}

// TestCheckFindsMissedChange guards against a change that takes no effect because no
// watch returned it.
func TestCheckFindsMissedChange(t *testing.T) {
	is := is.New(t)
	d, s := newDirectory("e1")
	s.setList(Configuration, 10, configuration(7))
	load(t, d, Configuration)
	s.setList(Configuration, 11, configuration(8))
	d.checkKind(t.Context(), Configuration)
	is.Equal(version(d), uint64(8))
}

// TestFailedCheckMakesProcessCompareWithPeers guards against waiting for the end of a
// pending watch before the peers are called, although the store is already failing.
func TestFailedCheckMakesProcessCompareWithPeers(t *testing.T) {
	is := is.New(t)
	d, s := newDirectory("e1")
	s.setList(Configuration, 10, configuration(7))
	load(t, d, Configuration)
	is.Equal(len(d.kindsToCompare()), 0)
	s.setError(store.ErrRefused)
	d.checkKind(t.Context(), Configuration)
	is.Equal(d.kindsToCompare(), []Kind{Configuration})
	d.recordSuccess(Configuration)
	is.Equal(len(d.kindsToCompare()), 0)
}

func TestPeerProvidesNewerConfiguration(t *testing.T) {
	is := is.New(t)
	ahead, s := newDirectory("e1")
	s.setList(Configuration, 10, configuration(7))
	load(t, ahead, Configuration)
	reply, err := ahead.Compare(t.Context(), &peer.CompareRequest{Instance: "e2", Kind: string(Configuration)})
	is.NoErr(err)
	behind, _ := newDirectory("e2")
	behind.applyFromPeer(Configuration, peer.UpdateFromProto(reply.From, reply.Revision, reply.Objects), reply.Instance)
	is.Equal(version(behind), uint64(7))
	// An older update that a peer pushes is ignored.
	_, err = behind.Compare(t.Context(), &peer.CompareRequest{
		Instance: "e1", Kind: string(Configuration), Revision: 5, Objects: peer.ObjectsToProto([]store.Object{{Name: "main", Version: 5, Value: []byte(`{"Version":3}`)}}),
	})
	is.NoErr(err)
	is.Equal(version(behind), uint64(7))
	// An unknown kind has no objects.
	reply, err = ahead.Compare(t.Context(), &peer.CompareRequest{Kind: "other"})
	is.NoErr(err)
	is.Equal(reply.Revision, uint64(0))
}

// entry returns the object of an entry.
func entry(name string, domain fleet.FailureDomain, address netip.AddrPort) store.Object {
	return object(name, fleet.Instance{Name: name, Role: fleet.EntryRole, FailureDomain: domain, Address: address})
}

// TestFewEntriesOfADomainWatchTheStoreDirectly guards against direct watches by all
// entries: a direct watch costs the store ten times as much as one of its cache.
func TestFewEntriesOfADomainWatchTheStoreDirectly(t *testing.T) {
	is := is.New(t)
	nowhere := netip.MustParseAddrPort("127.0.1.1:1")
	objects := []store.Object{entry("lone", "d2", nowhere)}
	for n := range 9 {
		objects = append(objects, entry(fmt.Sprint("e", n), "d1", nowhere))
	}
	direct := 0
	for n := range 9 {
		d, s := newDirectory(fmt.Sprint("e", n))
		is.True(d.watchesDirectly()) // no other instance is known
		s.setList(Instances, 3, objects...)
		load(t, d, Instances)
		is.True(d.watchesDirectly()) // no peer has replied
		d.lastPeerReply = time.Now()
		if d.watchesDirectly() {
			direct++
			is.Equal(len(d.cachedWatchers()), 9-directWatchers)
		}
	}
	is.Equal(direct, directWatchers)
	lone, s := newDirectory("lone")
	s.setList(Instances, 3, objects...)
	load(t, lone, Instances)
	is.True(lone.watchesDirectly())
	is.Equal(len(lone.cachedWatchers()), 0)
}

// TestCachedWatchersAreNotifiedOfAChange checks that a direct watcher sends a change
// to all cached watchers, which make no calls themselves in this test.
func TestCachedWatchersAreNotifiedOfAChange(t *testing.T) {
	is := is.New(t)
	var all []*Directory
	var objects []store.Object
	for n := range directWatchers + 2 {
		d, _ := newDirectory(fmt.Sprint("e", n))
		all = append(all, d)
		objects = append(objects, entry(d.self, "d1", serve(t, d)))
	}
	var notifier *Directory
	for _, d := range all {
		s := d.store.(*storeStandIn)
		s.setList(Instances, 3, objects...)
		load(t, d, Instances)
		d.lastPeerReply = time.Now()
		if d.watchesDirectly() {
			notifier = d
		}
	}
	notifier.store.(*storeStandIn).setList(Configuration, 10, configuration(7))
	load(t, notifier, Configuration)
	notifier.notifyCachedWatchers(t.Context(), Configuration)
	for _, d := range all {
		for tries := 0; !d.watchesDirectly() && version(d) != 7; tries++ {
			if tries == 1000 {
				t.Fatalf("%s was not notified", d.self)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	is.Equal(version(notifier), uint64(7))
}

// TestEntryWithoutPeerRepliesWatchesDirectly guards against changes that arrive
// seconds late at a cached watcher whose peers cannot notify it.
func TestEntryWithoutPeerRepliesWatchesDirectly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		nowhere := netip.MustParseAddrPort("127.0.1.1:1")
		var objects []store.Object
		for n := range 9 {
			objects = append(objects, entry(fmt.Sprint("e", n), "d1", nowhere))
		}
		for n := range 9 {
			d, s := newDirectory(fmt.Sprint("e", n))
			s.setList(Instances, 3, objects...)
			load(t, d, Instances)
			d.lastPeerReply = time.Now()
			direct := d.watchesDirectly()
			cancelled := 0
			d.cancelWatch[Configuration] = func() { cancelled++ }
			is.Equal(d.updateWatchMode(direct), direct)
			is.Equal(cancelled, 0)
			time.Sleep(maxPeerSilence)
			is.True(d.updateWatchMode(direct))
			is.Equal(cancelled == 1, !direct) // its watch of the cache is ended
			is.True(d.updateWatchMode(true))
			is.Equal(cancelled == 1, !direct) // it is ended only once
		}
	})
}

func TestCheckSlotsDoNotOverlap(t *testing.T) {
	is := is.New(t)
	const entries = 5
	var instances []store.Object
	for i := range entries {
		name := fmt.Sprint("e", i)
		instances = append(instances, object(name, fleet.Instance{Name: name, Role: fleet.EntryRole, Address: netip.MustParseAddrPort("127.0.0.1:1")}))
	}
	start := time.Unix(0, 0)
	turns := map[time.Duration]int{}
	for i := range entries {
		d, s := newDirectory(fmt.Sprint("e", i))
		s.setList(Instances, 1, instances...)
		load(t, d, Instances)
		turns[d.untilSlot(start)]++
	}
	is.Equal(len(turns), entries)
	for i := 1; i <= entries; i++ {
		is.Equal(turns[time.Duration(i)*checkSlot], 1) // exactly one entry in each slot
	}
}

// TestUpstreamsLapseWhileTheStoreIsFailing guards against dropping an upstream at once
// that could not renew its registration while the store was failing.
func TestUpstreamsLapseWhileTheStoreIsFailing(t *testing.T) {
	is := is.New(t)
	d, s := newDirectory("e1")
	registered := func(id string, n byte) store.Object {
		return object(id, service.Upstream{ID: id, Service: "s", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, n}), 80)})
	}
	s.setList(Upstreams, 10, registered("u1", 1), registered("u2", 2), registered("u3", 3))
	load(t, d, Upstreams)
	is.Equal(len(d.View().Upstreams), 3)
	d.recordFailure(Upstreams, store.ErrRefused)
	s.setList(Upstreams, 11, registered("u2", 2), registered("u3", 3))
	load(t, d, Upstreams)
	u, found := d.View().Upstreams["u1"]
	is.True(found && u.Lapsed)
	s.setList(Upstreams, 12, registered("u1", 1), registered("u2", 2), registered("u3", 3))
	load(t, d, Upstreams)
	is.True(!d.View().Upstreams["u1"].Lapsed)
}
