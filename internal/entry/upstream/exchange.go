// Package upstream speaks HTTP/1.1 to the upstreams that an entry reaches
// directly. It owns one request on one connection, from the dial to the last
// byte; which upstream is asked, and what follows from a failure, is decided
// elsewhere.
package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"

	"bramleydeal/internal/wire/dial"
	"github.com/samber/oops"
)

// Sizes of an exchange.
const (
	// inlineBody is the body that fits into the socket's buffer in any case, in
	// bytes; a longer one is written while the answer is awaited.
	inlineBody = 16 << 10
	// readBuffer is the size of the buffer of an answer, in bytes.
	readBuffer = 4 << 10
)

// ErrUnsent says that no byte of the request was sent.
var ErrUnsent = errors.New("the request was not sent")

// Request is what is sent to an upstream.
type Request struct {
	Method string
	// Target is the path and query as the caller wrote them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// Exchange is one request at one upstream. Each has a connection of its own: an
// answer that comes late or twice then never meets another request.
type Exchange struct {
	// Response is the answer's head; its body is read through the exchange.
	Response *http.Response

	connection net.Conn
	stop       func() bool
}

// Send sends a request and waits for the head of its answer. An error that is
// ErrUnsent proves that the upstream got nothing; after any other the request
// may run. Once ctx ends, the connection is closed and reads fail.
func Send(ctx context.Context, address netip.AddrPort, r *Request) (*Exchange, error) {
	c, err := dial.TCP(ctx, address)
	if err != nil {
		return nil, errors.Join(ErrUnsent, err)
	}
	x := &Exchange{connection: c}
	// An error while closing changes nothing: the connection is given up.
	x.stop = context.AfterFunc(ctx, func() { _ = c.Close() })
	if err := x.exchange(r); err != nil {
		x.Close()
		return nil, err
	}
	return x, nil
}

// exchange writes the request and reads the head of the answer.
func (x *Exchange) exchange(r *Request) error {
	head := r.head()
	if len(r.Body) <= inlineBody {
		if n, err := x.connection.Write(append(head, r.Body...)); err != nil {
			if n == 0 {
				return errors.Join(ErrUnsent, err)
			}
			return oops.Code("upstream-write").Wrap(err)
		}
	} else {
		if n, err := x.connection.Write(head); err != nil {
			if n == 0 {
				return errors.Join(ErrUnsent, err)
			}
			return oops.Code("upstream-write").Wrap(err)
		}
		// An upstream may answer before it has read the body; a write error shows
		// in the answer.
		go func() { _, _ = x.connection.Write(r.Body) }()
	}
	return x.readHead(r.Method)
}

// readHead reads the answer's head and passes over interim ones.
func (x *Exchange) readHead(method string) error {
	reader := bufio.NewReaderSize(x.connection, readBuffer)
	for {
		response, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			return oops.Code("upstream-answer").Wrap(err)
		}
		if response.StatusCode >= http.StatusOK {
			x.Response = response
			return nil
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return oops.Code("upstream-answer").Errorf("the upstream switches protocols")
		}
	}
}

// head returns the request's head in the form of the wire.
func (r *Request) head() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	// A write to a buffer does not fail.
	_ = r.Header.Write(&b)
	if len(r.Body) > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(len(r.Body)) + "\r\n")
	}
	b.WriteString("Connection: close\r\n\r\n")
	return b.Bytes()
}

// Read reads the answer's body. io.EOF says that it is whole as far as its
// framing tells.
func (x *Exchange) Read(p []byte) (int, error) { return x.Response.Body.Read(p) }

// ReadWhole reads a body of at most limit bytes. more is true when there is
// more; what was read is then its beginning.
func (x *Exchange) ReadWhole(limit int64) (body []byte, more bool, err error) {
	body, err = io.ReadAll(io.LimitReader(x.Response.Body, limit+1))
	return body, int64(len(body)) > limit, err
}

// Close gives the connection up.
func (x *Exchange) Close() {
	x.stop()
	// An error while closing changes nothing: the connection is given up.
	_ = x.connection.Close()
}
