package gateway

import (
	"context"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"damasktrail.dev"
	"damasktrail.dev/coordinator"
	"damasktrail.dev/dispatch"
	"damasktrail.dev/memory"
	"damasktrail.dev/routing"
	"damasktrail.dev/suspect"
)

const (
	// notReadyRetryAfter is the retry delay suggested while the gateway does not
	// know the newest routing table or no endpoint takes the request.
	notReadyRetryAfter = 300 * time.Millisecond
	// staleTableAge is the age above which the routing table may be outdated: a
	// request with an unknown route or key then gets a temporary refusal instead of
	// a permanent one.
	staleTableAge = 1500 * time.Millisecond
	// leavingRetryAfter and noPeerRetryAfter are the retry delays suggested during a
	// shutdown: the first while another entry can take the request at once, the
	// second while none is known.
	leavingRetryAfter = 10 * time.Millisecond
	noPeerRetryAfter  = time.Second
	// defaultDeadline is how long a caller is assumed to wait when its request
	// states no deadline.
	defaultDeadline = 30 * time.Second
)

// call is one request from a caller.
type call struct {
	g       *Gateway
	request *http.Request
	// target is the request target in origin form, which selects the route and is forwarded.
	target  string
	fields  damasktrail.CallFields
	route   routing.Route
	service routing.Service
	// tableVersion is the version of the routing table that the decision is based
	// on, tableAge the time since that version was last known to be the newest.
	tableVersion uint64
	tableAge     time.Duration
	// organisation is empty on an anonymous route.
	organisation  routing.Organisation
	authenticated bool
	tier          int
	// serviceName is the name of the service that the route selected.
	serviceName string
	// body is nil before it is complete. hold is charged with it, nil before it is read.
	body [][]byte
	hold *memory.Hold
	// bodyEnded is true if the rest of the body will not be read.
	bodyEnded bool
	// cost is the amount charged to the organisation's quota.
	cost float64
	// arrived is the time of arrival, deadline the time from which the answer is
	// useless.
	arrived, deadline time.Time
	fingerprint       uint64
	// features is what the request may have in common with others.
	features suspect.Request
	// tried is true if the request is let through to show whether what it has in common
	// with crashed ones is innocent.
	tried bool
	// sentAt is the time of the last attempt.
	sentAt time.Time
	// sends is the number of attempts that reached an endpoint.
	sends int
	// mayHaveRun is true once an endpoint may have started to run the request.
	mayHaveRun bool
	// timeToFirstByte is the time from the arrival to the first byte of the answer.
	timeToFirstByte time.Duration
	// eventCount is the number of events relayed to the caller.
	eventCount int
	// waitTime is the total time spent waiting for a slot.
	waitTime time.Duration
	// endpoint is the ID of the endpoint of the last attempt, avoid the ID of the
	// last endpoint that failed.
	endpoint, avoid string
}

// statusError is a refusal with its HTTP status code.
type statusError struct {
	code    int
	refusal *damasktrail.Refusal
}

func (s *statusError) Error() string { return s.refusal.Error() }

// notRunError returns a refusal of a request that has not run.
func notRunError(code int, reason damasktrail.Reason, after time.Duration, detail string) *statusError {
	return &statusError{code: code, refusal: &damasktrail.Refusal{
		Reason: reason, Outcome: damasktrail.NotRun, RetryAfter: after, Detail: detail,
	}}
}

// admit reads a request and decides whether it may run. It needs the response
// writer to limit the size of the body.
func (g *Gateway) admit(w http.ResponseWriter, r *http.Request) (*call, *statusError) {
	now := g.clock.Now()
	c := &call{g: g, request: r, target: requestTarget(r), fields: g.dialect.Call(r.Header), arrived: now}
	if c.fields.OutOfRange != "" {
		if r.ContentLength != 0 {
			// Otherwise the server reads the body before it sends the answer.
			w.Header().Set("Connection", "close")
		}
		return c, outOfRangeError(c.fields.OutOfRange)
	}
	s := g.catalog.Snapshot()
	if s.Table == nil {
		return c, notRunError(http.StatusServiceUnavailable, damasktrail.ReasonNotReady, notReadyRetryAfter, "no routing table yet")
	}
	c.tableVersion, c.tableAge = s.Table.Version, g.catalog.Age()
	stale := c.tableAge > staleTableAge
	notFoundError := func(code int, reason damasktrail.Reason, detail string) *statusError {
		if stale {
			return notRunError(http.StatusServiceUnavailable, damasktrail.ReasonNotReady, notReadyRetryAfter, detail+", and the table may be old")
		}
		return notRunError(code, reason, 0, detail)
	}
	var found bool
	if c.route, found = s.Table.Route(r.Host, targetPath(c.target)); !found {
		return c, notFoundError(http.StatusNotFound, damasktrail.ReasonNoModel, "no route for this host and path")
	}
	c.tier = combinedTier(c.organisation, c.route)
	if s.Table.RequiresKeys() && !c.route.Anonymous {
		if c.organisation, found = s.Table.Organisation(c.fields.Key); !found {
			return c, notFoundError(http.StatusUnauthorized, damasktrail.ReasonUnauthorised, "unknown key")
		}
		if !g.keysTrusted() {
			return c, notRunError(http.StatusServiceUnavailable, damasktrail.ReasonNotReady, notReadyRetryAfter, "keys were not confirmed in time")
		}
		c.authenticated = true
		c.tier = combinedTier(c.organisation, c.route)
	}
	c.serviceName = c.route.Target(rand.Float64())
	c.service, _ = s.Table.Service(c.serviceName)
	c.setDeadline()
	if g.refusesWhileDraining(c) {
		return c, g.leavingError()
	}
	if st := c.readBody(w, s.Table.Limits); st != nil {
		return c, st
	}
	return c, c.checkAndCharge()
}

// routeTiers is the number of tiers that a route can have.
const routeTiers = 16

// combinedTier orders requests by the tier of their organisation and, among equal
// tiers, by the tier of their route. An organisation without a tier of its own is
// treated as if its tier were that of the route.
func combinedTier(o routing.Organisation, r routing.Route) int {
	tier := min(max(r.Tier, 0), routeTiers-1)
	if !o.HasTier {
		return tier * (routeTiers + 1)
	}
	return max(o.Tier, 0)*routeTiers + tier
}

// setDeadline derives the deadline from the time that the caller waits and the
// timeout of the route, whichever is shorter.
func (c *call) setDeadline() {
	timeout := c.fields.Deadline
	if timeout == 0 {
		timeout = defaultDeadline
	}
	if c.route.Timeout > 0 {
		timeout = min(timeout, c.route.Timeout)
	}
	c.deadline = c.arrived.Add(timeout)
}

// checkAndCharge refuses a request that has crashed endpoints. It charges the cost of
// an authenticated request to the quota of its organisation.
func (c *call) checkAndCharge() *statusError {
	g := c.g
	c.fingerprint = fingerprint(c)
	c.features = suspect.NewRequest(c.fingerprint, c.fields.SharedParts)
	if c.refused() {
		return poisonedError()
	}
	if !c.authenticated {
		return nil
	}
	cost := 1.0
	if c.organisation.CountsTokens {
		cost = c.organisation.UncountedTokens
		if c.fields.Counted {
			cost = float64(c.fields.Prompt + c.fields.Output)
		}
	}
	wait, ok := g.quotas.Admit(c.organisation.Name, c.route.Tier, cost, g.clock.Now())
	if !ok {
		return notRunError(http.StatusTooManyRequests, damasktrail.ReasonLimit, wait, "the organisation's quota is used up")
	}
	c.cost = cost
	return nil
}

// leavingError returns the refusal of a request that this entry does not run because it
// shuts down.
func (g *Gateway) leavingError() *statusError {
	after := noPeerRetryAfter
	if g.exchange.HasAvailablePeer() {
		after = leavingRetryAfter
	}
	return notRunError(http.StatusServiceUnavailable, damasktrail.ReasonLeaving, after, "this entry is shutting down")
}

// outOfRangeError returns the refusal of a request with a number out of its range, which is
// treated like one that is larger than the memory of any endpoint.
func outOfRangeError(field string) *statusError {
	return notRunError(http.StatusServiceUnavailable, damasktrail.ReasonTooLarge, 0, field+" has a number out of its range")
}

// poisonedError returns the refusal of a request that would crash its endpoint.
func poisonedError() *statusError {
	return notRunError(http.StatusServiceUnavailable, damasktrail.ReasonPoisoned, 0, "this request, or a part of its prompt, has crashed endpoints")
}

// fingerprint returns a hash by which the same request is recognised when it is
// sent again.
func fingerprint(c *call) uint64 {
	h := fnv.New64a()
	for _, s := range []string{c.organisation.Name, c.request.Method, c.target} {
		_, _ = io.WriteString(h, s)
		_, _ = h.Write([]byte{0})
	}
	for _, block := range c.body {
		_, _ = h.Write(block)
	}
	return h.Sum64()
}

// acquire waits for a slot at an endpoint, until the end of a shutdown.
func (c *call) acquire(ctx context.Context) (*coordinator.Slot, *statusError) {
	now := c.g.clock.Now()
	waiting, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(c.g.drained, cancel)()
	grant, refusal := c.g.slots.Acquire(waiting, dispatch.Request{
		Service:      c.serviceName,
		Engine:       c.service.Engine,
		Organisation: c.organisation.Name,
		Tier:         c.tier,
		Objective:    max(0, c.route.Objective-now.Sub(c.arrived)),
		Timeout:      c.deadline.Sub(now),
		Prompt:       c.fields.Prompt,
		Output:       c.fields.Expected,
		Pause:        c.route.Pause,
		Whole:        c.route.Kind != routing.Streaming,
		Avoid:        c.avoid,
		Regions:      c.regions(),
		Repeatable:   c.route.Repeatable(),
	})
	c.waitTime += c.g.clock.Now().Sub(now)
	if refusal != nil && c.g.drained.Err() != nil && ctx.Err() == nil {
		return nil, c.g.leavingError()
	}
	if refusal != nil {
		return nil, &statusError{code: http.StatusServiceUnavailable, refusal: refusal}
	}
	// Other requests may have crashed endpoints while this one waited.
	if c.refused() {
		grant.Done(dispatch.Cancelled, 0)
		return nil, poisonedError()
	}
	return grant, nil
}
