package engine

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// Options configure a stand-in engine.
type Options struct {
	// StepTime is the duration of one step of the batch.
	StepTime time.Duration
	// BatchSize is the maximum number of requests in one step.
	BatchSize int
	// TokensPerStep is the number of tokens that one step generates for each request.
	TokensPerStep int
	// PrefillSteps is the number of steps that a prompt takes before its first
	// token when its prefix is not cached.
	PrefillSteps int
	// CacheSize is the number of prompt prefixes in the cache.
	CacheSize int
	// Resume reports whether the engine continues a completion that another
	// engine started.
	Resume bool
}

// DefaultOptions are the options of a small engine that resumes completions.
var DefaultOptions = Options{StepTime: 5 * time.Millisecond, BatchSize: 64, TokensPerStep: 1, PrefillSteps: 4, CacheSize: 64, Resume: true}

// Faults are the faults that a test injects. The zero value has none.
type Faults struct {
	// BreakAfterTokens closes the connection of each stream after that many
	// steps in which it received text; 0 disables it.
	BreakAfterTokens int `json:"break-after-tokens"`
	// Stall keeps all requests from advancing.
	Stall bool `json:"stall"`
	// SlowFactor multiplies the duration of a step; 0 and 1 leave it unchanged.
	SlowFactor int `json:"slow-factor"`
}

// Engine is a stand-in for a model engine. It is safe for concurrent use.
type Engine struct {
	options Options

	mu      sync.Mutex
	faults  Faults
	active  []*sequence
	waiting []*sequence
	// cachedPrefixes are ordered from least to most recently used.
	cachedPrefixes  []string
	startedRequests int
	cacheHits       int
}

// sequence is one request that waits for the batch or is in it.
type sequence struct {
	prompt string
	// nextToken is the index of the next token to generate, tokenLimit the one to
	// stop before.
	nextToken        int
	tokenLimit       int
	prefillStepsLeft int
	priority         int
	// output receives the text of each step and is closed after the last one.
	output chan string
	// cancelled is closed when the caller disconnects.
	cancelled <-chan struct{}
}

// New returns an engine. It generates no tokens until Run is called.
func New(o Options) *Engine { return &Engine{options: o} }

// Run executes the steps of the batch until ctx ends.
func (e *Engine) Run(ctx context.Context) {
	timer := time.NewTimer(e.options.StepTime)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		start := time.Now()
		step := e.step()
		timer.Reset(max(step-time.Since(start), 0))
	}
}

// step advances every request in the batch and returns the duration of a step.
func (e *Engine) step() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	step := e.options.StepTime * time.Duration(max(e.faults.SlowFactor, 1))
	if e.faults.Stall {
		return step
	}
	e.admit()
	e.active = slices.DeleteFunc(e.active, e.advance)
	return step
}

// admit moves waiting requests into the batch while it has room, those of a
// higher priority first; e.mu is held.
func (e *Engine) admit() {
	slices.SortStableFunc(e.waiting, func(a, b *sequence) int { return b.priority - a.priority })
	for len(e.waiting) > 0 && len(e.active) < e.options.BatchSize {
		e.active = append(e.active, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
}

// advance generates the tokens of one step for a request and reports whether
// the request has ended.
func (e *Engine) advance(s *sequence) bool {
	select {
	case <-s.cancelled:
		return true
	default:
	}
	if s.prefillStepsLeft > 0 {
		s.prefillStepsLeft--
		return false
	}
	var text strings.Builder
	for range min(e.options.TokensPerStep, s.tokenLimit-s.nextToken) {
		text.WriteString(Token(s.prompt, s.nextToken))
		s.nextToken++
	}
	if text.Len() > 0 {
		s.output <- text.String() // never blocks: the channel has room for every token
	}
	if s.nextToken < s.tokenLimit {
		return false
	}
	close(s.output)
	return true
}

// enqueue adds a request to the waiting ones. The engine generates the tokens
// from index from up to, but not including, limit. cancelled is closed when the
// caller disconnects.
func (e *Engine) enqueue(prompt string, from, limit, priority int, cancelled <-chan struct{}) *sequence {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := &sequence{prompt: prompt, nextToken: from, tokenLimit: limit, priority: priority, cancelled: cancelled, output: make(chan string, limit-from+1)}
	e.startedRequests++
	if i := slices.Index(e.cachedPrefixes, prefixOf(prompt)); i >= 0 {
		e.cacheHits++
		e.cachedPrefixes = slices.Delete(e.cachedPrefixes, i, i+1)
	} else {
		s.prefillStepsLeft = e.options.PrefillSteps
	}
	e.cachedPrefixes = append(e.cachedPrefixes, prefixOf(prompt))
	if len(e.cachedPrefixes) > e.options.CacheSize {
		e.cachedPrefixes = e.cachedPrefixes[1:]
	}
	e.waiting = append(e.waiting, s)
	return s
}

// cachedPrefixLength is the length in bytes of the prompt prefix that is the key
// of the prefix cache.
const cachedPrefixLength = 128

func prefixOf(prompt string) string { return prompt[:min(len(prompt), cachedPrefixLength)] }

// Handler returns the handler of the engine's API. Paths under /standin inject
// faults and return counts.
func (e *Engine) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/v1/chat/completions", e.chat)
	r.Get("/standin/counts", func(w http.ResponseWriter, _ *http.Request) {
		e.mu.Lock()
		defer e.mu.Unlock()
		// A write error means that the test has disconnected.
		_ = json.NewEncoder(w).Encode(Counts{Started: e.startedRequests, Active: len(e.active) + len(e.waiting), CacheHits: e.cacheHits})
	})
	r.Put("/standin/knobs", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		e.SetFaults(f)
	})
	return r
}

// Counts are the engine's request counts.
type Counts struct {
	// Started counts the requests received since the engine's start.
	Started int `json:"started"`
	// Active is the number of requests that are in the batch or wait for it.
	Active int `json:"active"`
	// CacheHits counts the requests whose prompt prefix was cached.
	CacheHits int `json:"cache-hits"`
}

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

func (e *Engine) breakAfterTokens() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults.BreakAfterTokens
}

// chatRequest is the body of a chat completion request. Resume is the part of a
// completion that another engine generated before it was interrupted.
type chatRequest struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
	Priority  int    `json:"priority"`
	Messages  []struct {
		Role    string `json:"role"`
		Content string `json:"content"`
	} `json:"messages"`
	Resume *struct {
		ID      string `json:"id"`
		Created int64  `json:"created"`
		Text    string `json:"text"`
	} `json:"resume"`
}

// defaultMaxTokens is the number of tokens generated for a request that has no
// max_tokens.
const defaultMaxTokens = 24

func (c chatRequest) prompt() string {
	var b strings.Builder
	for _, m := range c.Messages {
		b.WriteString(m.Content)
	}
	return b.String()
}

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	var c chatRequest
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	limit := c.MaxTokens
	if limit <= 0 {
		limit = defaultMaxTokens
	}
	a := completion{request: c, id: "chatcmpl-" + r.Header.Get("X-Request-Id"), created: time.Now().Unix(), tokenLimit: limit}
	if c.Resume != nil && e.options.Resume {
		from, ok := countTokens(c.prompt(), c.Resume.Text, limit)
		if !ok {
			http.Error(w, "the text to resume is not this prompt's", http.StatusUnprocessableEntity)
			return
		}
		a.firstToken, a.id, a.created = from, c.Resume.ID, c.Resume.Created
		w.Header().Set("X-Resumed", "true")
	}
	s := e.enqueue(c.prompt(), a.firstToken, limit, c.Priority, r.Context().Done())
	if c.Stream {
		e.writeStream(w, r, a, s)
		return
	}
	a.writeJSON(w, r, s)
}

// countTokens returns how many tokens of the prompt's completion make up text. It
// returns false if text does not consist of at most limit whole tokens from the
// beginning of the completion.
func countTokens(prompt, text string, limit int) (int, bool) {
	for n := 0; n <= limit; n++ {
		if text == "" {
			return n, true
		}
		rest, ok := strings.CutPrefix(text, Token(prompt, n))
		if !ok {
			return 0, false
		}
		text = rest
	}
	return 0, false
}

// completion is a response that is being written.
type completion struct {
	request chatRequest
	id      string
	created int64
	// firstToken is the index of the first token to send: 0, or the number of
	// tokens in the text to resume.
	firstToken, tokenLimit int
}

// chunk returns one event of a streamed completion. delta and finish are JSON
// values.
func (a completion) chunk(delta, finish string) string {
	return fmt.Sprintf("data: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"created\":%d,\"model\":%q,\"choices\":[{\"index\":0,\"delta\":%s,\"finish_reason\":%s}]}\n\n",
		a.id, a.created, a.request.Model, delta, finish)
}

// writeStream writes the tokens as events while they are generated. Events of
// tokens that are ready at the same time are written and flushed together.
func (e *Engine) writeStream(w http.ResponseWriter, r *http.Request, a completion, s *sequence) {
	w.Header().Set("Content-Type", "text/event-stream")
	var piece strings.Builder
	if c := a.request.Resume; c == nil || !e.options.Resume {
		piece.WriteString(a.chunk(`{"role":"assistant","content":""}`, "null"))
	}
	sent := 0
	for open := true; open; {
		open = receiveReady(r.Context(), s.output, func(text string) {
			sent++
			fmt.Fprint(&piece, a.chunk(fmt.Sprintf("{\"content\":%q}", text), "null"))
		})
		if r.Context().Err() != nil {
			return
		}
		if !open {
			piece.WriteString(a.chunk("{}", `"stop"`) + "data: [DONE]\n\n")
		}
		if n := e.breakAfterTokens(); n > 0 && sent >= n && open {
			panic(http.ErrAbortHandler)
		}
		if _, err := w.Write([]byte(piece.String())); err != nil {
			return
		}
		// A flush fails only when the caller has disconnected; the next write
		// then fails too.
		_ = http.NewResponseController(w).Flush()
		piece.Reset()
	}
}

// receiveReady waits for one text, and calls add with it and with all others
// that are ready. It returns false once texts is closed or ctx has ended.
func receiveReady(ctx context.Context, texts <-chan string, add func(string)) bool {
	select {
	case text, ok := <-texts:
		if !ok {
			return false
		}
		add(text)
	case <-ctx.Done():
		return false
	}
	for {
		select {
		case text, ok := <-texts:
			if !ok {
				return false
			}
			add(text)
		default:
			return true
		}
	}
}

// writeJSON writes the completion as one JSON document once all tokens are
// generated.
func (a completion) writeJSON(w http.ResponseWriter, r *http.Request, s *sequence) {
	var text strings.Builder
	for receiveReady(r.Context(), s.output, func(t string) { text.WriteString(t) }) {
		continue
	}
	if r.Context().Err() != nil {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the caller has disconnected.
	fmt.Fprintf(w, `{"id":%q,"object":"chat.completion","created":%d,"model":%q,"choices":[{"index":0,"message":{"role":"assistant","content":%q},"finish_reason":"stop"}],"usage":{"prompt_tokens":1,"completion_tokens":%d,"total_tokens":%d}}`,
		a.id, a.created, a.request.Model, text.String(), a.tokenLimit, a.tokenLimit+1)
}
