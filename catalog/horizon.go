package catalog

import (
	"sync"
	"time"
)

// horizonSteps is the number of steps in which a horizon follows the newest revision
// during its delay.
const horizonSteps = 16

// horizon is the highest revision that this entry has known of for some time, by its own
// calls or by those of peers. Who does not know it decides by a list that is older than
// the delay. It is safe for concurrent use.
type horizon struct {
	mu sync.Mutex
	// delay is how long a revision must have been known; zero if there is no horizon.
	delay time.Duration
	// reached is the horizon as of the last call.
	reached uint64
	// ahead has newer revisions and the uptimes at which they became known, both rising.
	// Two are at least a step apart, so there are at most horizonSteps + 1.
	ahead []knownRevision
}

// knownRevision is a revision and the uptime since which it has been known.
type knownRevision struct {
	revision uint64
	at       time.Duration
}

// setDelay gives the horizon its delay.
func (h *horizon) setDelay(delay time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.delay = delay
}

// add records that a revision is known at the given uptime. One that follows the last one
// within a step is left to the next report, which comes many times a second.
func (h *horizon) add(revision uint64, now time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.advance(now)
	newest, step := h.reached, h.delay/horizonSteps
	if n := len(h.ahead); n > 0 {
		newest = h.ahead[n-1].revision
		if now-h.ahead[n-1].at < step {
			return
		}
	}
	if h.delay > 0 && revision > newest {
		h.ahead = append(h.ahead, knownRevision{revision: revision, at: now})
	}
}

// at returns the horizon at the given uptime; zero if there is none.
func (h *horizon) at(now time.Duration) uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.advance(now)
	return h.reached
}

// advance moves the horizon to the newest revision that is old enough. The caller holds
// mu.
func (h *horizon) advance(now time.Duration) {
	n := 0
	for n < len(h.ahead) && now-h.ahead[n].at >= h.delay {
		h.reached = h.ahead[n].revision
		n++
	}
	h.ahead = h.ahead[n:]
}
