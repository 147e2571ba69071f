package coordinator_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"damasktrail.dev"
	"damasktrail.dev/dispatch"
)

// Guards against a coordinator that grants a slot in a region where the request may not run.
func TestCoordinatorKeepsToRegions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := members(3, 5)
		n := newNetwork(m, smallEngines(3, 3), 0)
		for _, p := range n.nodes {
			p.scheduler.SetRegions(map[string]string{"d0": "north", "d1": "south", "d2": "north"})
		}
		for _, member := range m {
			s, refused := n.nodes[member.Name].client.Acquire(context.Background(), dispatch.Request{
				Service: "llm", Objective: time.Second, Timeout: time.Second, Regions: [][]string{{"north", "south"}, {"south"}},
			})
			require.Nil(t, refused)
			require.Equal(t, "d1", s.Endpoint.Domain)
			s.Done(dispatch.Answered, 0)
			_, refused = n.nodes[member.Name].client.Acquire(context.Background(), dispatch.Request{
				Service: "llm", Objective: time.Second, Timeout: time.Second, Regions: [][]string{{"east"}},
			})
			require.NotNil(t, refused)
			require.Equal(t, damasktrail.NotRun, refused.Outcome)
		}
		n.close()
	})
}
