package http10_test

import (
	"crypto/tls"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"bramleydeal/internal/wire/http10"
	"github.com/matryer/is"
)

// TestBrokenResponseDoesNotLookWhole guards against a response that breaks off and looks whole to a
// caller for which the end of the connection is the end of the body.
func TestBrokenResponseDoesNotLookWhole(t *testing.T) {
	for _, protocol := range []string{"HTTP/1.0", "HTTP/1.1"} {
		for path, breaks := range map[string]bool{"/whole": false, "/broken": true} {
			for _, secure := range []bool{false, true} {
				t.Run(fmt.Sprint(protocol, path, " TLS ", secure), func(t *testing.T) {
					is := is.New(t)
					s := httptest.NewUnstartedServer(http10.ResetBroken(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
						_, err := io.WriteString(w, "begin")
						is.NoErr(err)
						is.NoErr(http.NewResponseController(w).Flush())
						if breaks {
							panic(http.ErrAbortHandler)
						}
					})))
					s.Config.ConnContext = http10.KeepConnection
					dial := func() (net.Conn, error) { return net.Dial("tcp", s.Listener.Addr().String()) }
					if secure {
						s.StartTLS()
						dial = func() (net.Conn, error) {
							return tls.Dial("tcp", s.Listener.Addr().String(), s.Client().Transport.(*http.Transport).TLSClientConfig)
						}
					} else {
						s.Start()
					}
					defer s.Close()
					c, err := dial()
					is.NoErr(err)
					defer c.Close()
					_, err = io.WriteString(c, "GET "+path+" "+protocol+"\r\nHost: h\r\nConnection: close\r\n\r\n")
					is.NoErr(err)
					got, err := io.ReadAll(c)
					whole := err == nil && (protocol == "HTTP/1.0" || strings.HasSuffix(string(got), "\r\n0\r\n\r\n"))
					is.Equal(whole, !breaks)
				})
			}
		}
	}
}
