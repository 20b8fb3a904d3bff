// Package header owns which HTTP headers are passed on between callers and
// upstreams.
package header

import "net/http"

// hopHeaders belong to one connection and are not passed on.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// IsHop tells whether a header belongs to one connection only.
func IsHopByHop(name string) bool { return hopByHopHeaders[http.CanonicalHeaderKey(name)] }
