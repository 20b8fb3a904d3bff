package log

import (
	"bytes"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
)

// stalledWriter is a writer that blocks until release is closed, like a pipe whose
// reader has stalled.
type stalledWriter struct{ release chan struct{} }

func (s stalledWriter) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

// TestStalledReaderDoesNotBlockLogging guards against a process that stops serving
// because the reader of its log has stalled.
func TestStalledReaderDoesNotBlockLogging(t *testing.T) {
	is := is.New(t)
	s := stalledWriter{make(chan struct{})}
	w := NewNonBlockingWriter(s)
	logger := New(w, JSON, "e1").Component("client")
	const lines = 3 * queueLines
	for range lines {
		logger.Info("answered") // must not block
	}
	dropped, _ := w.OmittedLines()
	is.True(dropped >= lines-queueLines-1)
	close(s.release)
	w.Flush()
}

// safeBuffer is a buffer that is safe for concurrent use.
type safeBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *safeBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *safeBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

func TestLinesAreWrittenInOrder(t *testing.T) {
	is := is.New(t)
	out := &safeBuffer{}
	w := NewNonBlockingWriter(out)
	for _, line := range []string{"a\n", "b\n", "c\n"} {
		_, err := io.WriteString(w, line)
		is.NoErr(err)
	}
	w.Flush()
	is.Equal(out.String(), "a\nb\nc\n")
}

// TestSuppressedLinesAreReported guards against a log that looks complete although lines
// were omitted from it.
func TestSuppressedLinesAreReported(t *testing.T) {
	is := is.New(t)
	out := &safeBuffer{}
	w := NewNonBlockingWriter(out)
	w.CountSuppressed()
	w.CountSuppressed()
	for end := time.Now().Add(20 * time.Second); !strings.Contains(out.String(), `"over-the-rate":2`); time.Sleep(10 * time.Millisecond) {
		is.True(time.Now().Before(end))
	}
	w.Flush()
}

func TestRateLimiterAllowsABurstAndThenTheRate(t *testing.T) {
	is := is.New(t)
	r := NewRateLimiter(10)
	now := time.Unix(1000, 0)
	allowed := func() (n int) {
		for range 100 {
			if r.Allow(now) {
				n++
			}
		}
		return n
	}
	is.Equal(allowed(), 10)
	now = now.Add(500 * time.Millisecond)
	is.Equal(allowed(), 5)
	now = now.Add(time.Hour)
	is.Equal(allowed(), 10)
}
