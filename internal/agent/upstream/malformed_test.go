package upstream

import (
	"io"
	"testing"
)

// TestMalformedResponseIsIncomplete guards against bytes of an upstream in trouble that count as a response:
// with a status that there is none of, or with a head or trailer that is none.
func TestMalformedResponseIsIncomplete(t *testing.T) {
	for name, response := range map[string]string{
		"status of 000":                  "HTTP/1.1 000 OK\r\nContent-Length: 1\r\n\r\n0",
		"no blank after the status":      "HTTP/1.1 200\r\nContent-Length: 1\r\n\r\n0",
		"blank before the colon":         "HTTP/1.1 200 OK\r\nContent-Length : 1\r\n\r\n0",
		"control byte in a name":         "HTTP/1.1 200 OK\r\nX\x01Y: 1\r\nContent-Length: 1\r\n\r\n0",
		"empty name":                     "HTTP/1.1 200 OK\r\n: 1\r\nContent-Length: 1\r\n\r\n0",
		"blank in a name of an interim":  "HTTP/1.1 103 Early Hints\r\nLink : </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n0",
		"blank in a name of the trailer": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n0\r\n0\r\nX Y: 1\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			b, ran := runAgainst(t.Context(), t, Request{Method: "POST", Path: "/"}, func(w io.Writer) { _, _ = io.WriteString(w, response) })
			if !ran || b.Ended().Complete {
				head, body, _ := b.Complete()
				t.Errorf("ran is %v, head %+v, body %q", ran, head, body)
			}
		})
	}
}
