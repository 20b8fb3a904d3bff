package client

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"bramleydeal/internal/process/log"
	"bramleydeal/internal/world/service"
	"github.com/VictoriaMetrics/metrics"
	"github.com/go-logr/logr"
	"github.com/matryer/is"
)

// descriptorsVariable is the environment variable that makes the test program serve callers
// with that many file descriptors instead of running tests.
const descriptorsVariable = "BRAMLEYDEAL_TEST_DESCRIPTORS"

func TestMain(m *testing.M) {
	if limit := os.Getenv(descriptorsVariable); limit != "" {
		if err := serveWithDescriptors(limit); err != nil {
			panic(err)
		}
		return
	}
	os.Exit(m.Run())
}

// serveWithDescriptors serves callers and readiness checks until standard input ends. Requests
// for /slow take slowTime, and those for /large have a response that fills the connection's
// buffers.
func serveWithDescriptors(text string) error {
	s := NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch r.URL.Path {
		case "/slow":
			time.Sleep(slowTime)
		case "/large":
			// The error says that the caller has left.
			_, _ = w.Write(make([]byte, 32<<20))
			return
		}
		w.WriteHeader(http.StatusNoContent)
	}), log.New(io.Discard, log.Text, "test"))
	h := New(Config{
		View:    func() *service.View { return service.NewView(&service.Configuration{}, nil, true) },
		Metrics: metrics.NewSet(), Log: logr.Discard(),
	})
	h.SetAccepting(s.Accepting)
	limit, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return err
	}
	callers, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	ready, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &syscall.Rlimit{Cur: limit, Max: limit}); err != nil {
		return err
	}
	// Both serve until the process exits.
	go func() { _ = s.Serve(callers) }()
	go func() { _ = http.Serve(ready, http.HandlerFunc(h.ServeReady)) }()
	fmt.Printf("serving %s %s\n", callers.Addr(), ready.Addr())
	_, err = io.ReadAll(os.Stdin)
	return err
}

// slowTime is how long a request for /slow takes.
const slowTime = 3 * time.Second

// startWithDescriptors starts a process that serves callers with a limited number of file
// descriptors. It returns its address and a function that reports whether it is ready.
func startWithDescriptors(t *testing.T, limit int) (address string, isReady func() bool) {
	t.Helper()
	is := is.New(t)
	c := exec.CommandContext(t.Context(), os.Args[0])
	c.Env = append(os.Environ(), fmt.Sprint(descriptorsVariable, "=", limit))
	c.Stderr = os.Stderr
	stdin, err := c.StdinPipe()
	is.NoErr(err)
	stdout, err := c.StdoutPipe()
	is.NoErr(err)
	is.NoErr(c.Start())
	t.Cleanup(func() {
		_ = stdin.Close()
		_ = c.Wait() // killed if the test has ended
	})
	line, err := bufio.NewReader(stdout).ReadString('\n')
	is.NoErr(err)
	fields := strings.Fields(line)
	// The connection of the readiness checks is opened before the descriptors are used up.
	connection, reader := connect(t, fields[2])
	return fields[1], func() bool { return get(t, connection, reader, "/ready", "") == http.StatusOK }
}

// servedWithin reports whether a new connection has a response within a time.
func servedWithin(t *testing.T, address string, limit time.Duration) bool {
	t.Helper()
	c, r := connect(t, address)
	if err := c.SetDeadline(time.Now().Add(limit)); err != nil {
		return false
	}
	defer c.Close()
	return get(t, c, r, "/", "") == http.StatusNoContent
}

// minOpen is less than the descriptors that the process under test has left for callers.
const (
	testDescriptors = 64
	minOpen         = 40
)

// TestReadyServerAcceptsConnections guards against a server that is ready and accepts nobody
// while callers hold connections: idle ones, more than it has descriptors for; and ones on
// which they read nothing.
func TestReadyServerAcceptsConnections(t *testing.T) {
	for name, test := range map[string]struct {
		connections int
		path        string
	}{
		"idle connections":                      {minOpen, "/"},
		"idle connections beyond the limit":     {2 * testDescriptors, "/"},
		"callers that read nothing":             {minOpen, "/large"},
		"idle connections without any requests": {minOpen, ""},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			address, isReady := startWithDescriptors(t, testDescriptors)
			for range test.connections {
				c, r := connect(t, address)
				switch test.path {
				case "/":
					is.NoErr(c.SetDeadline(time.Now().Add(4 * minIdleTime)))
					is.Equal(get(t, c, r, "/", ""), http.StatusNoContent)
				case "/large":
					_, err := io.WriteString(c, "GET /large HTTP/1.1\r\nHost: a.example\r\n\r\n")
					is.NoErr(err)
				}
			}
			for range 7 {
				is.True(servedWithin(t, address, 4*minIdleTime))
			}
			is.True(isReady())
		})
	}
}

// TestServerWithoutDescriptorsIsNotReady guards against a server that is ready while requests
// hold all of its descriptors, so that it can accept nobody, and that isn't ready again after.
func TestServerWithoutDescriptorsIsNotReady(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	address, isReady := startWithDescriptors(t, testDescriptors)
	is.True(isReady())
	for range testDescriptors {
		c, _ := connect(t, address)
		_, err := io.WriteString(c, "GET /slow HTTP/1.1\r\nHost: a.example\r\n\r\n")
		is.NoErr(err)
	}
	await := func(ready bool) {
		for end := time.Now().Add(2 * slowTime); isReady() != ready; time.Sleep(20 * time.Millisecond) {
			if time.Now().After(end) {
				t.Fatalf("not ready=%t within %v", ready, 2*slowTime)
			}
		}
	}
	await(false)
	await(true)
	is.True(servedWithin(t, address, 2*slowTime))
}

// deadlineConn is a connection that records its read deadline.
type deadlineConn struct {
	net.Conn
	deadline time.Time
}

func (c *deadlineConn) SetReadDeadline(t time.Time) error {
	c.deadline = t
	return nil
}

// TestRequestOnConnectionThatIsBeingClosedIsServed guards against a request that arrives on an idle
// connection as that is closed for a new one: the deadline that closes it would end the request.
func TestRequestOnConnectionThatIsBeingClosedIsServed(t *testing.T) {
	is := is.New(t)
	s := NewServer(http.NotFoundHandler(), log.New(io.Discard, log.Text, "test"))
	c := &deadlineConn{}
	s.connectionChanged(s.current, c, http.StateIdle)
	s.mu.Lock()
	is.Equal(s.closeLongestIdle(time.Now().Add(time.Minute)), 1)
	s.mu.Unlock()
	is.True(!c.deadline.IsZero())
	s.connectionChanged(s.current, c, http.StateActive)
	is.True(c.deadline.IsZero())
}
