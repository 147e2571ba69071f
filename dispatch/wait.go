package dispatch

import (
	"math"
	"time"
)

// maxEstimate is the longest wait that is estimated.
const maxEstimate = time.Hour

// supply is what the endpoints of a service can do for a request.
type supply struct {
	// slots is the number of requests that they run at a time. An endpoint with a limit
	// counts with the part of its slots that the limit of all entries keeps busy.
	slots float64
	// free is the number of slots that are free now.
	free int
	// limited says that all endpoints have a limit, and nextToken when this entry may send
	// another request to one of them.
	limited   bool
	nextToken time.Duration
	// retried says that an endpoint without limit has failed and is tried again soon.
	retried bool
}

// supply returns what the endpoints that take the request can do. It is called with mu held.
func (s *Scheduler) supply(v *service, w *waiter, now time.Time) supply {
	res := supply{limited: true, nextToken: math.MaxInt64}
	for _, e := range v.endpoints {
		if !e.usable() || w.closedFor(e, now) > 0 || e.closed() {
			continue
		}
		if e.failures > 0 {
			res.retried = res.retried || !e.limited()
			continue
		}
		slots := float64(v.capacity(e))
		if !e.limited() {
			res.limited = false
		} else {
			slots = min(slots, e.perSecond()*v.holdSeconds)
			res.nextToken = min(res.nextToken, e.nextToken(now))
		}
		res.slots += slots
		res.free += e.cap(max(0, s.rampCapacity(v, e, now)-s.inFlight(e)), now)
	}
	return res
}

// estimateWait estimates how long a request waits for a slot; known is false when
// the service has no endpoint that takes its requests. It is called with mu held.
func (s *Scheduler) estimateWait(v *service, w *waiter) (res time.Duration, known bool) {
	r, now := w.request, s.clock.Now()
	supply := s.supply(v, w, now)
	if supply.slots == 0 || supply.limited && supply.retried {
		return v.shortestClosure(w, now)
	}
	ahead := 0
	v.waiting.EachTier(func(rank, count int) {
		if rank <= r.Tier {
			ahead += count
		}
	})
	coldWait := s.coldWait(v, w, ahead, now)
	for _, p := range s.peers {
		for rank, count := range p.Waiting[v.name] {
			if rank <= r.Tier {
				ahead += count
			}
		}
	}
	if ahead < supply.free {
		return 0, true
	}
	seconds := float64(ahead-supply.free+1) * v.holdSeconds / supply.slots
	res = time.Duration(min(seconds, maxEstimate.Seconds()) * float64(time.Second))
	if supply.limited {
		res = max(res, supply.nextToken)
	}
	return min(res, coldWait), true
}
