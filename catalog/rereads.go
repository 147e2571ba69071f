package catalog

import (
	"context"
	"errors"
	"sync"
	"time"

	"damasktrail.dev"
)

// rereadGrace is how long a request waits for the answers to open calls to begin to
// arrive. A watch on a connection that works brings a change in this time.
const rereadGrace = 100 * time.Millisecond

// errReread ends a watch when a full read is requested.
var errReread = errors.New("full read requested")

// rereads has the requests to read one value in full, which end a watch of it. It is
// safe for concurrent use.
type rereads struct {
	clock damasktrail.Clock
	// behind reports whether a peer has a newer value than this entry.
	behind func() bool
	// wake holds an element when a request may have become due.
	wake chan struct{}

	// mu guards the fields below. It is not held during calls of behind.
	mu sync.Mutex
	// requestedAt is the time of the first request that no full read or other call has
	// served, zero if there is none.
	requestedAt time.Time
	// requests is the number of requests so far.
	requests int
	// forced is true if the request holds even if no peer has a newer value.
	forced bool
	// open is the number of calls that may bring the value, receiving that of those
	// whose answer is arriving. Such an answer makes a full read needless, and one
	// beside it would make both slower.
	open, receiving int
}

func newRereads(clock damasktrail.Clock, behind func() bool) *rereads {
	return &rereads{clock: clock, behind: behind, wake: make(chan struct{}, 1)}
}

// request requests a full read if a peer has a newer value and no open call brings it.
func (r *rereads) request() { r.record(false) }

// force requests a full read unless an answer with the value is arriving.
func (r *rereads) force() { r.record(true) }

func (r *rereads) record(forced bool) {
	r.mu.Lock()
	r.requests++
	r.forced = r.forced || forced
	if r.requestedAt.IsZero() {
		r.requestedAt = r.clock.Now()
		r.clock.Schedule(rereadGrace, func(time.Time) { r.wakeUp() })
	}
	r.mu.Unlock()
	r.wakeUp()
}

func (r *rereads) wakeUp() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// due reports whether a full read must begin now. It drops the requests that another
// call has served meanwhile.
func (r *rereads) due() bool {
	r.mu.Lock()
	requests := r.requests
	r.mu.Unlock()
	behind := r.behind()
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.requestedAt.IsZero():
		return false
	case !r.forced && !behind:
		if requests == r.requests {
			r.requestedAt = time.Time{}
		}
		return false
	}
	return r.receiving == 0 && (r.open == 0 || r.clock.Now().Sub(r.requestedAt) >= rereadGrace)
}

// isReceiving reports whether an answer with the value is arriving.
func (r *rereads) isReceiving() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.receiving > 0
}

// begin records that a full read begins, which serves all requests so far.
func (r *rereads) begin() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requestedAt, r.forced = time.Time{}, false
}

// receive makes a call that may bring the value. The call gets a function to call once
// its answer begins to arrive.
func (r *rereads) receive(call func(began func())) {
	began := 0
	r.count(1, 0)
	call(func() {
		began = 1
		r.count(0, 1)
	})
	r.count(-1, -began)
	r.wakeUp()
}

func (r *rereads) count(open, receiving int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.open += open
	r.receiving += receiving
}

// interruptible runs a watch that ends with errReread when a full read becomes due
// before its answer begins to arrive.
func interruptible[T any](ctx context.Context, c *Catalog, r *rereads, watch func(ctx context.Context, began func()) (T, error)) (res T, err error) {
	ctx, stop := context.WithCancelCause(ctx)
	defer stop(nil)
	c.tasks.Go(func(context.Context) {
		for {
			select {
			case <-r.wake:
				if r.due() {
					stop(errReread)
				}
			case <-ctx.Done():
				return
			}
		}
	})
	r.receive(func(began func()) { res, err = watch(ctx, began) })
	if err != nil && errors.Is(context.Cause(ctx), errReread) {
		c.log.Info("watch ended for a full read", "error", err)
		err = errReread
	}
	return res, err
}
