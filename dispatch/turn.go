package dispatch

import (
	"hash/fnv"
	"io"
	"math"
	"time"

	"damasktrail.dev/fleet"
)

const (
	// turnPerPeer is, times the number of peers, how long a free place is left to
	// each entry whose turn comes before this one's. It covers the way of a report
	// that says the place is taken: reports are rarer among many peers.
	turnPerPeer = 600 * time.Microsecond
	// nearShare is how much more often the first turn at a place is that of an entry
	// in its failure domain than that of another.
	nearShare = 4
)

// claimant is an entry that may want a place.
type claimant struct {
	entry, domain string
	// waiting is the number of its requests that wait in the tier that is served.
	waiting int
}

// claimants returns all entries, this one first, with what they have waiting in a
// tier, and the number of requests of higher tiers that wait at peers.
func (s *Scheduler) claimants(v *service, tier int) (res []claimant, better int) {
	res = make([]claimant, 1, 1+len(s.peers))
	res[0] = claimant{entry: s.name, domain: s.domain}
	v.waiting.EachTier(func(rank, waiting int) {
		if rank == tier {
			res[0].waiting = waiting
		}
	})
	for name, r := range s.peers {
		waiting := r.Waiting[v.name]
		for rank, n := range waiting {
			if rank < tier {
				better += n
			}
		}
		res = append(res, claimant{entry: name, domain: r.Domain, waiting: waiting[tier]})
	}
	return res, better
}

// allot returns the free places that this entry may take now, by endpoint, and
// the time until it may take another, zero when none is free. It answers a fleet
// in which requests wait everywhere: a place that becomes free is seen by all
// entries at once, and without an order each would send a request there. As many
// places as requests of higher tiers wait at peers are left to these. For the
// others entries take turns, in the order of a draw weighted by the lengths of the
// queues, which all entries make alike; each has the place to itself for a while.
func (s *Scheduler) allot(v *service, now time.Time) (places map[*endpoint]int, next time.Duration) {
	claimants, better := s.claimants(v, v.waiting.Highest())
	places = map[*endpoint]int{}
	each := time.Duration(len(s.peers)) * turnPerPeer
	free := 0
	for _, e := range v.endpoints {
		free += e.places
	}
	if free <= better {
		return places, 0
	}
	for _, e := range v.endpoints {
		if e.places == 0 {
			continue
		}
		wait := time.Duration(turn(claimants, e.Endpoint)/e.places)*each - now.Sub(e.freeSince)
		switch {
		case wait <= 0:
			places[e] = e.places
		case next == 0 || wait < next:
			next = wait
		}
	}
	return places, next
}

// turn returns how many turns at a place of an endpoint come before that of the
// first claimant.
func turn(claimants []claimant, e fleet.Endpoint) int {
	own := claimants[0].score(e)
	res := 0
	for _, c := range claimants[1:] {
		if c.score(e) < own {
			res++
		}
	}
	return res
}

// score orders the claimants; the lowest is the first.
func (c claimant) score(e fleet.Endpoint) float64 {
	weight := float64(1 + c.waiting)
	if c.domain == e.Domain {
		weight *= nearShare
	}
	return -math.Log(draw(c.entry, e.ID)) / weight
}

// draw returns a number above 0 and up to 1 that depends on its arguments only.
func draw(entry, endpoint string) float64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, entry)
	_, _ = h.Write([]byte{0})
	_, _ = io.WriteString(h, endpoint)
	// FNV leaves the high bits of short texts alike; the multiplication spreads them.
	const spread = 0x9e3779b97f4a7c15
	x := h.Sum64()
	x = (x ^ x>>32) * spread
	x = (x ^ x>>29) * spread
	return (float64(x>>11) + 1) / (1 << 53)
}
