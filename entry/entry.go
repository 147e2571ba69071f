// Package entry is the process that serves callers' requests. It authenticates
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
	"damasktrail.dev/memory"
	"damasktrail.dev/rollout"
	"damasktrail.dev/suspect"
	"damasktrail.dev/telemetry"
)

const (
	// expiryInterval is the interval of the check for expired floors, ticket
	// agents and suspects.
	expiryInterval = 500 * time.Millisecond
	// eventBuffer is the capacity of the channel to the control goroutine.
	eventBuffer = 1024
	// peerCompareTimeout is how long a new entry waits for a peer to compare
	// generations with before it becomes ready without one.
	peerCompareTimeout = 3 * time.Second
)

// Entry is one running entry.
type Entry struct {
	settings    Settings
	clock       damasktrail.Clock
	source      damasktrail.Source
	metrics     *telemetry.Metrics
	log         *slog.Logger
	tasks       *group.Group
	agentDialer *link.Dialer
	peerDialer  *link.Dialer
	listener    *link.Listener
	documents   *document.Holder
	members     *member.Holder
	rollout     *rollout.Rollout
	incarnation string
	started     time.Time

	events   chan func(c *control)
	snapshot atomic.Pointer[snapshot]
	// lastContact is the time of the most recent contact with the platform, by any
	// entry, that this entry knows of, in Unix nanoseconds.
	lastContact atomic.Int64
	// expectedPeers is the number of peers to have links with.
	expectedPeers atomic.Int64
	// documentRead is true once this entry itself has read a document from the
	// platform. A peer that lags could give a new entry an older document than its
	// predecessor had before a restart.
	documentRead atomic.Bool
	// comparedWithPeer is true once generations were compared with a peer.
	comparedWithPeer atomic.Bool
	// lastRequestID is the number of the latest request of this incarnation.
	lastRequestID atomic.Uint64
	draining      atomic.Bool
	// lastLinkCheck is the time of the latest run of checkLinks, the only user of
	// the field.
	lastLinkCheck time.Time
	// memory accounts for the headers and bodies that callers hold.
	memory   *memory.Account
	gate     *gate
	limits   *limits
	stats    *requestStats
	affinity *affinity
	evidence *suspect.Evidence
}

// TLS holds the TLS configurations of an entry's connections.
type TLS struct {
	// Agents and Entries are for dialling, Listen is for accepting other entries.
	Agents, Entries, Listen *tls.Config
}

// New binds the address for other entries and returns an entry that does
// nothing until Start.
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
		agentDialer: link.NewDialer("", t.Agents),
		peerDialer:  link.NewDialer("", t.Entries),
		listener:    listener,
		documents:   documents,
		members:     members,
		rollout:     rollout.New(documents, members, m.Count),
		incarnation: rand.Text(),
		started:     clock.Now(),
		events:      make(chan func(*control), eventBuffer),
		memory:      memory.New(clock, int64(s.ClientMemoryMB)<<20),
		gate:        newGate(s.MaxOpenRequests),
		limits:      newLimits(),
		stats:       newRequestStats(),
		affinity:    newAffinity(),
		evidence:    suspect.NewEvidence(),
	}
	return res, nil
}

// Start begins to read the platform and to connect. It returns at once.
func (e *Entry) Start() {
	e.tasks.Go(e.runControl)
	e.tasks.Go(e.acceptPeers)
	e.tasks.Go(func(ctx context.Context) {
		e.watchPlatform(ctx, frame.TopicDocument, e.source.Document, e.rollout.Generation)
	})
	e.tasks.Go(func(ctx context.Context) { e.watchPlatform(ctx, frame.TopicVMs, e.source.VMs, e.rollout.VMListVersion) })
	// One subscription serves all links: one for each of 264 links would wake the
	// process 528 times a second.
	e.clock.Subscribe(linkCheckInterval, e.checkLinks)
	e.clock.Subscribe(expiryInterval, func(time.Time) { e.post(func(*control) {}) })
	e.log.Info("started", "gossip", e.listener.Address(), "incarnation", e.incarnation)
}

// Ready reports whether the entry can serve: it has a document and a VM list,
// has compared generations with a peer that answers, and has an agent that
// accepts requests. Until peerCompareTimeout after the start it also requires a
// document that it read itself; after that, a missing peer or platform no longer
// prevents readiness.
func (e *Entry) Ready() bool {
	s := e.snapshot.Load()
	if s == nil || e.members.Load() == nil || e.draining.Load() {
		return false
	}
	alone := e.expectedPeers.Load() == 0 || e.clock.Now().Sub(e.started) >= peerCompareTimeout
	if !e.comparedWithPeer.Load() && !alone {
		return false
	}
	if !e.documentRead.Load() && e.clock.Now().Sub(e.started) < peerCompareTimeout {
		return false // Wait for the platform first, unless it is down.
	}
	for _, r := range s.agents {
		if r.usable(e.clock.Now()) {
			return true
		}
	}
	return false
}

// Drain makes the entry unready, so that the load balancer sends no new
// callers, and waits until no request is open or ctx ends.
func (e *Entry) Drain(ctx context.Context) error {
	e.draining.Store(true)
	for e.gate.openCount() > 0 {
		if err := e.clock.Sleep(ctx, expiryInterval); err != nil {
			return fmt.Errorf("drain entry %s: %w", e.settings.Name, err)
		}
	}
	return nil
}

// Close closes all links.
func (e *Entry) Close() error {
	e.agentDialer.Close()
	e.peerDialer.Close()
	return e.listener.Close()
}

// Address returns the address for other entries.
func (e *Entry) Address() string {
	return e.listener.Address()
}

// Callers returns the HTTP handler for callers.
func (e *Entry) Callers() http.Handler {
	return e.routes()
}
