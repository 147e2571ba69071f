package gateway

import (
	"math/rand/v2"
	"time"
)

// crashWindow is how long after a lost answer a refused connection counts as
// the same crash. An endpoint that broke is tried again after half a second.
const crashWindow = 2 * time.Second

// loss is a request whose connection broke while an endpoint had it.
type loss struct {
	fingerprint uint64
	at          time.Time
}

// losses remembers lost requests until it is known whether their endpoint has
// crashed or only the connection broke. It has one owner.
type losses struct {
	byEndpoint map[string][]loss
}

func newLosses() *losses { return &losses{byEndpoint: map[string][]loss{}} }

// add notes a request that was lost at an endpoint.
func (l *losses) add(endpoint string, fingerprint uint64, now time.Time) {
	l.byEndpoint[endpoint] = append(l.byEndpoint[endpoint], loss{fingerprint: fingerprint, at: now})
}

// sound says that the endpoint has answered: it has not crashed.
func (l *losses) sound(endpoint string) { delete(l.byEndpoint, endpoint) }

// crashed returns the requests that the endpoint had when it crashed. It is
// called when the endpoint takes no connections.
func (l *losses) crashed(endpoint string, now time.Time) []uint64 {
	var res []uint64
	for _, x := range l.byEndpoint[endpoint] {
		if now.Sub(x.at) <= crashWindow {
			res = append(res, x.fingerprint)
		}
	}
	delete(l.byEndpoint, endpoint)
	return res
}

// noteLoss notes a request whose connection to an endpoint broke.
func (g *Gateway) noteLoss(endpoint string, fingerprint uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.losses.add(endpoint, fingerprint, g.clock.Now())
}

// noteSound notes that an endpoint has answered.
func (g *Gateway) noteSound(endpoint string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.losses.sound(endpoint)
}

// noteDown notes that an endpoint takes no connections. What it had shortly
// before is suspected of having crashed it.
func (g *Gateway) noteDown(endpoint string) {
	now := g.clock.Now()
	crash := rand.Uint64()
	g.mu.Lock()
	fingerprints := g.losses.crashed(endpoint, now)
	for _, f := range fingerprints {
		g.suspects.Add(f, crash, now)
	}
	g.mu.Unlock()
	if len(fingerprints) > 0 {
		g.log.Warn("endpoint crashed", "endpoint", endpoint, "suspects", len(fingerprints))
		g.exchange.Changed(true)
	}
}
