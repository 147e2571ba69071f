package gateway

import (
	"sync"
	"time"
)

// durationPeriod is the time after which the slowest answer of a route is forgotten, at the
// latest after twice that.
const durationPeriod = 30 * time.Second

// durations keeps how long the slowest recent answer of each route took, from the arrival of
// the request to the end of its answer. It is safe for concurrent use.
type durations struct {
	mu sync.Mutex
	// current has the slowest answers since the time since, previous those of the period
	// before, by the name of the route.
	current, previous map[string]time.Duration
	since             time.Time
}

// add records an answer.
func (d *durations) add(route string, took time.Duration, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rotate(now)
	d.current[route] = max(d.current[route], took)
}

// slowest returns how long the slowest recent answer took, zero if there was none.
func (d *durations) slowest(route string, now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rotate(now)
	return max(d.current[route], d.previous[route])
}

// rotate begins a new period when the current one is over. It is called with mu held.
func (d *durations) rotate(now time.Time) {
	age := now.Sub(d.since)
	if d.current != nil && age < durationPeriod {
		return
	}
	d.previous = nil
	if age < 2*durationPeriod {
		d.previous = d.current
	}
	d.current, d.since = map[string]time.Duration{}, now
}
