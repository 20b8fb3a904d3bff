package dial

import (
	"errors"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestReadyDistinguishesRefusedFromTimedOut(t *testing.T) {
	is := is.New(t)
	p := NewPool(nil, &Traffic{})
	defer p.Close()
	l, err := net.Listen("tcp", "127.0.0.1:0") // accepts, and never answers
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
