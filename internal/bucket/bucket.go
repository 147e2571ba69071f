// Package bucket has a token bucket: a level that rises at a constant rate up to a depth.
// It is pure state; callers pass the current time. Start from [New].
package bucket

import (
	"math"
	"time"
)

// Bucket is a token bucket. It is not safe for concurrent use.
type Bucket struct {
	// rate is the number of tokens that are added a second, depth the highest level. Both
	// are at least zero.
	rate, depth float64
	// level is the number of tokens at the time of the last refill, at most depth. It is
	// negative while more has been taken than there was.
	level      float64
	lastRefill time.Time
}

// New returns a bucket with the given rate a second, depth and level.
func New(rate, depth, level float64, now time.Time) *Bucket {
	return &Bucket{rate: rate, depth: depth, level: min(level, depth), lastRefill: now}
}

// Resize changes the rate and the depth. The level stays, limited to the new depth.
func (b *Bucket) Resize(rate, depth float64, now time.Time) {
	b.refill(now)
	b.rate, b.depth = rate, depth
	b.level = min(b.level, depth)
}

// Rate returns the number of tokens that are added a second.
func (b *Bucket) Rate() float64 { return b.rate }

// Depth returns the highest level.
func (b *Bucket) Depth() float64 { return b.depth }

// Level returns the number of tokens.
func (b *Bucket) Level(now time.Time) float64 {
	b.refill(now)
	return b.level
}

// Add adds tokens up to the depth. A negative number takes them, also those that are not
// there.
func (b *Bucket) Add(tokens float64, now time.Time) {
	b.refill(now)
	b.level = min(b.depth, b.level+tokens)
}

// Wait returns the time until there are so many tokens, math.MaxInt64 if there never are.
func (b *Bucket) Wait(tokens float64, now time.Time) time.Duration {
	missing := tokens - b.Level(now)
	switch {
	case missing <= 0:
		return 0
	case b.rate <= 0 || tokens > b.depth:
		return math.MaxInt64
	}
	seconds := missing / b.rate
	if seconds >= time.Duration(math.MaxInt64).Seconds() {
		return math.MaxInt64
	}
	return time.Duration(seconds * float64(time.Second))
}

// refill adds the tokens for the time since the last call.
func (b *Bucket) refill(now time.Time) {
	if d := now.Sub(b.lastRefill).Seconds(); d > 0 {
		b.level = min(b.depth, b.level+d*b.rate)
	}
	b.lastRefill = now
}
