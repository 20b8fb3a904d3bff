package serve

import (
	"net"
	"net/netip"
	"sync"
)

// Connections accepts connections on loopback and passes each to handle, which must close it. It
// returns its address, and a function that stops accepting and waits until handle has returned
// for each connection.
func Connections(handle func(net.Conn)) (address netip.AddrPort, stop func(), err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, nil, err
	}
	var running sync.WaitGroup
	running.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return // stopped
			}
			running.Go(func() { handle(c) })
		}
	})
	return l.Addr().(*net.TCPAddr).AddrPort(), func() {
		// An error means that it was stopped before.
		_ = l.Close()
		running.Wait()
	}, nil
}
