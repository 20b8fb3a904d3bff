package inbound

import (
	"encoding/binary"
	"net"

	"bramleydeal/internal/core/client"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
)

// What calls of other processes cost in memory.
const (
	// callBytes is the cost of a call beside its head and message.
	callBytes = 16 << 10
	// fieldFactor is the cost of a byte of a call's compressed head.
	fieldFactor = 8
	// messageFactor is the cost of a byte of a call's message, which is held as it came, in one piece,
	// and decoded.
	messageFactor = 3
	// smallMessageFactor is the cost of a byte of what comes first of a message, up to a cost of
	// smallMessage: it may be decoded into many small parts.
	smallMessageFactor = 12
	smallMessage       = 1 << 20
)

// Frames of HTTP/2 that matter here (RFC 9113, section 6).
const (
	prefaceLength     = 24
	frameHeaderLength = 9
	dataFrame         = 0x0
	headersFrame      = 0x1
	resetFrame        = 0x3
	continuationFrame = 0x9
	endStreamFlag     = 0x1
)

// Credentials returns inner, or credentials without security if it is nil, such that the calls on
// connections of PeerListener are counted.
func (b *Budget) Credentials(inner credentials.TransportCredentials) credentials.TransportCredentials {
	if inner == nil {
		inner = insecure.NewCredentials()
	}
	return &countingCredentials{inner}
}

// countingCredentials counts the calls on the connections that they secure.
type countingCredentials struct {
	credentials.TransportCredentials
}

// ServerHandshake implements credentials.TransportCredentials.
func (c *countingCredentials) ServerHandshake(raw net.Conn) (net.Conn, credentials.AuthInfo, error) {
	secured, info, err := c.TransportCredentials.ServerHandshake(raw)
	if counted, ok := raw.(*Conn); ok && err == nil {
		secured = &callConn{Conn: secured, raw: counted, calls: map[uint32]*call{}, in: frameReader{skip: prefaceLength}}
	}
	return secured, info, err
}

// Clone implements credentials.TransportCredentials.
func (c *countingCredentials) Clone() credentials.TransportCredentials {
	return &countingCredentials{c.TransportCredentials.Clone()}
}

// callConn is a connection of HTTP/2 whose calls are counted, each from its first frame until the
// process has answered it or either side has broken it off.
type callConn struct {
	net.Conn
	raw *Conn
	in  frameReader
	out frameReader
	// calls are the open calls by the number of their stream. raw.mu guards them.
	calls map[uint32]*call
	// whole is the number of calls whose message was read.
	whole int
	// lastCall is the number of the latest call's stream.
	lastCall uint32
}

// call is an open call.
type call struct {
	bytes int64
	// whole is set once its message was read.
	whole bool
}

// Read implements net.Conn.
func (c *callConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	for _, f := range c.in.frames(p[:n]) {
		if !c.received(f) {
			_ = c.Close()
			return 0, errNoMemory
		}
	}
	return n, err
}

// Write implements net.Conn.
func (c *callConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	for _, f := range c.out.frames(p[:n]) {
		if f.kind == resetFrame || f.ends() {
			c.end(f.stream)
		}
	}
	return n, err
}

// received counts a frame of the client and reports whether there is memory for it. Frames of calls that
// have ended are not kept, and not counted.
func (c *callConn) received(f frame) bool {
	if !c.isOpen(f) {
		return true
	}
	var cost int64
	switch f.kind {
	case dataFrame:
		cost = messageFactor * int64(f.length)
		if c.sizeOf(f.stream) < smallMessage {
			cost = smallMessageFactor * int64(f.length)
		}
	case headersFrame:
		cost = callBytes + fieldFactor*int64(f.length)
	case continuationFrame:
		cost = fieldFactor * int64(f.length)
	case resetFrame:
		c.end(f.stream)
		return true
	default:
		return true
	}
	if !c.raw.budget.reserve(c.raw.holder, cost) {
		return false
	}
	c.raw.mu.Lock()
	if x := c.calls[f.stream]; x != nil {
		x.bytes += cost
		if f.ends() && !x.whole {
			x.whole = true
			c.whole++
		}
		c.raw.mu.Unlock()
	} else { // it has ended meanwhile
		c.raw.mu.Unlock()
		c.raw.budget.release(c.raw.holder, cost)
	}
	c.updatePhase()
	return true
}

// isOpen reports whether a frame belongs to an open call, which its head may begin.
func (c *callConn) isOpen(f frame) bool {
	c.raw.mu.Lock()
	defer c.raw.mu.Unlock()
	if f.kind == headersFrame && f.stream > c.lastCall {
		c.lastCall = f.stream
		c.calls[f.stream] = &call{}
	}
	return c.calls[f.stream] != nil
}

// sizeOf returns what an open call has taken.
func (c *callConn) sizeOf(stream uint32) int64 {
	c.raw.mu.Lock()
	defer c.raw.mu.Unlock()
	if x := c.calls[stream]; x != nil {
		return x.bytes
	}
	return 0
}

// end returns what a call has taken.
func (c *callConn) end(stream uint32) {
	c.raw.mu.Lock()
	x := c.calls[stream]
	delete(c.calls, stream)
	if x != nil && x.whole {
		c.whole--
	}
	c.raw.mu.Unlock()
	if x != nil {
		c.raw.budget.release(c.raw.holder, x.bytes)
		c.updatePhase()
	}
}

// updatePhase records whether the client waits for the answer to a call.
func (c *callConn) updatePhase() {
	c.raw.mu.Lock()
	phase := client.Reading
	if c.whole > 0 {
		phase = client.Waiting
	}
	changed := phase != c.raw.phase
	c.raw.phase = phase
	c.raw.mu.Unlock()
	if changed {
		c.raw.budget.setPhase(c.raw.holder, phase)
	}
}

// frame is the head of a frame.
type frame struct {
	kind, flags byte
	stream      uint32
	length      int
}

// ends reports whether the frame is the last of its side of a stream.
func (f frame) ends() bool {
	return (f.kind == dataFrame || f.kind == headersFrame) && f.flags&endStreamFlag != 0
}

// frameReader finds the frames in one direction of a connection of HTTP/2.
type frameReader struct {
	// skip is the number of bytes until the next head of a frame.
	skip int
	// head is the part of the next head that was read.
	head []byte
}

// frames returns the frames whose heads end in p.
func (r *frameReader) frames(p []byte) (found []frame) {
	for len(p) > 0 {
		if n := min(r.skip, len(p)); n > 0 {
			r.skip -= n
			p = p[n:]
			continue
		}
		n := min(frameHeaderLength-len(r.head), len(p))
		r.head, p = append(r.head, p[:n]...), p[n:]
		if len(r.head) < frameHeaderLength {
			break
		}
		f := frame{
			length: int(r.head[0])<<16 | int(r.head[1])<<8 | int(r.head[2]), kind: r.head[3], flags: r.head[4],
			stream: binary.BigEndian.Uint32(r.head[5:]) &^ (1 << 31),
		}
		r.skip, r.head = f.length, r.head[:0]
		found = append(found, f)
	}
	return found
}

// ReserveForCall takes memory for what the message of a call was decoded into, and returns a function
// that returns it. It reports false if there is none.
func (b *Budget) ReserveForCall(bytes int64) (release func(), ok bool) {
	if b == nil {
		return func() {}, true
	}
	if !b.reserve(b.decoded, bytes) {
		return nil, false
	}
	return func() { b.release(b.decoded, bytes) }, true
}
