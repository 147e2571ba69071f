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
	// heartbeatInterval is the time without a load report after which an entry
	// gets a heartbeat; see the calculation in docs/design.md.
	heartbeatInterval = 10 * time.Second
	// heartbeatCheckInterval is the interval of the check for links that need a
	// heartbeat, and so the longest delay of a heartbeat; entries tolerate 2 s.
	heartbeatCheckInterval = 500 * time.Millisecond
	// firstDocumentTimeout is the time that an entry has to send the first
	// document before another entry is asked.
	firstDocumentTimeout = 500 * time.Millisecond
	// outboxSize bounds the control messages queued for one entry. The
	// connection of an entry that does not read them is closed.
	outboxSize = 64
)

// entryLink is the control stream of one entry.
type entryLink struct {
	conn   *link.Conn
	stream *link.Stream
	outbox chan message
	// reportedUnixNano is the time, in Unix nanoseconds, of the latest frame on
	// any stream of the connection that carried the load and the generation.
	reportedUnixNano *atomic.Int64

	// The fields below are owned by the control goroutine. announcedGeneration
	// is the highest generation that the entry announced while the agent had no
	// document, requestedAt the time of the agent's latest request to it.
	announcedGeneration uint64
	requestedAt         time.Time
}

type message struct {
	kind frame.Kind
	body any
}

// send queues a message; a full queue closes the connection.
func (e *entryLink) send(kind frame.Kind, body any) {
	select {
	case e.outbox <- message{kind, body}:
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
	reportedUnixNano := &atomic.Int64{}
	streams := group.New(conn.Context())
	defer streams.Wait()
	for {
		s, err := conn.Accept(conn.Context())
		if err != nil {
			return
		}
		streams.Go(func(context.Context) { a.serveStream(conn, s, reportedUnixNano) })
	}
}

// serveStream distinguishes attempts from the control stream by their first
// frame.
func (a *Agent) serveStream(conn *link.Conn, s *link.Stream, reportedUnixNano *atomic.Int64) {
	defer func() {
		if v := recover(); v != nil {
			a.recordPanic(v)
			s.Cancel()
		}
	}()
	first, err := s.Receive()
	if err != nil {
		s.Cancel()
		return
	}
	switch first.Kind {
	case frame.KindOpen:
		a.serveAttempt(&attempt{Stream: s, reportedUnixNano: reportedUnixNano}, first)
	case frame.KindHello:
		a.serveControl(conn, s, first, reportedUnixNano)
	default:
		a.metrics.Count("protocol_errors", 1)
		s.Cancel()
	}
}

func (a *Agent) serveControl(conn *link.Conn, s *link.Stream, first frame.Raw, reportedUnixNano *atomic.Int64) {
	hello, err := frame.Decode[frame.Hello](first, frame.KindHello)
	if err != nil || hello.Name != conn.Peer().Name {
		a.metrics.Count("protocol_errors", 1)
		a.log.Warn("refused control stream", "peer", conn.Peer().Name, "error", err)
		conn.Close("hello is not valid")
		return
	}
	e := &entryLink{conn: conn, stream: s, outbox: make(chan message, outboxSize), reportedUnixNano: reportedUnixNano}
	e.send(frame.KindHello, frame.Hello{
		Name: a.settings.Name, Incarnation: a.incarnation, Generation: a.rollout.Generation(),
	})
	a.post(func(c *control, now time.Time) {
		a.entries[e] = struct{}{}
		a.sendHeartbeat(e, c, now)
	})
	defer a.post(func(*control, time.Time) { delete(a.entries, e) })
	a.tasks.Go(func(context.Context) { e.write() })
	a.compareGenerations(e, hello.Generation)
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
			a.log.Warn("control message rejected", "peer", hello.Name, "error", err)
		}
	}
}

// write sends queued messages until the connection ends.
func (e *entryLink) write() {
	for {
		select {
		case m := <-e.outbox:
			if err := e.stream.Send(m.kind, m.body); err != nil {
				return
			}
		case <-e.conn.Context().Done():
			return
		}
	}
}

// compareGenerations compares the agent's generation with that of an entry and
// sends the messages that bring the two together. The first document is
// requested from one entry at a time, because it is sent in full.
func (a *Agent) compareGenerations(e *entryLink, generation uint64) {
	if a.rollout.Generation() == 0 {
		a.post(func(_ *control, now time.Time) {
			e.announcedGeneration = max(e.announcedGeneration, generation)
			a.requestDocument(now)
		})
		return
	}
	for _, m := range a.rollout.Compare(frame.TopicDocument, generation) {
		e.send(m.Kind, m.Body)
	}
}

// requestDocument requests document data from an entry that announced a newer
// generation. An agent without a document requests the first one, unless it did
// so within firstDocumentTimeout; an agent with a document requests the changes
// up to the highest generation that was announced before. It runs on the
// control goroutine.
func (a *Agent) requestDocument(now time.Time) {
	own := a.rollout.Generation()
	var next *entryLink
	for e := range a.entries {
		switch {
		case e.announcedGeneration <= own:
		case own == 0 && now.Sub(e.requestedAt) < firstDocumentTimeout:
			return
		case next == nil || own == 0 && e.requestedAt.Before(next.requestedAt),
			(own > 0 || e.requestedAt.Equal(next.requestedAt)) && e.announcedGeneration > next.announcedGeneration:
			next = e
		}
	}
	if next != nil {
		next.requestedAt = now
		next.send(frame.KindPull, frame.Pull{Topic: frame.TopicDocument, From: own})
	}
}

func (a *Agent) receive(e *entryLink, raw frame.Raw) error {
	switch raw.Kind {
	case frame.KindHeartbeat:
		b, err := frame.Decode[frame.Heartbeat](raw, frame.KindHeartbeat)
		if err != nil {
			return err
		}
		a.compareGenerations(e, b.Generation)
		if b.Leaving {
			a.Leave()
		}
		a.post(func(c *control, now time.Time) {
			if b.Reply {
				a.sendHeartbeat(e, c, now)
			}
			c.suspects.Merge(b.Suspects, now)
			for _, f := range b.Floors {
				for _, it := range c.waiting.RemoveBelow(f.Model, f.Tier) {
					c.refuse(it.Value, belowFloorRefusal(), now)
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

// issue issues a ticket. It runs on the control goroutine.
func (a *Agent) issue(m frame.Issue, now time.Time) frame.Ticket {
	if a.leaving.Load() {
		return frame.Ticket{ID: m.ID, Refusal: a.refusalMessage(leavingRefusal())}
	}
	text, err := a.issuer.Issue(m.Organisation, m.Model, a.settings.Ticket, now)
	var outstanding *ticket.OutstandingError
	if errors.As(err, &outstanding) {
		return frame.Ticket{ID: m.ID, Refusal: a.refusalMessage(fullRefusal(err.Error()).WithRetryAfter(outstanding.Retry))}
	}
	if err != nil {
		return frame.Ticket{ID: m.ID, Refusal: a.refusalMessage(&damasktrail.Refusal{
			Reason: damasktrail.ReasonMalformed, Outcome: damasktrail.NotRun, Detail: err.Error(),
		})}
	}
	return frame.Ticket{ID: m.ID, Ticket: text, ExpiresInMillis: a.settings.Ticket.Milliseconds()}
}

// refusalMessage converts a refusal into its message, with the current load.
func (a *Agent) refusalMessage(r *damasktrail.Refusal) *frame.Refuse {
	return &frame.Refuse{
		Reason:           r.Reason,
		Outcome:          r.Outcome,
		Detail:           r.Detail,
		RetryAfterMillis: r.RetryAfter.Milliseconds(),
		Load:             *a.latestLoad.Load(),
		Generation:       a.rollout.Generation(),
	}
}

// sendDueHeartbeats sends a heartbeat to each entry that was sent no frame with
// the load and the generation for heartbeatInterval.
func (a *Agent) sendDueHeartbeats(c *control, now time.Time) {
	for e := range a.entries {
		if now.Sub(time.Unix(0, e.reportedUnixNano.Load())) >= heartbeatInterval {
			a.sendHeartbeat(e, c, now)
		}
	}
}

// sendHeartbeats sends a heartbeat to all entries.
func (a *Agent) sendHeartbeats(c *control, now time.Time) {
	for e := range a.entries {
		a.sendHeartbeat(e, c, now)
	}
}

func (a *Agent) sendHeartbeat(e *entryLink, c *control, now time.Time) {
	e.reportedUnixNano.Store(now.UnixNano())
	e.send(frame.KindHeartbeat, frame.Heartbeat{
		Generation: a.rollout.Generation(),
		Load:       c.load(),
		Suspects:   c.suspects.Report(now),
		Leaving:    a.leaving.Load(),
	})
}
