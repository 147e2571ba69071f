package dispatch_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"damasktrail.dev"
	"damasktrail.dev/dispatch"
	"damasktrail.dev/fleet"
	"damasktrail.dev/group"
)

var regions = map[string]string{"a": "north", "b": "south"}

// in returns a request with lists of regions.
func in(lists ...[]string) dispatch.Request {
	r := request(0)
	r.Regions = lists
	return r
}

// Guards against a request that is sent to a region where it may not run, and against one
// that is refused although an allowed endpoint is free. The endpoint in the failure domain c
// is in no known region.
func TestRegions(t *testing.T) {
	for _, c := range []struct {
		lists [][]string
		want  []string
	}{
		{nil, []string{"e0", "e1", "e2"}},
		{[][]string{nil, {}}, []string{"e0", "e1", "e2"}},
		{[][]string{{"south"}}, []string{"e1"}},
		{[][]string{{"north", "south"}, nil}, []string{"e0", "e1"}},
		{[][]string{{"north", "south"}, {"south", "east"}}, []string{"e1"}},
		{[][]string{{"north"}, {"south"}}, nil},
		{[][]string{{""}}, nil},
		{[][]string{{"east"}}, nil},
	} {
		inDomains(t, func(s *dispatch.Scheduler, _ fleet.List) {
			s.SetRegions(regions)
			var got []string
			for range c.want {
				got = append(got, acquire(t, s, in(c.lists...)).Endpoint.ID)
			}
			require.ElementsMatch(t, c.want, got)
			if len(c.want) > 0 {
				return
			}
			begin := time.Now()
			_, refusal := s.Acquire(context.Background(), in(c.lists...))
			require.NotNil(t, refusal)
			require.Equal(t, damasktrail.ReasonNotReady, refusal.Reason)
			require.Equal(t, damasktrail.NotRun, refusal.Outcome)
			require.Zero(t, time.Since(begin))
		}, "a", "b", "c")
	}
}

// Guards against requests that may run in one region only and hold up those that may run
// elsewhere. The load is 20 requests for a full region, then ten for any.
func TestFullRegionHoldsUpNobody(t *testing.T) {
	inDomains(t, func(s *dispatch.Scheduler, _ fleet.List) {
		s.SetRegions(regions)
		busy, blocker := acquire(t, s, in([]string{"south"})), acquire(t, s, in([]string{"north"}))
		requests := group.New(context.Background())
		var mu sync.Mutex
		served := map[string]int{}
		send := func(r dispatch.Request) {
			r.Objective, r.Timeout = time.Minute, time.Minute
			requests.Go(func(ctx context.Context) {
				g, refusal := s.Acquire(ctx, r)
				if refusal != nil {
					return
				}
				mu.Lock()
				served[g.Endpoint.ID]++
				mu.Unlock()
				g.Done(dispatch.Answered, 0)
			})
		}
		for range 20 {
			send(in([]string{"south"}))
		}
		time.Sleep(time.Millisecond)
		for range 10 {
			send(request(0))
		}
		time.Sleep(time.Millisecond)
		blocker.Done(dispatch.Answered, 0)
		time.Sleep(50 * time.Millisecond)
		mu.Lock()
		require.Equal(t, map[string]int{"e0": 10}, served)
		mu.Unlock()
		busy.Done(dispatch.Answered, 0)
		requests.Wait()
		require.Equal(t, map[string]int{"e0": 10, "e1": 20}, served)
	}, "a", "b")
}
