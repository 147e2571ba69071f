package dispatch

import (
	"time"

	"damasktrail.dev/fleet"
)

// Result is how an attempt ended.
type Result int

// The results.
const (
	// Answered is a whole answer of the endpoint.
	Answered Result = iota
	// Cancelled is an attempt that the caller or the entry ended.
	Cancelled
	// Full is a refusal by an endpoint that has no room.
	Full
	// Failed is a failure that the endpoint answered with.
	Failed
	// Broken is a connection that broke, or an answer by another endpoint.
	Broken
	// Unreachable is a connection that could not be made. Peers hear of it.
	Unreachable
)

// Choice is what was known of an endpoint when it was chosen.
type Choice struct {
	// Own and Peers are the requests that it held for this entry and for others.
	Own, Peers int
	// Pace is the mean time between the events of its streams, zero when unknown.
	Pace time.Duration
	// Free is the number of endpoints with a place that this entry might take.
	Free int
}

// Grant is a place at an endpoint. It is used by one goroutine and must be ended
// by Done.
type Grant struct {
	// Endpoint is where the request goes.
	Endpoint fleet.Endpoint
	// Choice is what decided it.
	Choice Choice

	scheduler *Scheduler
	service   *service
	prompt    int
	since     time.Time
	// started says that the first byte has come.
	started bool
	done    bool
}

// Started says that the first byte of the answer has come.
func (g *Grant) Started() {
	g.scheduler.mu.Lock()
	g.started = true
	g.scheduler.mu.Unlock()
	g.scheduler.changed(false)
}

// Done gives the place back. pace is the mean time between events of the answer,
// zero when it is unknown. Only the first call counts.
func (g *Grant) Done(result Result, pace time.Duration) {
	s := g.scheduler
	s.mu.Lock()
	if g.done {
		s.mu.Unlock()
		return
	}
	g.done = true
	if e := g.service.endpoints[g.Endpoint.ID]; e != nil {
		delete(e.grants, g)
		g.learn(e, result, pace, s.clock.Now())
	}
	s.place(g.service)
	s.mu.Unlock()
	s.changed(true)
}

// learn updates what is known of the endpoint.
func (g *Grant) learn(e *endpoint, result Result, pace time.Duration, now time.Time) {
	v := g.service
	switch result {
	case Answered:
		e.failures, e.down = 0, false
		e.failing -= smoothing * e.failing
		v.health.Answer(e.ID, 0, now)
		v.hold += smoothing * (now.Sub(g.since).Seconds() - v.hold)
		if pace > 0 {
			e.learnPace(pace.Seconds())
		}
	case Failed:
		e.failures, e.down = 0, false
		e.failing += smoothing * (1 - e.failing)
		v.health.Fail(e.ID, now)
	case Full:
		e.paused = now.Add(fullPause)
	case Broken:
		e.pause(now)
	case Unreachable:
		e.pause(now)
		e.down = true
	case Cancelled:
	}
}
