// Package quota limits organisations to the rates that the configuration allows
// them over all entries together. Each entry admits requests from its own token
// buckets and reports to its peers how much it has admitted. Start from [New].
package quota

import (
	"maps"
	"math"
	"sync"
	"time"

	"damasktrail.dev/internal/bucket"
	"damasktrail.dev/routing"
)

// quotaBucket is the token bucket of one organisation's quota.
type quotaBucket struct {
	*bucket.Bucket
	// admitted is the total cost that this entry has admitted since its start.
	admitted float64
}

// Usage is the total cost that an entry has admitted since its start, by
// organisation.
type Usage map[string]float64

// Ledger holds the quotas of all organisations. It is safe for concurrent use.
type Ledger struct {
	mu      sync.Mutex
	buckets map[string]*quotaBucket
	// peerUsage is the last reported usage of each peer, by name and incarnation.
	peerUsage map[string]Usage
}

// New returns a ledger without quotas.
func New() *Ledger {
	return &Ledger{buckets: map[string]*quotaBucket{}, peerUsage: map[string]Usage{}}
}

// SetTable applies the quotas of a routing table. A bucket starts full; one whose
// quota changes keeps its level, limited to the new burst.
func (l *Ledger) SetTable(t *routing.Table, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := make(map[string]*quotaBucket, len(l.buckets))
	for _, o := range t.Organisations() {
		b := l.buckets[o.Name]
		switch {
		case b == nil:
			b = &quotaBucket{Bucket: bucket.New(o.Rate, o.Burst, o.Burst, now)}
		case b.Rate() == 0:
			b.Bucket = bucket.New(o.Rate, o.Burst, o.Burst, now)
		default:
			b.Resize(o.Rate, o.Burst, now)
		}
		next[o.Name] = b
	}
	l.buckets = next
}

// maxUnreservedRatio is the part of the burst up to which the cost of a request is
// admitted without a reserve: it takes little from the tiers above it.
const maxUnreservedRatio = 0.01

// reserve returns the part of the burst that a request of a tier leaves to the
// tiers above it. When an organisation sends more than its quota, its urgent
// requests and those of low cost are then admitted first.
func reserve(tier int, cost, burst float64) float64 {
	switch {
	case tier <= 0 || cost <= maxUnreservedRatio*burst:
		return 0
	case tier == 1:
		return 0.1 * burst
	}
	return 0.25 * burst
}

// maxCost bounds the cost of one request, in requests or tokens, and maxUsage the total of a
// peer. Below 2^53 a float64 counts in steps of one.
const (
	maxCost  = 1 << 40
	maxUsage = 1 << 52
)

// inRange reports whether a number is from zero to most.
func inRange(x, most float64) bool { return x >= 0 && x <= most }

// Admit deducts cost from the quota of an organisation for a request of a route's
// tier. When the quota does not suffice, Admit deducts nothing and returns the time
// until it does. A cost out of range is never admitted under a quota.
func (l *Ledger) Admit(organisation string, tier int, cost float64, now time.Time) (wait time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	b := l.buckets[organisation]
	if b == nil || b.Rate() <= 0 {
		return 0, true
	}
	if !inRange(cost, maxCost) {
		return math.MaxInt64, false
	}
	// A request that costs more than the burst is admitted when the bucket is full.
	need := min(cost+reserve(tier, cost, b.Depth()), b.Depth())
	if wait := b.Wait(need, now); wait > 0 {
		return wait, false
	}
	b.Add(-cost, now)
	b.admitted += cost
	return 0, true
}

// Refund refunds the cost of a request that has not run.
func (l *Ledger) Refund(organisation string, cost float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if b := l.buckets[organisation]; b != nil && b.Rate() > 0 && inRange(cost, maxCost) {
		b.Add(cost, now)
		b.admitted -= cost
	}
}

// Usage returns the usage of this entry.
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

// SetPeerUsage deducts the usage of a peer since its previous report. The peer's name
// includes its incarnation, so that its totals fall by refunds only. The first
// report of a peer is the baseline of later ones: usage from before this entry knew
// the peer is offset by refill time that this entry has not counted either. Usage that is
// out of range counts as unchanged.
func (l *Ledger) SetPeerUsage(peer string, usage Usage, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before, known := l.peerUsage[peer]
	usage = maps.Clone(usage)
	for name, admitted := range usage {
		if !inRange(admitted, maxUsage) {
			usage[name] = before[name]
		}
	}
	l.peerUsage[peer] = usage
	if !known {
		return
	}
	for name, admitted := range usage {
		b := l.buckets[name]
		if b == nil || b.Rate() <= 0 {
			continue
		}
		b.Add(before[name]-admitted, now)
	}
}

// RemovePeer removes the usage of a peer that is gone.
func (l *Ledger) RemovePeer(peer string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.peerUsage, peer)
}
