package orders_test

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"bramleydeal/internal/standin/serve"
	"bramleydeal/internal/wire/dial"
	"bramleydeal/internal/wire/orders"
	"bramleydeal/internal/wire/peer"
	"github.com/matryer/is"
)

// frame returns an HTTP/2 frame of stream 1, or of the connection if settings is set.
func frame(kind, flags byte, settings bool, payload string) string {
	stream := byte(1)
	if settings {
		stream = 0
	}
	return string([]byte{0, 0, byte(len(payload)), kind, flags, 0, 0, 0, stream}) + payload
}

// field returns a field of an HTTP/2 head.
func field(name, value string) string {
	return "\x00" + string(rune(len(name))) + name + string(rune(len(value))) + value
}

// TestMalformedReplyOfPeerIsNone guards against a reply of a process in trouble that counts: a rank that
// has not carried an order out.
func TestMalformedReplyOfPeerIsNone(t *testing.T) {
	const kindData, kindHeaders, kindSettings, endStream, endHeaders = 0, 1, 4, 1, 4
	reply, contentType := frame(kindData, 0, false, "\x00\x00\x00\x00\x02\x08\x01"), field("content-type", "application/grpc")
	end := frame(kindHeaders, endStream|endHeaders, false, field("grpc-status", "0"))
	for name, test := range map[string]struct {
		head, end string
		sound     bool
	}{
		"sound":                  {field(":status", "200") + contentType, end, true},
		"status of 000":          {field(":status", "000") + contentType, end, false},
		"status of 600":          {field(":status", "600") + contentType, end, false},
		"blank in a name":        {field(":status", "200") + contentType + field("x y", "1"), end, false},
		"control byte in a name": {field(":status", "200") + contentType + field("x\x01", "1"), end, false},
		"blank in the trailer":   {field(":status", "200") + contentType, frame(kindHeaders, endStream|endHeaders, false, field("grpc-status", "0")+field("x y", "1")), false},
		"no trailer":             {field(":status", "200") + contentType, "", false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address, stop, err := serve.Connections(func(c net.Conn) {
				defer c.Close()
				_, _ = io.WriteString(c, frame(kindSettings, 0, true, ""))
				_ = c.SetReadDeadline(time.Now().Add(100 * time.Millisecond)) // until the order has arrived
				_, _ = io.Copy(io.Discard, c)
				_, _ = io.WriteString(c, frame(kindSettings, 1, true, "")+frame(kindHeaders, endHeaders, false, test.head)+reply+test.end)
				_ = c.SetReadDeadline(time.Now().Add(100 * time.Millisecond)) // a reset would discard what was sent
				_, _ = io.Copy(io.Discard, c)
			})
			is.NoErr(err)
			pool := dial.NewPool(nil, &dial.Traffic{})
			ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
			defer cancel()
			m, err := orders.CallAt(ctx, pool, address, &peer.GrantOrder{Group: "g", Rank: "0"})
			is.Equal(err == nil && m.Accepted, test.sound)
			pool.Close()
			stop()
		})
	}
}
