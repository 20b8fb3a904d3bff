// Package upstream sends HTTP/1.1 requests to the upstreams that an entry
// reaches directly, and keeps the state of their pools. An Exchange is one
// request on one connection, from the dial to the last byte of the response.
// Which upstream is chosen is decided in core/upstream, whether to retry in
// core/client.
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
	"slices"
	"strconv"

	"bramleydeal/internal/core/client"
	"bramleydeal/internal/wire/dial"
	"bramleydeal/internal/wire/http11"
	"github.com/samber/oops"
)

// Buffer sizes of an exchange in bytes.
const (
	// maxInlineBody is the longest body that is written together with the head,
	// before the response is read. It fits into the socket's send buffer, so
	// the write does not block. A longer body is written while the response is
	// awaited.
	maxInlineBody = 16 << 10
	// readBufferSize is the size of the buffer that responses are read through.
	readBufferSize = 4 << 10
)

// ErrUnsent means that no byte of the request was sent.
var ErrUnsent = errors.New("the request was not sent")

// Request is an HTTP request to an upstream.
type Request struct {
	Method string
	// Target is the path and query exactly as the caller sent them.
	Target string
	Host   string
	Header http.Header
	// Body is the body in pieces of any size.
	Body [][]byte
}

// Exchange is one request to one upstream and its response. Each exchange has
// its own connection, so that a late or duplicate response cannot be taken for
// that of another request.
type Exchange struct {
	// Response is the head of the response. Its body is read with Read or
	// ReadBody.
	Response *http.Response

	connection net.Conn
	stopCancel func() bool
}

// Send sends a request and waits for the head of its response. An error that
// wraps ErrUnsent means that the upstream received nothing; after any other
// error the request may have run. When ctx ends, the connection is closed and
// reads fail.
func Send(ctx context.Context, address netip.AddrPort, r *Request) (*Exchange, error) {
	c, err := dial.TCP(ctx, address)
	if err != nil {
		return nil, errors.Join(ErrUnsent, err)
	}
	x := &Exchange{connection: c}
	// The error is ignored: the connection is not used any more.
	x.stopCancel = context.AfterFunc(ctx, func() { _ = c.Close() })
	if err := x.send(r); err != nil {
		x.Close()
		return nil, err
	}
	return x, nil
}

// send writes the request and reads the head of the response.
func (x *Exchange) send(r *Request) error {
	head := r.head()
	if client.BodyBytes(r.Body) <= maxInlineBody {
		for _, piece := range r.Body {
			head = append(head, piece...)
		}
		if n, err := x.connection.Write(head); err != nil {
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
		// An upstream may respond before it has read the body. The write error
		// is ignored here: the connection reports it to the reader of a response
		// that would otherwise end with the connection.
		body := net.Buffers(slices.Clone(r.Body)) // WriteTo changes it
		go func() { _, _ = body.WriteTo(x.connection) }()
	}
	return x.readHead(r.Method)
}

// readHead reads the head of the response and skips interim (1xx) responses.
func (x *Exchange) readHead(method string) error {
	reader := bufio.NewReaderSize(http11.NewHeadReader(x.connection, dial.MaxResponseHead), readBufferSize)
	for {
		response, err := http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil {
			return oops.Code("upstream-answer").Wrap(err)
		}
		if err := http11.Check(response); err != nil {
			return err
		}
		if response.StatusCode >= http.StatusOK {
			x.Response = response
			return nil
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return oops.Code("upstream-answer").Errorf("the upstream switched protocols (status 101), which is not supported")
		}
	}
}

// head returns the encoded request line and headers. A Content-Length is set
// unless the body is empty and the method is GET or HEAD.
func (r *Request) head() []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
	// Writes to a bytes.Buffer never fail.
	_ = r.Header.Write(&b)
	size := client.BodyBytes(r.Body)
	if size > 0 || r.Method != http.MethodGet && r.Method != http.MethodHead {
		b.WriteString("Content-Length: " + strconv.Itoa(size) + "\r\n")
	}
	b.WriteString("Connection: close\r\n\r\n")
	return b.Bytes()
}

// Read reads the body of the response. It returns io.EOF at the end that the
// framing (length, chunks or close) indicates.
func (x *Exchange) Read(p []byte) (int, error) { return x.Response.Body.Read(p) }

// ReadBody reads the body of the response up to limit bytes. If the body is
// longer, more is true and body holds its first limit+1 bytes; the rest can be
// read with Read.
func (x *Exchange) ReadBody(limit int64) (body []byte, more bool, err error) {
	from := io.LimitReader(x.Response.Body, limit+1)
	if length := x.Response.ContentLength; length >= 0 && length <= limit {
		// Room for the whole body, so that it is held once.
		whole := bytes.NewBuffer(make([]byte, 0, length+bytes.MinRead))
		_, err = whole.ReadFrom(from)
		body = whole.Bytes()
	} else {
		body, err = io.ReadAll(from)
	}
	return body, int64(len(body)) > limit, err
}

// Close closes the connection.
func (x *Exchange) Close() {
	x.stopCancel()
	// The error is ignored: the connection is not used any more.
	_ = x.connection.Close()
}
