package dispatch

import (
	"maps"
	"slices"
	"time"

	"damasktrail.dev/fleet"
)

// SetEvacuated replaces the failure domains to which no request is sent. Requests that wait
// for a service without any other endpoint are refused at once.
func (s *Scheduler) SetEvacuated(domains []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	next := make(map[string]bool, len(domains))
	for _, d := range domains {
		next[d] = true
	}
	if maps.Equal(next, s.evacuated) {
		return
	}
	s.evacuated = next
	for _, v := range s.services {
		for _, e := range v.endpoints {
			s.locate(e)
		}
		s.assign(v)
		v.refuseWithoutEndpoint(s)
	}
}

// SetEvacuationsCurrent sets a function that reports whether the evacuated failure domains
// are known well enough to send requests. It must not block.
func (s *Scheduler) SetEvacuationsCurrent(current func() bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evacuationsCurrent = current
}

// holdsBack reports whether no request may be sent now, since the process may have missed an
// evacuation.
func (s *Scheduler) holdsBack() bool {
	return s.evacuationsCurrent != nil && !s.evacuationsCurrent()
}

// locate updates what follows from the failure domain of an endpoint.
func (s *Scheduler) locate(e *endpoint) {
	e.evacuated, e.region = s.evacuated[e.Domain], s.regions[e.Domain]
}

// usable reports whether requests may be sent to the endpoint at all.
func (e *endpoint) usable() bool { return e.State == fleet.Ready && !e.evacuated }

// absence returns how long the service is expected to be without endpoints. An evacuation
// lasts for longer than callers wait.
func (v *service) absence() time.Duration {
	for _, e := range v.endpoints {
		if e.evacuated {
			return maxRetryAfter
		}
	}
	return minRetryAfter
}

// refuseWithoutEndpoint refuses the waiting requests if no endpoint is usable.
func (v *service) refuseWithoutEndpoint(s *Scheduler) {
	for _, e := range v.endpoints {
		if e.usable() {
			return
		}
	}
	if len(v.endpoints) == 0 {
		return
	}
	for v.waiting.Len() > 0 {
		it, ok := v.waiting.Pop(s.clock.Now())
		if !ok {
			return
		}
		close(it.Value.granted)
	}
}

// EvacuatedDomains returns the failure domains to which no request is sent.
func (s *Scheduler) EvacuatedDomains() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Sorted(maps.Keys(s.evacuated))
}
