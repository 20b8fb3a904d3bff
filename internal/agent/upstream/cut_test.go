package upstream

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"bramleydeal/internal/standin/serve"
	"github.com/matryer/is"
)

// runAgainst sends a request to an upstream that answers with what answer writes.
func runAgainst(ctx context.Context, t *testing.T, r Request, answer func(io.Writer)) (b *Buffer, mayHaveRun bool) {
	t.Helper()
	address, stop, err := serve.Connections(func(c net.Conn) {
		defer c.Close()
		if q, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.Copy(io.Discard, q.Body)
			answer(c)
		}
	})
	if err != nil {
		t.Fatal(err)
	}
	defer stop()
	b = NewBuffer(1 << 16)
	return b, NewClient(address).Run(ctx, r, b)
}

// TestResponseCutAtAnyByteIsIncomplete guards against an upstream that stops within its response and
// closes the connection: the rest must not count as a whole response, nor the request as not run.
func TestResponseCutAtAnyByteIsIncomplete(t *testing.T) {
	const body = "data: a\n\ndata: [DONE]\n\n"
	for name, response := range map[string]string{
		"length":        "HTTP/1.1 200 OK\r\nX-Own: 1\r\nContent-Length: 23\r\n\r\n" + body,
		"chunks":        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n17\r\n" + body + "\r\n0\r\n\r\n",
		"until close":   "HTTP/1.1 200 OK\r\nX-Own: 1\r\n\r\n" + body,
		"interim heads": "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 23\r\n\r\n" + body,
	} {
		for kind, r := range map[string]Request{
			"stream": {Method: "POST", Path: "/", Events: true, StreamID: "w~k"}, "plain": {Method: "POST", Path: "/"},
		} {
			t.Run(name+" "+kind, func(t *testing.T) {
				is := is.New(t)
				for cut := range len(response) + 1 {
					b, ran := runAgainst(t.Context(), t, r, func(w io.Writer) { _, _ = io.WriteString(w, response[:cut]) })
					is.True(ran)
					// Without a framing, a whole head is followed by all until the end, and the end
					// of a stream is known from its last event.
					unframed := name == "until close" && kind == "plain" && cut >= strings.Index(response, "\r\n\r\n")+4
					done := kind == "stream" && strings.Contains(response[:cut], body) && name == "until close"
					if got, want := b.Ended().Complete, cut == len(response) || unframed || done; got != want {
						t.Errorf("%q: complete is %v", response[:cut], got)
					}
				}
			})
		}
	}
}

// TestEndlessResponseEnds guards against an upstream that sends bytes without end using up the
// agent's memory and the request's time, where they are no body that a caller reads.
func TestEndlessResponseEnds(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	for name, test := range map[string]struct{ begin, piece string }{
		"no answer":          {"", "x"},
		"status line":        {"HTTP/1.1 200 ", "O"},
		"one header":         {head + "X-Long: ", "x"},
		"many headers":       {head, "X-Header: value\r\n"},
		"interim heads":      {"", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
		"an event":           {head + "\r\ndata: ", "x"},
		"a chunk extension":  {head + "Transfer-Encoding: chunked\r\n\r\n1;", "x"},
		"chunks of one byte": {head + "Transfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("x", 200) + "\r\nx\r\n"},
		"trailers":           {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Trailer: value\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			sent := 0
			b, ran := runAgainst(ctx, t, Request{Method: "POST", Path: "/", Events: true, StreamID: "w~k"}, func(w io.Writer) {
				_, err := io.WriteString(w, test.begin)
				for block := bytes.Repeat([]byte(test.piece), 1+8192/len(test.piece)); err == nil; {
					var n int
					n, err = w.Write(block)
					sent += n
				}
			})
			is.NoErr(ctx.Err())
			is.True(ran)
			is.True(!b.Ended().Complete)
			is.True(sent < 16<<20) // with what the buffers of the connection hold
		})
	}
}
