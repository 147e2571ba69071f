package gateway

import (
	"math/rand/v2"
	"time"
)

// crashWindow is how long after a lost answer a refused connection is attributed to
// the same crash. An endpoint whose connection broke is tried again after half a
// second.
const crashWindow = 2 * time.Second

// lostRequest is a request whose connection broke while an endpoint was handling
// it.
type lostRequest struct {
	fingerprint uint64
	at          time.Time
}

// lostRequests keeps lost requests until it is known whether their endpoint crashed
// or only the connection broke. It has one owner and is not safe for concurrent
// use.
type lostRequests struct {
	byEndpoint map[string][]lostRequest
}

func newLostRequests() *lostRequests { return &lostRequests{byEndpoint: map[string][]lostRequest{}} }

// add records a request that was lost at an endpoint.
func (l *lostRequests) add(endpoint string, fingerprint uint64, now time.Time) {
	l.byEndpoint[endpoint] = append(l.byEndpoint[endpoint], lostRequest{fingerprint: fingerprint, at: now})
}

// clear drops the lost requests of an endpoint that has answered and so has not
// crashed.
func (l *lostRequests) clear(endpoint string) { delete(l.byEndpoint, endpoint) }

// takeRecent removes all lost requests of an endpoint that accepts no connections.
// It returns those lost within crashWindow, which the endpoint was handling when it
// crashed.
func (l *lostRequests) takeRecent(endpoint string, now time.Time) []uint64 {
	var res []uint64
	for _, x := range l.byEndpoint[endpoint] {
		if now.Sub(x.at) <= crashWindow {
			res = append(res, x.fingerprint)
		}
	}
	delete(l.byEndpoint, endpoint)
	return res
}

// recordLoss records a request whose connection to an endpoint broke.
func (g *Gateway) recordLoss(endpoint string, fingerprint uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lostRequests.add(endpoint, fingerprint, g.clock.Now())
}

// recordAnswer records that an endpoint has answered.
func (g *Gateway) recordAnswer(endpoint string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lostRequests.clear(endpoint)
}

// recordUnreachable records that an endpoint accepts no connections. The requests
// that it lost shortly before are suspected of having crashed it.
func (g *Gateway) recordUnreachable(endpoint string) {
	now := g.clock.Now()
	crashID := rand.Uint64()
	g.mu.Lock()
	fingerprints := g.lostRequests.takeRecent(endpoint, now)
	for _, f := range fingerprints {
		g.suspects.Add(f, crashID, now)
	}
	g.mu.Unlock()
	if len(fingerprints) > 0 {
		g.log.Warn("endpoint crashed", "endpoint", endpoint, "suspects", len(fingerprints))
		g.exchange.Changed(true)
	}
}
