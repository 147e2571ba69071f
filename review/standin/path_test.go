package standin

import (
	"fmt"
	"net/http"
	"time"
)

// playPath sends requests whose path has an encoded slash where another route's prefix has
// a plain one, and looks at which service runs them.
func playPath(w *world) (bool, error) {
	outer := route("outer", "idempotent", "sklep", 1000, 2)
	outer["path_prefix"] = "/cufi504/"
	inner := route("inner", "idempotent", "pisarz", 1000, 2)
	inner["path_prefix"] = "/cufi504/fi50/"
	w.routes = []any{outer, inner}
	w.tenants = []any{tenant("hule930", 72614)}
	for i := range 2 {
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
	// The name of the thing is fi50/2f; a requester encodes the slash in a name, so that the
	// path has one segment after the prefix /cufi504/. No configuration sends that to pisarz.
	path := "/cufi504/fi50%2F2f"
	if !w.trouble {
		path = "/cufi504/fi50-2f"
	}
	for n := range 20 {
		w.send(w.gateways[n%2].address(), request{
			id: w.newID(), method: http.MethodGet, path: path, wait: 2 * time.Second,
			fields: []string{"Deadline-Ms: 1000", "X-Api-Key: hule930-key"},
		})
	}
	runs := w.allRuns()
	wrong := 0
	for _, r := range runs {
		if r.service != "sklep" {
			wrong++
		}
	}
	w.note("%d runs, %d of them by the service of the prefix /cufi504/fi50/, which does not begin the path %s", len(runs), wrong, path)
	if len(runs) == 0 {
		return false, fmt.Errorf("no request has run")
	}
	return wrong == 0, nil
}
