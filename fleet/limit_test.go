package fleet_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"damasktrail.dev/fleet"
)

var (
	limitedEndpoint = fleet.Endpoint{ID: "a", Service: "s", Address: "x:1", StartedMillis: 5}
	limitEpoch      = time.Unix(1000, 0)
)

// answer is an answer of limitedEndpoint. Times are milliseconds after limitEpoch.
type answer struct {
	sent, arrived int
	limit         fleet.Limit
}

func millis(n int) time.Time { return limitEpoch.Add(time.Duration(n) * time.Millisecond) }

func limited(perSecond float64) fleet.Notice {
	return fleet.Notice{Limit: fleet.Limit{Kind: fleet.Limited, PerSecond: perSecond}}
}

var unlimited = fleet.Notice{Limit: fleet.Limit{Kind: fleet.Unlimited}}

// Guards against a limit that an answer ends, or brings back, that may be older than the
// one before it.
func TestOrderOfLimits(t *testing.T) {
	const none = -1
	for _, c := range []struct {
		name    string
		answers []answer
		// want is the limit in force, none if there is none.
		want float64
	}{
		{"named", []answer{{0, 10, limited(2).Limit}}, 2},
		{"zero", []answer{{0, 10, limited(0).Limit}}, 0},
		{"never named", []answer{{0, 10, unlimited.Limit}}, none},
		{"unstated", []answer{{0, 10, limited(2).Limit}, {20, 30, fleet.Limit{}}}, 2},
		{"ended", []answer{{0, 10, limited(2).Limit}, {20, 30, unlimited.Limit}}, none},
		{"not ended by a request sent before", []answer{{0, 10, limited(2).Limit}, {5, 30, unlimited.Limit}}, 2},
		{"changed", []answer{{0, 10, limited(2).Limit}, {20, 30, limited(3).Limit}}, 3},
		{"order of changes unknown", []answer{{0, 10, limited(2).Limit}, {5, 30, limited(3).Limit}}, 2},
		{"named again", []answer{{0, 10, limited(2).Limit}, {20, 30, unlimited.Limit}, {40, 50, limited(4).Limit}}, 4},
		{"ended again", []answer{{0, 10, limited(2).Limit}, {20, 30, unlimited.Limit}, {40, 50, limited(4).Limit}, {60, 70, unlimited.Limit}}, none},
	} {
		n := fleet.NewNotices()
		for _, a := range c.answers {
			n.Add(limitedEndpoint, fleet.Notice{Limit: a.limit}, millis(a.sent), millis(a.arrived))
		}
		got, found := n.Limited()[limitedEndpoint.Process()]
		require.Equal(t, c.want != none, found, c.name)
		if found {
			require.InDelta(t, c.want, got, 1e-9, c.name)
		}
	}
}

// Guards against a limit that other entries do not learn of or that they keep for good, and
// against reports that go round and bring an ended limit back.
func TestReportsOfLimits(t *testing.T) {
	a, b, c := fleet.NewNotices(), fleet.NewNotices(), fleet.NewNotices()
	p := limitedEndpoint.Process()
	require.True(t, a.Add(limitedEndpoint, limited(2), millis(0), millis(10)).Limit)
	require.False(t, a.Add(limitedEndpoint, limited(2), millis(20), millis(30)).Limit, "no news")
	report := a.ReportLimits("", 9, millis(130))
	require.Equal(t, []fleet.LimitReport{{ID: "a", StartedMillis: 5, Service: "s", Limited: true, PerSecond: 2, Age: 100 * time.Millisecond}}, report)
	require.Empty(t, a.ReportLimits("other", 9, millis(130)))

	b.MergeLimits(report, millis(131))
	require.Equal(t, map[fleet.Process]float64{p: 2}, b.Limited())
	require.Empty(t, b.ReportLimits("s", 9, millis(140)), "only what answers to this entry say")

	require.True(t, a.Add(limitedEndpoint, unlimited, millis(1000), millis(1010)).Limit)
	c.MergeLimits(a.ReportLimits("", 9, millis(1010)), millis(1011))
	require.Empty(t, c.Limited())
	b.MergeLimits(a.ReportLimits("", 9, millis(1010)), millis(1011))
	require.Empty(t, b.Limited())
	b.MergeLimits(report, millis(140))
	require.Empty(t, b.Limited(), "an older report")

	restarted := limitedEndpoint
	restarted.StartedMillis++
	a.Add(limitedEndpoint, limited(2), millis(2000), millis(2010))
	require.NotContains(t, a.Limited(), restarted.Process())
	a.Expire(millis(2010).Add(time.Hour))
	require.Empty(t, a.Limited())
}

// Guards against a report of another process that makes a limit of nonsense.
func TestInvalidReports(t *testing.T) {
	n := fleet.NewNotices()
	for _, x := range []fleet.LimitReport{
		{Limited: true, PerSecond: 2},
		{ID: "a", Limited: true, PerSecond: -2},
		{ID: "a", Limited: true, PerSecond: math.NaN()},
		{ID: "a", Limited: true, PerSecond: math.Inf(1)},
		{ID: "a", Limited: true, PerSecond: math.MaxFloat64},
		{ID: "a", Limited: true, PerSecond: 1e9 + 1},
		{ID: "a", Limited: true, PerSecond: 2, Age: -1},
		{ID: "a", Limited: true, PerSecond: 2, Age: math.MaxInt64},
		{ID: "a"},
	} {
		n.MergeLimits([]fleet.LimitReport{x}, millis(0))
		require.Empty(t, n.Limited(), "%+v", x)
	}
}

// Guards against memory that grows with the endpoints that other entries report.
func TestBoundedLimits(t *testing.T) {
	n := fleet.NewNotices()
	const most = 1 << 14
	var reports []fleet.LimitReport
	for i := range most + 10 {
		age := time.Duration(most+10-i) * time.Millisecond
		reports = append(reports, fleet.LimitReport{ID: fmt.Sprint(i), Limited: true, PerSecond: 2, Age: age})
	}
	n.MergeLimits(reports, millis(0))
	require.LessOrEqual(t, len(n.Limited()), most)
	require.Contains(t, n.Limited(), fleet.Process{ID: fmt.Sprint(most + 9)}, "the one heard last")
}
