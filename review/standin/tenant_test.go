package standin

import (
	"fmt"
	"net/http"
	"time"
)

// playTenant lets a requester with a valid key send a Tenant of its own and name it in
// Connection, and looks at the tenant that replicas get.
func playTenant(w *world) (bool, error) {
	w.routes = []any{
		route("puxa403", "non_idempotent", "sklep", 1000, 1),
		route("cufi504", "idempotent", "sklep", 1000, 2),
	}
	w.tenants = []any{tenant("hule930", 72614), tenant("kado112", 72614)}
	for i := range 2 {
		if _, err := w.startReplica(fmt.Sprintf("i-%d", i), "sklep", fmt.Sprintf("%s.%d:8080", w.net, 100+i), 30*time.Millisecond); err != nil {
			return false, err
		}
	}
	w.configure()
	if err := w.startGateways(2); err != nil {
		return false, err
	}
	owner := map[string]string{}
	for n := range 20 {
		q := request{
			id: w.newID(), method: http.MethodGet, path: "/cufi504/fi50/2f", wait: 2 * time.Second,
			fields: []string{"Deadline-Ms: 1000", "X-Api-Key: hule930-key", "Tenant: kado112"},
		}
		if n%2 == 1 {
			q.method, q.path, q.body = http.MethodPost, "/puxa403/2f", "order"
		}
		if w.trouble {
			q.fields = append(q.fields, "Connection: Tenant")
		}
		owner[q.id] = "hule930"
		w.send(w.gateways[n%2].address(), q)
	}
	runs := w.allRuns()
	wrong := 0
	for _, r := range runs {
		if r.tenant != owner[r.id] {
			wrong++
		}
	}
	w.note("%d runs, %d without the tenant that holds the key", len(runs), wrong)
	if len(runs) == 0 {
		return false, fmt.Errorf("no request has run")
	}
	return wrong == 0, nil
}
