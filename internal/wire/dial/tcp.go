package dial

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/samber/oops"
	"golang.org/x/sys/unix"
)

// Times after which a plain connection's peer is taken for gone.
const (
	// connectTimeout bounds a connection's opening: several round trips between
	// failure domains, and less than the second after which an opening packet
	// that was dropped is sent again.
	connectTimeout = 400 * time.Millisecond
	// userTimeout ends a connection whose bytes are not acknowledged.
	userTimeout = 2 * time.Second
	// probeIdle, probeInterval and probeCount end a connection whose peer has
	// gone while nothing is sent; a second is the least that the kernel takes.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 1
)

var tcpDialer = net.Dialer{
	Timeout:         connectTimeout,
	KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
	Control: func(_, _ string, c syscall.RawConn) error {
		var failed error
		err := c.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
		})
		return errors.Join(err, failed)
	},
}

// TCP opens a connection that ends by itself, within about two seconds, when its
// peer falls silent.
func TCP(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	c, err := tcpDialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, oops.Code("unreachable").Wrap(err)
	}
	return c, nil
}
