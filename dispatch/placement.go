package dispatch

import (
	"math"
	"slices"
	"time"

	"damasktrail.dev/fleet"
	"damasktrail.dev/queue"
)

// The choice for adaptive services. It is made by the part of its value that a request is
// expected to lose, 1 if it is lost, and by what it takes from the streams beside it.

const (
	// lateLoss is the part of its value that a late response loses.
	lateLoss = 0.7
	// firstFrom and firstTo are the ratios of the expected time to the first event and the
	// time that is left for it between which the chance to be late grows from 0 to 1.
	// Disturbances make it up to 2.5 times as long.
	firstFrom, firstTo = 0.35, 1.0
	// endFrom and endTo are the same for the time to the end and the deadline. The expected
	// output is right in the median and often far off.
	endFrom, endTo = 0.4, 1.6
	// pauseFrom and pauseTo are the same for the pause that a prompt causes and what the
	// route of a stream allows.
	pauseFrom, pauseTo = 0.6, 1.2
	// secondLoss is the loss for each second that a response takes, which decides between
	// endpoints that are equal otherwise.
	secondLoss = 0.02
	// foreignLoss is the loss at an endpoint of another failure domain, whose coordinator may
	// be taking the same slot, and spreadLoss times a draw that at any endpoint, by which
	// coordinators that know the same choose different ones. Their sum is below minGain.
	foreignLoss = 0.004
	spreadLoss  = 0.004
	// minGain is the loss that a later slot must save to be waited for.
	minGain = 0.01
	// maxPassedRatio is the part of its objective for which a request at most waits for a
	// better slot than it can have: for all of it if the better slot saves fullGain, and for
	// less if it saves less. It is below maxWaitRatio, so that the request gets a slot in
	// the end.
	maxPassedRatio = 0.6
	fullGain       = 0.3
	// maxPassedTime bounds that time, also for requests without objective.
	maxPassedTime = time.Second
	// hopelessLength is the chance to miss its deadline from which a request waits for a
	// better slot as long as it may wait at all: a refusal in the end lets its caller try
	// again, and the slot is not used for a response that is cut off.
	hopelessLength = 0.5
	// reconsiderInterval is the longest time until a request that was passed over is
	// considered again when no slot of this entry is released. Reports of peers come some
	// hundred times a second.
	reconsiderInterval = 10 * time.Millisecond
	// maxPassed bounds the requests that one call of place passes over.
	maxPassed = 8
	// higherTierWeight multiplies what a prompt takes from a stream for each tier that the
	// stream is above it, and divides it for each tier below.
	higherTierWeight = 4
	// maxNeighbours bounds the streams that a prompt counts as making late. Engines read
	// prompts in chunks between the tokens of their streams, so that the pause of a long
	// prompt is an upper bound: counted in full, the longest prompts went to slow endpoints
	// and were late themselves.
	maxNeighbours = 0.5
	// unusedLimitGain corresponds to unusedLimitCostTokens.
	unusedLimitGain = 0.3
)

// Factor is what decided between the chosen endpoint and the next best.
type Factor int

// Factors of a choice.
const (
	// NoFactor says that the choice was not made by expected losses, or that there was one
	// endpoint only.
	NoFactor Factor = iota
	// FirstFactor is the time to the first event.
	FirstFactor
	// LengthFactor is the time to the end of the response.
	LengthFactor
	// PauseFactor is the pauses in the response, caused by prompts beside it.
	PauseFactor
	// NeighbourFactor is the pauses that its prompt causes in others.
	NeighbourFactor
	// FailureFactor is failures of the endpoint and earlier attempts.
	FailureFactor
	// TimeFactor is the time that the response takes, where nothing else differs.
	TimeFactor
)

// String returns the name of the factor as used in log lines.
func (f Factor) String() string {
	names := [...]string{"none", "first", "length", "pause", "neighbours", "failures", "time"}
	if f < 0 || int(f) >= len(names) {
		return "unknown"
	}
	return names[f]
}

// losses are the expected losses of a request at an endpoint by factor.
type losses [TimeFactor + 1]float64

func (l losses) sum() (res float64) {
	for _, x := range l {
		res += x
	}
	return res
}

// decidingFactor returns the factor in which the losses exceed the others most.
func (l losses) decidingFactor(best losses) Factor {
	res, most := NoFactor, 0.0
	for f := range l {
		if d := l[f] - best[f]; d > most {
			res, most = Factor(f), d
		}
	}
	return res
}

// option is an endpoint with a free slot that this entry may take after wait.
type option struct {
	endpoint *endpoint
	wait     time.Duration
	// free is the number of free slots less those that requests which were passed over
	// wait for.
	free int
	loss losses
}

// ramp returns 0 up to from, 1 above to, and a value between.
func ramp(x, from, to float64) float64 { return min(max((x-from)/(to-from), 0), 1) }

// ratio returns x/limit, which is large without a limit left.
func ratio(x float64, limit time.Duration) float64 { return x / max(limit.Seconds(), 1e-3) }

// losses returns the expected losses of a request that can have a slot of an endpoint after
// a time. It is called with mu held.
func (s *Scheduler) losses(v *service, w *waiter, e *endpoint, wait time.Duration, now time.Time) (res losses) {
	m, r, elapsed := v.model, &w.request, now.Sub(w.arrived)
	own, peers := e.load(), s.peerLoads[e.ID]
	current := v.factor(e, 0, now)
	tokens := float64(r.Prompt + own.Prompt + peers.Prompt)
	if e.Domain != s.domain {
		tokens += crossDomainCostTokens / 4
	}
	if now.Sub(e.lastUse[r.Client]) > connectionLifetime {
		tokens += newConnectionCostTokens
	}
	first := wait.Seconds() + current*(m.first+m.perPromptToken*tokens)
	decode := m.decode(r.Output)
	decode *= v.factor(e, time.Duration(decode*float64(time.Second)), now)
	onTime := 1.0
	if r.Objective > 0 {
		response := first
		if r.Whole {
			response += decode
		}
		late := ramp(ratio(response, r.Objective-elapsed), firstFrom, firstTo)
		onTime = 1 - late
		res[FirstFactor] = lateLoss * late
	}
	busy := float64(own.Requests+peers.Requests) / float64(e.Slots)
	if r.Pause > 0 {
		x := e.lastingFactor(v) * m.perPromptToken * m.meanPrompt / r.Pause.Seconds()
		res[PauseFactor] = lateLoss * onTime * min(1, decode*x*x*(0.2+0.8*busy))
	}
	res[LengthFactor] = ramp(ratio(first+decode, r.Timeout-elapsed), endFrom, endTo)
	res[NeighbourFactor] = s.neighbourLoss(v, r, e, peers.Requests, current)
	res[FailureFactor] = e.failureRate
	if e.ID == r.Avoid {
		res[FailureFactor]++
	}
	res[TimeFactor] = secondLoss * (first + decode*(1+0.2*busy))
	if e.Domain != s.domain {
		res[TimeFactor] += foreignLoss
	}
	res[TimeFactor] += spreadLoss * min(e.draw(s.name), 1)
	res[TimeFactor] += e.rampLoss(r)
	if e.limiter != nil && now.Sub(e.freeSince) > unusedLimitTime {
		res[TimeFactor] -= unusedLimitGain
	}
	return res
}

// lastingFactor returns the factor of the endpoint apart from disturbances.
func (e *endpoint) lastingFactor(v *service) float64 {
	if e.stated.Known() {
		return e.stated.Lasting()
	}
	return v.factor(e, 0, time.Time{})
}

// neighbourLoss returns what the prompt of a request takes from the streams that run at an
// endpoint. Streams of peers are taken to be of the same tier and route.
func (s *Scheduler) neighbourLoss(v *service, r *Request, e *endpoint, peers int, factor float64) (res float64) {
	pause := factor * (v.model.perPromptToken*float64(r.Prompt) + v.model.event)
	chance := func(allowed time.Duration) float64 {
		if allowed == 0 {
			return 0
		}
		return ramp(ratio(pause, allowed), pauseFrom, pauseTo)
	}
	for g := range e.grants {
		if !g.started {
			continue
		}
		x := chance(g.pause)
		switch {
		case g.tier < r.Tier:
			x *= higherTierWeight
		case g.tier > r.Tier:
			x /= higherTierWeight
		}
		res += x
	}
	return lateLoss * min(res+float64(peers)*chance(r.Pause), maxNeighbours)
}

// place grants free slots to waiting requests of an adaptive service. A request that does
// better with a slot that it can have soon waits for it and lets others pass. It is called
// with mu held.
func (s *Scheduler) place(v *service, now time.Time) {
	v.refresh(now)
	var passed []queue.Item[*waiter]
	var next time.Duration
	clear(v.passed)
	released := v.released
	v.released = false
	v.options = s.options(v, now, v.options[:0])
	for v.waiting.Len() > 0 && len(passed) < maxPassed && len(v.options) > 0 {
		it, ok := v.waiting.Pop(now)
		if !ok {
			break
		}
		best, wait := (*option)(nil), it.Value.reconsider.Sub(now)
		if released || wait <= 0 {
			best, wait = s.bestOption(v, it.Value, len(passed), now)
		}
		if best == nil || wait > 0 {
			it.Value.pass(best != nil, wait, now)
			passed = append(passed, it)
			v.passed[it.Request.Tier]++
			if wait > 0 && (next == 0 || wait < next) {
				next = wait
			}
			continue
		}
		s.grantOption(v, it.Value, *best, now)
		if v.waiting.Len() > 0 {
			v.options = s.options(v, now, v.options[:0])
		}
	}
	for _, it := range slices.Backward(passed) {
		it.Request.Deadline = it.Value.request.Timeout - now.Sub(it.Value.arrived)
		v.waiting.Return(it, now)
	}
	if v.waiting.Len() == 0 {
		return
	}
	for _, o := range v.options {
		if o.wait > 0 && (next == 0 || o.wait < next) {
			next = o.wait
		}
	}
	s.scheduleAssign(v, next)
}

// pass records that place has passed over the request, chose says that it was for a better
// slot in that time.
func (w *waiter) pass(chose bool, wait time.Duration, now time.Time) {
	if chose {
		w.passedOver = true
		w.reconsider = now.Add(min(wait, reconsiderInterval))
	}
}

// options appends the endpoints with free slots that this entry may take now or later.
func (s *Scheduler) options(v *service, now time.Time, res []option) []option {
	t := s.turnsOf(v)
	for _, e := range v.endpoints {
		if wait, ok := s.turnWait(t, e, now); ok {
			res = append(res, option{endpoint: e, wait: max(0, wait), free: e.freeSlots})
		}
	}
	return res
}

// bestOption returns the option with the least expected loss for a request, and how long to
// wait for it: zero to take it now. It returns none if no endpoint takes the request now.
func (s *Scheduler) bestOption(v *service, w *waiter, passed int, now time.Time) (best *option, wait time.Duration) {
	var soonest *option
	spares := v.sparesRamping(w, now)
	for i := range v.options {
		o := &v.options[i]
		if o.free <= 0 || !w.takenBy(o.endpoint, now) || spares && o.endpoint.ramping() {
			continue
		}
		o.loss = s.losses(v, w, o.endpoint, o.wait, now)
		if best == nil || better(o, best) {
			best = o
		}
		if o.wait == 0 && (soonest == nil || better(o, soonest)) {
			soonest = o
		}
	}
	if best == nil || soonest == nil {
		return nil, 0
	}
	loss := soonest.loss.sum()
	if gain := loss - best.loss.sum(); best.wait > 0 && gain > minGain && w.mayPass(soonest.loss, gain, now) {
		best.free--
		return best, best.wait
	}
	if wait, gain := s.releaseWait(v, w, loss, passed, now); gain > minGain && w.mayPass(soonest.loss, gain, now) {
		return soonest, wait
	}
	return soonest, 0
}

// takenBy reports whether an endpoint takes the request, apart from its slots and its health.
func (w *waiter) takenBy(e *endpoint, now time.Time) bool { return w.closedFor(e, now) == 0 }

// better orders options by loss, then by ID.
func better(a, b *option) bool {
	x, y := a.loss.sum(), b.loss.sum()
	return x < y || x == y && a.endpoint.ID < b.endpoint.ID
}

// mayPass reports whether a request may still wait for a better slot, which saves gain of the
// loss with the one that it can have now.
func (w *waiter) mayPass(loss losses, gain float64, now time.Time) bool {
	if loss[LengthFactor] > hopelessLength {
		return true
	}
	limit := maxPassedTime
	if w.request.Objective > 0 {
		limit = min(limit, time.Duration(maxPassedRatio*float64(w.request.Objective)))
	}
	return now.Sub(w.arrived) < time.Duration(min(1, gain/fullGain)*float64(limit))
}

// releaseWait returns the time until a slot is released that is better than one with a loss,
// and how much it saves. It counts endpoints without free slots at which this entry has the
// first turn.
func (s *Scheduler) releaseWait(v *service, w *waiter, loss float64, passed int, now time.Time) (wait time.Duration, gain float64) {
	if loss < 2*minGain {
		return 0, 0
	}
	rate, least := 0.0, math.Inf(1)
	for _, e := range v.endpoints {
		if e.freeSlots > 0 || s.turns == OwnerTurns && e.Domain != s.domain || !s.takesRequests(v, e, now) || !w.takenBy(e, now) {
			continue
		}
		x := s.losses(v, w, e, 0, now).sum()
		if x < loss-minGain {
			rate += float64(e.Slots) / (v.model.meanHold * e.lastingFactor(v))
			least = min(least, x)
		}
	}
	if s.turns == EqualTurns {
		rate /= float64(1 + len(s.peers))
	}
	if rate == 0 {
		return 0, 0
	}
	seconds := float64(1+passed) / rate
	wait = time.Duration(min(seconds, 1) * float64(time.Second))
	if r := w.request; r.Objective > 0 {
		least += lateLoss * ramp(ratio(seconds, r.Objective-now.Sub(w.arrived)), 0, 1)
	}
	return wait, loss - least - secondLoss*seconds
}

// takesRequests reports whether an endpoint takes requests apart from its free slots.
func (s *Scheduler) takesRequests(v *service, e *endpoint, now time.Time) bool {
	return e.usable() && !now.Before(e.backoffUntil) && e.failures == 0 && !e.ramp.active && !e.limited() && !v.health.Ejected(e.ID, now) && !e.stalled(now)
}

// grantOption gives a request a slot of the best option.
func (s *Scheduler) grantOption(v *service, w *waiter, best option, now time.Time) {
	second, available := (*option)(nil), 0
	for i := range v.options {
		o := &v.options[i]
		if o.wait > 0 || o.free <= 0 {
			continue
		}
		available++
		if o.endpoint != best.endpoint && (second == nil || better(o, second)) {
			second = o
		}
	}
	g := s.grantSlot(v, w, best.endpoint, available, now)
	g.Choice.Percent = int(min(100*v.factor(best.endpoint, 0, now), fleet.MaxPercent))
	g.Choice.Waited = w.passedOver
	if second != nil {
		g.Choice.Factor = second.loss.decidingFactor(best.loss)
	}
	w.granted <- g
}
