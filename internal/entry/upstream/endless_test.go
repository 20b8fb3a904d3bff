package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/netip"
	"runtime"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// rawUpstream listens on loopback and passes each connection to serve once a request has
// begun to arrive.
func rawUpstream(t *testing.T, serve func(net.Conn)) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := c.Read(make([]byte, 4096)); err == nil {
					serve(c)
				}
			}()
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

// writeForEver writes begin and then piece until the connection is closed.
func writeForEver(begin, piece string) func(net.Conn) {
	return func(c net.Conn) {
		_, err := io.WriteString(c, begin)
		for block := bytes.Repeat([]byte(piece), 1+8192/len(piece)); err == nil; {
			_, err = c.Write(block)
		}
	}
}

// receive reads the whole response to a request, as a stream of events or at once.
func receive(ctx context.Context, address netip.AddrPort, events bool) error {
	x, err := Send(ctx, address, &Request{Method: "GET", Target: "/", Host: "h"})
	if err != nil {
		return err
	}
	defer x.Close()
	if !events {
		_, more, err := x.ReadBody(1 << 10)
		if more {
			return errors.New("the body goes on")
		}
		return err
	}
	var e EventSplitter
	buffer := make([]byte, 4<<10)
	for {
		n, err := x.Read(buffer)
		if e.Add(buffer[:n]); e.TooLong() {
			return errors.New("the event is too long")
		}
		if err != nil {
			return err
		}
	}
}

// TestEndlessBytesOfUpstreamEndAtOnce guards against an upstream that sends bytes without end,
// in a head or a body, using up the entry's memory and the request's time: with many such
// answers at once, each ends long before its deadline.
func TestEndlessBytesOfUpstreamEndAtOnce(t *testing.T) {
	const answers, mostMemory, deadline = 50, 32 << 20, 20 * time.Second
	const head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
	for name, test := range map[string]struct {
		begin, piece string
		events       bool
	}{
		"no answer":          {"", "x", false},
		"one header":         {head + "X-Long: ", "x", false},
		"many headers":       {head, "X-Header: value\r\n", false},
		"interim heads":      {"", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", false},
		"status line":        {"HTTP/1.1 200 ", "O", false},
		"an event":           {head + "\r\ndata: ", "x", true},
		"a comment":          {head + "\r\n: ", "x\n: ", true},
		"a chunk extension":  {head + "Transfer-Encoding: chunked\r\n\r\n1;", "x", true},
		"chunks of one byte": {head + "Transfer-Encoding: chunked\r\n\r\n", "1;" + string(bytes.Repeat([]byte("x"), 200)) + "\r\nx\r\n", true},
		"trailers":           {head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", "X-Trailer: value\r\n", true},
		"a body":             {head + "\r\n", "x", false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			address := rawUpstream(t, writeForEver(test.begin, test.piece))
			ctx, cancel := context.WithTimeout(t.Context(), deadline)
			defer cancel()
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			began := time.Now()
			var running sync.WaitGroup
			errs := make([]error, answers)
			for i := range errs {
				running.Go(func() { errs[i] = receive(ctx, address, test.events) })
			}
			running.Wait()
			took := time.Since(began)
			runtime.ReadMemStats(&after)
			for _, err := range errs {
				is.True(err != nil && err != io.EOF)
			}
			is.True(took < deadline/2)
			is.True(after.HeapSys-min(before.HeapSys, after.HeapSys) < mostMemory)
		})
	}
}

// TestUnframedResponse guards against taking a response without a length or chunks for
// complete that was reset, and one that ended with its connection for broken off.
func TestUnframedResponse(t *testing.T) {
	is := is.New(t)
	const response = "HTTP/1.1 200 OK\r\n\r\nwhole"
	address := rawUpstream(t, func(c net.Conn) { _, _ = io.WriteString(c, response) })
	x, err := Send(t.Context(), address, &Request{Method: "GET", Target: "/", Host: "h"})
	is.NoErr(err)
	defer x.Close()
	body, more, err := x.ReadBody(1 << 10)
	is.NoErr(err)
	is.True(!more)
	is.Equal(string(body), "whole")
	address = rawUpstream(t, func(c net.Conn) {
		_, _ = io.WriteString(c, response)
		time.Sleep(50 * time.Millisecond) // the response arrives before the reset
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	reset, err := Send(t.Context(), address, &Request{Method: "GET", Target: "/", Host: "h"})
	is.NoErr(err)
	defer reset.Close()
	_, _, err = reset.ReadBody(1 << 10)
	is.True(err != nil)
}
