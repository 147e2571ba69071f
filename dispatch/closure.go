package dispatch

import (
	"time"

	"damasktrail.dev/fleet"
	"damasktrail.dev/queue"
)

// closedFor returns for how long the endpoint wants no requests from the entry that sends
// the request, zero if it wants them. One in a region where the request may not run never
// wants it.
func (w *waiter) closedFor(e *endpoint, now time.Time) time.Duration {
	if !w.request.mayRunIn(e.region) {
		return fleet.Forever
	}
	for _, c := range w.request.Closed {
		if c.Process != e.Process() {
			continue
		}
		if c.Remaining == fleet.Forever {
			return c.Remaining
		}
		return max(0, c.Remaining-now.Sub(w.arrived))
	}
	return 0
}

// shortestClosure returns how long it takes until an endpoint wants the request; known is
// false if none will.
func (v *service) shortestClosure(w *waiter, now time.Time) (res time.Duration, known bool) {
	for _, e := range v.endpoints {
		if !e.usable() || e.closed() {
			continue
		}
		remaining := w.closedFor(e, now)
		if remaining != fleet.Forever && (!known || remaining < res) {
			res, known = remaining, true
		}
	}
	return res, known
}

// requeue puts requests back that were popped from the queue without a grant.
func (v *service) requeue(items []queue.Item[*waiter], now time.Time) {
	for _, it := range items {
		w := it.Value
		it.Request.Deadline = w.request.Timeout - now.Sub(w.arrived)
		if _, refusal := v.waiting.Push(it, now); refusal != nil {
			close(w.granted)
		}
	}
}
