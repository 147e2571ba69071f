package rig

import (
	"time"

	"damasktrail.dev"
	"damasktrail.dev/budget"
	"damasktrail.dev/estimate"
	"damasktrail.dev/health"
)

const (
	// floorDuration is how long a floor applies, floorWait how long an entry waits
	// for a floor to take effect before it sends the request again, and
	// gossipDelay how long a floor takes to reach the agents.
	floorDuration = 5 * time.Second
	floorWait     = time.Second
	gossipDelay   = 100 * time.Millisecond
	// silenceTimeout is how long a link with open attempts may be silent before it
	// is closed.
	silenceTimeout = 6 * time.Second
	// crashBackoff is how long an entry avoids an agent that reported a crash or
	// is not ready.
	crashBackoff = time.Second
	// poisonThreshold is the number of crashes after which a request counts as
	// their cause.
	poisonThreshold = 2
)

// request is a caller's request with the simulation's bookkeeping.
type request struct {
	id                         int
	info                       damasktrail.Request
	bodyBytes                  int
	decodeP90                  int
	promptTokens, outputTokens int
	poison                     bool
	arrival                    time.Time
	deadline                   time.Time
	entry                      *entry
	attempt                    *attempt
	// excluded holds the agents that must not receive the request again: it may
	// have run there, or they refused it since the last floor that was raised for
	// it.
	excluded map[*agent]bool
	// mayHaveRun holds the agents on which the request may have run. They stay
	// excluded after a floor.
	mayHaveRun     map[*agent]bool
	waitedForFloor bool
	streamed       bool
	finished       bool
}

// attempt is one transmission of a request to an agent.
type attempt struct {
	id         string
	req        *request
	agent      *agent
	job        *job
	receivedAt time.Time
	cancelled  bool
	refused    bool
	dispatched bool
}

// agentView is the state of an agent as an entry knows it.
type agentView struct {
	agent           *agent
	load            damasktrail.Load
	reportedAt      time.Time
	sentSinceReport damasktrail.Cost
	inflight        int
	closed          bool
	// excludedUntil is the end of the backoff after a crash.
	excludedUntil time.Time
	attempts      map[*attempt]struct{}
}

// entry simulates the process that takes callers' requests.
type entry struct {
	sim         *simulation
	views       []*agentView
	byAgent     map[*agent]*agentView
	policy      damasktrail.Policy
	lengths     *estimate.Lengths
	budget      *budget.Budget
	health      map[string]*health.Group
	crashCounts map[uint64]int
}

// receiveReport stores a load report.
func (en *entry) receiveReport(a *agent, l damasktrail.Load) {
	v := en.byAgent[a]
	v.load, v.reportedAt, v.sentSinceReport = l, en.sim.loop.now, damasktrail.Cost{}
}

// receive handles a new request from its caller.
func (en *entry) receive(r *request) {
	r.entry = en
	r.info.Cost = en.lengths.Cost(r.info.Organisation, r.info.Model, r.bodyBytes)
	r.decodeP90 = en.lengths.DecodeP90(r.info.Organisation, r.info.Model, r.bodyBytes)
	if en.crashCounts[r.info.Fingerprint] >= poisonThreshold {
		en.fail(r, damasktrail.ReasonPoisoned, nil)
		return
	}
	en.budget.Deposit(r.info.Organisation)
	en.sim.loop.after(r.deadline.Sub(en.sim.loop.now), func() { en.timeout(r) })
	en.send(r, nil)
}

// send sends a request to an agent that is not excluded. Agents that are
// ejected or in backoff are considered only when there is no other. Without a
// candidate the request fails with the reason of the last refusal.
func (en *entry) send(r *request, last *damasktrail.Refusal) {
	now := en.sim.loop.now
	var views []*agentView
	var candidates []damasktrail.Candidate
	for pass := 0; pass < 2 && len(views) == 0; pass++ {
		for _, v := range en.views {
			a := v.agent
			if a.model != r.info.Model || v.closed || r.excluded[a] || pass == 0 && (now.Before(v.excludedUntil) || en.health[a.model].Ejected(a.name, now)) {
				continue
			}
			views = append(views, v)
			candidates = append(candidates, damasktrail.Candidate{
				Agent: a.name, Domain: a.domain, Load: v.load, Age: now.Sub(v.reportedAt), Sent: v.sentSinceReport, Inflight: v.inflight,
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
		en.fail(r, reason, nil)
		return
	}
	v := views[i]
	t := &attempt{req: r, agent: v.agent}
	r.attempt = t
	v.inflight++
	v.attempts[t] = struct{}{}
	v.sentSinceReport.Prefill += r.info.Cost.Prefill
	v.sentSinceReport.Decode += r.info.Cost.Decode
	en.sim.loop.after(networkDelay, func() { v.agent.receive(t) })
	if v.agent.lost {
		en.sim.loop.after(silenceTimeout, func() { en.closeLink(v) })
	}
}

// closeLink closes a link that went silent and ends its attempts.
func (en *entry) closeLink(v *agentView) {
	v.closed = true
	open := make([]*attempt, 0, len(v.attempts))
	for t := range v.attempts {
		open = append(open, t)
	}
	sortAttempts(open)
	for _, t := range open {
		en.handleRefusal(t, &damasktrail.Refusal{Reason: damasktrail.ReasonLost, Outcome: damasktrail.Unknown})
	}
}

// closeAttempt closes an attempt and reports whether it was open and its
// request unfinished.
func (en *entry) closeAttempt(t *attempt) bool {
	v := en.byAgent[t.agent]
	if _, found := v.attempts[t]; !found {
		return false
	}
	delete(v.attempts, t)
	v.inflight--
	return !t.req.finished
}

// receiveFirstToken handles the first token of an answer.
func (en *entry) receiveFirstToken(t *attempt) {
	r := t.req
	if r.finished || t.agent.lost || r.attempt != t {
		return
	}
	if !r.streamed {
		en.sim.statistics.recordFirstToken(r, en.sim.loop.now.Sub(r.arrival))
	}
	r.streamed = true
}

// receiveEnd handles the end of a whole answer.
func (en *entry) receiveEnd(t *attempt, token time.Duration) {
	if t.agent.lost || !en.closeAttempt(t) {
		return
	}
	r := t.req
	en.health[t.agent.model].RecordAnswer(t.agent.name, token, en.sim.loop.now)
	en.lengths.Learn(r.info.Organisation, r.info.Model, r.bodyBytes, damasktrail.Usage{Prefill: r.promptTokens, Decode: r.outputTokens})
	r.finished = true
	en.sim.statistics.recordAnswer(r, en.sim.loop.now)
}

// handleRefusal handles a refusal and sends the request again where that is
// allowed.
func (en *entry) handleRefusal(t *attempt, refusal *damasktrail.Refusal) {
	if !en.closeAttempt(t) {
		return
	}
	r := t.req
	r.excluded[t.agent] = true
	if refusal.Outcome == damasktrail.Unknown {
		r.mayHaveRun[t.agent] = true
		en.health[t.agent.model].RecordFailure(t.agent.name, en.sim.loop.now)
	}
	if refusal.Reason == damasktrail.ReasonCrashed || refusal.Reason == damasktrail.ReasonNotReady {
		en.byAgent[t.agent].excludedUntil = en.sim.loop.now.Add(crashBackoff)
	}
	if refusal.Reason == damasktrail.ReasonCrashed {
		for _, o := range en.sim.entries {
			o.crashCounts[r.info.Fingerprint]++
		}
	}
	switch {
	case refusal.Reason == damasktrail.ReasonFloor:
		en.fail(r, refusal.Reason, t)
	case en.sim.arm.Queue && en.crashCounts[r.info.Fingerprint] >= poisonThreshold:
		en.fail(r, damasktrail.ReasonPoisoned, t)
	case r.streamed:
		en.fail(r, refusal.Reason, t)
	case refusal.Reason == damasktrail.ReasonFull && (en.lowerTierWaits(r) || r.waitedForFloor):
		// Trying an agent where a lower tier waits preserves the order of the tiers.
		// It costs no work of an endpoint and is bounded by the size of the subset,
		// so it is not a retry. After a floor every agent is tried, as reports may be
		// outdated.
		en.send(r, refusal)
	case en.budget.Take(r.info.Organisation):
		en.sim.statistics.retries++
		en.send(r, refusal)
	case refusal.Reason == damasktrail.ReasonFull && !r.waitedForFloor && en.broadcastFloor(r):
		r.waitedForFloor = true
		en.sim.loop.after(floorWait, func() {
			if !r.finished {
				r.excluded = make(map[*agent]bool)
				for a := range r.mayHaveRun {
					r.excluded[a] = true
				}
				en.send(r, refusal)
			}
		})
	default:
		en.fail(r, refusal.Reason, t)
	}
}

// lowerTierWaits reports whether an agent that is not excluded reported a
// waiting request of a tier below that of r.
func (en *entry) lowerTierWaits(r *request) bool {
	for _, v := range en.views {
		if v.agent.model == r.info.Model && !v.closed && !r.excluded[v.agent] && v.load.Lowest > r.info.Tier {
			return true
		}
	}
	return false
}

// broadcastFloor raises a floor at the request's tier on all agents of its
// model and reports whether it did. The lowest tier raises no floor.
func (en *entry) broadcastFloor(r *request) bool {
	if r.info.Tier >= 2 {
		return false
	}
	for _, a := range en.sim.agents {
		if a.model == r.info.Model {
			en.sim.loop.after(gossipDelay, func() { a.applyFloor(r.info.Tier) })
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
	if t != nil && en.closeAttempt(t) {
		t.cancelled = true
		en.sim.loop.after(networkDelay, func() { t.agent.cancel(t) })
	}
	en.fail(r, damasktrail.ReasonDeadline, t)
}

// fail ends a request without a whole answer.
func (en *entry) fail(r *request, reason damasktrail.Reason, t *attempt) {
	if r.finished {
		return
	}
	r.finished = true
	en.sim.statistics.recordRefusal(r, reason)
	if en.sim.isPriorityInversion(r, reason, t) {
		en.sim.statistics.Violations++
	}
	if r.poison && en.sim.testCase.maxResends > 0 {
		en.sim.resend(r)
	}
}
