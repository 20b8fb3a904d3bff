package upstream

import (
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"sync"
	"testing"
)

// framings are whole responses with the body "0123456789" in each framing, by name.
var framings = map[string]string{
	"length":        "HTTP/1.1 200 OK\r\nResponse-Signature: s\r\nContent-Length: 10\r\n\r\n0123456789",
	"length first":  "HTTP/1.1 200 OK\r\nContent-Length: 10\r\nResponse-Signature: s\r\n\r\n0123456789",
	"no body":       "HTTP/1.1 200 OK\r\nResponse-Signature: s\r\nContent-Length: 0\r\n\r\n",
	"chunks":        "HTTP/1.1 200 OK\r\nResponse-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n0123\r\n6\r\n456789\r\n0\r\n\r\n",
	"trailer":       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\na\r\n0123456789\r\n0\r\nX: 1\r\n\r\n",
	"until close":   "HTTP/1.1 200 OK\r\nResponse-Signature: s\r\n\r\n0123456789",
	"lines of LF":   "HTTP/1.1 200 OK\nResponse-Signature: s\nContent-Length: 10\n\n0123456789",
	"interim heads": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n0123456789",
}

// headEnd returns where the final head of a response ends.
func headEnd(response string) int {
	start := strings.LastIndex(response, "HTTP/1.1 200")
	for _, end := range []string{"\r\n\r\n", "\n\n"} {
		if i := strings.Index(response[start:], end); i >= 0 {
			return start + i + len(end)
		}
	}
	return len(response)
}

// TestResponseCutAtAnyByteIsNoWholeOne guards against an upstream that stops within its response, in
// the head above all, and closes the connection or resets it: callers got a status of 200 with an
// empty or short body that looked whole. Only a response without a framing ends where its connection
// is closed; it is whole if the head is and nothing was reset.
func TestResponseCutAtAnyByteIsNoWholeOne(t *testing.T) {
	for name, response := range framings {
		for ending, linger := range map[string]int{"closed": -1, "reset": 0} {
			t.Run(name+" "+ending, func(t *testing.T) {
				var running sync.WaitGroup
				for cut := range len(response) + 1 {
					running.Go(func() {
						address := rawUpstream(t, func(c net.Conn) {
							_, _ = io.WriteString(c, response[:cut])
							_ = c.(*net.TCPConn).SetLinger(linger)
						})
						whole := cut == len(response)
						if name == "until close" {
							whole = linger != 0 && cut >= headEnd(response)
						}
						if err := wantWhole(t, address, whole, linger == 0, response[:cut]); err != nil {
							t.Errorf("cut after byte %d of %q: %v", cut, response, err)
						}
					})
				}
				running.Wait()
			})
		}
	}
}

// wantWhole returns an error if a response counts as whole although it is not, or the other way
// round unless it may.
func wantWhole(t *testing.T, address netip.AddrPort, whole, mayBreak bool, sent string) error {
	x, err := Send(t.Context(), address, &Request{Method: "GET", Target: "/", Host: "h"})
	var body []byte
	if err == nil {
		defer x.Close()
		body, _, err = x.ReadBody(1 << 10)
	}
	switch {
	case err == nil && !whole:
		return fmt.Errorf("status %d and body %q count as whole", x.Response.StatusCode, body)
	case err != nil && whole && !mayBreak:
		return fmt.Errorf("the whole response gives %w", err)
	case err == nil && !strings.HasSuffix(sent, string(body)) && !strings.Contains(sent, "chunked"):
		return fmt.Errorf("the body is %q", body)
	}
	return nil
}
