// Package snapshot owns the immutable view of the replicated objects that a
// process works by at one revision: the settings tree, the instances, and the
// indexes over them. It is built from a replica and never changed.
package snapshot

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"strings"

	"bramleydeal/internal/core/store"
	"bramleydeal/internal/settings/reference"
	"bramleydeal/internal/settings/tree"
	"bramleydeal/internal/world/fleet"
)

// Snapshot is everything in force at one revision.
type Snapshot struct {
	Revision  uint64
	Tree      *tree.Tree
	Instances map[string]fleet.Instance
	// Rejected lists objects that could not be read; the process goes on
	// without them and reports them.
	Rejected []string

	groupOfModel map[string]string
	accounts     []account
}

type account struct {
	name string
	hash [sha256.Size]byte
}

// Build returns the snapshot of a replica's objects. A level that cannot be
// read keeps its value from the previous snapshot.
func Build(r *store.Replica, previous *Snapshot) *Snapshot {
	s := &Snapshot{Revision: r.Revision(), Instances: map[string]fleet.Instance{}, groupOfModel: map[string]string{}}
	for _, o := range r.List(fleet.InstancePrefix) {
		i, err := fleet.ParseInstance(o.Value)
		if err != nil {
			s.Rejected = append(s.Rejected, err.Error())
			continue
		}
		s.Instances[i.Name] = i
	}
	s.Tree = tree.New(r.Revision(), s.readLevels(r, previous)...)
	s.index()
	return s
}

func (s *Snapshot) readLevels(r *store.Replica, previous *Snapshot) []tree.Level {
	var levels []tree.Level
	for _, o := range r.List(fleet.SettingsPrefix) {
		path := strings.TrimPrefix(o.Name, fleet.SettingsPrefix)
		l, err := tree.ParseLevel(path, o.Value)
		if err != nil {
			s.Rejected = append(s.Rejected, err.Error())
			if previous == nil {
				continue
			}
			if l, err = previousLevel(previous, path); err != nil {
				continue
			}
		}
		levels = append(levels, l)
	}
	return levels
}

func previousLevel(previous *Snapshot, path string) (tree.Level, error) {
	if l, ok := previous.Tree.Level(path); ok {
		return l, nil
	}
	return tree.ParseLevel(path, []byte("{}"))
}

func (s *Snapshot) index() {
	for _, g := range s.Tree.Names(reference.Group) {
		if model := tree.Get(s.Tree, tree.Scope{Group: g}, reference.Model); model != "" {
			s.groupOfModel[model] = g
		}
	}
	for _, name := range s.Tree.Names(reference.ClientAccount) {
		sum, err := hex.DecodeString(tree.Get(s.Tree, tree.Scope{ClientAccount: name}, reference.KeyHash))
		if err == nil && len(sum) == sha256.Size {
			s.accounts = append(s.accounts, account{name: name, hash: [sha256.Size]byte(sum)})
		}
	}
}

// Account returns the client account of a bearer key. Every account is
// compared, in constant time, whether or not one has matched.
func (s *Snapshot) Account(key string) (string, bool) {
	sum := sha256.Sum256([]byte(key))
	found := -1
	for i := range s.accounts {
		if subtle.ConstantTimeCompare(sum[:], s.accounts[i].hash[:]) == 1 {
			found = i
		}
	}
	if found < 0 {
		return "", false
	}
	return s.accounts[found].name, true
}

// GroupOfModel returns the group that serves a model.
func (s *Snapshot) GroupOfModel(model string) (string, bool) {
	g, ok := s.groupOfModel[model]
	return g, ok
}

// Models returns the names of the models served, in the order of their groups.
func (s *Snapshot) Models() []string {
	var out []string
	for _, g := range s.Tree.Names(reference.Group) {
		if m := tree.Get(s.Tree, tree.Scope{Group: g}, reference.Model); m != "" && s.groupOfModel[m] == g {
			out = append(out, m)
		}
	}
	return out
}

// HasService tells whether the service exists.
func (s *Snapshot) HasService(name string) bool {
	_, ok := s.Tree.Level(string(reference.Service) + "/" + name)
	return ok
}

// Allowed tells whether the account may use a service or group.
func (s *Snapshot) Allowed(account, target string) bool {
	for _, t := range tree.Get(s.Tree, tree.Scope{ClientAccount: account}, reference.MayUse) {
		if t == "*" || t == target {
			return true
		}
	}
	return false
}

// Upstreams returns the instances that serve a service or group, in the order
// of the setting, leaving out those that the platform does not list.
func (s *Snapshot) Upstreams(scope tree.Scope) []fleet.Instance {
	var out []fleet.Instance
	for _, name := range tree.Get(s.Tree, scope, reference.Upstreams) {
		if i, ok := s.Instances[name]; ok {
			out = append(out, i)
		}
	}
	return out
}
