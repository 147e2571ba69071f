package dispatch_test

import (
	"context"
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

// inDomains runs f in virtual time with a scheduler of endpoints with one slot, one for each
// of the given failure domains.
func inDomains(t *testing.T, f func(s *dispatch.Scheduler, list fleet.List), domains ...string) {
	synctest.Test(t, func(*testing.T) {
		tasks := group.New(context.Background())
		clock := timer.New(tasks)
		s := dispatch.New(clock, "own", "a", fleet.NewNotices(), func(bool) {})
		list := fleet.List{}
		for i, e := range endpoints(len(domains), 1).All() {
			e.Domain = domains[i]
			list = list.With(e)
		}
		s.SetEndpoints(list)
		cancel := clock.Subscribe(20*time.Millisecond, func(time.Time) { s.Tick() })
		f(s, list)
		cancel()
		tasks.Close()
	})
}

// Guards against requests to an evacuated failure domain: new ones, those that waited, and
// those to endpoints that appear there, while a running one ends as usual.
func TestEvacuatedDomainGetsNothing(t *testing.T) {
	inDomains(t, func(s *dispatch.Scheduler, list fleet.List) {
		own, other := acquire(t, s, request(0)), acquire(t, s, request(0))
		require.Equal(t, "a", own.Endpoint.Domain)
		got := make(chan string, 1)
		requests := group.New(context.Background())
		requests.Go(func(ctx context.Context) {
			if g, refusal := s.Acquire(ctx, request(0)); refusal == nil {
				got <- g.Endpoint.Domain
				g.Done(dispatch.Answered, 0)
			}
		})
		time.Sleep(10 * time.Millisecond)
		s.SetEvacuated([]string{"a"})
		e, _ := list.Find("e0")
		e.ID = "new"
		s.SetEndpoints(list.With(e))
		own.Done(dispatch.Answered, 0)
		time.Sleep(100 * time.Millisecond)
		require.Empty(t, got, "the request waits for the other failure domain")
		other.Done(dispatch.Answered, 0)
		require.Equal(t, "b", <-got)
		for range 5 {
			g := acquire(t, s, request(0))
			require.Equal(t, "b", g.Endpoint.Domain)
			g.Done(dispatch.Answered, 0)
		}
		s.SetEvacuated(nil)
		require.Equal(t, "a", acquire(t, s, request(0)).Endpoint.Domain)
		requests.Wait()
	}, "a", "b")
}

// Guards against requests that wait to their end although every endpoint of their service is
// evacuated, and against counting evacuated endpoints as supply.
func TestAllDomainsEvacuated(t *testing.T) {
	inDomains(t, func(s *dispatch.Scheduler, _ fleet.List) {
		busy := acquire(t, s, request(0))
		s.SetEvacuated([]string{"b"})
		refused := make(chan time.Duration, 1)
		begin := time.Now()
		requests := group.New(context.Background())
		requests.Go(func(ctx context.Context) {
			_, refusal := s.Acquire(ctx, request(0))
			require.NotNil(t, refusal)
			refused <- time.Since(begin)
		})
		time.Sleep(10 * time.Millisecond)
		s.SetEvacuated([]string{"a", "b"})
		require.Less(t, <-refused, 50*time.Millisecond)
		begin = time.Now()
		_, refusal := s.Acquire(context.Background(), request(0))
		require.NotNil(t, refusal)
		require.Equal(t, damasktrail.NotRun, refusal.Outcome)
		require.Equal(t, damasktrail.ReasonNotReady, refusal.Reason)
		require.Equal(t, 3*time.Second, refusal.RetryAfter)
		require.Zero(t, time.Since(begin))
		busy.Done(dispatch.Answered, 0)
		requests.Wait()
	}, "a", "b")
}

// Guards against a process that sends requests after a suspension, before it has read the
// evacuations that it has missed.
func TestHoldsBackUntilEvacuationsAreCurrent(t *testing.T) {
	inDomains(t, func(s *dispatch.Scheduler, _ fleet.List) {
		begin := time.Now()
		s.SetEvacuationsCurrent(func() bool { return time.Since(begin) > 300*time.Millisecond })
		acquire(t, s, request(0)).Done(dispatch.Answered, 0)
		require.Greater(t, time.Since(begin), 300*time.Millisecond)
		require.Less(t, time.Since(begin), 400*time.Millisecond)
	}, "a")
}
