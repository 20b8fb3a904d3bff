// Package store owns the decisions about what the platform's object API
// says: the replica of the objects that every process keeps, leases, and
// claims of keys. It performs no calls itself.
package store

import (
	"sort"
	"strings"
)

// Object is one versioned object. Version is the platform's revision at the
// object's last change, so versions are comparable across objects.
type Object struct {
	Name    string
	Version uint64
	Value   []byte
	Deleted bool
}

// Replica is a process's copy of the replicated objects. Each object and the
// revision only ever move forward; older input is refused.
type Replica struct {
	objects  map[string]Object
	revision uint64
	// tombstoneFloor is the revision below which tombstones were dropped.
	tombstoneFloor uint64
	tombstones     int
}

// MaxTombstones bounds the deleted objects that a replica remembers.
const MaxTombstones = 1024

// NewReplica returns an empty replica at revision 0.
func NewReplica() *Replica { return &Replica{objects: map[string]Object{}} }

// Revision returns the revision up to which the replica is complete.
func (r *Replica) Revision() uint64 { return r.revision }

// Get returns the object of that name, if it exists.
func (r *Replica) Get(name string) (Object, bool) {
	o, ok := r.objects[name]
	return o, ok && !o.Deleted
}

// List returns the existing objects whose names begin with prefix, by name.
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

// Update carries the objects changed in (From, Revision]. A From of 0 says
// that Objects is everything, so what it lacks has been deleted.
type Update struct {
	From     uint64
	Revision uint64
	Objects  []Object
}

// Outcome says what Apply made of an update.
type ApplyResult int

// The outcomes of Apply.
const (
	// Applied means that the replica moved forward.
	Applied ApplyResult = iota
	// Current means that the update held nothing new.
	UpToDate
	// Stale means that the update was older than the replica and was refused.
	Stale
	// Gap means that the update starts after the replica's revision.
	Gap
)

// Apply moves the replica forward by u. It never moves an object or the
// revision back, whatever the order in which updates arrive.
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

// deleteMissing marks objects that a complete update lacks as deleted.
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

func (r *Replica) trimTombstones() {
	if r.tombstones <= MaxTombstones {
		return
	}
	var dead []Object
	for _, o := range r.objects {
		if o.Deleted {
			dead = append(dead, o)
		}
	}
	sort.Slice(dead, func(i, j int) bool { return dead[i].Version < dead[j].Version })
	for _, o := range dead[:len(dead)-MaxTombstones/2] {
		delete(r.objects, o.Name)
		r.tombstoneFloor = o.Version
		r.tombstones--
	}
}

// Since returns the update that brings a replica at revision from up to this
// one. It is complete when tombstones since from were dropped.
func (r *Replica) Since(from uint64) Update {
	if from < r.tombstoneFloor {
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
