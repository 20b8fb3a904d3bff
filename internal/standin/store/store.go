// Package store is the stand-in for the platform's object API in tests and
// in the local command: objects in memory, with faults that tests turn on.
package store

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"bramleydeal/internal/store/object"
	"github.com/go-chi/chi/v5"
)

// Limits of the object API.
const (
	maxValue = 1 << 20
	maxWait  = 60 * time.Second
)

// Knobs are the faults that a test turns on. The zero value has none.
type Knobs struct {
	// Outage refuses every call.
	Outage bool `json:"outage"`
	// Delay is added to every call, in milliseconds.
	DelayMilliseconds int `json:"delay-milliseconds"`
	// LoseAnswers closes the connection of that many writes after they took effect.
	LoseAnswers int `json:"lose-answers"`
	// Stale serves lists and reads as they were when it was turned on.
	Stale bool `json:"stale"`
	// WritesPerSecond and ReadsPerSecond refuse calls above a rate, 0 for none.
	WritesPerSecond int `json:"writes-per-second"`
	ReadsPerSecond  int `json:"reads-per-second"`
}

// Counts are the calls served since the start; a waiting watch is one call.
type Counts struct {
	Reads   int `json:"reads"`
	Writes  int `json:"writes"`
	Watches int `json:"watches"`
	Refused int `json:"refused"`
}

// Platform is the stand-in's state.
type Platform struct {
	mu       sync.Mutex
	objects  map[string]object.Message
	revision uint64
	changed  chan struct{}
	knobs    Knobs
	counts   Counts
	stale    *object.ListMessage
	window   time.Time
	inWindow Counts
}

// New returns an empty platform.
func New() *Platform {
	return &Platform{objects: map[string]object.Message{}, changed: make(chan struct{})}
}

// Handler returns the object API, and under /standin the knobs and counts.
func (p *Platform) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/objects", p.list)
	r.Get("/objects/*", p.get)
	r.Put("/objects/*", p.put)
	r.Delete("/objects/*", p.remove)
	r.Get("/standin/counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, p.Counts()) })
	r.Put("/standin/knobs", func(w http.ResponseWriter, r *http.Request) {
		var k Knobs
		if err := json.NewDecoder(r.Body).Decode(&k); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		p.Set(k)
	})
	return r
}

// Set turns faults on and off.
func (p *Platform) Set(k Knobs) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if k.Stale && !p.knobs.Stale {
		l := p.listLocked("", 0)
		p.stale = &l
	}
	p.knobs = k
	p.notify()
}

// Counts returns the calls served so far.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// Put writes an object unconditionally, as the platform itself does.
func (p *Platform) Put(name string, value []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.store(name, value)
}

func (p *Platform) store(name string, value []byte) object.Message {
	p.revision++
	m := object.Message{Name: name, Version: p.revision, Value: value}
	p.objects[name] = m
	p.notify()
	return m
}

// notify wakes all waiting watches; p.mu is held.
func (p *Platform) notify() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// begin counts a call and applies the knobs that refuse or delay it. It
// reports false when the call was refused.
func (p *Platform) begin(w http.ResponseWriter, r *http.Request, write bool) bool {
	p.mu.Lock()
	k := p.knobs
	over := p.overRate(write)
	if k.Outage || over {
		p.counts.Refused++
	}
	p.mu.Unlock()
	if k.DelayMilliseconds > 0 {
		select {
		case <-time.After(time.Duration(k.DelayMilliseconds) * time.Millisecond):
		case <-r.Context().Done():
			return false
		}
	}
	switch {
	case k.Outage:
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return false
	case over:
		http.Error(w, "over the call rate", http.StatusTooManyRequests)
		return false
	}
	return true
}

// overRate counts one call in the current second; p.mu is held.
func (p *Platform) overRate(write bool) bool {
	if now := time.Now(); now.Sub(p.window) >= time.Second {
		p.window, p.inWindow = now, Counts{}
	}
	if write {
		p.counts.Writes++
		p.inWindow.Writes++
		return p.knobs.WritesPerSecond > 0 && p.inWindow.Writes > p.knobs.WritesPerSecond
	}
	p.counts.Reads++
	p.inWindow.Reads++
	return p.knobs.ReadsPerSecond > 0 && p.inWindow.Reads > p.knobs.ReadsPerSecond
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	if !p.begin(w, r, false) {
		return
	}
	p.mu.Lock()
	m, ok := p.objects[chi.URLParam(r, "*")]
	p.mu.Unlock()
	if !ok || m.Deleted {
		http.Error(w, "no such object", http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, m)
}

func (p *Platform) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValue))
	if err != nil || !json.Valid(value) {
		http.Error(w, "the value must be JSON of at most a megabyte", http.StatusBadRequest)
		return
	}
	p.write(w, r, func(name string) object.Message { return p.store(name, value) })
}

func (p *Platform) remove(w http.ResponseWriter, r *http.Request) {
	p.write(w, r, func(name string) object.Message {
		p.revision++
		m := object.Message{Name: name, Version: p.revision, Deleted: true}
		p.objects[name] = m
		p.notify()
		return m
	})
}

// write applies change when the If-Match version is the object's.
func (p *Platform) write(w http.ResponseWriter, r *http.Request, change func(name string) object.Message) {
	if !p.begin(w, r, true) {
		return
	}
	name := chi.URLParam(r, "*")
	want, err := strconv.ParseUint(r.Header.Get("If-Match"), 10, 64)
	if err != nil {
		http.Error(w, "If-Match must name a version", http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	held := p.objects[name]
	version := held.Version
	if held.Deleted {
		version = 0
	}
	if version != want {
		p.mu.Unlock()
		writeJSON(w, http.StatusConflict, held)
		return
	}
	m := change(name)
	lose := p.knobs.LoseAnswers > 0
	if lose {
		p.knobs.LoseAnswers--
	}
	p.mu.Unlock()
	if lose {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, m)
}

func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	if !p.begin(w, r, false) {
		return
	}
	q := r.URL.Query()
	if q.Get("after") == "" {
		p.mu.Lock()
		l := p.listLocked(q.Get("prefix"), 0)
		if p.knobs.Stale {
			l = *p.stale
		}
		p.mu.Unlock()
		writeJSON(w, http.StatusOK, l)
		return
	}
	p.watch(w, r)
}

func (p *Platform) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, err2 := time.ParseDuration(q.Get("wait"))
	if err != nil || err2 != nil || wait > maxWait {
		http.Error(w, "after must be a revision and wait a duration of at most a minute", http.StatusBadRequest)
		return
	}
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	p.mu.Lock()
	p.counts.Watches++
	p.mu.Unlock()
	for {
		p.mu.Lock()
		l, changed, k := p.listLocked(q.Get("prefix"), after), p.changed, p.knobs
		p.mu.Unlock()
		if k.Outage {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		if (len(l.Objects) > 0 || after > l.Revision) && !k.Stale {
			writeJSON(w, http.StatusOK, l)
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			writeJSON(w, http.StatusOK, l)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// listLocked returns the objects under prefix changed after a revision, with
// deleted ones unless the list is complete; p.mu is held.
func (p *Platform) listLocked(prefix string, after uint64) object.ListMessage {
	l := object.ListMessage{Revision: p.revision, From: after}
	for name, m := range p.objects {
		if strings.HasPrefix(name, prefix) && m.Version > after && (after > 0 || !m.Deleted) {
			l.Objects = append(l.Objects, m)
		}
	}
	sort.Slice(l.Objects, func(i, j int) bool { return l.Objects[i].Version < l.Objects[j].Version })
	return l
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write error means that the caller has gone.
	_ = json.NewEncoder(w).Encode(v)
}
