package entry

import (
	"context"
	"errors"
	"time"

	"damasktrail.dev"
	"damasktrail.dev/frame"
)

// openTimeout bounds the wait for a stream on a link, and the wait for a newer document
// after an agent had one.
const openTimeout = 2 * time.Second

// run serves a request: it tries agents until one answers or no further attempt
// is allowed. A nil result means that the whole answer was written.
func (e *Entry) run(ctx context.Context, c *call, out *output) *damasktrail.Refusal {
	if c.ticket != "" {
		return e.runTicket(ctx, c, out)
	}
	p := &retryState{excluded: map[string]bool{}}
	for {
		s := e.snapshot.Load()
		if refusal := e.checkAdmission(s, c); refusal != nil {
			if p.mayHaveRun {
				return p.lastRefusal // More specific to the request than the later refusal.
			}
			return refusal
		}
		r := e.choose(s, c, p.excluded)
		if r == nil {
			if e.retryAboveFloor(ctx, s, c, p) || e.awaitLink(ctx, s, c, p) {
				continue
			}
			return combineOutcome(noCandidate(p.lastRefusal), p.mayHaveRun)
		}
		out.reset()
		p.lastRefusal = e.attempt(ctx, s, c, r, out)
		if p.lastRefusal == nil {
			return nil
		}
		if out.started() || ctx.Err() != nil {
			return e.finalRefusal(ctx, p.lastRefusal, p.mayHaveRun)
		}
		if !e.mayRetry(ctx, c, r, p) {
			return combineOutcome(p.lastRefusal, p.mayHaveRun)
		}
		e.metrics.Retried(p.lastRefusal.Reason)
	}
}

// combineOutcome returns r with the outcome of all attempts: unknown if an
// earlier attempt may have run.
func combineOutcome(r *damasktrail.Refusal, mayHaveRun bool) *damasktrail.Refusal {
	if mayHaveRun {
		return r.WithOutcome(damasktrail.Unknown)
	}
	return r
}

// finalRefusal returns the refusal of a request whose context ended or whose
// answer was cut. A refusal that is the cause of the context's end takes
// precedence.
func (e *Entry) finalRefusal(ctx context.Context, r *damasktrail.Refusal, mayHaveRun bool) *damasktrail.Refusal {
	var cause *damasktrail.Refusal
	if errors.As(context.Cause(ctx), &cause) {
		return cause
	}
	return combineOutcome(r, mayHaveRun)
}

// noCandidate returns the refusal when no agent is left to try: that of the
// latest attempt, if there was one.
func noCandidate(last *damasktrail.Refusal) *damasktrail.Refusal {
	if last != nil {
		return last
	}
	return &damasktrail.Refusal{
		Reason: damasktrail.ReasonNotReady, Outcome: damasktrail.NotRun,
		RetryAfter: defaultRetryAfter, Detail: "no endpoint for the model is reachable",
	}
}

// checkAdmission refuses requests that no agent needs to see: those that have
// crashed endpoints, are below the floor or are past their deadline.
func (e *Entry) checkAdmission(s *snapshot, c *call) *damasktrail.Refusal {
	if _, found := s.poisoned[c.request.Fingerprint]; found || e.refusesFeatures(c) {
		return &damasktrail.Refusal{
			Reason: damasktrail.ReasonPoisoned, Outcome: damasktrail.NotRun,
			Detail: "this request, or a message in it, has crashed endpoints",
		}
	}
	if lowest, found := s.floors[c.target]; found && c.tier.Rank > lowest {
		return &damasktrail.Refusal{
			Reason: damasktrail.ReasonFloor, Outcome: damasktrail.NotRun,
			RetryAfter: floorTTL, Detail: "only higher tiers are admitted for the model",
		}
	}
	if c.remaining(e.clock.Now()) <= 0 {
		return &damasktrail.Refusal{
			Reason: damasktrail.ReasonDeadline, Outcome: damasktrail.NotRun,
			RetryAfter: defaultRetryAfter, Detail: "the deadline passed",
		}
	}
	return nil
}

// choose returns the agent for the next attempt, or nil. Ejected agents are
// used only when no other is available.
func (e *Entry) choose(s *snapshot, c *call, excluded map[string]bool) *remoteAgent {
	now := e.clock.Now()
	var usable, ejected []*remoteAgent
	for _, r := range s.targets[c.target] {
		switch {
		case excluded[r.vm.Name] || !r.usable(now):
		case e.stats.ejected(c.target, r.vm.Name, now):
			ejected = append(ejected, r)
		default:
			usable = append(usable, r)
		}
	}
	if len(usable) == 0 {
		usable = ejected
	}
	if len(usable) == 0 {
		return nil
	}
	cached := e.affinity.cachedShares(c.prefixes, len(c.body))
	candidates := make([]damasktrail.Candidate, len(usable))
	for i, r := range usable {
		candidates[i] = r.candidate(now)
		candidates[i].CachedShare = cached[r.vm.Name]
	}
	i, ok := s.policy.Choose(c.request, candidates)
	if !ok {
		return nil
	}
	return usable[i]
}

// notSent returns the refusal of an attempt of which no byte was sent.
func notSent(detail string) *damasktrail.Refusal {
	return &damasktrail.Refusal{
		Reason: damasktrail.ReasonNotReady, Outcome: damasktrail.NotRun,
		RetryAfter: defaultRetryAfter, Detail: detail,
	}
}

// lost returns the refusal of an attempt whose result was not received.
func lost(detail string) *damasktrail.Refusal {
	return &damasktrail.Refusal{
		Reason: damasktrail.ReasonLost, Outcome: damasktrail.Unknown,
		RetryAfter: defaultRetryAfter, Detail: detail,
	}
}

// attempt sends the request to one agent and relays the answer. A nil result
// means that the whole answer was written.
func (e *Entry) attempt(ctx context.Context, s *snapshot, c *call, r *remoteAgent, out *output) *damasktrail.Refusal {
	c.sent, c.notRunConfirmed = false, false
	sess := r.liveSession(e.clock.Now())
	if sess == nil {
		return notSent("the link to the agent is gone")
	}
	wait, cancel := context.WithTimeout(ctx, openTimeout)
	stream, err := sess.conn.Open(wait)
	cancel()
	if err != nil {
		return notSent("the agent has no room for another stream")
	}
	r.inflight.Add(1)
	defer r.inflight.Add(-1)
	r.sentPrefill.Add(int64(c.request.Cost.Prefill))
	r.sentDecode.Add(int64(c.request.Cost.Decode))
	stop := context.AfterFunc(ctx, stream.Cancel)
	defer stop()
	c.sent = true
	if err := stream.Send(frame.KindOpen, e.openFrame(s, c)); err != nil {
		stream.Cancel()
		return lost("the link broke while the request was sent")
	}
	_ = stream.CloseSend()
	refusal := e.receive(c, r, sess, stream, out)
	if refusal == nil {
		return nil
	}
	stream.StopReceive()
	if refusal.Reason == damasktrail.ReasonCrashed {
		// The caller may send the request again as soon as it learns of the crash.
		_ = e.clock.Sleep(ctx, crashPropagationWait)
	}
	return refusal
}

func (e *Entry) openFrame(s *snapshot, c *call) frame.Open {
	lowest, found := s.floors[c.target]
	if !found {
		lowest = -1
	}
	return frame.Open{
		ID:             c.id,
		Ticket:         c.ticket,
		Organisation:   c.organisation.Name,
		Tier:           c.tier.Rank,
		Model:          c.target,
		Method:         c.method,
		Path:           c.path,
		Type:           c.contentType,
		Body:           c.body,
		Stream:         c.stream,
		DeadlineMillis: max(c.remaining(e.clock.Now()).Milliseconds(), 1),
		Generation:     s.document.Generation,
		Floor:          lowest,
		Fingerprint:    c.request.Fingerprint,
		Cost:           c.request.Cost,
		DecodeP90:      c.decodeP90,
	}
}
