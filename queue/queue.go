// Package queue holds the requests that wait at an agent. It sheds by tier and
// deadline and shares each tier between organisations. It has no clock and no
// goroutine: every method that needs the time is told it. Start from [New].
package queue

import (
	"container/heap"
	"fmt"
	"math"
	"slices"
	"time"

	"damasktrail.dev"
)

// quantum is the mean credit in tokens that an organisation gets per round. It
// is near the mean cost of a request, so a pop visits about one organisation.
const quantum = 1024

// The bounds of the advice when to try again.
const (
	minRetry = 100 * time.Millisecond
	maxRetry = 30 * time.Second
)

// Limits bounds what may wait.
type Limits struct {
	// Requests is the greatest number of waiting requests.
	Requests int
	// Prefill is the greatest sum of waiting prefill tokens.
	Prefill int
}

// Rates are the measured speeds of the endpoint. A zero field is unknown, and
// work is then assumed to take no time, so nothing is refused on a guess.
type Rates struct {
	// Prefill and Decode are tokens per second over all running requests. The
	// time for work of both kinds is the sum of the times of the two.
	Prefill, Decode float64
	// Token is the time between two tokens of one answer.
	Token time.Duration
}

// Time returns how long the endpoint takes for the work at full use.
func (r Rates) Time(prefill, decode int) time.Duration {
	return seconds(prefill, r.Prefill) + seconds(decode, r.Decode)
}

// Service returns how long one request takes from dispatch to its last token.
func (r Rates) Service(c damasktrail.Cost) time.Duration {
	return seconds(c.Prefill, r.Prefill) + time.Duration(c.Decode)*r.Token
}

// seconds returns tokens/rate, zero when the rate is unknown.
func seconds(tokens int, rate float64) time.Duration {
	if rate <= 0 {
		return 0
	}
	return clamp(float64(tokens) / rate * float64(time.Second))
}

// clamp converts nanoseconds to a duration of at most a year, so that sums of
// a few of them do not overflow.
func clamp(ns float64) time.Duration {
	return time.Duration(min(ns, float64(365*24*time.Hour)))
}

// Item is a waiting request.
type Item[T any] struct {
	// ID is unique among the waiting items.
	ID string
	// Request is what decisions need. Its Deadline counts from Push.
	Request damasktrail.Request
	// Longest is a number of generated tokens that the answer hardly exceeds. It
	// counts against the deadline instead of the expected number when it is
	// greater, so that prefill is not spent on answers that come too late.
	Longest int
	// Ticketed marks an item that [Queue.Drain] leaves.
	Ticketed bool
	// Value belongs to the caller.
	Value T
}

// service returns how long the item may take from dispatch to its last token.
func (it *Item[T]) service(r Rates) time.Duration {
	c := it.Request.Cost
	c.Decode = max(c.Decode, it.Longest)
	return r.Service(c)
}

// node is an item with its places in the structures that hold it.
type node[T any] struct {
	item     Item[T]
	deadline time.Time
	// latest is the last time of dispatch that meets the deadline, at the rates
	// known at Push.
	latest time.Time
	tier   *tier[T]
	flow   *flow[T]
	// index is the place in the heap.
	index int
	// The neighbours by arrival within the tier and within the flow.
	inTier, inFlow links[T]
}

// links are the neighbours of a node in one list.
type links[T any] struct{ prev, next *node[T] }

// flow holds the items of one organisation in one tier.
type flow[T any] struct {
	organisation string
	first, last  *node[T]
	share        float64
	// deficit is the credit in tokens left over from earlier visits.
	deficit float64
	// visited says that the flow got its credit for the current visit.
	visited bool
	work    damasktrail.Cost
	// The neighbours in the ring of flows with items.
	prev, next *flow[T]
}

// tier holds the items of one rank.
type tier[T any] struct {
	rank  int
	flows map[string]*flow[T]
	// current is the flow whose turn it is; nil when the tier is empty.
	current *flow[T]
	// last is the newest item.
	last *node[T]
	// count and work are the sums over the items.
	count int
	work  damasktrail.Cost
	// shares is the sum of the shares of the flows in the ring, active their
	// number.
	shares float64
	active int
}

// Queue is the waiting requests of one agent. It is not safe for concurrent
// use: the goroutine of the agent's control state owns it.
type Queue[T any] struct {
	limits Limits
	rates  Rates
	shares map[string]float64
	// tiers is sorted by rank and keeps tiers that became empty.
	tiers []*tier[T]
	nodes map[string]*node[T]
	// byLatest has the node with the earliest latest dispatch first.
	byLatest latestHeap[T]
	work     damasktrail.Cost
	// late holds items that Pop found too late, until Expire returns them.
	late []Item[T]
	// free is a list of unused nodes, linked by inTier.next.
	free *node[T]
}

// New returns an empty queue with the given bounds, unknown rates and equal
// shares.
func New[T any](limits Limits) *Queue[T] {
	return &Queue[T]{limits: limits, nodes: make(map[string]*node[T])}
}

// SetRates replaces the measured rates.
func (q *Queue[T]) SetRates(r Rates) { q.rates = r }

// SetLimits replaces the bounds. Items over the new bounds stay.
func (q *Queue[T]) SetLimits(l Limits) { q.limits = l }

// SetShares replaces the shares of the organisations. An organisation that is
// absent or not above zero has the share 1. The map must not change afterwards.
func (q *Queue[T]) SetShares(shares map[string]float64) {
	q.shares = shares
	for _, t := range q.tiers {
		t.shares = 0
		for _, f := range t.flows {
			f.share = q.share(f.organisation)
			t.shares += f.share
		}
	}
}

// share returns the share of an organisation.
func (q *Queue[T]) share(organisation string) float64 {
	if s := q.shares[organisation]; s > 0 {
		return s
	}
	return 1
}

// Len returns the number of waiting requests.
func (q *Queue[T]) Len() int { return len(q.nodes) }

// Work returns the estimated tokens of all waiting requests.
func (q *Queue[T]) Work() damasktrail.Cost { return q.work }

// Lowest returns the greatest rank that waits, or -1 when nothing waits.
func (q *Queue[T]) Lowest() int {
	for _, t := range slices.Backward(q.tiers) {
		if t.count > 0 {
			return t.rank
		}
	}
	return -1
}

// Highest returns the smallest rank that waits, or -1 when nothing waits.
func (q *Queue[T]) Highest() int {
	for _, t := range q.tiers {
		if t.count > 0 {
			return t.rank
		}
	}
	return -1
}

// Waiting calls f with each rank that waits and its number of items, in order
// of rank.
func (q *Queue[T]) Waiting(f func(rank, count int)) {
	for _, t := range q.tiers {
		if t.count > 0 {
			f(t.rank, t.count)
		}
	}
}

// Push adds an item or refuses it; a refusal is always [damasktrail.NotRun]
// except for an ID that waits already. The items it evicts to make room are of
// lower tiers, newest of the lowest tier first; the caller refuses them as full.
func (q *Queue[T]) Push(it Item[T], now time.Time) (evicted []Item[T], refusal *damasktrail.Refusal) {
	if _, found := q.nodes[it.ID]; found {
		return nil, &damasktrail.Refusal{
			Reason: damasktrail.ReasonDuplicate, Outcome: damasktrail.Unknown,
			Detail: fmt.Sprintf("request %q waits already", it.ID),
		}
	}
	wait := q.Wait(it.Request)
	if need := wait + it.service(q.rates); need > it.Request.Deadline {
		return nil, &damasktrail.Refusal{
			Reason: damasktrail.ReasonDeadline, Outcome: damasktrail.NotRun, RetryAfter: retry(wait),
			Detail: fmt.Sprintf("the answer needs %v and %v are left",
				need.Round(time.Millisecond), it.Request.Deadline.Round(time.Millisecond)),
		}
	}
	if !q.canFit(it.Request) {
		return nil, &damasktrail.Refusal{
			Reason: damasktrail.ReasonFull, Outcome: damasktrail.NotRun, RetryAfter: retry(wait),
			Detail: fmt.Sprintf("%d requests with %d prefill tokens wait and none is of a lower tier",
				len(q.nodes), q.work.Prefill),
		}
	}
	for !q.fits(len(q.nodes), q.work.Prefill, it.Request) {
		evicted = append(evicted, q.remove(q.newestLowest()))
	}
	q.insert(it, now)
	return evicted, nil
}

// Wait returns how long a request would wait for the work of its own and higher
// tiers at the measured rates. In its own tier it waits for no more than its
// organisation's share makes it wait.
func (q *Queue[T]) Wait(r damasktrail.Request) time.Duration {
	var res time.Duration
	for _, t := range q.tiers {
		if t.rank > r.Tier {
			break
		}
		all := q.rates.Time(t.work.Prefill, t.work.Decode)
		if t.rank == r.Tier {
			// While this organisation is served its own work, the others get at
			// most (shares of all)/(own share) - 1 times as much.
			own, shares := q.share(r.Organisation), t.shares
			work := r.Cost
			if f := t.flows[r.Organisation]; f != nil {
				work.Prefill += f.work.Prefill
				work.Decode += f.work.Decode
			} else {
				shares += own
			}
			fair := float64(q.rates.Time(work.Prefill, work.Decode)) * shares / own
			all = min(all, clamp(fair))
		}
		res += all
	}
	return res
}

// retry bounds the advice when to try again.
func retry(wait time.Duration) time.Duration {
	return min(max(wait, minRetry), maxRetry)
}

// fits reports whether r fits beside the given number of requests and tokens.
func (q *Queue[T]) fits(requests, prefill int, r damasktrail.Request) bool {
	return requests < q.limits.Requests && prefill+r.Cost.Prefill <= q.limits.Prefill
}

// canFit reports whether r fits after everything of lower tiers is evicted.
func (q *Queue[T]) canFit(r damasktrail.Request) bool {
	requests, prefill := 0, 0
	for _, t := range q.tiers {
		if t.rank <= r.Tier {
			requests += t.count
			prefill += t.work.Prefill
		}
	}
	return q.fits(requests, prefill, r)
}

// newestLowest returns the newest node of the lowest tier. The queue must not
// be empty.
func (q *Queue[T]) newestLowest() *node[T] {
	for _, t := range slices.Backward(q.tiers) {
		if t.last != nil {
			return t.last
		}
	}
	panic("queue: no item to evict")
}

// Pop removes and returns the next item to dispatch: of the highest tier, and
// inside it by deficit round robin over the organisations. An item that can no
// longer meet its deadline is kept for [Queue.Expire] instead.
func (q *Queue[T]) Pop(now time.Time) (Item[T], bool) {
	for _, t := range q.tiers {
		for t.count > 0 {
			n := t.next()
			late := now.Add(n.item.service(q.rates)).After(n.deadline)
			if !late {
				n.flow.deficit -= weight(n.item.Request.Cost)
				return q.remove(n), true
			}
			q.late = append(q.late, q.remove(n))
		}
	}
	var zero Item[T]
	return zero, false
}

// Expire removes and returns the items whose deadline passed or can no longer
// be met.
func (q *Queue[T]) Expire(now time.Time) []Item[T] {
	res := q.late
	q.late = nil
	for len(q.byLatest) > 0 && q.byLatest[0].latest.Before(now) {
		res = append(res, q.remove(q.byLatest[0]))
	}
	return res
}

// Remove takes an item out and reports whether it was waiting.
func (q *Queue[T]) Remove(id string) (Item[T], bool) {
	n := q.nodes[id]
	if n == nil {
		var zero Item[T]
		return zero, false
	}
	return q.remove(n), true
}

// Floor removes and returns the items of the model whose tier is below the
// given one, newest of the lowest tier first.
func (q *Queue[T]) Floor(model string, rank int) []Item[T] {
	return q.removeWhere(rank, func(it *Item[T]) bool { return it.Request.Model == model })
}

// Drain removes and returns the items that are not ticketed, newest of the
// lowest tier first.
func (q *Queue[T]) Drain() []Item[T] {
	return q.removeWhere(math.MinInt, func(it *Item[T]) bool { return !it.Ticketed })
}

// removeWhere removes the items of ranks above the given one that match.
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

// insert adds an item that fits.
func (q *Queue[T]) insert(it Item[T], now time.Time) {
	n := q.free
	if n == nil {
		n = &node[T]{}
	} else {
		q.free = n.inTier.next
	}
	deadline := now.Add(it.Request.Deadline)
	*n = node[T]{
		item: it, deadline: deadline,
		latest: deadline.Add(-it.service(q.rates)),
		tier:   q.tier(it.Request.Tier),
	}
	n.tier.insert(n, q.share(it.Request.Organisation))
	q.nodes[it.ID] = n
	heap.Push(&q.byLatest, n)
	q.work.Prefill += it.Request.Cost.Prefill
	q.work.Decode += it.Request.Cost.Decode
}

// remove takes a node out of every structure and returns its item.
func (q *Queue[T]) remove(n *node[T]) Item[T] {
	it := n.item
	n.tier.remove(n)
	heap.Remove(&q.byLatest, n.index)
	delete(q.nodes, it.ID)
	q.work.Prefill -= it.Request.Cost.Prefill
	q.work.Decode -= it.Request.Cost.Decode
	*n = node[T]{inTier: links[T]{next: q.free}}
	q.free = n
	return it
}

// tier returns the tier of a rank and makes it when absent.
func (q *Queue[T]) tier(rank int) *tier[T] {
	i, found := slices.BinarySearchFunc(q.tiers, rank, func(t *tier[T], r int) int { return t.rank - r })
	if !found {
		q.tiers = slices.Insert(q.tiers, i, &tier[T]{rank: rank, flows: make(map[string]*flow[T])})
	}
	return q.tiers[i]
}
