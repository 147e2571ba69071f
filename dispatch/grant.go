package dispatch

import (
	"time"

	"damasktrail.dev/fleet"
)

// Result is the outcome of an attempt.
type Result int

// Outcomes of an attempt.
const (
	// Answered is a complete answer of the endpoint.
	Answered Result = iota
	// Cancelled is an attempt that the caller or the entry cancelled.
	Cancelled
	// Full is a refusal by an endpoint without free capacity.
	Full
	// Failed is an error answer of the endpoint.
	Failed
	// Broken is a connection that broke, or an answer by another endpoint.
	Broken
	// Unreachable is a connection that could not be established. It is reported to
	// peers.
	Unreachable
)

// Choice records the state of an endpoint when it was chosen.
type Choice struct {
	// Own and Peers are the numbers of in-flight requests of this entry and of its
	// peers at the endpoint.
	Own, Peers int
	// Pace is the mean time between the events of its streams; zero when unknown.
	Pace time.Duration
	// Free is the number of endpoints with a slot that this entry was allowed to
	// take.
	Free int
	// Percent is how long work took there, 100 as usual; zero when the choice was not made
	// by expected times.
	Percent int
	// Factor is what decided between the endpoint and the next best, Waited says that the
	// request passed a slot over before.
	Factor Factor
	Waited bool
}

// Grant is a slot at an endpoint, held for one attempt. It is used by one goroutine
// and must be released by Done.
type Grant struct {
	// Endpoint is the endpoint to send the request to.
	Endpoint fleet.Endpoint
	// Choice records why the endpoint was chosen.
	Choice Choice

	scheduler *Scheduler
	service   *service
	prompt    int
	client    string
	grantedAt time.Time
	// promptAhead is the number of prompt tokens that were to be processed before.
	promptAhead int
	// output, pause and tier are those of the request.
	output int
	pause  time.Duration
	tier   int
	// whole says that the objective is for the end of the response.
	whole bool
	// stated says that what the response states of the load is known; the message about its
	// end repeats that about its start, which may be lost.
	stated bool
	// startedAt is the time of the first byte.
	startedAt time.Time
	// started says that the first byte of the answer has been received.
	started bool
	done    bool
}

// Started records that the first byte of the answer has been received, and what the answer
// states of the load of the endpoint.
func (g *Grant) Started(load fleet.StatedLoad) {
	s := g.scheduler
	s.mu.Lock()
	g.state(load)
	now := s.clock.Now()
	g.rampFirst(now)
	g.measureFirst(now)
	g.started = true
	g.recordFirst(now)
	g.refuteSuspicion(g.service.endpoints[g.Endpoint.ID], minSurvival, now)
	s.mu.Unlock()
	g.scheduler.onChange(false)
}

// Stated records what an answer states of the load of the endpoint, if Started was not
// called with it.
func (g *Grant) Stated(load fleet.StatedLoad) {
	g.scheduler.mu.Lock()
	defer g.scheduler.mu.Unlock()
	g.state(load)
}

// state is Stated with mu held.
func (g *Grant) state(load fleet.StatedLoad) {
	if e := g.service.endpoints[g.Endpoint.ID]; e != nil && !g.stated && load.Valid().Percent > 0 {
		g.stated = true
		g.service.addStated(e, load, g.scheduler.clock.Now())
	}
}

// Done releases the slot. pace is the mean time between events of the answer, zero
// when it is unknown. Calls after the first have no effect.
func (g *Grant) Done(result Result, pace time.Duration) {
	s := g.scheduler
	s.mu.Lock()
	if g.done {
		s.mu.Unlock()
		return
	}
	g.done = true
	// An endpoint that has replaced the one of the grant has not given it.
	if e := g.service.endpoints[g.Endpoint.ID]; e != nil && e.has(g) {
		delete(e.grants, g)
		g.updateEndpoint(e, result, pace, s.clock.Now())
	}
	g.service.released = true
	s.assign(g.service)
	s.mu.Unlock()
	s.onChange(true)
}

// updateEndpoint updates the state of the endpoint from the outcome of the attempt.
func (g *Grant) updateEndpoint(e *endpoint, result Result, pace time.Duration, now time.Time) {
	v := g.service
	g.updateCold(e, result, now)
	g.updateRamp(e, result, now)
	switch result {
	case Answered:
		e.lastUse[g.client] = now
		g.recordWhole(now)
		e.failures, e.unreachable = 0, false
		e.failureRate -= smoothing * e.failureRate
		v.health.RecordAnswer(e.ID, 0, now)
		v.holdSeconds += smoothing * (now.Sub(g.grantedAt).Seconds() - v.holdSeconds)
		g.measureEnd(e, now)
		if pace > 0 {
			e.updatePace(pace.Seconds())
		}
	case Failed:
		e.failures, e.unreachable = 0, false
		e.failureRate += smoothing * (1 - e.failureRate)
		v.health.RecordFailure(e.ID, now)
	case Full:
		e.backoffUntil = now.Add(fullBackoff)
	case Broken:
		e.backOff(now)
	case Unreachable:
		e.backOff(now)
		e.unreachable = true
	case Cancelled:
	}
}
