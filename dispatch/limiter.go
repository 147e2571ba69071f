package dispatch

import (
	"math"
	"time"

	"damasktrail.dev/fleet"
	"damasktrail.dev/internal/bucket"
)

const (
	// minLimit is the rate, in requests a second, at which requests are sent to an endpoint
	// that names a lower one. Only its answers say that the limit has ended.
	minLimit = 0.1
	// maxLimit is the rate from which on a limit is none in practice.
	maxLimit = 1e6
)

// limiter holds this entry to its part of the limit of an endpoint. A nil limiter holds
// nothing back.
type limiter struct {
	basis limiterBasis
	// bucket has the tokens of this entry, one for each request. Its rate is zero if this
	// entry has no part. The level at the start differs between entries, so that those that
	// have learned of the limit at the same moment do not use it at the same moment.
	bucket *bucket.Bucket
}

// limiterBasis is what the rate of a limiter follows from.
type limiterBasis struct {
	// limit is the limit of the endpoint in requests a second, within minLimit and maxLimit.
	limit float64
	// division is the revision of the division, period the period of its parts.
	division int
	period   int64
}

// updateLimiter lets the limiter of an endpoint follow the limits in force. It is called
// with mu held.
func (s *Scheduler) updateLimiter(e *endpoint, limits map[fleet.Process]float64, now time.Time) {
	perSecond, limited := limits[e.Process()]
	if !limited {
		e.limiter = nil
		return
	}
	if e.limiter == nil {
		e.limiter = &limiter{bucket: bucket.New(0, 1, uniformHash(s.name, e.ID), now)}
	}
	basis := limiterBasis{limit: min(max(perSecond, minLimit), maxLimit), division: s.division.revision, period: period(now)}
	if basis == e.limiter.basis {
		return
	}
	e.limiter.basis = basis
	part := s.division.part(s.name, e.ID, basis.limit, basis.period)
	depth := 0.0
	if part > 0 {
		depth = max(1, part)
	}
	e.limiter.bucket.Resize(part, depth, now)
}

// perSecond returns the limit of all entries together.
func (l *limiter) perSecond() float64 { return l.basis.limit }

// closed reports whether this entry may send no request to the endpoint.
func (l *limiter) closed() bool { return l != nil && l.bucket.Rate() == 0 }

// cap returns the number of slots that the limiter lets the entry take, of the given number
// that are free.
func (l *limiter) cap(free int, now time.Time) int {
	if l == nil {
		return free
	}
	return min(free, int(min(max(0, math.Floor(l.bucket.Level(now))), maxLimit)))
}

// take records that a request is sent.
func (l *limiter) take(now time.Time) {
	if l != nil {
		l.bucket.Add(-1, now)
	}
}

// wait returns the time until the next request may be sent.
func (l *limiter) wait(now time.Time) time.Duration { return l.bucket.Wait(1, now) }
