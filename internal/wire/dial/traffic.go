package dial

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/samber/oops"
)

// Traffic counts the bytes that a process exchanges with its peers: the payload of the TCP
// connections, without TCP and IP headers.
type Traffic struct{ in, out atomic.Uint64 }

// TrafficState is the traffic's debug state, in bytes since the start of the process.
type TrafficState struct {
	In  uint64 `json:"bytes-in"`
	Out uint64 `json:"bytes-out"`
}

// State returns the current counts.
func (t *Traffic) State() TrafficState { return TrafficState{In: t.in.Load(), Out: t.out.Load()} }

// dial opens a TCP connection whose bytes are counted.
func (t *Traffic) dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, oops.Code("unreachable").Wrap(err)
	}
	return &countedConn{c, t}, nil
}

// Listen listens on a peer address. The bytes of the accepted connections are counted.
func (t *Traffic) Listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, oops.Code("listen").Wrapf(err, "peer-listen: give another address, or end the process that holds it")
	}
	return &countedListener{l, t}, nil
}

// countedListener is a listener whose connections are counted.
type countedListener struct {
	net.Listener
	traffic *Traffic
}

// Accept implements net.Listener.
func (l *countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{c, l.traffic}, nil
}

// countedConn is a connection whose bytes are counted.
type countedConn struct {
	net.Conn
	traffic *Traffic
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.traffic.in.Add(uint64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.traffic.out.Add(uint64(n))
	return n, err
}
