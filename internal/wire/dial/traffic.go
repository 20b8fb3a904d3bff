package dial

import (
	"context"
	"net"
	"sync/atomic"

	"github.com/samber/oops"
)

// Traffic counts the bytes between a process and its peers, as the connections
// carry them, without what TCP and IP add.
type Traffic struct{ in, out atomic.Uint64 }

// TrafficState is the traffic's part of the dump, in bytes since the start.
type TrafficState struct {
	In  uint64 `json:"bytes-in"`
	Out uint64 `json:"bytes-out"`
}

// State returns the counts so far.
func (t *Traffic) State() TrafficState { return TrafficState{In: t.in.Load(), Out: t.out.Load()} }

func (t *Traffic) dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, oops.Code("unreachable").Wrap(err)
	}
	return &countedConn{c, t}, nil
}

// Listen listens at a peer address and counts what its connections carry.
func (t *Traffic) Listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, oops.Code("listen").Wrapf(err, "peer-listen: give another address, or end the process that holds it")
	}
	return &countedListener{l, t}, nil
}

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

// counted is a connection whose bytes are counted.
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
