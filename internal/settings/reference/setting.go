// Package reference declares all settings of the settings tree: the name, type,
// default, meaning and permitted levels of each. Package tree holds the values.
package reference

import (
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"time"

	"github.com/samber/oops"
)

// LevelKind is a kind of level in the settings tree.
type LevelKind string

// The kinds of levels, in the order of inheritance: a later one overrides an
// earlier one.
const (
	Fleet         LevelKind = "fleet"
	FailureDomain LevelKind = "failure-domain"
	Service       LevelKind = "service"
	Group         LevelKind = "group"
	ClientAccount LevelKind = "client-account"
)

// LevelKinds lists all kinds of levels in the order of inheritance.
var LevelKinds = []LevelKind{Fleet, FailureDomain, Service, Group, ClientAccount}

// Value is the set of types that a setting may have.
type Value interface {
	time.Duration | int | float64 | string | bool | []string
}

// Setting is a declared setting of type T, used to look up its value.
type Setting[T Value] struct {
	declaration  *Declaration
	defaultValue T
}

// Declaration describes a setting independently of its Go type. Type and Default
// are texts for the reference page; check validates a value's type and bounds.
type Declaration struct {
	Name    string
	Doc     string
	Type    string
	Default string
	Levels  []LevelKind
	check   func(json.RawMessage) error
}

// declarations holds all declarations by setting name. It does not change after
// package initialization.
var declarations = map[string]*Declaration{}

// Declarations returns all declarations, sorted by name.
func Declarations() []*Declaration {
	out := make([]*Declaration, 0, len(declarations))
	for _, d := range declarations {
		out = append(out, d)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Name < out[j].Name })
	return out
}

// Lookup returns the declaration of the setting with the given name, and whether
// there is one.
func Lookup(name string) (*Declaration, bool) {
	d, ok := declarations[name]
	return d, ok
}

// Check returns an invalid-settings error unless the setting may be set to value
// on a level of kind k.
func (d *Declaration) Check(k LevelKind, value json.RawMessage) error {
	if !d.allows(k) {
		return oops.Code("invalid-settings").Errorf("%s can't be set on a level of kind %s; it belongs on %s", d.Name, k, joinKinds(d.Levels))
	}
	if err := d.check(value); err != nil {
		return oops.Code("invalid-settings").Wrapf(err, "%s takes %s, not %s", d.Name, d.Type, value)
	}
	return nil
}

// allows reports whether the setting may be set on a level of kind k.
func (d *Declaration) allows(k LevelKind) bool {
	for _, l := range d.Levels {
		if l == k {
			return true
		}
	}
	return false
}

// joinKinds returns the kinds as one text, separated by commas.
func joinKinds(kinds []LevelKind) string {
	words := make([]string, len(kinds))
	for i, k := range kinds {
		words[i] = string(k)
	}
	return strings.Join(words, ", ")
}

// declare adds a setting to the declarations and returns it. A nil bounds allows
// every value of type T.
func declare[T Value](name string, defaultValue T, levels []LevelKind, bounds func(T) error, doc string) Setting[T] {
	d := &Declaration{Name: name, Doc: doc, Type: typeName(defaultValue), Default: formatDefault(defaultValue), Levels: levels}
	d.check = func(raw json.RawMessage) error {
		v, err := parse[T](raw)
		if err != nil || bounds == nil {
			return err
		}
		return bounds(v)
	}
	declarations[name] = d
	return Setting[T]{declaration: d, defaultValue: defaultValue}
}

// Name returns the setting's name.
func (s Setting[T]) Name() string { return s.declaration.Name }

// Resolve returns the value encoded in raw if ok is set, and the default
// otherwise or if raw cannot be parsed. The tree accepts valid values only, so the
// error is not reported here.
func (s Setting[T]) Resolve(raw json.RawMessage, ok bool) T {
	if !ok {
		return s.defaultValue
	}
	v, err := parse[T](raw)
	if err != nil {
		return s.defaultValue
	}
	return v
}

// parse decodes a value in JSON. A duration is a string with a unit, such as
// "1.5s"; null is an error.
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

// typeName returns the name of v's type for the reference page and error messages.
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

// formatDefault returns a default value as JSON for the reference page.
func formatDefault(v any) string {
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

// Page returns the reference page of all settings, which is stored as
// docs/settings.md.
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
