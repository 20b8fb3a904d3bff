package tree

import (
	"encoding/json"

	"bramleydeal/internal/settings/reference"
	"bramleydeal/internal/world/fleet"
	"github.com/samber/oops"
)

// File is a whole deployment as operators write it: the instances that the
// platform lists, and the settings tree.
type File struct {
	Instances []fleet.Instance
	Levels    []Level
}

// sections maps the members of a deployment file to the kinds of their levels.
var sections = map[string]reference.LevelKind{
	"failure-domains": reference.FailureDomain,
	"services":        reference.Service,
	"groups":          reference.Group,
	"client-accounts": reference.ClientAccount,
}

// ParseFile reads a deployment file in JSON with comments. Either the whole
// file is valid or nothing of it is returned.
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

func (f *File) add(path string, value []byte) error {
	l, err := ParseLevel(path, value)
	if err != nil {
		return err
	}
	f.Levels = append(f.Levels, l)
	return nil
}

// checkReferences reports upstreams that name no agent among the instances,
// and instances that stand twice.
func (f *File) checkReferences() error {
	if len(f.Instances) == 0 {
		return nil
	}
	roles := map[string]fleet.Role{}
	for _, i := range f.Instances {
		if _, twice := roles[i.Name]; twice {
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
