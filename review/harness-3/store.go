//go:build review

package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a stand-in for the platform's store. Calls with stale=1 see it as it was lag ago.
type store struct {
	mu       sync.Mutex
	lag      time.Duration
	revision uint64
	objects  map[string]map[string]object
	history  []event
	changed  chan struct{}
}

// object is an object of the store.
type object struct {
	Metadata metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
}

type metadata struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision,omitempty"`
	Made     uint64 `json:"made,omitempty"`
}

// event is one change.
type event struct {
	Object   object `json:"object"`
	Gone     bool   `json:"gone"`
	kind     string
	revision uint64
	at       time.Time
}

func newStore(lag time.Duration) *store {
	return &store{lag: lag, revision: 1, objects: map[string]map[string]object{}, changed: make(chan struct{})}
}

// put writes an object as the operator or a worker does, and returns the time of the acknowledgement.
func (s *store) put(kind, name string, spec any) time.Time {
	text, err := json.Marshal(spec)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putLocked(kind, name, text)
	return time.Now()
}

func (s *store) putLocked(kind, name string, spec json.RawMessage) object {
	if s.objects[kind] == nil {
		s.objects[kind] = map[string]object{}
	}
	s.revision++
	o, ok := s.objects[kind][name]
	if !ok {
		o.Metadata = metadata{Name: name, Made: s.revision}
	}
	o.Metadata.Revision, o.Spec = s.revision, spec
	s.objects[kind][name] = o
	s.record(event{Object: o, kind: kind})
	return o
}

// remove removes an object, and returns the time of the acknowledgement.
func (s *store) remove(kind, name string) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.objects[kind][name]; ok {
		delete(s.objects[kind], name)
		s.revision++
		s.record(event{Object: o, Gone: true, kind: kind})
	}
	return time.Now()
}

func (s *store) record(e event) {
	e.revision, e.at = s.revision, time.Now()
	s.history = append(s.history, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// names returns the names of the objects of a kind.
func (s *store) names(kind string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []string
	for name := range s.objects[kind] {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	kind, name, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	q := r.URL.Query()
	var asOf time.Time // zero: now
	if q.Get("stale") == "1" {
		asOf = time.Now().Add(-s.lag)
	}
	switch {
	case r.Method == http.MethodGet && q.Has("watch"):
		s.watch(w, r, kind, !asOf.IsZero())
	case r.Method == http.MethodGet && name == "":
		s.list(w, kind, asOf)
	case r.Method == http.MethodGet:
		s.mu.Lock()
		o, ok := s.objects[kind][name]
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		writeJSON(w, http.StatusOK, o)
	default:
		s.write(w, r, kind, name)
	}
}

// list answers with the objects of a kind as of a time.
func (s *store) list(w http.ResponseWriter, kind string, asOf time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	state, at := map[string]object{}, uint64(1)
	for _, e := range s.history {
		if !asOf.IsZero() && e.at.After(asOf) {
			break
		}
		at = e.revision
		switch {
		case e.kind != kind:
		case e.Gone:
			delete(state, e.Object.Metadata.Name)
		default:
			state[e.Object.Metadata.Name] = e.Object
		}
	}
	items := []object{}
	for _, o := range state {
		items = append(items, o)
	}
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "more": false, "at": at})
}

// watch answers with the changes of a kind after a revision, as soon as there are any.
func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string, stale bool) {
	after, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, waitErr := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for {
		now := time.Now()
		if stale {
			now = now.Add(-s.lag)
		}
		s.mu.Lock()
		events, at, changed := []event{}, uint64(1), s.changed
		for _, e := range s.history {
			if e.at.After(now) {
				break
			}
			at = e.revision
			if e.kind == kind && e.revision > after {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		if len(events) > 0 {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		var poll <-chan time.Time
		if stale {
			poll = time.After(20 * time.Millisecond)
		}
		select {
		case <-changed:
		case <-poll:
		case <-deadline:
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "at": max(after, at)})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// write creates or replaces an object.
func (s *store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var in object
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Method == http.MethodPost {
		name = in.Metadata.Name
	}
	existing, exists := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && exists:
		writeJSON(w, http.StatusConflict, existing)
	case r.Method == http.MethodPost:
		writeJSON(w, http.StatusCreated, s.putLocked(kind, name, in.Spec))
	case r.Method != http.MethodPut:
		w.WriteHeader(http.StatusMethodNotAllowed)
	case !exists:
		w.WriteHeader(http.StatusNotFound)
	case in.Metadata.Revision != 0 && in.Metadata.Revision != existing.Metadata.Revision:
		writeJSON(w, http.StatusConflict, existing)
	default:
		writeJSON(w, http.StatusOK, s.putLocked(kind, name, in.Spec))
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
