package health_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"damasktrail.dev/health"
)

var epoch = time.Unix(1_000_000, 0)

func group(n int) (*health.Group, []string) {
	g := health.New()
	var names []string
	for i := range n {
		names = append(names, fmt.Sprint("vm", i))
	}
	g.SetAgents(names)
	return g, names
}

// Guards against keeping an agent that became slow, and against ejecting the
// slower of two hardware generations.
func TestSlow(t *testing.T) {
	g, names := group(6)
	answer := func(times []int) {
		for range 20 {
			for i, n := range names {
				g.RecordAnswer(n, time.Duration(times[i])*time.Millisecond, epoch)
			}
		}
	}
	answer([]int{20, 20, 20, 20, 40, 40})
	for _, n := range names {
		require.False(t, g.Ejected(n, epoch))
	}
	answer([]int{20, 20, 20, 20, 40, 400})
	require.True(t, g.Ejected("vm5", epoch))
	require.False(t, g.Ejected("vm4", epoch))
	require.False(t, g.Ejected("vm5", epoch.Add(time.Hour)))
}

// Guards against ejecting more than half of a model's agents.
func TestAtMostHalf(t *testing.T) {
	for _, n := range []int{1, 2, 3, 10} {
		g, names := group(n)
		for range 50 {
			for _, name := range names {
				g.RecordFailure(name, epoch)
			}
		}
		ejected := 0
		for _, name := range names {
			if g.Ejected(name, epoch) {
				ejected++
			}
		}
		require.Equal(t, n/2, ejected)
	}
}

// Guards against a failing agent that is not ejected because slow ones fill the
// half that may be ejected, and against endless ejection after one period of
// failures.
func TestReplacesLeastUnhealthy(t *testing.T) {
	g, names := group(4)
	for range 10 {
		for i, n := range names {
			if i < 2 {
				g.RecordAnswer(n, 20*time.Millisecond, epoch)
			} else {
				g.RecordAnswer(n, 200*time.Millisecond, epoch)
			}
		}
	}
	require.True(t, g.Ejected("vm2", epoch) && g.Ejected("vm3", epoch))
	for range 5 {
		g.RecordFailure("vm1", epoch)
	}
	require.True(t, g.Ejected("vm1", epoch))
	require.NotEqual(t, g.Ejected("vm2", epoch), g.Ejected("vm3", epoch))
	for range 5 {
		require.False(t, g.Ejected("vm1", epoch.Add(5*time.Second)))
		g.RecordAnswer("vm1", 20*time.Millisecond, epoch.Add(5*time.Second))
	}
	require.False(t, g.Ejected("vm1", epoch.Add(5*time.Second)))
}

// Example shows the ejection of an agent that fails.
func Example() {
	now := time.Unix(0, 0)
	g := health.New()
	g.SetAgents([]string{"vm1", "vm2"})
	for range 5 {
		g.RecordFailure("vm2", now)
	}
	fmt.Println(g.Ejected("vm1", now), g.Ejected("vm2", now))
	// Output: false true
}
