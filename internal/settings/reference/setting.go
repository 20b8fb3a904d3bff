// Package reference owns the declarations of all settings of the operator's
// tree: name, type, default, the levels that may carry it, and what it means.
// It does not hold values; package tree does.
package reference

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/samber/oops"
)

// LevelKind is one kind of level in the settings tree, from the outermost in.
type LevelKind string

// The kinds of levels, in the order of inheritance.
const (
	Fleet         LevelKind = "fleet"
	FailureDomain LevelKind = "failure-domain"
	Service       LevelKind = "service"
	Group         LevelKind = "group"
	ClientAccount LevelKind = "client-account"
)

// LevelKinds lists the kinds in the order of inheritance.
var LevelKinds = []LevelKind{Fleet, FailureDomain, Service, Group, ClientAccount}

// Value is a type that a setting can have.
type Value interface {
	time.Duration | int | float64 | string | bool | []string
}

// Setting declares one setting of type T.
type Setting[T Value] struct {
	declaration *Declaration
	fallback    T
}

// Declaration is what all settings have in common, whatever their type.
type Declaration struct {
	Name    string
	Doc     string
	Type    string
	Default string
	Levels  []LevelKind
	check   func(json.RawMessage) error
}

var declarations = map[string]*Declaration{}

// Declarations returns all declarations by name.
func Declarations() []*Declaration {
	out := make([]*Declaration, 0, len(declarations))
	for _, d := range declarations {
		out = append(out, d)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Declared returns the declaration of that name.
func Declared(name string) (*Declaration, bool) {
	d, ok := declarations[name]
	return d, ok
}

// Check reports whether value is valid for the setting on a level of kind k.
func (d *Declaration) Check(k LevelKind, value json.RawMessage) error {
	if !d.allows(k) {
		return oops.Code("invalid-settings").Errorf("%s can't be set on a level of kind %s; it belongs on %s", d.Name, k, joinKinds(d.Levels))
	}
	if err := d.check(value); err != nil {
		return oops.Code("invalid-settings").Wrapf(err, "%s takes %s, not %s", d.Name, d.Type, value)
	}
	return nil
}

func (d *Declaration) allows(k LevelKind) bool {
	for _, l := range d.Levels {
		if l == k {
			return true
		}
	}
	return false
}

func joinKinds(kinds []LevelKind) string {
	words := make([]string, len(kinds))
	for i, k := range kinds {
		words[i] = string(k)
	}
	return strings.Join(words, ", ")
}

// declare adds a setting to the reference. bounds may be nil.
func declare[T Value](name string, fallback T, levels []LevelKind, bounds func(T) error, doc string) Setting[T] {
	d := &Declaration{Name: name, Doc: doc, Type: typeName(fallback), Default: format(fallback), Levels: levels}
	d.check = func(raw json.RawMessage) error {
		v, err := parse[T](raw)
		if err != nil || bounds == nil {
			return err
		}
		return bounds(v)
	}
	declarations[name] = d
	return Setting[T]{declaration: d, fallback: fallback}
}

// Name returns the setting's name.
func (s Setting[T]) Name() string { return s.declaration.Name }

// Resolve returns the setting's value, raw where the tree has one and the
// default otherwise. Values in a tree were checked when they were accepted.
func (s Setting[T]) Resolve(raw json.RawMessage, ok bool) T {
	if !ok {
		return s.fallback
	}
	v, err := parse[T](raw)
	if err != nil {
		return s.fallback
	}
	return v
}

func parse[T Value](raw json.RawMessage) (T, error) {
	var v T
	if p, ok := any(&v).(*time.Duration); ok {
		var s string
		if err := json.Unmarshal(raw, &s); err != nil {
			return v, fmt.Errorf("write a string with a unit, such as \"1.5s\"")
		}
		d, err := time.ParseDuration(s)
		if err != nil {
			return v, fmt.Errorf("write a number with a unit, such as \"1.5s\" or \"200ms\"")
		}
		*p = d
		return v, nil
	}
	if string(raw) == "null" {
		return v, fmt.Errorf("null is no value; use unset to inherit")
	}
	return v, json.Unmarshal(raw, &v)
}

func typeName(v any) string {
	switch v.(type) {
	case time.Duration:
		return "a duration"
	case int:
		return "a whole number"
	case float64:
		return "a number"
	case bool:
		return "true or false"
	case []string:
		return "a list of strings"
	default:
		return "a string"
	}
}

func format(v any) string {
	switch t := v.(type) {
	case time.Duration:
		return fmt.Sprintf("%q", t.String())
	case []string:
		b, err := json.Marshal(t)
		if err != nil {
			return "[]"
		}
		return string(b)
	case string:
		return fmt.Sprintf("%q", t)
	default:
		return fmt.Sprint(t)
	}
}

// Page returns docs/settings.md, generated from the declarations.
func Page() string {
	var b strings.Builder
	b.WriteString("# Settings\n\nGenerated from the declarations in internal/settings/reference; a test holds this page to them.\n\n")
	b.WriteString("A level names only what it overrides. Values are taken from the fleet, then the failure domain,\n")
	b.WriteString("then the service or model group, then the client account; the last one named holds.\n")
	b.WriteString("A change takes effect without a restart.\n\n")
	b.WriteString("| setting | type | default | levels | meaning |\n|---|---|---|---|---|\n")
	for _, d := range Declarations() {
		fmt.Fprintf(&b, "| `%s` | %s | `%s` | %s | %s |\n", d.Name, d.Type, d.Default, joinKinds(d.Levels), d.Doc)
	}
	return b.String()
}
