package member

import (
	"fmt"
	"sync"
	"sync/atomic"
)

// OlderError says that an offered list is older than the one in force.
type OlderError struct {
	// Offered and Held are versions; Offered is lower.
	Offered, Held uint64
}

// Error implements error.
func (e *OlderError) Error() string {
	return fmt.Sprintf("VM list version %d is older than version %d in force", e.Offered, e.Held)
}

// ConflictError says that an offered list has the version of the one in force
// and other content.
type ConflictError struct {
	// Version is that of both lists.
	Version uint64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("VM list version %d was offered with other content than that in force", e.Version)
}

// Holder has the list in force. Its version never falls. Reads take no lock;
// all methods are safe for use by several goroutines.
type Holder struct {
	// mu orders offers.
	mu    sync.Mutex
	state atomic.Pointer[state]
}

// state is immutable, but for the closing of changed.
type state struct {
	list    *List
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
	if held := old.list; held != nil {
		switch {
		case l.Version < held.Version:
			return false, &OlderError{Offered: l.Version, Held: held.Version}
		case l.Version == held.Version && l.Digest() != held.Digest():
			return false, &ConflictError{Version: l.Version}
		case l.Version == held.Version:
			return false, nil
		}
	}
	h.state.Store(&state{list: l, changed: make(chan struct{})})
	close(old.changed)
	return true, nil
}
