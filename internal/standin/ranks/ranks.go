// Package ranks is the stand-in for the ranks of an expert-parallel group: they
// step in lock-step, each by the plan that its own agent put to it, and record
// which map each rank used in each step.
package ranks

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// Grant lets a rank use a map from a step on.
type Grant struct {
	From uint64 `json:"from"`
	Map  uint64 `json:"map"`
}

// Plan is what an agent puts to its rank.
type Plan struct {
	// Version must be the one that the agent read, for ranks that honour fencing.
	Version uint64  `json:"version"`
	Grants  []Grant `json:"grants"`
	Hold    uint64  `json:"hold"`
	// NotPast refuses the plan when the rank has started a step after it; 0 for
	// no such bound.
	NotPast uint64 `json:"not-past"`
	// Needs refuses the plan when this map is not staged; 0 for none.
	Needs uint64 `json:"needs"`
	// State is the agent's own, kept for it.
	State json.RawMessage `json:"state,omitempty"`
}

// Status is a rank's answer.
type Status struct {
	Step uint64 `json:"step"`
	Plan Plan   `json:"plan"`
	// Tokens are counted by layer and slot since they were last read.
	LoadMap uint64   `json:"load-map"`
	Tokens  []uint32 `json:"tokens,omitempty"`
}

// Record is what happened in a group so far.
type Stats struct {
	Steps uint64 `json:"steps"`
	// Mixed counts the steps in which two ranks used different maps.
	MixedMapSteps int `json:"mixed"`
	// Unstaged counts the ranks' steps on a map that was not staged there.
	UnstagedMapSteps int `json:"unstaged"`
	// Maps is the number of steps on each map.
	StepsByMap map[uint64]int `json:"maps"`
	// LongestWaitMilliseconds is the longest time that a step was late.
	LongestWaitMilliseconds  int64 `json:"longest-wait-milliseconds"`
	WaitsOver100Milliseconds int   `json:"waits-over-100-milliseconds"`
}

// rank is one rank's memory.
type rank struct {
	plan   Plan
	staged map[uint64][][]int
	used   uint64
	tokens []uint32
	stall  bool
}

// Group is a group of ranks in lock-step.
type Group struct {
	stepTime      time.Duration
	honourFencing bool
	popularity    func(layer, expert int, step uint64) float64

	mu     sync.Mutex
	ranks  []*rank
	step   uint64
	record Stats
	since  time.Time
}

// New returns a group of n ranks. popularity tells how often an expert is
// asked for in a step.
func New(n int, stepTime time.Duration, honourFencing bool, popularity func(layer, expert int, step uint64) float64) *Group {
	g := &Group{stepTime: stepTime, honourFencing: honourFencing, popularity: popularity, record: Stats{StepsByMap: map[uint64]int{}}}
	for range n {
		g.ranks = append(g.ranks, newRank())
	}
	return g
}

func newRank() *rank { return &rank{staged: map[uint64][][]int{}} }

// Run steps the group until ctx ends.
func (g *Group) Run(ctx context.Context) {
	ticker := time.NewTicker(g.stepTime)
	defer ticker.Stop()
	for {
		select {
		case now := <-ticker.C:
			g.tryStep(now)
		case <-ctx.Done():
			return
		}
	}
}

// tryStep runs the next step if every rank may.
func (g *Group) tryStep(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	maps := make([]uint64, len(g.ranks))
	for i, r := range g.ranks {
		m, ok := r.mapAt(g.step)
		if !ok || r.stall {
			return
		}
		maps[i] = m
	}
	if !g.since.IsZero() && g.step > 0 {
		wait := now.Sub(g.since) - g.stepTime
		g.record.LongestWaitMilliseconds = max(g.record.LongestWaitMilliseconds, wait.Milliseconds())
		if wait > 100*time.Millisecond {
			g.record.WaitsOver100Milliseconds++
		}
	}
	g.since = now
	g.note(maps)
	g.step++
	g.record.Steps = g.step
}

// note records the step's maps and counts its tokens.
func (g *Group) note(maps []uint64) {
	mixed := false
	for i, r := range g.ranks {
		mixed = mixed || maps[i] != maps[0]
		if _, staged := r.staged[maps[i]]; !staged {
			g.record.UnstagedMapSteps++
		}
		r.count(maps[i], i, len(g.ranks), g.step, g.popularity)
	}
	if mixed {
		g.record.MixedMapSteps++
	}
	g.record.StepsByMap[maps[0]]++
}

func (r *rank) mapAt(step uint64) (uint64, bool) {
	if r.plan.Hold != 0 && step >= r.plan.Hold {
		return 0, false
	}
	for i := len(r.plan.Grants) - 1; i >= 0; i-- {
		if r.plan.Grants[i].From <= step {
			return r.plan.Grants[i].Map, true
		}
	}
	return 0, false
}

// count adds the tokens of the rank's own slots.
func (r *rank) count(m uint64, self, ranks int, step uint64, popularity func(int, int, uint64) float64) {
	layers := r.staged[m]
	if r.used != m {
		r.used, r.tokens = m, nil
	}
	if len(layers) == 0 || popularity == nil {
		return
	}
	slots := len(layers[0]) / ranks
	if r.tokens == nil {
		r.tokens = make([]uint32, len(layers)*slots)
	}
	for l, experts := range layers {
		for s, e := range experts[self*slots : (self+1)*slots] {
			if e >= 0 {
				r.tokens[l*slots+s] += uint32(popularity(l, e, step) / float64(replicas(experts, e)))
			}
		}
	}
}

func replicas(experts []int, e int) int {
	n := 0
	for _, x := range experts {
		if x == e {
			n++
		}
	}
	return n
}

// Handler returns the interface of one rank.
func (g *Group) Handler(i int) http.Handler {
	r := chi.NewRouter()
	r.Get("/rank", func(w http.ResponseWriter, r *http.Request) { g.status(w, i, r.URL.Query().Has("tokens")) })
	r.Put("/rank", func(w http.ResponseWriter, r *http.Request) { g.putPlan(w, r, i) })
	r.Put("/rank/maps/{version}", func(w http.ResponseWriter, r *http.Request) { g.stage(w, r, i) })
	r.Post("/standin/forget", func(http.ResponseWriter, *http.Request) { g.Forget(i) })
	r.Post("/standin/stall", func(_ http.ResponseWriter, r *http.Request) { g.Stall(i, r.URL.Query().Has("on")) })
	r.Get("/standin/record", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, g.Stats()) })
	r.Get("/standin/counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, g.Stats()) })
	return r
}

// Record returns what happened so far.
func (g *Group) Stats() Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := g.record
	out.StepsByMap = make(map[uint64]int, len(g.record.StepsByMap))
	for m, n := range g.record.StepsByMap {
		out.StepsByMap[m] = n
	}
	return out
}

// Forget makes a rank lose its memory.
func (g *Group) Forget(i int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ranks[i] = newRank()
}

// Stall stops or lets go a rank, and with it the group.
func (g *Group) Stall(i int, on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ranks[i].stall = on
}

func (g *Group) status(w http.ResponseWriter, i int, tokens bool) {
	g.mu.Lock()
	r := g.ranks[i]
	s := Status{Step: g.step, Plan: r.plan}
	if tokens {
		s.LoadMap, s.Tokens = r.used, r.tokens
		r.tokens = nil
	}
	g.mu.Unlock()
	writeJSON(w, http.StatusOK, s)
}

func (g *Group) putPlan(w http.ResponseWriter, request *http.Request, i int) {
	var p Plan
	if err := json.NewDecoder(request.Body).Decode(&p); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	g.mu.Lock()
	r := g.ranks[i]
	_, staged := r.staged[p.Needs]
	refused := p.Needs != 0 && !staged || p.NotPast != 0 && g.step > p.NotPast || g.honourFencing && p.Version != r.plan.Version
	if !refused {
		p.Version = r.plan.Version + 1
		r.plan = p
	}
	s := Status{Step: g.step, Plan: r.plan}
	g.mu.Unlock()
	if refused {
		writeJSON(w, http.StatusConflict, s)
		return
	}
	writeJSON(w, http.StatusOK, s)
}

// maxMap bounds a staged map in bytes.
const maxMap = 16 << 20

func (g *Group) stage(w http.ResponseWriter, request *http.Request, i int) {
	version, err := strconv.ParseUint(chi.URLParam(request, "version"), 10, 64)
	body, err2 := io.ReadAll(io.LimitReader(request.Body, maxMap))
	var m struct {
		Layers [][]int `json:"layers"`
	}
	if err != nil || err2 != nil || json.Unmarshal(body, &m) != nil {
		http.Error(w, "a map needs a version and layers", http.StatusBadRequest)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ranks[i].staged[version] = m.Layers
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write error means that the agent has gone.
	_ = json.NewEncoder(w).Encode(v)
}
