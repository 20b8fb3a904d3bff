// Package serve runs a stand-in's handler on a listener until told to stop.
package serve

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/samber/oops"
)

const readHeaderTimeout = 10 * time.Second

// HTTP serves h at address until ctx ends.
func HTTP(ctx context.Context, address netip.AddrPort, h http.Handler) error {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return oops.Code("listen").Wrapf(err, "-listen: give another address")
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() {
		// The stand-in is going; an error while closing changes nothing.
		_ = server.Close()
	})
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return oops.Code("listen").Wrap(err)
	}
	return nil
}
