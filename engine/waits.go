package engine

import (
	"sync/atomic"
	"time"

	"damasktrail.dev"
)

// waits measures how long an answer has waited for its endpoint. The time that the
// reader of the answer takes does not count. It has one writer; check may be called
// concurrently.
type waits struct {
	// silenceTimeout bounds one wait: for the head, for a complete event or comment of an
	// event stream, or for the next bytes of any other answer.
	silenceTimeout time.Duration
	// stallTimeout bounds all waits since the last progress: an event with data. An answer
	// in one piece has none before its end. Zero is no bound.
	stallTimeout time.Duration
	// since is the Unix time in nanoseconds at which the pending wait started; zero when
	// none is pending.
	since atomic.Int64
	// total is the sum in nanoseconds of the waits since the last progress that have
	// ended.
	total atomic.Int64
}

// newWaits returns the limits for the answer to a call.
func newWaits(s Settings, call damasktrail.Call) waits {
	switch {
	case call.Stream && s.Service: // Its format is not known.
		return waits{silenceTimeout: s.SilenceTimeout}
	case call.Stream:
		return waits{silenceTimeout: s.SilenceTimeout, stallTimeout: s.NonStreamSilenceTimeout}
	}
	limit := s.NonStreamSilenceTimeout
	if call.IdleTimeout > 0 {
		limit = min(limit, call.IdleTimeout)
	}
	return waits{silenceTimeout: limit, stallTimeout: limit}
}

// start begins a wait unless one is pending.
func (w *waits) start(now time.Time) { w.since.CompareAndSwap(0, now.UnixNano()) }

// end ends the pending wait, if there is one.
func (w *waits) end(now time.Time) {
	if since := w.since.Load(); since != 0 {
		w.total.Add(now.UnixNano() - since)
		w.since.Store(0)
	}
}

// progress records that the answer has got further.
func (w *waits) progress() { w.total.Store(0) }

// check returns the time until the next check, or the error of an answer that has waited
// too long.
func (w *waits) check(now time.Time) (next time.Duration, err error) {
	since := w.since.Load()
	if since == 0 {
		return w.silenceTimeout, nil
	}
	pending := time.Duration(now.UnixNano() - since)
	left := w.silenceTimeout - pending
	if left <= 0 {
		return 0, &SilenceError{w.silenceTimeout}
	}
	if w.stallTimeout == 0 {
		return left, nil
	}
	untilStall := w.stallTimeout - pending - time.Duration(w.total.Load())
	if untilStall <= 0 {
		return 0, &StallError{w.stallTimeout}
	}
	return min(left, untilStall), nil
}
