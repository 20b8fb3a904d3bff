package dial

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// connection is a connection whose reader learns of failed writes. The kernel tells that a connection was
// reset only once: if a write is told, a read returns io.EOF as after a clean end.
type connection struct {
	net.Conn
	// writing is held during a write. It guards failure, the error of the first write that failed.
	writing sync.Mutex
	failure error
}

// ReportFailedWrites returns a connection by way of c whose reads return no io.EOF after a write has
// learned that the connection was lost. A read that returns io.EOF ends a write that is under way.
func ReportFailedWrites(c net.Conn) net.Conn {
	if _, ok := c.(*connection); ok {
		return c
	}
	return &connection{Conn: c}
}

// Write implements net.Conn.
func (c *connection) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && c.failure == nil {
		c.failure = err
	}
	return n, err
}

// Read implements net.Conn.
func (c *connection) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != io.EOF {
		return n, err
	}
	// The peer reads no more than it has. An error means that the connection was closed.
	_ = c.SetWriteDeadline(time.Now())
	c.writing.Lock()
	defer c.writing.Unlock()
	if c.failure != nil && !endedCleanly(c.failure) {
		return n, c.failure
	}
	return n, err
}

// endedCleanly reports whether the error of a write may follow a clean end: EPIPE, if the peer had ended
// its side before it reset the connection, or that the write was ended or the connection closed here.
func endedCleanly(err error) bool {
	return errors.Is(err, syscall.EPIPE) || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, net.ErrClosed)
}
