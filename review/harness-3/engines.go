//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"reflect"
	"strconv"
	"sync"
	"time"
)

// Shape of the stand-in's experts.
const (
	expertSets    = 2
	expertCount   = 16
	expertPlaces  = 6
	expertSpare   = 4
	copyTime      = 40 * time.Millisecond
	passTime      = 60 * time.Millisecond
	demandShift   = 2500 * time.Millisecond
	picksPerPass  = 200
	hotExperts    = 3
	hotShare      = 0.8
	engineService = "bramley-llm"
)

// expertMap holds the experts by set and rank.
type expertMap [][][]int

// engineGroup is a stand-in for a group of model workers that run their passes in lock-step. It
// follows PROTOCOL.md: prepare, arm, disarm, hold and go, without fence numbers.
type engineGroup struct {
	name  string
	ranks []*engine
	// onOrder is asked about each order, and may tell that it is to get no answer. late is then called
	// with what carries it out.
	onOrder func(rank int, o engineOrder) (unanswered bool)
	late    func(rank int, o engineOrder, carryOut func() int)
	log     func(format string, args ...any)

	mu     sync.Mutex
	step   uint64
	broken []string
	hot    []int
}

// engine is one rank. engineGroup.mu guards its fields.
type engine struct {
	group   *engineGroup
	rank    int
	address string
	born    time.Time

	version           uint64
	content           expertMap
	highest           uint64
	copying, prepared uint64
	preparedMap       expertMap
	armed, armedStep  uint64
	held              uint64
	seq               int
	counts            []uint64
}

// engineOrder is the body of an order.
type engineOrder struct {
	Op      string    `json:"op"`
	Epoch   uint64    `json:"epoch"`
	Version uint64    `json:"version"`
	Step    uint64    `json:"step"`
	Map     expertMap `json:"map"`
}

// newEngineGroup starts a group whose ranks are served on the given hosts.
func newEngineGroup(name string, hosts []string) *engineGroup {
	g := &engineGroup{name: name, onOrder: func(int, engineOrder) bool { return false }, log: func(string, ...any) {}}
	first := make(expertMap, expertSets)
	for set := range first {
		first[set] = make([][]int, len(hosts))
		for e := range expertCount {
			first[set][e%len(hosts)] = append(first[set][e%len(hosts)], e)
		}
	}
	for i, host := range hosts {
		l, err := net.Listen("tcp", host+":0")
		if err != nil {
			cannotRun("listen: %v", err)
		}
		e := &engine{group: g, rank: i, address: l.Addr().String(), born: time.Now(), content: first, counts: make([]uint64, expertSets*expertCount)}
		g.ranks = append(g.ranks, e)
		go func() { _ = http.Serve(l, e) }()
	}
	return g
}

// run runs passes until stop is closed.
func (g *engineGroup) run(stop <-chan struct{}) {
	shift := time.Now()
	next := time.Now()
	for {
		select {
		case <-stop:
			return
		case <-time.After(max(time.Until(next), time.Millisecond)):
		}
		g.mu.Lock()
		if time.Now().After(shift) {
			shift = time.Now().Add(demandShift)
			g.hot = rand.Perm(expertCount)[:hotExperts]
		}
		if g.mayBegin() {
			g.begin()
			next = time.Now().Add(passTime)
		}
		g.mu.Unlock()
	}
}

// mayBegin reports whether no rank holds the next pass.
func (g *engineGroup) mayBegin() bool {
	for _, e := range g.ranks {
		if e.held == g.step+1 {
			return false
		}
	}
	return true
}

// begin begins the next pass.
func (g *engineGroup) begin() {
	g.step++
	for _, e := range g.ranks {
		if e.armed != 0 && e.armedStep == g.step {
			e.version, e.content, e.armed, e.armedStep = e.armed, e.preparedMap, 0, 0
		}
		for range picksPerPass {
			expert := rand.IntN(expertCount)
			if rand.Float64() < hotShare {
				expert = g.hot[rand.IntN(len(g.hot))]
			}
			for set := range expertSets {
				e.counts[set*expertCount+expert]++
			}
		}
	}
	for _, e := range g.ranks[1:] {
		if e.version != g.ranks[0].version || !reflect.DeepEqual(e.content, g.ranks[0].content) {
			text := fmt.Sprintf("pass %d begins while rank 0 has map %d and rank %d has map %d", g.step, g.ranks[0].version, e.rank, e.version)
			if g.broken = append(g.broken, text); len(g.broken) <= 3 {
				g.log("BROKEN: %s", text)
			}
			return
		}
	}
}

// brokenPasses returns the passes that began on two maps.
func (g *engineGroup) brokenPasses() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.broken)
}

// registration is the rank's object in the store.
func (e *engine) registration(zone string) map[string]any {
	return map[string]any{
		"service": engineService, "address": e.address, "zone": zone, "version": "v1", "slots": 12, "state": "ready", "coldRemainingMs": 0, "seq": 1,
		"born": e.born.UnixMilli(), "size": len(e.group.ranks),
		"group": map[string]any{"name": e.group.name, "epoch": 1, "rank": e.rank, "state": "open"},
	}
}

// ServeHTTP implements http.Handler.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.Method + " " + r.URL.Path {
	case "GET /report":
		writeJSON(w, http.StatusOK, e.report())
	case "GET /picked":
		writeJSON(w, http.StatusOK, e.picked(r.URL.Query().Has("lists")))
	case "POST /order":
		var o engineOrder
		if json.NewDecoder(r.Body).Decode(&o) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if e.group.onOrder(e.rank, o) {
			e.group.log("rank %d gives no answer to %s version %d step %d", e.rank, o.Op, o.Version, o.Step)
			e.group.late(e.rank, o, func() int { return e.apply(o) })
			<-r.Context().Done()
			return
		}
		status := e.apply(o)
		if o.Op != "go" || o.Step < 1<<40 {
			e.group.log("rank %d: %s version %d step %d: %d", e.rank, o.Op, o.Version, o.Step, status)
		}
		writeJSON(w, status, map[string]any{})
	default:
		e.stream(w, r)
	}
}

// streamEvents is the number of events of a stream, one a pass.
const streamEvents = 24

// stream runs a request: its group writes one event a pass.
func (e *engine) stream(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id, name := r.Header.Get("Request-Id"), fmt.Sprintf("i-llm-%d", e.rank)
	h := w.Header()
	h.Set("Request-Id", id)
	if want := r.Header.Get("Target-Instance"); want != "" && want != name {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	h.Set("Response-Signature", "signed-by-"+name)
	h.Set("Instance-Load", "4,0,12")
	h.Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	last := e.group.currentStep()
	for i := from + 1; i <= streamEvents; i++ {
		for e.group.currentStep() == last {
			select {
			case <-r.Context().Done():
				return
			case <-time.After(5 * time.Millisecond):
			}
		}
		last = e.group.currentStep()
		fmt.Fprintf(w, "id: %d\ndata: piece %d of %s\n\n", i, i, id)
		if http.NewResponseController(w).Flush() != nil {
			return
		}
	}
}

func (g *engineGroup) currentStep() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.step
}

func (e *engine) report() map[string]any {
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	out := map[string]any{
		"stage": "hybrid", "models": []map[string]any{{"name": "m", "version": 1, "adapters": []string{}}}, "busy": e.copying != 0, "seq": e.seq,
		"numWaiting": 0, "numRunning": 4, "kvUsed": 1000, "kvTotal": 280000, "handles": 0, "pace": 1, "born": e.born.UnixMilli(),
		"group": map[string]any{"name": e.group.name, "epoch": 1, "rank": e.rank, "state": "open"}, "size": len(e.group.ranks),
		"step": e.group.step, "map": e.version,
	}
	if e.prepared != 0 {
		out["prepared"] = e.prepared
	}
	if e.armed != 0 {
		out["armed"] = map[string]any{"version": e.armed, "step": e.armedStep}
	}
	if e.held != 0 {
		out["held"] = e.held
	}
	return out
}

func (e *engine) picked(lists bool) map[string]any {
	e.group.mu.Lock()
	defer e.group.mu.Unlock()
	if !lists {
		return map[string]any{"step": e.group.step, "epoch": 1, "counts": append([]uint64{}, e.counts...)}
	}
	own := func(m expertMap) [][]int {
		var out [][]int
		for set := range m {
			out = append(out, m[set][e.rank])
		}
		return out
	}
	out := map[string]any{"map": map[string]any{"version": e.version, "experts": own(e.content)}}
	if e.prepared != 0 {
		out["prepared"] = map[string]any{"version": e.prepared, "experts": own(e.preparedMap)}
	}
	return out
}

// apply carries out an order and returns the status of the answer.
func (e *engine) apply(o engineOrder) int {
	g := e.group
	g.mu.Lock()
	defer g.mu.Unlock()
	if o.Epoch != 1 {
		return http.StatusConflict
	}
	status := http.StatusConflict
	switch o.Op {
	case "prepare":
		if o.Version > e.highest && e.armed == 0 && e.fits(o.Map) {
			e.highest, e.copying = o.Version, o.Version
			time.AfterFunc(copyTime, func() {
				g.mu.Lock()
				defer g.mu.Unlock()
				if e.copying == o.Version {
					e.copying, e.prepared, e.preparedMap = 0, o.Version, o.Map
				}
			})
			status = http.StatusAccepted
		}
	case "arm":
		switch {
		case e.armed == o.Version && e.armedStep == o.Step && o.Version != 0:
			status = http.StatusOK
		case e.armed == 0 && e.prepared == o.Version && o.Version != 0 && o.Step > g.step && e.version != o.Version:
			e.armed, e.armedStep, status = o.Version, o.Step, http.StatusAccepted
		}
	case "disarm":
		switch {
		case e.version == o.Version:
		case e.armed == o.Version:
			e.armed, e.armedStep, status = 0, 0, http.StatusAccepted
		default:
			status = http.StatusOK
		}
	case "hold":
		switch {
		case e.held == o.Step:
			status = http.StatusOK
		case e.held == 0 && o.Step > g.step:
			e.held, status = o.Step, http.StatusAccepted
		}
	case "go":
		status = http.StatusOK
		if e.held == o.Step {
			e.held, status = 0, http.StatusAccepted
		}
	default:
		status = http.StatusBadRequest
	}
	if status == http.StatusAccepted {
		e.seq++
	}
	return status
}

// fits reports whether a map fits the group and the rank.
func (e *engine) fits(m expertMap) bool {
	if len(m) != expertSets {
		return false
	}
	for set := range m {
		if len(m[set]) != len(e.group.ranks) {
			return false
		}
		has := map[int]bool{}
		for _, experts := range m[set] {
			if len(experts) > expertPlaces {
				return false
			}
			for _, x := range experts {
				has[x] = true
			}
		}
		before, added := map[int]bool{}, 0
		for _, x := range e.content[set][e.rank] {
			before[x] = true
		}
		for _, x := range m[set][e.rank] {
			if !before[x] {
				added++
			}
		}
		if len(has) != expertCount || added > expertSpare {
			return false
		}
	}
	return true
}
