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

// Options are the properties of a stand-in engine.
type Options struct {
	// Step is the time of one step of the batch.
	StepTime time.Duration
	// Batch is the number of requests in one step.
	BatchSize int
	// TokensPerStep is how many tokens of each request one step generates.
	TokensPerStep int
	// PrefillSteps is the number of steps that an uncached prompt costs.
	PrefillSteps int
	// CacheSize is the number of prompt prefixes kept.
	CacheSize int
	// Resume tells whether the engine goes on from another's tokens.
	Resume bool
}

// DefaultOptions are those of a small engine.
var DefaultOptions = Options{StepTime: 5 * time.Millisecond, BatchSize: 64, TokensPerStep: 1, PrefillSteps: 4, CacheSize: 64, Resume: true}

// Knobs are the faults that a test turns on.
type Knobs struct {
	// BreakAfterTokens closes the connection of streams after that many tokens.
	BreakAfterTokens int `json:"break-after-tokens"`
	// Stall stops the steps.
	Stall bool `json:"stall"`
	// SlowFactor multiplies the time of a step.
	SlowFactor int `json:"slow-factor"`
}

// Engine is the stand-in's state.
type Engine struct {
	options Options

	mu       sync.Mutex
	knobs    Knobs
	active   []*sequence
	waiting  []*sequence
	cache    []string
	started  int
	cacheHit int
}

// sequence is one request in the batch.
type sequence struct {
	prompt   string
	next     int
	limit    int
	prefill  int
	priority int
	out      chan string
	gone     <-chan struct{}
}

// New returns an engine; Run must be called for it to step.
func New(o Options) *Engine { return &Engine{options: o} }

// Run steps the batch until ctx ends.
func (e *Engine) Run(ctx context.Context) {
	timer := time.NewTimer(e.options.StepTime)
	defer timer.Stop()
	for {
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		begun := time.Now()
		step := e.step()
		timer.Reset(max(step-time.Since(begun), 0))
	}
}

// step advances every request in the batch and returns the time a step takes.
func (e *Engine) step() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	step := e.options.StepTime * time.Duration(max(e.knobs.SlowFactor, 1))
	if e.knobs.Stall {
		return step
	}
	e.fill()
	e.active = slices.DeleteFunc(e.active, e.advance)
	return step
}

// fill moves waiting requests into the batch, a higher priority first.
func (e *Engine) fill() {
	slices.SortStableFunc(e.waiting, func(a, b *sequence) int { return b.priority - a.priority })
	for len(e.waiting) > 0 && len(e.active) < e.options.BatchSize {
		e.active = append(e.active, e.waiting[0])
		e.waiting = e.waiting[1:]
	}
}

// advance generates a request's tokens of one step and reports whether the
// request has ended.
func (e *Engine) advance(s *sequence) bool {
	select {
	case <-s.gone:
		return true
	default:
	}
	if s.prefill > 0 {
		s.prefill--
		return false
	}
	var text strings.Builder
	for range min(e.options.TokensPerStep, s.limit-s.next) {
		text.WriteString(Token(s.prompt, s.next))
		s.next++
	}
	if text.Len() > 0 {
		s.out <- text.String() // the channel holds a whole answer
	}
	if s.next < s.limit {
		return false
	}
	close(s.out)
	return true
}

// begin puts a request in line.
func (e *Engine) begin(prompt string, from, limit, priority int, gone <-chan struct{}) *sequence {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := &sequence{prompt: prompt, next: from, limit: limit, priority: priority, gone: gone, out: make(chan string, limit-from+1)}
	e.started++
	if i := slices.Index(e.cache, prefixOf(prompt)); i >= 0 {
		e.cacheHit++
		e.cache = slices.Delete(e.cache, i, i+1)
	} else {
		s.prefill = e.options.PrefillSteps
	}
	e.cache = append(e.cache, prefixOf(prompt))
	if len(e.cache) > e.options.CacheSize {
		e.cache = e.cache[1:]
	}
	e.waiting = append(e.waiting, s)
	return s
}

// prefixLength is the part of a prompt that the cache goes by.
const prefixLength = 128

func prefixOf(prompt string) string { return prompt[:min(len(prompt), prefixLength)] }

// Handler returns the engine's interface, and under /standin the knobs.
func (e *Engine) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/v1/chat/completions", e.chat)
	r.Get("/standin/counts", func(w http.ResponseWriter, _ *http.Request) {
		e.mu.Lock()
		defer e.mu.Unlock()
		// A write error means that the test has gone.
		_ = json.NewEncoder(w).Encode(Counts{Started: e.started, Active: len(e.active) + len(e.waiting), CacheHits: e.cacheHit})
	})
	r.Put("/standin/knobs", func(w http.ResponseWriter, r *http.Request) {
		var k Knobs
		if err := json.NewDecoder(r.Body).Decode(&k); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		e.Set(k)
	})
	return r
}

// Counts are what the engine did since its start.
type Counts struct {
	Started   int `json:"started"`
	Active    int `json:"active"`
	CacheHits int `json:"cache-hits"`
}

// Set turns faults on and off.
func (e *Engine) Set(k Knobs) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.knobs = k
}

func (e *Engine) breakAfter() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.knobs.BreakAfterTokens
}

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

// defaultTokens is the length of an answer that names none.
const defaultTokens = 24

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
		limit = defaultTokens
	}
	a := reply{request: c, id: "chatcmpl-" + r.Header.Get("X-Request-Id"), created: time.Now().Unix(), limit: limit}
	if c.Resume != nil && e.options.Resume {
		from, ok := tokensOf(c.prompt(), c.Resume.Text, limit)
		if !ok {
			http.Error(w, "the text to resume is not this prompt's", http.StatusUnprocessableEntity)
			return
		}
		a.from, a.id, a.created = from, c.Resume.ID, c.Resume.Created
		w.Header().Set("X-Resumed", "true")
	}
	s := e.begin(c.prompt(), a.from, limit, c.Priority, r.Context().Done())
	if c.Stream {
		e.stream(w, r, a, s)
		return
	}
	a.whole(w, r, s)
}

// tokensOf returns how many tokens of a prompt's answer a text holds.
func tokensOf(prompt, text string, limit int) (int, bool) {
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

// reply is one answer being written.
type reply struct {
	request     chatRequest
	id          string
	created     int64
	from, limit int
}

func (a reply) chunk(delta, finish string) string {
	return fmt.Sprintf("data: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"created\":%d,\"model\":%q,\"choices\":[{\"index\":0,\"delta\":%s,\"finish_reason\":%s}]}\n\n",
		a.id, a.created, a.request.Model, delta, finish)
}

// stream writes the tokens as they come, those ready together in one piece.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, a reply, s *sequence) {
	w.Header().Set("Content-Type", "text/event-stream")
	var piece strings.Builder
	if c := a.request.Resume; c == nil || !e.options.Resume {
		piece.WriteString(a.chunk(`{"role":"assistant","content":""}`, "null"))
	}
	sent := 0
	for open := true; open; {
		open = gather(r.Context(), s.out, func(text string) {
			sent++
			fmt.Fprint(&piece, a.chunk(fmt.Sprintf("{\"content\":%q}", text), "null"))
		})
		if r.Context().Err() != nil {
			return
		}
		if !open {
			piece.WriteString(a.chunk("{}", `"stop"`) + "data: [DONE]\n\n")
		}
		if n := e.breakAfter(); n > 0 && sent >= n && open {
			panic(http.ErrAbortHandler)
		}
		if _, err := w.Write([]byte(piece.String())); err != nil {
			return
		}
		// A flush fails only when the caller has gone, which the next write shows.
		_ = http.NewResponseController(w).Flush()
		piece.Reset()
	}
}

// gather waits for one text and takes all that are ready. It reports whether
// more will come.
func gather(ctx context.Context, texts <-chan string, take func(string)) bool {
	select {
	case text, ok := <-texts:
		if !ok {
			return false
		}
		take(text)
	case <-ctx.Done():
		return false
	}
	for {
		select {
		case text, ok := <-texts:
			if !ok {
				return false
			}
			take(text)
		default:
			return true
		}
	}
}

// whole writes a complete answer.
func (a reply) whole(w http.ResponseWriter, r *http.Request, s *sequence) {
	var text strings.Builder
	for gather(r.Context(), s.out, func(t string) { text.WriteString(t) }) {
		continue
	}
	if r.Context().Err() != nil {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the caller has gone.
	fmt.Fprintf(w, `{"id":%q,"object":"chat.completion","created":%d,"model":%q,"choices":[{"index":0,"message":{"role":"assistant","content":%q},"finish_reason":"stop"}],"usage":{"prompt_tokens":1,"completion_tokens":%d,"total_tokens":%d}}`,
		a.id, a.created, a.request.Model, text.String(), a.limit, a.limit+1)
}
