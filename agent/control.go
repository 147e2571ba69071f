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
	// ticketGrace is the time for which a leaving agent still accepts tickets
	// that it issued before. A leaving agent must stop taking new requests
	// within a few seconds.
	ticketGrace = 3 * time.Second
	// unavailableRetryAfter is the retry delay for callers of a leaving or
	// unready endpoint. It is short because another entry or a new agent can
	// answer at once.
	unavailableRetryAfter = 200 * time.Millisecond
	// unhealthyThreshold is the number of consecutive failed health checks that
	// make an endpoint unhealthy.
	unhealthyThreshold = 2
)

// work is a request that an agent has admitted or may admit.
type work struct {
	// id is the ticket of a request that has one, otherwise the id of the
	// attempt.
	id      string
	request damasktrail.Request
	// ticket is empty for an idempotent request.
	ticket string
	// stream reports whether the answer is streamed token by token.
	stream bool
	// decodeP90 is the estimated 0.9 quantile of the number of generated tokens.
	decodeP90 int
	// The control goroutine calls exactly one of start and refuse, once for each time
	// that the work is admitted or requeued. Neither blocks.
	start  func()
	refuse func(*damasktrail.Refusal)

	// dispatchedAt and firstTokenAt are the times of dispatch and of the first
	// token, zero before.
	dispatchedAt, firstTokenAt time.Time
	// tokens counts the relayed chunks of the answer, about one per token. The
	// goroutine that runs the request writes it; the control goroutine reads
	// it.
	tokens atomic.Int64
	// meteredTokens is the part of tokens that the meter has counted.
	meteredTokens int64
}

// control is the state that decides what the endpoint runs. It is owned by one
// goroutine and uses neither the network nor a clock; callers pass the current
// time.
type control struct {
	waiting *queue.Queue[*work]
	// suspectQueue holds the suspects that wait until no other suspect runs,
	// oldest first.
	suspectQueue []*queuedSuspect
	// running holds the dispatched requests by id. There are more than the
	// limit only after the limit fell.
	running map[string]*work
	limit   *limit.Limit
	// service reports whether the endpoint is a plain service, which has no
	// tokens.
	service  bool
	meter    meter
	ledger   *ticket.Ledger
	suspects *suspect.List
	// nextCrashID identifies the next crash of the endpoint.
	nextCrashID uint64
	// healthy is false before the first successful health check, and from a
	// crash or failed checks until the next successful one.
	healthy bool
	// failedChecks counts consecutive failed health checks.
	failedChecks int
	// leavingSince is the start of the drain, zero before.
	leavingSince time.Time
}

type queuedSuspect struct {
	*work
	deadline time.Time
}

func newControl(limits queue.Limits, l *limit.Limit, ledger *ticket.Ledger, firstCrashID uint64) *control {
	return &control{
		waiting:     queue.New[*work](limits),
		running:     map[string]*work{},
		limit:       l,
		ledger:      ledger,
		suspects:    suspect.New(),
		nextCrashID: firstCrashID,
	}
}

// admit queues a request or refuses it.
func (c *control) admit(w *work, floor int, now time.Time) {
	if refusal := c.admissionRefusal(w, floor, now); refusal != nil {
		c.refuse(w, refusal, now)
		return
	}
	c.enqueue(w, now)
}

// enqueue lets an admitted request wait, or refuses it when there is no room or not enough
// time.
func (c *control) enqueue(w *work, now time.Time) {
	if c.suspects.Crashes(w.request.Fingerprint, now) > 0 {
		c.suspectQueue = append(c.suspectQueue, &queuedSuspect{work: w, deadline: now.Add(w.request.Deadline)})
		c.dispatch(now)
		return
	}
	evicted, refusal := c.waiting.Push(queue.Item[*work]{
		ID:        w.id,
		Request:   w.request,
		DecodeP90: w.decodeP90,
		Ticketed:  w.ticket != "",
		Value:     w,
	}, now)
	for _, it := range evicted {
		c.refuse(it.Value, fullRefusal("a request of a higher tier took the place"), now)
	}
	if refusal != nil {
		c.refuse(w, refusal, now)
		return
	}
	c.dispatch(now)
}

// admissionRefusal returns the refusal of a request that may not be queued, or
// nil. It also refuses waiting requests below the floor; a negative floor
// admits all tiers.
func (c *control) admissionRefusal(w *work, floor int, now time.Time) *damasktrail.Refusal {
	r := w.request
	switch {
	case c.closed(w.ticket != "", now):
		return leavingRefusal()
	case !c.healthy:
		return &damasktrail.Refusal{
			Reason: damasktrail.ReasonNotReady, Outcome: damasktrail.NotRun,
			RetryAfter: unavailableRetryAfter, Detail: "the endpoint does not answer health checks",
		}
	case c.suspects.Crashes(r.Fingerprint, now) >= suspect.PoisonThreshold:
		return &damasktrail.Refusal{
			Reason: damasktrail.ReasonPoisoned, Outcome: damasktrail.NotRun,
			Detail: "this request has crashed endpoints",
		}
	}
	if floor >= 0 {
		for _, it := range c.waiting.RemoveBelow(r.Model, floor) {
			c.refuse(it.Value, belowFloorRefusal(), now)
		}
		if r.Tier > floor {
			return belowFloorRefusal()
		}
	}
	return nil
}

// closed reports whether the drain excludes new requests, either those with or
// those without a ticket.
func (c *control) closed(ticketed bool, now time.Time) bool {
	if c.leavingSince.IsZero() {
		return false
	}
	return !ticketed || now.Sub(c.leavingSince) >= ticketGrace
}

func duplicateRefusal() *damasktrail.Refusal {
	return &damasktrail.Refusal{
		Reason: damasktrail.ReasonDuplicate, Outcome: damasktrail.Unknown,
		Detail: "the ticket was used before",
	}
}

func fullRefusal(detail string) *damasktrail.Refusal {
	return &damasktrail.Refusal{
		Reason: damasktrail.ReasonFull, Outcome: damasktrail.NotRun,
		RetryAfter: time.Second, Detail: detail,
	}
}

func belowFloorRefusal() *damasktrail.Refusal {
	return &damasktrail.Refusal{
		Reason: damasktrail.ReasonFloor, Outcome: damasktrail.NotRun,
		RetryAfter: 5 * time.Second, Detail: "only higher tiers are admitted for the model",
	}
}

// refuse ends a request that was not dispatched. Its ticket is invalidated
// first, so that a late copy of the request cannot run after the caller has
// received the refusal.
func (c *control) refuse(w *work, r *damasktrail.Refusal, now time.Time) {
	if w.ticket != "" && !c.ledger.Invalidate(w.ticket, r, now) {
		r = r.WithOutcome(damasktrail.Unknown)
	}
	w.refuse(r)
}

// dispatch starts waiting requests while the limit of the endpoint admits them.
func (c *control) dispatch(now time.Time) {
	prefillRate, _ := c.meter.speed.Rates()
	for c.healthy && !c.closed(true, now) && c.limit.Admits(len(c.running), c.pendingPrefill(prefillRate, now), prefillRate) {
		w := c.next(now)
		if w == nil {
			return
		}
		if w.ticket != "" && !c.ledger.Dispatch(w.ticket) {
			w.refuse(duplicateRefusal())
			continue
		}
		w.dispatchedAt = now
		c.running[w.id] = w
		w.start()
	}
}

// next returns the next request to dispatch, or nil. Suspects run one at a
// time, so that a second crash identifies the request that causes it.
func (c *control) next(now time.Time) *work {
	if len(c.suspectQueue) > 0 && !c.suspectRunning(now) {
		w := c.suspectQueue[0].work
		c.suspectQueue = c.suspectQueue[1:]
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
			c.refuse(w, c.admissionRefusal(w, -1, now), now)
		case crashes > 0 && c.suspectRunning(now):
			c.suspectQueue = append(c.suspectQueue, &queuedSuspect{work: w, deadline: now.Add(w.request.Deadline)})
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

// pendingPrefill returns the prefill tokens of running requests without a first
// token. The first token of a non-streaming answer cannot be observed, so its
// prefill counts for as long as it takes at the given rate.
func (c *control) pendingPrefill(tokensPerSecond float64, now time.Time) int {
	res := 0
	for _, w := range c.running {
		if !w.firstTokenAt.IsZero() {
			continue
		}
		tokens := w.request.Cost.Prefill
		if !w.stream && tokensPerSecond > 0 && now.Sub(w.dispatchedAt).Seconds() > float64(tokens)/tokensPerSecond {
			continue
		}
		res += tokens
	}
	return res
}

// recordFirstToken records the first token of a running request.
func (c *control) recordFirstToken(w *work, now time.Time) {
	if w.firstTokenAt.IsZero() {
		w.firstTokenAt = now
		c.meter.prefillTokens += float64(w.request.Cost.Prefill)
		c.dispatch(now)
	}
}

// finish removes a dispatched request that has ended, successfully or not. Only
// a complete answer shows the time that the endpoint takes between tokens, or
// that a plain service takes for the whole answer.
func (c *control) finish(w *work, complete bool, now time.Time) {
	c.meter.addDecodeTokens(w)
	if complete && w.firstTokenAt.IsZero() {
		c.meter.prefillTokens += float64(w.request.Cost.Prefill)
	}
	inFlight := len(c.running)
	delete(c.running, w.id)
	switch n := w.tokens.Load(); {
	case !complete:
	case c.service:
		c.limit.Observe(now.Sub(w.dispatchedAt), inFlight)
	case n > 1 && !w.firstTokenAt.IsZero():
		c.limit.Observe(now.Sub(w.firstTokenAt)/time.Duration(n-1), inFlight)
	}
	c.dispatch(now)
}

// undispatched removes a dispatched request of which no byte reached the endpoint. The
// endpoint has probably crashed: it gets no more requests before a health check succeeds.
func (c *control) undispatched(w *work, now time.Time) {
	delete(c.running, w.id)
	c.markUnhealthy(now)
}

// requeue lets a request with a ticket of which no byte reached the endpoint wait again,
// for the rest of its deadline.
func (c *control) requeue(w *work, remaining time.Duration, now time.Time) {
	if !c.ledger.Requeue(w.ticket) {
		w.refuse(duplicateRefusal())
		return
	}
	w.request.Deadline = remaining
	w.dispatchedAt = time.Time{}
	if c.closed(true, now) {
		c.refuse(w, leavingRefusal(), now)
		return
	}
	c.enqueue(w, now)
}

// measure ends a window of the speed measurement.
func (c *control) measure(now time.Time) {
	for _, w := range c.running {
		c.meter.addDecodeTokens(w)
	}
	c.meter.endWindow(len(c.running) > 0, now)
	prefill, decode := c.meter.speed.Rates()
	c.waiting.SetRates(queue.Rates{Prefill: prefill, Decode: decode, TokenInterval: c.limit.TokenInterval()})
	c.dispatch(now)
}

// recordCrash records that the endpoint crashed while it ran the request. It
// returns the new suspects to report to the entries.
func (c *control) recordCrash(w *work, now time.Time) []frame.Suspect {
	defer c.markUnhealthy(now)
	if !c.suspects.Add(w.request.Fingerprint, c.nextCrashID, now) {
		return nil
	}
	return []frame.Suspect{{Fingerprint: w.request.Fingerprint, Crashes: []uint64{c.nextCrashID}}}
}

// recordHealthCheck records the result of a health check. A busy endpoint can
// miss one check; two failures in a row make it unhealthy.
func (c *control) recordHealthCheck(ok bool, now time.Time) {
	if ok {
		if !c.healthy {
			c.nextCrashID++
		}
		c.healthy, c.failedChecks = true, 0
		c.dispatch(now)
		return
	}
	if c.failedChecks++; c.failedChecks >= unhealthyThreshold {
		c.markUnhealthy(now)
	}
}

// markUnhealthy marks the endpoint as unhealthy and returns waiting requests to
// the entries, which send them to other endpoints. Requests with a ticket stay,
// because they can run only here.
func (c *control) markUnhealthy(now time.Time) {
	c.healthy = false
	c.returnWaiting(now)
}

// returnWaiting refuses waiting requests without a ticket for the same reason
// as new ones.
func (c *control) returnWaiting(now time.Time) {
	for _, it := range c.waiting.Drain() {
		c.refuse(it.Value, c.admissionRefusal(it.Value, -1, now), now)
	}
	kept := c.suspectQueue[:0]
	for _, w := range c.suspectQueue {
		if w.ticket != "" {
			kept = append(kept, w)
			continue
		}
		c.refuse(w.work, c.admissionRefusal(w.work, -1, now), now)
	}
	c.suspectQueue = kept
}

// cancel removes a waiting request. A dispatched one is ended by the goroutine
// that runs it.
func (c *control) cancel(id string, now time.Time) {
	r := &damasktrail.Refusal{
		Reason: damasktrail.ReasonCancelled, Outcome: damasktrail.NotRun,
		Detail: "the entry cancelled the request",
	}
	if it, found := c.waiting.Remove(id); found {
		c.refuse(it.Value, r, now)
		return
	}
	for i, w := range c.suspectQueue {
		if w.id == id {
			c.suspectQueue = append(c.suspectQueue[:i:i], c.suspectQueue[i+1:]...)
			c.refuse(w.work, r, now)
			return
		}
	}
}

// expire refuses waiting requests that can no longer be answered in time.
func (c *control) expire(now time.Time) {
	late := &damasktrail.Refusal{
		Reason: damasktrail.ReasonDeadline, Outcome: damasktrail.NotRun,
		RetryAfter: time.Second, Detail: "the deadline passed or cannot be met",
	}
	for _, it := range c.waiting.Expire(now) {
		c.refuse(it.Value, late, now)
	}
	kept := c.suspectQueue[:0]
	for _, w := range c.suspectQueue {
		if now.Before(w.deadline) {
			kept = append(kept, w)
			continue
		}
		c.refuse(w.work, late, now)
	}
	c.suspectQueue = kept
	c.suspects.Expire(now)
	if c.closed(true, now) {
		c.refuseTickets(now)
	}
	// The estimate of pending prefill falls with time, so the limit may admit a
	// request without any other event.
	c.dispatch(now)
}

// refuseTickets refuses waiting requests with a ticket once a leaving endpoint
// may get no new requests. Their tickets are invalidated.
func (c *control) refuseTickets(now time.Time) {
	for _, w := range c.suspectQueue {
		c.refuse(w.work, leavingRefusal(), now)
	}
	c.suspectQueue = nil
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
		RetryAfter: unavailableRetryAfter, Detail: "the endpoint is leaving",
	}
}

// leave begins the drain. Waiting requests without a ticket are returned to
// their entries; those with one stay, because they can run only here.
func (c *control) leave(now time.Time) {
	if !c.leavingSince.IsZero() {
		return
	}
	c.leavingSince = now
	c.returnWaiting(now)
}

// drained reports whether the drain is complete: no request waits or runs and
// no new one is admitted.
func (c *control) drained(now time.Time) bool {
	return c.closed(true, now) && len(c.running) == 0 && c.waiting.Len() == 0 && len(c.suspectQueue) == 0
}

// adopt sets the organisations' shares from a new document.
func (c *control) adopt(d *document.Document) {
	shares := make(map[string]float64, len(d.Organisations))
	for _, o := range d.Organisations {
		shares[o.Name] = float64(o.Share)
	}
	c.waiting.SetShares(shares)
}

// load returns the load that the agent reports.
func (c *control) load() damasktrail.Load {
	cost := c.waiting.Work()
	for _, w := range c.suspectQueue {
		cost.Prefill += w.request.Cost.Prefill
		cost.Decode += w.request.Cost.Decode
	}
	for _, w := range c.running {
		if w.firstTokenAt.IsZero() {
			cost.Prefill += w.request.Cost.Prefill
		}
		cost.Decode += max(1, w.request.Cost.Decode-int(w.tokens.Load()))
	}
	res := damasktrail.Load{
		Running: len(c.running),
		Waiting: c.waiting.Len() + len(c.suspectQueue),
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
