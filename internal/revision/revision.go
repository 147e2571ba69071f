// Package revision holds the newest version of a value that is published under
// increasing numbers, and a bounded history of the differences between the
// versions before it. Start from [New].
package revision

import (
	"crypto/sha256"
	"sync"
	"sync/atomic"
)

// The history serves peers that missed a few changes. At 14,000 changes a day, 64
// differences cover about 6 minutes. The limit on operations prevents a series of
// large changes from filling the 64 MB of memory of a node.
const (
	maxDifferences = 64
	maxOperations  = 8192
)

// Value is one version of a published value. The zero value stands for no value.
type Value interface {
	comparable
	// Number is the revision number of the value. It is at least 1 and increases
	// with each change.
	Number() uint64
	Digest() [sha256.Size]byte
}

// Difference consists of the operations that turn one version of a value into a
// later one.
type Difference interface {
	// Span returns the numbers of the two versions.
	Span() (from, to uint64)
	// Len returns the number of operations.
	Len() int
}

// Holder holds the value in force, whose number never decreases. Reads take no
// lock. All methods are safe for use by several goroutines.
type Holder[V Value, X Difference] struct {
	// kind names the numbers in errors.
	kind    string
	compare func(from, to V) X
	// mu serialises Offer.
	mu    sync.Mutex
	state atomic.Pointer[state[V, X]]
}

// state is immutable except that changed is closed when it is replaced.
type state[V Value, X Difference] struct {
	value V
	// history leads to value without gaps: each difference starts where the one
	// before ends, and the last ends at value.
	history []X
	changed chan struct{}
}

// New returns a holder without a value. The kind names the numbers in errors, such
// as "generation".
func New[V Value, X Difference](kind string, compare func(from, to V) X) *Holder[V, X] {
	res := &Holder[V, X]{kind: kind, compare: compare}
	res.state.Store(&state[V, X]{changed: make(chan struct{})})
	return res
}

// Load returns the value in force, or the zero value before the first offer.
func (h *Holder[V, X]) Load() V { return h.state.Load().value }

// Number returns the number of the value in force, or 0 before the first offer.
func (h *Holder[V, X]) Number() uint64 { return number(h.Load()) }

func number[V Value](v V) uint64 {
	var zero V
	if v == zero {
		return 0
	}
	return v.Number()
}

// Changed returns a channel that is closed at the next change. A caller that calls
// it before Load misses no change.
func (h *Holder[V, X]) Changed() <-chan struct{} { return h.state.Load().changed }

// Offer puts v in force when its number is higher than that of the value in force,
// and reports whether it did. Offering the value in force again is no error. Errors
// are [*OlderError] and [*ConflictError]; the value in force then stays.
func (h *Holder[V, X]) Offer(v V) (changed bool, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.state.Load()
	next := &state[V, X]{value: v, changed: make(chan struct{})}
	if held := number(old.value); held > 0 {
		switch {
		case v.Number() < held:
			return false, &OlderError{Kind: h.kind, Offered: v.Number(), Held: held}
		case v.Number() == held && v.Digest() != old.value.Digest():
			return false, &ConflictError{Kind: h.kind, Number: held, Offered: v.Digest(), Held: old.value.Digest()}
		case v.Number() == held:
			return false, nil
		}
		next.history = appendBounded(old.history, h.compare(old.value, v))
	}
	h.state.Store(next)
	close(old.changed)
	return true, nil
}

// appendBounded returns a copy of the history with x appended. It drops the oldest
// differences beyond maxDifferences and maxOperations.
func appendBounded[X Difference](history []X, x X) []X {
	res := append(append(make([]X, 0, len(history)+1), history...), x)
	operations := 0
	for i := len(res) - 1; i >= 0; i-- {
		operations += res[i].Len()
		if len(res)-i > maxDifferences || operations > maxOperations {
			return append([]X(nil), res[i+1:]...)
		}
	}
	return res
}

// Since returns the differences that lead from the value with the given number to
// the value in force, oldest first. The list is empty when that value is in force.
// It reports false when the history does not reach back to the number.
func (h *Holder[V, X]) Since(from uint64) ([]X, bool) {
	s := h.state.Load()
	held := number(s.value)
	if held == 0 {
		return nil, false
	}
	if held == from {
		return nil, true
	}
	for i, x := range s.history {
		if start, _ := x.Span(); start == from {
			return s.history[i:len(s.history):len(s.history)], true
		}
	}
	return nil, false
}
