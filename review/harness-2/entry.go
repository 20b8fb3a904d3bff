//go:build review

package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"bramleydeal/platform/standin"
)

// workTime is the time that a plain request takes at its worker.
const workTime = 60 * time.Millisecond

// site is a small deployment: a store, workers of a plain service, and entries.
type site struct {
	run     *run
	store   *standin.Store
	workers []*plainWorker
	entries []*entryProcess
	stops   []func()
}

// entryProcess is an entry with the address for clients.
type entryProcess struct {
	*program
	address string
	ready   string
}

// newSite starts the store, a worker of each of the given services, and entries.
func newSite(r *run, entries int, services ...string) (*site, error) {
	s := &site{run: r, store: standin.NewStore()}
	port, err := freePort("127.0.0.1")
	if err != nil {
		return s, err
	}
	storeAddress := fmt.Sprintf("127.0.0.1:%d", port)
	stop, err := serveAt(storeAddress, s.store)
	if err != nil {
		return s, err
	}
	s.stops = append(s.stops, stop)
	s.store.PutConfiguration(plainConfiguration(1, false))
	for i, service := range services {
		w, err := newPlainWorker(r, fmt.Sprintf("i-%d", i), workTime)
		if err != nil {
			return s, err
		}
		s.stops = append(s.stops, w.close)
		s.workers = append(s.workers, w)
		w.beat = map[string]any{
			"service": service, "address": w.address, "zone": "z0", "version": "v1", "slots": 12, "state": "ready",
			"coldRemainingMs": 0, "seq": 1, "born": time.Now().UnixMilli(),
		}
		s.store.Put("servers", w.id, w.beat)
	}
	host := "127.0.0.1"
	var peers []string
	var ports [][3]int
	for range entries {
		var p [3]int
		for k := range p {
			if p[k], err = freePort(host); err != nil {
				return s, err
			}
		}
		ports = append(ports, p)
		peers = append(peers, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", host, p[2])))
	}
	for i, p := range ports {
		name := fmt.Sprintf("front-%d", i)
		e, err := r.start("entry", name, fmt.Sprintf(`{
  "name": %q, "failure-domain": "z0", "listen": "%s:%d", "ready-listen": "%s:%d", "peer-listen": "%s:%d",
  "platform": %q, "peers": [%s],
  "direct": { "drain-time": "2000ms", "grace": "8s", "retry-ratio": 0.2, "retry-slack": 92, "retry-window": "10s",
    "regions": {"z0":"r"}, "admission": "in-time", "fencing": true },
  "log-format": "json", "plain-outside-loopback": true
}`, name, host, p[0], host, p[1], host, p[2], storeAddress, strings.Join(peers, ",")))
		if err != nil {
			return s, err
		}
		s.entries = append(s.entries, &entryProcess{e, fmt.Sprintf("%s:%d", host, p[0]), fmt.Sprintf("http://%s:%d/ready", host, p[1])})
	}
	return s, s.awaitReady()
}

// awaitReady waits until all entries are ready.
func (s *site) awaitReady() error {
	deadline := time.Now().Add(15 * time.Second)
	for _, e := range s.entries {
		for {
			response, err := http.Get(e.ready)
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s does not become ready", e.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (s *site) close() {
	for _, e := range s.entries {
		e.end()
	}
	for _, stop := range s.stops {
		stop()
	}
}

// peakMB returns the most memory in MB that the process has had resident.
func (p *program) peakMB() float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.command.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, _ := strconv.ParseFloat(strings.TrimSuffix(strings.TrimSpace(rest), " kB"), 64)
			return kb / 1024
		}
	}
	return 0
}

// plainConfiguration returns a desired state with a plain service and a model service, and routes
// that need keys. If withPublic is set, a part of one of them is a public route of its own.
func plainConfiguration(version int, withPublic bool) map[string]any {
	route := func(name, prefix, kind, service string, public bool) map[string]any {
		return map[string]any{"name": name, "host": "mahn.example", "pathPrefix": prefix, "kind": kind, "timeoutMs": 4000,
			"targetLatencyMs": 300, "priority": 0, "service": service, "attempts": 2, "public": public}
	}
	stream := route("mahnbrief", "/brief/", "stream", "textflotte", false)
	stream["timeoutMs"], stream["targetLatencyMs"], stream["gap_aim_ms"], stream["resumable"], stream["sessionAffinity"] = 8000, 400, 120, true, true
	routes := []any{
		route("zahl-abgleich", "/abgleich/", "non_idempotent", "status-api", false),
		route("frist-check", "/frist/", "idempotent", "status-api", false),
		stream,
	}
	if withPublic {
		routes = append(routes, route("frist-info", "/frist/info/", "idempotent", "status-api", true))
	}
	return map[string]any{
		"version": version, "routes": routes,
		"services": []any{
			map[string]any{"name": "status-api", "healthPath": "/healthz", "maxConns": 100, "protocol": "h1", "tls": false},
			map[string]any{"name": "textflotte", "healthPath": "/healthz", "maxConns": 408, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []any{map[string]any{"name": "buero-1", "apiKeys": []string{"key-1"}, "priority": 1}, map[string]any{"name": "buero-2", "apiKeys": []string{"key-2"}, "priority": 1}},
	}
}

// plainWorker stands in for a worker of a plain service.
type plainWorker struct {
	run     *run
	id      string
	address string
	work    time.Duration
	close   func()
	// beat is the object of the worker in the store.
	beat map[string]any

	mu   sync.Mutex
	runs []workerRun
	// leaving is set once the worker leaves, arrived is called for each request that it runs.
	leaving bool
	arrived func(workerRun)
}

// workerRun is a request that a worker ran.
type workerRun struct {
	at                 time.Time
	id, target, tenant string
	hasKey             bool
	bytes              int64
}

func newPlainWorker(r *run, id string, work time.Duration) (*plainWorker, error) {
	port, err := freePort("127.0.0.1")
	if err != nil {
		return nil, err
	}
	w := &plainWorker{run: r, id: id, address: fmt.Sprintf("127.0.0.1:%d", port), work: work}
	w.close, err = serveAt(w.address, w)
	return w, err
}

// ServeHTTP runs a request for the time that it takes.
func (w *plainWorker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	n, err := io.Copy(io.Discard, r.Body)
	h := out.Header()
	h.Set("Instance-Id", w.id)
	h.Set("Request-Id", r.Header.Get("Request-Id"))
	if want := r.Header.Get("Target-Instance"); want != "" && want != w.id {
		h.Set("Not-Executed", "1")
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if err != nil {
		return
	}
	run := workerRun{time.Now(), r.Header.Get("Request-Id"), r.RequestURI, r.Header.Get("Tenant"), r.Header.Get("Authorization") != "", n}
	w.mu.Lock()
	w.runs = append(w.runs, run)
	leaving, arrived := w.leaving, w.arrived
	w.mu.Unlock()
	if arrived != nil {
		arrived(run)
	}
	h.Set("Response-Signature", "signed-"+w.id)
	h.Set("Instance-Load", "1,0,6")
	if leaving {
		h.Set("Server-Leaving", "1")
	}
	if strings.HasPrefix(r.URL.Path, "/brief/") {
		w.stream(out, r)
		return
	}
	time.Sleep(w.work)
	_, _ = out.Write(bytes.Repeat([]byte("x"), 800))
}

// Figures of a stream, as on the sheet: the first event within the latency target, then one a pass.
const (
	streamEvents = 26
	firstEvent   = 300 * time.Millisecond
	eventPause   = 80 * time.Millisecond
)

// stream answers with a stream of events.
func (w *plainWorker) stream(out http.ResponseWriter, r *http.Request) {
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	out.Header().Set("Content-Type", "text/event-stream")
	pause := firstEvent
	for i := from + 1; i <= streamEvents; i++ {
		select {
		case <-time.After(pause):
		case <-r.Context().Done():
			return
		}
		pause = eventPause
		fmt.Fprintf(out, "id: %d\ndata: %s\n\n", i, strings.Repeat("y", 30))
		if http.NewResponseController(out).Flush() != nil {
			return
		}
	}
}

// ran returns what the workers ran, by the id of the request.
func (s *site) ran() map[string][]workerRun {
	out := map[string][]workerRun{}
	for _, w := range s.workers {
		w.mu.Lock()
		for _, r := range w.runs {
			out[r.id] = append(out[r.id], r)
		}
		w.mu.Unlock()
	}
	return out
}

// client is a client with one kept connection.
type client struct {
	connection net.Conn
	reader     *bufio.Reader
	// closing is set once an answer has said that the connection closes.
	closing bool
}

func dialClient(address string) (*client, error) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return nil, err
	}
	return &client{connection: c, reader: bufio.NewReader(c)}, nil
}

// head returns the head of a request.
func head(method, target, id, key string, budget time.Duration, length int) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: mahn.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", method, target, id, budget.Milliseconds())
	if key != "" {
		fmt.Fprintf(&b, "Authorization: Token %s\r\n", key)
	}
	if method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", length)
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// send sends a request and returns the status of the answer, 0 if there is none that is whole.
// A body is sent in pieces with a pause between them.
func (c *client) send(method, target, id, key string, budget time.Duration, body []byte, piece int, pause time.Duration) (int, error) {
	_ = c.connection.SetDeadline(time.Now().Add(budget))
	if _, err := c.connection.Write(head(method, target, id, key, budget, len(body))); err != nil {
		return 0, err
	}
	for len(body) > 0 {
		n := min(piece, len(body))
		if _, err := c.connection.Write(body[:n]); err != nil {
			return 0, err
		}
		if body = body[n:]; len(body) > 0 {
			time.Sleep(pause)
		}
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0, err
	}
	c.closing = response.Close
	return response.StatusCode, nil
}
