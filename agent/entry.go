package agent

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"damasktrail.dev"
	"damasktrail.dev/frame"
	"damasktrail.dev/group"
	"damasktrail.dev/link"
	"damasktrail.dev/ticket"
)

const (
	// beatInterval is that of heartbeats; see the arithmetic in docs/design.md.
	beatInterval = 10 * time.Second
	// beatCheck is the interval of the check for links that need a heartbeat. A
	// heartbeat is at most that late; entries allow for 2 s.
	beatCheck = 500 * time.Millisecond
	// firstWait is how long one entry is given to send the first document before
	// another is asked.
	firstWait = 500 * time.Millisecond
	// outbox bounds the control messages that wait for one entry. An entry that
	// reads nothing loses its connection.
	outbox = 64
)

// entryLink is the control stream of one entry.
type entryLink struct {
	conn   *link.Conn
	stream *link.Stream
	out    chan message
	// reported is the time of the latest frame on any stream of the connection
	// that carried the load and the generation, in Unix nanoseconds.
	reported *atomic.Int64

	// The rest belongs to the control goroutine. announced is the highest
	// generation that the entry announced while the agent had no document, asked
	// the time at which the agent asked it for the first document.
	announced uint64
	asked     time.Time
}

type message struct {
	kind frame.Kind
	body any
}

// send queues a message; a full queue closes the connection.
func (e *entryLink) send(kind frame.Kind, body any) {
	select {
	case e.out <- message{kind, body}:
	default:
		e.conn.Close("control messages are not read")
	}
}

// accept serves connections until the listener is closed.
func (a *Agent) accept(ctx context.Context) {
	for {
		conn, err := a.listener.Accept(ctx)
		if err != nil {
			return
		}
		a.tasks.Go(func(context.Context) { a.serveConn(conn) })
	}
}

func (a *Agent) serveConn(conn *link.Conn) {
	defer conn.Close("done")
	reported := &atomic.Int64{}
	streams := group.New(conn.Context())
	defer streams.Wait()
	for {
		s, err := conn.Accept(conn.Context())
		if err != nil {
			return
		}
		streams.Go(func(context.Context) { a.serveStream(conn, s, reported) })
	}
}

// serveStream tells attempts from the control stream by their first frame.
func (a *Agent) serveStream(conn *link.Conn, s *link.Stream, reported *atomic.Int64) {
	first, err := s.Receive()
	if err != nil {
		s.Cancel()
		return
	}
	switch first.Kind {
	case frame.KindOpen:
		a.serveAttempt(&attempt{Stream: s, reported: reported}, first)
	case frame.KindHello:
		a.serveControl(conn, s, first, reported)
	default:
		a.metrics.Count("protocol_errors", 1)
		s.Cancel()
	}
}

func (a *Agent) serveControl(conn *link.Conn, s *link.Stream, first frame.Raw, reported *atomic.Int64) {
	hello, err := frame.Decode[frame.Hello](first, frame.KindHello)
	if err != nil || hello.Name != conn.Peer().Name {
		a.metrics.Count("protocol_errors", 1)
		a.log.Warn("refused control stream", "peer", conn.Peer().Name, "error", err)
		conn.Close("hello is not valid")
		return
	}
	e := &entryLink{conn: conn, stream: s, out: make(chan message, outbox), reported: reported}
	e.send(frame.KindHello, frame.Hello{
		Name: a.settings.Name, Incarnation: a.incarnation, Generation: a.rollout.Generation(),
	})
	a.post(func(c *control, now time.Time) {
		a.entries[e] = struct{}{}
		a.beat(e, c, now)
	})
	defer a.post(func(*control, time.Time) { delete(a.entries, e) })
	a.tasks.Go(func(context.Context) { e.write() })
	a.reply(e, hello.Generation)
	for {
		raw, err := s.Receive()
		if err != nil {
			if !errors.Is(err, io.EOF) {
				a.log.Debug("control stream ended", "peer", hello.Name, "error", err)
			}
			return
		}
		if err := a.receive(e, raw); err != nil {
			a.metrics.Count("protocol_errors", 1)
			a.log.Warn("refused message", "peer", hello.Name, "error", err)
		}
	}
}

// write sends queued messages until the connection ends.
func (e *entryLink) write() {
	for {
		select {
		case m := <-e.out:
			if err := e.stream.Send(m.kind, m.body); err != nil {
				return
			}
		case <-e.conn.Context().Done():
			return
		}
	}
}

// reply compares generations with an entry. The first document is asked for at
// one entry after the other, since it travels whole.
func (a *Agent) reply(e *entryLink, generation uint64) {
	if a.rollout.Generation() == 0 {
		a.post(func(_ *control, now time.Time) {
			e.announced = max(e.announced, generation)
			a.requestDocument(now)
		})
		return
	}
	for _, m := range a.rollout.Compare(frame.TopicDocument, generation) {
		e.send(m.Kind, m.Body)
	}
}

// requestDocument asks an entry that announced a newer generation: for the first document
// when none was asked within firstWait, and once a document is in force for what
// leads to the highest generation that was announced before. It runs on the
// control goroutine.
func (a *Agent) requestDocument(now time.Time) {
	own := a.rollout.Generation()
	var next *entryLink
	for e := range a.entries {
		switch {
		case e.announced <= own:
		case own == 0 && now.Sub(e.asked) < firstWait:
			return
		case next == nil || own == 0 && e.asked.Before(next.asked),
			(own > 0 || e.asked.Equal(next.asked)) && e.announced > next.announced:
			next = e
		}
	}
	if next != nil {
		next.asked = now
		next.send(frame.KindPull, frame.Pull{Topic: frame.TopicDocument, From: own})
	}
}

func (a *Agent) receive(e *entryLink, raw frame.Raw) error {
	switch raw.Kind {
	case frame.KindBeat:
		b, err := frame.Decode[frame.Beat](raw, frame.KindBeat)
		if err != nil {
			return err
		}
		a.reply(e, b.Generation)
		if b.Leaving {
			a.Leave()
		}
		a.post(func(c *control, now time.Time) {
			if b.Reply {
				a.beat(e, c, now)
			}
			c.suspects.Merge(b.Suspects, now)
			for _, f := range b.Floors {
				for _, it := range c.waiting.RemoveBelow(f.Model, f.Tier) {
					c.refuse(it.Value, belowFloor(), now)
				}
			}
		})
		return nil
	case frame.KindIssue:
		m, err := frame.Decode[frame.Issue](raw, frame.KindIssue)
		if err != nil {
			return err
		}
		a.post(func(_ *control, now time.Time) { e.send(frame.KindTicket, a.issue(m, now)) })
		return nil
	default:
		answers, err := a.rollout.Receive(raw)
		for _, m := range answers {
			e.send(m.Kind, m.Body)
		}
		return err
	}
}

// issue makes a ticket; it runs on the control goroutine.
func (a *Agent) issue(m frame.Issue, now time.Time) frame.Ticket {
	if a.leaving.Load() {
		return frame.Ticket{ID: m.ID, Refusal: a.refusal(leavingRefusal())}
	}
	text, err := a.issuer.Issue(m.Organisation, m.Model, a.settings.Ticket, now)
	var outstanding *ticket.OutstandingError
	if errors.As(err, &outstanding) {
		return frame.Ticket{ID: m.ID, Refusal: a.refusal(full(err.Error()).WithRetryAfter(outstanding.Retry))}
	}
	if err != nil {
		return frame.Ticket{ID: m.ID, Refusal: a.refusal(&damasktrail.Refusal{
			Reason: damasktrail.ReasonMalformed, Outcome: damasktrail.NotRun, Detail: err.Error(),
		})}
	}
	return frame.Ticket{ID: m.ID, Ticket: text, Expires: a.settings.Ticket.Milliseconds()}
}

// refusal converts a refusal into its message, with the load at this moment.
func (a *Agent) refusal(r *damasktrail.Refusal) *frame.Refuse {
	return &frame.Refuse{
		Reason:     r.Reason,
		Outcome:    r.Outcome,
		Detail:     r.Detail,
		Retry:      r.RetryAfter.Milliseconds(),
		Load:       *a.report.Load(),
		Generation: a.rollout.Generation(),
	}
}

// beatDue sends a heartbeat to the entries that were sent nothing with the load
// and the generation for the interval of heartbeats.
func (a *Agent) beatDue(c *control, now time.Time) {
	for e := range a.entries {
		if now.Sub(time.Unix(0, e.reported.Load())) >= beatInterval {
			a.beat(e, c, now)
		}
	}
}

// beatAll sends a heartbeat to all entries.
func (a *Agent) beatAll(c *control, now time.Time) {
	for e := range a.entries {
		a.beat(e, c, now)
	}
}

func (a *Agent) beat(e *entryLink, c *control, now time.Time) {
	e.reported.Store(now.UnixNano())
	e.send(frame.KindBeat, frame.Beat{
		Generation: a.rollout.Generation(),
		Load:       c.load(),
		Suspects:   c.suspects.Report(now),
		Leaving:    a.leaving.Load(),
	})
}
