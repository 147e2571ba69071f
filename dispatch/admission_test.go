package dispatch_test

import (
	"context"
	"fmt"
	"slices"
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

// adaptiveScheduler returns a scheduler of an adaptive service with endpoints of one slot.
func adaptiveScheduler(clock damasktrail.Clock, endpoints int) *dispatch.Scheduler {
	s := dispatch.New(clock, "entry0", domain(0), fleet.NewNotices(), func(bool) {})
	s.SetAdaptive("llm", true)
	s.SetEndpoints(singleSlots(endpoints))
	return s
}

func singleSlots(n int) (res fleet.List) {
	for i := range n {
		res = res.With(fleet.Endpoint{ID: fmt.Sprint("e", i), Service: "llm", Domain: domain(0), Slots: 1})
	}
	return res
}

// refusedAt is when a request was refused, and when it is asked to return.
type refusedAt struct{ after, again time.Duration }

// acquireMany sends requests at once, and returns those that are refused; the others hold
// their slots for half a second.
func acquireMany(s *dispatch.Scheduler, requests *group.Group, n int, r dispatch.Request) (refused chan refusedAt) {
	refused = make(chan refusedAt, n)
	start := time.Now()
	for range n {
		requests.Go(func(ctx context.Context) {
			g, refusal := s.Acquire(ctx, r)
			if refusal != nil {
				refused <- refusedAt{time.Since(start), refusal.RetryAfter}
				return
			}
			time.Sleep(500 * time.Millisecond)
			g.Done(dispatch.Answered, 0)
		})
	}
	return refused
}

// Guards against requests that wait to their end for endpoints that are gone, and against
// refusing those that the endpoints left can still serve.
func TestWaitingRequestsAfterLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tasks, requests := group.New(context.Background()), group.New(context.Background())
		s := adaptiveScheduler(timer.New(tasks), 8)
		refused := acquireMany(s, requests, 28, dispatch.Request{Service: "llm", Engine: true, Organisation: "o", Objective: 2 * time.Second, Timeout: 3 * time.Second})
		time.Sleep(100 * time.Millisecond)
		require.Empty(t, refused)
		s.SetEndpoints(singleSlots(1))
		synctest.Wait()
		require.Greater(t, len(refused), 12, "refused at once")
		require.Less(t, len(refused), 17, "the endpoint that is left serves the first")
		for range len(refused) {
			r := <-refused
			require.Equal(t, 100*time.Millisecond, r.after)
			require.Greater(t, r.again, 500*time.Millisecond)
			require.LessOrEqual(t, r.again, time.Second, "a third of the time left")
		}
		requests.Wait()
		tasks.Close()
	})
}

// Guards against callers that are refused together and come back together.
func TestReturnsAreSpread(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tasks, requests := group.New(context.Background()), group.New(context.Background())
		s := adaptiveScheduler(timer.New(tasks), 8)
		refused := acquireMany(s, requests, 400, dispatch.Request{Service: "llm", Engine: true, Organisation: "o", Objective: time.Second, Timeout: 6 * time.Second})
		synctest.Wait()
		times := []time.Duration{}
		for range len(refused) {
			times = append(times, (<-refused).again)
		}
		require.Greater(t, len(times), 200)
		require.LessOrEqual(t, slices.Max(times), 2*time.Second)
		require.Greater(t, slices.Max(times)-slices.Min(times), 400*time.Millisecond)
		slices.Sort(times)
		require.Less(t, times[len(times)*3/4]-times[len(times)/2], 300*time.Millisecond, "without gaps")
		requests.Wait()
		tasks.Close()
	})
}

// Guards against a request of a higher tier that is refused while lower ones wait: they give
// it their places, and are told when to come back.
func TestHigherTierTakesPlaces(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tasks, requests := group.New(context.Background()), group.New(context.Background())
		s := adaptiveScheduler(timer.New(tasks), 400)
		low := acquireMany(s, requests, 1424, dispatch.Request{Service: "llm", Engine: true, Organisation: "o", Tier: 2, Objective: 2 * time.Second, Timeout: 12 * time.Second})
		synctest.Wait()
		require.Empty(t, low, "400 run and 1024 wait")
		high := acquireMany(s, requests, 50, dispatch.Request{Service: "llm", Engine: true, Organisation: "o", Objective: time.Second, Timeout: 12 * time.Second})
		synctest.Wait()
		require.Empty(t, high)
		require.Len(t, low, 50)
		require.Zero(t, (<-low).after, "at once, not at the end of its time")
		requests.Wait()
		tasks.Close()
	})
}
