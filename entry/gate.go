package entry

import (
	"context"
	"sync"

	"damasktrail.dev"
)

// gate bounds the open requests of an entry. When it is full, a request of a
// higher tier takes the place of one of the lowest tier that still waits for
// its first token.
type gate struct {
	limit int

	mu sync.Mutex
	// count is the number of open requests.
	count int
	// waiting holds, per rank, the requests without a first token, oldest first.
	waiting map[int][]*pass
}

// pass is the place of one open request. Its context ends when the request is
// shed or its caller goes away.
type pass struct {
	gate   *gate
	rank   int
	cancel context.CancelCauseFunc
	// settled is true once the request has a first token or was shed; mu of the
	// gate guards it.
	settled bool
}

func newGate(limit int) *gate {
	return &gate{limit: limit, waiting: map[int][]*pass{}}
}

// shed is the cause of a context that ends because of a full gate.
var shed = &damasktrail.Refusal{
	Reason: damasktrail.ReasonFull, Outcome: damasktrail.Unknown,
	RetryAfter: retryFull, Detail: "the entry has too many open requests",
}

// enter takes a place. It returns nil when the gate is full and no request of a
// lower tier waits.
func (g *gate) enter(ctx context.Context, rank int) (context.Context, *pass) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.count >= g.limit && !g.evict(rank) {
		return ctx, nil
	}
	g.count++
	ctx, cancel := context.WithCancelCause(ctx)
	p := &pass{gate: g, rank: rank, cancel: cancel}
	g.waiting[rank] = append(g.waiting[rank], p)
	return ctx, p
}

// evict sheds the newest waiting request of the lowest tier below rank; it
// needs mu. The place is counted until its request has left.
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
	p.settle()
	p.cancel(shed)
	return true
}

// settle takes a request out of those that can be shed; it needs the gate's mu.
func (p *pass) settle() {
	if p.settled {
		return
	}
	p.settled = true
	list := p.gate.waiting[p.rank]
	for i, other := range list {
		if other == p {
			p.gate.waiting[p.rank] = append(list[:i:i], list[i+1:]...)
			return
		}
	}
}

// begun marks the first token.
func (p *pass) begun() {
	p.gate.mu.Lock()
	defer p.gate.mu.Unlock()
	p.settle()
}

// leave gives the place back.
func (p *pass) leave() {
	p.gate.mu.Lock()
	defer p.gate.mu.Unlock()
	p.settle()
	p.gate.count--
	p.cancel(nil)
}

func (g *gate) open() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.count
}
