package catalog_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"damasktrail.dev"
	"damasktrail.dev/catalog"
	"damasktrail.dev/group"
	"damasktrail.dev/timer"
)

// evacuationDirectory is a directory with evacuations and a history of their changes.
type evacuationDirectory struct {
	fakeDirectory

	mu        sync.Mutex
	evacuated map[string]bool
	history   []damasktrail.EvacuationUpdate
	at        uint64
	// err fails each call, hang makes the next watches end without an answer after their
	// wait and half a second, gone makes watches report a lost history.
	err        error
	hang, gone bool
	calls      int
}

func (d *evacuationDirectory) set(domain string, ended bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.at++
	if d.evacuated == nil {
		d.evacuated = map[string]bool{}
	}
	d.evacuated[domain] = !ended
	d.history = append(d.history, damasktrail.EvacuationUpdate{
		Changes: []damasktrail.EvacuationChange{{Domain: domain, Ended: ended}}, Revision: d.at, Changed: d.at,
	})
}

func (d *evacuationDirectory) with(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f()
}

func (d *evacuationDirectory) Evacuations(context.Context) (damasktrail.EvacuationUpdate, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls++
	res := damasktrail.EvacuationUpdate{Revision: d.at}
	for domain, on := range d.evacuated {
		if on {
			res.Changes = append(res.Changes, damasktrail.EvacuationChange{Domain: domain})
		}
	}
	return res, d.err
}

func (d *evacuationDirectory) WatchEvacuations(ctx context.Context, w damasktrail.Watch) (damasktrail.EvacuationUpdate, error) {
	d.with(func() { d.calls++ })
	for end := time.Now().Add(w.Wait); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		d.mu.Lock()
		err, hang, gone := d.err, d.hang, d.gone
		res := damasktrail.EvacuationUpdate{}
		for _, x := range d.history {
			if x.Revision > w.After {
				res.Changes = append(res.Changes, x.Changes...)
				res.Revision, res.Changed = x.Revision, x.Revision
			}
		}
		d.gone = false
		d.mu.Unlock()
		switch {
		case ctx.Err() != nil:
			return res, ctx.Err()
		case hang:
		case err != nil:
			return res, err
		case gone:
			return res, damasktrail.ErrHistoryGone
		case len(res.Changes) > 0:
			return res, nil
		}
	}
	hang := false
	d.with(func() { hang = d.hang })
	if hang {
		time.Sleep(500 * time.Millisecond)
		return damasktrail.EvacuationUpdate{}, errDown
	}
	return damasktrail.EvacuationUpdate{}, damasktrail.ErrUnchanged
}

// suspension is the time for which a simulated process was suspended.
type suspension struct {
	mu sync.Mutex
	d  time.Duration
}

const evacuationBound = 5 * time.Second

// runEvacuations runs f with a catalog that follows evacuations, in virtual time.
func runEvacuations(t *testing.T, d *evacuationDirectory, fleet catalog.Fleet, f func(c *catalog.Catalog, s *suspension)) {
	synctest.Test(t, func(t *testing.T) {
		d.table = newTable(t, 1)
		d.revision, d.at = 1, 1
		tasks := group.New(context.Background())
		start, s := time.Now(), &suspension{}
		uptime := func() time.Duration {
			s.mu.Lock()
			defer s.mu.Unlock()
			return time.Hour + time.Since(start) + s.d
		}
		c := catalog.New(d, timer.New(tasks), uptime, fleet, slog.New(slog.NewTextHandler(io.Discard, nil)), nil)
		c.FollowEvacuations(evacuationBound)
		require.False(t, c.Snapshot().EvacuationsKnown, "nothing is known before the first read")
		c.Start(tasks)
		time.Sleep(50 * time.Millisecond)
		f(c, s)
		tasks.Close()
	})
}

// Guards against an evacuation that takes effect after its bound, at any moment of a watch,
// also when the watch is on a dead connection.
func TestEvacuationWithinBound(t *testing.T) {
	for _, hang := range []bool{false, true} {
		for offset := time.Duration(0); offset < 4*time.Second; offset += 370 * time.Millisecond {
			t.Run(fmt.Sprintf("hang %t after %v", hang, offset), func(t *testing.T) {
				d := &evacuationDirectory{}
				runEvacuations(t, d, &fakeFleet{}, func(c *catalog.Catalog, _ *suspension) {
					d.with(func() { d.hang = hang })
					time.Sleep(offset)
					begin := time.Now()
					d.set("a", false)
					for len(c.Snapshot().Evacuated) == 0 {
						require.Less(t, time.Since(begin), evacuationBound)
						time.Sleep(10 * time.Millisecond)
					}
					d.with(func() { d.hang = false })
					d.set("b", false)
					time.Sleep(evacuationBound)
					require.Equal(t, []string{"a", "b"}, c.Snapshot().Evacuated)
					d.set("a", true)
					time.Sleep(evacuationBound)
					require.Equal(t, []string{"b"}, c.Snapshot().Evacuated)
				})
			})
		}
	}
}

// Guards against an evacuation that ends because the directory does not answer or has lost
// its history.
func TestEvacuationSurvivesOutage(t *testing.T) {
	d := &evacuationDirectory{}
	runEvacuations(t, d, &fakeFleet{}, func(c *catalog.Catalog, _ *suspension) {
		d.set("a", false)
		time.Sleep(time.Second)
		d.with(func() { d.err = errDown })
		time.Sleep(time.Minute)
		require.Equal(t, []string{"a"}, c.Snapshot().Evacuated)
		require.True(t, c.Snapshot().EvacuationsKnown)
		require.True(t, c.EvacuationsCurrent(), "the last known state applies")
		d.with(func() { d.err, d.gone, d.history = nil, true, nil })
		time.Sleep(time.Second)
		require.Equal(t, []string{"a"}, c.Snapshot().Evacuated)
		d.set("a", true)
		time.Sleep(time.Second)
		require.Empty(t, c.Snapshot().Evacuated)
	})
}

// Guards against an entry that uses endpoints although it has not read the evacuations since
// it began to follow the directory, and against calls of one that does not follow it.
func TestEvacuationsAreReadBeforeUse(t *testing.T) {
	d, fleet := &evacuationDirectory{}, &fakeFleet{}
	runEvacuations(t, d, fleet, func(c *catalog.Catalog, _ *suspension) {
		require.True(t, c.Snapshot().EvacuationsKnown)
		fleet.idle.Store(true)
		time.Sleep(evacuationBound)
		require.False(t, c.Snapshot().EvacuationsKnown)
		require.True(t, c.EvacuationsSettled())
		calls := 0
		d.with(func() { calls = d.calls })
		time.Sleep(time.Minute)
		d.with(func() { require.Equal(t, calls, d.calls) })
		d.set("a", false)
		d.with(func() { d.err = errDown })
		fleet.idle.Store(false)
		time.Sleep(time.Second)
		require.False(t, c.Snapshot().EvacuationsKnown)
		d.with(func() { d.err = nil })
		time.Sleep(time.Second)
		require.True(t, c.Snapshot().EvacuationsKnown)
		require.Equal(t, []string{"a"}, c.Snapshot().Evacuated)
	})
}

// Guards against waiting for the end of a watch when a peer knows a newer evacuation or the
// process was suspended.
func TestEvacuationsAreReadAgain(t *testing.T) {
	d := &evacuationDirectory{}
	runEvacuations(t, d, &fakeFleet{}, func(c *catalog.Catalog, s *suspension) {
		d.with(func() { d.hang = true })
		d.set("a", false)
		for range 8 {
			c.HintEvacuations(2)
			time.Sleep(100 * time.Millisecond)
		}
		require.Equal(t, []string{"a"}, c.Snapshot().Evacuated)
		d.set("b", false)
		s.mu.Lock()
		s.d = 10 * time.Second
		s.mu.Unlock()
		require.False(t, c.EvacuationsCurrent())
		time.Sleep(200 * time.Millisecond)
		require.True(t, c.EvacuationsCurrent())
		require.Equal(t, []string{"a", "b"}, c.Snapshot().Evacuated)
	})
}

// Evacuations implements damasktrail.Directory.
func (*fakeDirectory) Evacuations(context.Context) (damasktrail.EvacuationUpdate, error) {
	panic("evacuations are not followed")
}

// WatchEvacuations implements damasktrail.Directory.
func (*fakeDirectory) WatchEvacuations(context.Context, damasktrail.Watch) (damasktrail.EvacuationUpdate, error) {
	panic("evacuations are not followed")
}
