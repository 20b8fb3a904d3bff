// Package service implements the stand-in for a plain HTTP service in tests. It
// counts the executions of each idempotency key and responds with content that
// follows from the request alone, so that tests can check every response.
package service

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// Faults are the faults that a test injects. The zero value has none.
type Faults struct {
	// DelayMilliseconds is the duration of an execution.
	DelayMilliseconds int `json:"delay-milliseconds"`
	// BreakBefore is the number of next requests whose connection is closed before
	// they are executed and counted.
	BreakBefore int `json:"break-before"`
	// BreakAfter is the number of next requests whose connection is closed after
	// they are executed and counted.
	BreakAfter int `json:"break-after"`
}

// Service is a stand-in for a plain HTTP service. It is safe for concurrent use.
type Service struct {
	mu     sync.Mutex
	faults Faults
	// executions counts executions by their executionKey.
	executions map[string]int
}

// New returns a service with no executions and no faults.
func New() *Service { return &Service{executions: map[string]int{}} }

// Response is the body of the response to an execution.
type Response struct {
	// Key is the idempotency key of the request, "" for none.
	Key string `json:"key"`
	// Account is the client account in the request's header.
	Account string `json:"account"`
	// Path is the request URI.
	Path string `json:"path"`
	// Digest is the digest of the request body, see the function Digest.
	Digest string `json:"digest"`
}

// Digest returns the SHA-256 digest of a request body in hexadecimal.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// Handler returns the handler of the service. Paths under /standin inject faults
// and return the number of executions by key.
func (s *Service) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/standin/counts", func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		// A write error means that the test has disconnected.
		_ = json.NewEncoder(w).Encode(s.executions)
	})
	r.Put("/standin/knobs", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.SetFaults(f)
	})
	r.HandleFunc("/*", s.execute)
	return r
}

// SetFaults replaces the injected faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// executionKey returns the key under which an execution is counted: the
// idempotency key of the request, or its URI when it has none.
func executionKey(r *http.Request) string {
	if key := r.Header.Get("Idempotency-Key"); key != "" {
		return key
	}
	return r.URL.RequestURI()
}

// execute counts a request as executed and writes the response.
func (s *Service) execute(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	delay, breakAfter := s.countExecution(executionKey(r))
	time.Sleep(delay)
	if breakAfter {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(Response{
		Key: r.Header.Get("Idempotency-Key"), Account: r.Header.Get("Bramleydeal-Account"), Path: r.URL.RequestURI(), Digest: Digest(body),
	})
}

// countExecution counts an execution and returns its duration and whether the
// connection is to be closed after it. It aborts the request instead when the
// connection is to be closed before.
func (s *Service) countExecution(key string) (delay time.Duration, breakAfter bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.BreakBefore > 0 {
		s.faults.BreakBefore--
		panic(http.ErrAbortHandler)
	}
	s.executions[key]++
	if s.faults.BreakAfter > 0 {
		s.faults.BreakAfter--
		breakAfter = true
	}
	return time.Duration(s.faults.DelayMilliseconds) * time.Millisecond, breakAfter
}
