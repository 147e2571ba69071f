package dispatch_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"damasktrail.dev/dispatch"
	"damasktrail.dev/fleet"
)

// expecting is a request with an expected output at a route that allows pauses of 500 ms.
func expecting(prompt, output int) dispatch.Request {
	r := request(0)
	r.Prompt, r.Output, r.Pause = prompt, output, unevenPause
	return r
}

// state lets each endpoint state a figure, in the order of IDs.
func state(t *testing.T, s *dispatch.Scheduler, n int, percent ...int) {
	var grants []*dispatch.Grant
	for range n {
		grants = append(grants, acquire(t, s, expecting(10, 10)))
	}
	for _, g := range grants {
		g.Started(fleet.StatedLoad{Percent: percent[int(g.Endpoint.ID[1]-'0')]})
		g.Done(dispatch.Answered, 0)
	}
}

// Guards against a changed choice for services that neither state figures nor are configured
// for it, and against one that outlasts the last figure by more than a minute.
func TestAdaptiveSwitch(t *testing.T) {
	runVirtual(t, endpoints(2, 1), func(s *dispatch.Scheduler) {
		percent := func() int {
			g := acquire(t, s, expecting(1000, 100))
			defer g.Done(dispatch.Answered, 0)
			return g.Choice.Percent
		}
		require.Zero(t, percent())
		state(t, s, 2, 68, 300)
		require.NotZero(t, percent())
		require.Len(t, s.ReportLoads(8), 2)
		time.Sleep(61 * time.Second)
		require.Zero(t, percent())
		require.Empty(t, s.ReportLoads(8))
		s.SetAdaptive("llm", true)
		require.NotZero(t, percent())
	})
}

// Guards against a request that takes a slow endpoint of the own failure domain although a
// fast one of another is available when its turn has come, against one that waits in vain
// counting as waiting at peers, and against one that waits for ever.
func TestWaitsForBetterTurn(t *testing.T) {
	list := fleet.Of(
		fleet.Endpoint{ID: "e0", Service: "llm", Domain: "there", Slots: 1},
		fleet.Endpoint{ID: "e1", Service: "llm", Domain: "here", Slots: 1},
	)
	runVirtual(t, list, func(s *dispatch.Scheduler) {
		s.SetFleet(dispatch.Fleet{Turns: dispatch.OwnerTurns, Assigning: []string{"own", "peer"}})
		s.MergeLoads([]fleet.LoadReport{{ID: "e0", Percent: 68}, {ID: "e1", Percent: 300}})
		s.SetPeer("peer", dispatch.Report{Domain: "there", Waiting: map[string]map[int]int{"other": {0: 1}}})
		begin := time.Now()
		time.AfterFunc(10*time.Millisecond, func() { require.Empty(t, s.Report().Waiting) })
		g := acquire(t, s, expecting(20_000, 400))
		require.Equal(t, "e0", g.Endpoint.ID)
		require.True(t, g.Choice.Waited)
		require.Greater(t, time.Since(begin), 20*time.Millisecond)
		begin = time.Now()
		slow := acquire(t, s, expecting(9000, 100))
		require.Equal(t, "e1", slow.Endpoint.ID, "the fast endpoint is not released")
		require.Less(t, time.Since(begin), 700*time.Millisecond)
	})
}

// Guards against an endpoint that attracts requests by stating nonsense: it is judged by the
// time between its events.
func TestNonsenseIsJudgedByPace(t *testing.T) {
	runVirtual(t, endpoints(3, 4), func(s *dispatch.Scheduler) {
		s.MergeLoads([]fleet.LoadReport{{ID: "e0", Percent: 100}, {ID: "e1", Percent: 100}, {ID: "e2", Percent: 1}})
		var grants []*dispatch.Grant
		for range 12 {
			grants = append(grants, acquire(t, s, expecting(10, 10)))
		}
		for _, g := range grants {
			pace := 20 * time.Millisecond
			if g.Endpoint.ID == "e2" {
				pace *= 4
			}
			g.Done(dispatch.Answered, pace)
		}
		time.Sleep(2 * time.Second)
		for range 4 {
			g := acquire(t, s, expecting(1000, 200))
			require.NotEqual(t, "e2", g.Endpoint.ID)
			require.Equal(t, 100, g.Choice.Percent)
		}
	})
}

// Guards against a service whose requests wait for slots that do not exist: all endpoints
// are equally slow, and the response would probably be cut off everywhere.
func TestHopelessRequestsAreServed(t *testing.T) {
	runVirtual(t, endpoints(2, 1), func(s *dispatch.Scheduler) {
		state(t, s, 2, 3000, 3000)
		begin := time.Now()
		g, refusal := s.Acquire(context.Background(), expecting(50_000, 100_000))
		require.Nil(t, refusal)
		require.Zero(t, time.Since(begin))
		g.Done(dispatch.Answered, 0)
	})
}
