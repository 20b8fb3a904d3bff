package crowd

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// httpDoor is an address at which a process serves HTTP.
type httpDoor struct {
	address netip.AddrPort
	// method, path and head are those of the crowd's requests: head has the lines that a proper
	// request needs.
	method, path string
	head         string
	// headBytes and bodyBytes are the largest head and body that are permitted.
	headBytes, bodyBytes int
	// ordinary sends one ordinary request, and returns its status and the time after which to come
	// back.
	ordinary func(ctx context.Context) (status int, retryAfter time.Duration, err error)
}

// httpCrowd is a number of clients that send the same bytes and stay connected.
type httpCrowd struct {
	name string
	size int
	// content returns what a client sends.
	content func(httpDoor) io.Reader
	// deaf clients take hardly any bytes of their answers.
	deaf bool
}

// headRoom is left of the permitted size of a head for the request line and the proper lines.
const headRoom = 600

// requestHead returns the head of a request with the given further lines.
func (d httpDoor) requestHead(lines ...string) string {
	return d.method + " " + d.path + " HTTP/1.1\r\n" + d.head + strings.Join(lines, "")
}

// manyNames returns header lines with as many names as fit into n bytes.
func manyNames(n int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz0123456789"
	var b strings.Builder
	for i := 0; b.Len() < n-6; i++ {
		b.WriteString("x")
		for j := i; ; j /= len(letters) {
			b.WriteByte(letters[j%len(letters)])
			if j < len(letters) {
				break
			}
		}
		b.WriteString(":\r\n")
	}
	return b.String()
}

// listedNames returns a header line that lists as many names as fit into n bytes.
func listedNames(name string, n int) string {
	names := strings.ReplaceAll(manyNames(2*n), ":\r\n", ",")[:n-len(name)-4]
	return name + ": " + names[:strings.LastIndexByte(names, ',')] + "\r\n"
}

// repeated returns as many copies of a text as fit into n bytes.
func repeated(text string, n int) string { return strings.Repeat(text, n/len(text)) }

// chunks returns a reader of a chunked body of the given size, without its last chunk.
func chunks(chunk, size int) io.Reader {
	one := fmt.Sprintf("%x\r\n%s\r\n", chunk, strings.Repeat("x", chunk))
	batch := strings.Repeat(one, max(1, 32<<10/len(one)))
	var parts []io.Reader
	for left := size / chunk * len(one); left > 0; left -= len(batch) {
		parts = append(parts, strings.NewReader(batch[:min(len(batch), left)]))
	}
	return io.MultiReader(parts...)
}

// text returns the content of a crowd that is the same for the whole crowd.
func text(s string) io.Reader { return strings.NewReader(s) }

// body returns n bytes of a body.
func body(n int) io.Reader { return io.LimitReader(zeros{}, int64(n)) }

// zeros is an endless reader of zero bytes.
type zeros struct{}

// Read implements io.Reader.
func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

// Sizes of the crowds. Each holds far more than a process may take if nothing bounds it.
const (
	headCrowd = 900
	bodyCrowd = 150
	bodySize  = 2 << 20
	idleCrowd = 1400
)

// oneShort is the part of a request that declares a body of two bytes and sends one.
const oneShort = "Content-Length: 2\r\n\r\nx"

// heads are the crowds of heads of a permitted size that cost more memory than bytes.
func heads() []httpCrowd {
	long := func(d httpDoor, lines string, end string) io.Reader { return text(d.requestHead(lines) + end) }
	return []httpCrowd{
		{name: "many names", size: headCrowd, content: func(d httpDoor) io.Reader { return long(d, manyNames(d.headBytes-headRoom), oneShort) }},
		{name: "one name repeated", size: headCrowd, content: func(d httpDoor) io.Reader { return long(d, repeated("a:\r\n", d.headBytes-headRoom), oneShort) }},
		{name: "folded lines", size: headCrowd, content: func(d httpDoor) io.Reader {
			return long(d, "a: b\r\n"+repeated(" c\r\n", d.headBytes-headRoom), oneShort)
		}},
		{name: "names in lists", size: headCrowd, content: func(d httpDoor) io.Reader {
			return long(d, listedNames("Trailer", d.headBytes-headRoom), "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n")
		}},
		{name: "unfinished", size: headCrowd, content: func(d httpDoor) io.Reader { return text(d.requestHead(manyNames(d.headBytes - headRoom))) }},
	}
}

// trailers are the crowds of chunked bodies with many lines after the last chunk.
func trailers() []httpCrowd {
	const lines = 3500
	start := func(d httpDoor) string {
		return d.requestHead(manyNames(d.headBytes-headRoom-lines), "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n") + manyNames(lines)
	}
	return []httpCrowd{
		{name: "trailers", size: headCrowd, content: func(d httpDoor) io.Reader { return text(start(d) + "\r\n") }},
		{name: "unfinished trailers", size: headCrowd, content: func(d httpDoor) io.Reader { return text(start(d)) }},
	}
}

// wholeHeads are the crowds of whole requests with long heads.
func wholeHeads() []httpCrowd {
	return []httpCrowd{
		{name: "whole requests of many names", size: headCrowd, content: func(d httpDoor) io.Reader {
			return text(d.requestHead(manyNames(d.headBytes-headRoom), "Content-Length: 0\r\n\r\n"))
		}},
	}
}

// bodies are the crowds of long bodies.
func bodies() []httpCrowd {
	size := func(d httpDoor) int { return min(bodySize, d.bodyBytes) }
	withLength := func(d httpDoor, sent int) io.Reader {
		return io.MultiReader(text(d.requestHead(fmt.Sprintf("Content-Length: %d\r\n\r\n", size(d)))), body(sent))
	}
	chunked := func(d httpDoor, chunk int, rest io.Reader) io.Reader {
		return io.MultiReader(text(d.requestHead("Transfer-Encoding: chunked\r\n\r\n")), rest)
	}
	return []httpCrowd{
		{name: "whole bodies", size: bodyCrowd, content: func(d httpDoor) io.Reader { return withLength(d, size(d)) }},
		{name: "bodies that stop short", size: bodyCrowd, content: func(d httpDoor) io.Reader { return withLength(d, size(d)-1) }},
		{name: "large chunks that stop short", size: bodyCrowd, content: func(d httpDoor) io.Reader { return chunked(d, 64<<10, chunks(64<<10, size(d))) }},
		{name: "small chunks that stop short", size: bodyCrowd, content: func(d httpDoor) io.Reader { return chunked(d, 8, chunks(8, size(d)/2)) }},
	}
}

// silent are the crowds of connections on which nothing is asked for.
func silent() []httpCrowd {
	return []httpCrowd{{name: "silent connections", size: idleCrowd, content: func(httpDoor) io.Reader { return text("") }}}
}

// deaf are the crowds that don't read their answers. A request asks for an answer at path.
func deaf(size int, path string) []httpCrowd {
	return []httpCrowd{{name: "answers not read", size: size, deaf: true, content: func(d httpDoor) io.Reader {
		d.path = path
		return text(d.requestHead("Content-Length: 0\r\n\r\n"))
	}}}
}

// join opens the connections of the crowd and sends its content. They stay open until the test ends,
// unless the process closes them.
func (c httpCrowd) join(t *testing.T, d httpDoor) {
	t.Helper()
	var sending sync.WaitGroup
	slots := make(chan struct{}, 64) // clients that send at a time
	for range c.size {
		connection, err := c.dial(t.Context(), d.address)
		if err != nil {
			continue // the process has refused the connection
		}
		t.Cleanup(func() { _ = connection.Close() })
		slots <- struct{}{}
		sending.Go(func() {
			defer func() { <-slots }()
			// An error means that the process has closed the connection, or reads no further.
			_ = connection.SetWriteDeadline(time.Now().Add(sendTimeout))
			_, _ = io.Copy(connection, c.content(d))
		})
	}
	sending.Wait()
	time.Sleep(settleTime)
}

// sendTimeout bounds the time in which a client of a crowd sends its content. settleTime is the time
// in which a process takes in what a crowd has sent.
const (
	sendTimeout = 2 * time.Second
	settleTime  = 500 * time.Millisecond
)

// dial opens a connection.
func (c httpCrowd) dial(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
	dialer := net.Dialer{Timeout: time.Second}
	if c.deaf {
		dialer.Control = func(_, _ string, raw syscall.RawConn) error {
			// Small segments, as outside loopback, keep the kernel's send buffers small. Errors show in
			// that answers are taken.
			return raw.Control(func(fd uintptr) {
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 1)
				_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 536)
			})
		}
	}
	return dialer.DialContext(ctx, "tcp", to.String())
}

// attempts is how often an ordinary client comes back after a promise that its request has not run,
// as the clients of the deployments do.
const attempts = 10

// checkOrdinary fails the test unless an ordinary request is answered.
func checkOrdinary(t *testing.T, d httpDoor) {
	t.Helper()
	last := ""
	for range attempts {
		ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
		status, after, err := d.ordinary(ctx)
		cancel()
		if err == nil && status < http.StatusBadRequest {
			return
		}
		last = fmt.Sprintf("status %d, error %v", status, err)
		if err == nil && status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests {
			break
		}
		time.Sleep(max(after, 100*time.Millisecond))
	}
	t.Errorf("an ordinary request is not answered while the crowd is connected: %s", last)
}

// sendHTTP sends a request on a connection of its own.
func sendHTTP(ctx context.Context, to netip.AddrPort, method, path string, content string, header map[string]string) (int, time.Duration, error) {
	q, err := http.NewRequestWithContext(ctx, method, "http://"+to.String()+path, bytes.NewReader([]byte(content)))
	if err != nil {
		return 0, 0, err
	}
	for name, value := range header {
		if name == "Host" {
			q.Host = value
		}
		q.Header.Set(name, value)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(q)
	if err != nil {
		return 0, 0, err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, 0, err
	}
	seconds, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	return response.StatusCode, time.Duration(seconds * float64(time.Second)), nil
}
