// Package queue holds the requests that wait at an agent. It sheds load by tier
// and deadline and shares each tier fairly between organisations. It has no
// clock and starts no goroutine: methods that need the current time take it as
// a parameter. Start from [New].
package queue

import (
	"container/heap"
	"fmt"
	"math"
	"slices"
	"time"

	"damasktrail.dev"
)

// quantum is the mean credit in tokens that an organisation receives per round
// of the deficit round robin. It is close to the mean cost of a request, so that
// a pop visits about one organisation.
const quantum = 1024

// Bounds of the RetryAfter of refusals.
const (
	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 30 * time.Second
)

// Limits bounds the size of the queue.
type Limits struct {
	// Requests is the maximum number of waiting requests.
	Requests int
	// Prefill is the maximum number of prefill tokens over all waiting requests.
	Prefill int
}

// Rates are the measured speeds of the endpoint. A zero field is unknown. Work
// at an unknown rate is assumed to take no time, so that no request is refused
// because of a guess.
type Rates struct {
	// Prefill and Decode are in tokens per second over all running requests. The
	// times for prefill and decode add up.
	Prefill, Decode float64
	// TokenInterval is the time between two consecutive tokens of one answer.
	TokenInterval time.Duration
}

// BusyTime returns the time that a fully used endpoint takes for the tokens.
func (r Rates) BusyTime(prefill, decode int) time.Duration {
	return processingTime(prefill, r.Prefill) + processingTime(decode, r.Decode)
}

// ServiceTime returns the service time of one request, from dispatch to its last
// token.
func (r Rates) ServiceTime(c damasktrail.Cost) time.Duration {
	return processingTime(c.Prefill, r.Prefill) + time.Duration(c.Decode)*r.TokenInterval
}

// processingTime returns tokens/rate, or zero when the rate is unknown.
func processingTime(tokens int, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return clampedDuration(float64(tokens) / rate * float64(time.Second))
}

// clampedDuration converts nanoseconds to a duration of at most a year, so that
// sums of a few durations do not overflow.
func clampedDuration(nanoseconds float64) time.Duration {
	return time.Duration(min(nanoseconds, float64(365*24*time.Hour)))
}

// Item is a waiting request.
type Item[T any] struct {
	// ID is unique among the waiting items.
	ID string
	// Request describes the request. Its Deadline is relative to the time of Push.
	Request damasktrail.Request
	// DecodeP90 is the estimated 0.9 quantile of the number of generated tokens.
	// Deadline checks use it if it is greater than the expected number, so that no
	// prefill is spent on answers that would miss their deadline.
	DecodeP90 int
	// InTimeUntil is the time from which the item is overdue: it is then served after all
	// items of its rank that are not, and before lower ranks. Zero means never.
	InTimeUntil time.Time
	// Ticketed marks an item that [Queue.Drain] leaves in the queue.
	Ticketed bool
	// Value is opaque to the queue.
	Value T
}

// serviceTime returns the service time at the greater of the expected number of
// generated tokens and DecodeP90.
func (it *Item[T]) serviceTime(r Rates) time.Duration {
	c := it.Request.Cost
	c.Decode = max(c.Decode, it.DecodeP90)
	return r.ServiceTime(c)
}

// node is an item with its positions in the queue's data structures.
type node[T any] struct {
	item     Item[T]
	deadline time.Time
	// latestDispatch is the latest dispatch time that still meets the deadline,
	// at the rates known at Push.
	latestDispatch time.Time
	tier           *tier[T]
	flow           *flow[T]
	// index is the position in the heap.
	index int
	// inTier and inFlow link the items of the tier and of the flow in order of
	// arrival.
	inTier, inFlow links[T]
}

// links are the links of a node in a doubly linked list.
type links[T any] struct{ prev, next *node[T] }

// flow holds the items of one organisation in one tier.
type flow[T any] struct {
	organisation string
	first, last  *node[T]
	share        float64
	// deficit is the unspent credit in tokens.
	deficit float64
	// credited is set once the flow has received its credit for the current visit.
	credited bool
	work     damasktrail.Cost
	// prev and next link the ring of flows that have items.
	prev, next *flow[T]
}

// tier holds the items of one rank that are overdue, or those that are not.
type tier[T any] struct {
	rank    int
	overdue bool
	// regroupAt is the earliest InTimeUntil of the items, or a time before it; zero if
	// there is none.
	regroupAt time.Time
	flows     map[string]*flow[T]
	// current is the flow to be served next; nil when the tier is empty.
	current *flow[T]
	// last is the newest item.
	last *node[T]
	// count and work are totals over the items.
	count int
	work  damasktrail.Cost
	// totalShare is the sum of the shares of the flows in the ring, and
	// activeFlows their number.
	totalShare  float64
	activeFlows int
}

// Queue holds the waiting requests of one agent. It is not safe for concurrent
// use: the goroutine of the agent's control state owns it.
type Queue[T any] struct {
	limits Limits
	rates  Rates
	shares map[string]float64
	// tiers is sorted by rank, overdue items last, and keeps tiers that became empty.
	tiers []*tier[T]
	nodes map[string]*node[T]
	// byLatestDispatch is a min-heap by latestDispatch.
	byLatestDispatch dispatchHeap[T]
	work             damasktrail.Cost
	// missed holds items that Pop skipped because they can no longer meet their
	// deadline, until Expire returns them.
	missed []Item[T]
	// freeNodes is a free list of nodes, linked by inTier.next.
	freeNodes *node[T]
}

// New returns an empty queue with the given limits, unknown rates and equal
// shares.
func New[T any](limits Limits) *Queue[T] {
	return &Queue[T]{limits: limits, nodes: make(map[string]*node[T])}
}

// SetRates replaces the measured rates.
func (q *Queue[T]) SetRates(r Rates) { q.rates = r }

// SetLimits replaces the limits. Waiting items stay, even if they exceed the new
// limits.
func (q *Queue[T]) SetLimits(l Limits) { q.limits = l }

// SetShares replaces the shares of the organisations. An organisation without a
// share above zero has the share 1; others are limited to the range from minShare to
// maxShare. The map must not change afterwards.
func (q *Queue[T]) SetShares(shares map[string]float64) {
	q.shares = shares
	for _, t := range q.tiers {
		t.totalShare = 0
		for _, f := range t.flows {
			f.share = q.share(f.organisation)
			t.totalShare += f.share
		}
	}
}

// minShare and maxShare bound the shares, so that sums of shares are finite and each share
// counts in them.
const (
	minShare = 1e-3
	maxShare = 1e6
)

// share returns the share of an organisation.
func (q *Queue[T]) share(organisation string) float64 {
	if s := q.shares[organisation]; s > 0 {
		return min(max(s, minShare), maxShare)
	}
	return 1
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return len(q.nodes) }

// Work returns the estimated tokens of all waiting requests.
func (q *Queue[T]) Work() damasktrail.Cost { return q.work }

// Lowest returns the rank of the lowest tier that has items, which is the
// greatest rank, or -1 when the queue is empty.
func (q *Queue[T]) Lowest() int {
	for _, t := range slices.Backward(q.tiers) {
		if t.count > 0 {
			return t.rank
		}
	}
	return -1
}

// Highest returns the rank of the highest tier that has items, which is the
// smallest rank, or -1 when the queue is empty.
func (q *Queue[T]) Highest() int {
	for _, t := range q.tiers {
		if t.count > 0 {
			return t.rank
		}
	}
	return -1
}

// EachTier calls f with the rank and the number of items of each tier that has
// items, in order of rank.
func (q *Queue[T]) EachTier(f func(rank, count int)) {
	for i, t := range q.tiers {
		count := t.count
		if i > 0 && q.tiers[i-1].rank == t.rank {
			count += q.tiers[i-1].count
		}
		if last := i == len(q.tiers)-1 || q.tiers[i+1].rank != t.rank; last && count > 0 {
			f(t.rank, count)
		}
	}
}

// Push adds an item or refuses it. The outcome of a refusal is
// [damasktrail.NotRun], except for an ID that is already in the queue. To make
// room, Push evicts items of lower tiers, newest of the lowest tier first; the
// caller must refuse them with [damasktrail.ReasonFull].
func (q *Queue[T]) Push(it Item[T], now time.Time) (evicted []Item[T], refusal *damasktrail.Refusal) {
	if _, found := q.nodes[it.ID]; found {
		return nil, &damasktrail.Refusal{
			Reason: damasktrail.ReasonDuplicate, Outcome: damasktrail.Unknown,
			Detail: fmt.Sprintf("request %q waits already", it.ID),
		}
	}
	wait := q.Wait(it.Request)
	if needed := wait + it.serviceTime(q.rates); needed > it.Request.Deadline {
		return nil, &damasktrail.Refusal{
			Reason: damasktrail.ReasonDeadline, Outcome: damasktrail.NotRun, RetryAfter: clampRetryAfter(wait),
			Detail: fmt.Sprintf("the answer needs %v and %v are left",
				needed.Round(time.Millisecond), it.Request.Deadline.Round(time.Millisecond)),
		}
	}
	if !q.fitsAfterEviction(it.Request) {
		return nil, &damasktrail.Refusal{
			Reason: damasktrail.ReasonFull, Outcome: damasktrail.NotRun, RetryAfter: clampRetryAfter(wait),
			Detail: fmt.Sprintf("%d requests with %d prefill tokens wait and none is of a lower tier",
				len(q.nodes), q.work.Prefill),
		}
	}
	for !q.fits(len(q.nodes), q.work.Prefill, it.Request) {
		evicted = append(evicted, q.remove(q.newestOfLowestTier()))
	}
	q.insert(it, now)
	return evicted, nil
}

// Wait estimates the waiting time of a request at the measured rates. All work of
// higher tiers counts. Work of its own tier counts up to the amount that is
// served before the request under the share of its organisation.
func (q *Queue[T]) Wait(r damasktrail.Request) time.Duration {
	var res time.Duration
	for _, t := range q.tiers {
		if !t.counts(r) {
			break
		}
		tierWait := q.rates.BusyTime(t.work.Prefill, t.work.Decode)
		if t.rank == r.Tier {
			// While the organisation's own work is served, the other organisations
			// together receive at most (total share)/(own share) - 1 times as much.
			own, shares := q.share(r.Organisation), t.totalShare
			work := r.Cost
			if f := t.flows[r.Organisation]; f != nil {
				work.Prefill += f.work.Prefill
				work.Decode += f.work.Decode
			} else {
				shares += own
			}
			fairWait := float64(q.rates.BusyTime(work.Prefill, work.Decode)) * shares / own
			tierWait = min(tierWait, clampedDuration(fairWait))
		}
		res += tierWait
	}
	return res
}

// clampRetryAfter returns the RetryAfter for an estimated wait.
func clampRetryAfter(wait time.Duration) time.Duration {
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// fits reports whether r fits within the limits next to the given numbers of
// requests and prefill tokens.
func (q *Queue[T]) fits(requests, prefill int, r damasktrail.Request) bool {
	return requests < q.limits.Requests && prefill+r.Cost.Prefill <= q.limits.Prefill
}

// fitsAfterEviction reports whether r would fit if all items of lower tiers were
// evicted.
func (q *Queue[T]) fitsAfterEviction(r damasktrail.Request) bool {
	requests, prefill := 0, 0
	for _, t := range q.tiers {
		if t.rank <= r.Tier {
			requests += t.count
			prefill += t.work.Prefill
		}
	}
	return q.fits(requests, prefill, r)
}

// newestOfLowestTier returns the newest node of the lowest tier that has items.
// The queue must not be empty.
func (q *Queue[T]) newestOfLowestTier() *node[T] {
	for _, t := range slices.Backward(q.tiers) {
		if t.last != nil {
			return t.last
		}
	}
	panic("queue: no item to evict")
}

// Pop removes and returns the next item to dispatch. It serves the highest tier
// first, and the organisations of a tier by deficit round robin. Items that can
// no longer meet their deadline are skipped and returned by [Queue.Expire].
func (q *Queue[T]) Pop(now time.Time) (Item[T], bool) {
	q.Regroup(now)
	for _, t := range q.tiers {
		for t.count > 0 {
			n := t.next()
			late := now.Add(n.item.serviceTime(q.rates)).After(n.deadline)
			if !late {
				n.flow.deficit -= weight(n.item.Request.Cost)
				return q.remove(n), true
			}
			q.missed = append(q.missed, q.remove(n))
		}
	}
	var zero Item[T]
	return zero, false
}

// Expire removes and returns the items whose deadline has passed or can no
// longer be met.
func (q *Queue[T]) Expire(now time.Time) []Item[T] {
	res := q.missed
	q.missed = nil
	for len(q.byLatestDispatch) > 0 && q.byLatestDispatch[0].latestDispatch.Before(now) {
		res = append(res, q.remove(q.byLatestDispatch[0]))
	}
	return res
}

// Remove removes and returns the item with the ID and reports whether it was
// waiting.
func (q *Queue[T]) Remove(id string) (Item[T], bool) {
	n := q.nodes[id]
	if n == nil {
		var zero Item[T]
		return zero, false
	}
	return q.remove(n), true
}

// RemoveBelow removes and returns the items of the model in tiers below the given
// rank, newest of the lowest tier first.
func (q *Queue[T]) RemoveBelow(model string, rank int) []Item[T] {
	return q.removeWhere(rank, func(it *Item[T]) bool { return it.Request.Model == model })
}

// Drain removes and returns the items that are not ticketed, newest of the
// lowest tier first.
func (q *Queue[T]) Drain() []Item[T] {
	return q.removeWhere(math.MinInt, func(it *Item[T]) bool { return !it.Ticketed })
}

// removeWhere removes and returns the matching items of ranks greater than
// above, newest of the lowest tier first.
func (q *Queue[T]) removeWhere(above int, match func(*Item[T]) bool) []Item[T] {
	var res []Item[T]
	for _, t := range slices.Backward(q.tiers) {
		if t.rank <= above {
			break
		}
		for n := t.last; n != nil; {
			prev := n.inTier.prev
			if match(&n.item) {
				res = append(res, q.remove(n))
			}
			n = prev
		}
	}
	return res
}

// insert adds an item. The caller has checked that it fits.
func (q *Queue[T]) insert(it Item[T], now time.Time) {
	n := q.freeNodes
	if n == nil {
		n = &node[T]{}
	} else {
		q.freeNodes = n.inTier.next
	}
	deadline := now.Add(it.Request.Deadline)
	*n = node[T]{
		item: it, deadline: deadline,
		latestDispatch: deadline.Add(-it.serviceTime(q.rates)),
		tier:           q.tier(it.Request.Tier, it.overdue(now)),
	}
	n.tier.insert(n, q.share(it.Request.Organisation))
	n.tier.noteInTimeUntil(it.InTimeUntil)
	q.nodes[it.ID] = n
	heap.Push(&q.byLatestDispatch, n)
	q.work.Prefill += it.Request.Cost.Prefill
	q.work.Decode += it.Request.Cost.Decode
}

// remove removes a node from all data structures and returns its item.
func (q *Queue[T]) remove(n *node[T]) Item[T] {
	it := n.item
	n.tier.remove(n)
	heap.Remove(&q.byLatestDispatch, n.index)
	delete(q.nodes, it.ID)
	q.work.Prefill -= it.Request.Cost.Prefill
	q.work.Decode -= it.Request.Cost.Decode
	*n = node[T]{inTier: links[T]{next: q.freeNodes}}
	q.freeNodes = n
	return it
}

// tier returns the tier of a rank's items that are overdue, or of those that are not, and
// creates it if necessary.
func (q *Queue[T]) tier(rank int, overdue bool) *tier[T] {
	i, found := slices.BinarySearchFunc(q.tiers, rank, func(t *tier[T], r int) int { return compareTiers(t, r, overdue) })
	if !found {
		q.tiers = slices.Insert(q.tiers, i, &tier[T]{rank: rank, overdue: overdue, flows: make(map[string]*flow[T])})
	}
	return q.tiers[i]
}
