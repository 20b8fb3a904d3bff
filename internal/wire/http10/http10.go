// Package http10 serves callers that speak HTTP/1.0. They know no chunks: a response without a
// length ends where its connection is closed, so one that breaks off must end with a reset.
package http10

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
)

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

// KeepConnection is the ConnContext function of a server whose handler is one of ResetBroken.
func KeepConnection(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, c)
}

// ResetBroken returns a handler that calls next. If next panics, as it does to break off a
// response, the connection of a caller that speaks HTTP/1.0 is reset instead of closed. Later
// versions see from the framing that the response isn't complete, and keep what has arrived.
func ResetBroken(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		returned := false
		defer func() {
			if !returned && !r.ProtoAtLeast(1, 1) {
				resetOnClose(r.Context())
			}
		}()
		next.ServeHTTP(w, r)
		returned = true
	})
}

// resetOnClose makes the connection of a request end with a reset when the server closes it.
// One with TLS ends at once, before TLS can tell the caller that nothing is missing.
func resetOnClose(ctx context.Context) {
	c, _ := ctx.Value(connectionKey{}).(net.Conn)
	isSecure := false
	for {
		outer, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		if _, ok := c.(*tls.Conn); ok {
			isSecure = true
		}
		c = outer.NetConn()
	}
	if t, ok := c.(*net.TCPConn); ok {
		// Errors mean that the connection has ended.
		_ = t.SetLinger(0)
		if isSecure {
			_ = t.Close()
		}
	}
}
