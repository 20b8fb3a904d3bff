// Package ranks implements the stand-in for the ranks of an expert-parallel group
// in tests. The ranks run in lock-step, each under the plan that its own agent
// has written to it, and the group counts the steps by expert map, among them
// those in which ranks used different maps.
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

// Grant allows a rank to use the expert map of a version from a step on, until
// the next grant.
type Grant struct {
	FromStep   uint64 `json:"from"`
	MapVersion uint64 `json:"map"`
}

// Plan is the state that an agent writes to its rank with a conditional update.
type Plan struct {
	// Version is incremented with each accepted plan. A rank that honours fencing
	// refuses a plan whose version is not the current one, so that an agent
	// cannot overwrite a plan that it has not read.
	Version uint64  `json:"version"`
	Grants  []Grant `json:"grants"`
	// HoldStep is the step before which the group stops; 0 for none.
	HoldStep uint64 `json:"hold"`
	// MaxStep makes the rank refuse the plan when the group's next step is
	// later than this one; 0 for no limit.
	MaxStep uint64 `json:"not-past"`
	// RequiredMap makes the rank refuse the plan when this map is not staged; 0 for
	// none.
	RequiredMap uint64 `json:"needs"`
	// State is opaque to the rank, which stores it for its agent.
	State json.RawMessage `json:"state,omitempty"`
}

// Status is the response of a rank to a read and to a plan.
type Status struct {
	// Step is the next step of the group.
	Step uint64 `json:"step"`
	Plan Plan   `json:"plan"`
	// LoadMap is the map under which Tokens were counted.
	LoadMap uint64 `json:"load-map"`
	// Tokens are the tokens since they were last read, by layer and slot of the
	// rank.
	Tokens []uint32 `json:"tokens,omitempty"`
}

// Stats are the counts of a group since its start.
type Stats struct {
	Steps uint64 `json:"steps"`
	// MixedMapSteps counts the steps in which two ranks used different maps.
	MixedMapSteps int `json:"mixed"`
	// UnstagedMapSteps counts, over all ranks, the steps in which a rank used a
	// map that it had not staged.
	UnstagedMapSteps int `json:"unstaged"`
	// StepsByMap is the number of steps by the map version that the first rank
	// used.
	StepsByMap map[uint64]int `json:"maps"`
	// LongestWaitMilliseconds is the longest time by which a step started later
	// than one step time after the step before it.
	LongestWaitMilliseconds int64 `json:"longest-wait-milliseconds"`
	// WaitsOver100Milliseconds counts the steps that were late by more than 100 ms.
	WaitsOver100Milliseconds int `json:"waits-over-100-milliseconds"`
}

// rank is the state of one rank, which a restart loses.
type rank struct {
	plan Plan
	// stagedMaps are the experts of each map, by map version, layer and slot of
	// the group.
	stagedMaps map[uint64][][]int
	// lastMap is the map used in the last step, under which tokenCounts, by layer
	// and slot of the rank, were counted.
	lastMap     uint64
	tokenCounts []uint32
	stalled     bool
}

// Group is a group of ranks that run in lock-step. It is safe for concurrent use.
type Group struct {
	stepTime      time.Duration
	honourFencing bool
	popularity    func(layer, expert int, step uint64) float64

	mu         sync.Mutex
	ranks      []*rank
	nextStep   uint64
	stats      Stats
	lastStepAt time.Time
}

// New returns a group of n ranks that starts a step every stepTime while Run
// runs. With honourFencing, ranks refuse plans that do not replace the version
// read. popularity returns the number of tokens that choose an expert in a step;
// without it no tokens are counted.
func New(n int, stepTime time.Duration, honourFencing bool, popularity func(layer, expert int, step uint64) float64) *Group {
	g := &Group{stepTime: stepTime, honourFencing: honourFencing, popularity: popularity, stats: Stats{StepsByMap: map[uint64]int{}}}
	for range n {
		g.ranks = append(g.ranks, newRank())
	}
	return g
}

func newRank() *rank { return &rank{stagedMaps: map[uint64][][]int{}} }

// Run executes the steps of the group until ctx ends.
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

// tryStep executes the next step if no rank is stalled and the plan of every rank
// allows it.
func (g *Group) tryStep(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	maps := make([]uint64, len(g.ranks))
	for i, r := range g.ranks {
		m, ok := r.mapAt(g.nextStep)
		if !ok || r.stalled {
			return
		}
		maps[i] = m
	}
	if !g.lastStepAt.IsZero() && g.nextStep > 0 {
		wait := now.Sub(g.lastStepAt) - g.stepTime
		g.stats.LongestWaitMilliseconds = max(g.stats.LongestWaitMilliseconds, wait.Milliseconds())
		if wait > 100*time.Millisecond {
			g.stats.WaitsOver100Milliseconds++
		}
	}
	g.lastStepAt = now
	g.recordStep(maps)
	g.nextStep++
	g.stats.Steps = g.nextStep
}

// recordStep counts the step under the maps that the ranks used and counts its
// tokens; g.mu is held.
func (g *Group) recordStep(maps []uint64) {
	mixed := false
	for i, r := range g.ranks {
		mixed = mixed || maps[i] != maps[0]
		if _, staged := r.stagedMaps[maps[i]]; !staged {
			g.stats.UnstagedMapSteps++
		}
		r.countTokens(maps[i], i, len(g.ranks), g.nextStep, g.popularity)
	}
	if mixed {
		g.stats.MixedMapSteps++
	}
	g.stats.StepsByMap[maps[0]]++
}

// mapAt returns the map that the plan allows in a step, and false if there is
// none or the plan holds the group before that step.
func (r *rank) mapAt(step uint64) (uint64, bool) {
	if r.plan.HoldStep != 0 && step >= r.plan.HoldStep {
		return 0, false
	}
	for i := len(r.plan.Grants) - 1; i >= 0; i-- {
		if r.plan.Grants[i].FromStep <= step {
			return r.plan.Grants[i].MapVersion, true
		}
	}
	return 0, false
}

// countTokens counts the tokens of a step for the slots of this rank. self is its
// index in the group, ranks the number of ranks. Tokens of an expert that the map
// has in several slots are divided evenly among them.
func (r *rank) countTokens(m uint64, self, ranks int, step uint64, popularity func(int, int, uint64) float64) {
	layers := r.stagedMaps[m]
	if r.lastMap != m {
		r.lastMap, r.tokenCounts = m, nil
	}
	if len(layers) == 0 || popularity == nil {
		return
	}
	slots := len(layers[0]) / ranks
	if r.tokenCounts == nil {
		r.tokenCounts = make([]uint32, len(layers)*slots)
	}
	for l, experts := range layers {
		for s, e := range experts[self*slots : (self+1)*slots] {
			if e >= 0 {
				r.tokenCounts[l*slots+s] += uint32(popularity(l, e, step) / float64(countReplicas(experts, e)))
			}
		}
	}
}

// countReplicas returns the number of slots that hold expert e.
func countReplicas(experts []int, e int) int {
	n := 0
	for _, x := range experts {
		if x == e {
			n++
		}
	}
	return n
}

// Handler returns the handler of the API of rank i. Paths under /standin inject
// faults and return the counts of the group.
func (g *Group) Handler(i int) http.Handler {
	r := chi.NewRouter()
	r.Get("/rank", func(w http.ResponseWriter, r *http.Request) { g.getStatus(w, i, r.URL.Query().Has("tokens")) })
	r.Put("/rank", func(w http.ResponseWriter, r *http.Request) { g.putPlan(w, r, i) })
	r.Put("/rank/maps/{version}", func(w http.ResponseWriter, r *http.Request) { g.stageMap(w, r, i) })
	r.Post("/standin/forget", func(http.ResponseWriter, *http.Request) { g.LoseState(i) })
	r.Post("/standin/stall", func(_ http.ResponseWriter, r *http.Request) { g.SetStalled(i, r.URL.Query().Has("on")) })
	r.Get("/standin/record", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, g.Stats()) })
	r.Get("/standin/counts", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, g.Stats()) })
	return r
}

// Stats returns a copy of the counts since the start.
func (g *Group) Stats() Stats {
	g.mu.Lock()
	defer g.mu.Unlock()
	out := g.stats
	out.StepsByMap = make(map[uint64]int, len(g.stats.StepsByMap))
	for m, n := range g.stats.StepsByMap {
		out.StepsByMap[m] = n
	}
	return out
}

// LoseState makes rank i lose its plan, staged maps and counts, as a restart does.
func (g *Group) LoseState(i int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ranks[i] = newRank()
}

// SetStalled stalls or resumes rank i. The group runs no step while a rank is
// stalled.
func (g *Group) SetStalled(i int, on bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ranks[i].stalled = on
}

// getStatus writes the status of rank i. With tokens, it includes the token counts
// and resets them.
func (g *Group) getStatus(w http.ResponseWriter, i int, tokens bool) {
	g.mu.Lock()
	r := g.ranks[i]
	s := Status{Step: g.nextStep, Plan: r.plan}
	if tokens {
		s.LoadMap, s.Tokens = r.lastMap, r.tokenCounts
		r.tokenCounts = nil
	}
	g.mu.Unlock()
	writeJSON(w, http.StatusOK, s)
}

// putPlan replaces the plan of rank i, or responds with status 409 and the current
// plan when the rank refuses the new one.
func (g *Group) putPlan(w http.ResponseWriter, request *http.Request, i int) {
	var p Plan
	if err := json.NewDecoder(request.Body).Decode(&p); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	g.mu.Lock()
	r := g.ranks[i]
	_, staged := r.stagedMaps[p.RequiredMap]
	refused := p.RequiredMap != 0 && !staged || p.MaxStep != 0 && g.nextStep > p.MaxStep || g.honourFencing && p.Version != r.plan.Version
	if !refused {
		p.Version = r.plan.Version + 1
		r.plan = p
	}
	s := Status{Step: g.nextStep, Plan: r.plan}
	g.mu.Unlock()
	if refused {
		writeJSON(w, http.StatusConflict, s)
		return
	}
	writeJSON(w, http.StatusOK, s)
}

// maxMapBytes is the maximum size of a staged map.
const maxMapBytes = 16 << 20

func (g *Group) stageMap(w http.ResponseWriter, request *http.Request, i int) {
	version, err := strconv.ParseUint(chi.URLParam(request, "version"), 10, 64)
	body, err2 := io.ReadAll(io.LimitReader(request.Body, maxMapBytes))
	var m struct {
		Layers [][]int `json:"layers"`
	}
	if err != nil || err2 != nil || json.Unmarshal(body, &m) != nil {
		http.Error(w, "a map needs a version and layers", http.StatusBadRequest)
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.ranks[i].stagedMaps[version] = m.Layers
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write error means that the agent has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}
