package inbound

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"bramleydeal/internal/core/client"
	"github.com/matryer/is"
	"golang.org/x/net/http2"
)

// pair returns a counted connection of a server and the client's end.
func pair(t *testing.T, b *Budget, d *client.Door) (*Conn, net.Conn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	other, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = other.Close() })
	c, err := b.Listener(l, d).Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c.(*Conn), other
}

// TestHeadsCountAsTheyCostInMemory guards against heads of many short lines or listed names, which
// take many times their bytes.
func TestHeadsCountAsTheyCostInMemory(t *testing.T) {
	const size = 16 << 10
	for name, text := range map[string]string{"lines": "a:\r\n", "names in a list": "aaa,"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			b := NewBudget(256e6, 4096)
			c, other := pair(t, b, b.Callers())
			idle := b.State().HeldBytes
			_, err := other.Write(bytes.Repeat([]byte(text), size/len(text)))
			is.NoErr(err)
			_, err = io.ReadFull(c, make([]byte, size))
			is.NoErr(err)
			is.True(b.State().HeldBytes-idle >= size/int64(len(text))*lineBytes)
			is.True(c.Begin())
			c.End()
			is.NoErr(c.Close())
			is.Equal(b.State().HeldBytes, int64(0))
		})
	}
}

// TestEvictedRequestIsRefused guards against a client that stops short of the end of its body and
// keeps its memory, and against one that is cut off without an answer then.
func TestEvictedRequestIsRefused(t *testing.T) {
	is := is.New(t)
	b := NewBudget(256e6, 4096)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	evict := make(chan *Conn, 1)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := FromContext(r.Context())
		defer c.End()
		is.True(c.Begin())
		evict <- c
		_, err := io.ReadAll(r.Body)
		is.True(err != nil && c.Evicted())
		w.WriteHeader(http.StatusServiceUnavailable)
	})}
	Configure(server)
	go func() { _ = server.Serve(b.Listener(l, b.Callers())) }()
	defer server.Close()
	other, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer other.Close()
	_, err = io.WriteString(other, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nx")
	is.NoErr(err)
	(<-evict).evict()
	is.NoErr(other.SetReadDeadline(time.Now().Add(10 * time.Second)))
	answer, err := io.ReadAll(other) // until the server has closed the connection
	is.NoErr(err)
	is.True(bytes.HasPrefix(answer, []byte("HTTP/1.1 503 ")))
}

// TestRequestReadWholeKeepsItsConnection guards against a request that is passed on although its client
// has just lost its connection, and is cut off.
func TestRequestReadWholeKeepsItsConnection(t *testing.T) {
	is := is.New(t)
	for _, evictedFirst := range []bool{true, false} {
		b := NewBudget(1e6, 4096)
		c, _ := pair(t, b, b.Callers())
		is.True(c.Begin())
		is.True(c.Reserve(client.ShortHolding))
		if !evictedFirst {
			is.True(c.SetWaiting())
		}
		b.mu.Lock()
		evicted, _ := b.holdings.Reserve(b.decoded, 300_000, time.Now().Add(time.Minute))
		b.evict(evicted)
		b.mu.Unlock()
		is.Equal(len(evicted) > 0, evictedFirst)
		is.Equal(c.SetWaiting(), !evictedFirst)
	}
}

// TestUnreadBodyKeepsItsHeadCounted guards against requests that are answered before their bodies have
// arrived, whose heads are kept until then and were counted no longer.
func TestUnreadBodyKeepsItsHeadCounted(t *testing.T) {
	is := is.New(t)
	b := NewBudget(256e6, 4096)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	ended := make(chan struct{}, 2)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := FromContext(r.Context())
		is.True(c.Begin())
		c.End()
		ended <- struct{}{}
	})}
	Configure(server)
	go func() { _ = server.Serve(b.Listener(l, b.Callers())) }()
	defer server.Close()
	other, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer other.Close()
	const lines = 1000
	_, err = io.WriteString(other, "POST / HTTP/1.1\r\nHost: x\r\n"+strings.Repeat("a:\r\n", lines)+"Content-Length: 2\r\n\r\nx")
	is.NoErr(err)
	<-ended
	is.True(b.State().HeldBytes >= lines*lineBytes)
	_, err = io.WriteString(other, "y")
	is.NoErr(err)
	for end := time.Now().Add(10 * time.Second); b.State().HeldBytes >= lines*lineBytes && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	is.True(b.State().HeldBytes < lines*lineBytes)
}

// TestFramesAreFoundInPiecesOfAnySize guards against calls that are counted wrongly because their frames
// arrive in pieces.
func TestFramesAreFoundInPiecesOfAnySize(t *testing.T) {
	is := is.New(t)
	var sent bytes.Buffer
	sent.WriteString(http2.ClientPreface)
	f := http2.NewFramer(&sent, nil)
	is.NoErr(f.WriteSettings())
	is.NoErr(f.WriteHeaders(http2.HeadersFrameParam{StreamID: 1, BlockFragment: make([]byte, 30), EndHeaders: true}))
	is.NoErr(f.WriteData(1, false, make([]byte, 1000)))
	is.NoErr(f.WriteData(1, true, nil))
	is.NoErr(f.WriteRSTStream(3, http2.ErrCodeCancel))
	want := "[{4 0 0 0} {1 4 1 30} {0 0 1 1000} {0 1 1 0} {3 0 3 4}]"
	for size := 1; size <= sent.Len(); size++ {
		r := frameReader{skip: prefaceLength}
		var found []frame
		for piece := sent.Bytes(); len(piece) > 0; {
			n := min(size, len(piece))
			found = append(found, r.frames(piece[:n])...)
			piece = piece[n:]
		}
		is.Equal(fmt.Sprint(found), want)
	}
}

// TestFramesOfEndedCallsAreNotCounted guards against calls that the process ends before it has read their
// messages, of which what still arrives would be counted until the connection is closed.
func TestFramesOfEndedCallsAreNotCounted(t *testing.T) {
	is := is.New(t)
	b := NewBudget(256e6, 4096)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer l.Close()
	other, err := net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	defer other.Close()
	raw, err := b.PeerListener(l).Accept()
	is.NoErr(err)
	c, _, err := b.Credentials(nil).ServerHandshake(raw)
	is.NoErr(err)
	defer c.Close()
	idle := b.State().HeldBytes
	var head, rest bytes.Buffer
	head.WriteString(http2.ClientPreface)
	is.NoErr(http2.NewFramer(&head, nil).WriteHeaders(http2.HeadersFrameParam{StreamID: 1, EndHeaders: true}))
	is.NoErr(http2.NewFramer(&rest, nil).WriteData(1, false, make([]byte, 1000)))
	pass := func(content []byte) {
		_, err := other.Write(content)
		is.NoErr(err)
		_, err = io.ReadFull(c, make([]byte, len(content)))
		is.NoErr(err)
	}
	pass(head.Bytes())
	pass(rest.Bytes())
	is.Equal(b.State().HeldBytes-idle, int64(callBytes+smallMessageFactor*1000))
	is.NoErr(http2.NewFramer(c, nil).WriteRSTStream(1, http2.ErrCodeCancel))
	is.Equal(b.State().HeldBytes, idle)
	pass(rest.Bytes())
	is.Equal(b.State().HeldBytes, idle)
}
