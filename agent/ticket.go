package agent

import (
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"time"

	"damasktrail.dev"
	"damasktrail.dev/frame"
	"damasktrail.dev/ticket"
)

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
