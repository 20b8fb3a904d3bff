package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"syscall"
	"time"

	"bramleydeal/internal/wire/dial"
	"bramleydeal/internal/wire/header"
	"bramleydeal/internal/wire/http11"
	"bramleydeal/internal/world/answer"
	"github.com/samber/oops"
)

// Sizes and timeouts of the connections to the upstream.
const (
	readSize    = 64 << 10
	dialTimeout = 2 * time.Second
)

// ResumedHeader is the header that an engine sets on a response that starts after the
// tokens that the request's resume member names.
const ResumedHeader = "X-Resumed"

// Request is an HTTP request to the upstream.
type Request struct {
	ID      string
	Method  string
	Path    string
	Headers []Header
	Body    []byte
	// Events is true when the response is a stream of server-sent events.
	Events bool
	// StreamID identifies the stream in event ids.
	StreamID string
	// ResumeFrom is the number of events that the caller already has from another agent.
	ResumeFrom uint64
}

// Client sends requests to one upstream.
type Client struct {
	base string
	// http opens a new connection for each request. On a reused one, bytes that the
	// upstream sent after a response would be taken for the next response, and net/http
	// repeats some requests when a reused connection fails.
	http *http.Client
}

// NewClient returns a client of the upstream at address.
func NewClient(address netip.AddrPort) *Client {
	return &Client{base: "http://" + address.String(), http: newHTTPClient()}
}

// newHTTPClient returns an HTTP client that opens a connection for each request and does
// not follow redirects.
func newHTTPClient() *http.Client {
	return &http.Client{
		Transport: http11.NewTransport(&http.Transport{
			DialContext:        (&net.Dialer{Timeout: dialTimeout}).DialContext,
			DisableCompression: true,
			DisableKeepAlives:  true,

			MaxResponseHeaderBytes: dial.MaxResponseHead,
		}),
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Run sends the request to the upstream and stores the response in b until it ends. It
// reports whether the request may have run; false means that nothing was sent.
func (c *Client) Run(ctx context.Context, r Request, b *Buffer) (mayHaveRun bool) {
	response, err := c.send(ctx, r)
	if err != nil {
		if notSent(err) {
			b.End(Ending{Refusal: answer.Refuse(answer.NoUpstream, "the upstream accepts no connection")})
			return false
		}
		b.End(Ending{Detail: "the upstream broke off: " + err.Error()})
		return true
	}
	defer response.Body.Close()
	b.SetHead(headFrom(response))
	if err := copyBody(ctx, r, response, b); err != nil {
		b.End(Ending{Detail: "the upstream broke off: " + err.Error()})
		return true
	}
	b.End(Ending{Complete: true})
	return true
}

// send sends the request and returns the response with its open body.
func (c *Client) send(ctx context.Context, r Request) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, r.Method, c.base+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, oops.Code("upstream-call").Wrap(err)
	}
	for _, h := range r.Headers {
		request.Header.Add(h.Name, h.Value)
	}
	request.Header.Set("X-Request-Id", r.ID)
	return c.http.Do(request)
}

// notSent reports whether an error proves that no connection was made, so that nothing was
// sent to the upstream.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial" || errors.Is(err, syscall.ECONNREFUSED)
}

// headFrom returns the head of a response without its hop-by-hop headers.
func headFrom(response *http.Response) Head {
	h := Head{Status: response.StatusCode}
	for name, values := range response.Header {
		if header.IsHopByHop(name) {
			continue
		}
		for _, v := range values {
			h.Headers = append(h.Headers, Header{name, v})
		}
	}
	return h
}

// readBuffers are reused to read from a response before the content is copied into a
// chunk of its exact size.
var readBuffers = sync.Pool{New: func() any { return new([readSize]byte) }}

// copyBody copies the response body into the buffer.
func copyBody(ctx context.Context, r Request, response *http.Response, b *Buffer) error {
	if r.Events && response.StatusCode == http.StatusOK {
		return copyEvents(ctx, r, response, b)
	}
	var position uint64
	data := readBuffers.Get().(*[readSize]byte)
	defer readBuffers.Put(data)
	for {
		n, err := response.Body.Read(data[:])
		if n > 0 {
			chunk := Chunk{Position: position, Count: uint64(n), Content: bytes.Clone(data[:n])}
			if err := b.Append(ctx, chunk); err != nil {
				return err
			}
			position += uint64(n)
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// maxEvent is the longest event in bytes, so that an event without end does not use up the
// memory.
const maxEvent = 128 << 10

// errEventTooLong means that a stream had an event that is longer than maxEvent.
var errEventTooLong = errors.New("an event of the stream is too long")

// copyEvents copies an event stream into the buffer. Unless the engine resumed the
// stream, it leaves out the events that the caller already has. A stream that ends
// without the "[DONE]" event is incomplete and returns io.ErrUnexpectedEOF.
func copyEvents(ctx context.Context, r Request, response *http.Response, b *Buffer) error {
	s := eventSplitter{streamID: r.StreamID, position: r.ResumeFrom}
	if response.Header.Get(ResumedHeader) == "" {
		s.skip = r.ResumeFrom
	}
	data := readBuffers.Get().(*[readSize]byte)
	defer readBuffers.Put(data)
	for {
		n, err := response.Body.Read(data[:])
		if chunk, ok := s.split(data[:n]); ok {
			if err := b.Append(ctx, chunk); err != nil {
				return err
			}
		}
		if len(s.incomplete) > maxEvent {
			return errEventTooLong
		}
		switch {
		case errors.Is(err, io.EOF) && s.sawDone:
			return nil
		case errors.Is(err, io.EOF):
			return io.ErrUnexpectedEOF
		case err != nil:
			return err
		}
	}
}
