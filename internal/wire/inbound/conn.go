package inbound

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"bramleydeal/internal/core/client"
)

// What connections and requests cost in memory, in bytes.
const (
	// connectionBytes is the cost of an open connection: its goroutine and buffers.
	connectionBytes = 16 << 10
	// requestBytes is the cost of a request in progress beside its head and body.
	requestBytes = 24 << 10
	// lineBytes is the cost of a line of a head, or of a name in a list, beside its bytes: its place
	// in the maps and slices that a head is parsed into.
	lineBytes = 128
	// headFactor is the cost of a byte of a head, which is held as it came and as it is sent on.
	headFactor = 2
	// bufferBytes is the size of the buffer that net/http reads heads through.
	bufferBytes = 4 << 10
	// progressBytes is how many bytes a client must send to count as one that isn't silent.
	progressBytes = 4 << 10
	// writeBytes is the most that is written at once, so that a client that reads is seen to.
	writeBytes = 64 << 10
)

const (
	// writeTimeout is how long a client may take none of the bytes that it is sent.
	writeTimeout = time.Minute
	// evictedWriteTimeout is the same for a client that has lost what it held, whose request is refused.
	evictedWriteTimeout = time.Second
)

// errNoMemory means that there is no memory for what a client sends.
var errNoMemory = errors.New("clients hold all the memory that there is for them")

// Listener returns a listener whose connections are counted in b as those of a door.
func (b *Budget) Listener(l net.Listener, d *client.Door) net.Listener {
	return &listener{Listener: l, budget: b, door: d}
}

// PeerListener returns a listener for gRPC whose connections are counted in b. Their calls are counted
// by Credentials.
func (b *Budget) PeerListener(l net.Listener) net.Listener {
	return &listener{Listener: l, budget: b, door: b.peers, peer: true}
}

// listener is a listener whose connections are counted.
type listener struct {
	net.Listener
	budget *Budget
	door   *client.Door
	peer   bool
}

// Accept implements net.Listener. Connections for which there is no room are closed.
func (l *listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.budget.Conn(inner, l.door); c != nil {
			c.peer = l.peer
			return c, nil
		}
	}
}

// Conn is a connection of a client whose memory is counted. The methods that concern a request may be
// called on nil, which counts nothing.
type Conn struct {
	net.Conn
	budget *Budget
	holder *client.Holder
	// sinceProgress is the number of bytes that were read since the last progress.
	sinceProgress int

	// peer is set for a connection that speaks gRPC, whose frames are counted instead of heads.
	peer bool

	// mu guards the fields below.
	mu sync.Mutex
	// inRequest is set while a request is served, headBytes is what its head costs.
	inRequest bool
	headBytes int64
	// bodyTail is what the last bytes that were read would cost as a part of the next head.
	bodyTail int64
	// requestBytes is what is reserved for the request in progress beside its head.
	requestBytes int64
	// forwarded is set while the request in progress has a descriptor for an upstream.
	forwarded bool
	// phase is what is done on the connection while nothing is written to it.
	phase   client.Phase
	evicted bool
	writing bool
	// writeLimit is the write deadline that was set last.
	writeLimit time.Time
	closeOnce  sync.Once
}

// Conn counts a connection as one of a door. It closes the connection and returns nil if there is no
// room for it.
func (b *Budget) Conn(inner net.Conn, d *client.Door) *Conn {
	c := &Conn{Conn: inner, budget: b}
	if c.holder = b.open(c, d); c.holder == nil {
		_ = inner.Close() // nothing was read from it, so no request is lost
		return nil
	}
	if !b.reserve(c.holder, connectionBytes) {
		_ = c.Close()
		return nil
	}
	return c
}

// NetConn returns the connection that is counted.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Read implements net.Conn. What is read outside of requests is counted as a head.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	if c.sinceProgress += n; c.sinceProgress >= progressBytes {
		c.sinceProgress = 0
		c.budget.progress(c.holder)
	}
	if c.peer {
		return n, err
	}
	c.mu.Lock()
	inRequest := c.inRequest
	c.mu.Unlock()
	if inRequest && n > bufferBytes {
		return n, err // read past the buffer, so it is all of a body
	}
	cost := headCost(p[:n])
	if inRequest {
		c.mu.Lock()
		c.bodyTail = cost
		c.mu.Unlock()
		return n, err
	}
	if !c.budget.reserve(c.holder, cost) {
		// An error of this type makes net/http close the connection without an answer.
		return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: errNoMemory}
	}
	c.mu.Lock()
	c.headBytes += cost
	c.mu.Unlock()
	return n, err
}

// headCost returns what a part of a head costs in memory.
func headCost(part []byte) int64 {
	entries := bytes.Count(part, []byte{'\n'}) + bytes.Count(part, []byte{','})
	return int64(headFactor*len(part) + lineBytes*entries)
}

// Write implements net.Conn. It fails if the client takes no bytes for writeTimeout.
func (c *Conn) Write(p []byte) (n int, err error) {
	defer c.wrote()
	for first := true; first || n < len(p) && err == nil; first = false {
		c.willWrite()
		var m int
		m, err = c.Conn.Write(p[n:min(len(p), n+writeBytes)])
		n += m
	}
	return n, err
}

// willWrite records that the client has to take bytes, during which its silence counts.
func (c *Conn) willWrite() {
	now := time.Now()
	c.mu.Lock()
	c.writing = true
	timeout := writeTimeout
	if c.evicted {
		timeout = evictedWriteTimeout
	}
	if limit := now.Add(timeout); c.evicted || limit.Sub(c.writeLimit) > writeTimeout/4 {
		c.writeLimit = limit
		// An error shows in the write.
		_ = c.Conn.SetWriteDeadline(limit)
	}
	c.mu.Unlock()
	c.budget.setPhase(c.holder, client.Writing)
}

// wrote records that the client has taken all bytes that it was sent.
func (c *Conn) wrote() {
	c.mu.Lock()
	c.writing = false
	phase := c.phase
	c.mu.Unlock()
	c.budget.setPhase(c.holder, phase)
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.closeOnce.Do(func() { c.budget.close(c.holder) })
	return c.Conn.Close()
}

// CloseWrite closes the sending side.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// SetWriteDeadline implements net.Conn. The next Write sets its own deadline again.
func (c *Conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeLimit = time.Time{}
	return c.Conn.SetWriteDeadline(t)
}

// SetReadDeadline implements net.Conn. A client that has lost what it held is not read from again.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.evicted {
		t = time.Now()
	}
	return c.Conn.SetReadDeadline(t)
}

// evict ends the connection of a client that has lost what it held. The handler of a request whose
// body is awaited can still refuse it.
func (c *Conn) evict() {
	c.mu.Lock()
	c.evicted = true
	// Errors mean that the connection has ended.
	_ = c.Conn.SetReadDeadline(time.Now())
	if c.writing {
		_ = c.Conn.SetWriteDeadline(time.Now())
	}
	c.mu.Unlock()
}

// Evicted reports whether the client has lost what it held to others.
func (c *Conn) Evicted() bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evicted
}

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

// NewContext returns a context with a connection of a counted listener, for a server's ConnContext.
func NewContext(ctx context.Context, c net.Conn) context.Context {
	counted, ok := c.(*Conn)
	if !ok {
		return ctx
	}
	return context.WithValue(ctx, connectionKey{}, counted)
}

// FromContext returns the connection of a request, nil if it isn't counted.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(connectionKey{}).(*Conn)
	return c
}

// Begin counts a request whose head was read, with a connection to an upstream. It reports false if
// there is no room for it. End must be called in both cases.
func (c *Conn) Begin() bool {
	if c == nil {
		return true
	}
	c.mu.Lock()
	c.inRequest = true
	c.mu.Unlock()
	if !c.Reserve(requestBytes) {
		return false
	}
	if !c.budget.openMore(c.holder) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forwarded = true
	return true
}

// Reserve takes memory for the request in progress until End. It reports false if there is none.
func (c *Conn) Reserve(bytes int64) bool {
	if c == nil {
		return true
	}
	if !c.budget.reserve(c.holder, bytes) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestBytes += bytes
	return true
}

// HeadCost returns what the head of the request in progress costs.
func (c *Conn) HeadCost() int64 {
	if c == nil {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.headBytes
}

// SetWaiting records that the request was read whole, so that the client's silence means nothing. It
// reports false if the client has lost its connection before: the request must be refused then.
func (c *Conn) SetWaiting() bool {
	if c == nil {
		return true
	}
	c.mu.Lock()
	c.phase = client.Waiting
	c.mu.Unlock()
	return c.budget.setPhase(c.holder, client.Waiting)
}

// discardTimeout bounds the time in which the rest of a body arrives that its handler has not read.
const discardTimeout = 5 * time.Second

// End returns what the handler of the request in progress has taken. Its head is returned with Idle:
// net/http keeps it until the rest of the body was read.
func (c *Conn) End() {
	if c == nil {
		return
	}
	c.mu.Lock()
	taken, forwarded := c.requestBytes, c.forwarded
	c.phase, c.requestBytes, c.forwarded = client.Reading, 0, false
	c.mu.Unlock()
	c.budget.release(c.holder, taken)
	if forwarded {
		c.budget.closeMore(c.holder)
	}
	c.budget.setPhase(c.holder, client.Reading)
	// An error means that the connection has ended.
	_ = c.SetReadDeadline(time.Now().Add(discardTimeout))
}

// Idle returns what the head of the last request has taken. It is meant for a server's ConnState, in StateIdle.
func (c *Conn) Idle() {
	c.mu.Lock()
	taken, tail := c.headBytes, c.bodyTail
	c.inRequest, c.headBytes, c.bodyTail = false, 0, 0
	c.mu.Unlock()
	c.budget.release(c.holder, taken)
	if c.budget.reserve(c.holder, tail) {
		c.mu.Lock()
		c.headBytes += tail
		c.mu.Unlock()
	}
}

// Configure makes a server count the requests on connections of a counted listener.
func Configure(s *http.Server) {
	s.ConnContext = NewContext
	s.ConnState = func(c net.Conn, state http.ConnState) {
		if counted, ok := c.(*Conn); ok && state == http.StateIdle {
			counted.Idle()
		}
	}
}
