package upstream

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"github.com/matryer/is"
)

func TestEventSplitterReturnsCompleteEventsOnly(t *testing.T) {
	tests := map[string]struct {
		pieces  []string
		events  string
		last    string
		partial bool
	}{
		"one event":                 {[]string{"id: 1\ndata: a\n\n"}, "id: 1\ndata: a\n\n", "1", false},
		"event split into pieces":   {[]string{"id: 1\nda", "ta: a\n", "\n"}, "id: 1\ndata: a\n\n", "1", false},
		"incomplete second event":   {[]string{"id: 1\n\nid: 2\ndata"}, "id: 1\n\n", "1", true},
		"several events at once":    {[]string{"id: 1\n\nid: 2\n\nid:3\n\n"}, "id: 1\n\nid: 2\n\nid:3\n\n", "3", false},
		"CRLF line endings":         {[]string{"id: 1\r\ndata: a\r\n\r\n"}, "id: 1\r\ndata: a\r\n\r\n", "1", false},
		"field before the ID":       {[]string{"versions: 2\nid: 7\ndata: a\n\n"}, "versions: 2\nid: 7\ndata: a\n\n", "7", false},
		"blank line after an event": {[]string{"id: 1\n\n", "\n"}, "id: 1\n\n\n", "1", false},
		"no ID":                     {[]string{"data: id: 9\n\n"}, "data: id: 9\n\n", "", false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var e EventSplitter
			var events strings.Builder
			for _, p := range test.pieces {
				events.Write(e.Add([]byte(p)))
			}
			is.Equal(events.String(), test.events)
			is.Equal(e.LastID(), test.last)
			is.Equal(e.Partial(), test.partial)
			e.Resume()
			is.True(!e.Partial())
		})
	}
}

// FuzzEventSplitter adds an arbitrary stream in pieces of a fixed size. The
// output must be a prefix of the stream, end with a complete event, and be the
// same as if the stream were added at once.
func FuzzEventSplitter(f *testing.F) {
	f.Add([]byte("id: 1\ndata: a\n\nid: 2\n\n"), uint8(3))
	f.Add([]byte("id: 1\r\n\r\ndata"), uint8(1))
	f.Fuzz(func(t *testing.T, stream []byte, size uint8) {
		var e, once EventSplitter
		var out []byte
		for p := stream; len(p) > 0; {
			n := min(int(size)+1, len(p))
			out = append(out, e.Add(p[:n])...)
			p = p[n:]
		}
		if !bytes.HasPrefix(stream, out) {
			t.Fatalf("%q is not a prefix of %q", out, stream)
		}
		if rest := bytes.Trim(out[endOfEvents(out):], "\r\n"); len(rest) > 0 {
			t.Fatalf("%q ends within an event", out)
		}
		// Only the blank lines between events may be returned earlier or later.
		atOnce := once.Add(stream)
		if differ := stream[min(len(atOnce), len(out)):max(len(atOnce), len(out))]; len(bytes.Trim(differ, "\r\n")) > 0 {
			t.Fatalf("got %q in pieces, %q at once", out, atOnce)
		}
	})
}

func TestRequestHead(t *testing.T) {
	is := is.New(t)
	r := &Request{
		Method: http.MethodPost, Target: "/a%20b?q=1", Host: "books.example",
		Header: http.Header{"X-Own": {"kept"}}, Body: [][]byte{[]byte("bo"), []byte("dy")},
	}
	is.Equal(string(r.head()), "POST /a%20b?q=1 HTTP/1.1\r\nHost: books.example\r\nX-Own: kept\r\nContent-Length: 4\r\nConnection: close\r\n\r\n")
	r.Method, r.Body = http.MethodGet, nil
	is.Equal(string(r.head()), "GET /a%20b?q=1 HTTP/1.1\r\nHost: books.example\r\nX-Own: kept\r\nConnection: close\r\n\r\n")
}

// serveOnce accepts one connection, reads some bytes, writes a response and
// closes the connection. It returns the address.
func serveOnce(t *testing.T, read int, response string) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() }) // the test is done
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		if _, err := io.ReadFull(c, make([]byte, read)); err != nil {
			return
		}
		// The test may have closed the connection.
		_, _ = io.WriteString(c, response)
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

func TestSendAndReadResponse(t *testing.T) {
	tests := map[string]struct {
		response string
		body     string
		complete bool
		status   int
	}{
		"with Content-Length":             {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "ok", true, 200},
		"chunked":                         {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", "ok", true, 200},
		"ended by closing the connection": {"HTTP/1.1 200 OK\r\n\r\nok", "ok", true, 200},
		"after an interim response":       {"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "ok", true, 200},
		"with bytes after the response":   {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\n\r\n", "ok", true, 200},
		"shorter than Content-Length":     {"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", "ok", false, 200},
		"without the last chunk":          {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", "ok", false, 200},
		"not HTTP":                        {"no answer\r\n\r\n", "", false, 0},
		"no response":                     {"", "", false, 0},
		"switching protocols":             {"HTTP/1.1 101 Switching Protocols\r\n\r\n", "", false, 0},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := &Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}}
			x, err := Send(t.Context(), serveOnce(t, len(r.head()), test.response), r)
			if test.status == 0 {
				is.True(err != nil)
				is.True(!errors.Is(err, ErrUnsent))
				return
			}
			is.NoErr(err)
			defer x.Close()
			is.Equal(x.Response.StatusCode, test.status)
			body, more, err := x.ReadBody(100)
			is.Equal(string(body), test.body)
			is.Equal(err == nil, test.complete)
			is.True(!more)
		})
	}
}

// TestResponseBeforeLongBodyIsRead guards against an exchange that blocks while
// it writes a long body to an upstream that has responded without reading it.
func TestResponseBeforeLongBodyIsRead(t *testing.T) {
	is := is.New(t)
	r := &Request{Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: [][]byte{bytes.Repeat([]byte("x"), 8<<20)}}
	x, err := Send(t.Context(), serveOnce(t, 10, "HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n"), r)
	if err != nil {
		// The connection may be reset before the response was read.
		is.True(!errors.Is(err, ErrUnsent))
		return
	}
	defer x.Close()
	is.Equal(x.Response.StatusCode, 413)
}

func TestSendWithoutConnectionIsUnsent(t *testing.T) {
	is := is.New(t)
	address := serveOnce(t, 0, "")
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := Send(ctx, address, &Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
	is.True(errors.Is(err, ErrUnsent))
	_, err = Send(t.Context(), netip.MustParseAddrPort("127.0.0.1:1"), &Request{Method: http.MethodGet, Target: "/", Host: "h"})
	is.True(errors.Is(err, ErrUnsent))
}

// ExampleEventSplitter shows that the beginning of an event is held back until
// the event is complete.
func ExampleEventSplitter() {
	var e EventSplitter
	fmt.Printf("%q\n", e.Add([]byte("id: 1\ndata: a\n\nid: 2\n")))
	fmt.Printf("%q\n", e.Add([]byte("data: b\n\n")))
	fmt.Println(e.LastID())
	// Output:
	// "id: 1\ndata: a\n\n"
	// "id: 2\ndata: b\n\n"
	// 2
}

// TestEventSplitterCountsEvents guards against a stream's progress being told by bytes or
// pieces, which do not match its events.
func TestEventSplitterCountsEvents(t *testing.T) {
	is := is.New(t)
	var e EventSplitter
	e.Add([]byte("id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\n"))
	is.Equal(e.Count(), 2)
	e.Add([]byte("data: c\n\n"))
	is.Equal(e.Count(), 3)
}

// TestEventsOfAnotherUpstreamMustFollow guards against events that are missing or come twice after
// a stream was resumed at another upstream.
func TestEventsOfAnotherUpstreamMustFollow(t *testing.T) {
	for name, test := range map[string]struct {
		before, after string
		follows       bool
	}{
		"the next one":                 {"id: 1\n\nid: 2\n\n", "id: 3\ndata: a\n\n", true},
		"a comment first":              {"id: 1\n\nid: 2\n\n", ": hello\n\nid: 3\n\n", true},
		"the same again":               {"id: 1\n\nid: 2\n\n", "id: 2\n\n", false},
		"one is missing":               {"id: 1\n\nid: 2\n\n", "id: 4\n\n", false},
		"the second one is missing":    {"id: 1\n\nid: 2\n\n", "id: 3\n\nid: 5\n\n", false},
		"no ID":                        {"id: 1\n\nid: 2\n\n", "data: a\n\n", false},
		"text as the ID":               {"id: 1\n\nid: 2\n\n", "id: x\n\n", false},
		"IDs that rise by more":        {"id: 10\n\nid: 20\n\n", "id: 35\n\n", true},
		"IDs that rise by more, again": {"id: 10\n\nid: 20\n\n", "id: 20\n\n", false},
		"text as all IDs":              {"id: a\n\nid: b\n\n", "id: c\n\n", true},
		"nothing before":               {"", "id: 7\n\n", true},
		"CRLF":                         {"id: 1\r\n\r\nid: 2\r\n\r\n", "id: 3\r\n\r\nid: 4\r\n\r\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var e EventSplitter
			e.Add([]byte(test.before))
			e.Resume()
			events := e.Add([]byte(test.after))
			is.Equal(e.Discontinuous(), !test.follows)
			is.Equal(len(events) > 0, test.follows)
		})
	}
}
