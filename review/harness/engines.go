//go:build review

package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"reflect"
	"slices"
	"strconv"
	"sync"
	"time"

	"bramleydeal/platform/standin"
)

// Figures of the group of model workers, after the sheet of the site int-bramley.
const (
	ranks     = 4
	sets      = 2
	experts   = 32
	places    = 11
	spare     = 4
	passTime  = 85 * time.Millisecond
	copyTime  = 60 * time.Millisecond
	formTime  = 600 * time.Millisecond
	stallTime = 1500 * time.Millisecond
	// topicPasses is the number of passes after which other experts are in demand.
	topicPasses = 60
)

// expertGroup is a stand-in of a group of model workers that run their passes together. Its
// workers do not compare fence numbers, as those of int-bramley (enforceFencing false).
type expertGroup struct {
	record  *record
	store   *standin.Store
	name    string
	service string

	mu    sync.Mutex
	ranks []*expertRank
	// step is the last pass that was begun.
	step  uint64
	epoch uint64
	// brokenAt is when a rank was lost, zero while the group is open.
	brokenAt time.Time
	// mixed are the passes that began with different maps.
	mixed []string
	// onOrder is called with mu held for each order that arrives. It returns how late the order
	// is carried out without an answer, 0 for at once with an answer.
	onOrder func(rank int, o orderBody) time.Duration
	passes  int
}

// expertRank is one worker of the group.
type expertRank struct {
	group   *expertGroup
	server  *http.Server
	number  int
	id      string
	address netip.AddrPort

	born             time.Time
	seq              uint64
	mapVersion       uint64
	mapExperts       [][]int
	prepared         uint64
	preparedExperts  [][]int
	highest          uint64
	copiedAt         time.Time
	armed, armedStep uint64
	hold             uint64
	counts           []uint64
	running          []*generation
}

// generation is a request that a worker runs: one event for each pass that is left.
type generation struct {
	left   int
	events chan int
	next   int
	// cut is closed if the worker breaks the request off.
	cut chan struct{}
}

// orderBody is an order to a worker.
type orderBody struct {
	Op      string    `json:"op"`
	Epoch   uint64    `json:"epoch"`
	Version uint64    `json:"version"`
	Step    uint64    `json:"step"`
	Map     [][][]int `json:"map"`
}

// startExpertGroup starts the workers of a group of a service, each on an address of its own,
// and registers them in the store.
func startExpertGroup(d *deployment, name, service string, network byte) (*expertGroup, error) {
	g := &expertGroup{record: d.record, store: d.store, name: name, service: service, epoch: 1, onOrder: func(int, orderBody) time.Duration { return 0 }}
	for i := range ranks {
		w, err := g.startWorker(i, d.ip(network, byte(i+1)), fmt.Sprintf("i-%02x%02x", network, i))
		if err != nil {
			return nil, err
		}
		g.ranks = append(g.ranks, w)
	}
	g.register()
	go g.run()
	return g, nil
}

// startWorker starts a worker as a rank of the group, with map 0.
func (g *expertGroup) startWorker(number int, ip netip.Addr, id string) (*expertRank, error) {
	l, err := net.Listen("tcp", ip.String()+":8228")
	if err != nil {
		return nil, err
	}
	w := &expertRank{group: g, number: number, id: id, address: netip.MustParseAddrPort(l.Addr().String()), born: time.Now()}
	w.server = &http.Server{Handler: w}
	w.reset()
	go func() { _ = w.server.Serve(l) }()
	return w, nil
}

// reset gives the worker map 0, with nothing prepared, armed or held.
func (w *expertRank) reset() {
	w.mapVersion, w.mapExperts = 0, nil
	w.prepared, w.preparedExperts, w.highest, w.armed, w.armedStep, w.hold = 0, nil, 0, 0, 0, 0
	w.counts = make([]uint64, sets*experts)
	for range sets {
		var own []int
		for e := w.number; e < experts; e += ranks {
			own = append(own, e)
		}
		w.mapExperts = append(w.mapExperts, own)
	}
}

// register writes the entries of the workers into the store. The group is not changed meanwhile.
func (g *expertGroup) register() {
	for _, w := range g.ranks {
		if w.server != nil {
			g.store.Put("servers", w.id, w.entry())
		}
	}
}

// lose ends a rank's worker without notice. The group is broken until it is back.
func (g *expertGroup) lose(number int) {
	g.mu.Lock()
	w := g.ranks[number]
	server := w.server
	w.server, g.brokenAt = nil, time.Now()
	g.record.printf("worker %s (rank %d of %s) at %s is gone; the group is broken", w.id, number, g.name, w.address)
	g.register()
	g.mu.Unlock()
	_ = server.Close()
	time.AfterFunc(stallTime, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		for _, w := range g.ranks {
			for _, r := range w.running {
				close(r.cut)
			}
			w.running = nil
		}
	})
}

// replace starts a new worker as a rank of the group at an address. The group opens after
// formTime in a new epoch.
func (g *expertGroup) replace(number int, ip netip.Addr, id string) error {
	w, err := g.startWorker(number, ip, id)
	if err != nil {
		return err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.record.printf("worker %s starts at %s as rank %d of %s", w.id, w.address, number, g.name)
	g.ranks[number] = w
	g.register()
	time.AfterFunc(formTime, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.epoch++
		g.brokenAt = time.Time{}
		for _, w := range g.ranks {
			w.reset()
		}
		g.record.printf("%s is open in epoch %d", g.name, g.epoch)
		g.register()
	})
	return nil
}

// run makes passes while a request runs and no rank holds the next one.
func (g *expertGroup) run() {
	for {
		time.Sleep(passTime)
		g.mu.Lock()
		g.pass()
		g.mu.Unlock()
	}
}

// pass begins the next pass, if there is one to make, and makes it. mu must be held.
func (g *expertGroup) pass() {
	idle := true
	if !g.brokenAt.IsZero() {
		return
	}
	for _, w := range g.ranks {
		idle = idle && len(w.running) == 0
		if w.hold == g.step+1 {
			return
		}
	}
	if idle {
		return
	}
	g.step++
	g.passes++
	for _, w := range g.ranks {
		if w.armed != 0 && w.armedStep == g.step {
			w.mapVersion, w.mapExperts = w.armed, w.preparedExperts
			w.armed, w.armedStep, w.prepared, w.preparedExperts = 0, 0, 0, nil
			g.record.printf("worker %s (rank %d of %s) switches to map %d as pass %d begins", w.id, w.number, g.name, w.mapVersion, g.step)
		}
	}
	var versions []uint64
	for _, w := range g.ranks {
		versions = append(versions, w.mapVersion)
	}
	if slices.Min(versions) != slices.Max(versions) {
		what := fmt.Sprintf("pass %d of %s begins with the maps %v", g.step, g.name, versions)
		if len(g.mixed) < 5 {
			g.record.printf("MAP: %s", what)
		}
		g.mixed = append(g.mixed, what)
	}
	topic := g.passes / topicPasses % ranks
	for _, w := range g.ranks {
		for s := range sets {
			for e := range experts {
				n := uint64(1)
				if e%ranks == topic && e/ranks < 4 {
					n = 40 // the experts that are in demand stand on one rank at first
				}
				w.counts[s*experts+e] += n * uint64(len(w.running))
			}
		}
		w.running = slices.DeleteFunc(w.running, func(r *generation) bool {
			r.next++
			r.left--
			r.events <- r.next
			if r.left <= 0 {
				close(r.events)
			}
			return r.left <= 0
		})
	}
}

// endRequests makes all requests that run end with the next pass. mu must be held.
func (g *expertGroup) endRequests() {
	for _, w := range g.ranks {
		for _, r := range w.running {
			r.left = 1
		}
	}
}

// ServeHTTP implements http.Handler.
func (w *expertRank) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	switch r.URL.Path {
	case "/report":
		w.report(out)
	case "/picked":
		w.picked(out, r.URL.Query().Has("lists"))
	case "/order":
		var o orderBody
		if json.Unmarshal(body, &o) != nil {
			out.WriteHeader(http.StatusBadRequest)
			return
		}
		w.order(out, r, o)
	default:
		w.generate(out, r)
	}
}

func reply(out http.ResponseWriter, status int, body any) {
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_ = json.NewEncoder(out).Encode(body)
}

func (w *expertRank) membership() map[string]any {
	state := "open"
	if !w.group.brokenAt.IsZero() {
		state = "broken"
	}
	return map[string]any{"name": w.group.name, "epoch": w.group.epoch, "rank": w.number, "state": state}
}

// isPrepared reports whether the copy of a prepared map is complete. mu must be held.
func (w *expertRank) isPrepared() bool { return w.prepared != 0 && time.Now().After(w.copiedAt) }

func (w *expertRank) report(out http.ResponseWriter) {
	g := w.group
	g.mu.Lock()
	body := map[string]any{
		"stage": "hybrid", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "busy": false, "seq": w.seq,
		"numWaiting": 0, "numRunning": len(w.running), "kvUsed": 0, "kvTotal": 280000, "handles": 0, "pace": 1,
		"group": w.membership(), "size": ranks, "step": g.step, "map": w.mapVersion, "prepared": nil, "armed": nil, "held": nil,
	}
	if w.isPrepared() {
		body["prepared"] = w.prepared
	}
	if w.armed != 0 {
		body["armed"] = map[string]any{"version": w.armed, "step": w.armedStep}
	}
	if w.hold != 0 {
		body["held"] = w.hold
	}
	g.mu.Unlock()
	reply(out, http.StatusOK, body)
}

func (w *expertRank) picked(out http.ResponseWriter, lists bool) {
	g := w.group
	g.mu.Lock()
	body := map[string]any{"step": g.step, "epoch": g.epoch, "counts": slices.Clone(w.counts)}
	if lists {
		body = map[string]any{"step": g.step, "epoch": g.epoch, "map": map[string]any{"version": w.mapVersion, "experts": w.mapExperts}, "prepared": nil}
		if w.isPrepared() {
			body["prepared"] = map[string]any{"version": w.prepared, "experts": w.preparedExperts}
		}
	}
	g.mu.Unlock()
	reply(out, http.StatusOK, body)
}

// order carries out an order, at once with an answer or late without one.
func (w *expertRank) order(out http.ResponseWriter, r *http.Request, o orderBody) {
	g := w.group
	g.mu.Lock()
	late := g.onOrder(w.number, o)
	if late > 0 {
		g.record.printf("worker %s (rank %d of %s): order %s version %d step %d gets no answer; it is carried out %v later", w.id, w.number, g.name, o.Op, o.Version, o.Step, late)
		g.mu.Unlock()
		time.AfterFunc(late, func() {
			g.mu.Lock()
			defer g.mu.Unlock()
			status := w.execute(o)
			g.record.printf("worker %s (rank %d of %s): late order %s version %d step %d is carried out: %d", w.id, w.number, g.name, o.Op, o.Version, o.Step, status)
		})
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	status := w.execute(o)
	g.record.printf("worker %s (rank %d of %s): order %s version %d step %d: %d", w.id, w.number, g.name, o.Op, o.Version, o.Step, status)
	g.mu.Unlock()
	out.WriteHeader(status)
}

// execute carries out an order and returns the status of its answer. mu must be held.
func (w *expertRank) execute(o orderBody) int {
	step := w.group.step
	begun := func(ok bool) int {
		if !ok {
			return http.StatusConflict
		}
		w.seq++
		return http.StatusAccepted
	}
	if o.Epoch != 0 && o.Epoch != w.group.epoch {
		return http.StatusConflict
	}
	switch o.Op {
	case "prepare":
		if o.Version == w.prepared {
			return http.StatusOK
		}
		if !validMap(o.Map) || w.armed != 0 || o.Version <= w.highest {
			return http.StatusConflict
		}
		w.highest, w.prepared, w.copiedAt, w.preparedExperts = o.Version, o.Version, time.Now().Add(copyTime), nil
		for s := range sets {
			w.preparedExperts = append(w.preparedExperts, o.Map[s][w.number])
		}
		return begun(true)
	case "arm":
		if w.armed == o.Version && w.armedStep == o.Step {
			return http.StatusOK
		}
		ok := w.isPrepared() && w.prepared == o.Version && w.armed == 0 && o.Step > step
		if ok {
			w.armed, w.armedStep = o.Version, o.Step
		}
		return begun(ok)
	case "disarm":
		ok := w.armed == o.Version && o.Version != 0
		if ok {
			w.armed, w.armedStep = 0, 0
		}
		return begun(ok)
	case "hold":
		if w.hold == o.Step {
			return http.StatusOK
		}
		ok := w.hold == 0 && o.Step > step
		if ok {
			w.hold = o.Step
		}
		return begun(ok)
	case "go":
		if w.hold != o.Step {
			return http.StatusOK
		}
		w.hold = 0
		return begun(true)
	}
	return http.StatusBadRequest
}

// validMap reports whether each expert is on at least one rank and no rank has too many.
func validMap(m [][][]int) bool {
	if len(m) != sets {
		return false
	}
	for _, set := range m {
		var held []int
		for _, r := range set {
			if len(r) > places {
				return false
			}
			held = append(held, r...)
		}
		slices.Sort(held)
		var all []int
		for e := range experts {
			all = append(all, e)
		}
		if len(set) != ranks || !reflect.DeepEqual(slices.Compact(held), all) {
			return false
		}
	}
	return true
}

// generate runs a request: a stream with as many events as its second number of tokens says.
func (w *expertRank) generate(out http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	if want := r.Header.Get("Target-Instance"); want != "" && want != w.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	n, _ := strconv.Atoi(r.URL.Query().Get("events"))
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	w.group.mu.Lock()
	if at := w.group.brokenAt; !at.IsZero() {
		w.group.mu.Unlock()
		time.Sleep(time.Until(at.Add(stallTime)))
		out.Header().Set("Request-Id", id)
		out.Header().Set("Not-Executed", "1")
		out.Header().Set("At-Server", "gone")
		out.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.group.mu.Unlock()
	run := &generation{left: n - from, next: from, events: make(chan int, 1000), cut: make(chan struct{})}
	w.group.record.printf("worker %s (rank %d of %s) runs request %s", w.id, w.number, w.group.name, id)
	w.group.mu.Lock()
	w.running = append(w.running, run)
	w.group.mu.Unlock()
	out.Header().Set("Request-Id", id)
	out.Header().Set("Response-Signature", "signed-by-"+w.id)
	out.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(out)
	for {
		select {
		case i, open := <-run.events:
			if !open {
				return
			}
			fmt.Fprintf(out, "id: %d\ndata: piece %d\n\n", i, i)
			if control.Flush() != nil {
				return
			}
		case <-run.cut:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			w.group.mu.Lock()
			w.running = slices.DeleteFunc(w.running, func(o *generation) bool { return o == run })
			w.group.mu.Unlock()
			return
		}
	}
}

// entry returns the worker's entry in the store.
func (w *expertRank) entry() map[string]any {
	return map[string]any{
		"service": w.group.service, "address": w.address.String(), "zone": "za", "version": "v1", "slots": 12, "state": "ready",
		"coldRemainingMs": 0, "stage": "hybrid", "seq": 1, "born": w.born.UnixMilli(), "group": w.membership(), "size": ranks,
	}
}
