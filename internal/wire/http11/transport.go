package http11

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"

	"bramleydeal/internal/wire/dial"
)

// Transport is a transport whose responses are checked: their heads and trailers, and that a response
// without a framing ends with a clean end of its connection.
type Transport struct{ *http.Transport }

// NewTransport returns a Transport that uses t, which must not be used otherwise.
func NewTransport(t *http.Transport) Transport {
	connect := t.DialContext
	if connect == nil {
		connect = (&net.Dialer{}).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := connect(ctx, network, address)
		if err != nil {
			return nil, err
		}
		c = dial.ReportFailedWrites(c)
		if t.DisableKeepAlives {
			// One response arrives on the connection.
			c = &checkedConnection{c, NewHeadReader(c, dial.MaxResponseHead)}
		}
		return c, nil
	}
	return Transport{t}
}

// checkedConnection is a connection whose first head is checked as it is read.
type checkedConnection struct {
	net.Conn
	reader *HeadReader
}

// Read implements net.Conn.
func (c *checkedConnection) Read(p []byte) (int, error) { return c.reader.Read(p) }

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{Got1xxResponse: checkInterim(dial.MaxResponseHead)}
	response, err := t.Transport.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
	if err != nil {
		return nil, err
	}
	if err := Check(response); err != nil {
		// The error is ignored: the response does not count.
		_ = response.Body.Close()
		return nil, err
	}
	return response, nil
}

// checkInterim returns a function that checks the interim responses before a response. It fails once they
// have more than limit bytes, since net/http leaves that to it.
func checkInterim(limit int) func(status int, h textproto.MIMEHeader) error {
	return func(_ int, h textproto.MIMEHeader) error {
		limit -= len("HTTP/1.1 100 \r\n\r\n")
		for name, values := range h {
			for _, v := range values {
				limit -= len(name) + len(v) + len(":\r\n")
			}
		}
		if limit < 0 {
			return ErrHeadTooLong
		}
		return checkNames(http.Header(h))
	}
}
