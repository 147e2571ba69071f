package agent

import (
	"context"
	"crypto/sha256"
	"errors"
	"fmt"
	"hash/crc64"
	"io"
	"sync/atomic"
	"time"

	"damasktrail.dev"
	"damasktrail.dev/frame"
	"damasktrail.dev/link"
	"damasktrail.dev/ticket"
)

// patienceSlack is how long after its deadline an answer in one piece is still
// awaited.
const patienceSlack = 2 * time.Second

// syncTimeout bounds the wait for a document that an entry has and the agent
// has not.
const syncTimeout = 2 * time.Second

var table = crc64.MakeTable(crc64.ECMA)

// attempt is the stream of one request.
type attempt struct {
	*link.Stream
	// reported is that of the connection, see [entryLink].
	reported *atomic.Int64
}

// serveAttempt serves one request from an entry.
func (a *Agent) serveAttempt(s *attempt, first frame.Raw) {
	open, err := frame.Decode[frame.Open](first, frame.KindOpen)
	if err != nil {
		a.metrics.Count("protocol_errors", 1)
		s.Cancel()
		return
	}
	refusal := a.prepare(s.Context(), open)
	if open.Ticket != "" && (refusal == nil || refusal.Reason != damasktrail.ReasonStale) {
		a.serveTicket(s, open, refusal)
		return
	}
	if refusal != nil {
		a.refuse(s, refusal)
		return
	}
	wait := newWait()
	w := a.newWork(open, wait)
	a.post(func(c *control, now time.Time) { c.arrive(w, open.Floor, now) })
	select {
	case <-wait.started:
	case r := <-wait.refused:
		a.refuse(s, r)
		return
	case <-s.Context().Done():
		// The entry is gone. Whichever comes first, the start or the removal,
		// decides whether the request runs.
		a.post(func(c *control, now time.Time) { c.cancel(w.id, now) })
		select {
		case <-wait.started:
			a.post(func(c *control, now time.Time) { c.finish(w, false, now) })
		case <-wait.refused: //nolint:errcheck // The refusal has no reader.
		case <-a.tasks.Context().Done():
		}
		return
	}
	a.relay(s, w, open)
}

// wait receives the decision about one request.
type wait struct {
	started chan struct{}
	refused chan *damasktrail.Refusal
}

func newWait() *wait {
	return &wait{started: make(chan struct{}), refused: make(chan *damasktrail.Refusal, 1)}
}

func (a *Agent) newWork(open frame.Open, on *wait) *work {
	id := open.ID
	if open.Ticket != "" {
		id = open.Ticket
	}
	return &work{
		id:      id,
		ticket:  open.Ticket,
		stream:  open.Stream,
		longest: open.Longest,
		request: damasktrail.Request{
			Organisation: open.Organisation,
			Model:        open.Model,
			Tier:         open.Tier,
			Cost:         open.Cost,
			Deadline:     time.Duration(open.Deadline) * time.Millisecond,
			Fingerprint:  open.Fingerprint,
		},
		start:  func() { close(on.started) },
		refuse: func(r *damasktrail.Refusal) { on.refused <- r },
	}
}

// prepare brings the agent to the higher of the two generations and checks that
// the request belongs here.
func (a *Agent) prepare(ctx context.Context, open frame.Open) *damasktrail.Refusal {
	if open.Generation > a.documents.Number() {
		a.await(ctx, open.Generation)
	}
	d := a.documents.Load()
	if d == nil || d.Generation != open.Generation {
		return &damasktrail.Refusal{
			Reason: damasktrail.ReasonStale, Outcome: damasktrail.NotRun, RetryAfter: retryLeaving,
			Detail: fmt.Sprintf("the request was decided under generation %d, %d is in force", open.Generation, a.documents.Number()),
		}
	}
	s, found := d.Set(a.settings.Set)
	if !found || s.Target() != open.Model {
		return &damasktrail.Refusal{
			Reason: damasktrail.ReasonNoModel, Outcome: damasktrail.NotRun,
			Detail: fmt.Sprintf("this endpoint does not serve %q", open.Model),
		}
	}
	return nil
}

// await waits until the document of a generation or a later one is in force.
func (a *Agent) await(ctx context.Context, generation uint64) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	a.post(func(*control, time.Time) {
		from := a.documents.Number()
		if from == 0 {
			return // The first document is on the way, see seek.
		}
		for e := range a.entries {
			e.send(frame.KindPull, frame.Pull{Topic: frame.TopicDocument, From: from})
		}
	})
	for {
		changed := a.documents.Changed()
		if a.documents.Number() >= generation {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// refuse ends an attempt without a whole answer.
func (a *Agent) refuse(s *attempt, r *damasktrail.Refusal) {
	tier := ""
	a.metrics.Refused(r, tier)
	if err := s.Send(frame.KindRefuse, a.refusal(r)); err != nil {
		s.Cancel()
		return
	}
	s.reported.Store(a.clock.Now().UnixNano())
	_ = s.CloseSend()
}

// sink takes an answer in parts.
type sink interface {
	head(h damasktrail.Head) error
	chunk(data []byte) error
}

// relay runs a dispatched request and sends its answer on the stream.
func (a *Agent) relay(s *attempt, w *work, open frame.Open) {
	out := &streamSink{stream: s.Stream}
	usage, refusal := a.run(s.Context(), w, open, out)
	if refusal != nil {
		a.refuse(s, refusal)
		return
	}
	a.end(s, out, usage)
}

// end completes an answer.
func (a *Agent) end(s *attempt, out *streamSink, usage damasktrail.Usage) {
	err := s.Send(frame.KindEnd, frame.End{
		Chunks:     out.chunks,
		Digest:     out.digest,
		Prefill:    usage.Prefill,
		Decode:     usage.Decode,
		Load:       *a.report.Load(),
		Generation: a.rollout.Generation(),
	})
	if err != nil {
		s.Cancel()
		return
	}
	s.reported.Store(a.clock.Now().UnixNano())
	_ = s.CloseSend()
}

// run dispatches a request to the endpoint, once, and passes its answer to out.
func (a *Agent) run(ctx context.Context, w *work, open frame.Open, out sink) (usage damasktrail.Usage, refusal *damasktrail.Refusal) {
	whole := false
	defer func() { a.post(func(c *control, now time.Time) { c.finish(w, whole, now) }) }()
	answer, err := a.engine.Run(ctx, damasktrail.Call{
		ID:     open.ID,
		Method: open.Method,
		Path:   open.Path,
		Type:   open.Type,
		Body:   open.Body,
		Stream: open.Stream,
		// The deadline counts from the arrival at the entry, the patience from the
		// dispatch; so the time in the queue is part of the slack.
		IdleTimeout: w.request.Deadline + patienceSlack,
	})
	if err != nil {
		return usage, a.failure(ctx, w, err)
	}
	defer func() { _ = answer.Close() }()
	if err := out.head(answer.Head()); err != nil {
		return usage, cancelled()
	}
	for {
		data, err := answer.Next()
		if errors.Is(err, io.EOF) {
			whole = true
			if !open.Stream {
				w.tokens.Store(int64(answer.Usage().Decode))
			}
			return answer.Usage(), nil
		}
		if err != nil {
			return answer.Usage(), a.failure(ctx, w, err)
		}
		if open.Stream && w.tokens.Add(1) == 1 {
			a.post(func(c *control, now time.Time) { c.began(w, now) })
		}
		if err := out.chunk(data); err != nil {
			return answer.Usage(), cancelled()
		}
	}
}

func cancelled() *damasktrail.Refusal {
	return &damasktrail.Refusal{
		Reason: damasktrail.ReasonCancelled, Outcome: damasktrail.Unknown,
		Detail: "the entry cancelled the request while it ran",
	}
}

// failure turns an error of the endpoint into a refusal.
func (a *Agent) failure(ctx context.Context, w *work, err error) *damasktrail.Refusal {
	switch {
	case errors.Is(err, damasktrail.ErrNotDispatched):
		return &damasktrail.Refusal{
			Reason: damasktrail.ReasonNotReady, Outcome: damasktrail.NotRun,
			RetryAfter: retryLeaving, Detail: "the endpoint cannot be reached",
		}
	case ctx.Err() != nil:
		return cancelled()
	case errors.Is(err, damasktrail.ErrCrashed):
		a.log.Warn("endpoint crashed", "fingerprint", w.request.Fingerprint, "error", err)
		a.reportCrash(w)
		return &damasktrail.Refusal{
			Reason: damasktrail.ReasonCrashed, Outcome: damasktrail.Unknown,
			RetryAfter: time.Second, Detail: "the endpoint crashed while it ran the request",
		}
	default:
		a.log.Warn("answer lost", "error", err)
		return &damasktrail.Refusal{
			Reason: damasktrail.ReasonLost, Outcome: damasktrail.Unknown,
			RetryAfter: time.Second, Detail: "the endpoint's answer was cut",
		}
	}
}

// reportCrash records a suspect and tells all entries before the refusal of the
// request can reach its caller.
func (a *Agent) reportCrash(w *work) {
	done := make(chan struct{})
	a.post(func(c *control, now time.Time) {
		defer close(done)
		if news := c.crashedWith(w, now); news != nil {
			a.beatAll(c, now)
		}
	})
	select {
	case <-done:
	case <-a.tasks.Context().Done():
	}
}

// streamSink sends an answer on a stream.
type streamSink struct {
	stream *link.Stream
	chunks uint64
	digest uint64
}

func (o *streamSink) head(h damasktrail.Head) error {
	return o.stream.Send(frame.KindHead, frame.Head{Status: h.Status, Type: h.Type})
}

func (o *streamSink) chunk(data []byte) error {
	err := o.stream.SendChunk(frame.Chunk{Position: o.chunks, Data: data})
	o.chunks++
	o.digest = crc64.Update(o.digest, table, data)
	return err
}

// digestOf binds a ticket to what is run under it.
func digestOf(open frame.Open) [32]byte {
	h := sha256.New()
	for _, part := range []string{open.Method, open.Path, open.Type, string(open.Body)} {
		_, _ = fmt.Fprintf(h, "%d:", len(part)) // Lengths keep parts from running together.
		_, _ = io.WriteString(h, part)
	}
	return [32]byte(h.Sum(nil))
}

// serveTicket serves a request that runs at most once. The ledger is asked
// before anything else is decided, because the ticket may have been used in an
// earlier attempt; barred is why a fresh request may not wait, or nil.
func (a *Agent) serveTicket(s *attempt, open frame.Open, barred *damasktrail.Refusal) {
	type begun struct {
		state   ticket.State
		refusal *damasktrail.Refusal
		answer  ticket.Answer
		shared  *recording
	}
	reply := make(chan begun, 1)
	a.post(func(c *control, now time.Time) {
		var b begun
		b.state, b.refusal = c.ledger.Begin(open.Ticket, open.Organisation, open.Model, digestOf(open), now)
		switch b.state {
		case ticket.Fresh:
			b.shared = newRecording()
			a.recordings[open.Ticket] = b.shared
			a.startRecorded(c, open, b.shared, barred, now)
		case ticket.Running:
			b.shared = a.recordings[open.Ticket]
		case ticket.Done:
			b.answer, _ = c.ledger.Answer(open.Ticket)
		case ticket.None:
		}
		reply <- b
	})
	var b begun
	select {
	case b = <-reply:
	case <-a.tasks.Context().Done():
		s.Cancel()
		return
	}
	out := &streamSink{stream: s.Stream}
	switch {
	case b.refusal != nil:
		a.refuse(s, b.refusal)
	case b.shared != nil:
		usage, refusal, err := b.shared.replay(s.Context(), out)
		switch {
		case err != nil:
			s.Cancel()
		case refusal != nil:
			a.refuse(s, refusal)
		default:
			a.end(s, out, usage)
		}
	default:
		if out.head(damasktrail.Head{Status: b.answer.Status, Type: b.answer.Type}) != nil || out.chunk(b.answer.Body) != nil {
			s.Cancel()
			return
		}
		a.end(s, out, b.answer.Usage)
	}
}

// startRecorded admits a request with a ticket. It runs apart from the stream
// that brought it, so that it ends, and its answer is kept, when the entry dies.
func (a *Agent) startRecorded(c *control, open frame.Open, rec *recording, barred *damasktrail.Refusal, now time.Time) {
	on := newWait()
	w := a.newWork(open, on)
	a.tasks.Go(func(ctx context.Context) {
		select {
		case <-on.started:
		case r := <-on.refused:
			a.finishRecorded(open.Ticket, rec, func(*control) {}, damasktrail.Usage{}, r)
			return
		case <-ctx.Done():
			return
		}
		usage, refusal := a.run(ctx, w, open, rec)
		a.finishRecorded(open.Ticket, rec, func(c *control) {
			if refusal != nil {
				c.ledger.Fail(open.Ticket, refusal)
				return
			}
			c.ledger.Finish(open.Ticket, rec.answer(usage))
		}, usage, refusal)
	})
	if barred != nil {
		c.refuse(w, barred, now)
		return
	}
	c.arrive(w, open.Floor, now)
}

// finishRecorded records the end in the ledger before any caller sees it.
func (a *Agent) finishRecorded(id string, rec *recording, settle func(c *control), usage damasktrail.Usage, refusal *damasktrail.Refusal) {
	a.post(func(c *control, _ time.Time) {
		settle(c)
		delete(a.recordings, id)
		rec.finish(usage, refusal)
	})
}
