package proof

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestEvacuatedFailureDomainGetsNoNewRequests empties a failure domain by the operator's
// command, and uses it again. A request that runs there ends undisturbed.
func TestEvacuatedFailureDomainGetsNoNewRequests(t *testing.T) {
	is := is.New(t)
	d := deploy(t, fleetSize{entries: 3, engines: 0, services: 2}, nil) // s1 in coimbra, s2 in leiria
	send := func(n int) bool {
		return d.call(t.Context(), fmt.Sprintf("e%d", n%3+1), http.MethodGet, fmt.Sprintf("/services/stock/%d", n), "", nil).succeeded()
	}
	for n := range 30 {
		is.True(send(n))
	}
	begun := d.totalExecutions("s1")
	is.True(begun > 0)
	slow := d.processes["service-s1"].address
	d.setKnobs(slow, map[string]any{"delay-milliseconds": 3000})
	results := make(chan bool, 12)
	for n := range cap(results) {
		go func() { results <- send(1000 + n) }()
	}
	eventually(t, 5*time.Second, "a request runs in the failure domain", func() bool { return d.totalExecutions("s1") > begun })
	output, code := d.runCommand("evacuate", "coimbra")
	if code != 0 {
		t.Fatal(output)
	}
	time.Sleep(propagationTarget)
	before := d.totalExecutions("s1")
	for n := range 60 {
		is.True(send(2000 + n))
	}
	is.Equal(d.totalExecutions("s1"), before)
	for range cap(results) {
		is.True(<-results)
	}
	d.setKnobs(slow, map[string]any{"delay-milliseconds": 1})
	if output, code := d.runCommand("restore", "coimbra"); code != 0 {
		t.Fatal(output)
	}
	eventually(t, propagationTarget, "the failure domain is used again", func() bool {
		return send(3000) && d.totalExecutions("s1") > before
	})
}
