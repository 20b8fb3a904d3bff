package admission_test

import (
	"testing"
	"time"

	"bramleydeal/internal/core/admission"
	"github.com/matryer/is"
)

// TestReturningRequestsHaveLessTimeLeft checks that a request is known to return by the time
// that its caller has left, whatever the route's timeout is, and that a change of what callers
// start with is followed.
func TestReturningRequestsHaveLessTimeLeft(t *testing.T) {
	is := is.New(t)
	var r admission.Returns
	now := time.Unix(0, 0)
	is.True(!r.Returning("draft", 8*time.Second, now))
	is.True(!r.Returning("draft", 7900*time.Millisecond, now)) // a connection took some time
	is.True(r.Returning("draft", 5*time.Second, now))
	is.True(!r.Returning("check", 1500*time.Millisecond, now)) // another route
	is.True(!r.Returning("draft", 0, now))                     // not known
	for range 30 {
		now = now.Add(time.Second)
		r.Returning("draft", 4*time.Second, now)
	}
	is.True(!r.Returning("draft", 4*time.Second, now)) // callers start with less now
	is.True(r.Returning("draft", 2*time.Second, now))
}
