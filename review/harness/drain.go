//go:build review

package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of the deployment, from the sheet of the site ribeira-tendas.
const (
	streamHost = "ficu95.example"
	streamPath = "/lohu930/2f"
	checkPath  = "/cufi504/2f"
	apiKey     = "n2ctnfzs989anu6wsjnb"
	grace      = 8 * time.Second
	// excusedUntil is the time after SIGTERM up to which a request that its worker is still
	// working on in the last sixth of the grace may be cut, and a margin.
	excusedUntil = 3*time.Second + 50*time.Millisecond
	// timeBudget is the clients' time budget and the routes' timeout.
	timeBudget = 8 * time.Second
	// streamEvents and eventGap are the longest stream of the sheet and a pause well below its
	// longest one, 120 ms.
	streamEvents = 66
	eventGap     = 70 * time.Millisecond
)

// streamWorker is a stand-in of a sound model worker.
type streamWorker struct {
	id      string
	address netip.AddrPort
	record  *record

	mu sync.Mutex
	// cutAt holds when the connection of a request was closed before the end of its answer, by
	// the request's ID. ran holds the requests that it has run.
	cutAt map[string]time.Time
	ran   map[string]bool
}

func startStreamWorker(d *deployment, id string, machine byte) (*streamWorker, error) {
	l, err := net.Listen("tcp", d.ip(2, machine).String()+":0")
	if err != nil {
		return nil, err
	}
	w := &streamWorker{id: id, address: netip.MustParseAddrPort(l.Addr().String()), record: d.record, cutAt: map[string]time.Time{}, ran: map[string]bool{}}
	go func() { _ = http.Serve(l, w) }()
	return w, nil
}

// ServeHTTP implements http.Handler.
func (w *streamWorker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Request-Id")
	out.Header().Set("Instance-Id", w.id)
	if want := r.Header.Get("Target-Instance"); want != "" && want != w.id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.mu.Lock()
	w.ran[id] = true
	w.mu.Unlock()
	w.record.printf("worker %s runs request %s", w.id, id)
	out.Header().Set("Request-Id", id)
	out.Header().Set("Response-Signature", "signed-by-"+w.id)
	if !strings.HasPrefix(r.URL.Path, "/lohu930/") {
		time.Sleep(20 * time.Millisecond)
		fmt.Fprint(out, "in stock")
		return
	}
	out.Header().Set("Content-Type", "text/event-stream")
	from, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	control := http.NewResponseController(out)
	for i := from + 1; i <= streamEvents; i++ {
		select {
		case <-time.After(eventGap):
		case <-r.Context().Done():
			w.cut(id, i)
			return
		}
		fmt.Fprintf(out, "id: %d\ndata: piece %d\n\n", i, i)
		if control.Flush() != nil {
			w.cut(id, i)
			return
		}
	}
	w.record.printf("worker %s has sent all of %s", w.id, id)
}

// cut records that the connection of a request was closed while the worker was at work on it.
func (w *streamWorker) cut(id string, event int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cutAt[id] = time.Now()
	w.record.printf("worker %s: the connection of %s is closed before event %d", w.id, id, event)
}

func (w *streamWorker) entry(service string) map[string]any {
	return map[string]any{
		"service": service, "address": w.address.String(), "zone": "za", "version": "v1", "slots": 12,
		"state": "ready", "coldRemainingMs": 0, "seq": 1, "born": time.Now().UnixMilli(),
	}
}

// drainConfiguration is the desired state: a route for streams and one for look-ups.
func drainConfiguration() map[string]any {
	route := func(name, prefix, kind string) map[string]any {
		return map[string]any{
			"name": name, "host": streamHost, "pathPrefix": prefix, "kind": kind, "timeoutMs": 8000, "targetLatencyMs": 400,
			"priority": 1, "service": "assistente", "attempts": 2, "public": false,
		}
	}
	stream := route("r-quote", "/lohu930/", "stream")
	stream["resumable"], stream["gap_aim_ms"], stream["sessionAffinity"] = true, 120, true
	return map[string]any{
		"version": 7, "routes": []any{stream, route("r-check", "/cufi504/", "idempotent")},
		"services": []any{map[string]any{"name": "assistente", "healthPath": "/healthz", "maxConns": 418, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "hule930", "apiKeys": []string{apiKey}, "priority": 1}},
	}
}

// planner is a client with one kept connection.
type planner struct {
	connection net.Conn
	reader     *bufio.Reader
}

// answer is what a client has seen of one request.
type answer struct {
	id            string
	sentAt, endAt time.Time
	status        int
	lastEvent     string
	complete      bool
	err           error
}

// send sends one request on the kept connection and reads its answer.
func (p *planner) send(id, method, path, body string) answer {
	a := answer{id: id, sentAt: time.Now()}
	_, a.err = fmt.Fprintf(p.connection, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Token %s\r\n"+
		"Accept-Encoding: identity\r\nContent-Length: %d\r\n\r\n%s", method, path, streamHost, id, timeBudget.Milliseconds(), apiKey, len(body), body)
	if a.err != nil {
		a.endAt = time.Now()
		return a
	}
	response, err := http.ReadResponse(p.reader, &http.Request{Method: method})
	if err != nil {
		a.err, a.endAt = err, time.Now()
		return a
	}
	defer response.Body.Close()
	a.status = response.StatusCode
	text, err := io.ReadAll(response.Body)
	a.err, a.complete, a.endAt = err, err == nil, time.Now()
	if i := strings.LastIndex(string(text), "id: "); i >= 0 && strings.HasPrefix(path, "/lohu930/") {
		a.lastEvent, _, _ = strings.Cut(string(text)[i+4:], "\n")
		a.complete = a.complete && a.lastEvent == strconv.Itoa(streamEvents)
	}
	return a
}

// drainCase stops one of three entries with SIGTERM while clients with kept connections go on
// sending streams, and checks the rule LOST.
func drainCase(ctx context.Context, r *record, trouble bool) (bool, error) {
	d, err := newDeployment(r)
	if err != nil {
		return false, err
	}
	defer d.close()
	d.store.PutConfiguration(drainConfiguration())
	var workers []*streamWorker
	for i := range 4 {
		w, err := startStreamWorker(d, fmt.Sprintf("i-%04x", 0x7f3a+i), byte(i+1))
		if err != nil {
			return false, err
		}
		workers = append(workers, w)
		d.store.Put("servers", w.id, w.entry("assistente"))
	}
	var entries []*process
	var front netip.AddrPort
	seeds := []string{}
	for i := range 3 {
		seeds = append(seeds, d.ip(1, byte(i+1)).String()+":7340")
	}
	for i, zone := range []string{"za", "zb", "zc"} {
		ip := d.ip(1, byte(i+1))
		p, err := d.add("front-"+zone+"-1", "entry", d.settings("front-"+zone+"-1", zone, ip, map[string]any{
			"listen": ip.String() + ":8227", "ready-listen": ip.String() + ":8220", "peers": seeds,
		}))
		if err != nil {
			return false, err
		}
		entries = append(entries, p)
		if i == 0 {
			front = netip.AddrPortFrom(ip, 8227)
		}
	}
	for i := range 3 {
		if err := awaitReady(ctx, netip.AddrPortFrom(d.ip(1, byte(i+1)), 8220)); err != nil {
			return false, err
		}
	}
	time.Sleep(4 * time.Second) // longer than stabilityWindowMs after the start
	// Every client opens its connection to the first entry and uses it once.
	const clients = 40
	var planners []*planner
	for i := range clients {
		c, err := net.Dial("tcp", front.String())
		if err != nil {
			return false, err
		}
		defer c.Close()
		p := &planner{c, bufio.NewReader(c)}
		if a := p.send(fmt.Sprintf("warm%d", i), "POST", checkPath, "{}"); !a.complete || a.status != http.StatusOK {
			return false, fmt.Errorf("the first request of client %d: %+v", i, a)
		}
		planners = append(planners, p)
	}
	time.Sleep(500 * time.Millisecond)
	stoppedAt := time.Now()
	if trouble {
		ended := entries[0].signal(syscall.SIGTERM)
		go func() {
			select {
			case <-ended:
			case <-time.After(grace - time.Since(stoppedAt)):
				entries[0].signal(syscall.SIGKILL)
			}
		}()
	} else {
		r.printf("TROUBLE=0: no SIGTERM")
	}
	// One client after the other sends its next request, one each 150 ms.
	answers := make([]answer, clients)
	var all sync.WaitGroup
	for i, p := range planners {
		all.Go(func() {
			time.Sleep(time.Until(stoppedAt.Add(time.Duration(i) * 150 * time.Millisecond)))
			answers[i] = p.send(fmt.Sprintf("quote%d", i), "POST", streamPath, `{"brief":"a marquee for 80 guests"}`)
		})
	}
	all.Wait()
	return checkLost(r, answers, workers, stoppedAt, trouble)
}

// checkLost reports whether no request was lost. Without trouble all answers must be complete.
func checkLost(r *record, answers []answer, workers []*streamWorker, stoppedAt time.Time, trouble bool) (bool, error) {
	lost := 0
	for _, a := range answers {
		sent, lasted := a.sentAt.Sub(stoppedAt), a.endAt.Sub(a.sentAt)
		var ranBy *streamWorker
		for _, w := range workers {
			w.mu.Lock()
			if w.ran[a.id] {
				ranBy = w
			}
			w.mu.Unlock()
		}
		what := "ended without a complete answer"
		switch {
		case a.complete:
			what = "complete"
		case !trouble:
			lost++
			what = "LOST (no trouble)"
		case ranBy == nil:
			what = "ended without an answer; not passed on, not counted"
		case lasted >= timeBudget:
			what = "time budget reached; not counted"
		case sent <= excusedUntil:
			what = "cut, sent no later than 3 s after the SIGTERM; not counted"
		default:
			lost++
			what = "LOST: passed on to " + ranBy.id + " and cut while the worker was at work"
		}
		r.printf("request %s: sent %.3f s after the SIGTERM, status %d, last event %q, ended after %.3f s, error %v: %s",
			a.id, sent.Seconds(), a.status, a.lastEvent, lasted.Seconds(), a.err, what)
	}
	r.printf("%d of %d requests lost", lost, len(answers))
	if len(answers) == 0 {
		return false, errors.New("no requests were sent")
	}
	return lost == 0, nil
}
