package coordinator

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"damasktrail.dev"
	"damasktrail.dev/dispatch"
	"damasktrail.dev/fleet"
	"damasktrail.dev/group"
)

const (
	// queuedDelay is how long an ask may wait before the client is told that it
	// waits. Most asks get a slot sooner.
	queuedDelay = 5 * time.Millisecond
	// minHoldingAge is the age from which an ask must appear in the holdings of its
	// client. It covers the time that messages take.
	minHoldingAge = 500 * time.Millisecond
	// resendAge is the age from which a reply that the client does not know of is
	// sent again.
	resendAge = 100 * time.Millisecond
	// maxAsksPerClient bounds the asks and slots of one client.
	maxAsksPerClient = 4096
)

// Scheduler assigns requests to endpoints. [dispatch.Scheduler] implements it.
type Scheduler interface {
	// Ready reports whether the scheduler knows any endpoint.
	Ready() bool
	// Acquire waits for a slot, or returns a refusal.
	Acquire(ctx context.Context, r dispatch.Request) (*dispatch.Grant, *damasktrail.Refusal)
}

// Lists tells a server how new the lists are by which its scheduler decides. Its methods
// must not block.
type Lists interface {
	// Revisions returns how far the lists are known: not at all until they have been the
	// newest at some time since the start.
	Revisions() Revisions
}

// Revisions are those of the directory up to which an entry knows the lists by which it
// decides.
type Revisions struct {
	Endpoints, Evacuations uint64
}

// Server grants slots of its scheduler to other entries. It is safe for concurrent
// use.
type Server struct {
	scheduler Scheduler
	lists     Lists
	// notices has the limits that the scheduler keeps to.
	notices *fleet.Notices
	clock   damasktrail.Clock
	tasks   *group.Group
	log     *slog.Logger
	// send sends a message to a client without blocking.
	send func(client string, datagram []byte)

	mu sync.Mutex
	// clients is keyed by name.
	clients map[string]*clientState
}

// clientState has the asks of one incarnation of a client.
type clientState struct {
	boot uint64
	asks map[uint64]*pendingAsk
}

// pendingAsk is an ask that waits, or that has got a slot which is not given back.
type pendingAsk struct {
	cancel context.CancelFunc
	// grant is nil while the ask waits.
	grant *dispatch.Grant
	// reply is the last message sent about the ask; nil before the first.
	reply *message
	// changedAt is the time of the ask or of its last reply.
	changedAt time.Time
}

// NewServer returns a server that grants the slots of the scheduler, which decides by the
// lists. What clients report of limits is added to the notices.
func NewServer(scheduler Scheduler, lists Lists, notices *fleet.Notices, clock damasktrail.Clock, tasks *group.Group, log *slog.Logger, send func(client string, datagram []byte)) *Server {
	return &Server{scheduler: scheduler, lists: lists, notices: notices, clock: clock, tasks: tasks, log: log, send: send, clients: map[string]*clientState{}}
}

// receive handles a message of a client.
func (s *Server) receive(client string, m message) {
	switch m.Kind {
	case kindAsk:
		s.ask(client, m)
	case kindStarted:
		if a := s.find(client, m); a != nil {
			a.Started(m.load())
		}
	case kindDone:
		if a := s.find(client, m); a != nil {
			a.Stated(m.load())
		}
		s.end(client, m, m.Result, bounded(m.PaceNanos))
	case kindCancelled:
		s.end(client, m, dispatch.Cancelled, 0)
	case kindHoldings:
		s.reconcile(client, m)
	default:
	}
}

// ask lets a new ask wait for a slot. It answers a repeated one with its last reply.
func (s *Server) ask(client string, m message) {
	if m.Ask == nil {
		return
	}
	if !m.Ask.valid() {
		s.sendMessage(client, message{Kind: kindRefused, Boot: m.Boot, ID: m.ID, Refusal: &refusal{
			Reason: damasktrail.ReasonTooLarge, Detail: "the ask has a number out of its range",
		}})
		return
	}
	now := s.clock.Now()
	s.notices.MergeLimits(m.Ask.Limits[:min(maxLimits, len(m.Ask.Limits))], now)
	s.mu.Lock()
	c := s.client(client, m.Boot)
	if a := c.asks[m.ID]; a != nil {
		reply := a.reply
		s.mu.Unlock()
		s.reply(client, m, reply)
		return
	}
	if len(c.asks) >= maxAsksPerClient || !s.scheduler.Ready() {
		s.mu.Unlock()
		s.sendMessage(client, message{Kind: kindUnknown, Boot: m.Boot, ID: m.ID})
		return
	}
	ctx, cancel := context.WithCancel(s.tasks.Context())
	a := &pendingAsk{cancel: cancel, changedAt: now}
	c.asks[m.ID] = a
	s.mu.Unlock()
	if !s.tasks.Go(func(context.Context) { s.acquire(ctx, client, m, a) }) {
		cancel()
	}
}

// reply sends the last reply about an ask, or that it waits.
func (s *Server) reply(client string, m message, reply *message) {
	if reply == nil {
		reply = &message{Kind: kindQueued, Boot: m.Boot, ID: m.ID}
	}
	s.sendMessage(client, *reply)
}

// acquire waits for a slot and tells the client the result.
func (s *Server) acquire(ctx context.Context, client string, m message, a *pendingAsk) {
	stop := s.clock.Schedule(queuedDelay, func(time.Time) {
		s.mu.Lock()
		waits := a.reply == nil
		s.mu.Unlock()
		if waits {
			s.reply(client, m, nil)
		}
	})
	grant, refused := s.scheduler.Acquire(ctx, m.Ask.request(client))
	stop()
	reply := message{Kind: kindGranted, Boot: m.Boot, ID: m.ID}
	if refused != nil {
		reply.Kind, reply.Refusal = kindRefused, newRefusal(refused)
	} else {
		reply.Slot = newSlot(grant, s.lists.Revisions())
	}
	s.mu.Lock()
	c := s.clients[client]
	known := c != nil && c.boot == m.Boot && c.asks[m.ID] == a
	a.reply, a.grant, a.changedAt = &reply, grant, s.clock.Now()
	s.mu.Unlock()
	if !known {
		if grant != nil {
			grant.Done(dispatch.Cancelled, 0)
		}
		return
	}
	s.sendMessage(client, reply)
}

// find returns the grant of an ask, nil when there is none.
func (s *Server) find(client string, m message) *dispatch.Grant {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.clients[client]
	if c == nil || c.boot != m.Boot || c.asks[m.ID] == nil {
		return nil
	}
	return c.asks[m.ID].grant
}

// end removes an ask and releases its slot.
func (s *Server) end(client string, m message, result dispatch.Result, pace time.Duration) {
	s.mu.Lock()
	c := s.clients[client]
	if c == nil || c.boot != m.Boot || c.asks[m.ID] == nil {
		s.mu.Unlock()
		return
	}
	a := c.asks[m.ID]
	delete(c.asks, m.ID)
	grant := a.grant
	s.mu.Unlock()
	a.cancel()
	if grant != nil {
		grant.Done(result, pace)
	}
}

// reconcile compares the holdings of a client with its asks. It releases what the
// client no longer has, and tells the client again what it seems not to know: any
// message may have been lost.
func (s *Server) reconcile(client string, m message) {
	now := s.clock.Now()
	listed := make(map[uint64]bool, len(m.Waiting)+len(m.Held))
	var gone []uint64
	slots := 0
	var replies []message
	s.mu.Lock()
	c := s.client(client, m.Boot)
	for _, id := range m.Waiting {
		listed[id] = true
		switch a := c.asks[id]; {
		case a == nil:
			replies = append(replies, message{Kind: kindUnknown, Boot: m.Boot, ID: id})
		case a.reply != nil && now.Sub(a.changedAt) > resendAge:
			replies = append(replies, *a.reply)
		}
	}
	for _, id := range m.Held {
		listed[id] = true
		if c.asks[id] == nil {
			replies = append(replies, message{Kind: kindUnknown, Boot: m.Boot, ID: id})
		}
	}
	for id, a := range c.asks {
		if !listed[id] && now.Sub(a.changedAt) > minHoldingAge {
			gone = append(gone, id)
			if a.grant != nil {
				slots++
			}
		}
	}
	s.mu.Unlock()
	for _, r := range replies {
		s.sendMessage(client, r)
	}
	for _, id := range gone {
		s.end(client, message{Boot: m.Boot, ID: id}, dispatch.Cancelled, 0)
	}
	if slots > 0 {
		s.log.Info("slots released that the client does not hold", "client", client, "slots", slots)
	}
}

// Forget releases all slots of an incarnation of a client that is gone.
func (s *Server) Forget(client string, boot uint64) {
	s.mu.Lock()
	c := s.clients[client]
	if c == nil || c.boot != boot {
		s.mu.Unlock()
		return
	}
	grants := c.end()
	delete(s.clients, client)
	s.mu.Unlock()
	s.release(client, grants)
}

// client returns the state of a client's incarnation. The state of an earlier
// incarnation is released. It is called with mu held.
func (s *Server) client(name string, boot uint64) *clientState {
	c := s.clients[name]
	if c != nil && c.boot == boot {
		return c
	}
	if grants := c.end(); len(grants) > 0 {
		s.tasks.Go(func(context.Context) { s.release(name, grants) })
	}
	c = &clientState{boot: boot, asks: map[uint64]*pendingAsk{}}
	s.clients[name] = c
	return c
}

// end cancels all asks and returns the grants. It is called with the mutex of the
// server held, and c may be nil.
func (c *clientState) end() (res []*dispatch.Grant) {
	if c == nil {
		return nil
	}
	for _, a := range c.asks {
		a.cancel()
		if a.grant != nil {
			res = append(res, a.grant)
		}
	}
	return res
}

// release gives the slots of a lost client back.
func (s *Server) release(client string, grants []*dispatch.Grant) {
	for _, g := range grants {
		g.Done(dispatch.Cancelled, 0)
	}
	if len(grants) > 0 {
		s.log.Info("slots of a lost client released", "client", client, "slots", len(grants))
	}
}

func (s *Server) sendMessage(client string, m message) {
	datagram, err := encode(m)
	if err != nil {
		s.log.Error("message cannot be encoded", "client", client, "error", err)
		return
	}
	s.send(client, datagram)
}
