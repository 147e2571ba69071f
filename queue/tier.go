package queue

import (
	"math"

	"damasktrail.dev"
)

// decodeWeight is the cost of a generated token in prefill tokens. A generated
// token costs more because an engine processes a prompt in parallel, but an
// answer token by token.
const decodeWeight = 4

// maxWeightTokens is the largest weight of a request in prefill tokens, and the most that
// is counted of each part of its cost. Sums of weights stay far below 2^53, above which a
// float64 no longer represents each whole number.
const maxWeightTokens = 1 << 36

// weight returns the cost in prefill tokens that a request takes from its
// organisation's credit, from 1 to maxWeightTokens.
func weight(c damasktrail.Cost) float64 {
	prefill := min(max(0, c.Prefill), maxWeightTokens)
	decode := min(max(0, c.Decode), maxWeightTokens)
	return float64(min(max(1, prefill+decodeWeight*decode), maxWeightTokens))
}

// insert appends a node to the tier and to the flow of its organisation.
func (t *tier[T]) insert(n *node[T], share float64) {
	r := &n.item.Request
	f := t.flows[r.Organisation]
	if f == nil {
		f = &flow[T]{organisation: r.Organisation, share: share}
		t.flows[r.Organisation] = f
		t.addFlow(f)
	}
	n.flow = f
	n.inFlow.prev = f.last
	if f.last != nil {
		f.last.inFlow.next = n
	} else {
		f.first = n
	}
	f.last = n
	n.inTier.prev = t.last
	if t.last != nil {
		t.last.inTier.next = n
	}
	t.last = n
	t.count++
	t.work.Prefill += r.Cost.Prefill
	t.work.Decode += r.Cost.Decode
	f.work.Prefill += r.Cost.Prefill
	f.work.Decode += r.Cost.Decode
}

// remove removes a node from the tier. A flow that becomes empty is removed with
// its credit, so that idle organisations accumulate none.
func (t *tier[T]) remove(n *node[T]) {
	r, f := &n.item.Request, n.flow
	if n.inFlow.prev != nil {
		n.inFlow.prev.inFlow.next = n.inFlow.next
	} else {
		f.first = n.inFlow.next
	}
	if n.inFlow.next != nil {
		n.inFlow.next.inFlow.prev = n.inFlow.prev
	} else {
		f.last = n.inFlow.prev
	}
	if n.inTier.prev != nil {
		n.inTier.prev.inTier.next = n.inTier.next
	}
	if n.inTier.next != nil {
		n.inTier.next.inTier.prev = n.inTier.prev
	} else {
		t.last = n.inTier.prev
	}
	t.count--
	t.work.Prefill -= r.Cost.Prefill
	t.work.Decode -= r.Cost.Decode
	f.work.Prefill -= r.Cost.Prefill
	f.work.Decode -= r.Cost.Decode
	if f.first == nil {
		t.removeFlow(f)
	}
}

// addFlow appends a flow to the ring, so that it is served last.
func (t *tier[T]) addFlow(f *flow[T]) {
	t.activeFlows++
	t.totalShare += f.share
	if t.current == nil {
		f.prev, f.next = f, f
		t.current = f
		return
	}
	f.prev, f.next = t.current.prev, t.current
	f.prev.next, f.next.prev = f, f
}

// removeFlow removes a flow from the ring.
func (t *tier[T]) removeFlow(f *flow[T]) {
	delete(t.flows, f.organisation)
	t.activeFlows--
	t.totalShare -= f.share
	if t.activeFlows == 0 {
		t.current = nil
		t.totalShare = 0
		return
	}
	f.prev.next, f.next.prev = f.next, f.prev
	if t.current == f {
		t.current = f.next
	}
}

// credit returns the tokens that a flow receives per round: quantum on average over the
// flows, in proportion to their shares.
func (t *tier[T]) credit(f *flow[T]) float64 {
	return quantum * f.share * float64(t.activeFlows) / t.totalShare
}

// next returns the next node by deficit round robin. The tier must not be empty. It visits
// each flow a bounded number of times, so that its cost does not depend on the weights of
// requests.
func (t *tier[T]) next() *node[T] {
	for range t.activeFlows {
		f := t.current
		if !f.credited {
			f.credited = true
			f.deficit += t.credit(f)
		}
		if f.deficit >= weight(f.first.item.Request.Cost) {
			return f.first
		}
		f.credited = false
		t.current = f.next
	}
	return t.skipRounds()
}

// skipRounds grants at once the credit of the rounds in which no flow can be served, and that
// of the next round up to the first flow that can be. It makes that flow the current one and
// returns its first node. No flow has received its credit for the current visit.
func (t *tier[T]) skipRounds() *node[T] {
	fewest, served := math.Inf(1), t.current
	f := t.current
	for range t.activeFlows {
		missing := weight(f.first.item.Request.Cost) - f.deficit
		if rounds := math.Ceil(missing / t.credit(f)); rounds < fewest {
			fewest, served = rounds, f
		}
		f = f.next
	}
	rounds := fewest
	for range t.activeFlows {
		f.deficit += rounds * t.credit(f)
		if f == served {
			rounds = fewest - 1
		}
		f = f.next
	}
	// The sum may fall short by a rounding error.
	served.deficit = max(served.deficit, weight(served.first.item.Request.Cost))
	served.credited = true
	t.current = served
	return served.first
}

// dispatchHeap is a min-heap of nodes by latestDispatch.
type dispatchHeap[T any] []*node[T]

// Len implements heap.Interface.
func (h dispatchHeap[T]) Len() int { return len(h) }

// Less implements heap.Interface.
func (h dispatchHeap[T]) Less(i, j int) bool { return h[i].latestDispatch.Before(h[j].latestDispatch) }

// Swap implements heap.Interface.
func (h dispatchHeap[T]) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].index, h[j].index = i, j
}

// Push implements heap.Interface.
func (h *dispatchHeap[T]) Push(x any) {
	n := x.(*node[T])
	n.index = len(*h)
	*h = append(*h, n)
}

// Pop implements heap.Interface.
func (h *dispatchHeap[T]) Pop() any {
	old := *h
	last := len(old) - 1
	n := old[last]
	old[last] = nil
	*h = old[:last]
	return n
}
