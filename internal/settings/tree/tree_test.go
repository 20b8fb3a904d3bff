package tree_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"bramleydeal/internal/settings/reference"
	"bramleydeal/internal/settings/tree"
	"github.com/matryer/is"
)

// level parses a level and fails the test if it is invalid.
func level(t *testing.T, path, value string) tree.Level {
	t.Helper()
	l, err := tree.ParseLevel(path, []byte(value))
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func TestInnermostLevelOverridesOthers(t *testing.T) {
	is := is.New(t)
	tr := tree.New(1,
		level(t, "fleet", `{"queue-wait": "9s", "body-limit": 10}`),
		level(t, "failure-domain/viseu", `{"queue-wait": "8s"}`),
		level(t, "service/stock", "{\"queue-wait\": \"7s\"} // a comment\n"),
		level(t, "client-account/yard", `{"weight": 2}`),
	)
	s := tree.Scope{FailureDomain: "viseu", Service: "stock", ClientAccount: "yard"}
	is.Equal(tree.Get(tr, s, reference.QueueWait), 7*time.Second)
	is.Equal(tree.Get(tr, s, reference.BodyLimit), 10)
	is.Equal(tree.Get(tr, s, reference.Weight), 2.0)
	is.Equal(tree.Get(tr, tree.Scope{FailureDomain: "viseu", Group: "quotes"}, reference.QueueWait), 8*time.Second)
	is.Equal(tree.Get(tr, tree.Scope{}, reference.Weight), 1.0) // no level sets it: the default
	for _, e := range tr.Explain(s) {
		if e.Setting == "queue-wait" {
			is.Equal(e.From, "service/stock")
		}
		if e.Setting == "retries" {
			is.Equal(e.From, "default")
		}
	}
}

func TestInvalidLevelErrorsNameSourceAndRemedy(t *testing.T) {
	for _, c := range []struct{ name, path, value, message string }{
		{"broken JSON", "fleet", `{"retries": }`, "fleet: broken JSON"},
		{"not an object", "fleet", `[]`, "must be a JSON object"},
		{"unknown setting", "service/stock", `{"queue-wate": "1s"}`, "did you mean queue-wait"},
		{"duplicate setting", "fleet", `{"retries": 1, "retries": 2}`, `"retries" is named twice`},
		{"wrong unit", "fleet", `{"queue-wait": 5}`, "write a string with a unit"},
		{"out of bounds", "fleet", `{"retries": 99}`, "between 0 and 10"},
		{"setting not allowed at level", "client-account/yard", `{"retries": 1}`, "belongs on fleet"},
		{"unknown kind", "zone/x", `{}`, "begin with fleet"},
		{"invalid name", "service/Stock", `{}`, "lower-case letters"},
		{"fleet with a name", "fleet/x", `{}`, "write fleet"},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := tree.ParseLevel(c.path, []byte(c.value))
			if err == nil || !strings.Contains(err.Error(), c.message) {
				t.Errorf("%v", err)
			}
		})
	}
}

func TestInvalidFilesAreRejected(t *testing.T) {
	for _, c := range []struct{ name, text, message string }{
		{"unknown section", `{"zones": {}}`, `unknown section "zones"`},
		{"invalid setting of a service", `{"fleet": {}, "services": {"a": {}, "b": {"retries": true}}}`, "service/b"},
		{"duplicate instance", `{"instances": [{"name":"a","role":"agent","address":"127.0.0.1:1"},{"name":"a","role":"agent","address":"127.0.0.1:2"}]}`, "stands twice"},
		{"unknown upstream", `{"instances": [{"name":"a","role":"agent","address":"127.0.0.1:1"}], "services": {"s": {"upstreams": ["b"]}}}`, `names "b"`},
		{"host name instead of IP address", `{"instances": [{"name":"a","role":"agent","address":"localhost:1"}]}`, "instances"},
	} {
		t.Run(c.name, func(t *testing.T) {
			f, err := tree.ParseFile([]byte(c.text))
			if err == nil || !strings.Contains(err.Error(), c.message) {
				t.Errorf("%v %v", f, err)
			}
		})
	}
}

func TestExamplesAreValid(t *testing.T) {
	is := is.New(t)
	names, err := filepath.Glob("../../../examples/*.json")
	is.NoErr(err)
	is.Equal(len(names), 2)
	for _, name := range names {
		text, err := os.ReadFile(name)
		is.NoErr(err)
		f, err := tree.ParseFile(text)
		is.NoErr(err)
		is.True(len(f.Instances) == 26 || len(f.Instances) == 27)
		is.Equal(len(f.Tree().Names(reference.Group)), 1)
	}
}

// FuzzParseLevel checks that any input is rejected, or parsed to a level that is
// the same after a round trip through Marshal and in which Explain does not
// panic.
func FuzzParseLevel(f *testing.F) {
	f.Add("fleet", `{"retries": 1}`)
	f.Add("service/stock", `{"queue-wait": "1s", /* x */ "upstreams": ["a"],}`)
	f.Add("group/a", `{"model": "\u0000"}`)
	f.Fuzz(func(t *testing.T, path, value string) {
		l, err := tree.ParseLevel(path, []byte(value))
		if err != nil {
			return
		}
		parsed, err := tree.ParseLevel(l.Path(), l.Marshal())
		if err != nil || string(parsed.Marshal()) != string(l.Marshal()) {
			t.Fatalf("%s is %s after a round trip: %v", l.Marshal(), parsed.Marshal(), err)
		}
		scope, err := tree.ScopeOf(l.Path())
		if err != nil {
			t.Fatal(err)
		}
		tree.New(1, l).Explain(scope)
	})
}

func ExampleGet() {
	l, err := tree.ParseLevel("service/stock", []byte(`{"retries": 1}`))
	if err != nil {
		fmt.Println(err)
		return
	}
	t := tree.New(1, l)
	fmt.Println(tree.Get(t, tree.Scope{Service: "stock"}, reference.Retries), tree.Get(t, tree.Scope{Service: "other"}, reference.Retries))
	// Output: 1 3
}
