package dispatch

import (
	"time"

	"damasktrail.dev/fleet"
)

// endpoint is what is known of one endpoint.
type endpoint struct {
	fleet.Endpoint
	// grants are this entry's attempts there.
	grants map[*Grant]struct{}
	// pace is the mean time between events in seconds; zero when unknown.
	pace float64
	// failing is the mean share of requests that it answered with a failure.
	failing float64
	// paused is the end of a pause.
	paused time.Time
	// failures counts broken connections in a row. With one or more, a single
	// request at a time tries the endpoint again.
	failures int
	// down says that the last connection could not be made.
	down bool
	// places is the number of its free places, and freeSince the time since which it
	// has one, zero when it has none.
	places    int
	freeSince time.Time
}

// pause keeps requests from the endpoint for the longer, the more failures it has
// had in a row.
func (e *endpoint) pause(now time.Time) {
	e.paused = now.Add(min(firstPause<<min(e.failures, 10), maxPause))
	e.failures++
}

// noteFree notes the number of free places.
func (e *endpoint) noteFree(places int, now time.Time) {
	e.places = places
	switch {
	case places == 0:
		e.freeSince = time.Time{}
	case e.freeSince.IsZero():
		e.freeSince = now
	}
}

// held returns what the endpoint holds for this entry.
func (e *endpoint) held() Hold {
	res := Hold{Requests: len(e.grants)}
	for g := range e.grants {
		if !g.started {
			res.Prompt += g.prompt
		}
	}
	return res
}

// stuck reports whether a request has waited too long for its first byte.
func (e *endpoint) stuck(now time.Time) bool {
	for g := range e.grants {
		if !g.started && now.Sub(g.since) > stuck {
			return true
		}
	}
	return false
}

func (e *endpoint) learnPace(seconds float64) {
	if e.pace == 0 {
		e.pace = seconds
		return
	}
	e.pace += smoothing * (seconds - e.pace)
}
