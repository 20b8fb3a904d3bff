package client

import (
	"net"
	"slices"
	"time"
)

// Parameters of what a server does while it cannot accept connections, which is mostly for a
// lack of file descriptors.
const (
	// acceptRetryDelay is the delay after a failed accept. File descriptors are freed as
	// requests end.
	acceptRetryDelay = 20 * time.Millisecond
	// maxAcceptOutage is how long accepting may fail before the server says so. Callers are
	// sent to other entries then.
	maxAcceptOutage = 500 * time.Millisecond
	// minIdleTime is how long a connection must have been idle to be closed for a new one. A
	// request may be on its way on one that was in use just now.
	minIdleTime = time.Second
	// idleClosedShare is the part of the idle connections that is closed after a failed
	// accept, the longest idle ones first. More than one is closed, since each request
	// needs a descriptor for its upstream too.
	idleClosedShare = 1.0 / 16
)

// acceptOutage is the state of a server that fails to accept connections.
type acceptOutage struct {
	// since is when accepting first failed after the last success, zero while it works.
	since time.Time
	// final is set if the listener has failed for good.
	final bool
	// closedIdle is the number of idle connections that were closed meanwhile.
	closedIdle int
}

// Accepting reports whether the server can accept new connections, or could within
// maxAcceptOutage.
func (s *Server) Accepting() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.outage.final && (s.outage.since.IsZero() || time.Since(s.outage.since) < maxAcceptOutage)
}

// acceptFailed records that accepting has failed with an error that may be temporary, and
// closes connections that have been idle for long.
func (s *Server) acceptFailed(err error) {
	now := time.Now()
	s.mu.Lock()
	first := s.outage.since.IsZero()
	if first {
		s.outage.since = now
	}
	s.outage.closedIdle += s.closeLongestIdle(now)
	s.mu.Unlock()
	if first {
		s.log.Component("client").Error(err, "accepting callers' connections fails; closing the longest idle ones and retrying")
	}
}

// accepted records that a connection was accepted.
func (s *Server) accepted() {
	s.mu.Lock()
	outage := s.outage
	s.outage = acceptOutage{}
	s.mu.Unlock()
	if !outage.since.IsZero() {
		s.log.Component("client").Info("callers' connections are accepted again", "after-ms", time.Since(outage.since).Milliseconds(), "idle-closed", outage.closedIdle)
	}
}

// closeLongestIdle closes idleClosedShare of the connections, one at least, that have been idle
// for minIdleTime, and returns their number. s.mu must be held.
func (s *Server) closeLongestIdle(now time.Time) int {
	var idle []net.Conn
	for c, since := range s.idle {
		if now.Sub(since) >= minIdleTime {
			idle = append(idle, c)
		}
	}
	slices.SortFunc(idle, func(a, b net.Conn) int { return s.idle[a].Compare(s.idle[b]) })
	idle = idle[:min(len(idle), 1+int(idleClosedShare*float64(len(idle))))]
	for _, c := range idle {
		// An error means that the connection is closed.
		_ = c.SetReadDeadline(now)
		delete(s.idle, c)
	}
	return len(idle)
}
