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

// Timeouts after which the peer of a TCP connection counts as unreachable.
const (
	// connectTimeout bounds the opening of a connection. It allows several round trips
	// between failure domains, and is less than the second after which the kernel sends a
	// lost SYN packet again.
	connectTimeout = 400 * time.Millisecond
	// userTimeout is the time without acknowledgement of sent data after which the kernel
	// closes a connection (TCP_USER_TIMEOUT).
	userTimeout = 2 * time.Second
	// probeIdle, probeInterval and probeCount are the keep-alive probes that detect an
	// unreachable peer of an idle connection. One second is the kernel's minimum.
	probeIdle     = time.Second
	probeInterval = time.Second
	probeCount    = 1
)

// MaxResponseHead is the longest head of an HTTP response that is read, in bytes, the interim
// responses before it included.
const MaxResponseHead = 64 << 10

var tcpDialer = net.Dialer{
	Timeout:         connectTimeout,
	KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount},
	Control: func(_, _ string, c syscall.RawConn) error {
		var optionErr error
		err := c.Control(func(fd uintptr) {
			optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
		})
		return errors.Join(err, optionErr)
	},
}

// refusalTimeout bounds the check of whether a host refuses connections. It allows several
// round trips between failure domains.
const refusalTimeout = 100 * time.Millisecond

// Refused reports whether the host at an address refuses connections, so that no process
// listens there. It is false if the host does not reply.
func Refused(ctx context.Context, address netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(ctx, refusalTimeout)
	defer cancel()
	c, err := tcpDialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	// The error is ignored: nothing was sent.
	_ = c.Close()
	return false
}

// TCP opens a TCP connection that the kernel closes within about two seconds when its
// peer becomes unreachable. Its reader learns of failed writes.
func TCP(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	c, err := tcpDialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, oops.Code("unreachable").Wrap(err)
	}
	return ReportFailedWrites(c), nil
}
