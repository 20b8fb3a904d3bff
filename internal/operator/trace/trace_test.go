package trace

import (
	"bytes"
	"flag"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var update = flag.Bool("update", false, "overwrite the golden files")

// TestTraceOfRequestAcrossProcesses guards against a trace that misses lines of the
// request, has them out of order, or includes lines of other requests or about
// upstreams that the logging instance did not use for the request. One log also has a
// line that is not JSON and a line with text before its JSON object.
func TestTraceOfRequestAcrossProcesses(t *testing.T) {
	is := is.New(t)
	var logs []io.Reader
	for _, name := range []string{"entry-2.log", "entry-1.log"} {
		f, err := os.Open(filepath.Join("testdata", name))
		is.NoErr(err)
		defer f.Close()
		logs = append(logs, f)
	}
	lines, err := Read(logs, "4f2a")
	is.NoErr(err)
	var out bytes.Buffer
	is.NoErr(Print(&out, "4f2a", lines))
	golden := filepath.Join("testdata", "trace.golden")
	if *update {
		is.NoErr(os.WriteFile(golden, out.Bytes(), 0o644))
	}
	want, err := os.ReadFile(golden)
	is.NoErr(err)
	is.Equal(out.String(), string(want)) // to update: go test ./internal/operator/trace -update
}

// TestRequestWithoutLogLinesIsAnError checks that a request that is in no log gives an
// error with its ID instead of an empty trace. Malformed lines must be ignored.
func TestRequestWithoutLogLinesIsAnError(t *testing.T) {
	is := is.New(t)
	_, err := Read([]io.Reader{strings.NewReader("no line\n{\"time\":7}\n{\n")}, "4f2a")
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), `"4f2a"`))
}
