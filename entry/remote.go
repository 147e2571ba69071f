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
	// redialMin and redialMax bound the pause between two tries to reach a peer.
	redialMin = 100 * time.Millisecond
	redialMax = 5 * time.Second
	// dialTimeout bounds one try.
	dialTimeout = 3 * time.Second
	// linkFailures is the number of failed dials in a row after which requests no
	// longer wait for the link.
	linkFailures = 3
	// outbox bounds the control messages that wait for one peer.
	outbox = 64
)

// errGone ends the wait for an answer on a link that was lost.
var errGone = errors.New("the link to the agent is gone")

// report is a load with the time of its arrival.
type report struct {
	load damasktrail.Load
	at   time.Time
}

// remote is an agent of this entry's subset. Traffic goroutines read and update
// it without a lock.
type remote struct {
	vm member.VM
	// target is what the agent's endpoint serves.
	target string
	// rank is this entry's place among the entries of the agent; the first
	// pushes new documents.
	rank int
	// session is the live connection, nil while there is none.
	session atomic.Pointer[session]
	latest  atomic.Pointer[report]
	// leaving is what the agent says of itself, listed what the VM list says.
	leaving, listed atomic.Bool
	// prefill and decode are the tokens sent since the latest report.
	prefill, decode atomic.Int64
	inflight        atomic.Int64
	// failures counts dials in a row that failed.
	failures atomic.Int64
	// stop ends the goroutine that keeps the connection.
	stop context.CancelFunc
}

// session is one connection to an agent or to another entry.
type session struct {
	conn        *link.Conn
	control     *link.Stream
	name        string
	incarnation string
	out         chan message
	// heard is the time of the latest frame on any stream, in Unix nanoseconds.
	heard atomic.Int64
	// quiet is the latest time at which nothing was expected from the peer, in
	// Unix nanoseconds. Silence counts from then.
	quiet atomic.Int64
	// silent is set before the connection is closed because nothing arrives.
	silent atomic.Bool

	// known is the highest generation that the peer announced, by a hello, beat,
	// change or end. The generation of a peer never falls.
	known atomic.Uint64

	mu sync.Mutex
	// tickets maps the ids of Issue messages to those who wait for the answer.
	tickets map[uint64]chan frame.Ticket
	next    uint64
	// heeded are the own and the peer's generation at the latest end of an attempt.
	heeded [2]uint64
}

type message struct {
	kind frame.Kind
	body any
}

// send queues a control message; a full queue closes the connection.
func (s *session) send(kind frame.Kind, body any) {
	select {
	case s.out <- message{kind, body}:
	default:
		s.conn.Close("control messages are not read")
	}
}

// write sends queued messages until the connection ends.
func (s *session) write(context.Context) {
	for {
		select {
		case m := <-s.out:
			if s.control.Send(m.kind, m.body) != nil {
				return
			}
		case <-s.conn.Context().Done():
			return
		}
	}
}

// record takes a report of the agent's load.
func (r *remote) record(l damasktrail.Load, now time.Time) {
	r.prefill.Store(0)
	r.decode.Store(0)
	r.latest.Store(&report{load: l, at: now})
}

// live returns the connection, or nil. After a pause of this process a dead
// connection can look open for a moment; the time of its last frame tells.
func (r *remote) live(now time.Time) *session {
	s := r.session.Load()
	if s == nil || now.Sub(time.Unix(0, s.heard.Load())) > link.IdleTimeout {
		return nil
	}
	return s
}

// usable reports whether new attempts may go to the agent.
func (r *remote) usable(now time.Time) bool {
	if r.leaving.Load() || r.listed.Load() || r.live(now) == nil {
		return false
	}
	l := r.latest.Load()
	return l == nil || l.load.Limit > 0
}

// connecting reports whether a link to the agent is being made anew after one
// that was lost a short time ago. An agent that stays unreachable is not waited
// for.
func (r *remote) connecting(now time.Time) bool {
	return r.live(now) == nil && !r.listed.Load() && !r.leaving.Load() && r.failures.Load() < linkFailures
}

// candidate is what a policy sees of the agent.
func (r *remote) candidate(now time.Time) damasktrail.Candidate {
	res := damasktrail.Candidate{
		Agent:    r.vm.Name,
		Domain:   r.vm.Domain,
		Sent:     damasktrail.Cost{Prefill: int(r.prefill.Load()), Decode: int(r.decode.Load())},
		Inflight: int(r.inflight.Load()),
	}
	if l := r.latest.Load(); l != nil {
		res.Load, res.Age = l.load, now.Sub(l.at)
	}
	return res
}

// maintainLink holds a connection to an agent until ctx ends.
func (e *Entry) maintainLink(ctx context.Context, r *remote) {
	e.redial(ctx, r.vm.Address, e.agents, func(conn *link.Conn) error {
		r.failures.Store(0)
		return e.serveAgent(ctx, r, conn)
	}, func() { r.failures.Add(1) })
}

// redial connects to an address again and again, with growing pauses, and
// leaves from a new port after a connection that went silent.
func (e *Entry) redial(ctx context.Context, address string, d *link.Dialer, serve func(*link.Conn) error, failed func()) {
	pause := redialMin
	fresh := false
	for ctx.Err() == nil {
		dial, cancel := context.WithTimeout(ctx, dialTimeout)
		conn, err := d.Dial(dial, address, fresh)
		cancel()
		if err == nil {
			pause = redialMin
			err = serve(conn)
			conn.Close("done")
		} else {
			failed()
		}
		fresh = errors.Is(err, errSilent) || timedOut(err)
		e.log.Debug("link ended", "address", address, "error", err)
		if e.clock.Sleep(ctx, jitter(pause)) != nil {
			return
		}
		pause = min(2*pause, redialMax)
	}
}

// timedOut reports whether a dial or a connection ended because nothing arrived.
// QUIC's own timeouts and that of a context are different errors.
func timedOut(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}

// errSilent ends a connection on which nothing arrives.
var errSilent = errors.New("the link went silent")

// open starts the control stream of a dialled connection and exchanges hellos.
func (e *Entry) open(ctx context.Context, conn *link.Conn) (*session, frame.Hello, error) {
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
		conn:        conn,
		control:     control,
		name:        conn.Peer().Name,
		incarnation: h.Incarnation,
		out:         make(chan message, outbox),
		tickets:     map[uint64]chan frame.Ticket{},
	}
	s.announced(h.Generation)
	now := e.clock.Now().UnixNano()
	s.heard.Store(now)
	s.quiet.Store(now)
	return s
}

func (e *Entry) hello() frame.Hello {
	return frame.Hello{
		Name:        e.settings.Name,
		Incarnation: e.incarnation,
		Generation:  e.rollout.Generation(),
		Members:     e.rollout.Members(),
	}
}

// serveAgent runs one connection to an agent until it ends.
func (e *Entry) serveAgent(ctx context.Context, r *remote, conn *link.Conn) error {
	s, hello, err := e.open(ctx, conn)
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
	r.leaving.Store(false)
	r.session.Store(s)
	defer r.session.Store(nil)
	err = e.receiveAgent(r, s)
	if s.silent.Load() {
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
func (e *Entry) receiveAgent(r *remote, s *session) error {
	for {
		raw, err := s.control.Receive()
		if err != nil {
			return err
		}
		now := e.clock.Now()
		s.heard.Store(now.UnixNano())
		switch raw.Kind {
		case frame.KindBeat:
			b, err := frame.Decode[frame.Beat](raw, frame.KindBeat)
			if err != nil {
				return err
			}
			r.record(b.Load, now)
			r.leaving.Store(b.Leaving)
			e.compareAgent(s, b.Generation)
			e.handleBeat(s, b, now)
		case frame.KindLeave:
			r.leaving.Store(true)
		case frame.KindTicket:
			t, err := frame.Decode[frame.Ticket](raw, frame.KindTicket)
			if err != nil {
				return err
			}
			s.deliver(t)
		default:
			e.receiveRollout(s, raw)
		}
	}
}

// announced records a generation that the peer has.
func (s *session) announced(generation uint64) {
	for {
		held := s.known.Load()
		if generation <= held || s.known.CompareAndSwap(held, generation) {
			return
		}
	}
}

// handleBeat takes what every beat carries.
func (e *Entry) handleBeat(s *session, b frame.Beat, now time.Time) {
	s.announced(b.Generation)
	if len(b.Suspects) > 0 || len(b.Floors) > 0 {
		e.post(func(c *control) { c.merge(b.Suspects, b.Floors, now) })
	}
}

// compareAgent answers an agent that holds a generation. One without a document
// is sent none unasked, since it asks one of its entries for the whole document.
func (e *Entry) compareAgent(s *session, generation uint64) {
	if generation > 0 {
		e.compare(s, frame.TopicDocument, generation)
	}
}

// compare answers a peer that holds a version of a value.
func (e *Entry) compare(s *session, t frame.Topic, version uint64) {
	for _, m := range e.rollout.Compare(t, version) {
		s.send(m.Kind, m.Body)
	}
}

// noteGeneration compares the generation that the end of an attempt carries. Many attempts
// can end before the answer to the first has arrived, so it acts once on each
// pair of generations: a message for each could fill the queue of the control
// stream, which closes the connection.
func (e *Entry) noteGeneration(s *session, generation uint64) {
	s.announced(generation)
	pair := [2]uint64{e.rollout.Generation(), generation}
	s.mu.Lock()
	acted := s.heeded == pair
	s.heeded = pair
	s.mu.Unlock()
	if !acted && pair[0] != pair[1] {
		e.compareAgent(s, generation)
	}
}

// receiveRollout passes a message to the rollout and sends its answers.
func (e *Entry) receiveRollout(s *session, raw frame.Raw) {
	if raw.Kind == frame.KindChange {
		// Before the document comes into force, which announces it to all others. A
		// frame that cannot be decoded is refused below.
		if m, err := frame.Decode[frame.Change](raw, frame.KindChange); err == nil && m.Topic == frame.TopicDocument {
			s.announced(m.To)
		}
	}
	answers, err := e.rollout.Receive(raw)
	if err != nil {
		e.metrics.Count("protocol_errors", 1)
		e.log.Warn("refused message", "peer", s.name, "error", err)
	}
	for _, m := range answers {
		s.send(m.Kind, m.Body)
	}
}

// deliver hands a ticket to the request that asked for it.
func (s *session) deliver(t frame.Ticket) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if to, found := s.tickets[t.ID]; found {
		delete(s.tickets, t.ID)
		to <- t
	}
}

// issue asks the agent for a ticket.
func (s *session) issue(ctx context.Context, organisation, target string) (frame.Ticket, error) {
	to := make(chan frame.Ticket, 1)
	s.mu.Lock()
	s.next++
	id := s.next
	s.tickets[id] = to
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		delete(s.tickets, id)
		s.mu.Unlock()
	}()
	s.send(frame.KindIssue, frame.Issue{ID: id, Organisation: organisation, Model: target})
	select {
	case t := <-to:
		return t, nil
	case <-s.conn.Context().Done():
		return frame.Ticket{}, errGone
	case <-ctx.Done():
		return frame.Ticket{}, ctx.Err()
	}
}
