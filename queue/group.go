package queue

import (
	"cmp"
	"slices"
	"time"

	"damasktrail.dev"
)

// compareTiers orders tiers by rank; in a rank, the items that are overdue come last.
func compareTiers[T any](t *tier[T], rank int, overdue bool) int {
	return cmp.Or(cmp.Compare(t.rank, rank), compareBools(t.overdue, overdue))
}

func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// counts reports whether the items of the tier are served before a request that is not
// overdue.
func (t *tier[T]) counts(r damasktrail.Request) bool {
	return t.rank < r.Tier || t.rank == r.Tier && !t.overdue
}

// Regroup moves the items whose InTimeUntil has come to the overdue items of their rank. It
// visits a tier only when the earliest InTimeUntil in it has come.
func (q *Queue[T]) Regroup(now time.Time) {
	for _, t := range slices.Clone(q.tiers) {
		if t.regroupAt.IsZero() || now.Before(t.regroupAt) {
			continue
		}
		t.regroupAt = time.Time{}
		for n := t.first(); n != nil; {
			next := n.inTier.next
			if n.item.overdue(now) {
				q.regroup(n)
			} else {
				t.noteInTimeUntil(n.item.InTimeUntil)
			}
			n = next
		}
	}
}

// regroup moves a node to the overdue items of its rank.
func (q *Queue[T]) regroup(n *node[T]) {
	n.tier.remove(n)
	n.inTier, n.inFlow = links[T]{}, links[T]{}
	r := n.item.Request
	n.tier = q.tier(r.Tier, true)
	n.tier.insert(n, q.share(r.Organisation))
}

// overdue reports whether the item belongs to the overdue items of its rank.
func (it *Item[T]) overdue(now time.Time) bool {
	return !it.InTimeUntil.IsZero() && !now.Before(it.InTimeUntil)
}

// noteInTimeUntil lowers regroupAt to the InTimeUntil of an item.
func (t *tier[T]) noteInTimeUntil(at time.Time) {
	if !t.overdue && !at.IsZero() && (t.regroupAt.IsZero() || at.Before(t.regroupAt)) {
		t.regroupAt = at
	}
}

// first returns the oldest node of the tier, nil if it is empty.
func (t *tier[T]) first() *node[T] {
	n := t.last
	for n != nil && n.inTier.prev != nil {
		n = n.inTier.prev
	}
	return n
}

// EachGroup calls f with the rank and the number of items of each group that has items, in
// the order in which they are served.
func (q *Queue[T]) EachGroup(f func(rank int, overdue bool, count int)) {
	for _, t := range q.tiers {
		if t.count > 0 {
			f(t.rank, t.overdue, t.count)
		}
	}
}

// Items returns the waiting items by group and, in a group, in order of arrival.
func (q *Queue[T]) Items() []Item[T] {
	res := make([]Item[T], 0, len(q.nodes))
	for _, t := range q.tiers {
		for n := t.first(); n != nil; n = n.inTier.next {
			res = append(res, n.item)
		}
	}
	return res
}
