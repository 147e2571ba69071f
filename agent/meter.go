package agent

import (
	"time"

	"damasktrail.dev/estimate"
)

// meter measures the endpoint's speed in time windows in which it was busy. It
// is owned by the control goroutine.
type meter struct {
	speed estimate.Speed
	// windowStart is zero before the first window.
	windowStart time.Time
	// busyAtStart reports whether a request was running at the start of the
	// window.
	busyAtStart bool
	// prefillTokens and decodeTokens are the tokens processed in the window.
	prefillTokens, decodeTokens float64
}

// addDecodeTokens adds the tokens generated for a request since the previous
// call.
func (m *meter) addDecodeTokens(w *work) {
	n := w.tokens.Load()
	m.decodeTokens += float64(n - w.meteredTokens)
	w.meteredTokens = n
}

// endWindow ends a window. A window that was idle at its start or its end is
// ignored, because the time for which the endpoint worked is not known.
func (m *meter) endWindow(busy bool, now time.Time) {
	if m.busyAtStart && busy && !m.windowStart.IsZero() {
		m.speed = m.speed.With(now.Sub(m.windowStart), m.prefillTokens, m.decodeTokens)
	}
	m.windowStart, m.busyAtStart = now, busy
	m.prefillTokens, m.decodeTokens = 0, 0
}
