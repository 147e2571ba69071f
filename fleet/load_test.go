package fleet_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"damasktrail.dev/fleet"
)

// Guards against an endpoint that is taken for slow because of a disturbance that is over,
// and against one that is taken for usual during a disturbance.
func TestLoadEstimateForgetsDisturbances(t *testing.T) {
	now := time.Unix(1000, 0)
	l := fleet.LoadEstimate{}
	require.False(t, l.Known())
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		l = l.With(fleet.StatedLoad{Percent: 68}, now)
	}
	l = l.With(fleet.StatedLoad{Percent: 170}, now.Add(time.Millisecond))
	now = now.Add(time.Millisecond)
	require.InDelta(t, 1.7, l.Mean(0, now), 0.01)
	require.Less(t, l.Mean(2*time.Second, now), 0.95, "a long response outlasts the disturbance")
	require.InDelta(t, l.Lasting(), l.Mean(0, now.Add(2*time.Second)), 0.01)
	require.InDelta(t, 0.73, l.Lasting(), 0.01)
	late := l.With(fleet.StatedLoad{Percent: 68, Age: time.Second}, now.Add(10*time.Millisecond))
	require.Greater(t, late.Mean(0, now.Add(10*time.Millisecond)), 1.6, "a figure that was delayed replaces a newer one")
}

// Guards against figures out of range, and against reports of peers that replace what an
// entry has heard itself.
func TestLoadEstimateRanges(t *testing.T) {
	for _, x := range []fleet.StatedLoad{{Percent: 0}, {Percent: -5}, {Percent: 100_001}, {Percent: 100, Age: -1}, {Percent: 100, Age: time.Hour}} {
		require.Zero(t, x.Valid(), "%+v", x)
	}
	l := fleet.LoadEstimate{}.WithReport(fleet.LoadReport{Percent: 300})
	require.InDelta(t, 3, l.Lasting(), 1e-9)
	require.True(t, l.StatedAt().IsZero())
	l = l.With(fleet.StatedLoad{Percent: 68}, time.Unix(1, 0))
	require.Equal(t, l, l.WithReport(fleet.LoadReport{Percent: 500}))
	require.False(t, fleet.LoadEstimate{}.WithReport(fleet.LoadReport{Percent: 1 << 40}).Known())
}
