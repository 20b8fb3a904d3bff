package store

import (
	"flag"
	"fmt"
	"os"
	"sort"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// TestMain raises the number of cases per rapid check from 100 to 3000, unless the
// -rapid.checks flag sets another one.
func TestMain(m *testing.M) {
	if err := flag.Lookup("rapid.checks").Value.Set("3000"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// candidateCall is a call of a candidate to the store that is in flight, or whose response
// is.
type candidateCall struct {
	from   int
	action LeaseAction
	lease  Lease
	// executed is set once the call has taken effect; lease and version are then the
	// state that it returns.
	executed bool
	version  uint64
}

// TestLeaseHasAtMostOneHolder checks that no two candidates hold the lease at a time, or
// under the same term, while they compete under slow calls, lost responses, pauses of any
// length and writes that take effect late.
func TestLeaseHasAtMostOneHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const duration = 10 * time.Second
		now := time.Unix(1000, 0)
		var object Lease
		var version uint64
		var candidates []*LeaseCandidate
		for i := range 3 {
			candidates = append(candidates, &LeaseCandidate{Name: fmt.Sprint("c", i), Duration: duration})
		}
		var calls []candidateCall
		busy := map[int]bool{}
		holders := map[uint64]string{}
		for range rapid.IntRange(50, 300).Draw(t, "events") {
			switch kind := rapid.IntRange(0, 9).Draw(t, "event"); {
			case kind < 3:
				now = now.Add(time.Duration(rapid.IntRange(1, 6000).Draw(t, "milliseconds")) * time.Millisecond)
			case kind < 6:
				i := rapid.IntRange(0, 2).Draw(t, "ticking")
				if busy[i] {
					break
				}
				if a := candidates[i].Tick(now); a != (Wait{}) {
					busy[i] = true
					calls = append(calls, candidateCall{from: i, action: a})
				}
			case len(calls) > 0:
				n := rapid.IntRange(0, len(calls)-1).Draw(t, "call")
				c := calls[n]
				calls = append(calls[:n], calls[n+1:]...)
				if !c.executed {
					if w, ok := c.action.(Write); ok && w.IfVersion == version {
						object, version = w.Lease, version+1
					}
					c.executed, c.lease, c.version = true, object, version
					if kind == 9 {
						candidates[c.from].CallFailed() // the response is lost, the effect stays
						busy[c.from] = false
						break
					}
					calls = append(calls, c)
					break
				}
				candidates[c.from].Observe(c.lease, c.version, now)
				busy[c.from] = false
			}
			holder := ""
			for _, c := range candidates {
				term, ok := c.Term(now)
				if !ok {
					continue
				}
				if holder != "" {
					t.Fatalf("%s and %s both hold the lease", holder, c.Name)
				}
				holder = c.Name
				if other, found := holders[term]; found && other != c.Name {
					t.Fatalf("term %d was held by %s and by %s", term, other, c.Name)
				}
				holders[term] = c.Name
			}
		}
	})
}

// TestReplicaNeverMovesBack checks that no revision or version of a replica decreases while
// updates are exchanged in any order, delayed, duplicated and lost, and objects are changed
// and deleted. In the end all replicas must agree.
func TestReplicaNeverMovesBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		source := NewReplica()
		replicas := []*Replica{NewReplica(), NewReplica(), NewReplica()}
		var inFlight []Update
		for range rapid.IntRange(10, 120).Draw(t, "events") {
			switch kind := rapid.IntRange(0, 5).Draw(t, "event"); {
			case kind < 2:
				revision := source.Revision() + 1
				name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
				source.Apply(Update{From: source.Revision(), Revision: revision, Objects: []Object{{
					Name: name, Version: revision, Value: []byte(fmt.Sprint(revision)), Deleted: rapid.Bool().Draw(t, "deleted"),
				}}})
			case kind < 4:
				from := append(replicas[:0:0], append(replicas, source)...)[rapid.IntRange(0, 3).Draw(t, "sender")]
				inFlight = append(inFlight, from.Since(uint64(rapid.IntRange(0, int(from.Revision())).Draw(t, "since"))))
			case len(inFlight) > 0:
				u := inFlight[rapid.IntRange(0, len(inFlight)-1).Draw(t, "update")] // it stays in flight, so it can arrive again
				r := replicas[rapid.IntRange(0, 2).Draw(t, "receiver")]
				before, held := r.Revision(), r.Since(0)
				r.Apply(u)
				if r.Revision() < before {
					t.Fatalf("revision decreased from %d to %d", before, r.Revision())
				}
				for _, o := range held.Objects {
					if n := r.objects[o.Name]; n.Version < o.Version {
						t.Fatalf("%s went back from version %d to %d", o.Name, o.Version, n.Version)
					}
				}
			}
		}
		for _, r := range replicas {
			r.Apply(source.Since(r.Revision()))
			if r.Revision() != source.Revision() || contents(r) != contents(source) {
				t.Fatalf("%s at %d instead of %s at %d", contents(r), r.Revision(), contents(source), source.Revision())
			}
		}
	})
}

// contents returns the names and values of all objects of r, sorted.
func contents(r *Replica) string {
	var out []string
	for _, o := range r.List("") {
		out = append(out, fmt.Sprintf("%s=%s", o.Name, o.Value))
	}
	sort.Strings(out)
	return fmt.Sprint(out)
}

func TestReplicaDropsOldTombstones(t *testing.T) {
	is := is.New(t)
	r := NewReplica()
	for n := uint64(1); n <= 3*MaxTombstones; n++ {
		r.Apply(Update{From: n - 1, Revision: n, Objects: []Object{{Name: fmt.Sprint(n), Version: n, Deleted: n%2 == 0}}})
	}
	is.True(r.tombstones <= MaxTombstones)
	is.Equal(r.Since(1).From, uint64(0)) // the revision is too old for an incremental update
	late := NewReplica()
	late.Apply(Update{From: 0, Revision: 2, Objects: []Object{{Name: "2", Version: 2}}})
	late.Apply(r.Since(2))
	_, ok := late.Get("2")
	is.True(!ok) // the deletion is not missed
}
