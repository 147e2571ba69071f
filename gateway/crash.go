package gateway

import (
	"context"
	"errors"
	"fmt"
	"hash/fnv"
	"net/http"
	"slices"
	"syscall"
	"time"

	"damasktrail.dev/fleet"
	"damasktrail.dev/suspect"
)

const (
	// crashWindow is how long after a lost answer a refused connection is attributed to
	// the same crash.
	crashWindow = 2 * time.Second
	// soundEvents is the number of events after which the answer of a stream counts as
	// sound. An endpoint that crashes under a prompt does so when it begins to answer.
	soundEvents = 4
)

// laterProbes are the times after a loss at which an endpoint that still accepted
// connections is probed again. A dying process may close its port long after its
// connections.
var laterProbes = [...]time.Duration{250 * time.Millisecond, time.Second}

// lostRequest is a request that may have crashed its endpoint.
type lostRequest struct {
	features suspect.Request
	at       time.Time
}

// lostRequests keeps requests that were lost before their answers had begun until it is
// known whether their endpoint crashed or only the connection broke. It has one owner
// and is not safe for concurrent use.
type lostRequests struct {
	byEndpoint map[string][]lostRequest
}

func newLostRequests() *lostRequests { return &lostRequests{byEndpoint: map[string][]lostRequest{}} }

// add records a request that was lost at an endpoint.
func (l *lostRequests) add(endpoint string, features suspect.Request, now time.Time) {
	l.byEndpoint[endpoint] = append(l.byEndpoint[endpoint], lostRequest{features: features, at: now})
}

// clear drops the requests that an endpoint lost before the given time. It has answered
// a request that it got later, and so has not crashed.
func (l *lostRequests) clear(endpoint string, before time.Time) {
	l.keep(endpoint, func(x lostRequest) bool { return !x.at.Before(before) })
}

// expire drops the requests that were lost longer ago than crashWindow.
func (l *lostRequests) expire(now time.Time) {
	for endpoint := range l.byEndpoint {
		l.keep(endpoint, func(x lostRequest) bool { return now.Sub(x.at) <= crashWindow })
	}
}

// keep drops the lost requests of an endpoint for which f does not hold.
func (l *lostRequests) keep(endpoint string, f func(lostRequest) bool) {
	lost := slices.DeleteFunc(l.byEndpoint[endpoint], func(x lostRequest) bool { return !f(x) })
	if len(lost) == 0 {
		delete(l.byEndpoint, endpoint)
		return
	}
	l.byEndpoint[endpoint] = lost
}

// has reports whether requests were lost at the endpoint for which it has not answered
// since.
func (l *lostRequests) has(endpoint string) bool { return len(l.byEndpoint[endpoint]) > 0 }

// take removes and returns the lost requests of an endpoint that accepts no
// connections.
func (l *lostRequests) take(endpoint string) []lostRequest {
	res := l.byEndpoint[endpoint]
	delete(l.byEndpoint, endpoint)
	return res
}

// crashID identifies the incarnation of an endpoint alike at all gateways.
func crashID(e fleet.Endpoint) uint32 {
	h := fnv.New32a()
	_, _ = fmt.Fprint(h, e.ID, " ", e.Address, " ", e.StartedMillis)
	return h.Sum32()
}

// recordLoss records that the request was lost at its endpoint before the answer had
// begun. It reports whether the endpoint has crashed.
func (c *call) recordLoss(ctx context.Context, e fleet.Endpoint) bool {
	g := c.g
	g.mu.Lock()
	g.lostRequests.add(e.ID, c.features, g.clock.Now())
	g.mu.Unlock()
	// A caller that leaves meanwhile does not end the check.
	err := g.pool.Probe(context.WithoutCancel(ctx), e)
	if errors.Is(err, syscall.ECONNREFUSED) {
		g.recordUnreachable(e)
		return true
	}
	for _, d := range laterProbes {
		g.clock.Schedule(d, func(time.Time) {
			g.tasks.Go(func(ctx context.Context) { g.probeAgain(ctx, e) })
		})
	}
	return false
}

// probeAgain looks whether an endpoint that lost requests has crashed after all, unless it
// has answered a later one.
func (g *Gateway) probeAgain(ctx context.Context, e fleet.Endpoint) {
	g.mu.Lock()
	lost := g.lostRequests.has(e.ID)
	g.mu.Unlock()
	if lost && errors.Is(g.pool.Probe(ctx, e), syscall.ECONNREFUSED) {
		g.recordUnreachable(e)
	}
}

// recordSound records that the answer to the request is sound or has begun so.
func (c *call) recordSound() {
	c.g.evidence.AddAnswer(c.features, c.g.clock.Now())
}

// recordAnswer records a complete answer of an endpoint to an attempt that was sent at
// the given time. If ended is false, only the end of the connection ended it before a
// few events: it may have been cut off by a crash. Only a success is a sound answer: an
// endpoint may reject a request with a part that would crash it.
func (c *call) recordAnswer(endpoint string, sent time.Time, status int, ended bool) {
	g := c.g
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.clock.Now()
	if !ended {
		g.lostRequests.add(endpoint, c.features, now)
		return
	}
	g.lostRequests.clear(endpoint, sent)
	if status < http.StatusMultipleChoices {
		g.evidence.AddAnswer(c.features, now)
	}
}

// recordUnreachable records that an endpoint accepts no connections. The requests
// that it lost shortly before are suspected of having crashed it.
func (g *Gateway) recordUnreachable(e fleet.Endpoint) {
	now := g.clock.Now()
	g.mu.Lock()
	g.lostRequests.expire(now)
	lost := g.lostRequests.take(e.ID)
	g.mu.Unlock()
	if len(lost) == 0 {
		return
	}
	for _, x := range lost {
		g.evidence.AddCrash(x.features, crashID(e), now)
	}
	g.log.Warn("endpoint crashed", "endpoint", e.ID, "suspects", len(lost))
	g.exchange.Changed(true)
}

// refused reports whether the request is refused because of earlier crashes.
func (c *call) refused() bool {
	if c.tried {
		return false
	}
	verdict := c.g.evidence.Judge(c.features, c.g.clock.Now(), c.g.owns)
	c.tried = verdict == suspect.Try
	return verdict == suspect.Refuse
}

// owns reports whether this gateway is the one that tries a refused feature again.
func (g *Gateway) owns(f suspect.Feature) bool {
	return suspect.Owns(g.settings.Name, g.exchange.Peers(), f)
}

// logRefusedParts logs changes of the parts of prompts that are refused.
func (g *Gateway) logRefusedParts(time.Time) {
	parts := g.evidence.Parts()
	g.mu.Lock()
	before := g.refusedParts
	g.refusedParts = parts
	g.mu.Unlock()
	if !slices.Equal(parts, before) {
		g.log.Warn("parts of prompts refused", "parts", formatParts(parts), "before", formatParts(before))
	}
}
