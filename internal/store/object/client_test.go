package object_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"bramleydeal/internal/standin/serve"
	"bramleydeal/internal/store/object"
	"github.com/matryer/is"
)

// clientOf returns a client of a store that answers with what answer writes.
func clientOf(t *testing.T, answer func(io.Writer)) (c *object.Client, stop func()) {
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
	return object.NewClient(address), stop
}

// TestAnswerCutAtAnyByteIsAnError guards against part of an answer that is taken for the whole: an
// object without its value, a list that says that all objects are gone.
func TestAnswerCutAtAnyByteIsAnError(t *testing.T) {
	for name, test := range map[string]struct {
		body string
		call func(context.Context, *object.Client) error
	}{
		"object": {`{"name":"a","version":3,"value":"eA=="}`, func(ctx context.Context, c *object.Client) error {
			_, err := c.Get(ctx, "a")
			return err
		}},
		"write": {`{"name":"a","version":3,"value":"eA=="}`, func(ctx context.Context, c *object.Client) error {
			_, err := c.Put(ctx, "a", []byte("x"), 2)
			return err
		}},
		"list": {`{"from":0,"revision":3,"objects":[{"name":"a","version":3,"value":"eA=="}]}`, func(ctx context.Context, c *object.Client) error {
			_, err := c.List(ctx, "")
			return err
		}},
		"watch": {`{"from":2,"revision":3,"objects":[{"name":"a","version":3,"value":"eA=="}]}`, func(ctx context.Context, c *object.Client) error {
			_, err := c.Watch(ctx, "", 2, 0)
			return err
		}},
	} {
		for framing, head := range map[string]string{
			"length": fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(test.body)), "until close": "HTTP/1.1 200 OK\r\n\r\n",
		} {
			t.Run(name+" "+framing, func(t *testing.T) {
				response := head + test.body
				for cut := range len(response) + 1 {
					c, stop := clientOf(t, func(w io.Writer) { _, _ = io.WriteString(w, response[:cut]) })
					if err := test.call(t.Context(), c); (err == nil) != (cut == len(response)) {
						t.Errorf("%q: %v", response[:cut], err)
					}
					stop()
				}
			})
		}
	}
}

// TestEndlessAnswerEnds guards against a store that sends bytes without end using up the memory or
// the time of a process.
func TestEndlessAnswerEnds(t *testing.T) {
	for name, test := range map[string]struct{ begin, piece string }{
		"no answer": {"", "x"}, "many headers": {"HTTP/1.1 200 OK\r\n", "X-Header: value\r\n"},
		"interim heads": {"", "HTTP/1.1 103 Early Hints\r\n\r\n"}, "a body": {"HTTP/1.1 200 OK\r\n\r\n{\"objects\":[", "{},"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
			defer cancel()
			block := strings.Repeat(test.piece, 16<<10/len(test.piece))
			sent := 0
			c, stop := clientOf(t, func(w io.Writer) {
				_, err := io.WriteString(w, test.begin)
				for err == nil {
					var n int
					n, err = io.WriteString(w, block)
					sent += n
				}
			})
			_, err := c.List(ctx, "")
			is.True(err != nil)
			is.NoErr(ctx.Err())
			stop()
			is.True(sent < 96<<20) // with what the buffers of the connection hold
		})
	}
}

// TestMalformedAnswerIsNone guards against an answer of a store in trouble that counts as an object.
func TestMalformedAnswerIsNone(t *testing.T) {
	const body = `{"name":"a","version":3}`
	for name, head := range map[string]string{
		"no blank after the status":     "HTTP/1.1 200\r\n\r\n",
		"status with a sign":            "HTTP/1.1 +20 OK\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
		"blank before the colon":        "HTTP/1.1 200 OK\r\nContent-Length : 24\r\n\r\n",
		"blank in a name of an interim": "HTTP/1.1 103 Early Hints\r\nLink : </a>\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			c, stop := clientOf(t, func(w io.Writer) { _, _ = io.WriteString(w, head+body) })
			defer stop()
			_, err := c.Get(t.Context(), "a")
			is.New(t).True(err != nil)
		})
	}
}
