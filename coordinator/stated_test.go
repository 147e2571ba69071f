package coordinator_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"damasktrail.dev/dispatch"
	"damasktrail.dev/fleet"
)

// Guards against a figure that does not reach the coordinator when the message about the
// start is lost, and against one that counts twice when it is not.
func TestStatedLoadReachesCoordinator(t *testing.T) {
	for _, lost := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			n := newNetwork(members(3, 8), fleet.Of(fleet.Endpoint{ID: "e", Service: "llm", Domain: "d0", Slots: 4}), 0)
			defer n.close()
			client, server := n.nodes["entry-0-01"], n.nodes["entry-0-00"]
			r := dispatch.Request{Service: "llm", Engine: true, Objective: time.Second, Timeout: 10 * time.Second, Output: 100, Pause: time.Second}
			s, refused := client.client.Acquire(context.Background(), r)
			require.Nil(t, refused)
			require.Zero(t, s.Choice.Percent)
			n.setDeliver(func(string, string) bool { return !lost })
			s.Started(fleet.StatedLoad{Percent: 300})
			time.Sleep(50 * time.Millisecond)
			n.setDeliver(nil)
			s.Done(dispatch.Answered, 0)
			time.Sleep(50 * time.Millisecond)
			require.Equal(t, []fleet.LoadReport{{ID: "e", Percent: 300}}, server.scheduler.ReportLoads(8))
			s, refused = client.client.Acquire(context.Background(), r)
			require.Nil(t, refused)
			require.Equal(t, 300, s.Choice.Percent)
		})
	}
}
