package log

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Bounds of the log lines of a process.
const (
	// ringLines is the number of lines that wait for the reader of the log: some
	// seconds of them at the rate below.
	ringLines = 4096
	// reportInterval is how often lines that were left out are reported.
	reportInterval = time.Second
	// flushTimeout bounds the wait for the reader when a process ends.
	flushTimeout = 500 * time.Millisecond
)

// Bounded is a writer that never waits for the reader of the log: lines beyond
// its ring are left out and counted.
type NonBlockingWriter struct {
	out   io.Writer
	lines chan []byte
	// flush asks for a word once all lines so far are written.
	flush chan chan struct{}

	dropped, omitted atomic.Uint64
}

// NewBounded returns a writer of whole lines to out.
func NewNonBlockingWriter(out io.Writer) *NonBlockingWriter {
	b := &NonBlockingWriter{out: out, lines: make(chan []byte, ringLines), flush: make(chan chan struct{}, 1)}
	go b.run()
	return b
}

// Write implements io.Writer. It never fails.
func (b *NonBlockingWriter) Write(line []byte) (int, error) {
	select {
	case b.lines <- bytes.Clone(line):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Omit counts a line that was left out for the rate of lines.
func (b *NonBlockingWriter) CountSuppressed() { b.omitted.Add(1) }

// Counts returns how many lines were left out since the start, because the
// reader was too slow and because there were too many.
func (b *NonBlockingWriter) DroppedLines() (dropped, omitted uint64) {
	return b.dropped.Load(), b.omitted.Load()
}

// Flush waits a short time for the lines so far to be read.
func (b *NonBlockingWriter) Flush() {
	done := make(chan struct{})
	timeout := time.After(flushTimeout)
	select {
	case b.flush <- done:
	case <-timeout:
		return
	}
	select {
	case <-done:
	case <-timeout:
	}
}

func (b *NonBlockingWriter) run() {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	var dropped, omitted uint64
	for {
		select {
		case line := <-b.lines:
			b.print(line)
		case done := <-b.flush:
			for range len(b.lines) {
				b.print(<-b.lines)
			}
			close(done)
		case <-ticker.C:
			d, o := b.DroppedLines()
			if d != dropped || o != omitted {
				b.print(fmt.Appendf(nil, `{"level":"WARN","msg":"log: lines left out","reader-slow":%d,"over-the-rate":%d}`+"\n", d-dropped, o-omitted))
			}
			dropped, omitted = d, o
		}
	}
}

// print writes one line. Nothing can be told of an error: the log is what failed.
func (b *NonBlockingWriter) print(line []byte) { _, _ = b.out.Write(line) }

// Rate decides which of many ordinary events are logged: so many a second, with
// a reserve of the same size.
type RateLimiter struct {
	perSecond float64

	mu    sync.Mutex
	left  float64
	since time.Time
}

// NewRate returns a rate of events a second.
func NewRateLimiter(perSecond float64) *RateLimiter {
	return &RateLimiter{perSecond: perSecond, left: perSecond}
}

// Allow tells whether an event at now is logged.
func (r *RateLimiter) Allow(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.since.IsZero() {
		r.left = min(r.left+now.Sub(r.since).Seconds()*r.perSecond, r.perSecond)
	}
	r.since = now
	if r.left < 1 {
		return false
	}
	r.left--
	return true
}
