package gateway

import (
	"slices"
	"time"
)

const (
	// rampLogInterval is the time between checks for endpoints that have begun or ended to ramp
	// up, and maxRampLines the largest number of lines about them at one check.
	rampLogInterval = time.Second
	maxRampLines    = 16
)

// logRamping logs the endpoints that have begun or ended to ramp up.
func (g *Gateway) logRamping(time.Time) {
	next := g.scheduler.RampingEndpoints()
	g.mu.Lock()
	before := g.rampingEndpoints
	g.rampingEndpoints = next
	g.mu.Unlock()
	lines := 0
	for _, id := range next {
		if !slices.Contains(before, id) && lines < maxRampLines {
			lines++
			n, reason := g.scheduler.Allowance(id)
			g.log.Info("endpoint ramps up", "endpoint", id, "free", n, "bound", reason, "ramping", len(next))
		}
	}
	for _, id := range before {
		if !slices.Contains(next, id) && lines < maxRampLines {
			lines++
			g.log.Info("endpoint no longer ramps up", "endpoint", id, "ramping", len(next))
		}
	}
}
