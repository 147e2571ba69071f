package catalog

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"damasktrail.dev"
)

// follower is the state of one watched value. One goroutine owns it.
type follower struct {
	clock damasktrail.Clock
	log   *slog.Logger
	topic string
	// revision is where the next watch goes on.
	revision uint64
	// whole says that the next call reads the whole value.
	whole bool
	// read is the time of the last whole read.
	read time.Time
	// failures counts failures in a row.
	failures int
	// outage says that calls failed since the last whole read.
	outage bool
}

func (f *follower) needsWhole() bool {
	return f.revision == 0 || f.whole || f.clock.Now().Sub(f.read) >= repairInterval
}

func (f *follower) succeeded(revision uint64) {
	if f.needsWhole() {
		f.read = f.clock.Now()
		f.whole, f.outage = false, false
	}
	if f.failures > 0 {
		f.log.Info("directory answers again", "topic", f.topic, "failures", f.failures)
	}
	f.failures = 0
	// A watch that saw nothing keeps its place: the revision it returns may lie
	// after a change that it did not deliver.
	f.revision = max(f.revision, revision)
}

// failed waits before the next call. Peers that hold a newer table do not cut
// the wait short: they say so many times a second.
func (f *follower) failed(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.whole = true
	if errors.Is(err, errHint) {
		return
	}
	if errors.Is(err, damasktrail.ErrHistory) {
		f.log.Info("history is gone, reading the whole value", "topic", f.topic)
		return
	}
	f.outage = true
	f.failures++
	if f.failures == 1 {
		f.log.Warn("directory does not answer", "topic", f.topic, "error", err)
	}
	delay := min(firstBackoff<<min(f.failures-1, 10), maxBackoff)
	_ = f.clock.Sleep(ctx, delay)
}
