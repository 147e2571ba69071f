package standin

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// kvCapacity is the memory of a replica in tokens.
const kvCapacity = 481003

// run is a request that a replica has run.
type run struct {
	replica, service, id, tenant, target, body string
	at                                         time.Time
}

// replica is a sound replica.
type replica struct {
	w                    *world
	id, service, address string
	// work is how long a request runs.
	work time.Duration

	mu   sync.Mutex
	runs []run
}

// startReplica starts a replica and its entry in the store, which it renews.
func (w *world) startReplica(id, service, address string, work time.Duration) (*replica, error) {
	r := &replica{w: w, id: id, service: service, address: address, work: work}
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(l, r) }()
	w.replicas = append(w.replicas, r)
	go func() {
		for n := 1; ; n++ {
			w.store.put("servers/"+id, map[string]any{
				"service": service, "address": address, "zone": "lodz-a", "version": "v1", "slots": 4, "state": "ready",
				"cold_remaining_ms": 0, "sequence": n, "born": w.start.UnixMilli(),
			})
			time.Sleep(1200 * time.Millisecond)
		}
	}()
	return r, nil
}

// ServeHTTP implements http.Handler.
func (r *replica) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	if q.URL.Path == "/healthz" {
		w.Header().Set("Replica-Id", r.id)
		return
	}
	body, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	id := q.Header.Get("Attempt-Id")
	if id != "" {
		w.Header().Set("Attempt-Id", id)
	}
	notRun := func(status int) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(status)
		r.w.note("replica %s: %s not run, %d", r.id, id, status)
	}
	if expected := q.Header.Get("Expected-Replica"); expected != "" && expected != r.id {
		w.Header().Set("Replica-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		notRun(http.StatusBadRequest)
		return
	}
	if usage := q.Header.Get("Token-Usage"); usage != "" && !fits(usage) {
		notRun(http.StatusServiceUnavailable)
		return
	}
	x := run{replica: r.id, service: r.service, id: id, tenant: q.Header.Get("Tenant"), target: q.RequestURI, body: string(body), at: time.Now()}
	r.mu.Lock()
	r.runs = append(r.runs, x)
	r.mu.Unlock()
	r.w.note("replica %s: %s runs, tenant %q", r.id, id, x.tenant)
	time.Sleep(r.work)
	w.Header().Set("Response-Signature", "3e1b.07."+id)
	fmt.Fprintf(w, "answer of %s to %s", r.id, id)
}

// fits reports whether the tokens fit into the memory.
func fits(usage string) bool {
	total := 0.0
	for _, part := range strings.Split(usage, ",") {
		n, err := strconv.ParseFloat(strings.TrimSpace(part), 64)
		if err != nil {
			return false
		}
		total += n
	}
	return total <= kvCapacity
}

// allRuns returns the runs of all replicas.
func (w *world) allRuns() (res []run) {
	for _, r := range w.replicas {
		r.mu.Lock()
		res = append(res, r.runs...)
		r.mu.Unlock()
	}
	return res
}
