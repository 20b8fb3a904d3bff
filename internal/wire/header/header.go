// Package header defines which HTTP headers are not forwarded between callers and
// upstreams, and reads those that all processes read.
package header

import (
	"mime"
	"net/http"
)

// hopByHopHeaders are the headers that apply to one connection only, by their canonical
// names.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// IsHopByHop reports whether a header is hop-by-hop: it applies to one connection only and
// must not be forwarded. The name is not case-sensitive.
func IsHopByHop(name string) bool { return hopByHopHeaders[http.CanonicalHeaderKey(name)] }

// IsEventStream reports whether the value of a Content-Type header is that of a stream of
// server-sent events.
func IsEventStream(contentType string) bool {
	kind, _, err := mime.ParseMediaType(contentType)
	return err == nil && kind == "text/event-stream"
}
