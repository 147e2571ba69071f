// Package catalog follows a directory and holds the newest routing table and
// list of endpoints, with the time at which each was last confirmed. Start from
// [New].
package catalog

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"damasktrail.dev"
	"damasktrail.dev/fleet"
	"damasktrail.dev/group"
	"damasktrail.dev/routing"
)

const (
	// tableWait is how long a watch of the table waits for news. A watch that hangs
	// on a connection that has gone silent is ended by a peer with a newer table.
	tableWait = 6 * time.Second
	// endpointsWait is how long a watch of the endpoints waits for news. No peer
	// ends it, and an endpoint that leaves may get requests for two seconds only.
	endpointsWait = 2500 * time.Millisecond
	// listSpacing is the time after news of the endpoints before the next watch.
	// When a fleet starts, each endpoint's entry would end a watch of every entry.
	listSpacing = 250 * time.Millisecond
	// confirmAfter is the age of the table from which the first entry of a fleet
	// has it confirmed; each other entry waits confirmStep longer, so that one call
	// serves all. A key that was taken away may be used for a few seconds only.
	confirmAfter = 700 * time.Millisecond
	confirmStep  = 150 * time.Millisecond
	// maxConfirm bounds the age at which any entry has the table confirmed.
	maxConfirm = 1600 * time.Millisecond
	// confirmInterval is the time between two looks at the age.
	confirmInterval = 50 * time.Millisecond
	// firstBackoff doubles with each failure in a row, up to maxBackoff.
	firstBackoff = 50 * time.Millisecond
	maxBackoff   = 400 * time.Millisecond
	// lapseGrace is how long an endpoint that is missing after an outage of the
	// directory stays in the list: endpoints that live are listed again about two
	// seconds after the directory's return.
	lapseGrace = 2300 * time.Millisecond
	// repairInterval is the longest time between two whole reads of a value. A
	// watch that missed a change without an error is repaired by the next one.
	repairInterval = 30 * time.Second
)

// Snapshot is the state at one moment. It is immutable.
type Snapshot struct {
	// Table is nil until the first one was read.
	Table *routing.Table
	// Endpoints is empty until the first list was read.
	Endpoints fleet.List
	// Listed says that a list of endpoints was read.
	Listed bool
}

// Catalog holds the newest snapshot. It is safe for use by several goroutines.
type Catalog struct {
	directory damasktrail.Directory
	clock     damasktrail.Clock
	log       *slog.Logger
	// uptime is the time since the machine's start, suspended time included.
	uptime func() time.Duration
	tasks  *group.Group
	// changed is called with each new snapshot, by one goroutine at a time.
	changed func(Snapshot)

	current atomic.Pointer[Snapshot]
	// confirmed is the uptime at the start of the last call that confirmed the
	// table; zero before the first.
	confirmed atomic.Int64
	// rank is this entry's place among the live entries of the fleet.
	rank func() int
	// wake holds an element when a peer has a newer table.
	wake chan struct{}
	// watching is the revision from which the table is watched, zero while calls
	// for it fail.
	watching atomic.Uint64

	// mu guards the making of a new snapshot and the fields below.
	mu sync.Mutex
	// lapsed has the endpoints that are missing since an outage, with the time at
	// which they count as gone.
	lapsed map[string]time.Time
}

// New returns a catalog that is empty until Start. changed is called after each
// change, before readers see a newer one.
func New(directory damasktrail.Directory, clock damasktrail.Clock, uptime func() time.Duration, rank func() int, log *slog.Logger, changed func(Snapshot)) *Catalog {
	res := &Catalog{
		directory: directory,
		clock:     clock,
		log:       log,
		uptime:    uptime,
		rank:      rank,
		changed:   changed,
		wake:      make(chan struct{}, 1),
		lapsed:    map[string]time.Time{},
	}
	res.current.Store(&Snapshot{})
	return res
}

// Start follows the directory as tasks of the group.
func (c *Catalog) Start(tasks *group.Group) {
	c.tasks = tasks
	tasks.Go(c.followTable)
	tasks.Go(c.followEndpoints)
	tasks.Go(c.keepConfirmed)
}

// Snapshot returns the newest snapshot.
func (c *Catalog) Snapshot() Snapshot { return *c.current.Load() }

// Age returns the time since the table was last known to be the newest,
// suspended time included. It is an hour before the first reading.
func (c *Catalog) Age() time.Duration {
	at := c.confirmed.Load()
	if at == 0 {
		return time.Hour
	}
	return c.uptime() - time.Duration(at)
}

// Hint says that a peer holds the table of that version. A newer one than the
// catalog's is read at once.
func (c *Catalog) Hint(version uint64) {
	if t := c.Snapshot().Table; t == nil || t.Version < version {
		c.reread()
	}
}

// reread ends a watch of the table, so that the table is read whole.
func (c *Catalog) reread() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Confirm says that a peer knew the table of that version to be the newest at the
// given uptime of this VM. It counts only for the table in force.
func (c *Catalog) Confirm(version uint64, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.current.Load().Table; t != nil && t.Version == version {
		c.confirm(at)
	}
}

// keepConfirmed has the table confirmed when no peer did it in time.
func (c *Catalog) keepConfirmed(ctx context.Context) {
	delay := confirmInterval
	for c.clock.Sleep(ctx, delay) == nil {
		delay = confirmInterval
		due := min(confirmAfter+time.Duration(c.rank())*confirmStep, maxConfirm)
		revision := c.watching.Load()
		if revision == 0 || c.Age() < due {
			continue
		}
		start := c.uptime()
		news, err := c.directory.WatchTable(ctx, revision, time.Millisecond)
		switch {
		case err == nil:
			c.adoptTable(news.Table, start)
		case errors.Is(err, damasktrail.ErrUnchanged):
			c.mu.Lock()
			c.confirm(start)
			c.mu.Unlock()
		case errors.Is(err, damasktrail.ErrHistory):
			c.reread()
			delay = maxBackoff
		default:
			delay = maxBackoff
		}
	}
}

// followTable keeps the table current until ctx ends.
func (c *Catalog) followTable(ctx context.Context) {
	f := follower{clock: c.clock, log: c.log, topic: "table"}
	for ctx.Err() == nil {
		start := c.uptime()
		news, err := c.nextTable(ctx, &f)
		c.watching.Store(0)
		switch {
		case err == nil:
			c.adoptTable(news.Table, start)
			f.succeeded(news.Revision)
		case errors.Is(err, damasktrail.ErrUnchanged):
			f.succeeded(f.revision)
		default:
			f.failed(ctx, err)
		}
	}
}

func (c *Catalog) nextTable(ctx context.Context, f *follower) (damasktrail.TableNews, error) {
	if f.needsWhole() {
		return c.directory.Table(ctx)
	}
	c.watching.Store(f.revision)
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	c.tasks.Go(func(context.Context) {
		select {
		case <-c.wake:
			stop(errHint)
		case <-ctx.Done():
		}
	})
	news, err := c.directory.WatchTable(ctx, f.revision, tableWait)
	if err != nil && errors.Is(context.Cause(ctx), errHint) {
		err = errHint
	}
	return news, err
}

// errHint ends a watch when a peer has something newer.
var errHint = errors.New("a peer has something newer")

// followEndpoints keeps the list of endpoints current until ctx ends.
func (c *Catalog) followEndpoints(ctx context.Context) {
	f := follower{clock: c.clock, log: c.log, topic: "endpoints"}
	for ctx.Err() == nil {
		if f.needsWhole() {
			news, err := c.directory.Endpoints(ctx)
			if err != nil {
				f.failed(ctx, err)
				continue
			}
			c.replace(news, f.outage, c.clock.Now())
			f.succeeded(news.Revision)
			continue
		}
		news, err := c.watchEndpoints(ctx, &f)
		switch {
		case err == nil:
			c.apply(news)
			f.succeeded(news.Revision)
			_ = c.clock.Sleep(ctx, listSpacing)
		case errors.Is(err, damasktrail.ErrUnchanged):
			c.expire(c.clock.Now())
			f.succeeded(f.revision)
		default:
			f.failed(ctx, err)
		}
	}
}

func (c *Catalog) watchEndpoints(ctx context.Context, f *follower) (damasktrail.EndpointNews, error) {
	wait := endpointsWait
	if c.waitsForLapsed() {
		wait = lapseGrace / 2
	}
	return c.directory.WatchEndpoints(ctx, f.revision, wait)
}

// waitsForLapsed reports whether endpoints are missing since an outage.
func (c *Catalog) waitsForLapsed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.lapsed) > 0
}

// confirm notes that the table was current at the given uptime. It is called with
// mu held.
func (c *Catalog) confirm(start time.Duration) {
	c.confirmed.Store(max(int64(start), c.confirmed.Load(), 1))
}

// adoptTable puts a table in force unless the one in force is as new.
func (c *Catalog) adoptTable(t *routing.Table, start time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := *c.current.Load()
	switch {
	case s.Table == nil || t.Version > s.Table.Version:
		s.Table = t
		routes, services, keys := t.Counts()
		c.log.Info("table in force", "version", t.Version, "routes", routes, "services", services, "keys", keys)
		c.publish(s)
	case t.Version < s.Table.Version:
		c.log.Warn("older table ignored", "version", t.Version, "held", s.Table.Version)
		return
	}
	c.confirm(start)
}

// replace takes a whole list. After an outage, endpoints that are missing stay
// for the lapse grace.
func (c *Catalog) replace(news damasktrail.EndpointNews, outage bool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := *c.current.Load()
	next := fleet.List{}
	for _, change := range news.Changes {
		next = next.With(change.Endpoint)
		delete(c.lapsed, change.Endpoint.ID)
	}
	for _, e := range s.Endpoints.All() {
		if _, found := next.Find(e.ID); found {
			continue
		}
		until, waits := c.lapsed[e.ID]
		switch {
		case outage && !waits:
			c.lapsed[e.ID] = now.Add(lapseGrace)
			c.log.Info("endpoint missing after an outage", "endpoint", e.ID, "grace", lapseGrace)
			next = next.With(e)
		case waits && now.Before(until):
			next = next.With(e)
		default:
			delete(c.lapsed, e.ID)
			c.log.Info("endpoint gone", "endpoint", e.ID, "service", e.Service)
		}
	}
	c.logChanges(s.Endpoints, next)
	s.Endpoints, s.Listed = next, true
	c.publish(s)
}

// apply takes changes in order.
func (c *Catalog) apply(news damasktrail.EndpointNews) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := *c.current.Load()
	next := s.Endpoints
	for _, change := range news.Changes {
		delete(c.lapsed, change.Endpoint.ID)
		if change.Removed {
			c.log.Info("endpoint gone", "endpoint", change.Endpoint.ID)
			next = next.Without(change.Endpoint.ID)
			continue
		}
		next = next.With(change.Endpoint)
	}
	if news.Unreadable > 0 {
		c.log.Warn("entries of endpoints could not be read", "entries", news.Unreadable)
	}
	c.logChanges(s.Endpoints, next)
	s.Endpoints = next
	c.publish(s)
}

// expire removes endpoints whose lapse grace is over.
func (c *Catalog) expire(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := *c.current.Load()
	gone := false
	for id, until := range c.lapsed {
		if now.Before(until) {
			continue
		}
		gone = true
		delete(c.lapsed, id)
		s.Endpoints = s.Endpoints.Without(id)
		c.log.Info("endpoint gone", "endpoint", id, "reason", "still missing after an outage")
	}
	if gone {
		c.publish(s)
	}
}

// logChanges writes a line for each endpoint that is new or changed its state.
func (c *Catalog) logChanges(before, after fleet.List) {
	for _, e := range after.All() {
		old, found := before.Find(e.ID)
		switch {
		case !found || !old.Same(e):
			c.log.Info("endpoint live", "endpoint", e.ID, "service", e.Service, "address", e.Address, "domain", e.Domain, "slots", e.Slots, "leaving", e.State == fleet.Leaving)
		case old.State != e.State:
			c.log.Info("endpoint changed its state", "endpoint", e.ID, "leaving", e.State == fleet.Leaving)
		}
	}
}

// publish is called with mu held.
func (c *Catalog) publish(s Snapshot) {
	c.current.Store(&s)
	if c.changed != nil {
		c.changed(s)
	}
}

// follower is the state of one watched value. One goroutine owns it.
type follower struct {
	clock damasktrail.Clock
	log   *slog.Logger
	topic string
	// revision is where the next watch goes on.
	revision uint64
	// whole says that the next call reads the whole value.
	whole bool
	// read is the time of the last whole read.
	read time.Time
	// failures counts failures in a row.
	failures int
	// outage says that calls failed since the last whole read.
	outage bool
}

func (f *follower) needsWhole() bool {
	return f.revision == 0 || f.whole || f.clock.Now().Sub(f.read) >= repairInterval
}

func (f *follower) succeeded(revision uint64) {
	if f.needsWhole() {
		f.read = f.clock.Now()
		f.whole, f.outage = false, false
	}
	if f.failures > 0 {
		f.log.Info("directory answers again", "topic", f.topic, "failures", f.failures)
	}
	f.failures = 0
	// A watch that saw nothing keeps its place: the revision it returns may lie
	// after a change that it did not deliver.
	f.revision = max(f.revision, revision)
}

// failed waits before the next call. Peers that hold a newer table do not cut
// the wait short: they say so many times a second.
func (f *follower) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.whole = true
	if errors.Is(err, errHint) {
		return
	}
	if errors.Is(err, damasktrail.ErrHistory) {
		f.log.Info("history is gone, reading the whole value", "topic", f.topic)
		return
	}
	f.outage = true
	f.failures++
	if f.failures == 1 {
		f.log.Warn("directory does not answer", "topic", f.topic, "error", err)
	}
	delay := min(firstBackoff<<min(f.failures-1, 10), maxBackoff)
	_ = f.clock.Sleep(ctx, delay)
}
