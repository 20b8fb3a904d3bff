package dial

import (
	"errors"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestReadyDistinguishesRefusedFromTimedOut guards against taking a peer that is only slow
// for one whose process has ended.
func TestReadyDistinguishesRefusedFromTimedOut(t *testing.T) {
	is := is.New(t)
	p := NewPool(nil, &Traffic{})
	defer p.Close()
	l, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections but never speaks HTTP/2
	is.NoErr(err)
	address := netip.MustParseAddrPort(l.Addr().String())
	_, err = p.Ready(t.Context(), address, 50*time.Millisecond)
	is.True(err != nil && !errors.Is(err, ErrRefused))
	is.NoErr(l.Close())
	other := NewPool(nil, &Traffic{})
	defer other.Close()
	_, err = other.Ready(t.Context(), address, 50*time.Millisecond)
	is.True(errors.Is(err, ErrRefused))
}
