package upstream

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// readAll reads a buffer from a position to the end of the response.
func readAll(t *testing.T, b *Buffer, from uint64) (string, *Ending) {
	t.Helper()
	r, ok := b.NewReader(from, false)
	if !ok {
		t.Fatal("the buffer has dropped the content at that position")
	}
	defer r.Close()
	var text strings.Builder
	for {
		p, err := r.Next(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		for _, c := range p.Chunks {
			text.Write(c.Content)
		}
		if p.Ending != nil {
			return text.String(), p.Ending
		}
	}
}

func TestReadersStartAtAnyPosition(t *testing.T) {
	is := is.New(t)
	b := NewBuffer(1 << 10)
	b.SetHead(Head{Status: 200})
	is.NoErr(b.Append(t.Context(), Chunk{Position: 0, Count: 2, Content: []byte("data: a\n\ndata: b\n\n")}))
	is.NoErr(b.Append(t.Context(), Chunk{Position: 2, Count: 1, Content: []byte("data: c\n\n")}))
	b.End(Ending{Complete: true})
	for from, want := range []string{"data: a\n\ndata: b\n\ndata: c\n\n", "data: b\n\ndata: c\n\n", "data: c\n\n", ""} {
		text, ending := readAll(t, b, uint64(from))
		is.Equal(text, want)
		is.True(ending.Complete)
	}
}

func TestFullBufferWaitsForSlowReader(t *testing.T) {
	is := is.New(t)
	b := NewBuffer(4)
	b.SetHead(Head{Status: 200})
	r, _ := b.NewReader(0, false)
	is.NoErr(b.Append(t.Context(), Chunk{Position: 0, Count: 4, Content: []byte("1234")}))
	appended := make(chan error, 1)
	go func() { appended <- b.Append(t.Context(), Chunk{Position: 4, Count: 2, Content: []byte("56")}) }()
	select {
	case <-appended:
		t.Fatal("a chunk that the reader has not read was dropped")
	case <-time.After(50 * time.Millisecond):
	}
	_, err := r.Next(t.Context())
	is.NoErr(err)
	is.NoErr(<-appended)
	r.Close()
	_, ok := b.NewReader(0, false)
	is.True(!ok) // dropped content cannot be read again
}

func TestDroppedContentStaysComplete(t *testing.T) {
	is := is.New(t)
	b := NewBuffer(100)
	b.SetHead(Head{Status: 200})
	is.NoErr(b.Append(t.Context(), Chunk{Count: 4, Content: []byte("1234")}))
	b.End(Ending{Complete: true})
	is.Equal(b.DropContent(), 4)
	_, ok := b.NewReader(0, false)
	is.True(!ok)
	is.True(b.Ended().Complete)
	_, _, complete := b.Complete()
	is.True(!complete)
}

// run sends one request to a server with the given handler. It returns the buffer with
// the response, and whether the request may have run.
func run(t *testing.T, h http.HandlerFunc, r Request) (*Buffer, bool) {
	t.Helper()
	server := httptest.NewServer(h)
	defer server.Close()
	b := NewBuffer(1 << 16)
	ran := NewClient(netip.MustParseAddrPort(server.Listener.Addr().String())).Run(t.Context(), r, b)
	return b, ran
}

func TestStreamWithoutDoneEventIsIncomplete(t *testing.T) {
	is := is.New(t)
	for body, complete := range map[string]bool{
		"data: a\n\ndata: [DONE]\n\n": true,
		"data: a\n\n":                 false,
		"data: a\n\ndata: [DO":        false,
	} {
		b, ran := run(t, func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, body)
		}, Request{Method: "POST", Path: "/", Events: true, StreamID: "w~k"})
		is.True(ran)
		is.Equal(b.Ended().Complete, complete)
	}
}

func TestResumedStreamSkipsReceivedEvents(t *testing.T) {
	is := is.New(t)
	b, _ := run(t, func(w http.ResponseWriter, _ *http.Request) {
		for n := range 3 {
			fmt.Fprintf(w, "id: own\ndata: %d\n\n", n)
		}
		fmt.Fprint(w, "data: [DONE]\n\n")
	}, Request{Method: "POST", Path: "/", Events: true, StreamID: "w~k", ResumeFrom: 2})
	text, _ := readAll(t, b, 2)
	is.Equal(text, "id: w~k-2\ndata: 2\n\nid: w~k-3\ndata: [DONE]\n\n")
}

// TestAtMostOnceRequestIsNotRepeated closes the connection during a request with an
// idempotency key. net/http would repeat such a request on a reused connection.
func TestAtMostOnceRequestIsNotRepeated(t *testing.T) {
	is := is.New(t)
	count := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/warm" {
			return
		}
		count++
		panic(http.ErrAbortHandler)
	}))
	defer server.Close()
	c := NewClient(netip.MustParseAddrPort(server.Listener.Addr().String()))
	c.Run(t.Context(), Request{Method: "GET", Path: "/warm"}, NewBuffer(100))
	b := NewBuffer(100)
	ran := c.Run(t.Context(), Request{Method: "POST", Path: "/x", Headers: []Header{{"Idempotency-Key", "k"}}}, b)
	is.True(ran) // the request may have run
	is.True(!b.Ended().Complete)
	is.Equal(count, 1)
}

func TestRefusedConnectionMeansNotRun(t *testing.T) {
	is := is.New(t)
	b := NewBuffer(100)
	ran := NewClient(netip.MustParseAddrPort("127.0.0.1:1")).Run(t.Context(), Request{Method: "POST", Path: "/"}, b)
	is.True(!ran)
	is.True(b.Ended().Refusal != nil)
}

// TestLateSecondResponseReachesNoOtherCaller guards against an upstream that sends a copy of
// a response on a connection that is in use again: the next caller would get it.
func TestLateSecondResponseReachesNoOtherCaller(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	go serveWithLateCopies(listener)
	c := NewClient(netip.MustParseAddrPort(listener.Addr().String()))
	for _, path := range []string{"/a", "/b", "/c"} {
		b := NewBuffer(1 << 10)
		is.True(c.Run(t.Context(), Request{ID: path, Method: http.MethodGet, Path: path}, b))
		text, ending := readAll(t, b, 0)
		is.Equal(text, "answer to "+path)
		is.True(ending.Complete)
	}
}

// serveWithLateCopies answers each request with its path. Before a further answer on the
// same connection it sends a copy of the one before.
func serveWithLateCopies(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return // the test has ended
		}
		go func() {
			defer c.Close()
			reader, last := bufio.NewReader(c), ""
			for {
				r, err := http.ReadRequest(reader)
				if err != nil {
					return // the client has closed the connection
				}
				body := "answer to " + r.URL.Path
				next := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
				if _, err := io.WriteString(c, last+next); err != nil {
					return
				}
				last = next
			}
		}()
	}
}
