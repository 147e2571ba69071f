package catalog

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"damasktrail.dev"
)

const (
	// evacuationReserve is the part of the bound of an evacuation that is left for what
	// follows a watch on a connection that has died: the margin of the watch, a read that is
	// lost as well, and one that succeeds.
	evacuationReserve = 2 * time.Second
	// minEvacuationWait bounds the price of watches where the bound leaves no time.
	minEvacuationWait = 250 * time.Millisecond
	// minCheckAge is the least age of the last call from which on the process counts as
	// suspended. Calls to a store that does not answer end more often.
	minCheckAge = 3 * time.Second
	// maxLoggedDomains bounds the failure domains that one log line names.
	maxLoggedDomains = 16
)

// evacuations is the state of the follower of evacuated failure domains.
type evacuations struct {
	// bound is the time from the operator's request after which nothing is sent to the
	// failure domain; zero if evacuations are not followed.
	bound   time.Duration
	rereads *rereads
	// revision is the revision up to which the evacuations are known, changed that of their
	// last change.
	revision, changed atomic.Uint64
	// checkedAt is the uptime at which the last call ended.
	checkedAt atomic.Int64
	// settled says that the evacuations have been read, or need not be.
	settled atomic.Bool

	mu sync.Mutex
	// newest is the highest revision of a change that a peer has, behindSince the uptime
	// since which it is higher than revision, zero when it is not.
	newest      uint64
	behindSince time.Duration
}

// FollowEvacuations makes the catalog follow the evacuated failure domains. bound is the time
// in which a change must take effect. It must be called before Start.
func (c *Catalog) FollowEvacuations(bound time.Duration) {
	c.evacuations.bound = bound
	c.evacuationsHorizon.setDelay(bound / horizonShare)
	c.evacuations.rereads = newRereads(c.clock, c.evacuationsBehind)
	s := *c.current.Load()
	s.EvacuationsKnown = false
	c.current.Store(&s)
}

// EvacuationsSettled reports whether this entry has read the evacuations since its start,
// or has had no need to.
func (c *Catalog) EvacuationsSettled() bool {
	return c.evacuations.bound == 0 || c.evacuations.settled.Load()
}

// EvacuationsCurrent reports whether a call for the evacuations has ended within the bound,
// with or without an answer. None has if the process was suspended; then the evacuations are
// read at once.
func (c *Catalog) EvacuationsCurrent() bool {
	e := &c.evacuations
	if e.bound == 0 || !c.Snapshot().EvacuationsKnown || c.uptime()-time.Duration(e.checkedAt.Load()) < max(e.bound, minCheckAge) {
		return true
	}
	e.rereads.force()
	return false
}

// EvacuationsChanged returns the revision of the last change of the evacuations that this
// entry knows.
func (c *Catalog) EvacuationsChanged() uint64 { return c.evacuations.changed.Load() }

// EvacuationsRevision returns the revision up to which this entry knows the evacuations.
func (c *Catalog) EvacuationsRevision() uint64 { return c.evacuations.revision.Load() }

// HintEvacuations reports that a peer knows a change of the evacuations of that revision. If
// the catalog still does not know it after maxBehind, they are read at once.
func (c *Catalog) HintEvacuations(revision uint64) {
	e := &c.evacuations
	if e.bound == 0 {
		return
	}
	now := c.uptime()
	c.evacuationsHorizon.add(revision, now)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.newest = max(e.newest, revision)
	switch {
	case e.newest <= e.revision.Load():
		e.behindSince = 0
	case e.behindSince == 0:
		e.behindSince = now
	case now-e.behindSince > maxBehind:
		e.behindSince = now
		e.rereads.request()
	}
}

// evacuationsBehind reports whether a peer knows newer evacuations.
func (c *Catalog) evacuationsBehind() bool {
	e := &c.evacuations
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.newest > e.revision.Load()
}

// followEvacuations keeps the evacuated failure domains up to date until ctx ends.
func (c *Catalog) followEvacuations(ctx context.Context) {
	f := follower{clock: c.clock, log: c.log, topic: "evacuations"}
	for ctx.Err() == nil {
		c.awaitPeers(ctx, &f)
		if !c.fleet.Follows() {
			c.dropEvacuations()
			f.forceFullRead = true
			_ = c.clock.Sleep(ctx, idleCheckInterval)
			continue
		}
		err := c.updateEvacuations(ctx, &f)
		delay := time.Duration(0)
		switch {
		case err != nil && !errors.Is(err, damasktrail.ErrUnchanged):
			delay = f.failed(ctx, err, c.longestBackoff())
		case f.revision == 0:
			// A store without any revision is read again, as it cannot be watched.
			delay = endpointsWatchDelay
		}
		c.evacuations.revision.Store(f.revision)
		c.evacuationsHorizon.add(c.evacuations.changed.Load(), c.uptime())
		if !errors.Is(err, errReread) {
			c.evacuations.checkedAt.Store(int64(c.uptime()))
		}
		_ = c.clock.Sleep(ctx, delay)
	}
}

// updateEvacuations reads the evacuations if a full read is due, and otherwise watches for
// changes.
func (c *Catalog) updateEvacuations(ctx context.Context, f *follower) error {
	e := &c.evacuations
	if e.rereads.due() {
		f.forceFullRead = true
	}
	if f.startFullRead() {
		e.rereads.begin()
		news, err := c.directory.Evacuations(ctx)
		if err != nil {
			return err
		}
		c.applyEvacuations(news, true)
		f.succeeded(news.Revision)
		return nil
	}
	news, err := interruptible(ctx, c, e.rereads, func(ctx context.Context, began func()) (damasktrail.EvacuationUpdate, error) {
		wait := max(e.bound-evacuationReserve, minEvacuationWait)
		return c.directory.WatchEvacuations(ctx, damasktrail.Watch{After: f.revision, Wait: wait, Receiving: began})
	})
	switch {
	case err == nil:
		c.applyEvacuations(news, false)
		f.succeeded(news.Revision)
	case errors.Is(err, damasktrail.ErrUnchanged):
		f.succeeded(f.revision)
	}
	return err
}

// applyEvacuations applies changes in order, after a full read to an empty set.
func (c *Catalog) applyEvacuations(news damasktrail.EvacuationUpdate, full bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := *c.current.Load()
	before := s.Evacuated
	next := map[string]bool{}
	if !full {
		for _, domain := range before {
			next[domain] = true
		}
	}
	for _, change := range news.Changes {
		if change.Ended {
			delete(next, change.Domain)
		} else {
			next[change.Domain] = true
		}
	}
	s.Evacuated = make([]string, 0, len(next))
	for domain := range next {
		s.Evacuated = append(s.Evacuated, domain)
	}
	slices.Sort(s.Evacuated)
	e := &c.evacuations
	e.changed.Store(max(e.changed.Load(), news.Changed))
	e.checkedAt.Store(int64(c.uptime()))
	e.settled.Store(true)
	if s.EvacuationsKnown && slices.Equal(before, s.Evacuated) {
		return
	}
	s.EvacuationsKnown = true
	c.logEvacuations(before, s.Evacuated, news.Changed)
	c.publish(s)
}

// logEvacuations logs the evacuations that have begun and those that have ended.
func (c *Catalog) logEvacuations(before, after []string, revision uint64) {
	missing := func(from, in []string) (res []string) {
		for _, domain := range from {
			if !slices.Contains(in, domain) {
				res = append(res, domain)
			}
		}
		return res
	}
	if began := missing(after, before); len(began) > 0 {
		c.log.Info("evacuation begins", "domains", began[:min(len(began), maxLoggedDomains)], "count", len(began), "revision", revision)
	}
	if ended := missing(before, after); len(ended) > 0 {
		c.log.Info("evacuation ends", "domains", ended[:min(len(ended), maxLoggedDomains)], "count", len(ended), "revision", revision)
	}
}

// dropEvacuations forgets the evacuations, which would grow old while this entry does not
// follow the directory.
func (c *Catalog) dropEvacuations() {
	c.evacuations.settled.Store(true)
	c.mu.Lock()
	defer c.mu.Unlock()
	s := *c.current.Load()
	if !s.EvacuationsKnown {
		return
	}
	s.EvacuationsKnown, s.Evacuated = false, nil
	c.publish(s)
}
