package client

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"bramleydeal/internal/process/log"
	"bramleydeal/internal/world/service"
	"github.com/matryer/is"
)

// startServer serves empty responses on loopback. Requests for /slow are
// answered after slow returns.
func startServer(t *testing.T, slow ...func()) (*Server, string) {
	t.Helper()
	s := NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			slow[0]()
		}
		w.WriteHeader(http.StatusNoContent)
	}), log.New(io.Discard, log.Text, "test"))
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- s.Serve(l) }()
	t.Cleanup(func() {
		// The server may be closed already.
		_ = s.Close()
		if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
			t.Errorf("Serve returned %v", err)
		}
	})
	return s, l.Addr().String()
}

func connect(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c, bufio.NewReader(c)
}

// get sends a request on an open connection and returns the status, or 0 if the
// connection was closed.
func get(t *testing.T, c net.Conn, r *bufio.Reader, path, header string) int {
	t.Helper()
	if _, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: a.example\r\n"+header+"\r\n"); err != nil {
		return 0
	}
	response, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0
	}
	return response.StatusCode
}

// closesWithin reports whether the server closes the connection within limit.
func closesWithin(c net.Conn, r *bufio.Reader, limit time.Duration) bool {
	if err := c.SetReadDeadline(time.Now().Add(limit)); err != nil {
		return false
	}
	_, err := r.ReadByte()
	var e net.Error
	return err != nil && (!errors.As(err, &e) || !e.Timeout())
}

// waitTimeout is far above the limits that the tests configure.
const waitTimeout = 20 * time.Second

func TestServerRejectsHeadersOverCurrentLimit(t *testing.T) {
	large := "X-Large: " + strings.Repeat("x", 20_000) + "\r\n"
	for _, c := range []struct {
		name   string
		limits service.Limits
		status int
	}{
		{"no limit configured", service.Limits{}, http.StatusNoContent},
		{"header over the limit", service.Limits{HeaderBytes: 8 << 10}, http.StatusRequestHeaderFieldsTooLarge},
		{"header within the limit", service.Limits{HeaderBytes: 32 << 10}, http.StatusNoContent},
	} {
		t.Run(c.name, func(t *testing.T) {
			s, address := startServer(t)
			s.Configure(c.limits)
			connection, reader := connect(t, address)
			is.New(t).Equal(get(t, connection, reader, "/", large), c.status)
		})
	}
}

func TestServerClosesConnectionsThatStayIdleOrSendNoHeader(t *testing.T) {
	s, address := startServer(t)
	early, earlyReader := connect(t, address)
	is := is.New(t)
	is.Equal(get(t, early, earlyReader, "/", ""), http.StatusNoContent)

	s.Configure(service.Limits{IdleTimeout: 100 * time.Millisecond, HeaderTimeout: 100 * time.Millisecond})
	idle, idleReader := connect(t, address)
	is.Equal(get(t, idle, idleReader, "/", ""), http.StatusNoContent)
	is.True(closesWithin(idle, idleReader, waitTimeout)) // the idle connection must be closed

	slow, slowReader := connect(t, address)
	_, err := io.WriteString(slow, "GET / HTTP/1.1\r\nHost:")
	is.NoErr(err)
	is.True(closesWithin(slow, slowReader, waitTimeout)) // the connection with an incomplete header must be closed

	is.Equal(get(t, early, earlyReader, "/", ""), http.StatusNoContent) // opened under the previous limits
}

func TestServerDropsPreviousLimitsWithLastConnection(t *testing.T) {
	s, address := startServer(t)
	is := is.New(t)
	c, r := connect(t, address)
	is.Equal(get(t, c, r, "/", ""), http.StatusNoContent)
	for n := range 5 {
		s.Configure(service.Limits{HeaderBytes: int64(n+1) << 14})
	}
	is.Equal(len(s.generations()), 2) // that of the open connection, and the current one
	is.NoErr(c.Close())
	for began := time.Now(); len(s.generations()) > 1; time.Sleep(time.Millisecond) {
		if time.Since(began) > waitTimeout {
			t.Fatal("the previous limits are still kept")
		}
	}
}

func TestServerShutdownCompletesRequestsUnderAllLimits(t *testing.T) {
	running, release := make(chan struct{}), make(chan struct{})
	s, address := startServer(t, func() {
		running <- struct{}{}
		<-release
	})
	is := is.New(t)
	statuses := make(chan int, 2)
	for n := range 2 {
		s.Configure(service.Limits{HeaderBytes: int64(n+1) << 14})
		c, r := connect(t, address)
		go func() { statuses <- get(t, c, r, "/slow", "") }()
		<-running
	}
	s.DisableKeepAlives()
	ended := make(chan error, 1)
	go func() { ended <- s.Shutdown(context.Background()) }()
	close(release)
	is.NoErr(<-ended)
	for range 2 {
		is.Equal(<-statuses, http.StatusNoContent)
	}
}
