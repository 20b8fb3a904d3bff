package reference_test

import (
	"flag"
	"os"
	"testing"

	"bramleydeal/internal/settings/reference"
	"github.com/matryer/is"
)

var update = flag.Bool("update", false, "overwrite docs/settings.md with the generated page")

const page = "../../../docs/settings.md"

func TestSettingsPageMatchesDeclarations(t *testing.T) {
	is := is.New(t)
	if *update {
		is.NoErr(os.WriteFile(page, []byte(reference.Page()), 0o644))
	}
	text, err := os.ReadFile(page)
	is.NoErr(err)
	is.Equal(string(text), reference.Page()) // to update: go test ./internal/settings/reference -update
}

func TestCheckValidatesTypeBoundsAndLevel(t *testing.T) {
	for _, c := range []struct {
		setting string
		level   reference.LevelKind
		value   string
		valid   bool
	}{
		{"queue-wait", reference.Service, `"1.5s"`, true},
		{"queue-wait", reference.Service, `1.5`, false},
		{"queue-wait", reference.Service, `"1.5"`, false},
		{"queue-wait", reference.Service, `"0s"`, false},
		{"queue-wait", reference.ClientAccount, `"1s"`, false},
		{"weight", reference.ClientAccount, `2.5`, true},
		{"weight", reference.ClientAccount, `-1`, false},
		{"weight", reference.ClientAccount, `null`, false},
		{"upstreams", reference.Service, `["a"]`, true},
		{"upstreams", reference.Service, `"a"`, false},
		{"key-hash", reference.ClientAccount, `"abc"`, false},
	} {
		t.Run(c.setting+" "+c.value, func(t *testing.T) {
			is := is.New(t)
			d, ok := reference.Lookup(c.setting)
			is.True(ok)
			is.Equal(d.Check(c.level, []byte(c.value)) == nil, c.valid)
		})
	}
}
