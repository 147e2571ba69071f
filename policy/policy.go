// Package policy implements [damasktrail.Policy] with the policies round, least,
// choices and cost. They are safe for concurrent use, take no locks and do not
// allocate for up to 320 candidates. Start from [New].
package policy

import (
	"fmt"
	"sync/atomic"

	"damasktrail.dev"
)

// The names of the policies in documents.
const (
	Round   = "round"   // all candidates in turn
	Least   = "least"   // the candidate with the fewest open requests of this entry
	Choices = "choices" // the less loaded of two random candidates, by reported load
	Cost    = "cost"    // the candidate with the shortest expected time, approximately
)

// NameError reports an unknown policy name.
type NameError struct {
	// Name is the unknown name.
	Name string
}

// Error implements error.
func (e *NameError) Error() string { return fmt.Sprintf("policy %q does not exist", e.Name) }

// New returns the policy with the name. Policies with equal seeds make equal
// choices for equal sequences of calls. The error is a [*NameError].
func New(name string, seed uint64) (damasktrail.Policy, error) {
	switch name {
	case Round:
		return &roundRobin{}, nil
	case Least:
		return &least{rng: rng{seed: seed}}, nil
	case Choices:
		return &choices{rng: rng{seed: seed}}, nil
	case Cost:
		return &cost{rng: rng{seed: seed}}, nil
	}
	return nil, &NameError{Name: name}
}

// rng is a lock-free random number generator that hashes a counter.
type rng struct {
	seed    uint64
	counter atomic.Uint64
}

// next returns 64 random bits, using the finaliser of SplitMix64.
func (d *rng) next() uint64 {
	x := d.seed + d.counter.Add(1)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// intN returns a random number in [0, n). The bias is less than n/2^32.
func (d *rng) intN(n int) int { return int(d.next() >> 32 * uint64(n) >> 32) }

// float returns a random number in [0, 1).
func (d *rng) float() float64 { return float64(d.next()>>11) / (1 << 53) }

// roundRobin chooses all candidates in turn.
type roundRobin struct{ counter atomic.Uint64 }

// Choose implements damasktrail.Policy.
func (p *roundRobin) Choose(_ damasktrail.Request, candidates []damasktrail.Candidate) (index int, ok bool) {
	if len(candidates) == 0 {
		return 0, false
	}
	return int((p.counter.Add(1) - 1) % uint64(len(candidates))), true
}

// least chooses the candidate with the fewest open requests of this entry, and at
// random among equals.
type least struct{ rng rng }

// Choose implements damasktrail.Policy.
func (p *least) Choose(_ damasktrail.Request, candidates []damasktrail.Candidate) (index int, ok bool) {
	if len(candidates) == 0 {
		return 0, false
	}
	equal := 0
	for i := range candidates {
		switch fewest := candidates[index].Inflight; {
		case candidates[i].Inflight < fewest:
			index, equal = i, 1
		case candidates[i].Inflight == fewest:
			equal++
			if p.rng.intN(equal) == 0 {
				index = i
			}
		}
	}
	return index, true
}

// choices chooses two random candidates and of them the one that reports fewer
// requests.
type choices struct{ rng rng }

// Choose implements damasktrail.Policy.
func (p *choices) Choose(_ damasktrail.Request, candidates []damasktrail.Candidate) (index int, ok bool) {
	if len(candidates) == 0 {
		return 0, false
	}
	index = p.rng.intN(len(candidates))
	if len(candidates) == 1 {
		return index, true
	}
	other := p.rng.intN(len(candidates) - 1)
	if other >= index {
		other++
	}
	a, b := &candidates[index].Load, &candidates[other].Load
	if b.Running+b.Waiting < a.Running+a.Waiting {
		index = other
	}
	return index, true
}
