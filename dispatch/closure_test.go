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

// closedTo returns a request of an entry from which the endpoints want no requests for the
// given time.
func closedTo(client string, remaining time.Duration, ids ...string) dispatch.Request {
	r := request(0)
	r.Client = client
	for _, id := range ids {
		r.Closed = append(r.Closed, fleet.Closure{Process: fleet.Process{ID: id}, Remaining: remaining})
	}
	return r
}

// Guards against slots at an endpoint for an entry from which it wants no requests, and
// against keeping them from other entries.
func TestClosedEndpoint(t *testing.T) {
	runVirtual(t, endpoints(2, 2), func(s *dispatch.Scheduler) {
		for range 2 {
			require.Equal(t, "e1", acquire(t, s, closedTo("a", time.Second, "e0")).Endpoint.ID)
		}
		_, refusal := s.Acquire(context.Background(), closedTo("a", time.Minute, "e0"))
		require.Equal(t, damasktrail.NotRun, refusal.Outcome)
		require.Equal(t, "e0", acquire(t, s, closedTo("b", time.Second, "e1")).Endpoint.ID)
	})
}

// Guards against requests that wait behind one that no free endpoint takes.
func TestClosedEndpointLetsOthersPass(t *testing.T) {
	runVirtual(t, endpoints(1, 1), func(s *dispatch.Scheduler) {
		got := make(chan time.Duration, 1)
		begin := time.Now()
		go func() {
			g, refusal := s.Acquire(context.Background(), closedTo("a", 300*time.Millisecond, "e0"))
			if refusal == nil {
				got <- time.Since(begin)
				g.Done(dispatch.Answered, 0)
			}
		}()
		time.Sleep(10 * time.Millisecond)
		g := acquire(t, s, closedTo("b", 0))
		require.Less(t, time.Since(begin), 50*time.Millisecond)
		g.Done(dispatch.Answered, 0)
		waited := <-got
		require.GreaterOrEqual(t, waited, 300*time.Millisecond)
		require.Less(t, waited, 400*time.Millisecond, "the pause is over")
	})
}

// Guards against a retry delay that sends callers back before any endpoint wants their
// requests, and against waiting for endpoints that leave.
func TestAllEndpointsClosed(t *testing.T) {
	runVirtual(t, endpoints(2, 2), func(s *dispatch.Scheduler) {
		r := closedTo("", 2*time.Second, "e0")
		r.Closed = append(r.Closed, fleet.Closure{Process: fleet.Process{ID: "e1"}, Remaining: fleet.Forever})
		begin := time.Now()
		_, refusal := s.Acquire(context.Background(), r)
		require.Equal(t, damasktrail.ReasonDeadline, refusal.Reason)
		require.Equal(t, 2*time.Second, refusal.RetryAfter)
		require.Zero(t, time.Since(begin))
		_, refusal = s.Acquire(context.Background(), closedTo("", fleet.Forever, "e0", "e1"))
		require.Equal(t, damasktrail.ReasonNotReady, refusal.Reason)
	})
}
