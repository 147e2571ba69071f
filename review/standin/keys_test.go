package standin

import (
	"fmt"
	"net/http"
	"time"
)

// revokeMS is revoke_ms of the settings.
const revokeMS = 5000

// playKeys takes all tenants out of the configuration, and looks whether requests with their
// keys, or with a key that never was, still run after revoke_ms.
func playKeys(w *world) (bool, error) {
	w.routes = []any{route("cufi504", "idempotent", "sklep", 1000, 2)}
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
	send := func(key string) answer {
		w.lastID++
		return w.send(w.gateways[w.lastID%2].address(), request{
			id: w.newID(), method: http.MethodGet, path: "/cufi504/fi50/2f", wait: 2 * time.Second,
			fields: []string{"Deadline-Ms: 1000", "X-Api-Key: " + key},
		})
	}
	for range 10 {
		if a := send("hule930-key"); a.status != http.StatusOK {
			return false, fmt.Errorf("requests fail before the change")
		}
	}
	if w.trouble {
		w.tenants = []any{}
	} else {
		for _, t := range w.tenants {
			t.(map[string]any)["api_keys"] = []string{}
		}
	}
	w.configure()
	acknowledged := time.Now()
	time.Sleep((revokeMS + 500) * time.Millisecond)
	for range 10 {
		send("hule930-key")
		send("never-held")
	}
	wrong := 0
	for _, r := range w.allRuns() {
		if r.at.Sub(acknowledged) > revokeMS*time.Millisecond {
			wrong++
		}
	}
	w.note("%d of 20 requests with taken or unknown keys ran later than revoke_ms after the acknowledgement", wrong)
	return wrong == 0, nil
}
