// Package entry is the process that takes callers' requests. It authenticates
// the organisation, chooses an agent, relays the answer and retries where that
// is safe. Entries learn documents and VM lists from the platform and from each
// other. Start from [New].
package entry

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"fmt"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"damasktrail.dev"
	"damasktrail.dev/document"
	"damasktrail.dev/frame"
	"damasktrail.dev/group"
	"damasktrail.dev/link"
	"damasktrail.dev/member"
	"damasktrail.dev/rollout"
	"damasktrail.dev/telemetry"
)

const (
	// tick is the interval at which floors, guests and suspects expire.
	tick = 500 * time.Millisecond
	// events is the room for events on the way to the control goroutine.
	events = 1024
	// compareGrace is how long a new entry waits for a peer to compare with.
	compareGrace = 3 * time.Second
)

// Entry is one running entry.
type Entry struct {
	settings    Settings
	clock       damasktrail.Clock
	source      damasktrail.Source
	metrics     *telemetry.Metrics
	log         *slog.Logger
	tasks       *group.Group
	agents      *link.Dialer
	entries     *link.Dialer
	listener    *link.Listener
	documents   *document.Holder
	members     *member.Holder
	rollout     *rollout.Rollout
	incarnation string
	started     time.Time

	events   chan func(c *control)
	snapshot atomic.Pointer[snapshot]
	// contact is the time of the freshest contact with the platform that this
	// entry knows of, in Unix nanoseconds.
	contact atomic.Int64
	// expected is the number of peers to have links with.
	expected atomic.Int64
	// read is true once this entry itself has read a document from the platform.
	// A peer that lags could give a new entry an older one than its predecessor
	// had.
	read atomic.Bool
	// compared is true once generations were compared with a peer.
	compared atomic.Bool
	// serial numbers the requests of this incarnation.
	serial   atomic.Uint64
	stopping atomic.Bool
	// checked is the time of the latest check of links; only that check uses it.
	checked  time.Time
	gate     *gate
	limits   *limits
	learned  *learned
	affinity *affinity
}

// TLS holds the settings of an entry's connections.
type TLS struct {
	// Agents and Entries are for dialling, Listen for accepting entries.
	Agents, Entries, Listen *tls.Config
}

// New binds the address for other entries and returns an entry that works after
// Start.
func New(s Settings, t TLS, source damasktrail.Source, clock damasktrail.Clock, tasks *group.Group, m *telemetry.Metrics, log *slog.Logger) (res *Entry, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("set up entry %s: %w", s.Name, err)
		}
	}()
	listener, err := link.Listen(s.Gossip, t.Listen)
	if err != nil {
		return nil, err
	}
	documents, members := document.NewHolder(), member.NewHolder()
	res = &Entry{
		settings:    s,
		clock:       clock,
		source:      source,
		metrics:     m,
		log:         log,
		tasks:       tasks,
		agents:      link.NewDialer("", t.Agents),
		entries:     link.NewDialer("", t.Entries),
		listener:    listener,
		documents:   documents,
		members:     members,
		rollout:     rollout.New(documents, members, m.Count),
		incarnation: rand.Text(),
		started:     clock.Now(),
		events:      make(chan func(*control), events),
		gate:        newGate(s.Open),
		limits:      newLimits(),
		learned:     newLearned(),
		affinity:    newAffinity(),
	}
	return res, nil
}

// Start begins to read the platform and to connect. It returns at once.
func (e *Entry) Start() {
	e.tasks.Go(e.runControl)
	e.tasks.Go(e.acceptPeers)
	e.tasks.Go(func(ctx context.Context) { e.watch(ctx, frame.TopicDocument, e.source.Document, e.rollout.Generation) })
	e.tasks.Go(func(ctx context.Context) { e.watch(ctx, frame.TopicVMs, e.source.VMs, e.rollout.Members) })
	// One subscription for all links: 264 would wake the process 528 times a second.
	e.clock.Subscribe(watchInterval, e.checkLinks)
	e.clock.Subscribe(tick, func(time.Time) { e.post(func(*control) {}) })
	e.log.Info("started", "gossip", e.listener.Address(), "incarnation", e.incarnation)
}

// Ready reports whether the entry can serve: it has a document and a VM list,
// has compared generations with a peer that answers, and has an agent.
func (e *Entry) Ready() bool {
	s := e.snapshot.Load()
	if s == nil || e.members.Load() == nil || e.stopping.Load() {
		return false
	}
	alone := e.expected.Load() == 0 || e.clock.Now().Sub(e.started) >= compareGrace
	if !e.compared.Load() && !alone {
		return false
	}
	if !e.read.Load() && e.clock.Now().Sub(e.started) < compareGrace {
		return false // Unless the platform is down, it is asked first.
	}
	for _, r := range s.agents {
		if r.usable(e.clock.Now()) {
			return true
		}
	}
	return false
}

// Drain makes the entry unready, so that the balancer sends no new callers, and
// waits until no request is open or ctx ends.
func (e *Entry) Drain(ctx context.Context) error {
	e.stopping.Store(true)
	for e.gate.open() > 0 {
		if err := e.clock.Sleep(ctx, tick); err != nil {
			return fmt.Errorf("drain entry %s: %w", e.settings.Name, err)
		}
	}
	return nil
}

// Close closes all links.
func (e *Entry) Close() error {
	e.agents.Close()
	e.entries.Close()
	return e.listener.Close()
}

// Address returns the address for other entries.
func (e *Entry) Address() string {
	return e.listener.Address()
}

// Callers returns the handler for callers.
func (e *Entry) Callers() http.Handler {
	return e.routes()
}
