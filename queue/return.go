package queue

import "time"

// Return puts an item back that Pop has returned, before all items of its organisation and
// tier, and gives the organisation the credit back that the item has taken, but no more than
// the item needs when it is next visited: without that bound each return would add a round's
// credit. It is for items that could not be served yet, so it checks no limits.
func (q *Queue[T]) Return(it Item[T], now time.Time) {
	q.insert(it, now)
	n := q.nodes[it.ID]
	f := n.flow
	needed := weight(it.Request.Cost)
	if !f.credited {
		needed -= quantum * f.share * float64(n.tier.activeFlows) / n.tier.totalShare
	}
	f.deficit = min(f.deficit+weight(it.Request.Cost), needed)
	if f.first == n {
		return
	}
	n.inFlow.prev.inFlow.next = nil
	f.last = n.inFlow.prev
	n.inFlow.prev, n.inFlow.next = nil, f.first
	f.first.inFlow.prev = n
	f.first = n
}
