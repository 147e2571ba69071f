package entry

import (
	"context"
	"sync"

	"damasktrail.dev"
)

// gate bounds the open requests of an entry. When it is full, a request of a
// higher tier evicts one of the lowest tier that still waits for its first
// token.
type gate struct {
	limit int

	mu sync.Mutex
	// count is the number of open requests.
	count int
	// waiting holds, per rank, the requests that have no first token yet, oldest
	// first.
	waiting map[int][]*slot
}

// slot is the place of one open request in the gate. Its context ends when the
// request is evicted or its caller goes away.
type slot struct {
	gate   *gate
	rank   int
	cancel context.CancelCauseFunc
	// dequeued is true once the slot is no longer in waiting, because the request
	// has a first token or was evicted; it is guarded by the gate's mu.
	dequeued bool
}

func newGate(limit int) *gate {
	return &gate{limit: limit, waiting: map[int][]*slot{}}
}

// errShed is the cause of the context of a request that was evicted from a
// full gate.
var errShed = &damasktrail.Refusal{
	Reason: damasktrail.ReasonFull, Outcome: damasktrail.Unknown,
	RetryAfter: defaultRetryAfter, Detail: "the entry has too many open requests",
}

// acquire takes a slot. It returns nil when the gate is full and no request of
// a lower tier waits.
func (g *gate) acquire(ctx context.Context, rank int) (context.Context, *slot) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.count >= g.limit && !g.evict(rank) {
		return ctx, nil
	}
	g.count++
	ctx, cancel := context.WithCancelCause(ctx)
	p := &slot{gate: g, rank: rank, cancel: cancel}
	g.waiting[rank] = append(g.waiting[rank], p)
	return ctx, p
}

// evict cancels the newest waiting request of the lowest tier below rank; the
// caller holds mu. The slot counts as taken until that request releases it.
func (g *gate) evict(rank int) bool {
	lowest := rank
	for r, list := range g.waiting {
		if r > lowest && len(list) > 0 {
			lowest = r
		}
	}
	if lowest == rank {
		return false
	}
	list := g.waiting[lowest]
	p := list[len(list)-1]
	p.dequeue()
	p.cancel(errShed)
	return true
}

// dequeue removes the slot from waiting, so that it cannot be evicted; the
// caller holds the gate's mu.
func (p *slot) dequeue() {
	if p.dequeued {
		return
	}
	p.dequeued = true
	list := p.gate.waiting[p.rank]
	for i, other := range list {
		if other == p {
			p.gate.waiting[p.rank] = append(list[:i:i], list[i+1:]...)
			return
		}
	}
}

// firstToken records that the first token arrived.
func (p *slot) firstToken() {
	p.gate.mu.Lock()
	defer p.gate.mu.Unlock()
	p.dequeue()
}

// release returns the slot to the gate.
func (p *slot) release() {
	p.gate.mu.Lock()
	defer p.gate.mu.Unlock()
	p.dequeue()
	p.gate.count--
	p.cancel(nil)
}

func (g *gate) openCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.count
}
