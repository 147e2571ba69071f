package dispatch_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"damasktrail.dev"
	"damasktrail.dev/dispatch"
	"damasktrail.dev/fleet"
	"damasktrail.dev/group"
	"damasktrail.dev/timer"
)

// runVirtual runs f with a scheduler in virtual time.
func runVirtual(t *testing.T, list fleet.List, f func(s *dispatch.Scheduler)) {
	synctest.Test(t, func(t *testing.T) {
		tasks := group.New(context.Background())
		clock := timer.New(tasks)
		s := dispatch.New(clock, "own", "here", fleet.NewNotices(), func(bool) {})
		s.SetEndpoints(list)
		cancel := clock.Subscribe(20*time.Millisecond, func(time.Time) { s.Tick() })
		f(s)
		cancel()
		tasks.Close()
	})
}

func endpoints(n, slots int) fleet.List {
	res := fleet.List{}
	for i := range n {
		res = res.With(fleet.Endpoint{ID: fmt.Sprint("e", i), Service: "llm", Address: "x", Domain: "here", Slots: slots})
	}
	return res
}

func request(tier int) dispatch.Request {
	return dispatch.Request{Service: "llm", Engine: true, Organisation: "o", Tier: tier, Objective: time.Second, Timeout: 10 * time.Second, Prompt: 1000}
}

func acquire(t *testing.T, s *dispatch.Scheduler, r dispatch.Request) *dispatch.Grant {
	t.Helper()
	g, refusal := s.Acquire(context.Background(), r)
	require.Nil(t, refusal)
	return g
}

// Guards against a lower tier that is served before a higher one that waits.
func TestTiersInOrder(t *testing.T) {
	runVirtual(t, endpoints(1, 1), func(s *dispatch.Scheduler) {
		held := acquire(t, s, request(0))
		tasks := group.New(context.Background())
		var order []int
		for _, tier := range []int{2, 1, 0} {
			tasks.Go(func(ctx context.Context) {
				r := request(tier)
				r.Objective = 5 * time.Second
				g, refusal := s.Acquire(ctx, r)
				if refusal == nil {
					order = append(order, tier)
					time.Sleep(10 * time.Millisecond)
					g.Done(dispatch.Answered, 0)
				}
			})
			time.Sleep(time.Millisecond)
		}
		held.Done(dispatch.Answered, 0)
		tasks.Wait()
		require.Equal(t, []int{0, 1, 2}, order)
	})
}

// Guards against more in-flight requests at an engine than it has slots, counting
// those of peers: it would run them in order of arrival, whatever their tier.
func TestSlots(t *testing.T) {
	runVirtual(t, endpoints(2, 4), func(s *dispatch.Scheduler) {
		s.SetPeer("peer", dispatch.Report{Loads: map[string]dispatch.Load{"e0": {Requests: 3}}})
		count := map[string]int{}
		for range 5 {
			count[acquire(t, s, request(0)).Endpoint.ID]++
		}
		require.Equal(t, map[string]int{"e0": 1, "e1": 4}, count)
		_, refusal := s.Acquire(context.Background(), request(0))
		require.Equal(t, damasktrail.ReasonDeadline, refusal.Reason)
		require.Equal(t, damasktrail.NotRun, refusal.Outcome)
		require.NotZero(t, refusal.RetryAfter)
	})
}

// Guards against a request that takes the last free slot while one of a higher
// tier waits at a peer.
func TestHigherTierAtPeer(t *testing.T) {
	runVirtual(t, endpoints(1, 2), func(s *dispatch.Scheduler) {
		held := acquire(t, s, request(0))
		defer held.Done(dispatch.Answered, 0)
		s.SetPeer("peer", dispatch.Report{Waiting: map[string]map[int]int{"llm": {0: 1}}})
		_, refusal := s.Acquire(context.Background(), request(1))
		require.NotNil(t, refusal)
		acquire(t, s, request(0)).Done(dispatch.Answered, 0)
		s.SetPeer("peer", dispatch.Report{})
		acquire(t, s, request(1)).Done(dispatch.Answered, 0)
	})
}

// Guards against new requests to an endpoint that is leaving or was removed.
func TestLeaving(t *testing.T) {
	runVirtual(t, endpoints(2, 4), func(s *dispatch.Scheduler) {
		list := endpoints(2, 4)
		e, _ := list.Find("e0")
		e.State = fleet.Leaving
		s.SetEndpoints(list.With(e))
		for range 4 {
			require.Equal(t, "e1", acquire(t, s, request(0)).Endpoint.ID)
		}
		s.SetEndpoints(fleet.List{})
		_, refusal := s.Acquire(context.Background(), request(0))
		require.Equal(t, damasktrail.ReasonNotReady, refusal.Reason)
	})
}

// Guards against an endpoint that gets all requests because it fails fast.
func TestBrokenEndpointExcluded(t *testing.T) {
	runVirtual(t, endpoints(2, 4), func(s *dispatch.Scheduler) {
		broken := acquire(t, s, request(0))
		broken.Done(dispatch.Broken, 0)
		for range 4 {
			require.NotEqual(t, broken.Endpoint.ID, acquire(t, s, request(0)).Endpoint.ID)
		}
	})
}

// Guards against an endpoint that is never tried again after a broken connection,
// and against one that gets more than one request before it has answered.
func TestBrokenEndpointProbed(t *testing.T) {
	runVirtual(t, endpoints(1, 4), func(s *dispatch.Scheduler) {
		acquire(t, s, request(0)).Done(dispatch.Broken, 0)
		first := acquire(t, s, request(0))
		_, refusal := s.Acquire(context.Background(), request(0))
		require.NotNil(t, refusal, "one request at a time tries it")
		first.Done(dispatch.Answered, 0)
		second, third := acquire(t, s, request(0)), acquire(t, s, request(0))
		second.Done(dispatch.Answered, 0)
		third.Done(dispatch.Answered, 0)
	})
}

// Guards against each entry trying a crashed endpoint, which has no load and so
// looks best: in a simulated day requests were refused after three attempts. A
// peer that cannot reach a live endpoint must not keep the other entries from it.
func TestUnreachableAtPeer(t *testing.T) {
	runVirtual(t, endpoints(2, 4), func(s *dispatch.Scheduler) {
		busy := acquire(t, s, request(0))
		down := "e1"
		if busy.Endpoint.ID == down {
			down = "e0"
		}
		report := dispatch.Report{Unreachable: []string{down}}
		s.SetPeer("peer", report)
		for range 3 {
			require.Equal(t, busy.Endpoint.ID, acquire(t, s, request(0)).Endpoint.ID)
		}
		time.Sleep(600 * time.Millisecond)
		acquire(t, s, request(0)).Done(dispatch.Answered, 0)
		s.SetPeer("peer", report)
		for range 4 {
			require.Equal(t, down, acquire(t, s, request(0)).Endpoint.ID)
		}
	})
}

// Guards against a report without an endpoint that accepts no connections.
func TestReportsUnreachable(t *testing.T) {
	runVirtual(t, endpoints(1, 4), func(s *dispatch.Scheduler) {
		broken := acquire(t, s, request(0))
		broken.Done(dispatch.Broken, 0)
		require.Empty(t, s.Report().Unreachable)
		time.Sleep(600 * time.Millisecond)
		acquire(t, s, request(0)).Done(dispatch.Unreachable, 0)
		require.Equal(t, []string{"e0"}, s.Report().Unreachable)
		time.Sleep(1100 * time.Millisecond)
		acquire(t, s, request(0)).Done(dispatch.Answered, 0)
		require.Empty(t, s.Report().Unreachable)
	})
}

// Guards against endpoints that attract requests because they fail them at once:
// of four endpoints three fail two requests in five, and the fourth has capacity
// for all.
func TestFailingFast(t *testing.T) {
	runVirtual(t, endpoints(4, 8), func(s *dispatch.Scheduler) {
		tasks := group.New(context.Background())
		var failed, asked int
		for i := range 400 {
			time.Sleep(100 * time.Millisecond)
			asked++
			g := acquire(t, s, request(0))
			if g.Endpoint.ID != "e3" && i%5 < 2 {
				failed++
				g.Done(dispatch.Failed, 0)
				continue
			}
			tasks.Go(func(context.Context) {
				time.Sleep(500 * time.Millisecond)
				g.Done(dispatch.Answered, 0)
			})
		}
		tasks.Wait()
		require.Less(t, failed, asked/20)
	})
}

// Guards against more requests to an endpoint that does not answer.
func TestStalled(t *testing.T) {
	runVirtual(t, endpoints(1, 4), func(s *dispatch.Scheduler) {
		g := acquire(t, s, request(0))
		time.Sleep(2 * time.Second)
		_, refusal := s.Acquire(context.Background(), request(0))
		require.NotNil(t, refusal)
		g.Started(fleet.StatedLoad{})
		acquire(t, s, request(0))
	})
}

// Guards against a request that stays in the queue after its caller has cancelled
// it.
func TestCancelled(t *testing.T) {
	runVirtual(t, endpoints(1, 1), func(s *dispatch.Scheduler) {
		held := acquire(t, s, request(0))
		ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
		defer cancel()
		_, refusal := s.Acquire(ctx, request(0))
		require.Equal(t, damasktrail.ReasonCancelled, refusal.Reason)
		held.Done(dispatch.Answered, 0)
		acquire(t, s, request(0)).Done(dispatch.Answered, 0)
	})
}

// Guards against a request that waits longer than its objective allows.
func TestRefusedInTime(t *testing.T) {
	runVirtual(t, endpoints(1, 1), func(s *dispatch.Scheduler) {
		held := acquire(t, s, request(0))
		defer held.Done(dispatch.Answered, 0)
		start := time.Now()
		_, refusal := s.Acquire(context.Background(), request(0))
		require.NotNil(t, refusal)
		require.LessOrEqual(t, time.Since(start), time.Second)
	})
}

// advancingClock is a clock that advances by a microsecond with each call of Now.
type advancingClock struct {
	damasktrail.Clock
	reads time.Duration
}

func (c *advancingClock) Now() time.Time {
	c.reads++
	return c.Clock.Now().Add(c.reads * time.Microsecond)
}

// Guards against an Acquire without grant and refusal: the deadline of a request
// may pass between its insertion into the queue and the first assignment of slots.
func TestExpiresWhileEnqueued(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tasks := group.New(context.Background())
		s := dispatch.New(&advancingClock{Clock: timer.New(tasks)}, "own", "here", fleet.NewNotices(), func(bool) {})
		s.SetEndpoints(endpoints(1, 1))
		r := request(0)
		r.Timeout = time.Nanosecond
		g, refusal := s.Acquire(context.Background(), r)
		require.Nil(t, g)
		require.NotNil(t, refusal)
		require.Equal(t, damasktrail.NotRun, refusal.Outcome)
		tasks.Close()
	})
}

// Guards against entries that all take the same slot when it becomes free: in
// simulated days several sent a request to an engine within a millisecond. An
// entry that does not use its turn must not keep the others from the slot.
func TestTurns(t *testing.T) {
	const entries = 5
	synctest.Test(t, func(t *testing.T) {
		tasks := group.New(context.Background())
		clock := timer.New(tasks)
		name := func(i int) string { return fmt.Sprint("entry", i) }
		schedulers := make([]*dispatch.Scheduler, entries)
		for i := range schedulers {
			schedulers[i] = dispatch.New(clock, name(i), "here", fleet.NewNotices(), func(bool) {})
			schedulers[i].SetEndpoints(endpoints(1, 1))
		}
		share := func(from int) {
			report := schedulers[from].Report()
			for i, to := range schedulers {
				if i != from {
					to.SetPeer(name(from), report)
				}
			}
		}
		held := acquire(t, schedulers[0], request(0))
		share(0)
		granted := make(chan int, entries)
		for i, s := range schedulers {
			tasks.Go(func(ctx context.Context) {
				r := request(0)
				r.Objective = 10 * time.Second
				if _, refusal := s.Acquire(ctx, r); refusal == nil {
					granted <- i
				}
			})
		}
		time.Sleep(time.Millisecond)
		for i := range schedulers {
			share(i)
		}
		held.Done(dispatch.Answered, 0)
		share(0)
		time.Sleep(time.Millisecond)
		require.Len(t, granted, 1, "the first turn")
		time.Sleep(100 * time.Millisecond)
		require.Len(t, granted, entries, "every entry gets its turn while it hears nothing")
		tasks.Close()
	})
}

// Guards against a new connection for most requests in a large fleet: 14 entries that
// send to 24 endpoints of their failure domain in turn find their connections closed.
func TestOpenConnections(t *testing.T) {
	runVirtual(t, endpoints(8, 4), func(s *dispatch.Scheduler) {
		client := func(name string) dispatch.Request {
			r := request(0)
			r.Client = name
			return r
		}
		blocker := acquire(t, s, client("other"))
		first := acquire(t, s, client("a"))
		require.NotEqual(t, blocker.Endpoint.ID, first.Endpoint.ID)
		blocker.Done(dispatch.Answered, 0)
		first.Done(dispatch.Answered, 0)
		for range 3 {
			time.Sleep(time.Second)
			g := acquire(t, s, client("a"))
			require.Equal(t, first.Endpoint.ID, g.Endpoint.ID)
			g.Done(dispatch.Answered, 0)
		}
		// A connection does not outweigh a request that is in flight.
		busy := acquire(t, s, client("a"))
		require.NotEqual(t, busy.Endpoint.ID, acquire(t, s, client("a")).Endpoint.ID)
	})
}
