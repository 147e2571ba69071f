// Package policy implements [damasktrail.Policy]: round, least, choices and
// cost. All are safe for concurrent use, take no lock and do not allocate for up
// to 320 candidates. Start from [New].
package policy

import (
	"fmt"
	"sync/atomic"

	"damasktrail.dev"
)

// The names of the policies as documents have them.
const (
	Round   = "round"   // each candidate in turn
	Least   = "least"   // the fewest open requests of this entry
	Choices = "choices" // the less loaded of two at random, by reported load
	CostFor = "cost"    // the shortest expected time
)

// NameError says that there is no policy of a name.
type NameError struct {
	// Name is the unknown name.
	Name string
}

// Error implements error.
func (e *NameError) Error() string { return fmt.Sprintf("policy %q does not exist", e.Name) }

// New returns the policy of a name. Policies with equal seeds make equal choices
// when they are asked in the same order. The error is a [*NameError].
func New(name string, seed uint64) (damasktrail.Policy, error) {
	switch name {
	case Round:
		return &round{}, nil
	case Least:
		return &least{draw: draw{seed: seed}}, nil
	case Choices:
		return &choices{draw: draw{seed: seed}}, nil
	case CostFor:
		return &cost{draw: draw{seed: seed}}, nil
	}
	return nil, &NameError{Name: name}
}

// draw makes random numbers without a lock: a hash of a counter.
type draw struct {
	seed uint64
	n    atomic.Uint64
}

// next returns 64 random bits, by the finaliser of SplitMix64.
func (d *draw) next() uint64 {
	x := d.seed + d.n.Add(1)*0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// below returns a number in [0, n). The bias is below n/2^32.
func (d *draw) below(n int) int { return int(d.next() >> 32 * uint64(n) >> 32) }

// float returns a number in [0, 1).
func (d *draw) float() float64 { return float64(d.next()>>11) / (1 << 53) }

// round takes the candidates in turn.
type round struct{ n atomic.Uint64 }

// Choose implements damasktrail.Policy.
func (p *round) Choose(_ damasktrail.Request, candidates []damasktrail.Candidate) (index int, ok bool) {
	if len(candidates) == 0 {
		return 0, false
	}
	return int((p.n.Add(1) - 1) % uint64(len(candidates))), true
}

// least takes the candidate with the fewest open requests of this entry, and at
// random among equals.
type least struct{ draw draw }

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
			if p.draw.below(equal) == 0 {
				index = i
			}
		}
	}
	return index, true
}

// choices takes the one of two random candidates that reports fewer requests.
type choices struct{ draw draw }

// Choose implements damasktrail.Policy.
func (p *choices) Choose(_ damasktrail.Request, candidates []damasktrail.Candidate) (index int, ok bool) {
	if len(candidates) == 0 {
		return 0, false
	}
	index = p.draw.below(len(candidates))
	if len(candidates) == 1 {
		return index, true
	}
	other := p.draw.below(len(candidates) - 1)
	if other >= index {
		other++
	}
	a, b := &candidates[index].Load, &candidates[other].Load
	if b.Running+b.Waiting < a.Running+a.Waiting {
		index = other
	}
	return index, true
}
