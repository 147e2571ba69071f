package agent

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"damasktrail.dev"
	"damasktrail.dev/frame"
	"damasktrail.dev/link"
)

// documentSyncTimeout bounds the wait for a document that an entry has and the
// agent lacks.
const documentSyncTimeout = 2 * time.Second

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
