// Package timer implements the timer service on the system's clock. Tests use
// it inside a testing/synctest bubble, where its time is virtual. Start from
// [New].
package timer

import (
	"context"
	"sync"
	"time"

	"damasktrail.dev/group"
)

// Clock implements damasktrail.Clock on package time.
type Clock struct {
	// tasks runs one goroutine for each subscription that is not cancelled.
	tasks *group.Group
}

// New returns a clock whose subscriptions run as goroutines of tasks.
func New(tasks *group.Group) *Clock {
	return &Clock{tasks: tasks}
}

// Now returns the current time.
func (c *Clock) Now() time.Time {
	return time.Now()
}

// Subscribe calls f once per interval until cancel is called or the group ends.
func (c *Clock) Subscribe(interval time.Duration, f func(now time.Time)) (cancel func()) {
	stop := make(chan struct{})
	c.tasks.Go(func(ctx context.Context) {
		ticker := time.NewTicker(interval)
		defer ticker.Stop()
		for {
			select {
			case now := <-ticker.C:
				f(now)
			case <-stop:
				return
			case <-ctx.Done():
				return
			}
		}
	})
	return sync.OnceFunc(func() { close(stop) })
}

// Schedule calls f once after d unless cancel is called first.
func (c *Clock) Schedule(d time.Duration, f func(now time.Time)) (cancel func()) {
	t := time.AfterFunc(d, func() { f(time.Now()) })
	return func() { t.Stop() }
}

// Sleep waits for d or until ctx ends.
func (c *Clock) Sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
