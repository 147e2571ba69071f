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
	// failMin and failMax bound the pause after a failed read. At failMax all
	// 540 entries together make 108 reads a second of about 2,000.
	failMin = 500 * time.Millisecond
	failMax = 10 * time.Second
)

// onDuty reports whether this entry reads the platform now. Entries decide by
// themselves; when their views differ there are more or fewer readers for a
// while, which does no harm because reading changes nothing.
func (e *Entry) onDuty(now time.Time) bool {
	d, l := e.documents.Load(), e.members.Load()
	if d == nil || l == nil {
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

// read watches one value of the platform while this entry is on duty.
func (e *Entry) read(ctx context.Context, topic frame.Topic, watch func(ctx context.Context, after uint64) (damasktrail.Value, error), version func() uint64) {
	pause := failMin
	for ctx.Err() == nil {
		if !e.onDuty(e.clock.Now()) {
			if e.clock.Sleep(ctx, dutyInterval) != nil {
				return
			}
			continue
		}
		e.metrics.Count("platform_reads", 1)
		value, err := watch(ctx, version())
		switch {
		case err == nil:
			if err = e.rollout.Offer(topic, value.Data); err != nil {
				e.metrics.Count("platform_refused", 1)
				e.log.Error("published value refused", "topic", topic, "version", value.Version, "error", err)
				break // The same value would be read again at once.
			}
			e.contacted(e.clock.Now())
			pause = failMin
			continue
		case errors.Is(err, damasktrail.ErrUnchanged):
			e.contacted(e.clock.Now())
			pause = failMin
			continue
		default:
			e.metrics.Count("platform_failures", 1)
			e.log.Debug("platform read failed", "topic", topic, "error", err)
		}
		if e.clock.Sleep(ctx, pause/2+time.Duration(rand.Int64N(int64(pause)))) != nil {
			return
		}
		pause = min(2*pause, failMax)
	}
}
