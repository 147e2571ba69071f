package queue

import "time"

// Return puts an item back that Pop has returned, before all items of its organisation and
// tier, and gives the organisation the credit back that the item has taken. It is for items
// that could not be served yet, so it checks no limits.
func (q *Queue[T]) Return(it Item[T], now time.Time) {
	q.insert(it, now)
	n := q.nodes[it.ID]
	f := n.flow
	f.deficit += weight(it.Request.Cost)
	if f.first == n {
		return
	}
	n.inFlow.prev.inFlow.next = nil
	f.last = n.inFlow.prev
	n.inFlow.prev, n.inFlow.next = nil, f.first
	f.first.inFlow.prev = n
	f.first = n
}
