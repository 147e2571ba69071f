package dispatch

import (
	"fmt"
	"time"

	"damasktrail.dev"
	"damasktrail.dev/queue"
)

const (
	// minInTimeRatio and maxInTimeRatio bound the part of its objective that a request may
	// wait and still count as one that can be in time.
	minInTimeRatio = 0.5
	maxInTimeRatio = 0.9
	// maxDeadlineRatio bounds the part of its deadline that a request may wait: a refusal
	// after three quarters of it is worth no more to the caller than none.
	maxDeadlineRatio = 0.75
	// minSpareRatio is the part of the capacity that must be left by the arrivals for a
	// prediction of when the backlog ends.
	minSpareRatio = 0.05
	// returnRatio is the part of a caller's time left within which a refusal asks it to
	// return: a third is the longest time that callers wait.
	returnRatio = 1.0 / 3
	// lossRatio is the part of the supply below which waiting requests are evaluated again.
	lossRatio = 0.9
)

// forecast is what the queue of a service is expected to do for a request.
type forecast struct {
	// capacity is the number of requests per second that the endpoints can run for it.
	capacity float64
	// higher and same are the arrival rates of the higher tiers and of its own.
	higher, same float64
	// urgent is the number of requests that are served before a request of its tier that can
	// be in time, waiting the number served before one that cannot; free is the number of
	// slots that are free now.
	urgent, waiting, free float64
}

// untilInTime returns how long a request waits that can be in time.
func (f forecast) untilInTime() time.Duration {
	return drain(f.urgent-f.free+1, f.capacity)
}

// untilOverdue returns how long a request waits that others of its tier may pass.
func (f forecast) untilOverdue() time.Duration {
	return drain(f.waiting-f.free+1, f.spare())
}

// spare returns the capacity that the arrivals of its own and higher tiers leave.
func (f forecast) spare() float64 { return f.capacity - f.higher - f.same }

// drain returns the time that a backlog takes to be served.
func drain(backlog, perSecond float64) time.Duration {
	switch {
	case backlog <= 0:
		return 0
	case perSecond <= 0:
		return maxEstimate
	}
	return time.Duration(min(backlog/perSecond, maxEstimate.Seconds()) * float64(time.Second))
}

// forecast predicts the queue for a request. It is called with mu held, for a service that has
// endpoints for the request.
func (s *Scheduler) forecast(v *service, r Request, available supply, now time.Time) forecast {
	v.waiting.Regroup(now)
	share := float64(max(1, len(s.division.names)))
	f := forecast{
		capacity: available.slots / v.holdSeconds, free: float64(available.free),
		higher: v.demand.perSecond(r.Tier, now) * share,
		same:   v.demand.tier(r.Tier, now).perSecond(now) * share,
	}
	own, ownUrgent := 0.0, 0.0
	v.waiting.EachGroup(func(rank int, overdue bool, count int) {
		switch {
		case rank < r.Tier:
			f.urgent += float64(count)
		case rank == r.Tier:
			own += float64(count)
			if !overdue {
				ownUrgent += float64(count)
			}
		}
	})
	f.waiting = f.urgent + own
	f.urgent += ownUrgent
	// Peers report the requests of a tier without their groups; the parts are taken to be
	// those of this queue.
	urgentPart := (ownUrgent + 1) / (own + 1)
	for _, p := range s.peers {
		for rank, count := range p.Waiting[v.name] {
			switch {
			case rank < r.Tier:
				f.urgent += float64(count)
				f.waiting += float64(count)
			case rank == r.Tier:
				f.urgent += float64(count) * urgentPart
				f.waiting += float64(count)
			}
		}
	}
	return f
}

// patience returns for how long after its arrival a request can get a slot and be in time, and
// for how long it may wait at all.
func (v *service) patience(r Request, now time.Time) (inTime, whole time.Duration) {
	t := v.demand.tier(r.Tier, now)
	objective := float64(r.Objective)
	inTime = r.Objective - t.first.plus(firstDeviations)
	inTime = max(time.Duration(minInTimeRatio*objective), min(inTime, time.Duration(maxInTimeRatio*objective)))
	inTime = min(inTime, r.Timeout)
	latest := min(r.Timeout-t.whole.plus(wholeDeviations), time.Duration(maxDeadlineRatio*float64(r.Timeout)))
	return inTime, max(inTime, latest)
}

// admit is enqueue for an adaptive service: a request may wait for as long as an answer before
// its deadline is likely. It is called with mu held.
func (s *Scheduler) admit(v *service, w *waiter) (id string, maxWait time.Duration, refusal *damasktrail.Refusal) {
	r, now := w.request, s.clock.Now()
	v.demand.tier(r.Tier, now).arrive(now)
	s.lastID++
	id = fmt.Sprint(s.lastID)
	available := s.supply(v, w, now)
	if available.slots == 0 || available.limited && available.retried {
		wait, known := v.shortestClosure(w, now)
		if !known {
			return "", 0, refuse(damasktrail.ReasonNotReady, v.absence(), "the service %q has no endpoint that takes requests of this entry", r.Service)
		}
		available.slots = max(1, available.slots)
		available.nextToken, available.limited = wait, true
	}
	f := s.forecast(v, r, available, now)
	inTime, whole := v.patience(r, now)
	token := time.Duration(0)
	if available.limited {
		token = available.nextToken
	}
	fits := max(f.untilOverdue(), token) <= whole
	if max(f.untilInTime(), token) > inTime {
		inTime = 0
	}
	if !fits && inTime == 0 {
		return "", 0, s.turnAway(v, r, f, id, now)
	}
	evicted, refusal := v.waiting.Push(queue.Item[*waiter]{
		ID:          id,
		Request:     damasktrail.Request{Organisation: r.Organisation, Tier: r.Tier, Cost: damasktrail.Cost{Prefill: r.Prompt}, Deadline: r.Timeout},
		InTimeUntil: now.Add(inTime),
		Value:       w,
	}, now)
	for _, it := range evicted {
		s.reject(v, it, available, now)
	}
	if refusal != nil {
		return "", 0, refusal
	}
	s.assign(v)
	return id, whole, nil
}

// turnAway returns the refusal of a request that is not expected to get a slot in its time.
func (s *Scheduler) turnAway(v *service, r Request, f forecast, id string, now time.Time) *damasktrail.Refusal {
	after := s.returnTime(v, r, f, id, now)
	return &damasktrail.Refusal{
		Reason: damasktrail.ReasonDeadline, Outcome: damasktrail.NotRun, RetryAfter: after,
		Detail: fmt.Sprintf("%.0f requests wait, %.0f per second arrive and %.0f per second can run", f.waiting, f.higher+f.same, f.capacity),
	}
}

// returnTime returns when a refused caller is to come back: when the backlog has probably ended,
// and in turn with others that are refused, so that no more come back than there is capacity
// left for. Without spare capacity it is most of the longest time that callers wait.
func (s *Scheduler) returnTime(v *service, r Request, f forecast, id string, now time.Time) time.Duration {
	longest := time.Duration(returnRatio * float64(r.Timeout))
	last := max(minRetryAfter, longest-time.Duration(uniformHash(s.name, id)*float64(longest)/4))
	if f.spare() < minSpareRatio*f.capacity {
		return last
	}
	t := v.demand.tier(r.Tier, now)
	at := now.Add(f.untilOverdue())
	if at.Before(t.nextReturn) {
		at = t.nextReturn
	}
	if at.Sub(now) > last {
		return last
	}
	share := float64(max(1, len(s.division.names)))
	t.nextReturn = at.Add(time.Duration(share / f.spare() * float64(time.Second)))
	return max(minRetryAfter, at.Sub(now))
}

// reject refuses a request that was waiting. It is called with mu held, after the request was
// removed from the queue.
func (s *Scheduler) reject(v *service, it queue.Item[*waiter], available supply, now time.Time) {
	w := it.Value
	r := w.request.WithElapsed(now.Sub(w.arrived))
	w.refusal = s.turnAway(v, r, s.forecast(v, r, available, now), it.ID, now)
	close(w.granted)
}

// reevaluate refuses waiting requests without a chance when the supply of an adaptive service
// has shrunk. It is called with mu held.
func (s *Scheduler) reevaluate(v *service) {
	now := s.clock.Now()
	if !v.adaptive(now) {
		return
	}
	available, before := s.supply(v, &waiter{}, now), v.lastSlots
	if available.slots > before || available.slots < lossRatio*before {
		v.lastSlots = available.slots
	}
	if available.slots >= lossRatio*before {
		return
	}
	if _, retried := v.shortestClosure(&waiter{}, now); retried && available.slots == 0 {
		return // All endpoints that are left have failed and are tried again soon.
	}
	ahead := 0.0
	for _, it := range v.waiting.Items() {
		if s.hasChance(v, it.Value, ahead, available, now) {
			ahead++
			continue
		}
		v.waiting.Remove(it.ID)
		s.reject(v, it, available, now)
	}
}

// hasChance reports whether a waiting request is expected to get a slot in its time, with a
// number of requests of this entry before it.
func (s *Scheduler) hasChance(v *service, w *waiter, ahead float64, available supply, now time.Time) bool {
	f := s.forecast(v, w.request, available, now)
	f.urgent, f.waiting = min(f.urgent, ahead), min(f.waiting, ahead)
	_, whole := v.patience(w.request, now)
	return min(f.untilInTime(), f.untilOverdue()) <= whole-now.Sub(w.arrived)
}

// late returns the refusal of a request whose time to wait is over. It is called with mu held.
func (s *Scheduler) late(v *service, w *waiter, id string) *damasktrail.Refusal {
	now := s.clock.Now()
	if w.refusal != nil || !v.adaptive(now) {
		return w.refusal
	}
	r := w.request.WithElapsed(now.Sub(w.arrived))
	return s.turnAway(v, r, s.forecast(v, r, s.supply(v, w, now), now), id, now)
}
