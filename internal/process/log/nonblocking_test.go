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

// stalled is a reader of the log that does not read.
type stalled struct{ release chan struct{} }

func (s stalled) Write(p []byte) (int, error) {
	<-s.release
	return len(p), nil
}

func TestAStalledReaderHoldsNothingUp(t *testing.T) {
	is := is.New(t)
	s := stalled{make(chan struct{})}
	b := NewNonBlockingWriter(s)
	logger := New(b, JSON, "e1").Component("client")
	const lines = 3 * ringLines
	for range lines {
		logger.Info("answered") // would never return if it waited
	}
	dropped, _ := b.DroppedLines()
	is.True(dropped >= lines-ringLines-1)
	close(s.release)
	b.Flush()
}

// shared is a buffer that one goroutine writes and another reads.
type shared struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *shared) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *shared) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

func TestLinesComeWholeAndInOrder(t *testing.T) {
	is := is.New(t)
	out := &shared{}
	b := NewNonBlockingWriter(out)
	for _, line := range []string{"a\n", "b\n", "c\n"} {
		_, err := io.WriteString(b, line)
		is.NoErr(err)
	}
	b.Flush()
	is.Equal(out.String(), "a\nb\nc\n")
}

func TestLeftOutLinesAreReported(t *testing.T) {
	is := is.New(t)
	out := &shared{}
	b := NewNonBlockingWriter(out)
	b.CountSuppressed()
	b.CountSuppressed()
	for end := time.Now().Add(20 * time.Second); !strings.Contains(out.String(), `"over-the-rate":2`); time.Sleep(10 * time.Millisecond) {
		is.True(time.Now().Before(end))
	}
	b.Flush()
}

func TestRateAllowsAReserveAndThenTheRate(t *testing.T) {
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
