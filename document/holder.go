package document

import (
	"sync"
	"sync/atomic"
)

// The history serves peers that missed a few pushes. At 14,000 changes a day
// 64 differences reach about 6 minutes back; the bound on operations keeps a
// run of large changes from filling the 64 MB of a node.
const (
	maxDifferences = 64
	maxOperations  = 8192
)

// Holder has the document in force. Its generation never falls. Reads take no
// lock; all methods are safe for use by several goroutines.
type Holder struct {
	// mu orders offers.
	mu    sync.Mutex
	state atomic.Pointer[state]
}

// state is immutable, but for the closing of changed.
type state struct {
	document *Document
	// history leads to document without gaps; To of each is From of the next.
	history []Difference
	changed chan struct{}
}

// NewHolder returns a holder without a document.
func NewHolder() *Holder {
	res := &Holder{}
	res.state.Store(&state{changed: make(chan struct{})})
	return res
}

// Load returns the document in force, nil before the first.
func (h *Holder) Load() *Document {
	return h.state.Load().document
}

// Generation returns that of the document in force, 0 before the first.
func (h *Holder) Generation() uint64 {
	if d := h.Load(); d != nil {
		return d.Generation
	}
	return 0
}

// Changed returns a channel that is closed at the next change. A caller that
// takes it before Load misses no change.
func (h *Holder) Changed() <-chan struct{} {
	return h.state.Load().changed
}

// Offer puts d in force when its generation is higher than that in force, and
// reports whether it did. The same document again is no error. Errors are
// [*OlderError] and [*ConflictError]; the document in force then stays.
func (h *Holder) Offer(d *Document) (changed bool, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.state.Load()
	next := &state{document: d, changed: make(chan struct{})}
	if held := old.document; held != nil {
		switch {
		case d.Generation < held.Generation:
			return false, &OlderError{Offered: d.Generation, Held: held.Generation}
		case d.Generation == held.Generation && d.Digest() != held.Digest():
			return false, &ConflictError{
				Generation: d.Generation, Offered: d.Digest(), Held: held.Digest(),
			}
		case d.Generation == held.Generation:
			return false, nil
		}
		next.history = extend(old.history, Compare(held, d))
	}
	h.state.Store(next)
	close(old.changed)
	return true, nil
}

// extend returns a copy of the history with x, without the oldest differences
// that exceed the bounds.
func extend(history []Difference, x Difference) []Difference {
	res := append(append(make([]Difference, 0, len(history)+1), history...), x)
	operations := 0
	for i := len(res) - 1; i >= 0; i-- {
		operations += len(res[i].Operations)
		if len(res)-i > maxDifferences || operations > maxOperations {
			return append([]Difference(nil), res[i+1:]...)
		}
	}
	return res
}

// Since returns the differences that lead from a generation to the document in
// force, oldest first; none when it is the one in force. It reports false when
// the history does not reach the generation.
func (h *Holder) Since(generation uint64) ([]Difference, bool) {
	s := h.state.Load()
	if s.document == nil {
		return nil, false
	}
	if s.document.Generation == generation {
		return nil, true
	}
	for i, x := range s.history {
		if x.From == generation {
			return s.history[i:len(s.history):len(s.history)], true
		}
	}
	return nil, false
}
