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

// answerTimeoutSlack is the time past its deadline for which a non-streaming
// answer is still awaited.
const answerTimeoutSlack = 2 * time.Second

// documentSyncTimeout bounds the wait for a document that an entry has and the
// agent lacks.
const documentSyncTimeout = 2 * time.Second

var crcTable = crc64.MakeTable(crc64.ECMA)

// attempt is the stream of one request.
type attempt struct {
	*link.Stream
	// reportedUnixNano is shared by all streams of the connection, see
	// [entryLink].
	reportedUnixNano *atomic.Int64
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
	decision := newDecision()
	w := a.newWork(open, decision)
	a.post(func(c *control, now time.Time) { c.admit(w, open.Floor, now) })
	select {
	case <-decision.started:
	case r := <-decision.refused:
		a.refuse(s, r)
		return
	case <-s.Context().Done():
		// The entry is gone. The control goroutine may have started the request
		// before it handles the cancellation; a started request then ends
		// without reaching the endpoint.
		a.post(func(c *control, now time.Time) { c.cancel(w.id, now) })
		select {
		case <-decision.started:
			a.post(func(c *control, now time.Time) { c.finish(w, false, now) })
		case <-decision.refused: //nolint:errcheck // The refusal has no reader.
		case <-a.tasks.Context().Done():
		}
		return
	}
	a.relay(s, w, open)
}

// decision carries the control goroutine's decision on one request: started is
// closed or refused receives a refusal.
type decision struct {
	started chan struct{}
	refused chan *damasktrail.Refusal
}

func newDecision() *decision {
	return &decision{started: make(chan struct{}), refused: make(chan *damasktrail.Refusal, 1)}
}

// start reports that the request may be sent to the endpoint.
func (d *decision) start() { close(d.started) }

// refuse reports that the request is refused.
func (d *decision) refuse(r *damasktrail.Refusal) { d.refused <- r }

func (a *Agent) newWork(open frame.Open, decision *decision) *work {
	id := open.ID
	if open.Ticket != "" {
		id = open.Ticket
	}
	return &work{
		id:        id,
		ticket:    open.Ticket,
		stream:    open.Stream,
		decodeP90: open.DecodeP90,
		request: damasktrail.Request{
			Organisation: open.Organisation,
			Model:        open.Model,
			Tier:         open.Tier,
			Cost:         open.Cost,
			Deadline:     time.Duration(open.DeadlineMillis) * time.Millisecond,
			Fingerprint:  open.Fingerprint,
		},
		start:  decision.start,
		refuse: decision.refuse,
	}
}

// prepare waits for the document of the request's generation if the agent's is
// lower. It returns the refusal of a request that was decided under another
// generation or is for another model.
func (a *Agent) prepare(ctx context.Context, open frame.Open) *damasktrail.Refusal {
	if open.Generation > a.documents.Number() {
		a.awaitDocument(ctx, open.Generation)
	}
	d := a.documents.Load()
	if d == nil || d.Generation != open.Generation {
		return &damasktrail.Refusal{
			Reason: damasktrail.ReasonStale, Outcome: damasktrail.NotRun, RetryAfter: unavailableRetryAfter,
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

// awaitDocument waits until the document of the given generation or a later one
// is in force, or a timeout passes.
func (a *Agent) awaitDocument(ctx context.Context, generation uint64) {
	ctx, cancel := context.WithTimeout(ctx, documentSyncTimeout)
	defer cancel()
	a.post(func(*control, time.Time) {
		from := a.documents.Number()
		if from == 0 {
			return // The first document is already requested, see requestDocument.
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

// refuse ends an attempt with a refusal.
func (a *Agent) refuse(s *attempt, r *damasktrail.Refusal) {
	tier := ""
	a.metrics.Refused(r, tier)
	if err := s.Send(frame.KindRefuse, a.refusalMessage(r)); err != nil {
		s.Cancel()
		return
	}
	s.reportedUnixNano.Store(a.clock.Now().UnixNano())
	_ = s.CloseSend()
}

// sink receives an answer: its head, then its chunks.
type sink interface {
	head(h damasktrail.Head) error
	chunk(data []byte) error
}

// relay runs a dispatched request and sends its answer on the stream.
func (a *Agent) relay(s *attempt, w *work, open frame.Open) {
	out := &streamSink{stream: s.Stream}
	usage, refusal, _ := a.run(s.Context(), w, open, out)
	if refusal != nil {
		a.refuse(s, refusal)
		return
	}
	a.sendEnd(s, out, usage)
}

// sendEnd sends the last frame of a complete answer.
func (a *Agent) sendEnd(s *attempt, out *streamSink, usage damasktrail.Usage) {
	err := s.Send(frame.KindEnd, frame.End{
		Chunks:     out.chunks,
		Digest:     out.digest,
		Prefill:    usage.Prefill,
		Decode:     usage.Decode,
		Load:       *a.latestLoad.Load(),
		Generation: a.rollout.Generation(),
	})
	if err != nil {
		s.Cancel()
		return
	}
	s.reportedUnixNano.Store(a.clock.Now().UnixNano())
	_ = s.CloseSend()
}

// run sends a request to the endpoint, once and without retries, and passes the
// answer to out. When it returns, the agent's load is without the request. sent is false if no byte of the request reached the endpoint, which
// cannot be reached then.
func (a *Agent) run(ctx context.Context, w *work, open frame.Open, out sink) (usage damasktrail.Usage, refusal *damasktrail.Refusal, sent bool) {
	complete := false
	sent = true
	defer func() {
		a.apply(func(c *control, now time.Time) {
			if !sent {
				c.undispatched(w, now)
				return
			}
			c.finish(w, complete, now)
		})
	}()
	answer, err := a.engine.Run(ctx, damasktrail.Call{
		ID:     open.ID,
		Method: open.Method,
		Path:   open.Path,
		Type:   open.Type,
		Body:   open.Body,
		Stream: open.Stream,
		// The deadline counts from the arrival at the entry and this timeout
		// from the dispatch, so the time in the queue is part of the slack.
		IdleTimeout: w.request.Deadline + answerTimeoutSlack,
	})
	if err != nil {
		sent = ctx.Err() != nil || !errors.Is(err, damasktrail.ErrNotDispatched)
		return usage, a.failureRefusal(ctx, w, err), sent
	}
	defer func() { _ = answer.Close() }()
	if err := out.head(answer.Head()); err != nil {
		return usage, cancelledRefusal(), true
	}
	for {
		data, err := answer.Next()
		if errors.Is(err, io.EOF) {
			complete = true
			if !open.Stream {
				w.tokens.Store(int64(answer.Usage().Decode))
			}
			return answer.Usage(), nil, true
		}
		if err != nil {
			return answer.Usage(), a.failureRefusal(ctx, w, err), true
		}
		if open.Stream && w.tokens.Add(1) == 1 {
			a.post(func(c *control, now time.Time) { c.recordFirstToken(w, now) })
		}
		if err := out.chunk(data); err != nil {
			return answer.Usage(), cancelledRefusal(), true
		}
	}
}

func cancelledRefusal() *damasktrail.Refusal {
	return &damasktrail.Refusal{
		Reason: damasktrail.ReasonCancelled, Outcome: damasktrail.Unknown,
		Detail: "the entry cancelled the request while it ran",
	}
}

// failureRefusal converts an error of the endpoint into a refusal.
func (a *Agent) failureRefusal(ctx context.Context, w *work, err error) *damasktrail.Refusal {
	switch {
	case errors.Is(err, damasktrail.ErrNotDispatched):
		a.log.Info("request did not reach the endpoint", "fingerprint", w.request.Fingerprint, "error", err)
		return &damasktrail.Refusal{
			Reason: damasktrail.ReasonNotReady, Outcome: damasktrail.NotRun,
			RetryAfter: unavailableRetryAfter, Detail: "the endpoint cannot be reached",
		}
	case ctx.Err() != nil:
		a.log.Info("request cancelled while it ran", "fingerprint", w.request.Fingerprint, "error", err)
		return cancelledRefusal()
	case errors.Is(err, damasktrail.ErrCrashed):
		a.log.Warn("endpoint crashed", "fingerprint", w.request.Fingerprint, "error", err)
		a.reportCrash(w)
		return &damasktrail.Refusal{
			Reason: damasktrail.ReasonCrashed, Outcome: damasktrail.Unknown,
			RetryAfter: time.Second, Detail: "the endpoint crashed while it ran the request",
		}
	default:
		a.log.Warn("answer from the endpoint was cut off", "error", err)
		return &damasktrail.Refusal{
			Reason: damasktrail.ReasonLost, Outcome: damasktrail.Unknown,
			RetryAfter: time.Second, Detail: "the endpoint's answer was cut",
		}
	}
}

// reportCrash records the request as a suspect and notifies all entries before
// its refusal can reach the caller.
func (a *Agent) reportCrash(w *work) {
	a.apply(func(c *control, now time.Time) {
		if suspects := c.recordCrash(w, now); suspects != nil {
			a.sendHeartbeats(c, now)
		}
	})
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
	o.digest = crc64.Update(o.digest, crcTable, data)
	return err
}

// requestDigest returns the digest that binds a ticket to its request.
func requestDigest(open frame.Open) [32]byte {
	h := sha256.New()
	for _, part := range []string{open.Method, open.Path, open.Type, string(open.Body)} {
		_, _ = fmt.Fprintf(h, "%d:", len(part)) // Length prefixes keep the boundaries of parts unambiguous.
		_, _ = io.WriteString(h, part)
	}
	return [32]byte(h.Sum(nil))
}

// serveTicket serves a request that runs at most once. The ledger is consulted
// first, because an earlier attempt may have used the ticket. prepareRefusal is
// the refusal for the first use of the ticket, or nil if the request may wait.
func (a *Agent) serveTicket(s *attempt, open frame.Open, prepareRefusal *damasktrail.Refusal) {
	type beginResult struct {
		state     ticket.State
		refusal   *damasktrail.Refusal
		answer    ticket.Answer
		recording *recording
	}
	reply := make(chan beginResult, 1)
	a.post(func(c *control, now time.Time) {
		var b beginResult
		b.state, b.refusal = c.ledger.Begin(open.Ticket, open.Organisation, open.Model, requestDigest(open), now)
		switch b.state {
		case ticket.Fresh:
			b.recording = newRecording()
			a.recordings[open.Ticket] = b.recording
			a.startRecorded(c, open, b.recording, prepareRefusal, now)
		case ticket.Running:
			b.recording = a.recordings[open.Ticket]
		case ticket.Done:
			b.answer, _ = c.ledger.Answer(open.Ticket)
		case ticket.None:
		}
		reply <- b
	})
	var b beginResult
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
	case b.recording != nil:
		usage, refusal, err := b.recording.replay(s.Context(), out)
		switch {
		case err != nil:
			s.Cancel()
		case refusal != nil:
			a.refuse(s, refusal)
		default:
			a.sendEnd(s, out, usage)
		}
	default:
		if out.head(damasktrail.Head{Status: b.answer.Status, Type: b.answer.Type}) != nil || out.chunk(b.answer.Body) != nil {
			s.Cancel()
			return
		}
		a.sendEnd(s, out, b.answer.Usage)
	}
}

// startRecorded admits a request with a ticket. The request runs independently
// of the stream that delivered it, so that it completes and its answer is kept
// even if the entry dies.
func (a *Agent) startRecorded(c *control, open frame.Open, rec *recording, prepareRefusal *damasktrail.Refusal, now time.Time) {
	decision := newDecision()
	w := a.newWork(open, decision)
	deadline := now.Add(w.request.Deadline)
	a.tasks.Go(func(ctx context.Context) {
		var usage damasktrail.Usage
		var refusal *damasktrail.Refusal
		for sent := false; !sent; {
			select {
			case <-decision.started:
			case r := <-decision.refused:
				a.finishRecorded(open.Ticket, rec, func(*control) {}, damasktrail.Usage{}, r)
				return
			case <-ctx.Done():
				return
			}
			if usage, refusal, sent = a.run(ctx, w, open, rec); !sent {
				decision = newDecision()
				a.requeue(w, decision, deadline)
			}
		}
		a.finishRecorded(open.Ticket, rec, func(c *control) {
			if refusal != nil {
				c.ledger.Fail(open.Ticket, refusal)
				return
			}
			c.ledger.Finish(open.Ticket, rec.answer(usage))
		}, usage, refusal)
	})
	if prepareRefusal != nil {
		c.refuse(w, prepareRefusal, now)
		return
	}
	c.admit(w, open.Floor, now)
}

// requeue lets a request with a ticket that did not reach the endpoint wait for the
// endpoint's return.
func (a *Agent) requeue(w *work, d *decision, deadline time.Time) {
	a.post(func(c *control, now time.Time) {
		w.start, w.refuse = d.start, d.refuse
		c.requeue(w, deadline.Sub(now), now)
	})
}

// finishRecorded records the outcome in the ledger before any caller sees it.
func (a *Agent) finishRecorded(id string, rec *recording, updateLedger func(c *control), usage damasktrail.Usage, refusal *damasktrail.Refusal) {
	a.post(func(c *control, _ time.Time) {
		updateLedger(c)
		delete(a.recordings, id)
		rec.finish(usage, refusal)
	})
}
