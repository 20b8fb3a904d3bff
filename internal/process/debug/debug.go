// Package debug serves a process's metrics and the dump of its state on a
// listener of their own.
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

	"github.com/VictoriaMetrics/metrics"
	"github.com/go-chi/chi/v5"
	"github.com/samber/oops"
)

// Option configures the debug pages.
type Option func(chi.Router)

// WithMetrics serves counters and histograms at /metrics in the text exposition
// format, with those of the process itself.
func WithMetrics(set *metrics.Set) Option {
	return func(r chi.Router) {
		r.Get("/metrics", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/plain; version=0.0.4")
			set.WritePrometheus(w)
			metrics.WriteProcessMetrics(w)
		})
	}
}

// Handler returns the debug pages: /debug/vars, /debug/state and the profiles.
// state is called for each dump; drain, when not nil, answers POST /debug/drain.
func Handler(vars *expvar.Map, state func() any, drain func(), options ...Option) http.Handler {
	r := chi.NewRouter()
	for _, o := range options {
		o(r)
	}
	r.Get("/debug/vars", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		// A write error means that the reader has gone.
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

// shutdownTimeout bounds the closing of the debug listener.
const shutdownTimeout = time.Second

// Serve serves the debug pages at address until ctx ends.
func Serve(ctx context.Context, address netip.AddrPort, h http.Handler) error {
	listener, err := net.Listen("tcp", address.String())
	if err != nil {
		return oops.Code("listen").Wrapf(err, "debug-listen: give another address")
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: shutdownTimeout}
	stop := context.AfterFunc(ctx, func() {
		limited, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
		defer cancel()
		// The process is going; an error while closing changes nothing.
		_ = server.Shutdown(limited)
	})
	defer stop()
	return server.Serve(listener)
}
