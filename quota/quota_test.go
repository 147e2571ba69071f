package quota_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"damasktrail.dev/quota"
	"damasktrail.dev/routing"
)

var epoch = time.Unix(1_000_000, 0)

func table(t testing.TB, organisations ...routing.Organisation) *routing.Table {
	t.Helper()
	res, err := routing.New(1, routing.Limits{}, nil, nil, organisations)
	require.NoError(t, err)
	return res
}

func ledger(t testing.TB) *quota.Ledger {
	l := quota.New()
	l.SetTable(table(t, routing.Organisation{Name: "a", Rate: 100, Burst: 200}, routing.Organisation{Name: "free"}), epoch)
	return l
}

// Guards against admitting more or less than the rate and the burst allow.
func TestAdmit(t *testing.T) {
	l := ledger(t)
	_, ok := l.Admit("a", 0, 200, epoch)
	require.True(t, ok)
	wait, ok := l.Admit("a", 0, 50, epoch)
	require.False(t, ok)
	require.Equal(t, 500*time.Millisecond, wait)
	_, ok = l.Admit("a", 0, 50, epoch.Add(500*time.Millisecond))
	require.True(t, ok)
	for range 1000 {
		_, ok = l.Admit("free", 0, 1e6, epoch)
		require.True(t, ok)
	}
	admitted := 0.0
	for i := range 10_000 {
		if _, ok := l.Admit("a", 0, 7, epoch.Add(time.Second+time.Duration(i)*time.Millisecond)); ok {
			admitted += 7
		}
	}
	require.InDelta(t, 1050, admitted, 60)
}

// Guards against a request larger than the burst that is never admitted.
func TestLargerThanBurst(t *testing.T) {
	l := ledger(t)
	_, ok := l.Admit("a", 2, 1000, epoch)
	require.True(t, ok)
	_, ok = l.Admit("a", 0, 1, epoch.Add(7*time.Second))
	require.False(t, ok, "the debt is not paid")
	_, ok = l.Admit("a", 0, 1, epoch.Add(9*time.Second))
	require.True(t, ok)
}

// Guards against a quota that routine requests use up while urgent ones of the
// same organisation are refused. The organisation sends three times its quota, half
// of it urgent.
func TestReserve(t *testing.T) {
	l := ledger(t)
	served := map[int]float64{}
	for i := range 6000 {
		tier := 2 * (i % 2)
		if _, ok := l.Admit("a", tier, 10, epoch.Add(time.Duration(i)*time.Second/60)); ok {
			served[tier] += 10
		}
	}
	require.InDelta(t, 10_150, served[0]+served[2], 150, "the quota is used")
	require.Greater(t, served[0], 0.8*(served[0]+served[2]))
}

// Guards against a quota that refuses requests of low cost in favour of large
// urgent ones: in a simulated day it refused a third of the order confirmations.
// The costs and the quota are those of that day's busiest organisation, which sends
// three times its quota.
func TestSmallRequests(t *testing.T) {
	const rate, perSecond, seconds, large, small = 49_049, 60, 30, 4_900, 200
	l := quota.New()
	l.SetTable(table(t, routing.Organisation{Name: "a", Rate: rate, Burst: 65_520}), epoch)
	served := map[int]int{}
	for i := range perSecond * seconds {
		tier, cost := 0, float64(large)
		if i%2 == 1 {
			tier, cost = 2, small
		}
		if _, ok := l.Admit("a", tier, cost, epoch.Add(time.Duration(i)*time.Second/perSecond)); ok {
			served[tier]++
		}
	}
	asked := perSecond * seconds / 2
	require.Greater(t, served[2], asked*9/10)
	require.Greater(t, served[0]*large, rate*seconds*8/10)
}

// Guards against a process that starts late and deducts the whole past usage of its
// peers from its quotas: it then refused requests for many seconds.
func TestFirstReportIsBaseline(t *testing.T) {
	l := ledger(t)
	l.SetPeerUsage("peer/1", quota.Usage{"a": 1e6}, epoch)
	_, ok := l.Admit("a", 0, 100, epoch)
	require.True(t, ok)
	l.SetPeerUsage("peer/1", quota.Usage{"a": 1e6 + 100}, epoch)
	_, ok = l.Admit("a", 0, 1, epoch)
	require.False(t, ok, "what the peer admitted since does not count")
}

// Guards against a report whose usage is no number, after which an organisation had no
// limit any more, or could never send again.
func TestUsageThatIsNoNumber(t *testing.T) {
	for _, x := range []float64{math.NaN(), math.Inf(1), math.Inf(-1)} {
		l := ledger(t)
		l.SetPeerUsage("peer/1", quota.Usage{"a": 0}, epoch)
		l.SetPeerUsage("peer/1", quota.Usage{"a": x}, epoch)
		l.SetPeerUsage("peer/1", quota.Usage{"a": 100}, epoch)
		_, ok := l.Admit("a", 0, 100, epoch)
		require.True(t, ok, "%v", x)
		_, ok = l.Admit("a", 0, 1, epoch)
		require.False(t, ok, "%v", x)
	}
}

// Guards against charging an organisation for requests that were not run.
func TestReturn(t *testing.T) {
	l := ledger(t)
	_, ok := l.Admit("a", 0, 200, epoch)
	require.True(t, ok)
	l.Refund("a", 200, epoch)
	require.Empty(t, l.Usage())
	_, ok = l.Admit("a", 0, 200, epoch)
	require.True(t, ok)
}

// Guards against a lowered quota that takes effect only when the old level is used
// up.
func TestLowerQuota(t *testing.T) {
	l := ledger(t)
	l.SetTable(table(t, routing.Organisation{Name: "a", Rate: 10, Burst: 20}), epoch)
	_, ok := l.Admit("a", 0, 15, epoch)
	require.True(t, ok)
	_, ok = l.Admit("a", 0, 15, epoch)
	require.False(t, ok)
}

// Example admits requests of an organisation.
func Example() {
	l := quota.New()
	t, _ := routing.New(1, routing.Limits{}, nil, nil, []routing.Organisation{{Name: "acme", Rate: 10, Burst: 20}})
	now := time.Unix(0, 0)
	l.SetTable(t, now)
	fmt.Println(l.Admit("acme", 0, 20, now))
	fmt.Println(l.Admit("acme", 0, 5, now))
	// Output:
	// 0s true
	// 500ms false
}

// Guards against a quota that is refilled, or lost, by a number that no request or peer can
// have.
func TestExtremeCosts(t *testing.T) {
	now := time.Unix(1000, 0)
	full := func(l *quota.Ledger) bool {
		_, ok := l.Admit("acme", 0, 20, now)
		return ok
	}
	for name, change := range map[string]func(l *quota.Ledger){
		"negative cost":           func(l *quota.Ledger) { l.Admit("acme", 0, -20, now) },
		"most negative cost":      func(l *quota.Ledger) { l.Admit("acme", 0, -math.MaxFloat64, now) },
		"cost that is no number":  func(l *quota.Ledger) { l.Admit("acme", 0, math.NaN(), now) },
		"infinite cost":           func(l *quota.Ledger) { l.Admit("acme", 0, math.Inf(1), now) },
		"negative infinite cost":  func(l *quota.Ledger) { l.Admit("acme", 0, math.Inf(-1), now) },
		"negative refund":         func(l *quota.Ledger) { l.Refund("acme", -20, now) },
		"refund without number":   func(l *quota.Ledger) { l.Refund("acme", math.NaN(), now) },
		"infinite refund":         func(l *quota.Ledger) { l.Refund("acme", math.Inf(1), now) },
		"negative usage":          func(l *quota.Ledger) { l.SetPeerUsage("p/1", quota.Usage{"acme": -1e300}, now) },
		"usage beyond the range":  func(l *quota.Ledger) { l.SetPeerUsage("p/1", quota.Usage{"acme": 1e300}, now) },
		"usage that is no number": func(l *quota.Ledger) { l.SetPeerUsage("p/1", quota.Usage{"acme": math.NaN()}, now) },
		"infinite usage":          func(l *quota.Ledger) { l.SetPeerUsage("p/1", quota.Usage{"acme": math.Inf(-1)}, now) },
	} {
		t.Run(name, func(t *testing.T) {
			l := quota.New()
			l.SetTable(table(t, routing.Organisation{Name: "acme", Rate: 10, Burst: 20}), now)
			l.SetPeerUsage("p/1", quota.Usage{"acme": 5}, now)
			_, ok := l.Admit("acme", 0, 10, now)
			require.True(t, ok)
			change(l)
			require.False(t, full(l), "refilled")
			_, ok = l.Admit("acme", 0, 9, now)
			require.True(t, ok, "emptied")
		})
	}
}
