package client

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"bramleydeal/internal/process/clock"
	"bramleydeal/internal/process/log"
	"bramleydeal/internal/wire/http10"
	"bramleydeal/internal/wire/inbound"
	"bramleydeal/internal/world/service"
	"github.com/samber/oops"
)

// Server accepts callers' connections. Limits apply to connections opened after
// they were configured; an open connection keeps the limits that it was opened
// under.
type Server struct {
	handler http.Handler
	log     *log.Logger
	// budget counts what the connections hold, nil if nothing does.
	budget *inbound.Budget

	// mu guards the fields below.
	mu       sync.Mutex
	listener net.Listener
	limits   service.Limits
	current  *generation
	// previous are the generations with open connections under earlier limits.
	previous []*generation
	// idle holds the connections that wait for a request, and since when they do.
	idle   map[net.Conn]time.Time
	closed bool
	outage acceptOutage

	// closeAfterResponse is true once connections are closed after their next
	// response.
	closeAfterResponse atomic.Bool
}

// generation serves the connections that were opened under one set of limits.
// It implements net.Listener for its own HTTP server, since http.Server cannot
// change its limits while it runs.
type generation struct {
	server   *http.Server
	incoming chan net.Conn
	// closed is closed once the generation gets no more connections.
	closed    chan struct{}
	closeOnce sync.Once
	// connections is the number of open connections. It is guarded by
	// Server.mu.
	connections int
}

// ServerOption configures a Server.
type ServerOption func(*Server)

// WithBudget counts in b what the connections hold.
func WithBudget(b *inbound.Budget) ServerOption { return func(s *Server) { s.budget = b } }

// NewServer returns a server that passes requests to h, with default limits.
func NewServer(h http.Handler, l *log.Logger, options ...ServerOption) *Server {
	s := &Server{handler: h, log: l, idle: map[net.Conn]time.Time{}}
	for _, o := range options {
		o(s)
	}
	s.current = s.startGeneration(service.Limits{})
	return s
}

// Accept implements net.Listener.
func (g *generation) Accept() (net.Conn, error) {
	select {
	case c := <-g.incoming:
		return c, nil
	case <-g.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. Connections already accepted stay open.
func (g *generation) Close() error {
	g.closeOnce.Do(func() { close(g.closed) })
	return nil
}

// Addr implements net.Listener.
func (g *generation) Addr() net.Addr { return &net.TCPAddr{} }

// startGeneration starts serving connections under limits l. s.mu must be held,
// except in NewServer.
func (s *Server) startGeneration(l service.Limits) *generation {
	l = l.Effective()
	g := &generation{incoming: make(chan net.Conn), closed: make(chan struct{})}
	g.server = &http.Server{
		Handler:           http10.ResetBroken(http.HandlerFunc(s.serveRequest)),
		ConnContext:       withConnection,
		ReadHeaderTimeout: l.HeaderTimeout,
		IdleTimeout:       l.IdleTimeout,
		MaxHeaderBytes:    int(l.HeaderBytes),
		ErrorLog:          s.log.Standard("client"),
	}
	g.server.ConnState = func(c net.Conn, state http.ConnState) { s.connectionChanged(g, c, state) }
	go func() {
		// The error is ignored: Serve always ends with one when the generation
		// is closed.
		_ = g.server.Serve(g)
	}()
	return g
}

// withConnection returns the context of the requests on a connection.
func withConnection(ctx context.Context, c net.Conn) context.Context {
	return inbound.NewContext(http10.KeepConnection(ctx, c), c)
}

// Configure applies l, except BodyBytes, to the connections that are opened from
// now on.
func (s *Server) Configure(l service.Limits) {
	s.mu.Lock()
	defer s.mu.Unlock()
	// The size of a body is limited for each request by Handler.
	l.BodyBytes = 0
	if s.closed || l == s.limits {
		return
	}
	s.limits = l
	old := s.current
	s.current = s.startGeneration(l)
	_ = old.Close() // only closes a channel, never fails
	if old.connections > 0 {
		s.previous = append(s.previous, old)
	}
}

// serveRequest passes a request to the handler.
func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	if s.closeAfterResponse.Load() {
		w.Header().Set("Connection", "close")
	}
	s.handler.ServeHTTP(w, r)
}

// connectionChanged records the state of a connection of g. It removes g from the previous
// generations if its last connection was closed.
func (s *Server) connectionChanged(g *generation, c net.Conn, state http.ConnState) {
	if state == http.StateNew {
		return // dispatch, which holds s.mu, waits for g to accept the next connection
	}
	if counted, ok := c.(*inbound.Conn); ok && state == http.StateIdle {
		counted.Idle()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateIdle:
		s.idle[c] = time.Now()
	case http.StateActive:
		delete(s.idle, c)
		// A deadline that closeIdle or closeLongestIdle has set just now must not end this
		// request. An error means that the connection is closed, which the handler notices.
		_ = c.SetReadDeadline(time.Time{})
	case http.StateClosed, http.StateHijacked:
		delete(s.idle, c)
		g.connections--
		if g.connections == 0 {
			s.previous = slices.DeleteFunc(s.previous, func(f *generation) bool { return f == g })
		}
	}
}

// Serve accepts connections from l until Shutdown or Close is called, and then
// returns http.ErrServerClosed.
func (s *Server) Serve(l net.Listener) error {
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	for {
		c, err := l.Accept()
		switch {
		case err == nil:
			s.accepted()
			if c = s.count(c); c != nil {
				s.dispatch(c)
			}
		case s.isClosed():
			return http.ErrServerClosed
		case errors.Is(err, net.ErrClosed):
			s.mu.Lock()
			s.outage.final = true
			s.mu.Unlock()
			return oops.Code("listen").Wrapf(err, "accept callers' connections")
		default:
			s.acceptFailed(err)
			time.Sleep(acceptRetryDelay)
		}
	}
}

// count counts what a new connection holds. It closes the connection and returns nil if there is no
// room for it.
func (s *Server) count(c net.Conn) net.Conn {
	if s.budget == nil {
		return c
	}
	if counted := s.budget.Conn(c, s.budget.Callers()); counted != nil {
		return counted
	}
	return nil
}

// dispatch passes a new connection to the current generation.
func (s *Server) dispatch(c net.Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		_ = c.Close() // nothing was read from it, so no request is lost
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

// DisableKeepAlives makes connections close after their next response. Idle ones stay open
// until Shutdown: a request may be on its way on them.
func (s *Server) DisableKeepAlives() { s.closeAfterResponse.Store(true) }

// Timing of closing idle connections.
const (
	idleCloseTimeout = 200 * time.Millisecond
	idlePollInterval = 5 * time.Millisecond
)

// closeIdle closes the idle connections by a read deadline in the past. Unlike
// http.Server.Shutdown, which closes connections until their request has been read whole,
// it does not end a request that is being read.
func (s *Server) closeIdle(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, idleCloseTimeout)
	defer cancel()
	for s.expireIdle() > 0 && ctx.Err() == nil {
		clock.Sleep(ctx, idlePollInterval)
	}
}

// expireIdle sets the read deadlines of the idle connections and returns their number.
func (s *Server) expireIdle() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.idle {
		// An error means that the connection is closed.
		_ = c.SetReadDeadline(time.Now())
	}
	return len(s.idle)
}

// Shutdown stops accepting connections and waits until the requests in progress
// are done or ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.stopAccepting()
	s.closeIdle(ctx)
	for _, g := range s.generations() {
		err = errors.Join(err, g.server.Shutdown(ctx))
	}
	return err
}

// Close closes the listener and all connections immediately.
func (s *Server) Close() error {
	err := s.stopAccepting()
	for _, g := range s.generations() {
		err = errors.Join(err, g.server.Close())
	}
	return err
}

// stopAccepting closes the listener. Further calls do nothing.
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
	return append(slices.Clone(s.previous), s.current)
}
