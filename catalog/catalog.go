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

// Confirmed returns the version of the table in force, zero when there is none,
// and its age, both of one moment.
func (c *Catalog) Confirmed() (version uint64, age time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.current.Load().Table; t != nil {
		version = t.Version
	}
	return version, c.Age()
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

// publish is called with mu held.
func (c *Catalog) publish(s Snapshot) {
	c.current.Store(&s)
	if c.changed != nil {
		c.changed(s)
	}
}
