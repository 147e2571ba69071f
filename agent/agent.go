// Package agent is the process beside one endpoint. It owns what the endpoint
// runs: the waiting queue, the limit on work inside the endpoint, the drain,
// the ledger of tickets and the record of crashes. One goroutine owns this
// state; others relay answers. Start from [New].
package agent

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"damasktrail.dev"
	"damasktrail.dev/document"
	"damasktrail.dev/frame"
	"damasktrail.dev/group"
	"damasktrail.dev/limit"
	"damasktrail.dev/link"
	"damasktrail.dev/queue"
	"damasktrail.dev/rollout"
	"damasktrail.dev/telemetry"
	"damasktrail.dev/ticket"
)

const (
	// tick is the interval of deadline checks.
	tick = 50 * time.Millisecond
	// healthInterval and healthTimeout bound how long a dead endpoint gets work.
	healthInterval = 500 * time.Millisecond
	healthTimeout  = 2 * time.Second
	// window is the length of one measurement of the endpoint's speed.
	window = time.Second
	// keptBytes bounds the answers kept for callers that send a ticket again.
	keptBytes = 8 << 20
	// commands is the room for events on the way to the control goroutine.
	commands = 1024
)

// Agent is one running agent.
type Agent struct {
	settings    Settings
	clock       damasktrail.Clock
	engine      damasktrail.Engine
	metrics     *telemetry.Metrics
	log         *slog.Logger
	listener    *link.Listener
	tasks       *group.Group
	documents   *document.Holder
	rollout     *rollout.Rollout
	incarnation string
	started     time.Time

	// events reach the control goroutine in order.
	events chan func(c *control, now time.Time)
	// report is what ends, refusals and heartbeats carry. The control goroutine
	// replaces it after each event.
	report atomic.Pointer[damasktrail.Load]
	// leaving is true from the start of the drain.
	leaving atomic.Bool
	// ordering serialises orders to the endpoint.
	ordering sync.Mutex
	// drained is closed when nothing is left to run after Leave.
	drained chan struct{}

	// The rest belongs to the control goroutine.
	control    *control
	issuer     *ticket.Issuer
	entries    map[*entryLink]struct{}
	recordings map[string]*recording
}

// New binds the agent's address, which fails while another agent of the VM
// holds it, and returns an agent that serves after Start.
func New(s Settings, t *tls.Config, e damasktrail.Engine, clock damasktrail.Clock, tasks *group.Group, m *telemetry.Metrics, log *slog.Logger) (res *Agent, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("set up agent %s: %w", s.Name, err)
		}
	}()
	listener, err := link.Listen(s.Listen, t)
	if err != nil {
		return nil, err
	}
	incarnation := rand.Text()
	secret := make([]byte, 32)
	_, _ = rand.Read(secret) // It never fails.
	var crash [8]byte
	_, _ = rand.Read(crash[:])
	issuer := ticket.NewIssuer(s.Name, incarnation, secret, clock.Now())
	documents := document.NewHolder()
	res = &Agent{
		settings:    s,
		clock:       clock,
		engine:      e,
		metrics:     m,
		log:         log,
		listener:    listener,
		tasks:       tasks,
		documents:   documents,
		rollout:     rollout.New(documents, nil, m.Count),
		incarnation: incarnation,
		started:     clock.Now(),
		events:      make(chan func(*control, time.Time), commands),
		drained:     make(chan struct{}),
		control: newControl(queue.Limits{Requests: s.Waiting, Prefill: s.Tokens}, newLimit(s),
			ticket.NewLedger(issuer, keptBytes), binary.BigEndian.Uint64(crash[:])),
		issuer:     issuer,
		entries:    map[*entryLink]struct{}{},
		recordings: map[string]*recording{},
	}
	res.control.service = s.Kind == document.KindService
	res.publish()
	return res, nil
}

// Start begins to serve. It returns at once.
func (a *Agent) Start() {
	a.tasks.Go(a.runControl)
	a.tasks.Go(a.accept)
	a.tasks.Go(a.follow)
	a.clock.Subscribe(tick, func(time.Time) { a.post(a.expire) })
	a.clock.Subscribe(healthInterval, a.check)
	a.clock.Subscribe(window, func(time.Time) { a.post((*control).measure) })
	a.clock.Subscribe(beatCheck, func(time.Time) { a.post(a.beatDue) })
	a.clock.Subscribe(orderInterval, func(time.Time) { a.order() })
	a.log.Info("started", "address", a.listener.Address(), "incarnation", a.incarnation)
}

// Address returns the address for entries.
func (a *Agent) Address() string {
	return a.listener.Address()
}

// Ready reports whether the agent has a document and its endpoint is healthy.
func (a *Agent) Ready() bool {
	return a.documents.Load() != nil && a.report.Load().Limit > 0 && !a.leaving.Load()
}

// post hands an event to the control goroutine.
func (a *Agent) post(f func(c *control, now time.Time)) {
	select {
	case a.events <- f:
	case <-a.tasks.Context().Done():
	}
}

// runControl is the control goroutine.
func (a *Agent) runControl(ctx context.Context) {
	for {
		select {
		case f := <-a.events:
			f(a.control, a.clock.Now())
			a.publish()
		case <-ctx.Done():
			return
		}
	}
}

func (a *Agent) publish() {
	load := a.control.load()
	a.report.Store(&load)
}

func (a *Agent) expire(c *control, now time.Time) {
	c.expire(now)
	if a.rollout.Generation() == 0 {
		a.requestDocument(now)
	}
	if c.drained(now) {
		select {
		case <-a.drained:
		default:
			close(a.drained)
		}
	}
}

// check asks the endpoint for its health.
func (a *Agent) check(time.Time) {
	ctx, cancel := context.WithTimeout(a.tasks.Context(), healthTimeout)
	err := a.engine.Healthy(ctx)
	cancel()
	a.post(func(c *control, now time.Time) {
		if was := c.healthy; was != (err == nil) {
			a.log.Info("health changed", "healthy", err == nil, "error", err)
			defer a.beatAll(c, now)
		}
		c.health(err == nil, now)
	})
}

// follow adopts each document that comes into force.
func (a *Agent) follow(ctx context.Context) {
	for {
		changed := a.documents.Changed()
		if d := a.documents.Load(); d != nil {
			a.log.Info("document in force", "generation", d.Generation)
			a.post(func(c *control, now time.Time) {
				c.adopt(d)
				a.requestDocument(now)
			})
			a.order()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// Leave begins the drain: no new work, all running work is finished.
func (a *Agent) Leave() {
	if a.leaving.Swap(true) {
		return
	}
	a.log.Info("leaving")
	a.post(func(c *control, now time.Time) {
		c.leave(now)
		for e := range a.entries {
			e.send(frame.KindLeave, frame.Leave{})
		}
	})
}

// Drain leaves and waits until nothing runs or ctx ends.
func (a *Agent) Drain(ctx context.Context) error {
	a.Leave()
	select {
	case <-a.drained:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("drain agent %s: %w", a.settings.Name, ctx.Err())
	}
}

// Close closes all connections.
func (a *Agent) Close() error {
	return a.listener.Close()
}

// newLimit returns the limit on requests inside the endpoint.
func newLimit(s Settings) *limit.Limit {
	res := limit.Defaults()
	if s.Kind == document.KindService {
		res = limit.ServiceDefaults()
	}
	res.Max = s.Inflight
	res.Min = min(res.Min, s.Inflight)
	return limit.New(res)
}
