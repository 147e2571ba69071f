package catalog

import (
	"context"
	"errors"
	"time"

	"damasktrail.dev"
	"damasktrail.dev/fleet"
)

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
