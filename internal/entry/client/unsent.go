package client

import (
	"errors"
	"net"
	"syscall"

	coreupstream "bramleydeal/internal/core/upstream"
)

// unsentOutcome returns the outcome of an attempt that failed with err before anything was sent.
// What this host lacks, file descriptors or ports, says nothing of the upstream.
func unsentOutcome(err error) coreupstream.PoolOutcome {
	timeout := net.Error(nil)
	switch {
	case errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.ENFILE), errors.Is(err, syscall.EADDRNOTAVAIL):
		return coreupstream.CallerLeft
	case errors.As(err, &timeout) && timeout.Timeout():
		return coreupstream.ConnectTimeout
	default:
		return coreupstream.Unreachable
	}
}
