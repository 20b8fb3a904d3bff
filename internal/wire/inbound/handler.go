package inbound

import (
	"net/http"
)

// Plain returns a handler that calls next for each request for which there is room, and answers others
// with status 503. It is meant for addresses that serve only a process's own state.
func Plain(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c := FromContext(r.Context())
		defer c.End()
		if !c.Begin() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		next.ServeHTTP(w, r)
	})
}
