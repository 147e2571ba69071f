package dispatch

import (
	"hash/fnv"
	"io"
	"math"
	"time"
)

const (
	// turnDurationPerPeer times the number of peers is how long this entry leaves a
	// free slot to each entry whose turn comes first. It covers the delay of the
	// report that says the slot is taken: reports are less frequent with more peers.
	turnDurationPerPeer = 600 * time.Microsecond
	// sameDomainWeight is how much more often an entry in the failure domain of the
	// endpoint has the first turn at a slot than one in another failure domain.
	sameDomainWeight = 4
	// ownerTurnDuration replaces turnDurationPerPeer among coordinators, of which one
	// owns the endpoints of its failure domain. It covers the delay of a report to
	// another failure domain.
	ownerTurnDuration = 20 * time.Millisecond
	// lastSlotFactor multiplies ownerTurnDuration for the last free slot of an
	// endpoint, which its owner may be taking now. Of two free slots each gets one.
	lastSlotFactor = 3
)

// Turns says how entries take turns at free slots.
type Turns int

const (
	// EqualTurns give every entry a part of the first turns at each endpoint.
	EqualTurns Turns = iota
	// OwnerTurns give all first turns at an endpoint to the entries of its failure
	// domain. Others get a slot that the domain leaves free.
	OwnerTurns
)

// contender is an entry that may compete for a slot.
type contender struct {
	entry, domain string
	// waiting is the number of its waiting requests in the tier being served, ahead
	// that in this tier and higher ones.
	waiting, ahead int
}

// contenders returns all entries that take slots, this one first, with the number of their waiting
// requests in a tier, and the number of requests of higher tiers that wait at
// peers.
func (s *Scheduler) contenders(v *service, tier int) (res []contender, higherWaiting int) {
	res = make([]contender, 1, 1+len(s.peers))
	res[0] = contender{entry: s.name, domain: s.domain}
	v.waiting.EachTier(func(rank, waiting int) {
		if rank == tier {
			res[0].waiting = waiting
		}
	})
	for name, r := range s.peers {
		if r.Passive {
			continue
		}
		waiting, higher := r.Waiting[v.name], 0
		for rank, n := range waiting {
			if rank < tier {
				higher += n
			}
		}
		higherWaiting += higher
		res = append(res, contender{entry: name, domain: r.Domain, waiting: waiting[tier], ahead: higher + waiting[tier]})
	}
	return res, higherWaiting
}

// availableSlots returns the free slots that this entry may take now, by endpoint,
// and the time until it may take another, zero when none is free.
//
// When requests wait at every entry, all entries see a slot become free at the
// same time, and without an order each would send a request there. As many slots
// as requests of higher tiers wait at peers are left to those requests. For the
// other slots, entries take turns in the order of a weighted rendezvous hash, which
// all entries compute alike; the weights grow with the queue lengths. Each entry
// has exclusive use of the slot for the duration of a turn.
func (s *Scheduler) availableSlots(v *service, now time.Time) (available map[*endpoint]int, next time.Duration) {
	t := s.turnsOf(v)
	available = map[*endpoint]int{}
	for _, e := range v.endpoints {
		wait, ok := s.turnWait(t, e, now)
		switch {
		case !ok:
		case wait <= 0:
			available[e] = e.freeSlots
		case next == 0 || wait < next:
			next = wait
		}
	}
	return available, next
}

// turnState is what the turns at all endpoints of a service follow from.
type turnState struct {
	contenders []contender
	// free is the number of free slots of endpoints without limit, higherWaiting that of
	// requests of higher tiers that wait at peers.
	free, higherWaiting int
	turnDuration        time.Duration
}

// turnsOf returns the state of the turns for the highest tier that waits.
func (s *Scheduler) turnsOf(v *service) (res turnState) {
	res.contenders, res.higherWaiting = s.contenders(v, v.waiting.Highest())
	res.turnDuration = time.Duration(len(res.contenders)-1) * turnDurationPerPeer
	if s.turns == OwnerTurns {
		res.turnDuration = ownerTurnDuration
	}
	for _, e := range v.endpoints {
		if !e.limited() {
			res.free += e.freeSlots
		}
	}
	return res
}

// turnWait returns how long it takes until this entry may take a free slot of an endpoint,
// not above zero if it may now; ok is false if there is none for it.
func (s *Scheduler) turnWait(t turnState, e *endpoint, now time.Time) (wait time.Duration, ok bool) {
	// The part of a limit that this entry has is of no use to others.
	left := !e.limited() && (t.free <= t.higherWaiting || s.turns == OwnerTurns && s.ownerNeeds(t.contenders, e))
	if e.freeSlots == 0 || left {
		return 0, false
	}
	turns := s.turnsBefore(t.contenders, e) / e.freeSlots
	if s.turns == OwnerTurns && e.freeSlots == 1 {
		turns *= lastSlotFactor
	}
	turns = e.turnsIfCold(turns)
	return time.Duration(turns)*t.turnDuration - now.Sub(e.freeSince), true
}

// ownerNeeds reports whether requests wait at another entry that has the first turn at
// the endpoint. Such an entry leaves no slot free; one that looks free is taken, and
// the report that says so is on its way.
func (s *Scheduler) ownerNeeds(contenders []contender, e *endpoint) bool {
	if e.Domain == s.domain {
		return false
	}
	for _, c := range contenders[1:] {
		if c.domain == e.Domain && c.ahead > 0 {
			return true
		}
	}
	return false
}

// turnsBefore returns how many turns at an endpoint precede that of the first
// contender.
func (s *Scheduler) turnsBefore(contenders []contender, e *endpoint) int {
	own := e.score(contenders[0])
	res := 0
	for _, c := range contenders[1:] {
		before := e.score(c) < own
		if s.turns == OwnerTurns && (c.domain == e.Domain) != (s.domain == e.Domain) {
			before = c.domain == e.Domain
		}
		if before {
			res++
		}
	}
	return res
}

// score is the weighted rendezvous hash of a contender at the endpoint. The contender
// with the lowest score has the first turn.
func (e *endpoint) score(c contender) float64 {
	weight := float64(1 + c.waiting)
	if c.domain == e.Domain {
		weight *= sameDomainWeight
	}
	return e.draw(c.entry) / weight
}

// draw returns the draw of an entry at the endpoint, exponentially distributed.
func (e *endpoint) draw(entry string) float64 {
	d, found := e.draws[entry]
	if !found {
		d = -math.Log(uniformHash(entry, e.ID))
		e.draws[entry] = d
	}
	return d
}

// uniformHash maps its arguments to a number above 0 and up to 1, deterministically
// and with even distribution.
func uniformHash(entry, endpoint string) float64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, entry)
	_, _ = h.Write([]byte{0})
	_, _ = io.WriteString(h, endpoint)
	// The high bits of FNV hashes of short strings are similar; the multiplication
	// mixes them.
	const multiplier = 0x9e3779b97f4a7c15
	x := h.Sum64()
	x = (x ^ x>>32) * multiplier
	x = (x ^ x>>29) * multiplier
	return (float64(x>>11) + 1) / (1 << 53)
}
