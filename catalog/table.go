package catalog

import (
	"context"
	"errors"
	"time"

	"damasktrail.dev"
)

// Calls that bring a table, as the log names them.
const (
	callRead         = "read"
	callWatch        = "watch"
	callConfirmation = "confirmation"
)

// Hint reports that a peer holds the given version of the table. If it is newer
// than the catalog's, the table is read at once, unless it is arriving already.
func (c *Catalog) Hint(version uint64) {
	held := uint64(0)
	if t := c.Snapshot().Table; t != nil {
		held = t.Version
	}
	if version <= held {
		return
	}
	if c.announced.add(version, c.uptime()) {
		c.log.Info("peer has a newer table", "version", version, "held", held, "watching", c.watchedRevision.Load() != 0)
	}
	c.tableRereads.request()
}

// Behind returns the time since a peer first reported a table newer than the one in
// force, zero if none has.
func (c *Catalog) Behind() time.Duration {
	at, found := c.announced.first()
	if !found {
		return 0
	}
	return max(c.uptime()-at, 1)
}

// Confirm reports that a peer knew the given version of the table to be the newest
// at the given uptime of this VM. Other versions than the one in force are ignored.
func (c *Catalog) Confirm(version uint64, at time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.current.Load().Table; t != nil && t.Version == version {
		c.confirm(at)
	}
}

// confirmWhenDue asks the directory to confirm the table when no peer has
// confirmed it in time, until ctx ends.
func (c *Catalog) confirmWhenDue(ctx context.Context) {
	delay := confirmCheckInterval
	// received is the revision of the last table that a confirmation has brought.
	received := uint64(0)
	for c.clock.Sleep(ctx, delay) == nil {
		delay = confirmCheckInterval
		rank := c.fleet.Rank()
		due := min(firstConfirmAge+time.Duration(rank)*confirmAgeStep, maxConfirmAge)
		backoff := maxBackoff * time.Duration(1+rank/ranksPerBackoff)
		revision := c.watchedRevision.Load()
		if revision == 0 || c.Age() < due || c.tableRereads.isReceiving() {
			continue
		}
		next, err := c.confirmTable(ctx, max(revision, received))
		received = max(received, next)
		if err != nil {
			delay = backoff
		}
	}
}

// confirmTable asks the directory whether the table of the given revision is the
// newest. Otherwise it puts the newer one in force and returns its revision.
func (c *Catalog) confirmTable(ctx context.Context, revision uint64) (next uint64, err error) {
	start := c.uptime()
	c.tableRereads.receive(func(began func()) {
		var news damasktrail.TableUpdate
		news, err = c.directory.WatchTable(ctx, damasktrail.Watch{After: revision, Wait: checkWait, Receiving: began})
		if err == nil {
			c.adoptTable(news, callConfirmation, start)
			next = news.Revision
		}
	})
	switch {
	case errors.Is(err, damasktrail.ErrUnchanged):
		c.mu.Lock()
		defer c.mu.Unlock()
		c.confirm(start)
		return 0, nil
	case errors.Is(err, damasktrail.ErrHistoryGone), errors.Is(err, damasktrail.ErrManyChanges):
		c.tableRereads.force()
	}
	return next, err
}

// followTable keeps the table up to date until ctx ends.
func (c *Catalog) followTable(ctx context.Context) {
	f := follower{clock: c.clock, log: c.log, topic: "table"}
	for ctx.Err() == nil {
		start := c.uptime()
		news, err := c.nextTable(ctx, &f)
		c.watchedRevision.Store(0)
		switch {
		case err == nil:
			c.adoptTable(news, f.call(), start)
			f.succeeded(news.Revision)
		case errors.Is(err, damasktrail.ErrUnchanged):
			f.succeeded(f.revision)
		default:
			_ = c.clock.Sleep(ctx, f.failed(ctx, err, c.longestBackoff()))
		}
	}
}

// nextTable reads the full table if a full read is due, and otherwise watches for
// a newer one. A requested reread ends the watch with errReread.
func (c *Catalog) nextTable(ctx context.Context, f *follower) (damasktrail.TableUpdate, error) {
	c.awaitPeers(ctx, f)
	if c.tableRereads.due() {
		f.forceFullRead = true
	}
	if f.revision != 0 && !f.forceFullRead && !c.fleet.Follows() {
		f.fullRead = false
		c.watchedRevision.Store(f.revision)
		return damasktrail.TableUpdate{}, c.idle(ctx)
	}
	if f.startFullRead() {
		c.tableRereads.begin()
		return c.directory.Table(ctx)
	}
	c.watchedRevision.Store(f.revision)
	return interruptible(ctx, c, c.tableRereads, func(ctx context.Context, began func()) (damasktrail.TableUpdate, error) {
		return c.directory.WatchTable(ctx, damasktrail.Watch{After: f.revision, Wait: tableWatchTimeout, Receiving: began})
	})
}

// longestBackoff returns the longest pause between two failed reads.
func (c *Catalog) longestBackoff() time.Duration {
	if c.fleet.Follows() {
		return maxBackoff
	}
	return maxIdleBackoff
}

// awaitPeers waits after the first read until peers tell this entry that it need not
// follow the directory, for maxPeerWait at most.
func (c *Catalog) awaitPeers(ctx context.Context, f *follower) {
	if f.revision == 0 || f.awaitedPeers || c.fleet.Alone() {
		return
	}
	f.awaitedPeers = true
	for end := c.clock.Now().Add(maxPeerWait); c.fleet.Follows() && c.clock.Now().Before(end); {
		if c.clock.Sleep(ctx, idleCheckInterval) != nil {
			return
		}
	}
}

// idle waits for idleCheckInterval.
func (c *Catalog) idle(ctx context.Context) error {
	if err := c.clock.Sleep(ctx, idleCheckInterval); err != nil {
		return err
	}
	return damasktrail.ErrUnchanged
}

// confirm records that the table was the newest at the given uptime; an earlier
// uptime than the recorded one is ignored. The caller holds mu.
func (c *Catalog) confirm(at time.Duration) {
	c.confirmedAt.Store(max(int64(at), c.confirmedAt.Load(), 1))
	c.announced.confirm(at)
}

// adoptTable puts a table in force if it is newer than the current one. Unless it
// is older, it confirms the table as of start, the uptime at which the call began.
func (c *Catalog) adoptTable(news damasktrail.TableUpdate, call string, start time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t := news.Table
	s := *c.current.Load()
	switch {
	case s.Table == nil || t.Version > s.Table.Version:
		s.Table = t
		routes, services, keys := t.Counts()
		c.log.Info("table in force", "version", t.Version, "routes", routes, "services", services, "keys", keys,
			"call", call, "bytes", news.Transfer.Bytes, "transfer", news.Transfer.Took, "since", c.uptime()-start)
		c.announced.adopt(t.Version)
		c.publish(s)
	case t.Version < s.Table.Version:
		c.log.Warn("older table ignored", "version", t.Version, "held", s.Table.Version)
		return
	}
	c.confirm(start)
}
