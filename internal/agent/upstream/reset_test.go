package upstream

import (
	"bytes"
	"io"
	"net"
	"testing"
	"time"

	"bramleydeal/internal/standin/serve"
	"github.com/matryer/is"
)

// TestResponseResetDuringUploadIsIncomplete guards against an upstream that answers a long upload at once
// with a response without a length, and resets the connection after a part of its body: the part counted
// as a complete response.
func TestResponseResetDuringUploadIsIncomplete(t *testing.T) {
	is := is.New(t)
	address, stop, err := serve.Connections(func(c net.Conn) {
		defer c.Close()
		if _, err := c.Read(make([]byte, 4096)); err == nil {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Own: 1\r\n\r\n0123456789")
			time.Sleep(2 * time.Millisecond) // the writer waits for room
			_ = c.(*net.TCPConn).SetLinger(0)
		}
	})
	is.NoErr(err)
	defer stop()
	r := Request{Method: "POST", Path: "/", Body: bytes.Repeat([]byte("x"), 16<<20)}
	for range 40 {
		b := NewBuffer(1 << 16)
		is.True(NewClient(address).Run(t.Context(), r, b))
		if b.Ended().Complete {
			_, body, _ := b.Complete()
			t.Errorf("the part %q counts as whole", body)
		}
	}
}
