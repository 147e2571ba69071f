// Package gateway is an entry that sends plain HTTP requests directly to the
// endpoints that run them. It routes by host and path, admits by key and quota,
// queues by tier, retries as often as the route allows, and relays one complete
// answer or reports truthfully that there is none. Start from [New].
package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gin-gonic/gin"

	"damasktrail.dev"
	"damasktrail.dev/budget"
	"damasktrail.dev/catalog"
	"damasktrail.dev/conns"
	"damasktrail.dev/coordinator"
	"damasktrail.dev/dispatch"
	"damasktrail.dev/exchange"
	"damasktrail.dev/fleet"
	"damasktrail.dev/group"
	"damasktrail.dev/memory"
	"damasktrail.dev/quota"
	"damasktrail.dev/routing"
	"damasktrail.dev/suspect"
	"damasktrail.dev/telemetry"
	"damasktrail.dev/upstream"
)

const (
	// idleTimeout is how long a caller's connection may stay unused. It exceeds the
	// time for which callers reuse a connection.
	idleTimeout = 75 * time.Second
	// headerTimeout and maxHeaderBytes limit the time to read a request's header and
	// its size.
	headerTimeout  = 5 * time.Second
	maxHeaderBytes = 64 << 10
	// housekeepingInterval is the time between checks for expired state.
	housekeepingInterval = 20 * time.Millisecond
	// refusedPartsInterval is the time between checks for parts of prompts that are newly
	// refused, which are logged.
	refusedPartsInterval = time.Second
	// staleWatchMargin is how much older a reading of the directory may be than its
	// measured age: a watch can miss changes for a second before it is closed.
	staleWatchMargin = 1200 * time.Millisecond
	// minDrainTime is how long new connections still arrive after the start of a
	// shutdown: the balancer probes readiness once a second and acts on the second
	// answer.
	minDrainTime = 3 * time.Second
	// drainAcceptTime is how long after the start of a shutdown requests are accepted that
	// may not have ended by its end.
	drainAcceptTime = 2500 * time.Millisecond
	// slowestAnswerMargin multiplies the time of the slowest recent answer of a route: the
	// next one may be slower.
	slowestAnswerMargin = 1.25
	// exitMargin is the part of the grace period that is reserved for the exit of
	// the process.
	exitMargin = 400 * time.Millisecond
	// closeTimeout is the part of exitMargin in which requests that arrived just before
	// the end of the shutdown are answered.
	closeTimeout = 200 * time.Millisecond
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
	// slots gets slots from the coordinators of the fleet, slotServer grants those of
	// scheduler to other entries.
	slots      *coordinator.Client
	slotServer *coordinator.Server
	quotas     *quota.Ledger
	evidence   *suspect.Evidence
	notices    *fleet.Notices
	pool       *upstream.Pool
	// memory accounts for the bytes that clients hold, callers bounds their connections;
	// callers is nil before Start. clientCounts is what was last logged.
	memory          *memory.Account
	callers         atomic.Pointer[conns.Listener]
	clientCounts    clientCounts
	callerServer    *http.Server
	readinessServer *http.Server

	// table is the routing table that the components work with. It needs no lock,
	// since the catalog delivers its changes one at a time.
	table *routing.Table
	// openRequests counts requests in progress.
	openRequests atomic.Int64
	// drainStart is the time at which the shutdown began, nil before.
	drainStart atomic.Pointer[time.Time]

	// refuseAll is true once the shutdown accepts no more requests.
	refuseAll atomic.Bool
	// drained ends with the shutdown, and with it the wait of requests for a slot.
	drained   context.Context
	endDrain  context.CancelFunc
	durations durations

	// mu guards the fields below.
	mu           sync.Mutex
	lostRequests *lostRequests
	// refusedParts has the parts of prompts that were refused when last logged.
	refusedParts []suspect.Feature
	// rampingEndpoints has the endpoints that were ramping up when last logged.
	rampingEndpoints []string
	// coldEndpoints has the endpoints that were cold when last logged.
	coldEndpoints []string
	// retryShares has the retry share of each service by name.
	retryShares map[string]*budget.Share
}

// New returns a gateway that does nothing until Start. Uptime returns the time
// since the machine booted, suspended time included. Boot must differ between two
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
		quotas:       quota.New(),
		evidence:     suspect.NewEvidence(),
		notices:      fleet.NewNotices(),
		lostRequests: newLostRequests(),
		retryShares:  map[string]*budget.Share{},
	}
	g.drained, g.endDrain = context.WithCancel(tasks.Context())
	g.pool = upstream.New(clock, tasks, func() { m.Count("connections", 1) })
	g.pool.LimitIdle(s.MaxFiles * idleParts / descriptorParts)
	g.memory = memory.New(clock, s.clientLimits().MemoryBytes)
	g.catalog = catalog.New(directory, clock, uptime, catalogFleet{g}, log, g.applySnapshot)
	g.scheduler = dispatch.New(clock, s.Name, s.Domain, g.notices, func(urgent bool) { g.exchange.Changed(urgent) })
	g.scheduler.SetColdBound(s.Cold)
	g.scheduler.SetRampUp(s.RampUp)
	g.catalog.BoundEndpoints(s.Drain)
	g.followEvacuations()
	g.scheduler.SetRegions(s.Regions)
	g.slots = coordinator.NewClient(s.Name, boot, slotFleet{g}, g.scheduler, g.notices, clock, log)
	g.slotServer = coordinator.NewServer(g.scheduler, slotLists{g}, g.notices, clock, tasks, log, func(client string, datagram []byte) { g.exchange.Send(client, datagram) })
	self := coordinator.Member{Name: s.Name, Domain: s.Domain, Millicores: s.Millicores}
	g.exchange, err = exchange.New(self, s.Peers, s.Seeds, boot, exchangeHandler{g}, clock, uptime, log)
	if err != nil {
		return nil, err
	}
	if err := errors.Join(
		g.measureWaiting(),
		g.publishClients(),
		m.Gauge("coordinator", "1 while this gateway grants the slots of its failure domain to others, else 0.", g.coordinates),
		m.Gauge("table_behind_seconds", "Time since a peer first reported a newer routing table than the one in force, 0 if none has.", func() float64 { return g.catalog.Behind().Seconds() }),
		m.Gauge("refused_parts", "Parts of prompts that are refused since crashes are blamed on them.", func() float64 { return float64(len(g.evidence.Parts())) }),
		m.Gauge("limited_endpoints", "Endpoints that limit the rate of requests, as this gateway knows.", func() float64 { return float64(len(g.notices.Limited())) }),
		m.Gauge("evacuated_domains", "Failure domains to which this gateway sends nothing.", func() float64 { return float64(len(g.scheduler.EvacuatedDomains())) }),
		m.Gauge("cold_endpoints", "Endpoints that are, or may be, in their cold start, as this gateway knows.", func() float64 { return float64(len(g.scheduler.ColdEndpoints())) }),
		m.Gauge("ramping_endpoints", "Endpoints that ramp up after a start or a recovery, as this gateway knows.", func() float64 { return float64(len(g.scheduler.RampingEndpoints())) }),
		m.Gauge("members", "Live gateways that this one knows, itself included.", func() float64 { return float64(1 + len(g.exchange.Peers())) }),
	); err != nil {
		return nil, err
	}
	g.callerServer = &http.Server{
		Handler:           http.HandlerFunc(g.serve),
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ConnContext:       conns.Context,
		ErrorLog:          slog.NewLogLogger(log.Handler(), slog.LevelDebug),
	}
	g.readinessServer = &http.Server{Handler: g.readinessHandler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}
	return g, nil
}

// Start begins to serve. It calls failed when a listener fails later.
func (g *Gateway) Start(failed func(error)) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("start gateway: %w", err)
		}
	}()
	limits := g.settings.clientLimits()
	for _, l := range []struct {
		server  *http.Server
		address string
		limits  conns.Limits
	}{
		{g.callerServer, g.settings.Callers, conns.Limits{Connections: limits.Connections, WriteTimeout: limits.ResponseStall, Account: g.memory}},
		{g.readinessServer, g.settings.Ready, conns.Limits{Connections: g.settings.OperatorConnections(), WriteTimeout: limits.ResponseStall, Account: g.memory}},
	} {
		var config net.ListenConfig
		listener, err := config.Listen(g.tasks.Context(), "tcp4", l.address)
		if err != nil {
			return err
		}
		bounded := conns.Listen(listener, g.clock, l.limits)
		l.server.ConnState = bounded.StateChanged
		if l.server == g.callerServer {
			g.callers.Store(bounded)
		}
		g.tasks.Go(func(context.Context) {
			if err := l.server.Serve(bounded); !errors.Is(err, http.ErrServerClosed) {
				failed(err)
			}
		})
	}
	g.scheduler.SetFleet(g.fleet())
	g.catalog.Start(g.tasks)
	g.exchange.Start(g.tasks)
	cancel, cancelHoldings := g.clock.Subscribe(housekeepingInterval, g.tick), g.slots.Start()
	cancelLog := g.clock.Subscribe(refusedPartsInterval, g.logRefusedParts)
	cancelCold := g.clock.Subscribe(coldLogInterval, g.logCold)
	cancelRamping := g.clock.Subscribe(rampLogInterval, g.logRamping)
	cancelClients := g.clock.Subscribe(clientReportingInterval, g.logClients)
	g.tasks.Go(func(ctx context.Context) {
		<-ctx.Done()
		cancel()
		cancelHoldings()
		cancelLog()
		cancelCold()
		cancelRamping()
		cancelClients()
	})
	g.log.Info("started", "name", g.settings.Name, "domain", g.settings.Domain, "callers", g.settings.Callers, "peers", g.settings.Peers,
		"seeds", g.settings.Seeds, "directory", g.settings.Directory, "authenticated", false)
	return nil
}

// tick drives the components that have no timer of their own.
func (g *Gateway) tick(now time.Time) {
	g.scheduler.Tick()
	g.pool.Expire(now)
	g.evidence.Expire(now)
	g.notices.Expire(now)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lostRequests.expire(now)
}

// applySnapshot applies a new snapshot of the catalog to the components.
func (g *Gateway) applySnapshot(s catalog.Snapshot) {
	if s.Table != nil && s.Table != g.table {
		g.logQuotas(s.Table)
		g.table = s.Table
		g.quotas.SetTable(s.Table, g.clock.Now())
		g.applyServices(s.Table)
	}
	g.scheduler.SetEndpoints(g.usableEndpoints(s))
	g.pool.Retain(s.Endpoints)
	g.exchange.Changed(true)
}

// logQuotas logs each quota that the table changes.
func (g *Gateway) logQuotas(t *routing.Table) {
	for _, o := range t.Organisations() {
		if g.table != nil {
			if old, found := g.table.OrganisationByName(o.Name); found && old.Rate == o.Rate && old.Burst == o.Burst {
				continue
			}
		}
		g.log.Info("quota in force", "organisation", o.Name, "rate", o.Rate, "burst", o.Burst, "tokens", o.CountsTokens, "table", t.Version)
	}
}

// Ready reports whether the gateway should receive requests, and if not, why.
func (g *Gateway) Ready() (ok bool, reason string) {
	s := g.catalog.Snapshot()
	switch {
	case g.drainStart.Load() != nil:
		return false, "shutting down"
	case s.Table == nil:
		return false, "no routing table yet"
	case !s.Listed:
		return false, "no list of endpoints yet"
	case !g.catalog.EvacuationsSettled():
		return false, "the evacuated failure domains are not known yet"
	case !g.keysTrusted():
		return false, "the directory has not confirmed the keys in time"
	}
	return true, ""
}

// keysTrusted reports whether keys were confirmed recently enough to be accepted.
func (g *Gateway) keysTrusted() bool {
	return g.settings.Revocation == 0 || g.catalog.Age() < g.settings.Revocation-staleWatchMargin
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

// Drain shuts the gateway down: it reports the gateway as not ready, serves the
// requests that are open or still arrive, and returns when none is left or the
// grace period ends.
func (g *Gateway) Drain(ctx context.Context) {
	start := g.clock.Now()
	g.drainStart.Store(&start)
	g.exchange.Announce()
	g.log.Info("shutting down", "open", g.openRequests.Load(), "grace", g.settings.Grace)
	end := start.Add(g.settings.Grace - exitMargin)
	for now := start; now.Before(end) && ctx.Err() == nil; now = g.clock.Now() {
		if now.Sub(start) >= minDrainTime && g.openRequests.Load() == 0 {
			g.refuseAll.Store(true)
			// A request increments openRequests before it reads refuseAll, so one that
			// arrived in between is counted here.
			if g.openRequests.Load() == 0 {
				break
			}
		}
		if g.clock.Sleep(ctx, housekeepingInterval) != nil {
			break
		}
	}
	g.refuseAll.Store(true)
	g.endDrain()
	g.log.Info("drained", "open", g.openRequests.Load(), "after", g.clock.Now().Sub(start).Round(time.Millisecond))
}

// refusesWhileDraining reports whether a request that arrives now must be refused
// because the shutdown could cut it off. Requests that arrive early in a shutdown
// are served, since the balancer still sends them: those that may be repeated, and others
// if the slowest recent answers of their route would end in time.
func (g *Gateway) refusesWhileDraining(c *call) bool {
	if g.refuseAll.Load() {
		return true
	}
	start := g.drainStart.Load()
	if start == nil {
		return false
	}
	end := start.Add(g.settings.Grace - exitMargin)
	if !c.deadline.After(end) {
		return false
	}
	now := g.clock.Now()
	if now.Sub(*start) >= drainAcceptTime {
		return true
	}
	if c.route.Repeatable() {
		return false
	}
	slowest := g.durations.slowest(c.route.Name, now)
	return slowest == 0 || now.Add(time.Duration(slowestAnswerMargin*float64(slowest))).After(end)
}

// Close closes all connections, those with a request once it is answered or closeTimeout has
// passed. It is called after Drain.
func (g *Gateway) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	err := g.callerServer.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		g.log.Info("connections closed", "open", g.openRequests.Load())
		err = g.callerServer.Close()
	}
	err = errors.Join(err, g.readinessServer.Close())
	g.pool.Close()
	return err
}

// retryShare returns the retry share of a service and creates it on first use.
func (g *Gateway) retryShare(service string) *budget.Share {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.retryShares[service]
	if s == nil {
		s = budget.NewShare(g.settings.Retry.Ratio, g.settings.Retry.Slack, g.entryCount())
		g.retryShares[service] = s
	}
	return s
}

// coordinates returns 1 if this entry grants slots to others, else 0.
func (g *Gateway) coordinates() float64 {
	if e := g.exchange.Election(); !e.IsEqual() && e.IsCoordinator(g.settings.Name) {
		return 1
	}
	return 0
}

// minEntries is the least number of entries assumed, so that a new process does not
// use the whole slack before it learns of its peers.
const minEntries = 3

func (g *Gateway) entryCount() int { return max(minEntries, 1+len(g.exchange.Peers())) }
