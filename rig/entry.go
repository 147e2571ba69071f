package rig

import (
	"time"

	"damasktrail.dev"
	"damasktrail.dev/budget"
	"damasktrail.dev/estimate"
	"damasktrail.dev/health"
)

const (
	// floorTime is how long a floor lasts, floorSpread how long an entry waits
	// for it, and gossip how long it takes to reach the agents.
	floorTime   = 5 * time.Second
	floorSpread = time.Second
	gossip      = 100 * time.Millisecond
	// silence is how long a link with open attempts may be silent.
	silence = 6 * time.Second
	// crashPause is how long an entry leaves out an agent that reports a crash or
	// is not ready.
	crashPause = time.Second
	// poisonCrashes is how many crashes name a request as their cause.
	poisonCrashes = 2
)

// request is a caller's request with what only the rig knows of it.
type request struct {
	id             int
	info           damasktrail.Request
	body           int
	longest        int
	prompt, output int
	poison         bool
	arrival        time.Time
	deadline       time.Time
	entry          *entry
	attempt        *attempt
	// tried has the agents that must not get it again: it may have run there, or
	// they refused it in this round.
	tried map[*agent]bool
	// ran has the agents it was dispatched to, which no later round clears.
	ran      map[*agent]bool
	held     bool
	streamed bool
	finished bool
}

// attempt is one sending of a request to an agent.
type attempt struct {
	id         string
	req        *request
	agent      *agent
	job        *job
	entered    time.Time
	cancelled  bool
	refused    bool
	dispatched bool
}

// view is what an entry knows of an agent.
type view struct {
	agent    *agent
	load     damasktrail.Load
	at       time.Time
	sent     damasktrail.Cost
	inflight int
	closed   bool
	// out is the end of a short exclusion after a crash.
	out  time.Time
	open map[*attempt]struct{}
}

// entry is a fake of the process that takes callers' requests.
type entry struct {
	w       *world
	views   []*view
	byAgent map[*agent]*view
	policy  damasktrail.Policy
	lengths *estimate.Lengths
	budget  *budget.Budget
	health  map[string]*health.Group
	crashes map[uint64]int
}

// learn takes a load report.
func (en *entry) learn(a *agent, l damasktrail.Load) {
	v := en.byAgent[a]
	v.load, v.at, v.sent = l, en.w.loop.now, damasktrail.Cost{}
}

// arrive takes a request from its caller.
func (en *entry) arrive(r *request) {
	r.entry = en
	r.info.Cost = en.lengths.Cost(r.info.Organisation, r.info.Model, r.body)
	r.longest = en.lengths.DecodeP90(r.info.Organisation, r.info.Model, r.body)
	if en.crashes[r.info.Fingerprint] >= poisonCrashes {
		en.giveUp(r, damasktrail.ReasonPoisoned, nil)
		return
	}
	en.budget.Deposit(r.info.Organisation)
	en.w.loop.after(r.deadline.Sub(en.w.loop.now), func() { en.timeout(r) })
	en.send(r, nil)
}

// send makes an attempt at an agent that was not tried. When there is none, the
// last refusal goes to the caller.
func (en *entry) send(r *request, last *damasktrail.Refusal) {
	now := en.w.loop.now
	var views []*view
	var candidates []damasktrail.Candidate
	for pass := 0; pass < 2 && len(views) == 0; pass++ {
		for _, v := range en.views {
			a := v.agent
			if a.model != r.info.Model || v.closed || r.tried[a] || pass == 0 && (now.Before(v.out) || en.health[a.model].Ejected(a.name, now)) {
				continue
			}
			views = append(views, v)
			candidates = append(candidates, damasktrail.Candidate{
				Agent: a.name, Domain: a.domain, Load: v.load, Age: now.Sub(v.at), Sent: v.sent, Inflight: v.inflight,
			})
		}
	}
	r.info.Deadline = r.deadline.Sub(now)
	i, ok := en.policy.Choose(r.info, candidates)
	if !ok {
		reason := damasktrail.ReasonNotReady
		if last != nil {
			reason = last.Reason
		}
		en.giveUp(r, reason, nil)
		return
	}
	v := views[i]
	t := &attempt{req: r, agent: v.agent}
	r.attempt = t
	v.inflight++
	v.open[t] = struct{}{}
	v.sent.Prefill += r.info.Cost.Prefill
	v.sent.Decode += r.info.Cost.Decode
	en.w.loop.after(hop, func() { v.agent.receive(t) })
	if v.agent.lost {
		en.w.loop.after(silence, func() { en.closeLink(v) })
	}
}

// closeLink ends every attempt on a link that went silent.
func (en *entry) closeLink(v *view) {
	v.closed = true
	open := make([]*attempt, 0, len(v.open))
	for t := range v.open {
		open = append(open, t)
	}
	sortAttempts(open)
	for _, t := range open {
		en.refused(t, &damasktrail.Refusal{Reason: damasktrail.ReasonLost, Outcome: damasktrail.Unknown})
	}
}

// close ends an attempt and reports whether it was the open one of its request.
func (en *entry) close(t *attempt) bool {
	v := en.byAgent[t.agent]
	if _, found := v.open[t]; !found {
		return false
	}
	delete(v.open, t)
	v.inflight--
	return !t.req.finished
}

// first takes the first token of an answer.
func (en *entry) first(t *attempt) {
	r := t.req
	if r.finished || t.agent.lost || r.attempt != t {
		return
	}
	if !r.streamed {
		en.w.tally.first(r, en.w.loop.now.Sub(r.arrival))
	}
	r.streamed = true
}

// end takes the end of a whole answer.
func (en *entry) end(t *attempt, token time.Duration) {
	if t.agent.lost || !en.close(t) {
		return
	}
	r := t.req
	en.health[t.agent.model].RecordAnswer(t.agent.name, token, en.w.loop.now)
	en.lengths.Learn(r.info.Organisation, r.info.Model, r.body, damasktrail.Usage{Prefill: r.prompt, Decode: r.output})
	r.finished = true
	en.w.tally.done(r, en.w.loop.now)
}

// refused takes a refusal and sends the request again where that is allowed.
func (en *entry) refused(t *attempt, refusal *damasktrail.Refusal) {
	if !en.close(t) {
		return
	}
	r := t.req
	r.tried[t.agent] = true
	if refusal.Outcome == damasktrail.Unknown {
		r.ran[t.agent] = true
		en.health[t.agent.model].RecordFailure(t.agent.name, en.w.loop.now)
	}
	if refusal.Reason == damasktrail.ReasonCrashed || refusal.Reason == damasktrail.ReasonNotReady {
		en.byAgent[t.agent].out = en.w.loop.now.Add(crashPause)
	}
	if refusal.Reason == damasktrail.ReasonCrashed {
		for _, o := range en.w.entries {
			o.crashes[r.info.Fingerprint]++
		}
	}
	switch {
	case refusal.Reason == damasktrail.ReasonFloor:
		en.giveUp(r, refusal.Reason, t)
	case en.w.arm.Queue && en.crashes[r.info.Fingerprint] >= poisonCrashes:
		en.giveUp(r, damasktrail.ReasonPoisoned, t)
	case r.streamed:
		en.giveUp(r, refusal.Reason, t)
	case refusal.Reason == damasktrail.ReasonFull && (en.lowerWaits(r) || r.held):
		// Asking where a lower tier waits keeps the order of the tiers. It costs
		// no work of an endpoint and ends with the subset, so it is no retry. After
		// a floor every agent is asked, as reports may be old.
		en.send(r, refusal)
	case en.budget.Take(r.info.Organisation):
		en.w.tally.retries++
		en.send(r, refusal)
	case refusal.Reason == damasktrail.ReasonFull && !r.held && en.raise(r):
		r.held = true
		en.w.loop.after(floorSpread, func() {
			if !r.finished {
				r.tried = make(map[*agent]bool)
				for a := range r.ran {
					r.tried[a] = true
				}
				en.send(r, refusal)
			}
		})
	default:
		en.giveUp(r, refusal.Reason, t)
	}
}

// lowerWaits reports whether an agent that was not tried reported a tier below
// that of the request.
func (en *entry) lowerWaits(r *request) bool {
	for _, v := range en.views {
		if v.agent.model == r.info.Model && !v.closed && !r.tried[v.agent] && v.load.Lowest > r.info.Tier {
			return true
		}
	}
	return false
}

// raise spreads a floor at the request's tier when it is not the lowest.
func (en *entry) raise(r *request) bool {
	if r.info.Tier >= 2 {
		return false
	}
	for _, a := range en.w.agents {
		if a.model == r.info.Model {
			en.w.loop.after(gossip, func() { a.raise(r.info.Tier) })
		}
	}
	return true
}

// timeout ends a request whose deadline passed.
func (en *entry) timeout(r *request) {
	if r.finished {
		return
	}
	t := r.attempt
	if t != nil && en.close(t) {
		t.cancelled = true
		en.w.loop.after(hop, func() { t.agent.cancel(t) })
	}
	en.giveUp(r, damasktrail.ReasonDeadline, t)
}

// giveUp tells the caller that there is no answer.
func (en *entry) giveUp(r *request, reason damasktrail.Reason, t *attempt) {
	if r.finished {
		return
	}
	r.finished = true
	en.w.tally.refuse(r, reason)
	if en.w.inverted(r, reason, t) {
		en.w.tally.Violations++
	}
	if r.poison && en.w.setup.resend > 0 {
		en.w.resend(r)
	}
}
