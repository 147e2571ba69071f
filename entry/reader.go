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
	// readersPerRegion is the number of entries of a region that read the platform
	// at a time.
	readersPerRegion = 2
	// contactStaleAfter is the age of the freshest known contact with the platform
	// after which entries that are not on duty also begin to read.
	contactStaleAfter = 5 * time.Second
	// contactStaleStep is added per rank to spread these reads, up to
	// contactStaleMax.
	contactStaleStep = 500 * time.Millisecond
	contactStaleMax  = 10 * time.Second
	// dutyCheckInterval is the interval of the check whether this entry is on
	// duty.
	dutyCheckInterval = 500 * time.Millisecond
	// readBackoffMin is the first and readBackoffMax the longest backoff after a
	// failed read. failedReadRate is the highest rate in reads per second that all
	// entries together then reach, of the platform's about 2,000. With few entries
	// each may try more often, and so sees the end of an outage within the 9 s in
	// which a change must be in force.
	readBackoffMin = 500 * time.Millisecond
	readBackoffMax = 10 * time.Second
	failedReadRate = 100
	// watchedValues is the number of values that each entry reads.
	watchedValues = 2
)

// maxReadBackoff returns the longest backoff after failed reads with the given
// number of entries.
func maxReadBackoff(entries int) time.Duration {
	return min(max(time.Duration(entries)*watchedValues*time.Second/failedReadRate, time.Second), readBackoffMax)
}

// knownEntries returns the number of entries in the VM list, 1 before the first
// list.
func (e *Entry) knownEntries() int {
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

// onDuty reports whether this entry is to read the platform now. Entries decide
// independently; when their views differ there are more or fewer readers for a
// while, which does no harm because reading changes nothing.
func (e *Entry) onDuty(now time.Time) bool {
	d, l := e.documents.Load(), e.members.Load()
	if d == nil || l == nil || !e.documentRead.Load() {
		return true
	}
	self := e.self(l)
	region := regionOf(d, self.Domain)
	ranked := member.Readers(l, d, region, member.TimeSlot(now), len(l.VMs))
	rank := indexOf(ranked, self.Name)
	if rank < readersPerRegion || rank == len(ranked) {
		return true
	}
	age := now.Sub(time.Unix(0, e.lastContact.Load()))
	return age > contactStaleAfter+min(time.Duration(rank)*contactStaleStep, contactStaleMax)
}

// recordRead records a successful read by this entry.
func (e *Entry) recordRead(topic frame.Topic) {
	e.recordContact(e.clock.Now())
	if topic == frame.TopicDocument {
		e.documentRead.Store(true)
	}
}

// watchPlatform reads one value of the platform whenever this entry is on duty.
func (e *Entry) watchPlatform(ctx context.Context, topic frame.Topic, read func(ctx context.Context, after uint64) (damasktrail.Value, error), version func() uint64) {
	backoff := readBackoffMin
	for ctx.Err() == nil {
		if !e.onDuty(e.clock.Now()) {
			if e.clock.Sleep(ctx, dutyCheckInterval) != nil {
				return
			}
			continue
		}
		e.metrics.Count("platform_reads", 1)
		value, err := read(ctx, version())
		switch {
		case err == nil:
			if err = e.rollout.Offer(topic, value.Data); err != nil {
				e.metrics.Count("platform_refused", 1)
				e.log.Error("published value refused", "topic", topic, "version", value.Version, "error", err)
				break // Back off, or the same value is read again at once.
			}
			e.recordRead(topic)
			backoff = readBackoffMin
			continue
		case errors.Is(err, damasktrail.ErrUnchanged):
			e.recordRead(topic)
			backoff = readBackoffMin
			continue
		default:
			e.metrics.Count("platform_failures", 1)
			e.log.Debug("platform read failed", "topic", topic, "error", err)
		}
		if e.clock.Sleep(ctx, backoff/2+time.Duration(rand.Int64N(int64(backoff)))) != nil {
			return
		}
		backoff = min(2*backoff, maxReadBackoff(e.knownEntries()))
	}
}
