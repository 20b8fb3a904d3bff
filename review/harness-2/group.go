//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Figures of the group, as in the file of the site int-bramley.
const (
	groupSize  = 12
	expertSets = 3
	experts    = 96
	places     = 11
	spare      = 4
	// copyTime is the time for one expert, 2,200 MB over 44,000 Mbit/s.
	copyTime = 400 * time.Millisecond
	// passTime is the length of a pass under load.
	passTime = 85 * time.Millisecond
	// demandTime is the time for which the demand for experts stays the same.
	demandTime = 2 * time.Second
)

// group stands in for a group that the platform forms of model workers: all ranks begin each pass
// together. It checks that they use the same map.
type group struct {
	run *run

	mu      sync.Mutex
	epoch   uint64
	step    uint64
	open    bool
	members []*modelWorker
	hot     [expertSets][]int
	passes  int
	// changes is the number of changes of the map in this epoch.
	changes int
	broken  []string
	closed  chan struct{}
}

// modelWorker is a worker, which may be a rank.
type modelWorker struct {
	group *group
	name  string
	down  bool
	// rank is -1 for a worker in no group.
	rank            int
	seq             int
	inUse           uint64
	content         [][]int
	highest         uint64
	prepared        uint64
	preparedContent [][]int
	preparedAt      time.Time
	armed           uint64
	armedStep       uint64
	held            uint64
	counts          []uint64
}

func newModelWorker(g *group, name string) *modelWorker {
	w := &modelWorker{group: g, name: name}
	w.restart()
	return w
}

// restart makes the worker forget everything.
func (w *modelWorker) restart() {
	*w = modelWorker{group: w.group, name: w.name, rank: -1, counts: make([]uint64, expertSets*experts)}
}

// form opens the group in a new epoch, with map 0 and nothing prepared, armed or held.
func (g *group) form(members []*modelWorker) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.epoch++
	g.members, g.open, g.changes = members, true, 0
	for i, w := range members {
		w.rank, w.inUse, w.prepared, w.armed, w.held, w.content = i, 0, 0, 0, 0, nil
		for range expertSets {
			var own []int
			for e := i; e < experts; e += groupSize {
				own = append(own, e) // map 0 assigns the experts in turn
			}
			w.content = append(w.content, own)
		}
		g.run.note("epoch %d: rank %d is %s", g.epoch, i, w.name)
	}
}

// crash takes workers down. Their group stands still until it is formed again.
func (g *group) crash(workers ...*modelWorker) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open = false
	for _, w := range workers {
		w.restart()
		w.down = true
		g.run.note("%s crashes", w.name)
	}
}

// changesMade returns the number of changes of the map in this epoch.
func (g *group) changesMade() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.changes
}

// back makes a worker that crashed reachable again.
func (g *group) back(w *modelWorker) {
	g.mu.Lock()
	defer g.mu.Unlock()
	w.down = false
}

// play begins one pass after the other until the group is closed.
func (g *group) play() {
	demandAt := time.Time{}
	for {
		select {
		case <-g.closed:
			return
		case <-time.After(passTime):
		}
		if time.Since(demandAt) >= demandTime {
			demandAt = time.Now()
			g.mu.Lock()
			for s := range g.hot {
				g.hot[s] = rand.Perm(experts)[:8]
			}
			g.mu.Unlock()
		}
		for !g.begin() {
			select {
			case <-g.closed:
				return
			case <-time.After(time.Millisecond):
			}
		}
	}
}

// begin begins the next pass, unless the group isn't open or a rank holds it.
func (g *group) begin() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	next := g.step + 1
	if !g.open || slices.ContainsFunc(g.members, func(w *modelWorker) bool { return w.held == next }) {
		return false
	}
	g.step = next
	g.passes++
	switched := false
	for _, w := range g.members {
		if w.armed != 0 && w.armedStep == next {
			w.inUse, w.content = w.armed, w.preparedContent
			w.armed, w.prepared = 0, 0
			switched = true
		}
	}
	versions := map[uint64][]int{}
	for _, w := range g.members {
		versions[w.inUse] = append(versions[w.inUse], w.rank)
	}
	if switched {
		g.changes++
		g.run.note("pass %d of epoch %d begins with maps (version: ranks) %v", next, g.epoch, versions)
	}
	if len(versions) > 1 {
		g.broken = append(g.broken, fmt.Sprintf("pass %d begins with maps (version: ranks) %v", next, versions))
	}
	for _, w := range g.members {
		for s := range expertSets {
			for e := range experts {
				w.counts[s*experts+e] += uint64(20 + rand.IntN(10))
			}
			for _, e := range g.hot[s] {
				w.counts[s*experts+e] += uint64(400 + rand.IntN(60))
			}
		}
	}
	return true
}

// ServeHTTP serves the calls to one worker.
func (w *modelWorker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	w.group.mu.Lock()
	down := w.down
	w.group.mu.Unlock()
	if down {
		panic(http.ErrAbortHandler)
	}
	switch r.URL.Path {
	case "/report":
		writeJSON(out, http.StatusOK, w.report())
	case "/picked":
		writeJSON(out, http.StatusOK, w.picked(r.URL.Query().Has("lists")))
	case "/order":
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			writeJSON(out, http.StatusBadRequest, nil)
			return
		}
		status := w.order(o)
		w.group.run.note("%s: %s version %d step %d epoch %d: %d", w.name, o.Op, o.Version, o.Step, o.Epoch, status)
		writeJSON(out, status, map[string]any{})
	default:
		out.WriteHeader(http.StatusNotFound)
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write error means that the caller has closed the connection.
	_ = json.NewEncoder(w).Encode(body)
}

func (w *modelWorker) report() map[string]any {
	g := w.group
	g.mu.Lock()
	defer g.mu.Unlock()
	out := map[string]any{
		"stage": "hybrid", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false, "seq": w.seq,
		"numWaiting": 0, "numRunning": 12, "kvUsed": 1000, "kvTotal": 280000, "handles": 0, "step": 0, "map": w.inUse,
	}
	if w.rank < 0 {
		return out
	}
	state := "open"
	if !g.open {
		state = "broken"
	}
	out["group"], out["size"], out["step"] = map[string]any{"name": "g0", "epoch": g.epoch, "rank": w.rank, "state": state}, groupSize, g.step
	if w.prepared != 0 && !time.Now().Before(w.preparedAt) {
		out["prepared"] = w.prepared
	}
	if w.armed != 0 {
		out["armed"] = map[string]any{"version": w.armed, "step": w.armedStep}
	}
	if w.held != 0 {
		out["held"] = w.held
	}
	return out
}

func (w *modelWorker) picked(lists bool) map[string]any {
	g := w.group
	g.mu.Lock()
	defer g.mu.Unlock()
	out := map[string]any{"step": g.step, "epoch": g.epoch}
	if lists {
		out["map"], out["prepared"] = map[string]any{"version": w.inUse, "experts": w.content}, nil
	} else {
		out["counts"] = slices.Clone(w.counts)
	}
	return out
}

// order is an order to a worker.
type order struct {
	Op      string    `json:"op"`
	Epoch   uint64    `json:"epoch"`
	Version uint64    `json:"version"`
	Step    uint64    `json:"step"`
	Map     [][][]int `json:"map"`
}

// order carries out an order and returns the status of its answer. A worker in no group takes none.
func (w *modelWorker) order(o order) int {
	g := w.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if w.rank < 0 || o.Epoch != g.epoch || !g.open {
		return http.StatusConflict
	}
	status := w.carryOut(o)
	if status == http.StatusAccepted {
		w.seq++
	}
	return status
}

func (w *modelWorker) carryOut(o order) int {
	begun := o.Step <= w.group.step
	switch o.Op {
	case "prepare":
		return w.prepare(o)
	case "arm":
		switch {
		case w.armed == o.Version && w.armedStep == o.Step:
			return http.StatusOK
		case w.prepared != o.Version || time.Now().Before(w.preparedAt) || begun || w.armed != 0:
			return http.StatusConflict
		}
		w.armed, w.armedStep = o.Version, o.Step
	case "disarm":
		if w.armed != o.Version {
			return http.StatusConflict
		}
		w.armed = 0
	case "hold":
		switch {
		case w.held == o.Step:
			return http.StatusOK
		case w.held != 0 || begun:
			return http.StatusConflict
		}
		w.held = o.Step
	case "go":
		if w.held != o.Step {
			return http.StatusOK
		}
		w.held = 0
	default:
		return http.StatusBadRequest
	}
	return http.StatusAccepted
}

// prepare starts to copy the experts of a map that are new to the worker. Each expert must be on
// some rank.
func (w *modelWorker) prepare(o order) int {
	if o.Version <= w.highest || w.armed != 0 || len(o.Map) != expertSets {
		return http.StatusConflict
	}
	copies := 0
	var content [][]int
	for s, ranks := range o.Map {
		if len(ranks) != groupSize {
			return http.StatusConflict
		}
		held := map[int]bool{}
		for _, own := range ranks {
			if len(own) > places {
				return http.StatusConflict
			}
			for _, e := range own {
				held[e] = true
			}
		}
		fresh := 0
		for _, e := range ranks[w.rank] {
			if !slices.Contains(w.content[s], e) {
				fresh++
			}
		}
		if len(held) != experts || fresh > spare {
			return http.StatusConflict
		}
		copies += fresh
		content = append(content, ranks[w.rank])
	}
	w.highest, w.prepared, w.preparedContent, w.preparedAt = o.Version, o.Version, content, time.Now().Add(time.Duration(copies)*copyTime)
	return http.StatusAccepted
}
