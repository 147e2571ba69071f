package standin

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// playWriter lets another writer overwrite the entry of a model replica, with fields
// missing, and looks at which service runs the requests of the other service's route.
func playWriter(w *world) (bool, error) {
	w.routes = []any{
		route("lohu930", "streaming", "pisarz", 12000, 2),
		route("cufi504", "idempotent", "sklep", 1000, 2),
	}
	w.tenants = []any{tenant("hule930", 72614)}
	for i := range 3 {
		for j, service := range []string{"pisarz", "sklep"} {
			if _, err := w.startReplica(fmt.Sprintf("i-%s%d", service, i), service, fmt.Sprintf("%s.%d:8080", w.net, 100+2*i+j), 30*time.Millisecond); err != nil {
				return false, err
			}
		}
	}
	w.configure()
	if err := w.startGateways(2); err != nil {
		return false, err
	}
	victim := w.replicas[0]
	var done sync.WaitGroup
	// The replica writes its entry every 1.2 s, so the other writer's holds no longer.
	var written time.Time
	for n := range 200 {
		if w.trouble && n == 20 {
			written = time.Now()
			w.store.put("servers/"+victim.id, map[string]any{"service": "sklep", "address": victim.address, "zone": "lodz-a", "slots": 4, "state": "ready"})
			w.note("another writer: servers/%s with service sklep, without version, sequence, cold_remaining_ms", victim.id)
		}
		for n := range 3 * len(w.gateways) {
			g := w.gateways[n%len(w.gateways)]
			done.Add(1)
			go func() {
				defer done.Done()
				w.send(g.address(), request{
					id: w.newID(), method: http.MethodGet, path: "/cufi504/fi50/2f", wait: 1500 * time.Millisecond,
					fields: []string{"Deadline-Ms: 1000", "X-Api-Key: hule930-key"},
				})
			}()
		}
		time.Sleep(50 * time.Millisecond)
	}
	done.Wait()
	wrong, later := 0, 0
	runs := w.allRuns()
	for _, r := range runs {
		if strings.HasPrefix(r.target, "/cufi504/") && r.service != "sklep" {
			wrong++
			if r.at.Sub(written) > 3*time.Second {
				later++
			}
		}
	}
	w.note("%d runs, %d of them by a service to which no configuration sent the route, %d of these over 3 s after the entry", len(runs), wrong, later)
	if len(runs) == 0 {
		return false, fmt.Errorf("no request has run")
	}
	return wrong == 0, nil
}
