package tree

import (
	"encoding/json"

	"bramleydeal/internal/settings/reference"
	"bramleydeal/internal/world/fleet"
	"github.com/samber/oops"
)

// File is the content of a deployment file, which operators write: the instances
// that the platform shall list, and the levels of the settings tree.
type File struct {
	Instances []fleet.Instance
	Levels    []Level
}

// sections maps the names of a deployment file's sections to the kind of level
// that they contain.
var sections = map[string]reference.LevelKind{
	"failure-domains": reference.FailureDomain,
	"services":        reference.Service,
	"groups":          reference.Group,
	"client-accounts": reference.ClientAccount,
}

// ParseFile parses a deployment file in JSON with comments. If any part of it is
// invalid, it returns an invalid-settings error.
func ParseFile(text []byte) (File, error) {
	fields, err := ParseObject("file", text)
	if err != nil {
		return File{}, err
	}
	var f File
	for _, field := range fields {
		if err := f.parseSection(field); err != nil {
			return File{}, err
		}
	}
	return f, f.checkReferences()
}

// parseSection adds one section of the file to f.
func (f *File) parseSection(field Field) error {
	switch kind, isSection := sections[field.Name]; {
	case field.Name == "instances":
		if err := json.Unmarshal(field.Value, &f.Instances); err != nil {
			return oops.Code("invalid-settings").Wrapf(err, "instances")
		}
		return nil
	case field.Name == string(reference.Fleet):
		return f.add(string(reference.Fleet), field.Value)
	case isSection:
		levels, err := ParseObject(field.Name, field.Value)
		if err != nil {
			return err
		}
		for _, l := range levels {
			if err := f.add(string(kind)+"/"+l.Name, l.Value); err != nil {
				return err
			}
		}
		return nil
	default:
		return oops.Code("invalid-settings").Errorf("file: unknown section %q; use instances, fleet, failure-domains, services, groups or client-accounts", field.Name)
	}
}

// add parses the level at path and adds it to f.
func (f *File) add(path string, value []byte) error {
	l, err := ParseLevel(path, value)
	if err != nil {
		return err
	}
	f.Levels = append(f.Levels, l)
	return nil
}

// checkReferences returns an error if an instance is listed twice, or if a
// setting "upstreams" names anything but a listed agent. A file without
// instances is not checked: its upstreams are instances listed elsewhere.
func (f *File) checkReferences() error {
	if len(f.Instances) == 0 {
		return nil
	}
	roles := map[string]fleet.Role{}
	for _, i := range f.Instances {
		if _, duplicate := roles[i.Name]; duplicate {
			return oops.Code("invalid-settings").Errorf("instances: %q stands twice; keep one", i.Name)
		}
		roles[i.Name] = i.Role
	}
	t := New(0, f.Levels...)
	for _, l := range f.Levels {
		scope, err := ScopeOf(l.Path())
		if err != nil {
			return err
		}
		for _, name := range Get(t, scope, reference.Upstreams) {
			if roles[name] != fleet.AgentRole {
				return oops.Code("invalid-settings").Errorf("%s: upstreams names %q, which is no instance with the role agent", l.Path(), name)
			}
		}
	}
	return nil
}

// Tree returns the file's levels as a tree at revision 0.
func (f *File) Tree() *Tree { return New(0, f.Levels...) }
