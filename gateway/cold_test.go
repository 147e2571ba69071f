package gateway_test

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"damasktrail.dev/fleet"
	"damasktrail.dev/routing"
)

// Guards against a cold start that is known from an entry or an answer and not kept to.
func TestColdEndpoint(t *testing.T) {
	for _, stated := range []bool{false, true} {
		t.Run(fmt.Sprintf("stated in answers %t", stated), func(t *testing.T) {
			var mu sync.Mutex
			var arrivals []time.Time
			e := newFakeEndpoint(t, func(w http.ResponseWriter, _ *http.Request) {
				mu.Lock()
				defer mu.Unlock()
				arrivals = append(arrivals, time.Now())
				if stated {
					w.Header().Set("Cold-Start-Ms", "60000")
				}
			})
			s := start(t, e)
			table, err := routing.New(2, routing.Limits{}, routes(), []routing.Service{{Name: "s", ColdPerSecond: 5.2, ColdTime: time.Minute}}, organisations())
			require.NoError(t, err)
			s.update(func() {
				s.table = table
				if !stated {
					cold := s.endpoints.All()[0]
					cold.ColdUntil, cold.Revision = time.Now().Add(time.Minute), 1
					s.endpoints = fleet.Of(cold)
				}
			})
			if stated {
				require.Equal(t, http.StatusOK, s.send("/read/x", "first", "").status)
			}
			time.Sleep(300 * time.Millisecond)
			var callers sync.WaitGroup
			for i := range 150 {
				callers.Go(func() { s.send("/read/x", fmt.Sprint("r", i), "") })
				time.Sleep(20 * time.Millisecond)
			}
			callers.Wait()
			mu.Lock()
			defer mu.Unlock()
			most := 0
			for i, at := range arrivals {
				first := slices.IndexFunc(arrivals, func(x time.Time) bool { return at.Sub(x) < time.Second })
				most = max(most, i-first+1)
			}
			t.Logf("%d requests, at most %d in a second", len(arrivals), most)
			require.LessOrEqual(t, most, 12)
			require.Greater(t, len(arrivals), 1, "the endpoint is used")
		})
	}
}
