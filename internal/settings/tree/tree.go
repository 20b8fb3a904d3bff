// Package tree implements the settings tree: it parses and validates the levels,
// resolves inheritance between them, and explains which level a value comes
// from. Other packages store and replicate the levels.
package tree

import (
	"bytes"
	"encoding/json"
	"regexp"
	"sort"
	"strings"

	"bramleydeal/internal/settings/reference"
	"github.com/samber/oops"
	"github.com/tailscale/hujson"
)

// Level is one level of the settings tree. It holds only the settings that it
// overrides; all others are inherited.
type Level struct {
	Kind     reference.LevelKind
	Name     string // empty for the fleet
	Settings map[string]json.RawMessage
}

// Path returns the level's path, such as "fleet" or "service/stock".
func (l Level) Path() string {
	if l.Kind == reference.Fleet {
		return string(l.Kind)
	}
	return string(l.Kind) + "/" + l.Name
}

// validName matches the name of a level: 1 to 63 characters.
var validName = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]{0,61}[a-z0-9])?$`)

// ParsePath splits a level's path into its kind and name; the name is empty for
// the fleet. It returns an invalid-settings error for any other path.
func ParsePath(path string) (reference.LevelKind, string, error) {
	kind, name, named := strings.Cut(path, "/")
	for _, k := range reference.LevelKinds {
		if string(k) != kind {
			continue
		}
		if k == reference.Fleet && !named {
			return k, "", nil
		}
		if k != reference.Fleet && validName.MatchString(name) {
			return k, name, nil
		}
		return "", "", oops.Code("invalid-settings").Errorf("%q names no level: write %s", path, pathFormat(k))
	}
	return "", "", oops.Code("invalid-settings").Errorf("%q names no level: begin with fleet, failure-domain/, service/, group/ or client-account/", path)
}

// pathFormat describes the paths of levels of kind k for error messages.
func pathFormat(k reference.LevelKind) string {
	if k == reference.Fleet {
		return "fleet"
	}
	return string(k) + "/NAME with a name of lower-case letters, digits, '.' and '-'"
}

// ParseLevel parses the value of the level at path: an object from setting names
// to values, in JSON with comments. It returns an invalid-settings error if the
// path, a setting's name or a value is invalid.
func ParseLevel(path string, value []byte) (Level, error) {
	kind, name, err := ParsePath(path)
	if err != nil {
		return Level{}, err
	}
	fields, err := ParseObject(path, value)
	if err != nil {
		return Level{}, err
	}
	l := Level{Kind: kind, Name: name, Settings: map[string]json.RawMessage{}}
	for _, f := range fields {
		if err := l.Set(f.Name, f.Value); err != nil {
			return Level{}, err
		}
	}
	return l, nil
}

// Field is one member of a JSON object.
type Field struct {
	Name  string
	Value json.RawMessage
}

// ParseObject parses a JSON object with comments and returns its members in the
// order of the text. It returns an invalid-settings error if value is not an
// object or has a duplicate member; source says in the error what was parsed.
func ParseObject(source string, value []byte) ([]Field, error) {
	standard, err := hujson.Standardize(bytes.Clone(value))
	if err != nil {
		return nil, oops.Code("invalid-settings").Wrapf(err, "%s: broken JSON", source)
	}
	d := json.NewDecoder(bytes.NewReader(standard))
	if t, err := d.Token(); err != nil || t != json.Delim('{') {
		return nil, oops.Code("invalid-settings").Errorf("%s: must be a JSON object", source)
	}
	var fields []Field
	seen := map[string]bool{}
	for d.More() {
		f, err := parseField(d)
		if err != nil {
			return nil, oops.Code("invalid-settings").Wrapf(err, "%s: broken JSON", source)
		}
		if seen[f.Name] {
			return nil, oops.Code("invalid-settings").Errorf("%s: %q is named twice; keep one", source, f.Name)
		}
		seen[f.Name] = true
		fields = append(fields, f)
	}
	return fields, nil
}

// parseField reads one member of an object, its name and its value, from d.
func parseField(d *json.Decoder) (Field, error) {
	t, err := d.Token()
	if err != nil {
		return Field{}, err
	}
	var f Field
	f.Name, _ = t.(string) // a member's name is always a string
	return f, d.Decode(&f.Value)
}

// Set sets one setting of the level. It returns an invalid-settings error if
// the setting is unknown, or if it does not allow the value or the level's kind.
func (l Level) Set(name string, value json.RawMessage) error {
	d, ok := reference.Lookup(name)
	if !ok {
		return oops.Code("invalid-settings").Errorf("%s: unknown setting %q%s", l.Path(), name, suggestName(name))
	}
	if err := d.Check(l.Kind, value); err != nil {
		return oops.Code("invalid-settings").Wrapf(err, "%s", l.Path())
	}
	l.Settings[name] = value
	return nil
}

// suggestName returns the end of the error message for an unknown setting: the
// declared setting with the longest common prefix if that has at least 3 bytes, or
// else the page that lists all settings.
func suggestName(name string) string {
	best, longest := "", 0
	for _, d := range reference.Declarations() {
		if n := commonPrefix(d.Name, name); n > longest {
			best, longest = d.Name, n
		}
	}
	if longest < 3 {
		return "; docs/settings.md lists them all"
	}
	return "; did you mean " + best + "?"
}

// commonPrefix returns the length of the longest common prefix of a and b in
// bytes.
func commonPrefix(a, b string) int {
	n := 0
	for n < len(a) && n < len(b) && a[n] == b[n] {
		n++
	}
	return n
}

// Marshal returns the level's value as a JSON object, sorted by setting name.
func (l Level) Marshal() []byte {
	b, err := json.Marshal(l.Settings)
	if err != nil {
		panic(err) // Set accepts valid JSON only
	}
	return b
}

// Clone returns a copy of l with its own map of settings.
func (l Level) Clone() Level {
	c := Level{Kind: l.Kind, Name: l.Name, Settings: make(map[string]json.RawMessage, len(l.Settings))}
	for k, v := range l.Settings {
		c.Settings[k] = v
	}
	return c
}

// Tree is an immutable snapshot of all levels at one revision.
type Tree struct {
	Revision uint64
	levels   map[string]Level
}

// New returns the tree of the given levels.
func New(revision uint64, levels ...Level) *Tree {
	t := &Tree{Revision: revision, levels: make(map[string]Level, len(levels))}
	for _, l := range levels {
		t.levels[l.Path()] = l
	}
	return t
}

// Level returns the level at path and whether the tree has one.
func (t *Tree) Level(path string) (Level, bool) {
	l, ok := t.levels[path]
	return l, ok
}

// Names returns the names of all levels of kind k, sorted.
func (t *Tree) Names(k reference.LevelKind) []string {
	var out []string
	for _, l := range t.levels {
		if l.Kind == k {
			out = append(out, l.Name)
		}
	}
	sort.Strings(out)
	return out
}

// Scope names the levels that apply together, from the outermost to the
// innermost. The fleet always applies; a level with an empty name does not.
type Scope struct {
	FailureDomain string
	Service       string
	Group         string
	ClientAccount string
}

// paths returns the paths of the scope's levels in the order of inheritance.
func (s Scope) paths() []string {
	out := []string{string(reference.Fleet)}
	for _, p := range []struct {
		kind reference.LevelKind
		name string
	}{
		{reference.FailureDomain, s.FailureDomain},
		{reference.Service, s.Service},
		{reference.Group, s.Group},
		{reference.ClientAccount, s.ClientAccount},
	} {
		if p.name != "" {
			out = append(out, string(p.kind)+"/"+p.name)
		}
	}
	return out
}

// Get returns the effective value of a setting in a scope: that of the innermost
// level that sets it, or else the default.
func Get[T reference.Value](t *Tree, s Scope, setting reference.Setting[T]) T {
	raw, _, ok := t.lookup(s, setting.Name())
	return setting.Resolve(raw, ok)
}

// lookup returns the value of the innermost level in the scope that sets the
// setting, that level's path, and whether any level sets it.
func (t *Tree) lookup(s Scope, name string) (json.RawMessage, string, bool) {
	paths := s.paths()
	for i := len(paths) - 1; i >= 0; i-- {
		if v, ok := t.levels[paths[i]].Settings[name]; ok {
			return v, paths[i], true
		}
	}
	return nil, "", false
}

// Explanation is the effective value of a setting and its origin.
type Explanation struct {
	Setting string          `json:"setting"`
	Value   json.RawMessage `json:"value"`
	// From is the path of the level that sets the value, or "default".
	From string `json:"from"`
}

// Explain returns the effective value of every setting in a scope, sorted by
// name.
func (t *Tree) Explain(s Scope) []Explanation {
	var out []Explanation
	for _, d := range reference.Declarations() {
		e := Explanation{Setting: d.Name, Value: json.RawMessage(d.Default), From: "default"}
		if v, from, ok := t.lookup(s, d.Name); ok {
			e.Value, e.From = v, from
		}
		out = append(out, e)
	}
	return out
}

// ScopeOf returns the scope that consists of the fleet and the level at path.
// It returns an error if the path is invalid.
func ScopeOf(path string) (Scope, error) {
	kind, name, err := ParsePath(path)
	if err != nil {
		return Scope{}, err
	}
	switch kind {
	case reference.FailureDomain:
		return Scope{FailureDomain: name}, nil
	case reference.Service:
		return Scope{Service: name}, nil
	case reference.Group:
		return Scope{Group: name}, nil
	case reference.ClientAccount:
		return Scope{ClientAccount: name}, nil
	default:
		return Scope{}, nil
	}
}
