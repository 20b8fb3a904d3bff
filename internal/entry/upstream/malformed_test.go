package upstream

import (
	"io"
	"net"
	"testing"
)

// malformedResponses are responses that break the grammar in their heads or trailers, by what breaks it.
var malformedResponses = map[string]string{
	"status of 000":                     "HTTP/1.1 000 OK\r\nContent-Length: 1\r\n\r\n0",
	"status of 000 before a sound head": "HTTP/1.1 000 OK\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n0",
	"status of 099":                     "HTTP/1.1 099 OK\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n0",
	"status with a sign":                "HTTP/1.1 +20 OK\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n0",
	"status of 600":                     "HTTP/1.1 600 Odd\r\nContent-Length: 1\r\n\r\n0",
	"status of four digits":             "HTTP/1.1 2000 OK\r\nContent-Length: 1\r\n\r\n0",
	"two blanks before the status":      "HTTP/1.1  200 OK\r\nContent-Length: 1\r\n\r\n0",
	"no blank after the status":         "HTTP/1.1 200\r\nContent-Length: 1\r\n\r\n0",
	"control byte in the reason":        "HTTP/1.1 200 O\x01K\r\nContent-Length: 1\r\n\r\n0",
	"another version":                   "HTTP/3.1 200 OK\r\nContent-Length: 1\r\n\r\n0",
	"blank before the colon":            "HTTP/1.1 200 OK\r\nContent-Length : 1\r\n\r\n0",
	"blank within a name":               "HTTP/1.1 200 OK\r\nX Y: 1\r\nContent-Length: 1\r\n\r\n0",
	"control byte in a name":            "HTTP/1.1 200 OK\r\nX\x01Y: 1\r\nContent-Length: 1\r\n\r\n0",
	"empty name":                        "HTTP/1.1 200 OK\r\n: 1\r\nContent-Length: 1\r\n\r\n0",
	"line without a name":               "HTTP/1.1 200 OK\r\n X: 1\r\nContent-Length: 1\r\n\r\n0",
	"control byte in a value":           "HTTP/1.1 200 OK\r\nX: \x01\r\nContent-Length: 1\r\n\r\n0",
	"blank in a name of an interim":     "HTTP/1.1 103 Early Hints\r\nLink : </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n0",
	"empty name in an interim":          "HTTP/1.1 103 Early Hints\r\n: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n0",
	"blank in a name of the trailer":    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n0\r\n0\r\nX Y: 1\r\n\r\n",
	"control byte in the trailer":       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n0\r\n0\r\nX\x01: 1\r\n\r\n",
	"chunks of HTTP/1.0":                "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n0\r\n0\r\n\r\n",
}

// TestMalformedResponseIsNone guards against bytes of an upstream in trouble that callers got as
// a response: with a status that there is none of, or with a head or trailer that is none.
func TestMalformedResponseIsNone(t *testing.T) {
	for name, response := range malformedResponses {
		t.Run(name, func(t *testing.T) {
			address := rawUpstream(t, func(c net.Conn) { _, _ = io.WriteString(c, response) })
			x, err := Send(t.Context(), address, &Request{Method: "GET", Target: "/", Host: "h"})
			if err != nil {
				return
			}
			defer x.Close()
			if body, _, err := x.ReadBody(1 << 10); err == nil {
				t.Errorf("status %d, head %q, body %q", x.Response.StatusCode, x.Response.Header, body)
			}
		})
	}
}
