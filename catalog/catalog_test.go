package catalog_test

import (
	"context"
	"errors"
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
	"damasktrail.dev/fleet"
	"damasktrail.dev/group"
	"damasktrail.dev/routing"
	"damasktrail.dev/timer"
)

var errDown = errors.New("directory is down")

// directory is a fake with the values of one moment.
type directory struct {
	mu    sync.Mutex
	table *routing.Table
	list  fleet.List
	// revision grows with each change, tableRevision with those of the table.
	revision, tableRevision uint64
	// fails is returned by each call unless it is nil.
	fails error
	// deaf watches hear nothing.
	deaf  bool
	calls int
}

func (d *directory) set(f func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	before := d.table
	f()
	d.revision++
	if d.table != before {
		d.tableRevision = d.revision
	}
}

func (d *directory) called() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.calls++
	return d.fails
}

func (d *directory) Table(context.Context) (damasktrail.TableNews, error) {
	err := d.called()
	d.mu.Lock()
	defer d.mu.Unlock()
	return damasktrail.TableNews{Table: d.table, Revision: d.revision}, err
}

func (d *directory) Endpoints(context.Context) (damasktrail.EndpointNews, error) {
	err := d.called()
	d.mu.Lock()
	defer d.mu.Unlock()
	res := damasktrail.EndpointNews{Revision: d.revision}
	for _, e := range d.list.All() {
		res.Changes = append(res.Changes, damasktrail.EndpointChange{Endpoint: e})
	}
	return res, err
}

// wait polls for a change as a watch does.
func (d *directory) wait(ctx context.Context, revision *uint64, after uint64, wait time.Duration) error {
	if err := d.called(); err != nil {
		return err
	}
	for end := time.Now().Add(wait); time.Now().Before(end); {
		d.mu.Lock()
		news, fails := *revision > after && !d.deaf, d.fails
		d.mu.Unlock()
		if news || fails != nil {
			return fails
		}
		select {
		case <-time.After(5 * time.Millisecond):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return damasktrail.ErrUnchanged
}

func (d *directory) WatchTable(ctx context.Context, after uint64, wait time.Duration) (damasktrail.TableNews, error) {
	if err := d.wait(ctx, &d.tableRevision, after, wait); err != nil {
		return damasktrail.TableNews{}, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return damasktrail.TableNews{Table: d.table, Revision: d.revision}, nil
}

func (d *directory) WatchEndpoints(ctx context.Context, after uint64, wait time.Duration) (damasktrail.EndpointNews, error) {
	if err := d.wait(ctx, &d.revision, after, wait); err != nil {
		return damasktrail.EndpointNews{}, err
	}
	return d.Endpoints(ctx)
}

func table(t *testing.T, version uint64) *routing.Table {
	res, err := routing.New(version, routing.Limits{}, nil, nil, nil)
	require.NoError(t, err)
	return res
}

// play runs f with a catalog that follows d.
func play(t *testing.T, d *directory, f func(c *catalog.Catalog)) {
	synctest.Test(t, func(t *testing.T) {
		d.revision = 1
		d.table = table(t, 1)
		tasks := group.New(context.Background())
		start := time.Now()
		uptime := func() time.Duration { return time.Hour + time.Since(start) }
		c := catalog.New(d, timer.New(tasks), uptime, func() int { return 0 }, slog.New(slog.NewTextHandler(io.Discard, nil)), nil)
		require.Equal(t, time.Hour, c.Age())
		c.Start(tasks)
		time.Sleep(10 * time.Millisecond)
		f(c)
		tasks.Close()
	})
}

// Guards against a table that goes back to an older version.
func TestNeverOlder(t *testing.T) {
	d := &directory{}
	play(t, d, func(c *catalog.Catalog) {
		d.set(func() { d.table = table(t, 9) })
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, uint64(9), c.Snapshot().Table.Version)
		d.set(func() { d.table = table(t, 4) })
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, uint64(9), c.Snapshot().Table.Version)
	})
}

// Guards against a table that counts as old while the directory answers: a
// request with a key was then refused two seconds after an outage began.
func TestAge(t *testing.T) {
	d := &directory{}
	play(t, d, func(c *catalog.Catalog) {
		for range 100 {
			time.Sleep(77 * time.Millisecond)
			require.Less(t, c.Age(), 1100*time.Millisecond)
		}
		before := c.Age()
		d.set(func() { d.fails = errDown })
		time.Sleep(3 * time.Second)
		require.InDelta(t, 3*time.Second+before, c.Age(), float64(time.Second))
		require.GreaterOrEqual(t, c.Age(), 3*time.Second, "an outage confirms nothing")
	})
}

// Guards against peers that drive the catalog to call a directory that fails:
// on a played day it made 363 calls in six seconds.
func TestHintsDuringOutage(t *testing.T) {
	d := &directory{}
	play(t, d, func(c *catalog.Catalog) {
		d.set(func() { d.fails = errDown })
		time.Sleep(time.Second)
		d.set(func() { d.calls = 0 })
		for range 300 {
			c.Hint(99)
			time.Sleep(20 * time.Millisecond)
		}
		d.set(func() { require.Less(t, d.calls, 40) })
	})
}

// Guards against waiting for a deaf watch when a peer has a newer table.
func TestHint(t *testing.T) {
	d := &directory{deaf: true}
	play(t, d, func(c *catalog.Catalog) {
		d.set(func() { d.table = table(t, 2) })
		c.Hint(2)
		time.Sleep(time.Second)
		require.Equal(t, uint64(2), c.Snapshot().Table.Version)
	})
}

// Guards against dropping endpoints that live: their entries lapse during an
// outage of the directory and come back about two seconds after it.
func TestLapse(t *testing.T) {
	d := &directory{list: fleet.Of(fleet.Endpoint{ID: "back"}, fleet.Endpoint{ID: "gone"})}
	play(t, d, func(c *catalog.Catalog) {
		require.Equal(t, 2, c.Snapshot().Endpoints.Len())
		d.set(func() { d.fails, d.list = errDown, fleet.List{} })
		time.Sleep(4 * time.Second)
		require.Equal(t, 2, c.Snapshot().Endpoints.Len())
		d.set(func() { d.fails = nil })
		time.Sleep(1500 * time.Millisecond)
		require.Equal(t, 2, c.Snapshot().Endpoints.Len())
		d.set(func() { d.list = fleet.Of(fleet.Endpoint{ID: "back"}) })
		time.Sleep(4 * time.Second)
		_, found := c.Snapshot().Endpoints.Find("back")
		require.True(t, found)
		_, found = c.Snapshot().Endpoints.Find("gone")
		require.False(t, found, "still missing after the grace")
	})
}

// Guards against dating a table by a peer that holds another one, or back.
func TestConfirm(t *testing.T) {
	d := &directory{}
	play(t, d, func(c *catalog.Catalog) {
		d.set(func() { d.fails = errDown })
		time.Sleep(3 * time.Second)
		age := c.Age()
		require.Greater(t, age, 2*time.Second)
		c.Confirm(2, 2*time.Hour)
		require.Equal(t, age, c.Age(), "a table that is not in force")
		c.Confirm(1, time.Minute)
		require.Equal(t, age, c.Age(), "an older date")
		c.Confirm(1, time.Hour+2900*time.Millisecond)
		require.Less(t, c.Age(), age)
	})
}

// Guards against a call for each entry where one is enough: a peer confirms the
// table four times a second.
func TestConfirmedByPeers(t *testing.T) {
	d := &directory{}
	play(t, d, func(c *catalog.Catalog) {
		d.set(func() { d.calls = 0 })
		for i := range 120 {
			c.Confirm(1, time.Hour+time.Duration(i)*250*time.Millisecond)
			time.Sleep(250 * time.Millisecond)
			require.Less(t, c.Age(), time.Second)
		}
		d.set(func() { require.Less(t, d.calls, 30) })
	})
}

// Guards against a call for each endpoint of a fleet that starts: on a played day
// 24 entries made 1,368 calls for 47 endpoints.
func TestManyChanges(t *testing.T) {
	d := &directory{}
	play(t, d, func(c *catalog.Catalog) {
		d.set(func() { d.calls = 0 })
		for i := range 50 {
			d.set(func() { d.list = d.list.With(fleet.Endpoint{ID: fmt.Sprint(i)}) })
			time.Sleep(40 * time.Millisecond)
		}
		time.Sleep(300 * time.Millisecond)
		require.Equal(t, 50, c.Snapshot().Endpoints.Len())
		d.set(func() { require.Less(t, d.calls, 30) })
	})
}

// Guards against sending requests to an endpoint that has said that it leaves.
func TestLeaving(t *testing.T) {
	d := &directory{list: fleet.Of(fleet.Endpoint{ID: "a"})}
	play(t, d, func(c *catalog.Catalog) {
		d.set(func() { d.list = d.list.With(fleet.Endpoint{ID: "a", State: fleet.Leaving}) })
		time.Sleep(100 * time.Millisecond)
		e, _ := c.Snapshot().Endpoints.Find("a")
		require.Equal(t, fleet.Leaving, e.State)
	})
}
