package rank

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"bramleydeal/internal/standin/serve"
	"github.com/matryer/is"
)

// planEngineThat returns a client of an engine that answers with what answer writes.
func planEngineThat(t *testing.T, answer func(io.Writer)) (e Engine, stop func()) {
	t.Helper()
	address, stop, err := serve.Connections(func(c net.Conn) {
		defer c.Close()
		if q, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.Copy(io.Discard, q.Body)
			answer(c)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	return NewPlanEngine(address), stop
}

// TestStatusCutAtAnyByteIsAnError guards against a rank that takes part of its engine's status for
// the whole: a plan without its hold, or with other grants.
func TestStatusCutAtAnyByteIsAnError(t *testing.T) {
	const body = `{"step":7,"plan":{"version":2,"grants":[{"from":0,"map":1}],"hold":9,"not-past":0,"needs":0},"load-map":1,"tokens":[]}`
	for name, head := range map[string]string{
		"length":      fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(body)),
		"until close": "HTTP/1.1 200 OK\r\n\r\n",
		"refused":     fmt.Sprintf("HTTP/1.1 409 Conflict\r\nContent-Length: %d\r\n\r\n", len(body)),
	} {
		t.Run(name, func(t *testing.T) {
			response := head + body
			for cut := range len(response) + 1 {
				e, stop := planEngineThat(t, func(w io.Writer) { _, _ = io.WriteString(w, response[:cut]) })
				_, readErr := e.Read(t.Context(), false)
				_, _, putErr := e.Put(t.Context(), Plan{})
				stop()
				if whole := cut == len(response); (readErr == nil) != whole || (putErr == nil) != whole {
					t.Errorf("%q: %v, %v", response[:cut], readErr, putErr)
				}
			}
		})
	}
}

// TestEndlessStatusEnds guards against an engine that sends bytes without end using up the memory or
// the time of its agent.
func TestEndlessStatusEnds(t *testing.T) {
	for name, test := range map[string]struct{ begin, piece string }{
		"no answer": {"", "x"}, "many headers": {"HTTP/1.1 200 OK\r\n", "X-Header: value\r\n"},
		"interim heads": {"", "HTTP/1.1 103 Early Hints\r\n\r\n"}, "a body": {"HTTP/1.1 200 OK\r\n\r\n{\"tokens\":[0", ",0"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			block := strings.Repeat(test.piece, 16<<10/len(test.piece))
			sent := 0
			e, stop := planEngineThat(t, func(w io.Writer) {
				_, err := io.WriteString(w, test.begin)
				for err == nil {
					var n int
					n, err = io.WriteString(w, block)
					sent += n
				}
			})
			_, err := e.Read(ctx, false)
			is.True(err != nil)
			is.NoErr(ctx.Err())
			stop()
			is.True(sent < 32<<20) // with what the buffers of the connection hold
		})
	}
}
