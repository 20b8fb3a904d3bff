package client

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"

	coreupstream "bramleydeal/internal/core/upstream"
	"bramleydeal/internal/entry/upstream"
	"github.com/matryer/is"
)

// TestLackOfDescriptorsBlamesNoUpstream guards against an entry without file descriptors that
// ejects one upstream after the other because it cannot connect to any.
func TestLackOfDescriptorsBlamesNoUpstream(t *testing.T) {
	for err, want := range map[error]coreupstream.PoolOutcome{
		os.NewSyscallError("socket", syscall.EMFILE):          coreupstream.CallerLeft,
		os.NewSyscallError("connect", syscall.EADDRNOTAVAIL):  coreupstream.CallerLeft,
		os.NewSyscallError("connect", syscall.ECONNREFUSED):   coreupstream.Unreachable,
		os.NewSyscallError("connect", syscall.EHOSTUNREACH):   coreupstream.Unreachable,
		os.NewSyscallError("connect", os.ErrDeadlineExceeded): coreupstream.ConnectTimeout,
	} {
		is.New(t).Equal(unsentOutcome(errors.Join(upstream.ErrUnsent, &net.OpError{Op: "dial", Err: err})), want)
	}
}
