package dispatch_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"damasktrail.dev"
	"damasktrail.dev/dispatch"
	"damasktrail.dev/fleet"
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
