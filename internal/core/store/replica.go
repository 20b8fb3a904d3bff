// Package store implements the logic on top of the platform's object store: the replica
// of the objects that every process keeps, and the acquisition of leases. It performs no
// I/O.
package store

import (
	"sort"
	"strings"
)

// Object is one versioned object.
type Object struct {
	Name string
	// Version is that of the store at the last change of the object, so versions of
	// different objects can be compared.
	Version uint64
	Value   []byte
	// Deleted is set for a tombstone, which records that the object was deleted.
	Deleted bool
}

// Replica is a process's copy of the replicated objects. Neither the version of an object
// nor the replica's revision ever decreases; older updates have no effect.
type Replica struct {
	objects  map[string]Object
	revision uint64
	// tombstoneFloor is the highest version of the tombstones that were dropped.
	tombstoneFloor uint64
	// tombstones is the number of tombstones in objects.
	tombstones int
}

// MaxTombstones is the maximum number of tombstones that a replica keeps.
const MaxTombstones = 1024

// NewReplica returns an empty replica at revision 0.
func NewReplica() *Replica { return &Replica{objects: map[string]Object{}} }

// Revision returns the store's version up to which the replica has all changes.
func (r *Replica) Revision() uint64 { return r.revision }

// Get returns the named object and whether it exists.
func (r *Replica) Get(name string) (Object, bool) {
	o, ok := r.objects[name]
	return o, ok && !o.Deleted
}

// List returns the existing objects whose names begin with prefix, sorted by name.
func (r *Replica) List(prefix string) []Object {
	var out []Object
	for _, o := range r.objects {
		if !o.Deleted && strings.HasPrefix(o.Name, prefix) {
			out = append(out, o)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Update holds the objects that changed after revision From up to and including Revision.
// If From is 0, Objects is the complete list, and objects that are not in it have been
// deleted.
type Update struct {
	From     uint64
	Revision uint64
	Objects  []Object
}

// ApplyResult is the result of applying an update to a replica.
type ApplyResult int

// The results of Apply. The replica changes only with Applied.
const (
	// Applied means that the replica advanced to the revision of the update.
	Applied ApplyResult = iota
	// UpToDate means that the replica is at the revision of the update.
	UpToDate
	// Stale means that the replica is past the revision of the update.
	Stale
	// Gap means that the changes between the replica's revision and the start of the
	// update are missing.
	Gap
)

// Apply applies u to the replica. Updates may arrive in any order and repeatedly: the
// revision and the versions of objects never decrease.
func (r *Replica) Apply(u Update) ApplyResult {
	switch {
	case u.Revision < r.revision:
		return Stale
	case u.Revision == r.revision:
		return UpToDate
	case u.From > r.revision:
		return Gap
	}
	if u.From == 0 {
		r.deleteMissing(u)
	}
	for _, o := range u.Objects {
		r.putIfNewer(o)
	}
	r.revision = u.Revision
	r.trimTombstones()
	return Applied
}

// putIfNewer stores an object unless the replica has the same or a newer version of it.
func (r *Replica) putIfNewer(o Object) {
	held, ok := r.objects[o.Name]
	if ok && held.Version >= o.Version {
		return
	}
	if ok && held.Deleted {
		r.tombstones--
	}
	if o.Deleted {
		r.tombstones++
		o.Value = nil
	}
	r.objects[o.Name] = o
}

// deleteMissing marks the objects that are not in a complete list as deleted.
func (r *Replica) deleteMissing(u Update) {
	present := make(map[string]bool, len(u.Objects))
	for _, o := range u.Objects {
		present[o.Name] = true
	}
	for name, o := range r.objects {
		if !o.Deleted && !present[name] {
			r.putIfNewer(Object{Name: name, Version: u.Revision, Deleted: true})
		}
	}
}

// trimTombstones drops the oldest tombstones if there are more than MaxTombstones, and
// keeps half of that number.
func (r *Replica) trimTombstones() {
	if r.tombstones <= MaxTombstones {
		return
	}
	var tombstones []Object
	for _, o := range r.objects {
		if o.Deleted {
			tombstones = append(tombstones, o)
		}
	}
	sort.Slice(tombstones, func(i, j int) bool { return tombstones[i].Version < tombstones[j].Version })
	for _, o := range tombstones[:len(tombstones)-MaxTombstones/2] {
		delete(r.objects, o.Name)
		r.tombstoneFloor = o.Version
		r.tombstones--
	}
}

// Since returns the update that brings a replica from the revision from to the revision
// of this one. The update is a complete list if tombstones since from were dropped, or if
// from is of an earlier era, whose later changes are lost.
func (r *Replica) Since(from uint64) Update {
	if from < r.tombstoneFloor || EraOf(from) != EraOf(r.revision) {
		from = 0
	}
	u := Update{From: from, Revision: r.revision}
	for _, o := range r.objects {
		if o.Version > from && (from > 0 || !o.Deleted) {
			u.Objects = append(u.Objects, o)
		}
	}
	sort.Slice(u.Objects, func(i, j int) bool { return u.Objects[i].Version < u.Objects[j].Version })
	return u
}
