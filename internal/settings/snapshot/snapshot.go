// Package snapshot builds immutable views of the replicated objects at one
// revision: the settings tree, the instances, and indexes over them. A process
// reads its settings from the current snapshot and replaces it after a change.
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

// Snapshot holds the settings and instances in effect at one revision. It must not
// be changed after Build returns it.
type Snapshot struct {
	Revision  uint64
	Tree      *tree.Tree
	Instances map[string]fleet.Instance
	// Rejected holds the error message of each object that could not be parsed, for
	// the process to report.
	Rejected []string

	groupOfModel map[string]string // by model name
	accounts     []account         // those with a valid key hash
}

// account is a client account with the SHA-256 of its bearer key.
type account struct {
	name string
	hash [sha256.Size]byte
}

// Build returns the snapshot of a replica's objects. It omits instances that cannot
// be parsed. A level that cannot be parsed keeps its value from the previous
// snapshot, or is empty if that has no such level; without a previous snapshot
// (nil) it is omitted.
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
	s.Tree = tree.New(r.Revision(), s.parseLevels(r, previous)...)
	s.buildIndexes()
	return s
}

// parseLevels returns the replica's levels and adds the errors to s.Rejected.
func (s *Snapshot) parseLevels(r *store.Replica, previous *Snapshot) []tree.Level {
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

// previousLevel returns the level at path from the previous snapshot, or an empty
// one. It returns an error if path is invalid.
func previousLevel(previous *Snapshot, path string) (tree.Level, error) {
	if l, ok := previous.Tree.Level(path); ok {
		return l, nil
	}
	return tree.ParseLevel(path, []byte("{}"))
}

// buildIndexes fills the indexes from the tree.
func (s *Snapshot) buildIndexes() {
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

// Account returns the name of the client account with the given bearer key, and
// whether there is one. It compares the key with every account in constant time,
// so that its duration does not reveal which account matched.
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

// GroupOfModel returns the name of the group that serves a model, and whether
// there is one.
func (s *Snapshot) GroupOfModel(model string) (string, bool) {
	g, ok := s.groupOfModel[model]
	return g, ok
}

// Models returns the names of the models that the groups serve, sorted by group
// name.
func (s *Snapshot) Models() []string {
	var out []string
	for _, g := range s.Tree.Names(reference.Group) {
		if m := tree.Get(s.Tree, tree.Scope{Group: g}, reference.Model); m != "" && s.groupOfModel[m] == g {
			out = append(out, m)
		}
	}
	return out
}

// HasService reports whether the settings tree has a level for the service.
func (s *Snapshot) HasService(name string) bool {
	_, ok := s.Tree.Level(string(reference.Service) + "/" + name)
	return ok
}

// Allowed reports whether the account may use the service or group that target
// names.
func (s *Snapshot) Allowed(account, target string) bool {
	for _, t := range tree.Get(s.Tree, tree.Scope{ClientAccount: account}, reference.MayUse) {
		if t == "*" || t == target {
			return true
		}
	}
	return false
}

// Upstreams returns the instances that serve the scope's service or group, in the
// order of the setting "upstreams". It omits those that the platform does not list.
func (s *Snapshot) Upstreams(scope tree.Scope) []fleet.Instance {
	var out []fleet.Instance
	for _, name := range tree.Get(s.Tree, scope, reference.Upstreams) {
		if i, ok := s.Instances[name]; ok {
			out = append(out, i)
		}
	}
	return out
}
