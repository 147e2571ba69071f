package entry

import (
	"context"
	"errors"
	"hash/crc64"
	"time"

	"damasktrail.dev"
	"damasktrail.dev/frame"
	"damasktrail.dev/link"
	"damasktrail.dev/ticket"
)

const (
	// openTimeout bounds the wait for a stream on a link, and the wait for a newer
	// document after an agent had one.
	openTimeout = 2 * time.Second
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
	// ticketLinkTimeout bounds the wait for a link to the agent of a ticket.
	ticketLinkTimeout = 3 * time.Second
)

var crcTable = crc64.MakeTable(crc64.ECMA)

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

// mayRetry updates the retry state after a failed attempt at r and reports
// whether another attempt is allowed.
func (e *Entry) mayRetry(ctx context.Context, c *call, r *remoteAgent, p *retryState) bool {
	if p.lastRefusal.Outcome == damasktrail.Unknown {
		p.mayHaveRun = true
		p.excluded[r.vm.Name] = true
		e.stats.recordFailure(c.target, r.vm.Name, e.clock.Now())
		if p.lastRefusal.Reason == damasktrail.ReasonCrashed {
			_ = e.clock.Sleep(ctx, crashPropagationWait)
		}
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

// runTicket serves a request with a ticket. It sends it only to the agent and
// incarnation that issued the ticket, whatever happens there.
func (e *Entry) runTicket(ctx context.Context, c *call, out *output) *damasktrail.Refusal {
	name, incarnation, err := ticket.Target(c.ticket)
	if err != nil {
		return malformed("%v", err)
	}
	for tries := 0; ; tries++ {
		s := e.snapshot.Load()
		r := e.ticketAgent(ctx, name)
		if r == nil {
			return &damasktrail.Refusal{
				Reason: damasktrail.ReasonLost, Outcome: damasktrail.Unknown,
				RetryAfter: defaultRetryAfter, Detail: "the agent of the ticket cannot be reached",
			}
		}
		if sess := r.session.Load(); sess != nil && sess.incarnation != incarnation {
			return &damasktrail.Refusal{
				Reason: damasktrail.ReasonIncarnation, Outcome: damasktrail.Unknown,
				Detail: "the agent of the ticket was replaced",
			}
		}
		out.reset()
		refusal := e.attempt(ctx, s, c, r, out)
		if refusal == nil {
			return nil
		}
		if out.started() || ctx.Err() != nil || refusal.Reason != damasktrail.ReasonStale {
			return e.finalRefusal(ctx, refusal, false)
		}
		if tries >= maxStaleRetries {
			return refusal
		}
		e.catchUp(ctx, r)
		e.metrics.Retried(refusal.Reason)
	}
}

// ticketAgent returns the named agent, or nil if it cannot be reached in time.
// It connects to the agent if that is outside the subset.
func (e *Entry) ticketAgent(ctx context.Context, name string) *remoteAgent {
	if r := e.snapshot.Load().agents[name]; r != nil && r.session.Load() != nil {
		return r
	}
	until := e.clock.Now().Add(ticketAgentTTL)
	e.post(func(c *control) {
		if l := e.members.Load(); l != nil {
			if _, found := l.VM(name); found {
				c.ticketAgents[name] = until
				c.linkInputs.dirty = true
			}
		}
	})
	ctx, cancel := context.WithTimeout(ctx, ticketLinkTimeout)
	defer cancel()
	for {
		if r := e.snapshot.Load().agents[name]; r != nil && r.session.Load() != nil {
			return r
		}
		if e.clock.Sleep(ctx, redialBackoffMin) != nil {
			return nil
		}
	}
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
	c.notRunConfirmed = false
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
	if err := stream.Send(frame.KindOpen, e.openFrame(s, c)); err != nil {
		stream.Cancel()
		return lost("the link broke while the request was sent")
	}
	_ = stream.CloseSend()
	refusal := e.receive(c, r, sess, stream, out)
	if refusal != nil {
		stream.StopReceive()
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

// receive relays the frames of an answer until its end.
func (e *Entry) receive(c *call, r *remoteAgent, sess *session, stream *link.Stream, out *output) *damasktrail.Refusal {
	var chunks, digest uint64
	var firstChunk time.Time
	headReceived := false
	for {
		raw, err := stream.Receive()
		if err != nil {
			return lost("the link broke before the end of the answer")
		}
		now := e.clock.Now()
		sess.lastReceived.Store(now.UnixNano())
		switch raw.Kind {
		case frame.KindHead:
			h, err := frame.Decode[frame.Head](raw, frame.KindHead)
			if err != nil || headReceived {
				return e.protocolError(err)
			}
			headReceived = true
			out.setHead(h)
		case frame.KindChunk:
			m, err := frame.DecodeChunk(raw)
			if err != nil || !headReceived || m.Position != chunks {
				return e.protocolError(err)
			}
			switch chunks++; chunks {
			case 1:
				firstChunk = now
			case soundChunks:
				e.evidence.AddAnswer(c.features, now)
			}
			digest = crc64.Update(digest, crcTable, m.Data)
			if err := out.write(m.Data, stream.Ready(), now); err != nil {
				return &damasktrail.Refusal{
					Reason: damasktrail.ReasonCancelled, Outcome: damasktrail.Unknown, Detail: "the caller is gone",
				}
			}
		case frame.KindEnd:
			m, err := frame.Decode[frame.End](raw, frame.KindEnd)
			if err != nil || !headReceived || m.Chunks != chunks || m.Digest != digest {
				return e.protocolError(err)
			}
			r.record(m.Load, now)
			e.affinity.record(c.prefixes, r.vm.Name)
			e.evidence.AddAnswer(c.features, now)
			e.compareEndGeneration(sess, m.Generation)
			e.stats.recordAnswer(c, r.vm.Name, damasktrail.Usage{Prefill: m.Prefill, Decode: m.Decode}, meanInterval(firstChunk, now, chunks), now)
			if err := out.finish(); err != nil {
				return &damasktrail.Refusal{
					Reason: damasktrail.ReasonCancelled, Outcome: damasktrail.Unknown, Detail: "the caller is gone",
				}
			}
			return nil
		case frame.KindRefuse:
			return e.receiveRefusal(c, r, sess, raw, chunks)
		default:
			return e.protocolError(nil)
		}
	}
}

// receiveRefusal returns the refusal that ends an attempt after the given number of
// chunks.
func (e *Entry) receiveRefusal(c *call, r *remoteAgent, sess *session, raw frame.Raw, chunks uint64) *damasktrail.Refusal {
	m, err := frame.Decode[frame.Refuse](raw, frame.KindRefuse)
	if err != nil {
		return e.protocolError(err)
	}
	now := e.clock.Now()
	r.record(m.Load, now)
	e.compareEndGeneration(sess, m.Generation)
	if m.Reason == damasktrail.ReasonCrashed && chunks < soundChunks {
		e.recordCrash(c, r.vm.Name, now)
	}
	// A stale request is refused before its ticket is checked.
	c.notRunConfirmed = m.Outcome == damasktrail.NotRun && m.Reason != damasktrail.ReasonStale
	return m.Refusal()
}

// meanInterval returns the mean time between the chunks of an answer, zero when
// there are fewer than minChunks.
func meanInterval(first, last time.Time, chunks uint64) time.Duration {
	const minChunks = 4
	if chunks < minChunks {
		return 0
	}
	return last.Sub(first) / time.Duration(chunks-1)
}

// protocolError counts and logs a frame that does not continue the answer, and
// returns the refusal for it.
func (e *Entry) protocolError(err error) *damasktrail.Refusal {
	e.metrics.Count("protocol_errors", 1)
	e.log.Warn("agent's answer violates the protocol", "error", err)
	return lost("the answer was not whole")
}
