package dispatch_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"damasktrail.dev/dispatch"
	"damasktrail.dev/fleet"
)

// Guards against an endpoint that stays in the service, or keeps the state, that it had before
// its entry changed: requests of one service went to an endpoint of another.
func TestReplacedEndpoint(t *testing.T) {
	old := fleet.Endpoint{ID: "e0", Service: "llm", Address: "x", Domain: "here", Slots: 1}
	other := request(0)
	other.Service = "other"
	for name, c := range map[string]struct {
		change   func(e *fleet.Endpoint)
		replaced bool
	}{
		"service":         {func(e *fleet.Endpoint) { e.Service = "other" }, true},
		"address":         {func(e *fleet.Endpoint) { e.Address = "y" }, true},
		"failure domain":  {func(e *fleet.Endpoint) { e.Domain = "there" }, true},
		"start":           {func(e *fleet.Endpoint) { e.StartedMillis = 9 }, true},
		"slots":           {func(e *fleet.Endpoint) { e.Slots = 2 }, false},
		"nothing":         {func(*fleet.Endpoint) {}, false},
		"start and state": {func(e *fleet.Endpoint) { e.StartedMillis, e.State = 9, fleet.Leaving }, true},
	} {
		t.Run(name, func(t *testing.T) {
			runVirtual(t, fleet.Of(old), func(s *dispatch.Scheduler) {
				held := acquire(t, s, request(0))
				changed := old
				c.change(&changed)
				s.SetEndpoints(fleet.Of(changed))
				require.Equal(t, !c.replaced, s.Busy(), "a grant of the replaced process counts")
				held.Done(dispatch.Unreachable, 0)
				require.Equal(t, !c.replaced, len(s.Report().Unreachable) > 0, "the outcome counts for the process that gave the grant")
				time.Sleep(time.Minute)
				for _, r := range []dispatch.Request{request(0), other} {
					grant, refusal := s.Acquire(context.Background(), r)
					if r.Service != changed.Service || changed.State != fleet.Ready {
						require.NotNil(t, refusal, "a request of %s", r.Service)
						continue
					}
					require.Nil(t, refusal, "a request of %s", r.Service)
					require.Equal(t, changed, grant.Endpoint)
					grant.Done(dispatch.Answered, 0)
				}
			})
		})
	}
}
