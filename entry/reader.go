package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"damasktrail.dev"
	"damasktrail.dev/frame"
	"damasktrail.dev/member"
)

const (
	// readers is how many entries of a region read the platform at a time.
	readers = 2
	// staleAfter is the age of the freshest known contact with the platform
	// after which entries that are not on duty begin to read.
	staleAfter = 5 * time.Second
	// staleStep spreads these by their rank, up to staleMax.
	staleStep = 500 * time.Millisecond
	staleMax  = 10 * time.Second
	// dutyInterval is that of the check whether this entry is on duty.
	dutyInterval = 500 * time.Millisecond
	// failMin and failMax bound the pause after a failed read, and failRate is
	// the rate in reads per second that all entries together then make at most,
	// of about 2,000. Few entries can try more often, and so see the end of an
	// outage within the 9 s in which a change must be in force.
	failMin  = 500 * time.Millisecond
	failMax  = 10 * time.Second
	failRate = 100
	// values is the number of values that each entry reads.
	values = 2
)

// longestPause returns the longest pause after failed reads with the given
// number of entries.
func longestPause(entries int) time.Duration {
	return min(max(time.Duration(entries)*values*time.Second/failRate, time.Second), failMax)
}

// entriesKnown returns the number of entries in the VM list.
func (e *Entry) entriesKnown() int {
	l := e.members.Load()
	if l == nil {
		return 1
	}
	res := 0
	for _, vm := range l.VMs {
		if vm.Role == member.RoleEntry {
			res++
		}
	}
	return res
}

// onDuty reports whether this entry reads the platform now. Entries decide by
// themselves; when their views differ there are more or fewer readers for a
// while, which does no harm because reading changes nothing.
func (e *Entry) onDuty(now time.Time) bool {
	d, l := e.documents.Load(), e.members.Load()
	if d == nil || l == nil || !e.read.Load() {
		return true
	}
	self := e.self(l)
	region := regionOf(d, self.Domain)
	ranked := member.Readers(l, d, region, member.Slot(now), len(l.VMs))
	rank := rankOf(ranked, self.Name)
	if rank < readers || rank == len(ranked) {
		return true
	}
	age := now.Sub(time.Unix(0, e.contact.Load()))
	return age > staleAfter+min(time.Duration(rank)*staleStep, staleMax)
}

// recordRead records a successful read by this entry.
func (e *Entry) recordRead(topic frame.Topic) {
	e.contacted(e.clock.Now())
	if topic == frame.TopicDocument {
		e.read.Store(true)
	}
}

// watch reads one value of the platform while this entry is on duty.
func (e *Entry) watch(ctx context.Context, topic frame.Topic, next func(ctx context.Context, after uint64) (damasktrail.Value, error), version func() uint64) {
	pause := failMin
	for ctx.Err() == nil {
		if !e.onDuty(e.clock.Now()) {
			if e.clock.Sleep(ctx, dutyInterval) != nil {
				return
			}
			continue
		}
		e.metrics.Count("platform_reads", 1)
		value, err := next(ctx, version())
		switch {
		case err == nil:
			if err = e.rollout.Offer(topic, value.Data); err != nil {
				e.metrics.Count("platform_refused", 1)
				e.log.Error("published value refused", "topic", topic, "version", value.Version, "error", err)
				break // The same value would be read again at once.
			}
			e.recordRead(topic)
			pause = failMin
			continue
		case errors.Is(err, damasktrail.ErrUnchanged):
			e.recordRead(topic)
			pause = failMin
			continue
		default:
			e.metrics.Count("platform_failures", 1)
			e.log.Debug("platform read failed", "topic", topic, "error", err)
		}
		if e.clock.Sleep(ctx, pause/2+time.Duration(rand.Int64N(int64(pause)))) != nil {
			return
		}
		pause = min(2*pause, longestPause(e.entriesKnown()))
	}
}
