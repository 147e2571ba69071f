package catalog

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"damasktrail.dev"
)

// follower is the state of the watch of one value: the table or the endpoints. It
// is owned by one goroutine.
type follower struct {
	clock damasktrail.Clock
	log   *slog.Logger
	topic string
	// revision is the revision from which the next watch continues.
	revision uint64
	// forceFullRead makes the next call a full read of the value.
	forceFullRead bool
	// awaitedPeers says that the wait for peers after the first read is over.
	awaitedPeers bool
	// historyGone says that the directory's history has been lost since the start.
	historyGone bool
	// cheapRead says that the value may be seconds old: it comes from a read of that kind,
	// and no watch has answered since.
	cheapRead bool
	// fullRead reports whether the last call was a full read.
	fullRead bool
	// lastFullRead is the time of the last full read.
	lastFullRead time.Time
	// failures is the number of consecutive failures.
	failures int
	// outage reports whether a call has failed since the last full read, while this process
	// ran.
	outage bool
}

// startFullRead reports whether the next call must be a full read instead of a watch.
func (f *follower) startFullRead() bool {
	f.fullRead = f.revision == 0 || f.forceFullRead || f.clock.Now().Sub(f.lastFullRead) >= fullReadInterval
	return f.fullRead
}

// call returns the name of the last call for the log.
func (f *follower) call() string {
	if f.fullRead {
		return callRead
	}
	return callWatch
}

// succeeded records a successful call and the revision that it returned.
func (f *follower) succeeded(revision uint64) {
	if f.fullRead {
		f.lastFullRead = f.clock.Now()
		f.forceFullRead, f.outage = false, false
	}
	if f.failures > 0 {
		f.log.Info("directory answers again", "topic", f.topic, "failures", f.failures)
	}
	f.failures = 0
	// After a watch without changes the caller passes the old revision, because the
	// revision that such a watch returns may lie after an undelivered change.
	f.revision = max(f.revision, revision)
}

// failed records a failed call and returns the time until the next one, at most
// longest. Hints from peers with a newer table do not shorten it, because they arrive
// many times a second.
func (f *follower) failed(ctx context.Context, err error, longest time.Duration) time.Duration {
	if ctx.Err() != nil {
		return 0
	}
	f.forceFullRead = true
	if errors.Is(err, errReread) {
		return 0
	}
	if errors.Is(err, damasktrail.ErrHistoryGone) {
		f.historyGone = true
		f.log.Info("history is gone, reading the whole value", "topic", f.topic)
		return 0
	}
	if errors.Is(err, damasktrail.ErrManyChanges) {
		f.log.Info("many changes, reading the whole value", "topic", f.topic)
		return 0
	}
	f.failures++
	// Failures 1, 2, 4, 8 and so on are logged, which shows whether their cause changes.
	if f.failures&(f.failures-1) == 0 {
		f.log.Warn("directory does not answer", "topic", f.topic, "failures", f.failures, "error", err)
	}
	return min(minBackoff<<min(f.failures-1, 10), longest)
}
