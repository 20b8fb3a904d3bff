package upstream

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
)

// longUpload is longer than what the buffers of a connection hold.
var longUpload = [][]byte{bytes.Repeat([]byte("x"), 16<<20)}

// TestResponseResetDuringUploadIsNoWholeOne guards against an upstream that answers a long upload at once
// with a response without a length, and resets the connection after a part of its body: the writer of the
// upload learned of the reset, the reader saw the end of the connection, and callers got the part as
// a complete response.
func TestResponseResetDuringUploadIsNoWholeOne(t *testing.T) {
	for range 40 {
		address := rawUpstream(t, func(c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nResponse-Signature: s\r\n\r\n0123456789")
			time.Sleep(2 * time.Millisecond) // the writer waits for room
			_ = c.(*net.TCPConn).SetLinger(0)
		})
		x, err := Send(t.Context(), address, &Request{Method: "POST", Target: "/", Host: "h", Body: longUpload})
		if err != nil {
			continue // the head was lost in the reset
		}
		if body, _, err := x.ReadBody(1 << 10); err == nil {
			t.Errorf("the part %q counts as whole", body)
		}
		x.Close()
	}
}

// TestSoundResponseGivenEarlyIsWhole guards against taking a response for a broken one because the
// upstream reads no more of the upload.
func TestSoundResponseGivenEarlyIsWhole(t *testing.T) {
	for name, response := range framings {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := rawUpstream(t, func(c net.Conn) {
				_, _ = io.WriteString(c, response)
				_ = c.(*net.TCPConn).CloseWrite()
				// Reading on lets the caller's kernel take the whole response before the reset.
				_ = c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
				_, _ = io.CopyN(io.Discard, c, 1<<20)
			})
			x, err := Send(t.Context(), address, &Request{Method: "POST", Target: "/", Host: "h", Body: longUpload})
			is.NoErr(err)
			defer x.Close()
			body, _, err := x.ReadBody(1 << 10)
			is.NoErr(err)
			is.True(name == "no body" || string(body) == "0123456789")
		})
	}
}
