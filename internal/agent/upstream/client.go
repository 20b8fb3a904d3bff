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

	"bramleydeal/internal/wire/header"
	"bramleydeal/internal/world/answer"
	"github.com/samber/oops"
)

// Sizes and times of the upstream's connections.
const (
	readSize           = 64 << 10
	dialTimeout        = 2 * time.Second
	maxIdleConnections = 256
)

// ResumedHeader is set by an engine on an answer that begins after the tokens
// named in the request's resume member.
const ResumedHeader = "X-Resumed"

// Request is one request to the upstream.
type Request struct {
	ID      string
	Method  string
	Path    string
	Headers []Header
	Body    []byte
	// Once is true for a request that must reach the upstream at most once.
	Once bool
	// Events is true for an answer that is a stream of events.
	Events bool
	// Handle names the stream in event ids.
	StreamID string
	// ResumeFrom is the number of events that the caller has from elsewhere.
	ResumeFrom uint64
}

// Client runs requests at one upstream.
type Client struct {
	base string
	http *http.Client
	// fresh opens a connection for each request. net/http repeats some requests
	// when a connection that it kept breaks, but never on a fresh one.
	withoutReuse *http.Client
}

// NewClient returns a client of the upstream at address.
func NewClient(address netip.AddrPort) *Client {
	return &Client{base: "http://" + address.String(), http: newHTTPClient(false), withoutReuse: newHTTPClient(true)}
}

func newHTTPClient(fresh bool) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: dialTimeout}).DialContext,
			MaxIdleConnsPerHost: maxIdleConnections,
			DisableCompression:  true,
			DisableKeepAlives:   fresh,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Run gives the request to the upstream and fills the buffer with its answer,
// to the end. It reports whether the request may have run.
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

func (c *Client) send(ctx context.Context, r Request) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, r.Method, c.base+r.Path, bytes.NewReader(r.Body))
	if err != nil {
		return nil, oops.Code("upstream-call").Wrap(err)
	}
	for _, h := range r.Headers {
		request.Header.Add(h.Name, h.Value)
	}
	request.Header.Set("X-Request-Id", r.ID)
	if r.Once {
		return c.withoutReuse.Do(request)
	}
	return c.http.Do(request)
}

// neverSent tells whether an error proves that nothing reached the upstream.
func notSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial" || errors.Is(err, syscall.ECONNREFUSED)
}

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

// readBuffers hold what is read of an answer before it is copied to its size.
var readBuffers = sync.Pool{New: func() any { return new([readSize]byte) }}

// copyBody moves the answer's body into the buffer.
func copyBody(ctx context.Context, r Request, response *http.Response, b *Buffer) error {
	if r.Events && response.StatusCode == http.StatusOK {
		return copyEvents(ctx, r, response, b)
	}
	var position uint64
	text := readBuffers.Get().(*[readSize]byte)
	defer readBuffers.Put(text)
	for {
		n, err := response.Body.Read(text[:])
		if n > 0 {
			p := Chunk{Position: position, Count: uint64(n), Content: bytes.Clone(text[:n])}
			if err := b.Append(ctx, p); err != nil {
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

// copyEvents moves an event stream into the buffer. The stream is complete
// only with its closing event.
func copyEvents(ctx context.Context, r Request, response *http.Response, b *Buffer) error {
	s := eventSplitter{streamID: r.StreamID, position: r.ResumeFrom}
	if response.Header.Get(ResumedHeader) == "" {
		s.skip = r.ResumeFrom
	}
	text := readBuffers.Get().(*[readSize]byte)
	defer readBuffers.Put(text)
	for {
		n, err := response.Body.Read(text[:])
		if p, ok := s.split(text[:n]); ok {
			if err := b.Append(ctx, p); err != nil {
				return err
			}
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
