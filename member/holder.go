package member

import (
	"sync"
	"sync/atomic"
)

// The history serves peers that missed a few changes. At 3,870 changes a day 64
// differences reach about 24 minutes back; the bound on operations keeps a run
// of large changes from filling the 64 MB of a node.
const (
	maxDifferences = 64
	maxOperations  = 8192
)

// Holder has the list in force. Its version never falls. Reads take no lock;
// all methods are safe for use by several goroutines.
type Holder struct {
	// mu orders offers.
	mu    sync.Mutex
	state atomic.Pointer[state]
}

// state is immutable, but for the closing of changed.
type state struct {
	list *List
	// history leads to list without gaps; To of each is From of the next.
	history []Difference
	changed chan struct{}
}

// NewHolder returns a holder without a list.
func NewHolder() *Holder {
	res := &Holder{}
	res.state.Store(&state{changed: make(chan struct{})})
	return res
}

// Load returns the list in force, nil before the first.
func (h *Holder) Load() *List {
	return h.state.Load().list
}

// Version returns that of the list in force, 0 before the first.
func (h *Holder) Version() uint64 {
	if l := h.Load(); l != nil {
		return l.Version
	}
	return 0
}

// Changed returns a channel that is closed at the next change. A caller that
// takes it before Load misses no change.
func (h *Holder) Changed() <-chan struct{} {
	return h.state.Load().changed
}

// Offer puts l in force when its version is higher than that in force, and
// reports whether it did. The same list again is no error. Errors are
// [*OlderError] and [*ConflictError]; the list in force then stays.
func (h *Holder) Offer(l *List) (changed bool, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	old := h.state.Load()
	next := &state{list: l, changed: make(chan struct{})}
	if held := old.list; held != nil {
		switch {
		case l.Version < held.Version:
			return false, &OlderError{Offered: l.Version, Held: held.Version}
		case l.Version == held.Version && l.Digest() != held.Digest():
			return false, &ConflictError{Version: l.Version}
		case l.Version == held.Version:
			return false, nil
		}
		next.history = extend(old.history, Compare(held, l))
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

// Since returns the differences that lead from a version to the list in force,
// oldest first; none when it is the one in force. It reports false when the
// history does not reach the version.
func (h *Holder) Since(version uint64) ([]Difference, bool) {
	s := h.state.Load()
	if s.list == nil {
		return nil, false
	}
	if s.list.Version == version {
		return nil, true
	}
	for i, x := range s.history {
		if x.From == version {
			return s.history[i:len(s.history):len(s.history)], true
		}
	}
	return nil, false
}
