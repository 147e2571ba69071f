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
	// openTimeout bounds the wait for a stream on a link.
	openTimeout = 2 * time.Second
	// staleTries is how often a request is repeated after the agent had a newer
	// document.
	staleTries = 3
	// floorWait is the time that a floor gets to spread before a request of a
	// higher tier is refused for lack of room.
	floorWait = time.Second
	// crashWait is the time that the news of a crash gets to reach other entries
	// before the caller learns of it and sends the request again.
	crashWait = 300 * time.Millisecond
	// linkWait is how long a request waits for a link while there is none to any
	// agent that may serve it. All links end at once when an entry wakes from a
	// pause longer than their idle timeout, and are back after a redial.
	linkWait = time.Second
	// guestWait bounds the wait for a link to the agent of a ticket.
	guestWait = 3 * time.Second
)

var table = crc64.MakeTable(crc64.ECMA)

// progress is what a request has been through.
type progress struct {
	// excluded holds the agents that get no further attempt.
	excluded map[string]bool
	// uncertain says that an attempt may have run.
	uncertain bool
	// last is the refusal of the latest attempt, nil before the first.
	last *damasktrail.Refusal
	// full says that an agent had no room.
	full bool
	// stale counts attempts that met a newer document.
	stale int
	// raised says that the floor was raised for the request.
	raised bool
	// unsent holds the excluded agents whose link broke before a byte was sent.
	unsent []string
	// waited says that the request has waited for a link.
	waited bool
}

// run serves a request: it chooses agents until one answers or no other attempt
// is allowed. A nil result means that the whole answer was written.
func (e *Entry) run(ctx context.Context, c *call, out *output) *damasktrail.Refusal {
	if c.ticket != "" {
		return e.runTicket(ctx, c, out)
	}
	p := &progress{excluded: map[string]bool{}}
	for {
		s := e.snapshot.Load()
		if refusal := e.admissible(s, c); refusal != nil {
			if p.uncertain {
				return p.last // It says more about the request than the later refusal.
			}
			return refusal
		}
		r := e.choose(s, c, p.excluded)
		if r == nil {
			if e.retryAboveFloor(ctx, s, c, p) || e.awaitLink(ctx, s, c, p) {
				continue
			}
			return settle(noRoom(p.last), p.uncertain)
		}
		out.reset()
		p.last = e.attempt(ctx, s, c, r, out)
		if p.last == nil {
			return nil
		}
		if out.started() || ctx.Err() != nil {
			return e.finalRefusal(ctx, p.last, p.uncertain)
		}
		if !e.mayRetry(ctx, c, r, p) {
			return settle(p.last, p.uncertain)
		}
		e.metrics.Retried(p.last.Reason)
	}
}

// mayRetry reports whether another attempt is allowed after one at r failed.
func (e *Entry) mayRetry(ctx context.Context, c *call, r *remote, p *progress) bool {
	if p.last.Outcome == damasktrail.Unknown {
		p.uncertain = true
		p.excluded[r.vm.Name] = true
		e.learned.failed(c.target, r.vm.Name, e.clock.Now())
		if p.last.Reason == damasktrail.ReasonCrashed {
			_ = e.clock.Sleep(ctx, crashWait)
		}
		if !c.idempotent {
			return false
		}
		if !e.learned.retry(c.organisation.Name) {
			e.metrics.Count("budget_spent", 1)
			return false
		}
		return true
	}
	switch p.last.Reason {
	case damasktrail.ReasonStale:
		p.stale++
		if p.stale > staleTries {
			return false
		}
		e.catchUp(ctx, r)
	case damasktrail.ReasonPoisoned, damasktrail.ReasonMalformed:
		return false
	default:
		p.full = p.full || p.last.Reason == damasktrail.ReasonFull
		p.excluded[r.vm.Name] = true
		if !c.confirmed {
			p.unsent = append(p.unsent, r.vm.Name)
		}
	}
	return true
}

// retryAboveFloor raises the floor when all agents were full, and allows one more round
// over those that confirmed not to have run the request.
func (e *Entry) retryAboveFloor(ctx context.Context, s *snapshot, c *call, p *progress) bool {
	if p.raised || p.uncertain || !p.full {
		return false
	}
	p.raised = true
	if !e.raise(ctx, s, c) {
		return false
	}
	e.metrics.Retried(damasktrail.ReasonFull)
	p.excluded = map[string]bool{}
	return true
}

// awaitLink waits for a link when no agent that may serve the request has one. It
// reports whether another round makes sense.
func (e *Entry) awaitLink(ctx context.Context, s *snapshot, c *call, p *progress) bool {
	if p.waited {
		return false
	}
	p.waited = true
	for _, name := range p.unsent {
		delete(p.excluded, name)
	}
	var gone []*remote
	for _, r := range s.targets[c.target] {
		if p.excluded[r.vm.Name] || r.leaving.Load() || r.listed.Load() {
			continue
		}
		if now := e.clock.Now(); r.live(now) != nil {
			return r.usable(now) // Otherwise it is reachable and takes nothing now.
		} else if r.connecting(now) {
			gone = append(gone, r)
		}
	}
	if len(gone) == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, min(linkWait, c.left(e.clock.Now())/2))
	defer cancel()
	for e.clock.Sleep(ctx, redialMin) == nil {
		for _, r := range gone {
			if r.usable(e.clock.Now()) {
				return true
			}
		}
	}
	return false
}

// settle gives the outcome of all attempts together.
func settle(r *damasktrail.Refusal, uncertain bool) *damasktrail.Refusal {
	if uncertain {
		return r.WithOutcome(damasktrail.Unknown)
	}
	return r
}

// finalRefusal returns the refusal of a request whose context ended or whose answer
// was cut.
func (e *Entry) finalRefusal(ctx context.Context, r *damasktrail.Refusal, uncertain bool) *damasktrail.Refusal {
	var cause *damasktrail.Refusal
	if errors.As(context.Cause(ctx), &cause) {
		return cause
	}
	return settle(r, uncertain)
}

func noRoom(last *damasktrail.Refusal) *damasktrail.Refusal {
	if last != nil {
		return last
	}
	return &damasktrail.Refusal{
		Reason: damasktrail.ReasonNotReady, Outcome: damasktrail.NotRun,
		RetryAfter: retryFull, Detail: "no endpoint for the model is reachable",
	}
}

// admissible refuses what no agent needs to see.
func (e *Entry) admissible(s *snapshot, c *call) *damasktrail.Refusal {
	if _, found := s.poisoned[c.request.Fingerprint]; found {
		return &damasktrail.Refusal{
			Reason: damasktrail.ReasonPoisoned, Outcome: damasktrail.NotRun,
			Detail: "this request has crashed endpoints",
		}
	}
	if lowest, found := s.floors[c.target]; found && c.tier.Rank > lowest {
		return &damasktrail.Refusal{
			Reason: damasktrail.ReasonFloor, Outcome: damasktrail.NotRun,
			RetryAfter: floorLife, Detail: "only higher tiers are admitted for the model",
		}
	}
	if c.left(e.clock.Now()) <= 0 {
		return &damasktrail.Refusal{
			Reason: damasktrail.ReasonDeadline, Outcome: damasktrail.NotRun,
			RetryAfter: retryFull, Detail: "the deadline passed",
		}
	}
	return nil
}

// choose returns the agent for the next attempt, or nil. Ejected agents are
// taken only when no other is left.
func (e *Entry) choose(s *snapshot, c *call, excluded map[string]bool) *remote {
	now := e.clock.Now()
	var usable, ejected []*remote
	for _, r := range s.targets[c.target] {
		switch {
		case excluded[r.vm.Name] || !r.usable(now):
		case e.learned.ejected(c.target, r.vm.Name, now):
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
	cached := e.affinity.shares(c.prefixes, len(c.body))
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

// raise raises the floor of the target to the request's tier and waits until it
// has had time to spread. It reports whether another try makes sense.
func (e *Entry) raise(ctx context.Context, s *snapshot, c *call) bool {
	if c.tier.Rank+1 >= len(s.document.Tiers) {
		return false // No tier is lower.
	}
	f := []frame.Floor{{Model: c.target, Tier: c.tier.Rank}}
	now := e.clock.Now()
	e.post(func(ctl *control) { ctl.merge(nil, f, now) })
	wait := min(floorWait, c.left(now)/2)
	return wait > 0 && e.clock.Sleep(ctx, wait) == nil
}

// catchUp waits for a newer document after an agent had one.
func (e *Entry) catchUp(ctx context.Context, r *remote) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	changed := e.documents.Changed()
	if s := r.session.Load(); s != nil {
		s.send(frame.KindPull, frame.Pull{Topic: frame.TopicDocument, From: e.rollout.Generation()})
	}
	select {
	case <-changed:
		// The snapshot follows the document through the control goroutine.
		done := make(chan struct{})
		e.post(func(*control) { close(done) })
		select {
		case <-done:
		case <-ctx.Done():
		}
	case <-ctx.Done():
	}
}

// runTicket serves a request with a ticket: at exactly the agent and
// incarnation that issued it, whatever happens there.
func (e *Entry) runTicket(ctx context.Context, c *call, out *output) *damasktrail.Refusal {
	name, incarnation, err := ticket.Target(c.ticket)
	if err != nil {
		return malformed("%v", err)
	}
	for tries := 0; ; tries++ {
		s := e.snapshot.Load()
		r := e.guest(ctx, name)
		if r == nil {
			return &damasktrail.Refusal{
				Reason: damasktrail.ReasonLost, Outcome: damasktrail.Unknown,
				RetryAfter: retryFull, Detail: "the agent of the ticket cannot be reached",
			}
		}
		if live := r.session.Load(); live != nil && live.incarnation != incarnation {
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
		if tries >= staleTries {
			return refusal
		}
		e.catchUp(ctx, r)
		e.metrics.Retried(refusal.Reason)
	}
}

// guest returns the named agent, connecting to it when it is not in the subset.
func (e *Entry) guest(ctx context.Context, name string) *remote {
	if r := e.snapshot.Load().agents[name]; r != nil && r.session.Load() != nil {
		return r
	}
	until := e.clock.Now().Add(guestLife)
	e.post(func(c *control) {
		if l := e.members.Load(); l != nil {
			if _, found := l.VM(name); found {
				c.guests[name] = until
				c.linked.dirty = true
			}
		}
	})
	ctx, cancel := context.WithTimeout(ctx, guestWait)
	defer cancel()
	for {
		if r := e.snapshot.Load().agents[name]; r != nil && r.session.Load() != nil {
			return r
		}
		if e.clock.Sleep(ctx, redialMin) != nil {
			return nil
		}
	}
}

// notSent is the refusal of an attempt of which no byte was sent.
func notSent(detail string) *damasktrail.Refusal {
	return &damasktrail.Refusal{
		Reason: damasktrail.ReasonNotReady, Outcome: damasktrail.NotRun,
		RetryAfter: retryFull, Detail: detail,
	}
}

// lost is the refusal of an attempt whose end was not seen.
func lost(detail string) *damasktrail.Refusal {
	return &damasktrail.Refusal{
		Reason: damasktrail.ReasonLost, Outcome: damasktrail.Unknown,
		RetryAfter: retryFull, Detail: detail,
	}
}

// attempt sends the request to one agent and relays the answer. A nil result
// means that the whole answer was written.
func (e *Entry) attempt(ctx context.Context, s *snapshot, c *call, r *remote, out *output) *damasktrail.Refusal {
	c.confirmed = false
	live := r.live(e.clock.Now())
	if live == nil {
		return notSent("the link to the agent is gone")
	}
	wait, cancel := context.WithTimeout(ctx, openTimeout)
	stream, err := live.conn.Open(wait)
	cancel()
	if err != nil {
		return notSent("the agent has no room for another stream")
	}
	r.inflight.Add(1)
	defer r.inflight.Add(-1)
	r.prefill.Add(int64(c.request.Cost.Prefill))
	r.decode.Add(int64(c.request.Cost.Decode))
	stop := context.AfterFunc(ctx, stream.Cancel)
	defer stop()
	if err := stream.Send(frame.KindOpen, e.openFrame(s, c)); err != nil {
		stream.Cancel()
		return lost("the link broke while the request was sent")
	}
	_ = stream.CloseSend()
	refusal := e.receive(c, r, live, stream, out)
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
		ID:           c.id,
		Ticket:       c.ticket,
		Organisation: c.organisation.Name,
		Tier:         c.tier.Rank,
		Model:        c.target,
		Method:       c.method,
		Path:         c.path,
		Type:         c.typ,
		Body:         c.body,
		Stream:       c.stream,
		Deadline:     max(c.left(e.clock.Now()).Milliseconds(), 1),
		Generation:   s.document.Generation,
		Floor:        lowest,
		Fingerprint:  c.request.Fingerprint,
		Cost:         c.request.Cost,
		Longest:      c.longest,
	}
}

// receive relays the frames of an answer until its end.
func (e *Entry) receive(c *call, r *remote, live *session, stream *link.Stream, out *output) *damasktrail.Refusal {
	var chunks, sum uint64
	var first time.Time
	headed := false
	for {
		raw, err := stream.Receive()
		if err != nil {
			return lost("the link broke before the end of the answer")
		}
		now := e.clock.Now()
		live.heard.Store(now.UnixNano())
		switch raw.Kind {
		case frame.KindHead:
			h, err := frame.Decode[frame.Head](raw, frame.KindHead)
			if err != nil || headed {
				return e.broken(err)
			}
			headed = true
			out.begin(h)
		case frame.KindChunk:
			m, err := frame.DecodeChunk(raw)
			if err != nil || !headed || m.Position != chunks {
				return e.broken(err)
			}
			if chunks++; chunks == 1 {
				first = now
			}
			sum = crc64.Update(sum, table, m.Data)
			if err := out.data(m.Data, stream.Ready(), now); err != nil {
				return &damasktrail.Refusal{
					Reason: damasktrail.ReasonCancelled, Outcome: damasktrail.Unknown, Detail: "the caller is gone",
				}
			}
		case frame.KindEnd:
			m, err := frame.Decode[frame.End](raw, frame.KindEnd)
			if err != nil || !headed || m.Chunks != chunks || m.Digest != sum {
				return e.broken(err)
			}
			r.record(m.Load, now)
			e.affinity.learn(c.prefixes, r.vm.Name)
			e.noteGeneration(live, m.Generation)
			e.learned.answered(c, r.vm.Name, damasktrail.Usage{Prefill: m.Prefill, Decode: m.Decode}, interval(first, now, chunks), now)
			if err := out.end(); err != nil {
				return &damasktrail.Refusal{
					Reason: damasktrail.ReasonCancelled, Outcome: damasktrail.Unknown, Detail: "the caller is gone",
				}
			}
			return nil
		case frame.KindRefuse:
			m, err := frame.Decode[frame.Refuse](raw, frame.KindRefuse)
			if err != nil {
				return e.broken(err)
			}
			r.record(m.Load, now)
			e.noteGeneration(live, m.Generation)
			// A stale request is refused before its ticket is looked at.
			c.confirmed = m.Outcome == damasktrail.NotRun && m.Reason != damasktrail.ReasonStale
			return m.Refusal()
		default:
			return e.broken(nil)
		}
	}
}

// interval returns the mean time between the parts of an answer, zero when there
// are too few to tell.
func interval(first, last time.Time, chunks uint64) time.Duration {
	const enough = 4
	if chunks < enough {
		return 0
	}
	return last.Sub(first) / time.Duration(chunks-1)
}

// broken is the refusal after a frame that does not continue the answer.
func (e *Entry) broken(err error) *damasktrail.Refusal {
	e.metrics.Count("protocol_errors", 1)
	e.log.Warn("answer does not fit the protocol", "error", err)
	return lost("the answer was not whole")
}
