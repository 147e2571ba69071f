package gateway

import (
	"context"
	"errors"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"damasktrail.dev"
	"damasktrail.dev/dispatch"
	"damasktrail.dev/routing"
	"damasktrail.dev/suspect"
)

const (
	// notReadyRetry is the advice of a process that does not know the newest table.
	notReadyRetry = 300 * time.Millisecond
	// staleTable is the age of the table from which a request that it does not
	// allow is not refused for good.
	staleTable = 1500 * time.Millisecond
	// leavingRetry is the advice of a process that is shutting down while another
	// entry can take the request at once, aloneRetry while none is known.
	leavingRetry = 10 * time.Millisecond
	aloneRetry   = time.Second
	// unsaidDeadline is how long a caller is assumed to wait that does not say.
	unsaidDeadline = 30 * time.Second
)

// call is one request of a caller.
type call struct {
	g       *Gateway
	request *http.Request
	fields  damasktrail.CallFields
	route   routing.Route
	service routing.Service
	// version is that of the routing table that decided, age the time since it was
	// last known to be the newest.
	version uint64
	age     time.Duration
	// organisation is empty on an anonymous route.
	organisation routing.Organisation
	keyed        bool
	tier         int
	// target is the name of the service.
	target string
	body   []byte
	// cost is what was taken from the quota.
	cost float64
	// arrived is the time of arrival, limit that at which the answer is useless.
	arrived, limit time.Time
	fingerprint    uint64
	// sends is the number of endpoints that the request was sent to.
	sends int
	// mayHaveRun says that an endpoint may have begun to run it.
	mayHaveRun bool
	// firstByte is the time from the arrival to the first byte of the answer.
	firstByte time.Duration
	// events is the number of events that were passed on.
	events int
	// waited is the time spent waiting for places.
	waited time.Duration
	// endpoint is that of the last attempt, avoid that of the last that failed.
	endpoint, avoid string
}

// status is a refusal with the HTTP status that it is told with.
type status struct {
	code    int
	refusal *damasktrail.Refusal
}

func (s *status) Error() string { return s.refusal.Error() }

// deny returns a refusal of a request that has not run.
func deny(code int, reason damasktrail.Reason, after time.Duration, detail string) *status {
	return &status{code: code, refusal: &damasktrail.Refusal{
		Reason: reason, Outcome: damasktrail.NotRun, RetryAfter: after, Detail: detail,
	}}
}

// admit reads a request and decides whether it may run. The response writer is
// needed to bound the body.
func (g *Gateway) admit(w http.ResponseWriter, r *http.Request) (*call, *status) {
	now := g.clock.Now()
	c := &call{g: g, request: r, fields: g.dialect.Call(r.Header), arrived: now}
	s := g.catalog.Snapshot()
	if s.Table == nil {
		return c, deny(http.StatusServiceUnavailable, damasktrail.ReasonNotReady, notReadyRetry, "no routing table yet")
	}
	c.version, c.age = s.Table.Version, g.catalog.Age()
	stale := c.age > staleTable
	unknown := func(code int, reason damasktrail.Reason, detail string) *status {
		if stale {
			return deny(http.StatusServiceUnavailable, damasktrail.ReasonNotReady, notReadyRetry, detail+", and the table may be old")
		}
		return deny(code, reason, 0, detail)
	}
	var found bool
	if c.route, found = s.Table.Route(r.Host, r.URL.Path); !found {
		return c, unknown(http.StatusNotFound, damasktrail.ReasonNoModel, "no route for this host and path")
	}
	c.tier = rank(c.organisation, c.route)
	if s.Table.Keyed() && !c.route.Anonymous {
		if c.organisation, found = s.Table.Organisation(c.fields.Key); !found {
			return c, unknown(http.StatusUnauthorized, damasktrail.ReasonUnauthorised, "unknown key")
		}
		if !g.fresh() {
			return c, deny(http.StatusServiceUnavailable, damasktrail.ReasonNotReady, notReadyRetry, "keys were not confirmed in time")
		}
		c.keyed = true
		c.tier = rank(c.organisation, c.route)
	}
	c.target = c.route.Target(rand.Float64())
	c.service, _ = s.Table.Service(c.target)
	c.setLimit()
	if g.leavesBefore(c.limit) {
		after := aloneRetry
		if g.exchange.Available() {
			after = leavingRetry
		}
		return c, deny(http.StatusServiceUnavailable, damasktrail.ReasonLeaving, after, "this entry is shutting down")
	}
	if st := c.readBody(w, s.Table.Limits); st != nil {
		return c, st
	}
	return c, c.charge()
}

// routeTiers is the number of tiers that routes may have.
const routeTiers = 16

// rank orders requests by the tier of their organisation and, among those with
// equal tiers, by that of their route. An organisation without a tier of its own
// counts as one whose tier is that of the route.
func rank(o routing.Organisation, r routing.Route) int {
	tier := min(max(r.Tier, 0), routeTiers-1)
	if !o.Tiered {
		return tier * (routeTiers + 1)
	}
	return max(o.Tier, 0)*routeTiers + tier
}

// setLimit works out when the answer is useless.
func (c *call) setLimit() {
	left := c.fields.Deadline
	if left == 0 {
		left = unsaidDeadline
	}
	if c.route.Timeout > 0 {
		left = min(left, c.route.Timeout)
	}
	c.limit = c.arrived.Add(left)
}

func (c *call) readBody(w http.ResponseWriter, limits routing.Limits) *status {
	body := io.Reader(c.request.Body)
	if limits.Body > 0 {
		body = http.MaxBytesReader(w, c.request.Body, limits.Body)
	}
	var err error
	c.body, err = io.ReadAll(body)
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return deny(http.StatusRequestEntityTooLarge, damasktrail.ReasonTooLarge, 0, "body exceeds the limit")
	case err != nil:
		return deny(http.StatusBadRequest, damasktrail.ReasonMalformed, 0, "body cannot be read: "+err.Error())
	}
	return nil
}

// charge checks the request against crashes and the organisation's quota.
func (c *call) charge() *status {
	g := c.g
	c.fingerprint = fingerprint(c)
	now := g.clock.Now()
	g.mu.Lock()
	crashes := g.suspects.Crashes(c.fingerprint, now)
	g.mu.Unlock()
	if crashes >= suspect.Poisoned {
		return deny(http.StatusServiceUnavailable, damasktrail.ReasonPoisoned, 0, "this request has crashed endpoints")
	}
	if !c.keyed {
		return nil
	}
	cost := 1.0
	if c.organisation.Tokens {
		cost = c.organisation.Uncounted
		if c.fields.Counted {
			cost = float64(c.fields.Prompt + c.fields.Output)
		}
	}
	wait, ok := g.quotas.Admit(c.organisation.Name, c.route.Tier, cost, now)
	if !ok {
		return deny(http.StatusTooManyRequests, damasktrail.ReasonLimit, wait, "the organisation's quota is used up")
	}
	c.cost = cost
	return nil
}

// fingerprint identifies the request when it comes again.
func fingerprint(c *call) uint64 {
	h := fnv.New64a()
	for _, s := range []string{c.organisation.Name, c.request.Method, c.request.RequestURI} {
		_, _ = io.WriteString(h, s)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(c.body)
	return h.Sum64()
}

// acquire waits for a place.
func (c *call) acquire(ctx context.Context) (*dispatch.Grant, *status) {
	now := c.g.clock.Now()
	grant, refusal := c.g.scheduler.Acquire(ctx, dispatch.Request{
		Service:      c.target,
		Engine:       c.service.Engine,
		Organisation: c.organisation.Name,
		Tier:         c.tier,
		Objective:    max(0, c.route.Objective-now.Sub(c.arrived)),
		Left:         c.limit.Sub(now),
		Prompt:       c.fields.Prompt,
		Avoid:        c.avoid,
	})
	c.waited += c.g.clock.Now().Sub(now)
	if refusal != nil {
		return nil, &status{code: http.StatusServiceUnavailable, refusal: refusal}
	}
	return grant, nil
}
