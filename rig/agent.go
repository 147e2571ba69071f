package rig

import (
	"strconv"
	"time"

	"damasktrail.dev"
	"damasktrail.dev/estimate"
	"damasktrail.dev/limit"
	"damasktrail.dev/queue"
)

// networkDelay is the one-way delay of a message between an entry and an agent.
const networkDelay = time.Millisecond

// heartbeatInterval is the time without a load report after which an agent
// reports to every entry.
const heartbeatInterval = 10 * time.Second

// queueLimits bounds the queue of each agent.
var queueLimits = queue.Limits{Requests: 2000, Prefill: 800_000}

// agent simulates the process beside an endpoint. With a queue it queues,
// limits and refuses requests like the product; without one it forwards every
// request to the endpoint.
type agent struct {
	sim                     *simulation
	index                   int
	name, model             string
	domain                  string
	endpoint                *endpoint
	hasQueue                bool
	lost                    bool
	queue                   *queue.Queue[*attempt]
	limit                   *limit.Limit
	speed                   estimate.Speed
	prefillRate, decodeRate float64
	inFlight                map[*attempt]struct{}
	dispatchOrder           []*attempt // The attempts of inFlight, in order of dispatch.
	pendingPrefill          int        // Prefill tokens of attempts in flight without a first token.
	floor                   int
	floorUntil              time.Time
	lastReport              time.Time
	// Values of the endpoint's counters at the last update of the speed.
	lastBusy                           time.Duration
	lastPromptTokens, lastOutputTokens int
}

// start schedules the agent's periodic updates of rates, dispatching and
// heartbeats.
func (a *agent) start() {
	a.endpoint.onRestart = func() { a.dispatchWaiting() }
	var tick func()
	tick = func() {
		e := a.endpoint
		a.speed = a.speed.With(e.busy-a.lastBusy, float64(e.promptTokens-a.lastPromptTokens), float64(e.outputTokens-a.lastOutputTokens))
		a.lastBusy, a.lastPromptTokens, a.lastOutputTokens = e.busy, e.promptTokens, e.outputTokens
		a.prefillRate, a.decodeRate = a.speed.Rates()
		rates := queue.Rates{Prefill: a.prefillRate, Decode: a.decodeRate, TokenInterval: a.limit.TokenInterval()}
		if a.model == service {
			rates.TokenInterval /= serviceSteps // The limit of a service measures whole answers.
		}
		a.queue.SetRates(rates)
		a.dispatchWaiting()
		if !a.sim.loop.now.Before(a.lastReport.Add(heartbeatInterval)) {
			for _, en := range a.sim.entries {
				a.sendReport(en)
			}
		}
		a.sim.loop.after(time.Second, tick)
	}
	a.sim.loop.after(time.Second, tick)
}

// load returns the agent's current load.
func (a *agent) load() damasktrail.Load {
	l := damasktrail.Load{
		Running: len(a.inFlight), Waiting: a.queue.Len(), Lowest: a.queue.Lowest(), Limit: a.limit.Value(),
		PrefillRate: a.prefillRate, DecodeRate: a.decodeRate,
	}
	if a.model == model {
		l.TokenIntervalMicros = int(a.limit.TokenInterval().Microseconds())
	}
	work := a.queue.Work()
	l.Prefill, l.Decode = work.Prefill, work.Decode
	for _, t := range a.dispatchOrder {
		if t.job.decoded == 0 {
			l.Prefill += t.req.info.Cost.Prefill
		}
		l.Decode += max(1, t.req.info.Cost.Decode-t.job.decoded)
	}
	return l
}

// sendReport sends the load to an entry. Cases with outdated reports delay or
// drop it.
func (a *agent) sendReport(en *entry) {
	a.lastReport = a.sim.loop.now
	if a.sim.testCase.reportLossRatio > 0 && a.sim.random.Float64() < a.sim.testCase.reportLossRatio {
		return
	}
	l := a.load()
	a.sim.loop.after(networkDelay+a.sim.testCase.reportDelay, func() {
		if !a.lost {
			en.receiveReport(a, l)
		}
	})
}

// receive handles an attempt that arrives from an entry.
func (a *agent) receive(t *attempt) {
	if a.lost || t.cancelled {
		return
	}
	now := a.sim.loop.now
	if a.endpoint.down {
		a.refuse(t, &damasktrail.Refusal{Reason: damasktrail.ReasonNotReady, Outcome: damasktrail.NotRun})
		return
	}
	t.receivedAt = now
	if !a.hasQueue {
		a.dispatch(t)
		return
	}
	if t.req.info.Tier > a.floor && now.Before(a.floorUntil) {
		a.refuse(t, &damasktrail.Refusal{Reason: damasktrail.ReasonFloor, Outcome: damasktrail.NotRun})
		return
	}
	info := t.req.info
	info.Deadline = t.req.deadline.Sub(now)
	t.id = strconv.Itoa(t.req.id)
	evicted, refusal := a.queue.Push(queue.Item[*attempt]{ID: t.id, Request: info, DecodeP90: t.req.decodeP90, Value: t}, now)
	for _, it := range evicted {
		a.refuse(it.Value, &damasktrail.Refusal{Reason: damasktrail.ReasonFull, Outcome: damasktrail.NotRun})
	}
	if refusal != nil {
		a.refuse(t, refusal)
		return
	}
	a.dispatchWaiting()
}

// applyFloor refuses requests of tiers below the given one, queued ones
// included, for floorDuration.
func (a *agent) applyFloor(tier int) {
	if a.lost || !a.hasQueue {
		return
	}
	a.floor, a.floorUntil = tier, a.sim.loop.now.Add(floorDuration)
	for _, it := range a.queue.RemoveBelow(a.model, tier) {
		a.refuse(it.Value, &damasktrail.Refusal{Reason: damasktrail.ReasonFloor, Outcome: damasktrail.NotRun})
	}
}

// dispatchWaiting dispatches queued attempts while the limit admits them and
// refuses those that have expired.
func (a *agent) dispatchWaiting() {
	now := a.sim.loop.now
	for !a.endpoint.down && a.limit.Admits(len(a.inFlight), a.pendingPrefill, a.prefillRate) {
		it, ok := a.queue.Pop(now)
		if !ok {
			break
		}
		a.dispatch(it.Value)
	}
	for _, it := range a.queue.Expire(now) {
		a.refuse(it.Value, &damasktrail.Refusal{Reason: damasktrail.ReasonDeadline, Outcome: damasktrail.NotRun})
	}
}

// dispatch submits an attempt to the endpoint.
func (a *agent) dispatch(t *attempt) {
	r := t.req
	a.inFlight[t] = struct{}{}
	a.dispatchOrder = append(a.dispatchOrder, t)
	a.pendingPrefill += r.info.Cost.Prefill
	t.dispatched = true
	var first time.Time
	started := a.sim.loop.now
	t.job = &job{
		promptTokens: r.promptTokens, outputTokens: r.outputTokens, tier: r.info.Tier, poison: r.poison,
		onFirst: func() {
			first = a.sim.loop.now
			a.pendingPrefill -= r.info.Cost.Prefill
			a.sim.loop.after(networkDelay, func() { t.req.entry.receiveFirstToken(t) })
			if a.hasQueue {
				a.dispatchWaiting()
			}
		},
		onEnd: func() {
			inFlight := len(a.inFlight)
			a.remove(t)
			var token time.Duration
			if r.outputTokens > 1 {
				token = a.sim.loop.now.Sub(first) / time.Duration(r.outputTokens-1)
			}
			if a.model == service {
				token = a.sim.loop.now.Sub(started)
			}
			a.limit.Observe(token, inFlight)
			a.sendReport(r.entry)
			a.sim.loop.after(networkDelay, func() { r.entry.receiveEnd(t, token) })
			if a.hasQueue {
				a.dispatchWaiting()
			}
		},
		onCrash: func() {
			a.removeUnfinished(t)
			a.refuse(t, &damasktrail.Refusal{Reason: damasktrail.ReasonCrashed, Outcome: damasktrail.Unknown})
		},
	}
	a.endpoint.submit(t.job)
}

// remove removes an attempt from those in flight.
func (a *agent) remove(t *attempt) {
	delete(a.inFlight, t)
	for i, o := range a.dispatchOrder {
		if o == t {
			a.dispatchOrder = append(a.dispatchOrder[:i], a.dispatchOrder[i+1:]...)
			break
		}
	}
}

// removeUnfinished removes an attempt in flight that ended without a whole
// answer.
func (a *agent) removeUnfinished(t *attempt) {
	a.remove(t)
	if t.job.decoded == 0 {
		a.pendingPrefill -= t.req.info.Cost.Prefill
	}
}

// cancel ends an attempt that its entry no longer waits for.
func (a *agent) cancel(t *attempt) {
	if a.lost {
		return
	}
	if _, found := a.inFlight[t]; found {
		a.removeUnfinished(t)
		a.endpoint.cancel(t.job)
		if a.hasQueue {
			a.dispatchWaiting()
		}
		return
	}
	if !t.refused {
		a.queue.Remove(t.id)
	}
}

// refuse sends a refusal and the load to the entry of an attempt.
func (a *agent) refuse(t *attempt, r *damasktrail.Refusal) {
	t.refused = true
	a.sendReport(t.req.entry)
	a.sim.loop.after(networkDelay, func() {
		if !a.lost {
			t.req.entry.handleRefusal(t, r)
		}
	})
}
