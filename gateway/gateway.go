// Package gateway is an entry that sends plain HTTP requests straight to the
// endpoints that run them. It routes by host and path, admits by key and quota,
// waits for a place by tier, sends each request as often as its route allows and
// relays one whole answer or says truthfully that there is none. Start from
// [New].
package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"

	"damasktrail.dev"
	"damasktrail.dev/budget"
	"damasktrail.dev/catalog"
	"damasktrail.dev/dispatch"
	"damasktrail.dev/exchange"
	"damasktrail.dev/group"
	"damasktrail.dev/quota"
	"damasktrail.dev/routing"
	"damasktrail.dev/suspect"
	"damasktrail.dev/telemetry"
	"damasktrail.dev/upstream"
)

const (
	// idleTimeout is how long a caller's connection may stay unused. It is longer
	// than callers reuse one.
	idleTimeout = 75 * time.Second
	// headerTimeout and maxHeader bound a request's header.
	headerTimeout = 5 * time.Second
	maxHeader     = 64 << 10
	// housekeeping is the time between checks of what has expired.
	housekeeping = 20 * time.Millisecond
	// deafMargin is what a reading of the directory may be older than it seems: a
	// watch can miss changes for a second before it is cut.
	deafMargin = 1200 * time.Millisecond
	// leaveTime is how long after the start of a shutdown new connections still
	// come, since the balancer asks once a second and believes the second answer.
	leaveTime = 3 * time.Second
	// acceptTime is how long after the start of a shutdown any request is taken.
	acceptTime = 2500 * time.Millisecond
	// exitMargin is what is left of the grace for the end of the process.
	exitMargin = 400 * time.Millisecond
)

// Gateway serves callers. It is safe for use by several goroutines.
type Gateway struct {
	settings  Settings
	dialect   damasktrail.Dialect
	clock     damasktrail.Clock
	tasks     *group.Group
	log       *slog.Logger
	metrics   *telemetry.Metrics
	catalog   *catalog.Catalog
	scheduler *dispatch.Scheduler
	exchange  *exchange.Exchange
	quotas    *quota.Ledger
	pool      *upstream.Pool
	callers   *http.Server
	readiness *http.Server

	// table is the routing table that the parts work with; the catalog's changes
	// come one at a time.
	table *routing.Table
	// open counts requests in progress.
	open atomic.Int64
	// draining is the time at which the shutdown began, zero before.
	draining atomic.Pointer[time.Time]

	// ended says that the shutdown takes no request any more.
	ended atomic.Bool

	// mu guards the fields below.
	mu       sync.Mutex
	suspects *suspect.List
	losses   *losses
	// retries has the share of each service.
	retries map[string]*budget.Share
}

// New returns a gateway that does nothing until Start. Uptime is the time since
// the machine's start, suspended time included. Boot must differ between two
// starts of the process.
func New(s Settings, directory damasktrail.Directory, dialect damasktrail.Dialect, clock damasktrail.Clock, uptime func() time.Duration,
	boot uint64, tasks *group.Group, m *telemetry.Metrics, log *slog.Logger,
) (res *Gateway, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("set up gateway: %w", err)
		}
	}()
	g := &Gateway{
		settings: s, dialect: dialect, clock: clock, tasks: tasks, log: log, metrics: m,
		quotas:   quota.New(),
		suspects: suspect.New(),
		losses:   newLosses(),
		retries:  map[string]*budget.Share{},
	}
	g.pool = upstream.New(clock, tasks, func() { m.Count("connections", 1) })
	g.catalog = catalog.New(directory, clock, uptime, g.rank, log, g.adopt)
	g.scheduler = dispatch.New(clock, s.Name, s.Domain, func(urgent bool) { g.exchange.Changed(urgent) })
	g.exchange, err = exchange.New(s.Name, s.Domain, s.Peers, s.Seeds, boot, owner{g}, clock, uptime, log)
	if err != nil {
		return nil, err
	}
	g.callers = &http.Server{
		Handler:           http.HandlerFunc(g.serve),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	g.readiness = &http.Server{Handler: g.readinessHandler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	return g, nil
}

// Start begins to serve. failed is called when a listener fails later.
func (g *Gateway) Start(failed func(error)) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("start gateway: %w", err)
		}
	}()
	for _, l := range []struct {
		server  *http.Server
		address string
	}{{g.callers, g.settings.Callers}, {g.readiness, g.settings.Ready}} {
		var config net.ListenConfig
		listener, err := config.Listen(g.tasks.Context(), "tcp4", l.address)
		if err != nil {
			return err
		}
		g.tasks.Go(func(context.Context) {
			if err := l.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
				failed(err)
			}
		})
	}
	g.catalog.Start(g.tasks)
	g.exchange.Start(g.tasks)
	cancel := g.clock.Subscribe(housekeeping, g.tick)
	g.tasks.Go(func(ctx context.Context) {
		<-ctx.Done()
		cancel()
	})
	g.log.Info("started", "name", g.settings.Name, "domain", g.settings.Domain, "callers", g.settings.Callers, "peers", g.settings.Peers,
		"seeds", g.settings.Seeds, "directory", g.settings.Directory, "authenticated", false)
	return nil
}

// tick lets time pass for the parts that have no timer of their own.
func (g *Gateway) tick(now time.Time) {
	g.scheduler.Tick()
	g.pool.Expire(now)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.suspects.Expire(now)
}

// adopt takes a new snapshot of the catalog.
func (g *Gateway) adopt(s catalog.Snapshot) {
	if s.Table != nil && s.Table != g.table {
		g.logQuotas(s.Table)
		g.table = s.Table
		g.quotas.SetTable(s.Table, g.clock.Now())
	}
	g.scheduler.SetEndpoints(s.Endpoints)
	g.pool.Retain(s.Endpoints)
	g.exchange.Changed(true)
}

// logQuotas writes a line for each quota that changes.
func (g *Gateway) logQuotas(t *routing.Table) {
	for _, o := range t.Organisations() {
		if g.table != nil {
			if old, found := g.table.Named(o.Name); found && old.Rate == o.Rate && old.Burst == o.Burst {
				continue
			}
		}
		g.log.Info("quota in force", "organisation", o.Name, "rate", o.Rate, "burst", o.Burst, "tokens", o.Tokens, "table", t.Version)
	}
}

// Ready reports whether callers should come, and why not.
func (g *Gateway) Ready() (ok bool, reason string) {
	s := g.catalog.Snapshot()
	switch {
	case g.draining.Load() != nil:
		return false, "shutting down"
	case s.Table == nil:
		return false, "no routing table yet"
	case !s.Listed:
		return false, "no list of endpoints yet"
	case !g.fresh():
		return false, "the directory has not confirmed the keys in time"
	}
	return true, ""
}

// fresh reports whether keys may be trusted.
func (g *Gateway) fresh() bool {
	return g.settings.Revocation == 0 || g.catalog.Age() < g.settings.Revocation-deafMargin
}

func (g *Gateway) readinessHandler() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	e := gin.New()
	e.GET("/readyz", func(c *gin.Context) {
		if ok, reason := g.Ready(); !ok {
			c.String(http.StatusServiceUnavailable, reason)
			return
		}
		c.Status(http.StatusOK)
	})
	return e
}

// Drain stops the gateway: it reports itself as not ready, serves what still
// comes and what is open, and returns when nothing is left or the grace ends.
func (g *Gateway) Drain(ctx context.Context) {
	start := g.clock.Now()
	g.draining.Store(&start)
	g.exchange.Changed(true)
	g.log.Info("shutting down", "open", g.open.Load(), "grace", g.settings.Grace)
	end := start.Add(g.settings.Grace - exitMargin)
	for now := start; now.Before(end) && ctx.Err() == nil; now = g.clock.Now() {
		if now.Sub(start) >= leaveTime && g.open.Load() == 0 {
			g.ended.Store(true)
			// A request counts as open before it looks at ended, so one that came
			// in between is seen here.
			if g.open.Load() == 0 {
				break
			}
		}
		if g.clock.Sleep(ctx, housekeeping) != nil {
			break
		}
	}
	g.ended.Store(true)
	g.log.Info("drained", "open", g.open.Load(), "after", g.clock.Now().Sub(start).Round(time.Millisecond))
}

// leavesBefore reports whether a request that arrives now could be cut off by a
// shutdown. Requests that come early in a shutdown are served: the balancer
// still sends them, and most are done before the grace ends.
func (g *Gateway) leavesBefore(limit time.Time) bool {
	if g.ended.Load() {
		return true
	}
	start := g.draining.Load()
	if start == nil || g.clock.Now().Sub(*start) < acceptTime {
		return false
	}
	return limit.After(start.Add(g.settings.Grace - exitMargin))
}

// Close ends all connections. It is called after Drain.
func (g *Gateway) Close() error {
	err := errors.Join(g.callers.Close(), g.readiness.Close())
	g.pool.Close()
	return err
}

// retry returns the share of a service.
func (g *Gateway) retry(service string) *budget.Share {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.retries[service]
	if s == nil {
		s = budget.NewShare(g.settings.Retry.Ratio, g.settings.Retry.Slack, g.entries())
		g.retries[service] = s
	}
	return s
}

// minEntries is the number of entries that are assumed at least, so that a new
// process does not take the whole slack before it hears of its peers.
const minEntries = 3

func (g *Gateway) entries() int { return max(minEntries, 1+len(g.exchange.Peers())) }

// rank returns this entry's place among the live entries by name.
func (g *Gateway) rank() int {
	place, _ := slices.BinarySearch(g.exchange.Peers(), g.settings.Name)
	return place
}

// owner connects the exchange with the parts of the gateway.
type owner struct{ g *Gateway }

var _ exchange.Owner = owner{}

// State implements exchange.Owner.
func (o owner) State() exchange.State {
	g := o.g
	res := exchange.State{Dispatch: g.scheduler.Report(), Leaving: g.draining.Load() != nil}
	if t := g.catalog.Snapshot().Table; t != nil {
		res.Table = t.Version
	}
	return res
}

// Summary implements exchange.Owner.
func (o owner) Summary(suspects int) exchange.Summary {
	g := o.g
	g.mu.Lock()
	defer g.mu.Unlock()
	return exchange.Summary{Usage: g.quotas.Usage(), Suspects: g.suspects.Sample(g.clock.Now(), suspects)}
}

// Learn implements exchange.Owner.
func (o owner) Learn(peer exchange.Peer, s exchange.State) {
	o.g.catalog.Hint(s.Table)
	o.g.scheduler.SetPeer(peer.Name, s.Dispatch)
}

// LearnSummary implements exchange.Owner.
func (o owner) LearnSummary(peer exchange.Peer, s exchange.Summary) {
	g := o.g
	g.quotas.Learn(peer.String(), s.Usage, g.clock.Now())
	if len(s.Suspects) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.suspects.Merge(s.Suspects, g.clock.Now())
}

// Confirmed implements exchange.Owner.
func (o owner) Confirmed() (table uint64, age time.Duration) { return o.g.catalog.Confirmed() }

// Confirm implements exchange.Owner.
func (o owner) Confirm(table uint64, at time.Duration) { o.g.catalog.Confirm(table, at) }

// Silent implements exchange.Owner.
func (o owner) Silent(peer exchange.Peer) { o.g.scheduler.SetPeer(peer.Name, dispatch.Report{}) }

// Forget implements exchange.Owner.
func (o owner) Forget(peer exchange.Peer) {
	o.g.scheduler.SetPeer(peer.Name, dispatch.Report{})
	o.g.quotas.Forget(peer.String())
}

// PeersChanged implements exchange.Owner.
func (o owner) PeersChanged() {
	g := o.g
	entries := g.entries()
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range g.retries {
		s.SetEntries(entries)
	}
}
