package damasktrail

import (
	"context"
	"time"
)

// Clock provides the time and timers. All components that wait or repeat work use
// it; nothing else creates timers. Implementations are safe for concurrent use.
type Clock interface {
	// Now returns the current time with a monotonic reading.
	Now() time.Time
	// Subscribe calls f once per interval until cancel is called. Calls do not
	// overlap; a tick that occurs while f runs is dropped.
	Subscribe(interval time.Duration, f func(now time.Time)) (cancel func())
	// Schedule calls f once after d unless cancel is called first.
	Schedule(d time.Duration, f func(now time.Time)) (cancel func())
	// Sleep waits for d and returns early with the context's error when ctx ends.
	Sleep(ctx context.Context, d time.Duration) error
}
