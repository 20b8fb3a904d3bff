package crowd

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"strings"
	"testing"
	"time"

	"bramleydeal/platform/standin"
)

// Host, key and paths of the prepared platform's deployment.
const (
	host      = "books.example"
	clientKey = "k-planner"
	// heldPath is that of requests that the worker answers late, longPath that of requests with
	// long answers, and shortPath that of requests that it answers at once.
	heldPath, longPath, shortPath = "/confirm/held", "/check/long", "/check/x"
)

// Times and sizes of the worker's answers. The time is that of the route, which is how long a request
// may be held.
const (
	holdTime   = 8 * time.Second
	longAnswer = 250 << 10
)

// requestTimeout is the timeout of the routes.
const requestTimeout = 10 * time.Second

// prepared is a process on the prepared platform, with its addresses.
type prepared struct {
	*process
	callers, ready, peers, debug netip.AddrPort
}

// newStore returns the address of a store that lists one worker.
func newStore(t *testing.T) netip.AddrPort {
	store := standin.NewStore()
	server := httptest.NewServer(store)
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	routes := standin.Routes(host)
	for _, r := range routes {
		r["timeoutMs"] = requestTimeout.Milliseconds()
	}
	c := standin.Configuration(1, []string{clientKey}, routes)
	c["limits"] = map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
	c["services"] = []map[string]any{{"name": standin.ServiceName, "maxConns": 4000}}
	store.Put("config", "main", c)
	store.Put("servers", "i-1", map[string]any{
		"service": standin.ServiceName, "address": startWorker(t).String(), "zone": "z1", "version": "v1", "slots": 1000, "state": "ready", "coldRemainingMs": 0, "seq": 1,
	})
	return netip.MustParseAddrPort(strings.TrimPrefix(server.URL, "http://"))
}

// startWorker starts a worker that keeps nothing of the requests that it gets, and returns its address.
func startWorker(t *testing.T) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return // the test has ended
			}
			go answer(c)
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

// answer serves one request.
func answer(c net.Conn) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return // the entry has closed the connection
	}
	// Errors mean that the entry has closed the connection.
	_, _ = io.Copy(io.Discard, r.Body)
	size := 4
	switch r.URL.Path {
	case heldPath:
		time.Sleep(holdTime)
	case longPath:
		size = longAnswer
	}
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: s\r\nContent-Length: %d\r\n\r\n", r.Header.Get("Request-Id"), size)
	_, _ = io.Copy(c, body(size))
}

// startPrepared starts an entry or an agent on the prepared platform.
func startPrepared(t *testing.T, role string) prepared {
	t.Helper()
	p := prepared{callers: freeAddress(), ready: freeAddress(), peers: freeAddress(), debug: freeAddress()}
	p.process = start(t, lowered, "bramleydeal", role, "-settings", writeSettings(t, map[string]any{
		"name": role + "-1", "failure-domain": "z1", "listen": p.callers, "ready-listen": p.ready, "peer-listen": p.peers, "debug-listen": p.debug,
		"platform": newStore(t), "log-format": "json", "memory-megabytes": lowered.megabytes,
		"upstream": map[string]any{"kind": "engine", "address": startWorker(t), "target": standin.ServiceName},
		"direct": map[string]any{
			"drain-time": "2s", "grace": "8s", "retry-ratio": 0.2, "retry-slack": 1000, "retry-window": "1s",
		},
	}))
	return p
}

// startPreparedEntry starts an entry on the prepared platform and waits until it serves.
func startPreparedEntry(t *testing.T) prepared {
	t.Helper()
	p := startPrepared(t, "entry")
	p.eventually("the entry is ready and knows its worker", func() bool {
		status, _, err := p.callerDoor().ordinary(t.Context())
		return err == nil && status == http.StatusOK
	})
	return p
}

// callerDoor returns the entry's address for callers.
func (p prepared) callerDoor() httpDoor {
	return httpDoor{
		address: p.callers, method: http.MethodPost, path: heldPath, headBytes: 16384, bodyBytes: 4194304,
		head: fmt.Sprintf("Host: %s\r\nRequest-Id: r\r\nDeadline-Ms: %d\r\nAuthorization: Token %s\r\n", host, requestTimeout.Milliseconds(), clientKey),
		ordinary: func(ctx context.Context) (int, time.Duration, error) {
			return sendHTTP(ctx, p.callers, http.MethodPost, shortPath, "body", map[string]string{
				"Host": host, "Request-Id": "ordinary", "Deadline-Ms": "9000", "Authorization": "Token " + clientKey,
			})
		},
	}
}

// TestCallersOfPreparedEntry guards against a crowd of callers that ends an entry on the prepared
// platform for its memory, or leaves it no descriptor for others.
func TestCallersOfPreparedEntry(t *testing.T) {
	for _, c := range slices.Concat(heads(), trailers(), wholeHeads(), bodies(), silent(), deaf(headCrowd, longPath)) {
		t.Run(c.name, func(t *testing.T) {
			p := startPreparedEntry(t)
			c.join(t, p.callerDoor())
			checkOrdinary(t, p.callerDoor())
			p.check()
		})
	}
}

// TestStrangersAtPreparedEntry guards against a crowd whose requests are refused before their bodies are
// read, and are kept until then.
func TestStrangersAtPreparedEntry(t *testing.T) {
	for _, c := range slices.Concat(heads(), trailers()) {
		t.Run(c.name, func(t *testing.T) {
			p := startPreparedEntry(t)
			d := p.callerDoor()
			d.head = strings.ReplaceAll(d.head, clientKey, "none")
			c.join(t, d)
			checkOrdinary(t, p.callerDoor())
			p.check()
		})
	}
}

// plainDoor returns an address of a process that serves only its own state.
func plainDoor(address netip.AddrPort, path string) httpDoor {
	return httpDoor{
		address: address, method: http.MethodGet, path: path, head: "Host: x\r\n", headBytes: 16384, bodyBytes: 4194304,
		ordinary: func(ctx context.Context) (int, time.Duration, error) {
			return sendHTTP(ctx, address, http.MethodGet, path, "", nil)
		},
	}
}

// plainCrowds are the crowds at an address that serves only the state of a process.
func plainCrowds(longest string) []httpCrowd {
	return slices.Concat(heads(), trailers(), bodies(), silent(), deaf(headCrowd, longest))
}

// TestReadyOfPreparedEntry guards against a crowd at the readiness check.
func TestReadyOfPreparedEntry(t *testing.T) {
	for _, c := range plainCrowds("/ready") {
		t.Run(c.name, func(t *testing.T) {
			p := startPreparedEntry(t)
			d := plainDoor(p.ready, "/ready")
			c.join(t, d)
			checkOrdinary(t, d)
			checkOrdinary(t, p.callerDoor())
			p.check()
		})
	}
}

// TestDebugOfPreparedEntry guards against a crowd at the metrics and the debug state.
func TestDebugOfPreparedEntry(t *testing.T) {
	for _, c := range plainCrowds("/debug/state") {
		t.Run(c.name, func(t *testing.T) {
			p := startPreparedEntry(t)
			d := plainDoor(p.debug, "/metrics")
			c.join(t, d)
			checkOrdinary(t, d)
			checkOrdinary(t, p.callerDoor())
			p.check()
		})
	}
}
