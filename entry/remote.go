package entry

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"damasktrail.dev"
	"damasktrail.dev/frame"
	"damasktrail.dev/group"
	"damasktrail.dev/link"
	"damasktrail.dev/member"
)

const (
	// redialBackoffMin and redialBackoffMax bound the backoff between two dials of
	// an agent or peer. Requests that wait for a link check for it every
	// redialBackoffMin.
	redialBackoffMin = 100 * time.Millisecond
	redialBackoffMax = 5 * time.Second
	// dialTimeout bounds one dial, the exchange of hellos and the wait for a
	// ticket.
	dialTimeout = 3 * time.Second
	// maxDialFailures is the number of consecutive failed dials after which
	// requests no longer wait for the link.
	maxDialFailures = 3
	// outboxSize bounds the control messages queued for one peer.
	outboxSize = 64
)

// errLinkLost ends the wait for a ticket when the link is lost.
var errLinkLost = errors.New("the link to the agent is gone")

// loadReport is a reported load with the time of its arrival.
type loadReport struct {
	load damasktrail.Load
	at   time.Time
}

// remoteAgent is an agent that this entry has or wants a link with. Goroutines
// that serve requests read and update it without a lock.
type remoteAgent struct {
	vm member.VM
	// target is what the agent's endpoint serves.
	target string
	// rank is this entry's position among the entries of the agent; the first
	// pushes new documents.
	rank int
	// session is the live connection, nil while there is none.
	session    atomic.Pointer[session]
	latestLoad atomic.Pointer[loadReport]
	// reportedLeaving is true if the agent reports that it is leaving,
	// listedLeaving if the VM list shows it as leaving or lacks it.
	reportedLeaving, listedLeaving atomic.Bool
	// sentPrefill and sentDecode are the tokens sent since the latest report.
	sentPrefill, sentDecode atomic.Int64
	inflight                atomic.Int64
	// dialFailures counts consecutive failed dials.
	dialFailures atomic.Int64
	// stop ends the goroutine that maintains the connection.
	stop context.CancelFunc
}

// session is one connection to an agent or to another entry.
type session struct {
	conn        *link.Conn
	control     *link.Stream
	name        string
	incarnation string
	outbox      chan message
	// lastReceived is the time of the latest frame on any stream, in Unix
	// nanoseconds.
	lastReceived atomic.Int64
	// silenceStart is the latest time at which no frame was expected from the
	// peer, in Unix nanoseconds. Silence is measured from then or from the latest
	// frame, whichever is later.
	silenceStart atomic.Int64
	// closedSilent is set before the connection is closed because nothing arrives.
	closedSilent atomic.Bool

	// knownGeneration is the highest generation that the peer announced, in a
	// hello, beat, change or end. The generation of a peer never decreases.
	knownGeneration atomic.Uint64

	mu sync.Mutex
	// pendingTickets maps the IDs of Issue messages to the channels of the
	// requests that wait for the answer.
	pendingTickets map[uint64]chan frame.Ticket
	lastTicketID   uint64
	// comparedGenerations holds the own and the peer's generation at the latest
	// end of an attempt.
	comparedGenerations [2]uint64
}

type message struct {
	kind frame.Kind
	body any
}

// send queues a control message. It closes the connection if the queue is full.
func (s *session) send(kind frame.Kind, body any) {
	select {
	case s.outbox <- message{kind, body}:
	default:
		s.conn.Close("control messages are not read")
	}
}

// write sends queued messages until the connection ends.
func (s *session) write(context.Context) {
	for {
		select {
		case m := <-s.outbox:
			if s.control.Send(m.kind, m.body) != nil {
				return
			}
		case <-s.conn.Context().Done():
			return
		}
	}
}

// record stores a report of the agent's load.
func (r *remoteAgent) record(l damasktrail.Load, now time.Time) {
	r.sentPrefill.Store(0)
	r.sentDecode.Store(0)
	r.latestLoad.Store(&loadReport{load: l, at: now})
}

// ended reports whether the connection is closed or dead. After a pause of this
// process a dead connection can look open for a moment; the time of its last frame
// shows that it is dead.
func (s *session) ended(now time.Time) bool {
	return now.Sub(time.Unix(0, s.lastReceived.Load())) > link.IdleTimeout || s.conn.Context().Err() != nil
}

// liveSession returns the session, or nil if there is none or it has ended.
func (r *remoteAgent) liveSession(now time.Time) *session {
	s := r.session.Load()
	if s == nil || s.ended(now) {
		return nil
	}
	return s
}

// usable reports whether new attempts may go to the agent.
func (r *remoteAgent) usable(now time.Time) bool {
	if r.reportedLeaving.Load() || r.listedLeaving.Load() || r.liveSession(now) == nil {
		return false
	}
	l := r.latestLoad.Load()
	return l == nil || l.load.Limit > 0
}

// reconnecting reports whether a link to the agent is being re-established
// after a recent loss. An agent that stays unreachable is not waited for.
func (r *remoteAgent) reconnecting(now time.Time) bool {
	return r.liveSession(now) == nil && !r.listedLeaving.Load() && !r.reportedLeaving.Load() && r.dialFailures.Load() < maxDialFailures
}

// candidate returns the agent's state as input for a policy.
func (r *remoteAgent) candidate(now time.Time) damasktrail.Candidate {
	res := damasktrail.Candidate{
		Agent:    r.vm.Name,
		Domain:   r.vm.Domain,
		Sent:     damasktrail.Cost{Prefill: int(r.sentPrefill.Load()), Decode: int(r.sentDecode.Load())},
		Inflight: int(r.inflight.Load()),
	}
	if l := r.latestLoad.Load(); l != nil {
		res.Load, res.Age = l.load, now.Sub(l.at)
	}
	return res
}

// maintainLink keeps a connection to an agent until ctx ends.
func (e *Entry) maintainLink(ctx context.Context, r *remoteAgent) {
	e.redial(ctx, r.vm.Address, e.agentDialer, func(conn *link.Conn) error {
		r.dialFailures.Store(0)
		return e.serveAgent(ctx, r, conn)
	}, func() { r.dialFailures.Add(1) })
}

// redial connects to an address repeatedly, with exponential backoff and
// jitter, until ctx ends. It dials from a new port after a connection or dial
// that got no reply.
func (e *Entry) redial(ctx context.Context, address string, d *link.Dialer, serve func(*link.Conn) error, failed func()) {
	backoff := redialBackoffMin
	newPort := false
	for ctx.Err() == nil {
		dial, cancel := context.WithTimeout(ctx, dialTimeout)
		conn, err := d.Dial(dial, address, newPort)
		cancel()
		if err == nil {
			backoff = redialBackoffMin
			err = serve(conn)
			conn.Close("done")
		} else {
			failed()
		}
		newPort = errors.Is(err, errSilent) || timedOut(err)
		e.log.Debug("link ended", "address", address, "error", err)
		if e.clock.Sleep(ctx, jitter(backoff)) != nil {
			return
		}
		backoff = min(2*backoff, redialBackoffMax)
	}
}

// timedOut reports whether a dial or a connection ended because nothing
// arrived. It checks net.Error because QUIC's own timeouts and that of a
// context are different errors.
func timedOut(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}

// errSilent is returned when a connection was closed because nothing arrives.
var errSilent = errors.New("the link went silent")

// openControl opens the control stream of a dialled connection and exchanges
// hellos.
func (e *Entry) openControl(ctx context.Context, conn *link.Conn) (*session, frame.Hello, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	control, err := conn.Open(ctx)
	if err != nil {
		return nil, frame.Hello{}, err
	}
	stop := context.AfterFunc(ctx, control.Cancel)
	defer stop()
	if err := control.Send(frame.KindHello, e.hello()); err != nil {
		return nil, frame.Hello{}, err
	}
	raw, err := control.Receive()
	if err != nil {
		return nil, frame.Hello{}, err
	}
	h, err := frame.Decode[frame.Hello](raw, frame.KindHello)
	if err != nil {
		return nil, frame.Hello{}, err
	}
	return e.newSession(conn, control, h), h, nil
}

func (e *Entry) newSession(conn *link.Conn, control *link.Stream, h frame.Hello) *session {
	s := &session{
		conn:           conn,
		control:        control,
		name:           conn.Peer().Name,
		incarnation:    h.Incarnation,
		outbox:         make(chan message, outboxSize),
		pendingTickets: map[uint64]chan frame.Ticket{},
	}
	s.recordGeneration(h.Generation)
	now := e.clock.Now().UnixNano()
	s.lastReceived.Store(now)
	s.silenceStart.Store(now)
	return s
}

func (e *Entry) hello() frame.Hello {
	return frame.Hello{
		Name:          e.settings.Name,
		Incarnation:   e.incarnation,
		Generation:    e.rollout.Generation(),
		VMListVersion: e.rollout.VMListVersion(),
	}
}

// serveAgent runs one connection to an agent until it ends.
func (e *Entry) serveAgent(ctx context.Context, r *remoteAgent, conn *link.Conn) error {
	s, hello, err := e.openControl(ctx, conn)
	if err != nil {
		return err
	}
	if s.name != r.vm.Name {
		return &PeerError{Want: r.vm.Name, Got: s.name}
	}
	tasks := group.New(conn.Context())
	defer tasks.Close()
	defer conn.Close("done")
	stop := context.AfterFunc(ctx, func() { conn.Close("not in the subset") })
	defer stop()
	tasks.Go(s.write)
	e.compareAgent(s, hello.Generation)
	r.reportedLeaving.Store(false)
	r.session.Store(s)
	defer r.session.Store(nil)
	err = e.receiveAgent(r, s)
	if s.closedSilent.Load() {
		return errSilent
	}
	return err
}

// PeerError says that another process answers at an address.
type PeerError struct {
	// Want and Got are names of VMs.
	Want, Got string
}

// Error implements error.
func (e *PeerError) Error() string {
	return "peer is " + e.Got + " where " + e.Want + " is expected"
}

// receiveAgent handles control messages of an agent.
func (e *Entry) receiveAgent(r *remoteAgent, s *session) error {
	for {
		raw, err := s.control.Receive()
		if err != nil {
			return err
		}
		now := e.clock.Now()
		s.lastReceived.Store(now.UnixNano())
		switch raw.Kind {
		case frame.KindHeartbeat:
			b, err := frame.Decode[frame.Heartbeat](raw, frame.KindHeartbeat)
			if err != nil {
				return err
			}
			r.record(b.Load, now)
			r.reportedLeaving.Store(b.Leaving)
			e.compareAgent(s, b.Generation)
			e.handleBeat(s, b, now)
		case frame.KindLeave:
			r.reportedLeaving.Store(true)
		case frame.KindTicket:
			t, err := frame.Decode[frame.Ticket](raw, frame.KindTicket)
			if err != nil {
				return err
			}
			s.deliverTicket(t)
		default:
			e.receiveRollout(s, raw)
		}
	}
}

// recordGeneration records a generation that the peer has.
func (s *session) recordGeneration(generation uint64) {
	for {
		current := s.knownGeneration.Load()
		if generation <= current || s.knownGeneration.CompareAndSwap(current, generation) {
			return
		}
	}
}

// handleBeat handles the fields that beats of agents and peers have in common.
func (e *Entry) handleBeat(s *session, b frame.Heartbeat, now time.Time) {
	s.recordGeneration(b.Generation)
	if e.evidence.Merge(b.Evidence, now) {
		e.post(func(c *control) { c.broadcastEvidence() })
	}
	if len(b.Suspects) > 0 || len(b.Floors) > 0 {
		e.post(func(c *control) { c.merge(b.Suspects, b.Floors, now) })
	}
}

// compareAgent reconciles an agent's generation with that of this entry. An
// agent without a document is sent none unasked, since it asks one of its
// entries for the whole document.
func (e *Entry) compareAgent(s *session, generation uint64) {
	if generation > 0 {
		e.compare(s, frame.TopicDocument, generation)
	}
}

// compare sends a peer the messages that reconcile its version of a value with
// that of this entry.
func (e *Entry) compare(s *session, t frame.Topic, version uint64) {
	for _, m := range e.rollout.Compare(t, version) {
		s.send(m.Kind, m.Body)
	}
}

// compareEndGeneration compares the generation that the end of an attempt
// carries. Many attempts can end before the answer to the first comparison has
// arrived, so it acts once on each pair of generations: a message for each
// attempt could fill the queue of the control stream, which closes the
// connection.
func (e *Entry) compareEndGeneration(s *session, generation uint64) {
	s.recordGeneration(generation)
	pair := [2]uint64{e.rollout.Generation(), generation}
	s.mu.Lock()
	handled := s.comparedGenerations == pair
	s.comparedGenerations = pair
	s.mu.Unlock()
	if !handled && pair[0] != pair[1] {
		e.compareAgent(s, generation)
	}
}

// receiveRollout passes a message to the rollout and sends its answers.
func (e *Entry) receiveRollout(s *session, raw frame.Raw) {
	if raw.Kind == frame.KindChange {
		// Record the generation before the document comes into force, which announces
		// it to all other processes. A frame that cannot be decoded is refused below.
		if m, err := frame.Decode[frame.Change](raw, frame.KindChange); err == nil && m.Topic == frame.TopicDocument {
			s.recordGeneration(m.To)
		}
	}
	answers, err := e.rollout.Receive(raw)
	if err != nil {
		e.metrics.Count("protocol_errors", 1)
		e.log.Warn("control message rejected", "peer", s.name, "error", err)
	}
	for _, m := range answers {
		s.send(m.Kind, m.Body)
	}
}

// deliverTicket hands a ticket to the request that asked for it.
func (s *session) deliverTicket(t frame.Ticket) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if reply, found := s.pendingTickets[t.ID]; found {
		delete(s.pendingTickets, t.ID)
		reply <- t
	}
}

// requestTicket asks the agent for a ticket.
func (s *session) requestTicket(ctx context.Context, organisation, target string) (frame.Ticket, error) {
	reply := make(chan frame.Ticket, 1)
	s.mu.Lock()
	s.lastTicketID++
	id := s.lastTicketID
	s.pendingTickets[id] = reply
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.pendingTickets, id)
		s.mu.Unlock()
	}()
	s.send(frame.KindIssue, frame.Issue{ID: id, Organisation: organisation, Model: target})
	select {
	case t := <-reply:
		return t, nil
	case <-s.conn.Context().Done():
		return frame.Ticket{}, errLinkLost
	case <-ctx.Done():
		return frame.Ticket{}, ctx.Err()
	}
}
