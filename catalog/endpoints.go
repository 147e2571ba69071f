package catalog

import (
	"context"
	"errors"
	"slices"
	"time"

	"damasktrail.dev"
	"damasktrail.dev/fleet"
)

// followEndpoints keeps the list of endpoints up to date until ctx ends.
func (c *Catalog) followEndpoints(ctx context.Context) {
	f := follower{clock: c.clock, log: c.log, topic: "endpoints"}
	for ctx.Err() == nil {
		c.awaitPeers(ctx, &f)
		if f.revision != 0 && f.failures == 0 && !c.fleet.Follows() {
			c.dropEndpoints()
			f.forceFullRead = true
			_ = c.clock.Sleep(ctx, idleCheckInterval)
			continue
		}
		start := c.uptime()
		changed, err := c.updateEndpoints(ctx, &f)
		delay := time.Duration(0)
		switch {
		case changed:
			delay = endpointsWatchDelay
		case err != nil && !errors.Is(err, damasktrail.ErrUnchanged):
			delay = f.failed(ctx, err, c.longestBackoff())
			f.outage = f.outage || f.failures > 0 && c.uptime()-start < suspendedCall
		}
		c.endpointsRevision.Store(f.revision)
		c.endpointsHorizon.add(c.endpointsChanged.Load(), c.uptime())
		c.recordEndpointsCall(start, &f, err)
		_ = c.clock.Sleep(ctx, delay)
	}
}

// updateEndpoints reads the full list if a full read is due, and otherwise watches
// for changes. changed reports whether a watch has returned any.
func (c *Catalog) updateEndpoints(ctx context.Context, f *follower) (changed bool, err error) {
	if c.endpointsRereads.due() {
		f.forceFullRead = true
	}
	if f.startFullRead() {
		c.endpointsRereads.begin()
		news, err := c.readEndpoints(ctx, f)
		if err != nil {
			return false, err
		}
		// An endpoint cannot have lapsed in an outage that only this entry has had.
		c.replace(news, f.outage && !c.turnedAway.Load(), c.clock.Now())
		c.endpointsChanged.Store(max(c.endpointsChanged.Load(), news.Changed))
		if !f.cheapRead {
			c.endpointsSettled.Store(true)
		}
		f.succeeded(news.Revision)
		return false, nil
	}
	news, err := interruptible(ctx, c, c.endpointsRereads, func(ctx context.Context, began func()) (damasktrail.EndpointUpdate, error) {
		return c.watchEndpoints(ctx, f, began)
	})
	switch {
	case err == nil:
		c.apply(news)
		c.expire(c.clock.Now())
		c.endpointsChanged.Store(max(c.endpointsChanged.Load(), news.Revision))
		c.endpointsSettled.Store(true)
		f.cheapRead = false
		f.succeeded(news.Revision)
	case errors.Is(err, damasktrail.ErrUnchanged):
		c.expire(c.clock.Now())
		c.endpointsSettled.Store(true)
		f.cheapRead = false
		f.succeeded(f.revision)
	}
	return err == nil, err
}

// readEndpoints reads the full list. The first list may be old, since the watch that
// follows returns what has changed meanwhile.
func (c *Catalog) readEndpoints(ctx context.Context, f *follower) (damasktrail.EndpointUpdate, error) {
	f.cheapRead = f.revision == 0 && !f.historyGone
	return c.directory.Endpoints(ctx, f.cheapRead)
}

// EndpointsSettled reports whether the list of endpoints has been the newest at some time
// since the start, or has been dropped. Before, it may be seconds old.
func (c *Catalog) EndpointsSettled() bool { return c.endpointsSettled.Load() }

// dropEndpoints empties the list, which would grow old while this entry does not
// follow the directory.
func (c *Catalog) dropEndpoints() {
	defer c.endpointsSettled.Store(true)
	c.mu.Lock()
	defer c.mu.Unlock()
	s := *c.current.Load()
	if len(s.Endpoints.All()) == 0 {
		return
	}
	c.log.Info("endpoints are no longer followed")
	clear(c.missing)
	s.Endpoints = fleet.List{}
	c.publish(s)
}

// EndpointsChanged returns the revision of the last change of the endpoints that this
// entry knows.
func (c *Catalog) EndpointsChanged() uint64 { return c.endpointsChanged.Load() }

// EndpointsRevision returns the revision up to which this entry knows the endpoints.
func (c *Catalog) EndpointsRevision() uint64 { return c.endpointsRevision.Load() }

// HintEndpoints reports that a peer knows a change of the endpoints of that revision.
// If the catalog still does not know it after maxBehind, the list is read at once.
func (c *Catalog) HintEndpoints(revision uint64) {
	now := c.uptime()
	c.endpointsHorizon.add(revision, now)
	c.hintMu.Lock()
	defer c.hintMu.Unlock()
	c.newestEndpoints = max(c.newestEndpoints, revision)
	switch {
	case c.newestEndpoints <= c.endpointsRevision.Load():
		c.behindSince = 0
	case c.behindSince == 0:
		c.behindSince, c.rereadAt = now, now+maxBehind
	case now > c.rereadAt:
		c.rereadAt = now + maxBehind
		c.endpointsRereads.request()
	}
}

// endpointsBehind reports whether a peer knows a newer list of endpoints.
func (c *Catalog) endpointsBehind() bool {
	c.hintMu.Lock()
	defer c.hintMu.Unlock()
	return c.newestEndpoints > c.endpointsRevision.Load()
}

// EndpointsStale reports whether the directory does not answer this entry although
// it answers a peer. The list of endpoints is then older than the peer's.
func (c *Catalog) EndpointsStale() bool { return c.turnedAway.Load() }

// recordEndpointsCall records the outcome of a call that began at start. The directory
// turns this entry away when a call fails that began after the directory had answered a
// peer since the first failure. At the end of an outage for all, peers are answered
// first too, but the next call of this entry succeeds.
func (c *Catalog) recordEndpointsCall(start time.Duration, f *follower, err error) {
	switch {
	case err == nil, errors.Is(err, damasktrail.ErrUnchanged):
		c.endpointsFailedAt = 0
		c.turnedAway.Store(false)
	case f.failures == 0:
	case c.endpointsFailedAt == 0:
		c.endpointsFailedAt = c.uptime()
	default:
		if c.peersAnswered(start) || c.isBehind(start) {
			c.turnedAway.Store(true)
		}
	}
}

// peersAnswered reports whether the directory has answered a peer between the first
// failure and the given uptime. A peer that confirms another table than that of this
// entry shows it by the newer version.
func (c *Catalog) peersAnswered(before time.Duration) bool {
	after := c.endpointsFailedAt + confirmSlack
	confirmedAt := time.Duration(c.confirmedAt.Load())
	newerAt, newer := c.announced.first()
	return confirmedAt > after && confirmedAt < before || newer && newerAt > after && newerAt < before
}

// isBehind reports whether a peer has known a newer list since before the given
// uptime.
func (c *Catalog) isBehind(at time.Duration) bool {
	c.hintMu.Lock()
	defer c.hintMu.Unlock()
	return c.newestEndpoints > c.endpointsRevision.Load() && c.behindSince != 0 && c.behindSince < at
}

// watchEndpoints waits for changes of the endpoints. While endpoints are missing,
// it waits for at most half of missingGrace, so that they are removed in time. After a
// read that may be old it asks at once what has changed since.
func (c *Catalog) watchEndpoints(ctx context.Context, f *follower, began func()) (damasktrail.EndpointUpdate, error) {
	wait := endpointsWatchTimeout
	switch {
	case f.cheapRead:
		wait = checkWait
	case c.hasMissing():
		wait = missingGrace / 2
	}
	return c.directory.WatchEndpoints(ctx, damasktrail.Watch{After: f.revision, Wait: wait, Receiving: began})
}

// hasMissing reports whether endpoints have been missing since an outage.
func (c *Catalog) hasMissing() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.missing) > 0
}

// replace adopts a full list. After an outage, missing endpoints stay in the list
// for missingGrace, but none whose entry is there and names no usable endpoint.
func (c *Catalog) replace(news damasktrail.EndpointUpdate, outage bool, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := *c.current.Load()
	next := fleet.List{}
	for _, change := range news.Changes {
		next = next.With(change.Endpoint)
		delete(c.missing, change.Endpoint.ID)
	}
	if news.Unreadable > 0 {
		c.log.Warn("entries of endpoints could not be read", "entries", news.Unreadable)
	}
	for _, id := range news.Unusable {
		delete(c.missing, id)
	}
	for _, e := range s.Endpoints.All() {
		if _, found := next.Find(e.ID); found {
			continue
		}
		until, recorded := c.missing[e.ID]
		switch {
		case slices.Contains(news.Unusable, e.ID):
			c.log.Info("endpoint gone", "endpoint", e.ID, "service", e.Service, "reason", "its entry cannot be read")
		case outage && !recorded:
			c.missing[e.ID] = now.Add(missingGrace)
			c.log.Info("endpoint missing after an outage", "endpoint", e.ID, "grace", missingGrace)
			next = next.With(e)
		case recorded && now.Before(until):
			next = next.With(e)
		default:
			delete(c.missing, e.ID)
			c.log.Info("endpoint gone", "endpoint", e.ID, "service", e.Service)
		}
	}
	c.logChanges(s.Endpoints, next)
	s.Endpoints, s.Listed = next, true
	c.publish(s)
}

// apply applies changes in order.
func (c *Catalog) apply(news damasktrail.EndpointUpdate) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := *c.current.Load()
	next := s.Endpoints
	for _, change := range news.Changes {
		delete(c.missing, change.Endpoint.ID)
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

// expire removes the missing endpoints whose grace period has passed.
func (c *Catalog) expire(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := *c.current.Load()
	removed := false
	for id, until := range c.missing {
		if now.Before(until) {
			continue
		}
		removed = true
		delete(c.missing, id)
		s.Endpoints = s.Endpoints.Without(id)
		c.log.Info("endpoint gone", "endpoint", id, "reason", "still missing after an outage")
	}
	if removed {
		c.publish(s)
	}
}

// logChanges logs each endpoint that is new or has changed its state.
func (c *Catalog) logChanges(before, after fleet.List) {
	for _, e := range after.All() {
		old, found := before.Find(e.ID)
		switch {
		case !found || !old.SameProcess(e):
			c.log.Info("endpoint live", "endpoint", e.ID, "service", e.Service, "address", e.Address, "domain", e.Domain, "slots", e.Slots, "leaving", e.State == fleet.Leaving)
		case old.State != e.State:
			c.log.Info("endpoint changed its state", "endpoint", e.ID, "leaving", e.State == fleet.Leaving)
		}
	}
}
