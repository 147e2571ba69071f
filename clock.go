package damasktrail

import (
	"context"
	"time"
)

// Clock is the timer service. Every part that waits or repeats work subscribes
// to it; nothing else creates timers. Implementations are safe for use by
// several goroutines.
type Clock interface {
	// Now returns the current time with a monotonic reading.
	Now() time.Time
	// Subscribe calls f once per interval until cancel is called. Calls do not
	// overlap; a tick that comes while f runs is dropped.
	Subscribe(interval time.Duration, f func(now time.Time)) (cancel func())
	// Schedule calls f once after d unless cancel is called first.
	Schedule(d time.Duration, f func(now time.Time)) (cancel func())
	// Sleep waits for d and returns early with the context's error when ctx ends.
	Sleep(ctx context.Context, d time.Duration) error
}
