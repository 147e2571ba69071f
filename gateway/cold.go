package gateway

import (
	"slices"
	"time"

	"damasktrail.dev/dispatch"
	"damasktrail.dev/fleet"
	"damasktrail.dev/routing"
)

// coldLogInterval is the time between checks for endpoints that have become cold or warm,
// which are logged. It bounds the number of log lines.
const coldLogInterval = time.Second

// applyServices tells the scheduler what the table says of services.
func (g *Gateway) applyServices(t *routing.Table) {
	var res []dispatch.ServiceSettings
	for _, s := range t.Services() {
		res = append(res, dispatch.ServiceSettings{Name: s.Name, ColdPerSecond: s.ColdPerSecond, ColdTime: s.ColdTime})
	}
	g.scheduler.SetServices(res)
}

// recordCold records what an endpoint says of its cold start.
func (g *Gateway) recordCold(e fleet.Endpoint, n fleet.Notice) {
	if n.Cold > 0 {
		g.scheduler.SetCold(e.Process(), n.Cold)
	}
}

// logCold logs the endpoints that have become cold or warm.
func (g *Gateway) logCold(time.Time) {
	next := g.scheduler.ColdEndpoints()
	g.mu.Lock()
	before := g.coldEndpoints
	g.coldEndpoints = next
	g.mu.Unlock()
	for _, id := range next {
		if !slices.Contains(before, id) {
			g.log.Info("endpoint is cold", "endpoint", id)
		}
	}
	for _, id := range before {
		if !slices.Contains(next, id) {
			g.log.Info("endpoint is no longer cold", "endpoint", id)
		}
	}
}
