package coordinator

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"damasktrail.dev"
	"damasktrail.dev/dispatch"
	"damasktrail.dev/fleet"
)

const (
	// askInterval is the time after which an ask without a reply is sent again. It
	// doubles each time.
	askInterval = 30 * time.Millisecond
	// maxAsks is the number of times that an ask is sent to one coordinator before
	// the next one is asked.
	maxAsks = 3
	// checkInterval is the time between checks that the coordinator of a waiting ask
	// is still there.
	checkInterval = 100 * time.Millisecond
	// unresponsiveTime is how long a coordinator that did not reply is not asked.
	unresponsiveTime = time.Second
	// outdatedTime is how long a coordinator that granted a slot by outdated lists is asked
	// only after the others.
	outdatedTime = time.Second
	// holdingsInterval is the time between two lists of holdings.
	holdingsInterval = 200 * time.Millisecond
	// emptyHoldingsTime is how long a coordinator gets lists, also empty ones, after
	// the last ask was made, withdrawn or its slot given back. The message that did so
	// and a few lists may be lost, and a slot must be older than minHoldingAge to be
	// released by a list.
	emptyHoldingsTime = 2 * time.Second
	// maxClosures bounds the endpoints that one ask lists as closed to the entry, so
	// that it fits into one packet.
	maxClosures = 24
	// maxLimits bounds the reports about limits in one ask, for the same reason.
	maxLimits = 8
	// maxReturnedSlots is the number of slots at closed endpoints that a request gives
	// back before it is refused, and closedRetryAfter the retry delay of that refusal.
	maxReturnedSlots = 8
	closedRetryAfter = 200 * time.Millisecond
)

// Fleet tells a client which coordinators there are. Its methods must not block.
type Fleet interface {
	// Candidates returns the coordinators in the order in which this entry asks
	// them. This entry itself ends the list if it is one.
	Candidates() []string
	// Available reports whether an entry is a coordinator, has been heard from
	// recently and is not shutting down.
	Available(name string) bool
	// Alive reports whether an entry still counts the slots that it has granted.
	Alive(name string) bool
	// Outdated reports whether lists of those revisions are too old to send by them.
	Outdated(lists Revisions) bool
	// Send sends a datagram to an entry.
	Send(name string, datagram []byte)
}

// Client gets slots from the coordinators of a fleet. It is safe for concurrent use.
type Client struct {
	name  string
	boot  uint64
	fleet Fleet
	// local assigns requests to endpoints when this entry is a coordinator or none
	// replies.
	local Scheduler
	// notices has what endpoints say of themselves.
	notices *fleet.Notices
	clock   damasktrail.Clock
	log     *slog.Logger

	mu     sync.Mutex
	lastID uint64
	// waiting has the asks without a slot, held those with one.
	waiting map[uint64]*waitingAsk
	held    map[uint64]*Slot
	// unresponsive has the time until which a coordinator is not asked.
	unresponsive map[string]time.Time
	// outdated has the time until which a coordinator is asked only after the others.
	outdated map[string]time.Time
	// lastUse has the time at which an ask or slot at a coordinator last began or
	// ended, by the name of the coordinator.
	lastUse map[string]time.Time
}

// waitingAsk is an ask at a coordinator.
type waitingAsk struct {
	coordinator string
	// replies receives messages about the ask. Messages that find it full are
	// dropped; the coordinator sends them again.
	replies chan message
}

// Slot is a slot at an endpoint, held for one attempt. It is used by one goroutine
// and must be released by Done.
type Slot struct {
	// Endpoint is the endpoint to send the request to.
	Endpoint fleet.Endpoint
	// Choice records why the endpoint was chosen.
	Choice dispatch.Choice
	// Coordinator is the entry that granted the slot.
	Coordinator string

	// lists are the revisions of the lists by which the coordinator granted the slot.
	lists Revisions
	// grant is set when the slot is one of this entry's own scheduler.
	grant  *dispatch.Grant
	client *Client
	id     uint64
	prompt int
	// started, done and orphaned are guarded by the client's mutex. orphaned says that
	// the coordinator does not know the slot, since it has been restarted.
	started, done, orphaned bool
	// load is what the answer states of the load of the endpoint, as it was at statedAt. It
	// is guarded by the client's mutex.
	load     fleet.StatedLoad
	statedAt time.Time
}

// NewClient returns a client for the entry of that name. boot must differ between
// two starts of the process.
func NewClient(name string, boot uint64, peers Fleet, local Scheduler, notices *fleet.Notices, clock damasktrail.Clock, log *slog.Logger) *Client {
	return &Client{
		name: name, boot: boot, fleet: peers, local: local, notices: notices, clock: clock, log: log,
		waiting: map[uint64]*waitingAsk{}, held: map[uint64]*Slot{}, unresponsive: map[string]time.Time{}, outdated: map[string]time.Time{}, lastUse: map[string]time.Time{},
	}
}

// Start sends lists of holdings to the coordinators until cancel is called.
func (c *Client) Start() (cancel func()) {
	return c.clock.Subscribe(holdingsInterval, c.sendHoldings)
}

// Acquire waits for a slot. It returns a refusal, always [damasktrail.NotRun], when
// none will be free in time or ctx ends. When no coordinator replies, the entry's own
// scheduler decides. A slot at an endpoint that has said meanwhile that it wants no
// requests from this entry is given back.
func (c *Client) Acquire(ctx context.Context, r dispatch.Request) (*Slot, *damasktrail.Refusal) {
	start := c.clock.Now()
	for range maxReturnedSlots {
		s, refused := c.acquire(ctx, r.WithElapsed(c.clock.Now().Sub(start)))
		if refused != nil || !c.notices.Closed(s.Endpoint, c.clock.Now()) {
			return s, refused
		}
		s.Done(dispatch.Cancelled, 0)
	}
	return nil, &damasktrail.Refusal{
		Reason: damasktrail.ReasonNotReady, Outcome: damasktrail.NotRun, RetryAfter: closedRetryAfter,
		Detail: "the endpoints with free slots want no requests from this entry",
	}
}

// acquire waits for one slot. A coordinator whose lists are outdated is asked after the
// others; when none of them has newer ones, its slots are taken all the same.
func (c *Client) acquire(ctx context.Context, r dispatch.Request) (*Slot, *damasktrail.Refusal) {
	start := c.clock.Now()
	r.Closed = c.notices.Closures(r.Service, maxClosures, start)
	names, current := c.order()
	for i := 0; i < len(names) && names[i] != c.name; i++ {
		s, refused, replied := c.ask(ctx, names[i], r.WithElapsed(c.clock.Now().Sub(start)))
		if s != nil && i < current && c.fleet.Outdated(s.lists) {
			s.Done(dispatch.Cancelled, 0)
			c.recordOutdated(s.Coordinator, s.lists)
			names = append(names, s.Coordinator)
			continue
		}
		if replied {
			return s, refused
		}
	}
	grant, refused := c.local.Acquire(ctx, r.WithElapsed(c.clock.Now().Sub(start)))
	if refused != nil {
		return nil, refused
	}
	return &Slot{Endpoint: grant.Endpoint, Choice: grant.Choice, Coordinator: c.name, grant: grant}, nil
}

// order returns the coordinators to ask. Those that did not reply lately are left out. The
// first ones, current in number, are those whose lists are not known to be outdated.
func (c *Client) order() (names []string, current int) {
	candidates := c.fleet.Candidates()
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	var outdated []string
	for _, name := range candidates {
		switch {
		case name == c.name:
			names = append(names, name)
		case !c.fleet.Available(name) || now.Before(c.unresponsive[name]):
		case now.Before(c.outdated[name]):
			outdated = append(outdated, name)
		default:
			names = append(names, name)
		}
	}
	return append(names, outdated...), len(names)
}

// ask asks one coordinator for a slot. replied is false when it does not reply or is
// lost while the ask waits; the ask is withdrawn then.
func (c *Client) ask(ctx context.Context, name string, r dispatch.Request) (s *Slot, refused *damasktrail.Refusal, replied bool) {
	w := &waitingAsk{coordinator: name, replies: make(chan message, 2)}
	c.mu.Lock()
	c.lastID++
	id := c.lastID
	c.waiting[id] = w
	c.lastUse[name] = c.clock.Now()
	c.mu.Unlock()
	defer func() {
		if s == nil {
			c.withdraw(id, name, replied && refused != nil && ctx.Err() == nil)
		}
	}()
	request := message{Kind: kindAsk, Boot: c.boot, ID: id, Ask: newAsk(r, c.notices.ReportLimits(r.Service, maxLimits, c.clock.Now()))}
	c.send(name, request)
	queued := false
	for asks, wait := 1, askInterval; ; {
		m, ok := c.next(ctx, w, wait)
		switch {
		case ctx.Err() != nil:
			return nil, &damasktrail.Refusal{Reason: damasktrail.ReasonCancelled, Outcome: damasktrail.NotRun, Detail: "the caller left while the request waited"}, true
		case ok && m.Kind == kindGranted && m.Slot != nil:
			return c.hold(id, name, r.Prompt, m.Slot), nil, true
		case ok && m.Kind == kindRefused && m.Refusal != nil:
			return nil, m.Refusal.refusal(), true
		case ok && m.Kind == kindQueued:
			queued, wait = true, checkInterval
		case ok && m.Kind == kindUnknown, queued && !c.fleet.Available(name):
			return nil, nil, false
		case !queued && asks == maxAsks:
			c.recordUnresponsive(name)
			return nil, nil, false
		case !queued:
			asks++
			wait *= 2
			c.send(name, request)
		}
	}
}

// next returns the next message about an ask; ok is false when none arrives in time.
func (c *Client) next(ctx context.Context, w *waitingAsk, wait time.Duration) (m message, ok bool) {
	expired := make(chan struct{})
	cancel := c.clock.Schedule(wait, func(time.Time) { close(expired) })
	defer cancel()
	select {
	case m = <-w.replies:
		return m, true
	case <-expired:
	case <-ctx.Done():
	}
	return m, false
}

// hold records a slot that was granted.
func (c *Client) hold(id uint64, coordinator string, prompt int, s *slot) *Slot {
	res := &Slot{Endpoint: s.endpoint(), Choice: s.choice(), Coordinator: coordinator, lists: s.lists(), client: c, id: id, prompt: prompt}
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, id)
	c.held[id] = res
	return res
}

// withdraw removes an ask that got no slot. The coordinator is told unless it has
// refused the ask.
func (c *Client) withdraw(id uint64, coordinator string, refused bool) {
	c.mu.Lock()
	delete(c.waiting, id)
	c.lastUse[coordinator] = c.clock.Now()
	c.mu.Unlock()
	if !refused {
		c.send(coordinator, message{Kind: kindCancelled, Boot: c.boot, ID: id})
	}
}

func (c *Client) recordUnresponsive(name string) {
	c.mu.Lock()
	c.unresponsive[name] = c.clock.Now().Add(unresponsiveTime)
	c.mu.Unlock()
	c.log.Warn("coordinator does not reply", "coordinator", name, "asks", maxAsks)
}

// recordOutdated records that a coordinator has granted a slot by outdated lists.
func (c *Client) recordOutdated(name string, lists Revisions) {
	now := c.clock.Now()
	c.mu.Lock()
	known := now.Before(c.outdated[name])
	c.outdated[name] = now.Add(outdatedTime)
	c.mu.Unlock()
	if !known {
		c.log.Warn("coordinator decides by outdated lists", "coordinator", name, "endpoints", lists.Endpoints, "evacuations", lists.Evacuations)
	}
}

// receive handles a message of a coordinator.
func (c *Client) receive(coordinator string, m message) {
	if m.Boot != c.boot {
		return
	}
	c.mu.Lock()
	w := c.waiting[m.ID]
	held := c.held[m.ID]
	if held != nil && held.Coordinator == coordinator && m.Kind == kindUnknown {
		held.orphaned = true
	}
	c.mu.Unlock()
	switch {
	case w != nil && w.coordinator == coordinator:
		select {
		case w.replies <- m:
		default:
		}
	case m.Kind == kindGranted && (held == nil || held.Coordinator != coordinator):
		// The ask was withdrawn before the slot was granted.
		c.send(coordinator, message{Kind: kindCancelled, Boot: c.boot, ID: m.ID})
	}
}

// sendHoldings lists the asks and slots at each coordinator for it, and sends empty
// lists to those that were used in the last emptyHoldingsTime.
func (c *Client) sendHoldings(now time.Time) {
	c.mu.Lock()
	lists := make(map[string]*message, len(c.lastUse))
	list := func(name string) *message {
		if lists[name] == nil {
			lists[name] = &message{Kind: kindHoldings, Boot: c.boot}
		}
		return lists[name]
	}
	for name, at := range c.lastUse {
		if now.Sub(at) > emptyHoldingsTime {
			delete(c.lastUse, name)
			continue
		}
		list(name)
	}
	for id, w := range c.waiting {
		m := list(w.coordinator)
		m.Waiting = append(m.Waiting, id)
	}
	for id, s := range c.held {
		m := list(s.Coordinator)
		m.Held = append(m.Held, id)
	}
	c.mu.Unlock()
	for name, m := range lists {
		c.send(name, *m)
	}
}

// OrphanedLoads returns the loads of the slots whose coordinator is lost or has been
// restarted, by endpoint ID. Nobody else counts them.
func (c *Client) OrphanedLoads() map[string]dispatch.Load {
	c.mu.Lock()
	defer c.mu.Unlock()
	var res map[string]dispatch.Load
	for _, s := range c.held {
		if !s.orphaned && c.fleet.Alive(s.Coordinator) {
			continue
		}
		if res == nil {
			res = map[string]dispatch.Load{}
		}
		load := res[s.Endpoint.ID]
		load.Requests++
		if !s.started {
			load.Prompt += s.prompt
		}
		res[s.Endpoint.ID] = load
	}
	return res
}

func (c *Client) send(coordinator string, m message) {
	datagram, err := encode(m)
	if err != nil {
		c.log.Error("message cannot be encoded", "coordinator", coordinator, "error", err)
		return
	}
	c.fleet.Send(coordinator, datagram)
}

// Started records that the first byte of the answer has been received, and what the answer
// states of the load of the endpoint.
func (s *Slot) Started(load fleet.StatedLoad) {
	if s.grant != nil {
		s.grant.Started(load)
		return
	}
	c := s.client
	c.mu.Lock()
	first := !s.started && !s.done
	s.started = true
	s.setLoad(load)
	c.mu.Unlock()
	if first {
		c.send(s.Coordinator, message{Kind: kindStarted, Boot: c.boot, ID: s.id}.withLoad(load))
	}
}

// Stated records what an answer states of the load of the endpoint. The coordinator learns it
// with the next message about the slot.
func (s *Slot) Stated(load fleet.StatedLoad) {
	if s.grant != nil {
		s.grant.Stated(load)
		return
	}
	s.client.mu.Lock()
	defer s.client.mu.Unlock()
	s.setLoad(load)
}

// setLoad records a stated load. It is called with the client's mutex held.
func (s *Slot) setLoad(load fleet.StatedLoad) {
	if load.Percent > 0 {
		s.load, s.statedAt = load, s.client.clock.Now().Add(-load.Age)
	}
}

// Done releases the slot. pace is the mean time between events of the answer, zero
// when it is unknown. Calls after the first have no effect.
func (s *Slot) Done(result dispatch.Result, pace time.Duration) {
	if s.grant != nil {
		s.grant.Done(result, pace)
		return
	}
	c := s.client
	c.mu.Lock()
	done := s.done
	s.done = true
	delete(c.held, s.id)
	now := c.clock.Now()
	c.lastUse[s.Coordinator] = now
	load := s.load
	if load.Percent > 0 {
		load.Age = now.Sub(s.statedAt)
	}
	c.mu.Unlock()
	if !done {
		c.send(s.Coordinator, message{Kind: kindDone, Boot: c.boot, ID: s.id, Result: result, PaceNanos: int64(pace)}.withLoad(load))
	}
}
