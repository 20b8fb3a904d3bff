// Package service is the stand-in for a plain service in tests: it counts each
// execution by key and answers with what the request must give.
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

// Knobs are the faults that a test turns on.
type Knobs struct {
	// DelayMilliseconds is the time of an execution.
	DelayMilliseconds int `json:"delay-milliseconds"`
	// BreakBefore closes that many connections before the execution counts.
	BreakBefore int `json:"break-before"`
	// BreakAfter closes that many connections after the execution counted.
	BreakAfter int `json:"break-after"`
}

// Service is the stand-in's state.
type Service struct {
	mu     sync.Mutex
	knobs  Knobs
	counts map[string]int
}

// New returns a service that has executed nothing.
func New() *Service { return &Service{counts: map[string]int{}} }

// Answer is what an execution answers.
type Response struct {
	Key     string `json:"key"`
	Account string `json:"account"`
	Path    string `json:"path"`
	// Digest is that of the request's body.
	Digest string `json:"digest"`
}

// Digest returns the digest that an answer to a body carries.
func Digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// Handler returns the service, and under /standin the knobs and counts.
func (s *Service) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/standin/counts", func(w http.ResponseWriter, _ *http.Request) {
		s.mu.Lock()
		defer s.mu.Unlock()
		// A write error means that the test has gone.
		_ = json.NewEncoder(w).Encode(s.counts)
	})
	r.Put("/standin/knobs", func(w http.ResponseWriter, r *http.Request) {
		var k Knobs
		if err := json.NewDecoder(r.Body).Decode(&k); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.Set(k)
	})
	r.HandleFunc("/*", s.execute)
	return r
}

// Set turns faults on and off.
func (s *Service) Set(k Knobs) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.knobs = k
}

// identity is what executions are counted by: the key, else the path.
func identity(r *http.Request) string {
	if key := r.Header.Get("Idempotency-Key"); key != "" {
		return key
	}
	return r.URL.RequestURI()
}

func (s *Service) execute(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	delay, breakAfter := s.count(identity(r))
	time.Sleep(delay)
	if breakAfter {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the caller has gone.
	_ = json.NewEncoder(w).Encode(Response{
		Key: r.Header.Get("Idempotency-Key"), Account: r.Header.Get("Bramleydeal-Account"), Path: r.URL.RequestURI(), Digest: Digest(body),
	})
}

// count records an execution, unless the connection is to break before.
func (s *Service) count(id string) (delay time.Duration, breakAfter bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.knobs.BreakBefore > 0 {
		s.knobs.BreakBefore--
		panic(http.ErrAbortHandler)
	}
	s.counts[id]++
	if s.knobs.BreakAfter > 0 {
		s.knobs.BreakAfter--
		breakAfter = true
	}
	return time.Duration(s.knobs.DelayMilliseconds) * time.Millisecond, breakAfter
}
