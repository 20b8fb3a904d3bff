// Package debug serves the metrics, the debug state and the profiles of a process on a
// separate listener.
package debug

import (
	"context"
	"encoding/json"
	"expvar"
	"net"
	"net/http"
	"net/http/pprof"
	"net/netip"
	"time"

	"bramleydeal/internal/wire/inbound"
	"github.com/VictoriaMetrics/metrics"
	"github.com/go-chi/chi/v5"
	"github.com/samber/oops"
)

// Option adds endpoints to the debug handler.
type Option func(chi.Router)

// WithMetrics serves the metrics of set and those of the process itself at /metrics,
// in the Prometheus text exposition format.
func WithMetrics(set *metrics.Set) Option {
	return func(r chi.Router) {
		r.Get("/metrics", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/plain; version=0.0.4")
			set.WritePrometheus(w)
			metrics.WriteProcessMetrics(w)
		})
	}
}

// Handler returns the handler of /debug/vars, /debug/state and the profiles under
// /debug/pprof/. It calls state for the debug state at each GET of /debug/state.
// If drain is not nil, it is called for each POST /debug/drain.
func Handler(vars *expvar.Map, state func() any, drain func(), options ...Option) http.Handler {
	r := chi.NewRouter()
	for _, o := range options {
		o(r)
	}
	r.Get("/debug/vars", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		// A write error means that the client closed the connection.
		_, _ = w.Write([]byte(vars.String()))
	})
	r.Get("/debug/state", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		_ = e.Encode(state())
	})
	if drain != nil {
		r.Post("/debug/drain", func(w http.ResponseWriter, _ *http.Request) {
			drain()
			w.WriteHeader(http.StatusAccepted)
		})
	}
	r.HandleFunc("/debug/pprof/*", pprof.Index)
	r.HandleFunc("/debug/pprof/profile", pprof.Profile)
	return r
}

// Limits of the clients.
const (
	// shutdownTimeout is the time for which a closing server waits for pending requests.
	// It is also the timeout for reading a request's header.
	shutdownTimeout = time.Second
	// readTimeout bounds the time in which a request arrives whole, writeTimeout the time until its
	// response was sent, which can be a profile of some seconds, and idleTimeout the time that a
	// connection stays open without a request.
	readTimeout  = 5 * time.Second
	writeTimeout = 2 * time.Minute
	idleTimeout  = time.Minute
	// maxHeaderBytes is the longest header of a request.
	maxHeaderBytes = 16 << 10
)

// Serve serves h at address until ctx ends, to clients that are counted in b. It returns an error
// with the code listen if it cannot listen at address, and http.ErrServerClosed after ctx ended.
func Serve(ctx context.Context, address netip.AddrPort, h http.Handler, b *inbound.Budget) error {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return oops.Code("listen").Wrapf(err, "debug-listen: give another address")
	}
	server := &http.Server{
		Handler: inbound.Plain(h), MaxHeaderBytes: maxHeaderBytes,
		ReadHeaderTimeout: shutdownTimeout, ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout,
	}
	inbound.Configure(server)
	stop := context.AfterFunc(ctx, func() {
		shutdownCtx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		// The process is stopping, so an error is of no consequence.
		_ = server.Shutdown(shutdownCtx)
	})
	defer stop()
	return server.Serve(b.Listener(listener, b.Plain()))
}
