// Package quota keeps organisations within the rates that the configuration
// allows them over all entries together. Each entry admits on its own and tells
// its peers how much it has admitted. Start from [New].
package quota

import (
	"sync"
	"time"

	"damasktrail.dev/routing"
)

// bucket is what is left of one organisation's quota.
type bucket struct {
	rate, burst float64
	level       float64
	filled      time.Time
	// admitted is the sum of what this entry has admitted since its start.
	admitted float64
}

// fill adds what the time since the last call allows.
func (b *bucket) fill(now time.Time) {
	if d := now.Sub(b.filled).Seconds(); d > 0 {
		b.level = min(b.burst, b.level+d*b.rate)
	}
	b.filled = now
}

// Usage is what an entry has admitted since its start, by organisation.
type Usage map[string]float64

// Ledger holds the quotas of all organisations. It is safe for use by several
// goroutines.
type Ledger struct {
	mu      sync.Mutex
	buckets map[string]*bucket
	// seen is the last usage of each peer's incarnation.
	seen map[string]Usage
}

// New returns a ledger without quotas.
func New() *Ledger {
	return &Ledger{buckets: map[string]*bucket{}, seen: map[string]Usage{}}
}

// SetTable takes the quotas of a routing table. A bucket starts full; one whose
// quota changes keeps its level, as far as the new burst allows.
func (l *Ledger) SetTable(t *routing.Table, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := make(map[string]*bucket, len(l.buckets))
	for _, o := range t.Organisations() {
		b := l.buckets[o.Name]
		if b == nil {
			b = &bucket{level: o.Burst, filled: now}
		}
		b.fill(now)
		if b.rate == 0 {
			b.level = o.Burst
		}
		b.rate, b.burst = o.Rate, o.Burst
		b.level = min(b.level, b.burst)
		next[o.Name] = b
	}
	l.buckets = next
}

// smallCost is the part of the burst up to which a request leaves no reserve: it
// takes hardly anything from the tiers above it.
const smallCost = 0.01

// reserve is the part of the burst that a request of a tier leaves to the tiers
// above it. It answers an organisation that asks for more than its quota: what
// the quota allows then goes to its urgent requests first, and to those that
// cost little.
func reserve(tier int, cost, burst float64) float64 {
	switch {
	case tier <= 0 || cost <= smallCost*burst:
		return 0
	case tier == 1:
		return 0.1 * burst
	}
	return 0.25 * burst
}

// Admit takes cost from the quota of an organisation for a request of a route's
// tier. When there is not enough it takes nothing and returns the time until
// there is.
func (l *Ledger) Admit(organisation string, tier int, cost float64, now time.Time) (wait time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[organisation]
	if b == nil || b.rate <= 0 {
		return 0, true
	}
	b.fill(now)
	// A request larger than the burst passes when the bucket is full.
	need := min(cost+reserve(tier, cost, b.burst), b.burst)
	if b.level < need {
		return time.Duration((need - b.level) / b.rate * float64(time.Second)), false
	}
	b.level -= cost
	b.admitted += cost
	return 0, true
}

// Return gives back what was admitted for a request that has not run.
func (l *Ledger) Return(organisation string, cost float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.buckets[organisation]; b != nil && b.rate > 0 {
		b.level = min(b.burst, b.level+cost)
		b.admitted -= cost
	}
}

// Usage returns what this entry has admitted.
func (l *Ledger) Usage() Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	res := make(Usage, len(l.buckets))
	for name, b := range l.buckets {
		if b.admitted > 0 {
			res[name] = b.admitted
		}
	}
	return res
}

// Learn takes what a peer has admitted. The peer's name includes its
// incarnation, so that its sums never fall but for what it gives back. The first
// report of a peer is the base of later ones: what it admitted before this entry
// knew it has been paid for by time that this entry has not seen either.
func (l *Ledger) Learn(peer string, usage Usage, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before, known := l.seen[peer]
	l.seen[peer] = usage
	if !known {
		return
	}
	for name, admitted := range usage {
		b := l.buckets[name]
		if b == nil || b.rate <= 0 {
			continue
		}
		b.fill(now)
		b.level = min(b.burst, b.level-(admitted-before[name]))
	}
}

// Forget drops what is known of a peer that is gone.
func (l *Ledger) Forget(peer string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.seen, peer)
}
