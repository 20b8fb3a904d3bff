//go:build review

package main

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"
)

// run is a request that a worker ran.
type run struct {
	id, worker, tenant string
	at                 time.Time
}

// worker is a stand-in for a worker of a plain service.
type worker struct {
	id, address string
	born        time.Time
	work        time.Duration
	onRun       func(run)

	mu   sync.Mutex
	runs []run
}

func newWorker(id string, work time.Duration, onRun func(run)) *worker {
	w := &worker{id: id, born: time.Now(), work: work, onRun: onRun}
	w.address = serve(w)
	return w
}

// registration is the worker's object in the store.
func (w *worker) registration(service, zone, state string) map[string]any {
	return map[string]any{
		"service": service, "address": w.address, "zone": zone, "version": "v1", "slots": 6, "state": state,
		"coldRemainingMs": 0, "seq": 1, "born": w.born.UnixMilli(),
	}
}

// ServeHTTP implements http.Handler.
func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	h := out.Header()
	h.Set("Request-Id", r.Header.Get("Request-Id"))
	if want := r.Header.Get("Target-Instance"); want != "" && want != w.id {
		h.Set("Not-Executed", "1")
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	w.onRun(run{r.Header.Get("Request-Id"), w.id, r.Header.Get("Tenant"), time.Now()})
	time.Sleep(w.work)
	h.Set("Response-Signature", "signed-by-"+w.id)
	h.Set("Instance-Load", "1,0,6")
	fmt.Fprintf(out, "answer of %s to %s %s %s", w.id, r.Method, r.RequestURI, body)
}
