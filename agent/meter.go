package agent

import (
	"time"

	"damasktrail.dev/estimate"
)

// meter measures the endpoint's speed from windows of time in which it was
// busy. It belongs to the control goroutine.
type meter struct {
	speed estimate.Speed
	// since is the start of the window; zero before the first.
	since time.Time
	// busy says that a request was running at the start of the window.
	busy bool
	// prefill and decode are the tokens processed in the window.
	prefill, decode float64
}

// take adds the tokens that a request got since the last look at it.
func (m *meter) take(w *work) {
	n := w.tokens.Load()
	m.decode += float64(n - w.metered)
	w.metered = n
}

// end closes a window. Windows that were idle at either end are left out,
// because the time in which the endpoint worked is not known.
func (m *meter) end(busy bool, now time.Time) {
	if m.busy && busy && !m.since.IsZero() {
		m.speed = m.speed.With(now.Sub(m.since), m.prefill, m.decode)
	}
	m.since, m.busy = now, busy
	m.prefill, m.decode = 0, 0
}
