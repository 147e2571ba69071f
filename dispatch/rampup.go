package dispatch

import (
	"cmp"
	"slices"
	"time"

	"damasktrail.dev/fleet"
)

// An endpoint that has just started or recovered is ramped up: it gets few requests at a time,
// from all entries together, and more with each round of responses in time. Only its owner
// begins, so that many entries that each try one request do not flood it.

const (
	// rampMargin times the expected time to the first byte is still in time. Disturbances
	// make it up to 2.5 times as long.
	rampMargin = 3
	// minRampExpected bounds the expected time, which can be fitted close to zero.
	minRampExpected = 50 * time.Millisecond
	// maxRampFactor bounds by how much an endpoint that states or shows a slow pace is
	// expected to take longer. Without it an overloaded one would be in time.
	maxRampFactor = 4
	// ownerLeadTime is how long an endpoint is left to its owner if the reports of the owner
	// show no load on it. An owner without requests must not leave the endpoint idle.
	ownerLeadTime = time.Second
	// followTime is the time after which an entry that does not own an endpoint ends its
	// ramp-up unless a request of its own has failed or was slow. It may have too few requests
	// there to find out.
	followTime = 10 * time.Second
	// rampCheckInterval is the time between two counts of the endpoints that ramp up, which
	// go through all endpoints of the service.
	rampCheckInterval = 10 * time.Millisecond
	// rampLoss is the expected loss at an endpoint that ramps up of a request with
	// rampPrompt prompt tokens or rampOutput output tokens, and in proportion below.
	rampLoss   = 0.05
	rampPrompt = 20_000
	rampOutput = 500
)

// AllowanceReason says what bounds the requests that an endpoint gets.
type AllowanceReason string

// Reasons for an allowance.
const (
	AllowedSlots   AllowanceReason = "slots"
	AllowedLimit   AllowanceReason = "limit"
	AllowedCold    AllowanceReason = "cold"
	AllowedPause   AllowanceReason = "pause"
	AllowedLeaving AllowanceReason = "leaving"
	AllowedRampUp  AllowanceReason = "ramp-up"
)

// rampUp is the state of the ramp-up of an endpoint.
type rampUp struct {
	// away says that the endpoint is out of use or cold; it ramps up when that ends.
	away bool
	// active says that it ramps up, with allowance requests in flight at a time.
	active    bool
	allowance int
	// inTime is the number of responses in time since the allowance changed.
	inTime int
	// begun is the time at which it became usable again, counted the time from which on
	// granted requests say something of the present allowance.
	begun, counted time.Time
	// lowered says that a failure or a slow response has lowered the allowance.
	lowered bool
	// paused says that it was away since it wanted no requests, pausedUntil is the end of
	// the last such time that a request has stated.
	paused      bool
	pausedUntil time.Time
	// opened says that the owner has shown load on it.
	opened bool
}

// SetRampUp sets whether endpoints of adaptive services that have started or recovered are
// ramped up.
func (s *Scheduler) SetRampUp(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rampUp = on
}

// rampNew lets an endpoint ramp up that is new to a list that was known before.
func (s *Scheduler) rampNew(e *endpoint, found bool) {
	if s.rampUp && !found && s.listKnown {
		e.ramp = rampUp{away: true, allowance: 1}
	}
}

// updateRamp lets the ramp-up of an endpoint follow its state. It is called with mu held.
func (s *Scheduler) updateRamp(v *service, e *endpoint, now time.Time) {
	r := &e.ramp
	switch {
	case !s.rampUp || !v.adaptive(now):
		*r = rampUp{}
	case !e.usable() || e.failures > 0 || v.health.Ejected(e.ID, now) || s.paused(e, now) || v.isCold(e, now):
		if !r.away {
			*r = rampUp{away: true, allowance: 1, pausedUntil: r.pausedUntil}
		}
		r.begun, r.paused = now, s.paused(e, now)
		if e.failures > 0 {
			r.begun = e.backoffUntil
		}
	case r.away:
		*r = rampUp{active: true, allowance: s.firstAllowance(e), begun: now, counted: now}
	}
	if !r.active && e.failures == 0 || now.Before(r.begun) {
		return
	}
	r.follow(s.ownerLoad(e), now)
	if half := (e.Slots + 1) / 2; r.active && !r.lowered && r.allowance < half && v.mostRampUp(now) {
		r.allowance = half
	}
	if r.active && !r.lowered && now.Sub(r.begun) > followTime && !s.owns(e) {
		*r = rampUp{}
	}
	r.end(e.Slots)
}

// firstAllowance returns the allowance with which an endpoint begins to ramp up. One that wanted
// no requests from some entries has shown that it bears those of the others.
func (s *Scheduler) firstAllowance(e *endpoint) int {
	if e.ramp.paused {
		return max(1, s.inFlight(e))
	}
	return 1
}

// learnPauses records until when endpoints want no requests from the entry that sends one.
func (s *Scheduler) learnPauses(v *service, r Request, now time.Time) {
	for _, c := range r.Closed {
		e := v.endpoints[c.ID]
		if e == nil || c.Process != e.Process() || c.Remaining == fleet.Forever {
			continue
		}
		if until := now.Add(c.Remaining); until.After(e.ramp.pausedUntil) {
			e.ramp.pausedUntil = until
		}
	}
}

// paused reports whether an endpoint wants no requests from this entry, or from another for
// which this one assigns them.
func (s *Scheduler) paused(e *endpoint, now time.Time) bool {
	return now.Before(e.ramp.pausedUntil) || s.notices.Closed(e.Endpoint, now)
}

// follow records the load that the owner shows, which the endpoint bears. After a failure or a
// slow response it takes a while until the load shows what the owner knows of that.
func (r *rampUp) follow(load int, now time.Time) {
	r.opened = r.opened || load > 0
	if !r.lowered || now.Sub(r.counted) >= ownerLeadTime {
		r.allowance = max(r.allowance, load)
	}
}

// end ends the ramp-up if the allowance has reached the slots.
func (r *rampUp) end(slots int) {
	if r.active && r.allowance >= slots {
		*r = rampUp{}
	}
}

// mostRampUp reports whether more than half of the endpoints in use ramp up, as after a
// restart of the service, or in a service with one endpoint.
func (v *service) mostRampUp(now time.Time) bool {
	if now.Sub(v.rampChecked) < rampCheckInterval {
		return v.mostRamping
	}
	ramping, inUse := 0, 0
	for _, e := range v.endpoints {
		if e.ramp.active {
			ramping++
		}
		if !e.ramp.away {
			inUse++
		}
	}
	v.rampChecked, v.mostRamping = now, inUse == 0 || 2*ramping > inUse
	return v.mostRamping
}

// owns reports whether this entry begins to send requests to an endpoint that ramps up.
func (s *Scheduler) owns(e *endpoint) bool {
	if len(s.division.names) == 0 {
		return true
	}
	if s.turns == OwnerTurns {
		return s.domain == e.Domain && slices.Contains(s.division.names, s.name)
	}
	return s.firstByHash(e) == s.name
}

// firstByHash returns the first entry by rendezvous hash among those that assign requests.
func (s *Scheduler) firstByHash(e *endpoint) string {
	return slices.MinFunc(s.division.names, func(a, b string) int {
		return cmp.Or(cmp.Compare(e.draw(a), e.draw(b)), cmp.Compare(a, b))
	})
}

// ownerLoad returns the requests at an endpoint of peers that own it, zero if this entry does.
func (s *Scheduler) ownerLoad(e *endpoint) (res int) {
	if s.owns(e) {
		return 0
	}
	if s.turns != OwnerTurns {
		return s.peers[s.firstByHash(e)].Loads[e.ID].Requests
	}
	for _, p := range s.peers {
		if p.Domain == e.Domain && !p.Passive {
			res += p.Loads[e.ID].Requests
		}
	}
	return res
}

// rampSlots returns how many requests may be in flight at an endpoint according to its
// ramp-up; ramping is false if it is not bounded by one.
func (s *Scheduler) rampSlots(v *service, e *endpoint, now time.Time) (n int, ramping bool) {
	r := &e.ramp
	if !r.active && (!r.away || e.failures == 0) {
		return 0, false
	}
	if !r.lowered && v.mostRampUp(now) {
		// Half of the slots are for all entries, and endpoints that fail are tried as ever.
		return max(r.allowance, (e.Slots+1)/2), true
	}
	if !r.opened && now.Sub(r.begun) < ownerLeadTime && !s.owns(e) {
		return 0, true
	}
	return min(r.allowance, v.capacity(e)), true
}

// allowance returns how many more requests this entry may send to an endpoint now, and what
// bounds them: the lowest of its slots, its stated limit, its cold rate, a pause, that it is
// leaving, and its ramp-up. It is called with mu held.
func (s *Scheduler) allowance(v *service, e *endpoint, now time.Time) (n int, reason AllowanceReason) {
	if !e.usable() {
		return 0, AllowedLeaving
	}
	if now.Before(e.backoffUntil) || v.health.Ejected(e.ID, now) || e.stalled(now) {
		return 0, AllowedPause
	}
	n, reason = max(0, v.capacity(e)-s.inFlight(e)), AllowedSlots
	if e.failures > 0 {
		n, reason = max(0, 1-len(e.grants)), AllowedPause
	}
	lower := func(to int, why AllowanceReason) {
		if to < n {
			n, reason = to, why
		}
	}
	if slots, ramping := s.rampSlots(v, e, now); ramping {
		lower(max(0, slots-s.inFlight(e)), AllowedRampUp)
	}
	lower(e.limiter.cap(n, now), AllowedLimit)
	lower(e.coldLimiter.cap(n, now), AllowedCold)
	return n, reason
}

// Allowance returns how many more requests this entry may send to an endpoint now, and why.
func (s *Scheduler) Allowance(id string) (n int, reason AllowanceReason) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range s.services {
		if e := v.endpoints[id]; e != nil {
			return s.allowance(v, e, s.clock.Now())
		}
	}
	return 0, AllowedLeaving
}

// RampingEndpoints returns the IDs of the endpoints that ramp up.
func (s *Scheduler) RampingEndpoints() (res []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range s.services {
		for id, e := range v.endpoints {
			if e.ramp.active {
				res = append(res, id)
			}
		}
	}
	slices.Sort(res)
	return res
}

// rampFirst counts the first byte of an attempt for the ramp-up of its endpoint.
func (g *Grant) rampFirst(now time.Time) {
	v, e := g.service, g.service.endpoints[g.Endpoint.ID]
	if g.started || e == nil || !e.has(g) || !e.ramp.active || g.grantedAt.Before(e.ramp.counted) {
		return
	}
	if now.Sub(g.grantedAt) > g.expectedFirst(v, e) {
		e.ramp.lower(now)
		return
	}
	r := &e.ramp
	if r.inTime++; r.inTime >= r.allowance {
		r.allowance, r.inTime = 2*r.allowance, 0
	}
	r.end(e.Slots)
}

// expectedFirst returns the time to the first byte up to which an attempt is in time.
func (g *Grant) expectedFirst(v *service, e *endpoint) time.Duration {
	m := v.model
	if m.samples < minFitSamples {
		return firstByteTimeout
	}
	seconds := m.first + m.perPromptToken*float64(g.prompt+g.promptAhead)
	if g.whole {
		seconds += m.decode(g.output)
	}
	seconds *= min(max(1, e.lastingFactor(v)), maxRampFactor)
	return rampMargin * max(minRampExpected, time.Duration(min(seconds, maxEstimate.Seconds())*float64(time.Second)))
}

// lower halves the allowance after a failure or a slow response, once for the requests of a
// round.
func (r *rampUp) lower(now time.Time) {
	r.allowance, r.inTime, r.lowered, r.counted = max(1, r.allowance/2), 0, true, now
}

// updateRamp counts the outcome of an attempt for the ramp-up of its endpoint.
func (g *Grant) updateRamp(e *endpoint, result Result, now time.Time) {
	switch result {
	case Answered:
		g.rampFirst(now)
	case Full, Failed, Broken, Unreachable:
		e.ramp.retry()
		if e.ramp.active && !g.grantedAt.Before(e.ramp.counted) {
			e.ramp.lower(now)
		}
	case Cancelled:
	}
}

// retry begins again with one request if the endpoint fails while it is tried after failures.
func (r *rampUp) retry() {
	if r.away {
		r.allowance, r.opened = 1, false
	}
}

// rampCapacity returns how many requests may be in flight at an endpoint now.
func (s *Scheduler) rampCapacity(v *service, e *endpoint, now time.Time) int {
	if n, ramping := s.rampSlots(v, e, now); ramping {
		return n
	}
	return v.capacity(e)
}

// ramping reports whether an endpoint ramps up or is tried after failures.
func (e *endpoint) ramping() bool { return e.ramp.active || e.ramp.away && e.failures > 0 }

// rampLoss returns the expected loss of a request at an endpoint that ramps up, by which short
// requests go there first.
func (e *endpoint) rampLoss(r *Request) float64 {
	if !e.ramping() {
		return 0
	}
	return rampLoss * min(1, float64(r.Prompt)/rampPrompt+float64(r.Output)/rampOutput)
}

// sparesRamping reports whether a request must not be sent to endpoints that ramp up: it may
// not be repeated, and another endpoint can take it now.
func (v *service) sparesRamping(w *waiter, now time.Time) bool {
	return !w.request.Repeatable && slices.ContainsFunc(v.options, func(o option) bool {
		return o.free > 0 && o.wait == 0 && !o.endpoint.ramping() && w.takenBy(o.endpoint, now)
	})
}
