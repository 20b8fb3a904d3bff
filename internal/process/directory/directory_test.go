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

// fake is a store whose lists are given. Its watches hear nothing.
type fake struct {
	mu     sync.Mutex
	lists  map[Kind]store.Update
	listed map[Kind]int
	failed error
}

func newFake() *fake { return &fake{lists: map[Kind]store.Update{}, listed: map[Kind]int{}} }

// asked returns how often a kind was listed.
func (f *fake) asked(k Kind) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.listed[k]
}

func (f *fake) set(k Kind, revision uint64, objects ...store.Object) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range objects {
		objects[i].Version = revision
	}
	f.lists[k] = store.Update{Revision: revision, Objects: objects}
}

func (f *fake) fail(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.failed = err
}

func (f *fake) List(_ context.Context, k Kind) (store.Update, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.listed[k]++
	return f.lists[k], f.failed
}

func (f *fake) Watch(ctx context.Context, _ Kind, _ uint64, _ time.Duration) (store.Update, error) {
	<-ctx.Done()
	return store.Update{}, ctx.Err()
}

func (f *fake) WatchCached(ctx context.Context, k Kind, after uint64, wait time.Duration) (store.Update, error) {
	return f.Watch(ctx, k, after, wait)
}

func (f *fake) Create(context.Context, Kind, string, []byte) (store.Object, error) {
	return store.Object{}, errors.New("not used")
}

func (f *fake) Replace(context.Context, Kind, string, []byte, uint64) (store.Object, error) {
	return store.Object{}, errors.New("not used")
}

// plain reads objects that are written as the types themselves.
type plain struct{}

func (plain) Configuration(value []byte) (*service.Configuration, error) {
	var d service.Configuration
	err := json.Unmarshal(value, &d)
	return &d, err
}

func (plain) Upstream(_ string, value []byte) (service.Upstream, error) {
	var u service.Upstream
	err := json.Unmarshal(value, &u)
	return u, err
}

func object(name string, v any) store.Object {
	value, err := json.Marshal(v)
	if err != nil {
		panic(err) // tests write what can be written
	}
	return store.Object{Name: name, Value: value}
}

func configuration(version uint64) store.Object {
	return object("main", service.Configuration{Version: version})
}

func newDirectory(name string) (*Directory, *fake) {
	f := newFake()
	rules := upstream.PresenceConfig{RemovalGrace: time.Second, RecoveryGrace: 2 * time.Second}
	return New(name, f, plain{}, dial.NewPool(nil, &dial.Traffic{}), rules), f
}

// learn lists a kind, as a process does at its start.
func learn(t *testing.T, d *Directory, k Kind) {
	t.Helper()
	u, err := d.ask(t.Context(), k, true)
	if err != nil {
		t.Fatal(err)
	}
	d.apply(k, u, "store")
}

func version(d *Directory) uint64 {
	if d.View().Configuration == nil {
		return 0
	}
	return d.View().Configuration.Version
}

func TestTheConfigurationNeverFalls(t *testing.T) {
	is := is.New(t)
	d, f := newDirectory("e1")
	is.Equal(version(d), uint64(0))
	f.set(Configuration, 10, configuration(7))
	learn(t, d, Configuration)
	is.Equal(version(d), uint64(7))
	f.set(Configuration, 9, configuration(6)) // an old list
	learn(t, d, Configuration)
	is.Equal(version(d), uint64(7))
	f.set(Configuration, 12, configuration(5)) // a new object with an old version
	learn(t, d, Configuration)
	is.Equal(version(d), uint64(7))
	f.set(Configuration, 13, store.Object{Name: "main", Value: []byte("[]")}) // one that cannot be read
	learn(t, d, Configuration)
	is.Equal(version(d), uint64(7))
	f.set(Configuration, 14, configuration(8))
	learn(t, d, Configuration)
	is.Equal(version(d), uint64(8))
}

// TestAViewIsCurrentOnlyOnceSubscribersHaveIt: an entry that knows a route must
// have the upstreams behind it.
func TestAViewIsCurrentOnlyOnceSubscribersHaveIt(t *testing.T) {
	is := is.New(t)
	d, f := newDirectory("e1")
	var heard, current []uint64
	d.Subscribe(func(v *service.View, _ map[string]fleet.Instance) {
		heard, current = append(heard, configurationVersion(v)), append(current, version(d))
	})
	f.set(Configuration, 10, configuration(7))
	learn(t, d, Configuration)
	is.Equal(heard, []uint64{0, 7})
	is.Equal(current, []uint64{0, 0})
	is.Equal(version(d), uint64(7))
}

// stormy is a store whose configuration changes each time that it is watched.
type stormy struct {
	*fake
	watches int
}

func (f *stormy) Watch(_ context.Context, _ Kind, after uint64, _ time.Duration) (store.Update, error) {
	f.watches++
	o := configuration(after + 1)
	o.Version = after + 1
	return store.Update{From: after, Revision: after + 1, Objects: []store.Object{o}}, nil
}

// TestAStormOfChangesTakesFewCalls: the first change is taken at once, the next
// ones together.
func TestAStormOfChangesTakesFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d, f := newDirectory("e1")
		f.set(Configuration, 1, configuration(1))
		s := &stormy{fake: f}
		d.store = s
		ctx, cancel := context.WithTimeout(t.Context(), 10*configurationPause)
		defer cancel()
		go d.follow(ctx, Configuration)
		synctest.Wait()
		is.Equal(version(d), uint64(1))
		<-ctx.Done()
		synctest.Wait()
		is.True(s.watches <= 10)
		is.Equal(version(d), uint64(1+s.watches))
	})
}

// TestOneKindProbesAStoreThatIsAway: the others are read again once it is back.
func TestOneKindProbesAStoreThatIsAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		d, f := newDirectory("e1")
		f.set(Configuration, 1, configuration(1))
		f.set(Upstreams, 1, object("u1", service.Upstream{ID: "u1", Service: "quotes"}))
		f.fail(errors.New("away"))
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		for _, k := range kinds {
			go d.follow(ctx, k)
		}
		time.Sleep(4 * time.Second)
		is.True(f.asked(Configuration) >= 4)
		is.True(f.asked(Upstreams) <= 2)
		is.True(f.asked(Instances) <= 2)
		f.fail(nil)
		time.Sleep(maxPause + maxPause/2 + 2*minPause)
		is.Equal(version(d), uint64(1))
		is.Equal(len(d.View().Upstreams), 1)
		is.Equal(len(d.missing()), 0)
		cancel()
		synctest.Wait()
	})
}

func TestAReadInTurnFindsWhatTheWatchMissed(t *testing.T) {
	is := is.New(t)
	d, f := newDirectory("e1")
	f.set(Configuration, 10, configuration(7))
	learn(t, d, Configuration)
	f.set(Configuration, 11, configuration(8))
	d.check(t.Context(), Configuration)
	is.Equal(version(d), uint64(8))
}

func TestAReadInTurnThatFailsMakesPeersBeAsked(t *testing.T) {
	is := is.New(t)
	d, f := newDirectory("e1")
	f.set(Configuration, 10, configuration(7))
	learn(t, d, Configuration)
	is.Equal(len(d.missing()), 0)
	f.fail(store.ErrRefused)
	d.check(t.Context(), Configuration)
	is.Equal(d.missing(), []Kind{Configuration})
	d.answered(Configuration)
	is.Equal(len(d.missing()), 0)
}

func TestAPeerBringsWhatItKnows(t *testing.T) {
	is := is.New(t)
	ahead, f := newDirectory("e1")
	f.set(Configuration, 10, configuration(7))
	learn(t, ahead, Configuration)
	reply, err := ahead.Compare(t.Context(), &peer.CompareRequest{Instance: "e2", Kind: string(Configuration)})
	is.NoErr(err)
	behind, _ := newDirectory("e2")
	behind.take(Configuration, peer.UpdateFromProto(reply.From, reply.Revision, reply.Objects), reply.Instance)
	is.Equal(version(behind), uint64(7))
	// Pushed the other way round it changes nothing.
	_, err = behind.Compare(t.Context(), &peer.CompareRequest{
		Instance: "e1", Kind: string(Configuration), Revision: 5, Objects: peer.ObjectsToProto([]store.Object{{Name: "main", Version: 5, Value: []byte(`{"Version":3}`)}}),
	})
	is.NoErr(err)
	is.Equal(version(behind), uint64(7))
	// A kind that is not kept has no objects.
	reply, err = ahead.Compare(t.Context(), &peer.CompareRequest{Kind: "other"})
	is.NoErr(err)
	is.Equal(reply.Revision, uint64(0))
}

// entry is the object of an entry.
func entry(name string, domain fleet.FailureDomain, address netip.AddrPort) store.Object {
	return object(name, fleet.Instance{Name: name, Role: fleet.EntryRole, FailureDomain: domain, Address: address})
}

// TestAFewEntriesOfADomainWatchTheStoreThemselves: each call is paid for.
func TestAFewEntriesOfADomainWatchTheStoreThemselves(t *testing.T) {
	is := is.New(t)
	nowhere := netip.MustParseAddrPort("127.0.1.1:1")
	objects := []store.Object{entry("lone", "d2", nowhere)}
	for n := range 9 {
		objects = append(objects, entry(fmt.Sprint("e", n), "d1", nowhere))
	}
	fresh := 0
	for n := range 9 {
		d, f := newDirectory(fmt.Sprint("e", n))
		is.True(d.readsFresh()) // nothing is known of the others
		f.set(Instances, 3, objects...)
		learn(t, d, Instances)
		is.True(d.readsFresh()) // no peer has answered
		d.heard = time.Now()
		if d.readsFresh() {
			fresh++
			is.Equal(len(d.lateReaders()), 9-freshWatchers)
		}
	}
	is.Equal(fresh, freshWatchers)
	lone, f := newDirectory("lone")
	f.set(Instances, 3, objects...)
	learn(t, lone, Instances)
	is.True(lone.readsFresh())
	is.Equal(len(lone.lateReaders()), 0)
}

// TestAChangeIsAnnouncedToThoseWhoReadLate, without a call of theirs.
func TestAChangeIsAnnouncedToThoseWhoReadLate(t *testing.T) {
	is := is.New(t)
	var all []*Directory
	var objects []store.Object
	for n := range freshWatchers + 2 {
		d, _ := newDirectory(fmt.Sprint("e", n))
		all = append(all, d)
		objects = append(objects, entry(d.self, "d1", serve(t, d)))
	}
	var teller *Directory
	for _, d := range all {
		f := d.store.(*fake)
		f.set(Instances, 3, objects...)
		learn(t, d, Instances)
		d.heard = time.Now()
		if d.readsFresh() {
			teller = d
		}
	}
	teller.store.(*fake).set(Configuration, 10, configuration(7))
	learn(t, teller, Configuration)
	teller.announce(t.Context(), Configuration)
	for _, d := range all {
		for tries := 0; !d.readsFresh() && version(d) != 7; tries++ {
			if tries == 1000 {
				t.Fatalf("%s was not told", d.self)
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	is.Equal(version(teller), uint64(7))
}

// TestAnEntryWithoutPeersReadsFresh: nobody would tell it of a change.
func TestAnEntryWithoutPeersReadsFresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		nowhere := netip.MustParseAddrPort("127.0.1.1:1")
		var objects []store.Object
		for n := range 9 {
			objects = append(objects, entry(fmt.Sprint("e", n), "d1", nowhere))
		}
		for n := range 9 {
			d, f := newDirectory(fmt.Sprint("e", n))
			f.set(Instances, 3, objects...)
			learn(t, d, Instances)
			d.heard = time.Now()
			fresh := d.readsFresh()
			ended := 0
			d.interrupt[Configuration] = func() { ended++ }
			is.Equal(d.refresh(fresh), fresh)
			is.Equal(ended, 0)
			time.Sleep(peerSilence)
			is.True(d.refresh(fresh))
			is.Equal(ended == 1, !fresh) // its late watch is ended
			is.True(d.refresh(true))
			is.Equal(ended == 1, !fresh) // once
		}
	})
}

func TestTurnsFollowEachOther(t *testing.T) {
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
		d, f := newDirectory(fmt.Sprint("e", i))
		f.set(Instances, 1, instances...)
		learn(t, d, Instances)
		turns[d.untilSlot(start)]++
	}
	is.Equal(len(turns), entries)
	for i := 1; i <= entries; i++ {
		is.Equal(turns[time.Duration(i)*checkSlot], 1) // one entry, and each time
	}
}

func TestLapsedUpstreamsStayUntilTheStoreIsBackForAWhile(t *testing.T) {
	is := is.New(t)
	d, f := newDirectory("e1")
	entry := func(id string, n byte) store.Object {
		return object(id, service.Upstream{ID: id, Service: "s", Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, n}), 80)})
	}
	f.set(Upstreams, 10, entry("u1", 1), entry("u2", 2), entry("u3", 3))
	learn(t, d, Upstreams)
	is.Equal(len(d.View().Upstreams), 3)
	d.failed(Upstreams, store.ErrRefused)
	f.set(Upstreams, 11, entry("u2", 2), entry("u3", 3))
	learn(t, d, Upstreams)
	u, there := d.View().Upstreams["u1"]
	is.True(there && u.Lapsed)
	f.set(Upstreams, 12, entry("u1", 1), entry("u2", 2), entry("u3", 3))
	learn(t, d, Upstreams)
	is.True(!d.View().Upstreams["u1"].Lapsed)
}
