package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"damasktrail.dev"
	"damasktrail.dev/fleet"
)

// Guards against requests that reach an endpoint long after it has left, because a coordinator
// that has just started grants its slots by a first list that may be seconds old.
func TestCoordinatorStartsWithOldList(t *testing.T) {
	leaving, staying := newFakeEndpoint(t, respondWith("answer")), newFakeEndpoint(t, respondWith("answer"))
	members := startFleet(t, 8, leaving, staying)
	directory := members[0].fakeDirectory
	require.Eventually(t, func() bool {
		id := fmt.Sprint("start-", time.Now().UnixNano())
		return members[2].send("/read/x", id, "").status == http.StatusOK && members[2].log.coordinatorOf(id) == "entry-0"
	}, 10*time.Second, 20*time.Millisecond)
	old, err := directory.Endpoints(context.Background(), false)
	require.NoError(t, err)
	directory.update(func() {
		directory.old = &old
		e, _ := directory.endpoints.Find("e0")
		e.State = fleet.Leaving
		directory.endpoints = directory.endpoints.With(e)
	})
	time.Sleep(time.Second)
	directory.update(func() { directory.watchDelay = time.Second })
	members[0].stop()
	members[0].start(100)
	// No request goes out meanwhile: its sender would pass over entry-0 for a while.
	time.Sleep(400 * time.Millisecond)
	by, end := "", time.Now().Add(10*time.Second)
	for i := 0; by != "entry-0"; i++ {
		require.True(t, time.Now().Before(end), "entry-0 is not the coordinator again")
		id, m := fmt.Sprint("late-", i), members[2+2*(i%3)]
		require.Equal(t, http.StatusOK, m.send("/read/x", id, "").status)
		by = m.log.coordinatorOf(id)
		require.Zero(t, leaving.runCount(id), "request %s by coordinator %q", id, by)
		time.Sleep(5 * time.Millisecond)
	}
}

// deafDirectory is a directory whose calls for the endpoints hang once it is cut off.
type deafDirectory struct {
	*fakeDirectory
	cutOff atomic.Bool
}

func (d *deafDirectory) hang(ctx context.Context) error {
	<-ctx.Done()
	return ctx.Err()
}

// Endpoints implements damasktrail.Directory.
func (d *deafDirectory) Endpoints(ctx context.Context, cheap bool) (damasktrail.EndpointUpdate, error) {
	if d.cutOff.Load() {
		return damasktrail.EndpointUpdate{}, d.hang(ctx)
	}
	return d.fakeDirectory.Endpoints(ctx, cheap)
}

// WatchEndpoints implements damasktrail.Directory.
func (d *deafDirectory) WatchEndpoints(ctx context.Context, w damasktrail.Watch) (damasktrail.EndpointUpdate, error) {
	w.Wait = min(w.Wait, 50*time.Millisecond)
	if d.cutOff.Load() {
		return damasktrail.EndpointUpdate{}, d.hang(ctx)
	}
	return d.fakeDirectory.WatchEndpoints(ctx, w)
}

// Guards against requests that reach an endpoint later than the bound after it has left,
// because a coordinator that does not hear of it goes on to grant slots by its list.
func TestCoordinatorHearsOfNoChanges(t *testing.T) {
	leaving, staying := newFakeEndpoint(t, respondWith("answer")), newFakeEndpoint(t, respondWith("answer"))
	members := startFleet(t, 8, leaving, staying)
	deaf := &deafDirectory{fakeDirectory: members[0].fakeDirectory}
	members[0].stop()
	members[0].directory = deaf
	members[0].start(100)
	number := 0
	send := func(m *fleetMember) (id, by string) {
		number++
		id = fmt.Sprint("deaf-", number)
		require.Equal(t, http.StatusOK, m.send("/read/x", id, "").status)
		return id, m.log.coordinatorOf(id)
	}
	require.Eventually(t, func() bool {
		_, by := send(members[2])
		return by == "entry-0"
	}, 10*time.Second, 20*time.Millisecond)
	deaf.cutOff.Store(true)
	time.Sleep(100 * time.Millisecond)
	deaf.update(func() {
		e, _ := deaf.endpoints.Find("e0")
		e.State = fleet.Leaving
		deaf.endpoints = deaf.endpoints.With(e)
	})
	time.Sleep(members[0].settings.Drain)
	for i := range 100 {
		id, by := send(members[2+2*(i%3)])
		require.Zero(t, leaving.runCount(id), "request %s by coordinator %q", id, by)
		time.Sleep(10 * time.Millisecond)
	}
}
