// Package store implements the stand-in for the platform's object API in tests and
// in the local command. It keeps the objects in memory and can inject faults.
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
	// maxValueBytes is the maximum size of an object's value.
	maxValueBytes = 1 << 20
	// maxWait is the maximum time that a watch waits for a change.
	maxWait = 60 * time.Second
)

// Faults are the faults that a test injects. The zero value has none.
type Faults struct {
	// Outage makes every call fail with status 503.
	Outage bool `json:"outage"`
	// DelayMilliseconds is added to the duration of every call.
	DelayMilliseconds int `json:"delay-milliseconds"`
	// DropWriteResponses is the number of next writes that take effect and whose
	// connection is then closed without a response.
	DropWriteResponses int `json:"lose-answers"`
	// Stale makes lists return the objects as they were when the fault was set,
	// and makes watches respond only when their wait is over.
	Stale bool `json:"stale"`
	// WritesPerSecond and ReadsPerSecond limit the rate of calls; those above it
	// fail with status 429. 0 is no limit.
	WritesPerSecond int `json:"writes-per-second"`
	ReadsPerSecond  int `json:"reads-per-second"`
}

// Counts are the numbers of calls since the start.
type Counts struct {
	// Reads counts the gets, lists and watches, Writes the puts and deletes.
	Reads  int `json:"reads"`
	Writes int `json:"writes"`
	// Watches counts the watches, each once however long it waits.
	Watches int `json:"watches"`
	// Refused counts the calls that were refused on arrival because of an injected
	// outage or rate limit; watches that an outage ends later are not counted.
	Refused int `json:"refused"`
}

// Platform is an in-memory implementation of the platform's object API. It is safe
// for concurrent use.
type Platform struct {
	mu       sync.Mutex
	objects  map[string]object.Message
	revision uint64
	// changed is closed and replaced when watches must look for changes.
	changed chan struct{}
	faults  Faults
	counts  Counts
	// staleList is the list of all objects when the fault Stale was set.
	staleList *object.ListMessage
	// windowCounts are the calls since windowStart, for the rate limits.
	windowStart  time.Time
	windowCounts Counts
}

// New returns a platform without objects and faults.
func New() *Platform {
	return &Platform{objects: map[string]object.Message{}, changed: make(chan struct{})}
}

// Handler returns the handler of the object API. Paths under /standin inject
// faults and return the call counts.
func (p *Platform) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/objects", p.list)
	r.Get("/objects/*", p.get)
	r.Put("/objects/*", p.put)
	r.Delete("/objects/*", p.remove)
	r.Get("/standin/counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, p.Counts()) })
	r.Put("/standin/knobs", func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		p.SetFaults(f)
	})
	return r
}

// SetFaults replaces the injected faults.
func (p *Platform) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if f.Stale && !p.faults.Stale {
		l := p.listLocked("", 0)
		p.staleList = &l
	}
	p.faults = f
	p.notifyLocked()
}

// Counts returns the numbers of calls since the start.
func (p *Platform) Counts() Counts {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.counts
}

// Put writes an object whatever its version is, as the platform itself does. Faults
// do not apply to it.
func (p *Platform) Put(name string, value []byte) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.storeLocked(name, value)
}

// storeLocked writes an object under a new revision and notifies the watches; p.mu
// is held.
func (p *Platform) storeLocked(name string, value []byte) object.Message {
	p.revision++
	m := object.Message{Name: name, Version: p.revision, Value: value}
	p.objects[name] = m
	p.notifyLocked()
	return m
}

// notifyLocked makes all waiting watches look for changes; p.mu is held.
func (p *Platform) notifyLocked() {
	close(p.changed)
	p.changed = make(chan struct{})
}

// admit counts a call and applies the faults that delay it or make it fail. It
// reports whether the call may proceed; if not, the response is written already or
// the caller has disconnected.
func (p *Platform) admit(w http.ResponseWriter, r *http.Request, write bool) bool {
	p.mu.Lock()
	f := p.faults
	over := p.overRateLocked(write)
	if f.Outage || over {
		p.counts.Refused++
	}
	p.mu.Unlock()
	if f.DelayMilliseconds > 0 {
		select {
		case <-time.After(time.Duration(f.DelayMilliseconds) * time.Millisecond):
		case <-r.Context().Done():
			return false
		}
	}
	switch {
	case f.Outage:
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return false
	case over:
		http.Error(w, "over the call rate", http.StatusTooManyRequests)
		return false
	}
	return true
}

// overRateLocked counts a call and reports whether it exceeds the rate limit of
// the current second; p.mu is held.
func (p *Platform) overRateLocked(write bool) bool {
	if now := time.Now(); now.Sub(p.windowStart) >= time.Second {
		p.windowStart, p.windowCounts = now, Counts{}
	}
	if write {
		p.counts.Writes++
		p.windowCounts.Writes++
		return p.faults.WritesPerSecond > 0 && p.windowCounts.Writes > p.faults.WritesPerSecond
	}
	p.counts.Reads++
	p.windowCounts.Reads++
	return p.faults.ReadsPerSecond > 0 && p.windowCounts.Reads > p.faults.ReadsPerSecond
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	if !p.admit(w, r, false) {
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
	value, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxValueBytes))
	if err != nil || !json.Valid(value) {
		http.Error(w, "the value must be JSON of at most a megabyte", http.StatusBadRequest)
		return
	}
	p.write(w, r, func(name string) object.Message { return p.storeLocked(name, value) })
}

func (p *Platform) remove(w http.ResponseWriter, r *http.Request) {
	p.write(w, r, func(name string) object.Message {
		p.revision++
		m := object.Message{Name: name, Version: p.revision, Deleted: true}
		p.objects[name] = m
		p.notifyLocked()
		return m
	})
}

// write applies change if the object has the version in the If-Match header, 0 for
// an object that does not exist. Otherwise it responds with status 409 and the
// current object.
func (p *Platform) write(w http.ResponseWriter, r *http.Request, change func(name string) object.Message) {
	if !p.admit(w, r, true) {
		return
	}
	name := chi.URLParam(r, "*")
	want, err := strconv.ParseUint(r.Header.Get("If-Match"), 10, 64)
	if err != nil {
		http.Error(w, "If-Match must name a version", http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	current := p.objects[name]
	version := current.Version
	if current.Deleted {
		version = 0
	}
	if version != want {
		p.mu.Unlock()
		writeJSON(w, http.StatusConflict, current)
		return
	}
	m := change(name)
	dropResponse := p.faults.DropWriteResponses > 0
	if dropResponse {
		p.faults.DropWriteResponses--
	}
	p.mu.Unlock()
	if dropResponse {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, m)
}

// list responds with the objects under a prefix, or watches them when the query
// has a revision.
func (p *Platform) list(w http.ResponseWriter, r *http.Request) {
	if !p.admit(w, r, false) {
		return
	}
	q := r.URL.Query()
	if q.Get("after") == "" {
		p.mu.Lock()
		l := p.listLocked(q.Get("prefix"), 0)
		if p.faults.Stale {
			l = *p.staleList
		}
		p.mu.Unlock()
		writeJSON(w, http.StatusOK, l)
		return
	}
	p.watch(w, r)
}

// watch responds with the objects under a prefix that changed after a revision, as
// soon as there are any, and otherwise once the wait in the query is over. It
// responds at once if that revision is newer than the platform's.
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
		l, changed, f := p.listLocked(q.Get("prefix"), after), p.changed, p.faults
		p.mu.Unlock()
		if f.Outage {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		if (len(l.Objects) > 0 || after > l.Revision) && !f.Stale {
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

// listLocked returns the objects under prefix that changed after a revision, by
// version. With after 0 it returns all objects, without the deleted ones; p.mu is
// held.
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
	// A write error means that the caller has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}
