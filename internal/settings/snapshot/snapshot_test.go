package snapshot_test

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net/netip"
	"runtime"
	"testing"

	"bramleydeal/internal/core/store"
	"bramleydeal/internal/settings/snapshot"
	"bramleydeal/internal/settings/tree"
	"bramleydeal/internal/world/fleet"
	"github.com/matryer/is"
)

// newReplica returns a replica of a deployment, and the size of its objects in
// bytes. At scale 1 it has the size that the system is designed for: 980 instances,
// 310 client accounts and 14 groups. The number of groups does not scale.
func newReplica(scale float64) (*store.Replica, int) {
	u := store.Update{Revision: 1}
	bytes := 0
	add := func(name string, value any) {
		text, err := json.Marshal(value)
		if err != nil {
			panic(err) // the values here always marshal
		}
		bytes += len(name) + len(text)
		u.Objects = append(u.Objects, store.Object{Name: name, Version: 1, Value: text})
	}
	var agents []string
	for n := range int(980 * scale) {
		i := fleet.Instance{Name: fmt.Sprintf("domain-%d-instance-%d", n%5, n), Role: fleet.EntryRole, FailureDomain: "domain",
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(n >> 8), byte(n)}), 7100)}
		if n%5 > 1 {
			i.Role = fleet.AgentRole
			agents = append(agents, i.Name)
		}
		add(fleet.InstancePrefix+i.Name, i)
	}
	for n := range int(310 * scale) {
		sum := sha256.Sum256([]byte(fmt.Sprint("key ", n)))
		add(fleet.SettingsPrefix+fmt.Sprintf("client-account/account-%d", n), map[string]any{"key-hash": hex.EncodeToString(sum[:]), "weight": 2})
	}
	for n := range 14 {
		add(fleet.SettingsPrefix+fmt.Sprintf("group/group-%d", n), map[string]any{"model": fmt.Sprint("model-", n), "upstreams": agents[n*len(agents)/14 : (n+1)*len(agents)/14]})
	}
	r := store.NewReplica()
	r.Apply(u)
	return r, bytes
}

func TestAccountIsFoundByItsExactKey(t *testing.T) {
	is := is.New(t)
	r, _ := newReplica(0.1)
	s := snapshot.Build(r, nil)
	name, ok := s.Account("key 3")
	is.True(ok)
	is.Equal(name, "account-3")
	_, ok = s.Account("key 3 ")
	is.True(!ok)
	is.Equal(len(s.Rejected), 0)
	is.Equal(len(s.Models()), 14)
	is.True(s.Allowed("account-3", "group-1"))
	is.True(len(s.Upstreams(tree.Scope{Group: "group-1"})) > 0)
}

func TestInvalidLevelKeepsItsPreviousValue(t *testing.T) {
	is := is.New(t)
	r, _ := newReplica(0.1)
	before := snapshot.Build(r, nil)
	r.Apply(store.Update{From: 1, Revision: 2, Objects: []store.Object{{
		Name: fleet.SettingsPrefix + "client-account/account-3", Version: 2, Value: []byte(`{"nonsense": 1}`)}}})
	after := snapshot.Build(r, before)
	is.Equal(len(after.Rejected), 1)
	_, ok := after.Account("key 3")
	is.True(ok)
}

// BenchmarkBuild measures building a snapshot, which a process does after each
// change, and the size of the snapshot, for several sizes of deployment.
func BenchmarkBuild(b *testing.B) {
	for _, scale := range []float64{0.1, 0.3, 1} {
		b.Run(fmt.Sprintf("%.0f%% of the target size", 100*scale), func(b *testing.B) {
			r, bytes := newReplica(scale)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			s := snapshot.Build(r, nil)
			runtime.GC()
			runtime.ReadMemStats(&after)
			heapBytes := float64(after.HeapAlloc) - float64(before.HeapAlloc)
			for b.Loop() {
				s = snapshot.Build(r, s)
			}
			b.ReportMetric(heapBytes/1e6, "snapshot-MB")
			b.ReportMetric(float64(bytes)/1e6, "objects-MB")
		})
	}
}

// BenchmarkAccount measures the lookup of one bearer key among all accounts.
func BenchmarkAccount(b *testing.B) {
	r, _ := newReplica(1)
	s := snapshot.Build(r, nil)
	for b.Loop() {
		s.Account("key 300")
	}
}
