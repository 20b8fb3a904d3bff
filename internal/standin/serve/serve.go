// Package serve runs the HTTP server of a stand-in.
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

// readHeaderTimeout bounds the time to read the header of a request.
const readHeaderTimeout = 10 * time.Second

// HTTP serves h at address until ctx ends, and then closes all connections. It
// returns an error if it cannot listen there or the listener fails.
func HTTP(ctx context.Context, address netip.AddrPort, h http.Handler) error {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return oops.Code("listen").Wrapf(err, "-listen: give another address")
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() {
		// The server stops in any case; nothing depends on an error here.
		_ = server.Close()
	})
	defer stop()
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return oops.Code("listen").Wrap(err)
	}
	return nil
}
