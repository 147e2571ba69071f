package rig

import (
	"strconv"
	"time"

	"damasktrail.dev"
	"damasktrail.dev/estimate"
	"damasktrail.dev/limit"
	"damasktrail.dev/queue"
)

// hop is the time of a message between an entry and an agent, one way.
const hop = time.Millisecond

// heartbeat is how long an agent stays silent at most.
const heartbeat = 10 * time.Second

// bounds are those of an agent's queue.
var bounds = queue.Limits{Requests: 2000, Prefill: 800_000}

// agent is a fake of the process beside an endpoint. With a queue it decides as
// the product does; without one it passes everything to the endpoint.
type agent struct {
	w            *world
	index        int
	name, model  string
	domain       string
	endpoint     *endpoint
	queued       bool
	lost         bool
	waiting      *queue.Queue[*attempt]
	limit        *limit.Limit
	speed        estimate.Speed
	pRate, dRate float64
	inside       map[*attempt]struct{}
	order        []*attempt // inside, in order of dispatch
	pending      int        // prefill tokens inside without a first token
	floor        int
	floorEnd     time.Time
	lastReport   time.Time
	// The endpoint's counters at the last window.
	busy          time.Duration
	first, tokens int
}

// start begins the periodic work of an agent.
func (a *agent) start() {
	a.endpoint.restart = func() { a.pump() }
	var tick func()
	tick = func() {
		e := a.endpoint
		a.speed = a.speed.With(e.busy-a.busy, float64(e.first-a.first), float64(e.tokens-a.tokens))
		a.busy, a.first, a.tokens = e.busy, e.first, e.tokens
		a.pRate, a.dRate = a.speed.Rates()
		rates := queue.Rates{Prefill: a.pRate, Decode: a.dRate, TokenInterval: a.limit.TokenInterval()}
		if a.model == service {
			rates.TokenInterval /= serviceTokens // The limit measures whole answers.
		}
		a.waiting.SetRates(rates)
		a.pump()
		if !a.w.loop.now.Before(a.lastReport.Add(heartbeat)) {
			for _, en := range a.w.entries {
				a.report(en)
			}
		}
		a.w.loop.after(time.Second, tick)
	}
	a.w.loop.after(time.Second, tick)
}

// load returns the agent's state now.
func (a *agent) load() damasktrail.Load {
	l := damasktrail.Load{
		Running: len(a.inside), Waiting: a.waiting.Len(), Lowest: a.waiting.Lowest(), Limit: a.limit.Value(),
		PrefillRate: a.pRate, DecodeRate: a.dRate,
	}
	if a.model == model {
		l.TokenIntervalMicros = int(a.limit.TokenInterval().Microseconds())
	}
	work := a.waiting.Work()
	l.Prefill, l.Decode = work.Prefill, work.Decode
	for _, t := range a.order {
		if t.job.decoded == 0 {
			l.Prefill += t.req.info.Cost.Prefill
		}
		l.Decode += max(1, t.req.info.Cost.Decode-t.job.decoded)
	}
	return l
}

// report sends the load to an entry, late or never in cases of old reports.
func (a *agent) report(en *entry) {
	a.lastReport = a.w.loop.now
	if a.w.setup.reportLoss > 0 && a.w.random.Float64() < a.w.setup.reportLoss {
		return
	}
	l := a.load()
	a.w.loop.after(hop+a.w.setup.reportDelay, func() {
		if !a.lost {
			en.learn(a, l)
		}
	})
}

// receive takes an attempt.
func (a *agent) receive(t *attempt) {
	if a.lost || t.cancelled {
		return
	}
	now := a.w.loop.now
	if a.endpoint.down {
		a.refuse(t, &damasktrail.Refusal{Reason: damasktrail.ReasonNotReady, Outcome: damasktrail.NotRun})
		return
	}
	t.entered = now
	if !a.queued {
		a.dispatch(t)
		return
	}
	if t.req.info.Tier > a.floor && now.Before(a.floorEnd) {
		a.refuse(t, &damasktrail.Refusal{Reason: damasktrail.ReasonFloor, Outcome: damasktrail.NotRun})
		return
	}
	info := t.req.info
	info.Deadline = t.req.deadline.Sub(now)
	t.id = strconv.Itoa(t.req.id)
	evicted, refusal := a.waiting.Push(queue.Item[*attempt]{ID: t.id, Request: info, DecodeP90: t.req.longest, Value: t}, now)
	for _, it := range evicted {
		a.refuse(it.Value, &damasktrail.Refusal{Reason: damasktrail.ReasonFull, Outcome: damasktrail.NotRun})
	}
	if refusal != nil {
		a.refuse(t, refusal)
		return
	}
	a.pump()
}

// raise applies a floor.
func (a *agent) raise(tier int) {
	if a.lost || !a.queued {
		return
	}
	a.floor, a.floorEnd = tier, a.w.loop.now.Add(floorTime)
	for _, it := range a.waiting.RemoveBelow(a.model, tier) {
		a.refuse(it.Value, &damasktrail.Refusal{Reason: damasktrail.ReasonFloor, Outcome: damasktrail.NotRun})
	}
}

// pump moves what the limit allows from the queue into the endpoint.
func (a *agent) pump() {
	now := a.w.loop.now
	for !a.endpoint.down && a.limit.Admits(len(a.inside), a.pending, a.pRate) {
		it, ok := a.waiting.Pop(now)
		if !ok {
			break
		}
		a.dispatch(it.Value)
	}
	for _, it := range a.waiting.Expire(now) {
		a.refuse(it.Value, &damasktrail.Refusal{Reason: damasktrail.ReasonDeadline, Outcome: damasktrail.NotRun})
	}
}

// dispatch gives an attempt to the endpoint.
func (a *agent) dispatch(t *attempt) {
	r := t.req
	a.inside[t] = struct{}{}
	a.order = append(a.order, t)
	a.pending += r.info.Cost.Prefill
	t.dispatched = true
	var first time.Time
	started := a.w.loop.now
	t.job = &job{
		prompt: r.prompt, output: r.output, tier: r.info.Tier, poison: r.poison,
		onFirst: func() {
			first = a.w.loop.now
			a.pending -= r.info.Cost.Prefill
			a.w.loop.after(hop, func() { t.req.entry.first(t) })
			if a.queued {
				a.pump()
			}
		},
		onEnd: func() {
			inside := len(a.inside)
			a.leave(t)
			var token time.Duration
			if r.output > 1 {
				token = a.w.loop.now.Sub(first) / time.Duration(r.output-1)
			}
			if a.model == service {
				token = a.w.loop.now.Sub(started)
			}
			a.limit.Observe(token, inside)
			a.report(r.entry)
			a.w.loop.after(hop, func() { r.entry.end(t, token) })
			if a.queued {
				a.pump()
			}
		},
		onCrash: func() {
			a.forget(t)
			a.refuse(t, &damasktrail.Refusal{Reason: damasktrail.ReasonCrashed, Outcome: damasktrail.Unknown})
		},
	}
	a.endpoint.submit(t.job)
}

// leave removes an attempt that is no longer inside.
func (a *agent) leave(t *attempt) {
	delete(a.inside, t)
	for i, o := range a.order {
		if o == t {
			a.order = append(a.order[:i], a.order[i+1:]...)
			break
		}
	}
}

// forget removes an attempt that ended without a whole answer.
func (a *agent) forget(t *attempt) {
	a.leave(t)
	if t.job.decoded == 0 {
		a.pending -= t.req.info.Cost.Prefill
	}
}

// cancel ends an attempt for its caller.
func (a *agent) cancel(t *attempt) {
	if a.lost {
		return
	}
	if _, found := a.inside[t]; found {
		a.forget(t)
		a.endpoint.cancel(t.job)
		if a.queued {
			a.pump()
		}
		return
	}
	if !t.refused {
		a.waiting.Remove(t.id)
	}
}

// refuse answers an attempt with a refusal and the load.
func (a *agent) refuse(t *attempt, r *damasktrail.Refusal) {
	t.refused = true
	a.report(t.req.entry)
	a.w.loop.after(hop, func() {
		if !a.lost {
			t.req.entry.refused(t, r)
		}
	})
}
