package orders_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"

	"bramleydeal/internal/standin/serve"
	"bramleydeal/internal/wire/dial"
	"bramleydeal/internal/wire/orders"
	"bramleydeal/internal/wire/peer"
	"github.com/matryer/is"
)

// TestEndlessBytesOfPeerEnd guards against a process at a peer's address that sends bytes without
// end using up the memory: an upstream may have the address of an agent that has gone.
func TestEndlessBytesOfPeerEnd(t *testing.T) {
	const mostMemory = 16 << 20
	const settings = "\x00\x00\x00\x04\x00\x00\x00\x00\x00" // an empty SETTINGS frame
	for name, test := range map[string]struct{ begin, piece string }{
		"no answer":     {"", "x"},
		"HTTP/1.1":      {"HTTP/1.1 200 OK\r\n", "X-Header: value\r\n"},
		"settings":      {"", settings},
		"headers":       {settings + "\x00\x00\x01\x01\x00\x00\x00\x00\x01\x88", "\x00\x00\x03\x09\x00\x00\x00\x00\x01\x40\x01x\x01x"},
		"unknown frame": {settings, "\x00\x40\x00\x77\x00\x00\x00\x00\x01" + strings.Repeat("x", 16384)},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, stop, err := serve.Connections(func(c net.Conn) {
				defer c.Close()
				go func() { _, _ = io.Copy(io.Discard, bufio.NewReader(c)) }()
				_, err := io.WriteString(c, test.begin)
				for block := strings.Repeat(test.piece, 1+8192/len(test.piece)); err == nil; {
					_, err = io.WriteString(c, block)
				}
			})
			is.NoErr(err)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			pool := dial.NewPool(nil, &dial.Traffic{})
			ctx, cancel := context.WithTimeout(t.Context(), time.Second)
			defer cancel()
			_, err = orders.CallAt(ctx, pool, address, &peer.GrantOrder{Group: "g", Rank: "0"})
			is.True(err != nil)
			runtime.GC()
			runtime.ReadMemStats(&after)
			is.True(after.HeapAlloc < before.HeapAlloc+mostMemory) // whatever was sent
			pool.Close()
			stop()
		})
	}
}
