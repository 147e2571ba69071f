package agent

import (
	"maps"
	"sync/atomic"
	"time"

	"damasktrail.dev"
	"damasktrail.dev/document"
	"damasktrail.dev/frame"
	"damasktrail.dev/limit"
	"damasktrail.dev/queue"
	"damasktrail.dev/suspect"
	"damasktrail.dev/ticket"
)

const (
	// leaveGrace is how long a leaving agent still accepts tickets that it
	// issued before; the promise is that new work ends within a few seconds.
	leaveGrace = 3 * time.Second
	// retryLeaving is the advice to callers of a leaving or unready endpoint:
	// another entry or a new agent can answer at once.
	retryLeaving = 200 * time.Millisecond
	// missedChecks is the number of failed health checks in a row that make an
	// endpoint unhealthy.
	missedChecks = 2
)

// work is a request that an agent has admitted or may admit.
type work struct {
	// id is the attempt's, or the ticket for a request with one.
	id      string
	request damasktrail.Request
	// ticket is empty for an idempotent request.
	ticket string
	// stream says that the answer comes token by token.
	stream bool
	// longest is a number of tokens that the answer hardly exceeds.
	longest int
	// start and refuse are called by the control goroutine; exactly one of them,
	// once, and neither blocks.
	start  func()
	refuse func(*damasktrail.Refusal)

	// dispatched and first are the times of dispatch and of the first token;
	// zero before.
	dispatched, first time.Time
	// tokens counts the parts of the answer that were relayed, about one for each
	// token. The runner adds, the control goroutine reads.
	tokens atomic.Int64
	// metered is how many of them the meter has seen.
	metered int64
}

// control is the state that decides what the endpoint runs. It has one owner,
// knows no socket and no clock, and is told the time.
type control struct {
	waiting *queue.Queue[*work]
	// held are suspects that wait until no other suspect runs, oldest first.
	held []*heldWork
	// running maps the ids of dispatched requests; at most the limit of them,
	// unless the limit fell.
	running map[string]*work
	limit   *limit.Limit
	// service says that the endpoint is a plain service, which has no tokens.
	service  bool
	meter    meter
	ledger   *ticket.Ledger
	suspects *suspect.List
	// crash identifies the next crash of the endpoint.
	crash uint64
	// healthy is false from a crash or failed health checks until one succeeds.
	healthy bool
	// missed counts failed health checks in a row.
	missed int
	// left is when the agent began to leave; zero before.
	left time.Time
}

type heldWork struct {
	*work
	deadline time.Time
}

func newControl(limits queue.Limits, l *limit.Limit, ledger *ticket.Ledger, crash uint64) *control {
	return &control{
		waiting:  queue.New[*work](limits),
		running:  map[string]*work{},
		limit:    l,
		ledger:   ledger,
		suspects: suspect.New(),
		crash:    crash,
	}
}

// arrive admits a request that may wait, or refuses it.
func (c *control) arrive(w *work, floor int, now time.Time) {
	if refusal := c.admissible(w, floor, now); refusal != nil {
		c.refuse(w, refusal, now)
		return
	}
	if c.suspects.Crashes(w.request.Fingerprint, now) > 0 {
		c.held = append(c.held, &heldWork{work: w, deadline: now.Add(w.request.Deadline)})
		c.dispatch(now)
		return
	}
	evicted, refusal := c.waiting.Push(queue.Item[*work]{
		ID:        w.id,
		Request:   w.request,
		DecodeP90: w.longest,
		Ticketed:  w.ticket != "",
		Value:     w,
	}, now)
	for _, it := range evicted {
		c.refuse(it.Value, full("a request of a higher tier took the place"), now)
	}
	if refusal != nil {
		c.refuse(w, refusal, now)
		return
	}
	c.dispatch(now)
}

// admissible returns the refusal of a request that must not wait, or nil.
func (c *control) admissible(w *work, floor int, now time.Time) *damasktrail.Refusal {
	r := w.request
	switch {
	case c.closed(w.ticket != "", now):
		return leavingRefusal()
	case !c.healthy:
		return &damasktrail.Refusal{
			Reason: damasktrail.ReasonNotReady, Outcome: damasktrail.NotRun,
			RetryAfter: retryLeaving, Detail: "the endpoint does not answer health checks",
		}
	case c.suspects.Crashes(r.Fingerprint, now) >= suspect.PoisonThreshold:
		return &damasktrail.Refusal{
			Reason: damasktrail.ReasonPoisoned, Outcome: damasktrail.NotRun,
			Detail: "this request has crashed endpoints",
		}
	}
	if floor >= 0 {
		for _, it := range c.waiting.RemoveBelow(r.Model, floor) {
			c.refuse(it.Value, belowFloor(), now)
		}
		if r.Tier > floor {
			return belowFloor()
		}
	}
	return nil
}

// closed reports whether the agent takes no more work of the kind.
func (c *control) closed(ticketed bool, now time.Time) bool {
	if c.left.IsZero() {
		return false
	}
	return !ticketed || now.Sub(c.left) >= leaveGrace
}

func full(detail string) *damasktrail.Refusal {
	return &damasktrail.Refusal{
		Reason: damasktrail.ReasonFull, Outcome: damasktrail.NotRun,
		RetryAfter: time.Second, Detail: detail,
	}
}

func belowFloor() *damasktrail.Refusal {
	return &damasktrail.Refusal{
		Reason: damasktrail.ReasonFloor, Outcome: damasktrail.NotRun,
		RetryAfter: 5 * time.Second, Detail: "only higher tiers are admitted for the model",
	}
}

// refuse ends a request that was not dispatched. A ticket is burned first, so
// that a late copy of the request cannot run after its caller was told.
func (c *control) refuse(w *work, r *damasktrail.Refusal, now time.Time) {
	if w.ticket != "" && !c.ledger.Invalidate(w.ticket, r, now) {
		r = r.WithOutcome(damasktrail.Unknown)
	}
	w.refuse(r)
}

// dispatch starts waiting requests while there is room inside the endpoint.
func (c *control) dispatch(now time.Time) {
	prefill, _ := c.meter.speed.Rates()
	for c.healthy && !c.closed(true, now) && c.limit.Admits(len(c.running), c.pending(prefill, now), prefill) {
		w := c.next(now)
		if w == nil {
			return
		}
		if w.ticket != "" && !c.ledger.Dispatch(w.ticket) {
			w.refuse(&damasktrail.Refusal{
				Reason: damasktrail.ReasonDuplicate, Outcome: damasktrail.Unknown,
				Detail: "the ticket was used before",
			})
			continue
		}
		w.dispatched = now
		c.running[w.id] = w
		w.start()
	}
}

// next returns the request to dispatch, or nil. Suspects run one at a time, so
// that a second crash names its cause.
func (c *control) next(now time.Time) *work {
	if len(c.held) > 0 && !c.suspectRunning(now) {
		w := c.held[0].work
		c.held = c.held[1:]
		return w
	}
	for {
		it, ok := c.waiting.Pop(now)
		if !ok {
			return nil
		}
		w := it.Value
		crashes := c.suspects.Crashes(w.request.Fingerprint, now)
		switch {
		case crashes >= suspect.PoisonThreshold:
			c.refuse(w, c.admissible(w, -1, now), now)
		case crashes > 0 && c.suspectRunning(now):
			c.held = append(c.held, &heldWork{work: w, deadline: now.Add(w.request.Deadline)})
		default:
			return w
		}
	}
}

func (c *control) suspectRunning(now time.Time) bool {
	for w := range maps.Values(c.running) {
		if c.suspects.Crashes(w.request.Fingerprint, now) > 0 {
			return true
		}
	}
	return false
}

// pending returns the prefill tokens of running requests without a first token.
// An answer in one piece does not show its first token; its prefill counts for
// as long as it takes at the given rate in tokens per second.
func (c *control) pending(rate float64, now time.Time) int {
	res := 0
	for _, w := range c.running {
		if !w.first.IsZero() {
			continue
		}
		tokens := w.request.Cost.Prefill
		if !w.stream && rate > 0 && now.Sub(w.dispatched).Seconds() > float64(tokens)/rate {
			continue
		}
		res += tokens
	}
	return res
}

// began records the first token of a running request.
func (c *control) began(w *work, now time.Time) {
	if w.first.IsZero() {
		w.first = now
		c.meter.prefill += float64(w.request.Cost.Prefill)
		c.dispatch(now)
	}
}

// finish removes a dispatched request that has ended in any way. Only a whole
// answer says how long the endpoint takes between tokens, or a plain service for
// all of it.
func (c *control) finish(w *work, whole bool, now time.Time) {
	c.meter.take(w)
	if whole && w.first.IsZero() {
		c.meter.prefill += float64(w.request.Cost.Prefill)
	}
	inside := len(c.running)
	delete(c.running, w.id)
	switch n := w.tokens.Load(); {
	case !whole:
	case c.service:
		c.limit.Observe(now.Sub(w.dispatched), inside)
	case n > 1 && !w.first.IsZero():
		c.limit.Observe(now.Sub(w.first)/time.Duration(n-1), inside)
	}
	c.dispatch(now)
}

// measure ends a window of the speed measurement.
func (c *control) measure(now time.Time) {
	for _, w := range c.running {
		c.meter.take(w)
	}
	c.meter.end(len(c.running) > 0, now)
	prefill, decode := c.meter.speed.Rates()
	c.waiting.SetRates(queue.Rates{Prefill: prefill, Decode: decode, TokenInterval: c.limit.TokenInterval()})
	c.dispatch(now)
}

// crashedWith records that the endpoint crashed while it ran the request. It
// returns the news for the entries.
func (c *control) crashedWith(w *work, now time.Time) []frame.Suspect {
	defer c.down(now)
	if !c.suspects.Add(w.request.Fingerprint, c.crash, now) {
		return nil
	}
	return []frame.Suspect{{Fingerprint: w.request.Fingerprint, Crashes: []uint64{c.crash}}}
}

// health takes the result of a health check. A busy endpoint can miss one; two
// in a row make it unhealthy.
func (c *control) health(ok bool, now time.Time) {
	if ok {
		if !c.healthy {
			c.crash++
		}
		c.healthy, c.missed = true, 0
		c.dispatch(now)
		return
	}
	if c.missed++; c.missed >= missedChecks {
		c.down(now)
	}
}

// down marks the endpoint as unhealthy and hands what waits back to the entries,
// which send it elsewhere. Requests with a ticket can run only here and stay.
func (c *control) down(now time.Time) {
	c.healthy = false
	c.returnWaiting(now)
}

// returnWaiting refuses waiting requests without a ticket for the reason for which
// new ones are refused.
func (c *control) returnWaiting(now time.Time) {
	for _, it := range c.waiting.Drain() {
		c.refuse(it.Value, c.admissible(it.Value, -1, now), now)
	}
	kept := c.held[:0]
	for _, w := range c.held {
		if w.ticket != "" {
			kept = append(kept, w)
			continue
		}
		c.refuse(w.work, c.admissible(w.work, -1, now), now)
	}
	c.held = kept
}

// cancel removes a request that waits; a dispatched one is ended by its runner.
func (c *control) cancel(id string, now time.Time) {
	r := &damasktrail.Refusal{
		Reason: damasktrail.ReasonCancelled, Outcome: damasktrail.NotRun,
		Detail: "the entry cancelled the request",
	}
	if it, found := c.waiting.Remove(id); found {
		c.refuse(it.Value, r, now)
		return
	}
	for i, w := range c.held {
		if w.id == id {
			c.held = append(c.held[:i:i], c.held[i+1:]...)
			c.refuse(w.work, r, now)
			return
		}
	}
}

// expire refuses what can no longer be answered in time.
func (c *control) expire(now time.Time) {
	late := &damasktrail.Refusal{
		Reason: damasktrail.ReasonDeadline, Outcome: damasktrail.NotRun,
		RetryAfter: time.Second, Detail: "the deadline passed or cannot be met",
	}
	for _, it := range c.waiting.Expire(now) {
		c.refuse(it.Value, late, now)
	}
	kept := c.held[:0]
	for _, w := range c.held {
		if now.Before(w.deadline) {
			kept = append(kept, w)
			continue
		}
		c.refuse(w.work, late, now)
	}
	c.held = kept
	c.suspects.Expire(now)
	if c.closed(true, now) {
		c.refuseTickets(now)
	}
	// Admission depends on the time that pending prefill takes, so room can appear
	// without any other event.
	c.dispatch(now)
}

// refuseTickets ends the wait of requests with a ticket once a leaving endpoint may
// get no new work. Their tickets are burned.
func (c *control) refuseTickets(now time.Time) {
	for _, w := range c.held {
		c.refuse(w.work, leavingRefusal(), now)
	}
	c.held = nil
	for {
		it, ok := c.waiting.Pop(now)
		if !ok {
			return
		}
		c.refuse(it.Value, leavingRefusal(), now)
	}
}

func leavingRefusal() *damasktrail.Refusal {
	return &damasktrail.Refusal{
		Reason: damasktrail.ReasonLeaving, Outcome: damasktrail.NotRun,
		RetryAfter: retryLeaving, Detail: "the endpoint is leaving",
	}
}

// leave begins the drain. Waiting requests without a ticket go back to their
// entries; those with one can only run here and stay.
func (c *control) leave(now time.Time) {
	if !c.left.IsZero() {
		return
	}
	c.left = now
	c.returnWaiting(now)
}

// drained reports whether a leaving agent has nothing left to run.
func (c *control) drained(now time.Time) bool {
	return c.closed(true, now) && len(c.running) == 0 && c.waiting.Len() == 0 && len(c.held) == 0
}

// adopt takes the shares of a new document.
func (c *control) adopt(d *document.Document) {
	shares := make(map[string]float64, len(d.Organisations))
	for _, o := range d.Organisations {
		shares[o.Name] = float64(o.Share)
	}
	c.waiting.SetShares(shares)
}

// load returns what the agent reports of itself.
func (c *control) load() damasktrail.Load {
	cost := c.waiting.Work()
	for _, w := range c.held {
		cost.Prefill += w.request.Cost.Prefill
		cost.Decode += w.request.Cost.Decode
	}
	for _, w := range c.running {
		if w.first.IsZero() {
			cost.Prefill += w.request.Cost.Prefill
		}
		cost.Decode += max(1, w.request.Cost.Decode-int(w.tokens.Load()))
	}
	res := damasktrail.Load{
		Running: len(c.running),
		Waiting: c.waiting.Len() + len(c.held),
		Prefill: cost.Prefill,
		Decode:  cost.Decode,
		Lowest:  c.waiting.Lowest(),
		Limit:   c.limit.Value(),
	}
	res.PrefillRate, res.DecodeRate = c.meter.speed.Rates()
	if !c.service {
		res.TokenIntervalMicros = int(c.limit.TokenInterval().Microseconds())
	}
	if !c.healthy {
		res.Limit = 0
	}
	return res
}
