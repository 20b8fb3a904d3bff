package answer_test

import (
	"flag"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"bramleydeal/internal/world/answer"
	"github.com/matryer/is"
)

var update = flag.Bool("update", false, "rewrite the reference page")

// page is the reference page that is generated from the table.
const page = "../../../docs/errors.md"

// TestReferencePageIsUpToDate checks that the reference page matches the table. With
// -update it rewrites the page first.
func TestReferencePageIsUpToDate(t *testing.T) {
	is := is.New(t)
	if *update {
		is.NoErr(os.WriteFile(page, []byte(answer.ReferencePage()), 0o644))
	}
	text, err := os.ReadFile(page)
	is.NoErr(err)
	is.Equal(string(text), answer.ReferencePage()) // to update: go test ./internal/world/answer -update
}

func TestEveryKindHasExactlyOneRow(t *testing.T) {
	is := is.New(t)
	seen := map[answer.Kind]bool{}
	for _, r := range answer.Table() {
		is.True(!seen[r.Kind])
		seen[r.Kind] = true
		is.Equal(answer.Lookup(r.Kind), r)
		is.True(r.Retry == (r.RetryAfter > 0)) // a retry has a delay, and only a retry
	}
	is.Equal(answer.Lookup("none").Kind, answer.Internal)
}

func TestRetryAfterIsRoundedUpToWholeSeconds(t *testing.T) {
	is := is.New(t)
	w := httptest.NewRecorder()
	answer.Refuse(answer.Overloaded, "full").WithRetryAfter(1100*time.Millisecond).Write(w, "id")
	is.Equal(w.Header().Get("Retry-After"), "2")
	is.Equal(w.Header().Get("Content-Type"), "application/problem+json")
	is.Equal(w.Code, 503)
}
