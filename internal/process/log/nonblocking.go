package log

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

// Limits of the log of a process.
const (
	// queueLines is the capacity of the queue of lines that are not written yet. It
	// holds the lines of several seconds at the rates that a RateLimiter allows.
	queueLines = 4096
	// reportInterval is the time between two reports of omitted lines.
	reportInterval = time.Second
	// flushTimeout is the maximum duration of Flush, which a process calls when it
	// ends: a slow reader of the log must not keep it running.
	flushTimeout = 500 * time.Millisecond
)

// NonBlockingWriter is a writer of log lines that never blocks on a slow reader of
// the log: while its queue is full, lines are dropped and counted. It reports the number
// of omitted lines in the log itself. It is safe for concurrent use.
type NonBlockingWriter struct {
	out   io.Writer
	lines chan []byte
	// flush requests that the sent channel be closed once the queued lines are
	// written.
	flush chan chan struct{}

	// dropped counts the lines that found the queue full, suppressed the calls of
	// CountSuppressed.
	dropped, suppressed atomic.Uint64
}

// NewNonBlockingWriter returns a writer to out and starts its goroutine, which never
// ends. Each Write must be one whole line.
func NewNonBlockingWriter(out io.Writer) *NonBlockingWriter {
	w := &NonBlockingWriter{out: out, lines: make(chan []byte, queueLines), flush: make(chan chan struct{}, 1)}
	go w.run()
	return w
}

// Write implements io.Writer. It never blocks and never fails.
func (w *NonBlockingWriter) Write(line []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// CountSuppressed counts a line that the caller did not log because of a rate limit.
func (w *NonBlockingWriter) CountSuppressed() { w.suppressed.Add(1) }

// OmittedLines returns the number of lines that were omitted from the log since the
// start: those dropped because the reader was too slow, and those that a rate limit
// suppressed.
func (w *NonBlockingWriter) OmittedLines() (dropped, suppressed uint64) {
	return w.dropped.Load(), w.suppressed.Load()
}

// Flush waits until the queued lines are written, for flushTimeout at most.
func (w *NonBlockingWriter) Flush() {
	done := make(chan struct{})
	timeout := time.After(flushTimeout)
	select {
	case w.flush <- done:
	case <-timeout:
		return
	}
	select {
	case <-done:
	case <-timeout:
	}
}

// run writes the queued lines to out and reports omitted lines.
func (w *NonBlockingWriter) run() {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	var dropped, suppressed uint64
	for {
		select {
		case line := <-w.lines:
			w.writeLine(line)
		case done := <-w.flush:
			for range len(w.lines) {
				w.writeLine(<-w.lines)
			}
			close(done)
		case <-ticker.C:
			d, s := w.OmittedLines()
			if d != dropped || s != suppressed {
				w.writeLine(fmt.Appendf(nil, `{"level":"WARN","msg":"log: lines omitted","reader-slow":%d,"over-the-rate":%d}`+"\n", d-dropped, s-suppressed))
			}
			dropped, suppressed = d, s
		}
	}
}

// writeLine writes one line. It ignores an error, which could only be reported in the
// log that just failed.
func (w *NonBlockingWriter) writeLine(line []byte) { _, _ = w.out.Write(line) }

// RateLimiter is a token bucket that limits the events that are logged per second.
// The bucket holds the events of one second. It is safe for concurrent use.
type RateLimiter struct {
	perSecond float64

	mu sync.Mutex
	// tokens is the number of tokens at the time updatedAt.
	tokens    float64
	updatedAt time.Time
}

// NewRateLimiter returns a limiter for perSecond events per second, with a full
// bucket.
func NewRateLimiter(perSecond float64) *RateLimiter {
	return &RateLimiter{perSecond: perSecond, tokens: perSecond}
}

// Allow reports whether an event at now may be logged, and takes a token if so.
func (r *RateLimiter) Allow(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.updatedAt.IsZero() {
		r.tokens = min(r.tokens+now.Sub(r.updatedAt).Seconds()*r.perSecond, r.perSecond)
	}
	r.updatedAt = now
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}
