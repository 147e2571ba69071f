// Package agent implements the process beside one endpoint. It decides what the
// endpoint runs and holds the waiting queue, the concurrency limit of the
// endpoint, the drain, the ticket ledger and the record of crashes. One control
// goroutine owns this state; other goroutines relay answers. Start from [New].
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
	// expireInterval is the interval between checks for passed deadlines.
	expireInterval = 50 * time.Millisecond
	// healthInterval and healthTimeout bound the time for which a dead endpoint
	// still gets requests.
	healthInterval = 500 * time.Millisecond
	healthTimeout  = 2 * time.Second
	// speedWindow is the length of one window of the speed measurement.
	speedWindow = time.Second
	// maxKeptAnswerBytes bounds the answers kept for callers that resend a
	// ticket.
	maxKeptAnswerBytes = 8 << 20
	// eventQueueSize is the capacity of the control goroutine's event queue.
	eventQueueSize = 1024
)

// Agent is the agent of one endpoint.
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

	// events holds the functions that the control goroutine runs, in order.
	events chan func(c *control, now time.Time)
	// latestLoad is the load that heartbeats, refusals and the last frames of
	// answers carry. The control goroutine replaces it after each event.
	latestLoad atomic.Pointer[damasktrail.Load]
	// leaving is true from the start of the drain.
	leaving atomic.Bool
	// orderMu serialises orders to the endpoint.
	orderMu sync.Mutex
	// drained is closed when no request waits or runs after Leave.
	drained chan struct{}

	// The fields below are owned by the control goroutine.
	control    *control
	issuer     *ticket.Issuer
	entries    map[*entryLink]struct{}
	recordings map[string]*recording
}

// New returns an agent that serves after Start. It binds the agent's address,
// which fails while another agent of the VM holds it.
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
		events:      make(chan func(*control, time.Time), eventQueueSize),
		drained:     make(chan struct{}),
		control: newControl(queue.Limits{Requests: s.Waiting, Prefill: s.Tokens}, newLimit(s),
			ticket.NewLedger(issuer, maxKeptAnswerBytes), binary.BigEndian.Uint64(crash[:])),
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
	a.tasks.Go(a.watchDocuments)
	a.clock.Subscribe(expireInterval, func(time.Time) { a.post(a.expire) })
	a.clock.Subscribe(healthInterval, a.checkHealth)
	a.clock.Subscribe(speedWindow, func(time.Time) { a.post((*control).measure) })
	a.clock.Subscribe(heartbeatCheckInterval, func(time.Time) { a.post(a.sendDueHeartbeats) })
	a.clock.Subscribe(orderInterval, func(time.Time) { a.sendOrder() })
	a.log.Info("started", "address", a.listener.Address(), "incarnation", a.incarnation)
}

// Address returns the address to which entries connect.
func (a *Agent) Address() string {
	return a.listener.Address()
}

// Ready reports whether the agent has a document and its endpoint is healthy.
func (a *Agent) Ready() bool {
	return a.documents.Load() != nil && a.latestLoad.Load().Limit > 0 && !a.leaving.Load()
}

// post queues f to run on the control goroutine.
func (a *Agent) post(f func(c *control, now time.Time)) {
	select {
	case a.events <- f:
	case <-a.tasks.Context().Done():
	}
}

// apply runs f on the control goroutine and returns once its effects are published.
func (a *Agent) apply(f func(c *control, now time.Time)) {
	published := make(chan struct{})
	a.post(f)
	a.post(func(*control, time.Time) { close(published) })
	select {
	case <-published:
	case <-a.tasks.Context().Done():
	}
}

// runControl runs events on the control goroutine until ctx ends.
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
	a.latestLoad.Store(&load)
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

// checkHealth runs one health check of the endpoint.
func (a *Agent) checkHealth(time.Time) {
	ctx, cancel := context.WithTimeout(a.tasks.Context(), healthTimeout)
	err := a.engine.Healthy(ctx)
	cancel()
	a.post(func(c *control, now time.Time) {
		if was := c.healthy; was != (err == nil) {
			a.log.Info("health changed", "healthy", err == nil, "error", err)
			defer a.sendHeartbeats(c, now)
		}
		c.recordHealthCheck(err == nil, now)
	})
}

// watchDocuments applies each document that comes into force.
func (a *Agent) watchDocuments(ctx context.Context) {
	for {
		changed := a.documents.Changed()
		if d := a.documents.Load(); d != nil {
			a.log.Info("document in force", "generation", d.Generation)
			a.post(func(c *control, now time.Time) {
				c.adopt(d)
				a.requestDocument(now)
			})
			a.sendOrder()
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// Leave begins the drain: the agent takes no new requests and finishes the
// running ones.
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

// Drain begins the drain and waits until no request runs or ctx ends.
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

// newLimit returns the limit on concurrent requests at the endpoint.
func newLimit(s Settings) *limit.Limit {
	res := limit.Defaults()
	if s.Kind == document.KindService {
		res = limit.ServiceDefaults()
	}
	res.Max = s.Inflight
	res.Min = min(res.Min, s.Inflight)
	return limit.New(res)
}
