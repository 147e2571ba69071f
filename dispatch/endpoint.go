package dispatch

import (
	"time"

	"damasktrail.dev/fleet"
)

// endpoint is the state of one endpoint.
type endpoint struct {
	fleet.Endpoint
	// grants are this entry's in-flight requests at the endpoint.
	grants map[*Grant]struct{}
	// paceSeconds is the moving average of the time between events of its answers;
	// zero when unknown.
	paceSeconds float64
	// stated estimates how long work takes there from what it states.
	stated fleet.LoadEstimate
	// failureRate is the moving average of the share of requests that it answered
	// with a failure.
	failureRate float64
	// backoffUntil is the time until which it gets no requests.
	backoffUntil time.Time
	// failures counts consecutive connection failures. While it is above zero, one
	// request at a time probes the endpoint.
	failures int
	// unreachable says that the last connection could not be made.
	unreachable bool
	// limiter holds back requests to it, nil while it has no limit.
	limiter *limiter
	// cold has what is known of its cold start, and coldLimiter holds back requests to it
	// during one. It is nil otherwise.
	cold        coldState
	coldLimiter *limiter
	// ramp has the state of its ramp-up.
	ramp rampUp
	// evacuated says that nothing is sent to its failure domain.
	evacuated bool
	// region is that of its failure domain, empty if it is unknown.
	region string
	// freeSlots is the number of its free slots, and freeSince the time since which
	// there has been at least one; zero when there is none.
	freeSlots int
	freeSince time.Time
	// lastUse has the time of the last complete answer that each entry got, by the
	// name in [Request.Client].
	lastUse map[string]time.Time
	// draws has the draw of each entry for the turns at the endpoint, by name.
	draws map[string]float64
}

// backOff pauses requests to the endpoint for a time that grows exponentially with
// the number of consecutive failures.
func (e *endpoint) backOff(now time.Time) {
	e.backoffUntil = now.Add(min(minBackoff<<min(e.failures, 10), maxBackoff))
	e.failures++
}

// setFreeSlots records the number of free slots.
func (e *endpoint) setFreeSlots(n int, now time.Time) {
	e.freeSlots = n
	switch {
	case n == 0:
		e.freeSince = time.Time{}
	case e.freeSince.IsZero():
		e.freeSince = now
	}
}

// load returns the load of this entry on the endpoint.
func (e *endpoint) load() Load {
	res := Load{Requests: len(e.grants)}
	for g := range e.grants {
		if !g.started {
			res.Prompt += g.prompt
		}
	}
	return res
}

// has reports whether the grant is in flight at the endpoint.
func (e *endpoint) has(g *Grant) bool {
	_, found := e.grants[g]
	return found
}

// stalled reports whether a request has no first byte after firstByteTimeout.
func (e *endpoint) stalled(now time.Time) bool {
	for g := range e.grants {
		if !g.started && now.Sub(g.grantedAt) > firstByteTimeout {
			return true
		}
	}
	return false
}

func (e *endpoint) updatePace(seconds float64) {
	if e.paceSeconds == 0 {
		e.paceSeconds = seconds
		return
	}
	e.paceSeconds += smoothing * (seconds - e.paceSeconds)
}
