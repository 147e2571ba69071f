// Package revision holds the newest of the values that are published with rising
// numbers, and the differences that lead to it from those before. Start from
// [New].
package revision

import (
	"crypto/sha256"
	"sync"
	"sync/atomic"
)

// The history serves peers that missed a few changes. At 14,000 changes a day 64
// differences reach about 6 minutes back; the bound on operations keeps a run of
// large changes from filling the 64 MB of a node.
const (
	maxDifferences = 64
	maxOperations  = 8192
)

// Value is a published value. The zero value is none.
type Value interface {
	comparable
	// Number is that of the value. It is at least 1 and rises with each change.
	Number() uint64
	Digest() [sha256.Size]byte
}

// Difference leads from one value to the next.
type Difference interface {
	// Span returns the numbers of the two values.
	Span() (from, to uint64)
	// Len returns the number of operations.
	Len() int
}

// Holder has the value in force. Its number never falls. Reads take no lock; all
// methods are safe for use by several goroutines.
type Holder[V Value, X Difference] struct {
	// kind is the word for the numbers in errors.
	kind    string
	compare func(from, to V) X
	// mu orders offers.
	mu    sync.Mutex
	state atomic.Pointer[state[V, X]]
}

// state is immutable, but for the closing of changed.
type state[V Value, X Difference] struct {
	value V
	// history leads to value without gaps; the end of each is the start of the next.
	history []X
	changed chan struct{}
}

// New returns a holder without a value. The kind is the word for the numbers in
// errors, such as "generation".
func New[V Value, X Difference](kind string, compare func(from, to V) X) *Holder[V, X] {
	res := &Holder[V, X]{kind: kind, compare: compare}
	res.state.Store(&state[V, X]{changed: make(chan struct{})})
	return res
}

// Load returns the value in force, the zero value before the first.
func (h *Holder[V, X]) Load() V { return h.state.Load().value }

// Number returns that of the value in force, 0 before the first.
func (h *Holder[V, X]) Number() uint64 { return number(h.Load()) }

func number[V Value](v V) uint64 {
	var none V
	if v == none {
		return 0
	}
	return v.Number()
}

// Changed returns a channel that is closed at the next change. A caller that
// takes it before Load misses no change.
func (h *Holder[V, X]) Changed() <-chan struct{} { return h.state.Load().changed }

// Offer puts v in force when its number is higher than that in force, and reports
// whether it did. The same value again is no error. Errors are [*OlderError] and
// [*ConflictError]; the value in force then stays.
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
		next.history = extend(old.history, h.compare(old.value, v))
	}
	h.state.Store(next)
	close(old.changed)
	return true, nil
}

// extend returns a copy of the history with x, without the oldest differences
// that exceed the bounds.
func extend[X Difference](history []X, x X) []X {
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

// Since returns the differences that lead from a number to the value in force,
// oldest first; none when it is the one in force. It reports false when the
// history does not reach the number.
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
