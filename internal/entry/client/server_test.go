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

// startServer serves empty answers on loopback, those of /slow after slow returns.
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
		// A second close reports nothing of interest.
		_ = s.Close()
		if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
			t.Errorf("Serve ended with %v", err)
		}
	})
	return s, l.Addr().String()
}

func open(t *testing.T, address string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c, bufio.NewReader(c)
}

// ask sends a request on a kept connection and returns the status, 0 when the
// connection ended instead.
func ask(t *testing.T, c net.Conn, r *bufio.Reader, path, header string) int {
	t.Helper()
	if _, err := io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: a.example\r\n"+header+"\r\n"); err != nil {
		return 0
	}
	answer, err := http.ReadResponse(r, nil)
	if err != nil {
		return 0
	}
	return answer.StatusCode
}

// endsWithin tells whether the server closes the connection within a time.
func endsWithin(c net.Conn, r *bufio.Reader, limit time.Duration) bool {
	if err := c.SetReadDeadline(time.Now().Add(limit)); err != nil {
		return false
	}
	_, err := r.ReadByte()
	var e net.Error
	return err != nil && (!errors.As(err, &e) || !e.Timeout())
}

// waitLimit is far above the limits that the tests set.
const waitLimit = 20 * time.Second

func TestServerRefusesHeadersOverTheLimitInForce(t *testing.T) {
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
			connection, reader := open(t, address)
			is.New(t).Equal(ask(t, connection, reader, "/", large), c.status)
		})
	}
}

func TestServerEndsConnectionsThatStayIdleOrSendNoHeader(t *testing.T) {
	s, address := startServer(t)
	early, earlyReader := open(t, address)
	is := is.New(t)
	is.Equal(ask(t, early, earlyReader, "/", ""), http.StatusNoContent)

	s.Configure(service.Limits{IdleTimeout: 100 * time.Millisecond, HeaderTimeout: 100 * time.Millisecond})
	idle, idleReader := open(t, address)
	is.Equal(ask(t, idle, idleReader, "/", ""), http.StatusNoContent)
	is.True(endsWithin(idle, idleReader, waitLimit)) // an idle connection outlives the limit

	slow, slowReader := open(t, address)
	_, err := io.WriteString(slow, "GET / HTTP/1.1\r\nHost:")
	is.NoErr(err)
	is.True(endsWithin(slow, slowReader, waitLimit)) // a header that never ends outlives the limit

	is.Equal(ask(t, early, earlyReader, "/", ""), http.StatusNoContent) // opened under the former limits
}

func TestServerForgetsFormerLimitsWithTheirLastConnection(t *testing.T) {
	s, address := startServer(t)
	is := is.New(t)
	c, r := open(t, address)
	is.Equal(ask(t, c, r, "/", ""), http.StatusNoContent)
	for n := range 5 {
		s.Configure(service.Limits{HeaderBytes: int64(n+1) << 14})
	}
	is.Equal(len(s.generations()), 2) // that of the open connection and the current one
	is.NoErr(c.Close())
	for began := time.Now(); len(s.generations()) > 1; time.Sleep(time.Millisecond) {
		if time.Since(began) > waitLimit {
			t.Fatal("the former limits are still kept")
		}
	}
}

func TestServerShutDownAnswersRequestsUnderEveryLimit(t *testing.T) {
	running, release := make(chan struct{}), make(chan struct{})
	s, address := startServer(t, func() {
		running <- struct{}{}
		<-release
	})
	is := is.New(t)
	statuses := make(chan int, 2)
	for n := range 2 {
		s.Configure(service.Limits{HeaderBytes: int64(n+1) << 14})
		c, r := open(t, address)
		go func() { statuses <- ask(t, c, r, "/slow", "") }()
		<-running
	}
	s.AskToLeave()
	ended := make(chan error, 1)
	go func() { ended <- s.Shutdown(context.Background()) }()
	close(release)
	is.NoErr(<-ended)
	for range 2 {
		is.Equal(<-statuses, http.StatusNoContent)
	}
}
