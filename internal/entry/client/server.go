package client

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"bramleydeal/internal/process/log"
	"bramleydeal/internal/world/service"
	"github.com/samber/oops"
)

// Server accepts callers' connections. A connection keeps the limits that were in
// force when it was opened.
type Server struct {
	handler http.Handler
	log     *log.Logger

	// mu guards all below.
	mu       sync.Mutex
	listener net.Listener
	limits   service.Limits
	current  *generation
	// former hold connections that were opened under other limits.
	former []*generation
	// leaving servers keep no connection after its answer.
	leaving, closed bool
}

// generation serves the connections that were opened under one set of limits. It
// is the listener of its own HTTP server.
type generation struct {
	server   *http.Server
	incoming chan net.Conn
	// ended is closed, by end, when no more connections come.
	ended chan struct{}
	end   sync.Once
	// connections is guarded by the Server's mu.
	connections int
}

// NewServer returns a server of h.
func NewServer(h http.Handler, l *log.Logger) *Server {
	s := &Server{handler: h, log: l}
	s.current = s.begin(service.Limits{})
	return s
}

// Accept implements net.Listener.
func (g *generation) Accept() (net.Conn, error) {
	select {
	case c := <-g.incoming:
		return c, nil
	case <-g.ended:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (g *generation) Close() error {
	g.end.Do(func() { close(g.ended) })
	return nil
}

// Addr implements net.Listener.
func (g *generation) Addr() net.Addr { return &net.TCPAddr{} }

// begin starts serving connections under limits; s.mu is held once s is in use.
func (s *Server) begin(l service.Limits) *generation {
	l = l.Effective()
	g := &generation{incoming: make(chan net.Conn), ended: make(chan struct{})}
	g.server = &http.Server{
		Handler:           s.handler,
		ReadHeaderTimeout: l.HeaderTimeout,
		IdleTimeout:       l.IdleTimeout,
		MaxHeaderBytes:    int(l.HeaderBytes),
		ErrorLog:          s.log.Standard("client"),
	}
	g.server.ConnState = func(_ net.Conn, state http.ConnState) {
		if state == http.StateClosed || state == http.StateHijacked {
			s.closedOne(g)
		}
	}
	g.server.SetKeepAlivesEnabled(!s.leaving)
	go func() {
		// It ends with an error that says that the generation has ended.
		_ = g.server.Serve(g)
	}()
	return g
}

// Configure takes limits into force for the connections that are opened from now
// on.
func (s *Server) Configure(l service.Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// A body is bounded for each request by itself.
	l.BodyBytes = 0
	if s.closed || l == s.limits {
		return
	}
	s.limits = l
	old := s.current
	s.current = s.begin(l)
	_ = old.Close() // closes a channel, which does not fail
	if old.connections > 0 {
		s.former = append(s.former, old)
	}
}

// closedOne counts a connection that ended and forgets generations without any.
func (s *Server) closedOne(g *generation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	g.connections--
	if g.connections == 0 {
		s.former = slices.DeleteFunc(s.former, func(f *generation) bool { return f == g })
	}
}

// Serve accepts connections until Shutdown or Close; it then returns
// http.ErrServerClosed.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	for {
		c, err := l.Accept()
		switch {
		case err == nil:
			s.handOver(c)
		case s.isClosed():
			return http.ErrServerClosed
		case errors.Is(err, net.ErrClosed):
			return oops.Code("listen").Wrapf(err, "accept callers' connections")
		default:
			// A lack of descriptors passes.
			s.log.Component("client").Error(err, "a caller's connection was not accepted")
			time.Sleep(acceptPause)
		}
	}
}

// acceptPause is the pause after a connection could not be accepted; descriptors
// are freed by requests that end.
const acceptPause = 20 * time.Millisecond

// handOver gives a connection to the generation of the limits in force.
func (s *Server) handOver(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = c.Close() // nothing was read from it
		return
	}
	s.current.connections++
	s.current.incoming <- c
}

func (s *Server) isClosed() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.closed
}

// AskToLeave closes connections without a request and ends the others after the
// answer that is under way.
func (s *Server) AskToLeave() {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	for _, g := range s.generations() {
		g.server.SetKeepAlivesEnabled(false)
	}
}

// Shutdown accepts no more connections and waits for the requests under way, or
// for ctx.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.stopAccepting()
	for _, g := range s.generations() {
		err = errors.Join(err, g.server.Shutdown(ctx))
	}
	return err
}

// Close ends everything at once.
func (s *Server) Close() error {
	err := s.stopAccepting()
	for _, g := range s.generations() {
		err = errors.Join(err, g.server.Close())
	}
	return err
}

// stopAccepting closes the listener; after the first time it does nothing.
func (s *Server) stopAccepting() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.listener == nil {
		s.closed = true
		return nil
	}
	s.closed = true
	return oops.Wrap(s.listener.Close())
}

func (s *Server) generations() []*generation {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append(slices.Clone(s.former), s.current)
}
