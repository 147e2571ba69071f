package dispatch

import (
	"cmp"
	"hash/fnv"
	"io"
	"math"
	"slices"
	"time"

	"damasktrail.dev/fleet"
)

// turnTime is how long a free place is left to the entry whose turn it is. It
// covers the age of reports in a fleet of some twenty entries; an entry that
// cannot use the place loses its turn then.
const turnTime = 100 * time.Millisecond

// claim is the number of requests of one tier that wait at one entry.
type claim struct {
	tier          int
	entry, domain string
	waiting       int
}

// nearShare is how much more often a place goes to an entry in its own failure
// domain than to another with as many waiting requests.
const nearShare = 4

// claims returns what waits for a service, the highest tier first.
func (s *Scheduler) claims(v *service) (res []claim, sum int) {
	add := func(c claim) {
		if c.waiting > 0 {
			res = append(res, c)
			sum += c.waiting
		}
	}
	v.waiting.Waiting(func(tier, waiting int) {
		add(claim{tier: tier, entry: s.name, domain: s.domain, waiting: waiting})
	})
	for name, r := range s.peers {
		for tier, waiting := range r.Waiting[v.name] {
			add(claim{tier: tier, entry: name, domain: r.Domain, waiting: waiting})
		}
	}
	slices.SortFunc(res, func(a, b claim) int { return cmp.Or(cmp.Compare(a.tier, b.tier), cmp.Compare(a.entry, b.entry)) })
	return res, sum
}

// allot returns the free places that this entry may take, by endpoint. It
// answers a fleet in which requests wait everywhere: a place that becomes free is
// seen by all entries at once, and without an order each would send a request
// there. While more requests wait than places are free, each place belongs to one
// entry, the highest tier first and, within it, by the lengths of the queues.
// Entries that have the same reports agree on it.
func (s *Scheduler) allot(v *service, now time.Time) (places map[*endpoint]int, sum int) {
	var open []*endpoint
	places = map[*endpoint]int{}
	for _, e := range v.endpoints {
		n := s.free(v, e, now)
		e.noteFree(n, now)
		if n > 0 {
			open = append(open, e)
			places[e] = n
			sum += n
		}
	}
	claims, waiting := s.claims(v)
	if waiting <= sum {
		return places, sum
	}
	slices.SortFunc(open, func(a, b *endpoint) int { return cmp.Compare(a.ID, b.ID) })
	free := places
	places, sum = map[*endpoint]int{}, 0
	for _, e := range open {
		for range free[e] {
			i := winner(claims, e.Endpoint, e.turn(now))
			claims[i].waiting--
			if claims[i].entry == s.name {
				places[e]++
				sum++
			}
			if claims[i].waiting == 0 {
				claims = slices.Delete(claims, i, i+1)
			}
		}
	}
	return places, sum
}

// winner returns the index of the claim of the highest tier that gets a place at
// an endpoint: a draw weighted by what waits, the same at every entry. There must
// be a claim.
func winner(claims []claim, e fleet.Endpoint, turn int) int {
	best, score := 0, math.Inf(1)
	for i, c := range claims {
		if c.tier != claims[0].tier {
			break
		}
		weight := float64(c.waiting)
		if c.domain == e.Domain {
			weight *= nearShare
		}
		if x := -math.Log(draw(c.entry, e.ID, turn)) / weight; x < score {
			best, score = i, x
		}
	}
	return best
}

// draw returns a number above 0 and up to 1 that depends on its arguments only.
func draw(entry, endpoint string, turn int) float64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, entry)
	_, _ = h.Write([]byte{0, byte(turn)})
	_, _ = io.WriteString(h, endpoint)
	// FNV leaves the high bits of short texts alike; the multiplication spreads them.
	const spread = 0x9e3779b97f4a7c15
	x := h.Sum64()
	x = (x ^ x>>32) * spread
	x = (x ^ x>>29) * spread
	return (float64(x>>11) + 1) / (1 << 53)
}
