package entry

import (
	"context"
	"time"

	"damasktrail.dev"
	"damasktrail.dev/frame"
)

const (
	// maxStaleRetries is how often a request is retried after the agent had a
	// newer document.
	maxStaleRetries = 3
	// floorPropagationWait is the time allowed for a raised floor to reach the
	// other processes before a request of a higher tier is refused for lack of
	// room.
	floorPropagationWait = time.Second
	// crashPropagationWait is the time allowed for a crash report to reach other
	// entries before the caller learns of the crash and sends the request again.
	crashPropagationWait = 300 * time.Millisecond
	// linkWait bounds the wait for a link when no agent that may serve the request
	// has one. All links end at once when an entry resumes from a pause longer
	// than their idle timeout, and are back after a redial.
	linkWait = time.Second
)

// retryState is the state of a request across its attempts.
type retryState struct {
	// excluded holds the agents that get no further attempt.
	excluded map[string]bool
	// mayHaveRun is true if an earlier attempt may have run the request.
	mayHaveRun bool
	// lastRefusal is the refusal of the latest attempt, nil before the first.
	lastRefusal *damasktrail.Refusal
	// sawFull is true if an agent refused the request because it had no room.
	sawFull bool
	// staleCount counts attempts at agents that had a newer document.
	staleCount int
	// floorRaised is true if the floor was raised for the request.
	floorRaised bool
	// unsentAgents holds excluded agents to which no byte was sent because the
	// link was lost or had no free stream.
	unsentAgents []string
	// waitedForLink is true if the request has waited for a link.
	waitedForLink bool
}

// mayRetry updates the retry state after a failed attempt at r and reports
// whether another attempt is allowed.
func (e *Entry) mayRetry(ctx context.Context, c *call, r *remoteAgent, p *retryState) bool {
	if p.lastRefusal.Outcome == damasktrail.Unknown {
		p.mayHaveRun = true
		p.excluded[r.vm.Name] = true
		e.stats.recordFailure(c.target, r.vm.Name, e.clock.Now())
		if !c.idempotent || p.lastRefusal.Reason == damasktrail.ReasonCrashed && e.evidence.Suspected(c.features) {
			return false
		}
		if !e.stats.takeRetry(c.organisation.Name) {
			e.metrics.Count("budget_spent", 1)
			return false
		}
		return true
	}
	switch p.lastRefusal.Reason {
	case damasktrail.ReasonStale:
		p.staleCount++
		if p.staleCount > maxStaleRetries {
			return false
		}
		e.catchUp(ctx, r)
	case damasktrail.ReasonPoisoned, damasktrail.ReasonMalformed:
		return false
	default:
		p.sawFull = p.sawFull || p.lastRefusal.Reason == damasktrail.ReasonFull
		p.excluded[r.vm.Name] = true
		if !c.notRunConfirmed {
			p.unsentAgents = append(p.unsentAgents, r.vm.Name)
		}
	}
	return true
}

// retryAboveFloor raises the floor when all agents were full, and allows one
// more round over the agents that confirmed that they did not run the request.
func (e *Entry) retryAboveFloor(ctx context.Context, s *snapshot, c *call, p *retryState) bool {
	if p.floorRaised || p.mayHaveRun || !p.sawFull {
		return false
	}
	p.floorRaised = true
	if !e.raiseFloor(ctx, s, c) {
		return false
	}
	e.metrics.Retried(damasktrail.ReasonFull)
	p.excluded = map[string]bool{}
	return true
}

// awaitLink waits for a link when no agent that may serve the request has one.
// It reports whether another round can succeed.
func (e *Entry) awaitLink(ctx context.Context, s *snapshot, c *call, p *retryState) bool {
	if p.waitedForLink {
		return false
	}
	p.waitedForLink = true
	for _, name := range p.unsentAgents {
		delete(p.excluded, name)
	}
	var reconnecting []*remoteAgent
	for _, r := range s.targets[c.target] {
		if p.excluded[r.vm.Name] || r.reportedLeaving.Load() || r.listedLeaving.Load() {
			continue
		}
		if now := e.clock.Now(); r.liveSession(now) != nil {
			return r.usable(now) // If false, the agent is reachable but accepts no requests.
		} else if r.reconnecting(now) {
			reconnecting = append(reconnecting, r)
		}
	}
	if len(reconnecting) == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, min(linkWait, c.remaining(e.clock.Now())/2))
	defer cancel()
	for e.clock.Sleep(ctx, redialBackoffMin) == nil {
		for _, r := range reconnecting {
			if r.usable(e.clock.Now()) {
				return true
			}
		}
	}
	return false
}

// raiseFloor raises the floor of the target to the request's tier and gives it
// time to reach the other processes. It reports whether another try can succeed.
func (e *Entry) raiseFloor(ctx context.Context, s *snapshot, c *call) bool {
	if c.tier.Rank+1 >= len(s.document.Tiers) {
		return false // No tier is lower.
	}
	f := []frame.Floor{{Model: c.target, Tier: c.tier.Rank}}
	now := e.clock.Now()
	e.post(func(ctl *control) { ctl.merge(nil, f, now) })
	wait := min(floorPropagationWait, c.remaining(now)/2)
	return wait > 0 && e.clock.Sleep(ctx, wait) == nil
}

// catchUp asks an agent for its newer document and waits until a newer document
// is in force.
func (e *Entry) catchUp(ctx context.Context, r *remoteAgent) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	changed := e.documents.Changed()
	if s := r.session.Load(); s != nil {
		s.send(frame.KindPull, frame.Pull{Topic: frame.TopicDocument, From: e.rollout.Generation()})
	}
	select {
	case <-changed:
		// The control goroutine updates the snapshot after the document has changed;
		// an event waits for it.
		done := make(chan struct{})
		e.post(func(*control) { close(done) })
		select {
		case <-done:
		case <-ctx.Done():
		}
	case <-ctx.Done():
	}
}
