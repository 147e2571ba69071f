package limit_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"damasktrail.dev/limit"
)

// Guards against a limit that does not converge to the value at which the time
// between tokens meets the target, or that does not recover after a slow period.
func TestConverges(t *testing.T) {
	l := limit.New(limit.Settings{Min: 2, Max: 100, Token: 50 * time.Millisecond})
	run := func(answers int, base, each float64) {
		for range answers {
			n := l.Value()
			l.Observe(time.Duration((base+each*float64(n))*float64(time.Millisecond)), n)
		}
	}
	run(5000, 10, 1)
	require.InDelta(t, 40, l.Value(), 6)
	run(5000, 30, 60)
	require.Equal(t, 2, l.Value())
	run(5000, 10, 1)
	require.InDelta(t, 40, l.Value(), 6)
	run(100000, 1, 0.001)
	require.Equal(t, 100, l.Value())
}

// Guards against a limit that falls to its minimum where a step takes long even
// for one request, so that fewer requests only lower the throughput.
func TestHighUnloadedLatency(t *testing.T) {
	for _, tt := range []struct {
		settings limit.Settings
		want     float64
	}{{limit.Defaults(), 60}, {limit.ServiceDefaults(), 200}} {
		l := limit.New(tt.settings)
		for range 50000 {
			n := l.Value()
			l.Observe(time.Duration(200+5*n)*time.Millisecond, n)
		}
		require.InDelta(t, tt.want, l.Value(), tt.want/5)
	}
}

// Guards against a limit that grows while the endpoint has fewer requests in flight
// than it allows.
func TestUnusedLimit(t *testing.T) {
	l := limit.New(limit.Defaults())
	for range 1000 {
		l.Observe(time.Millisecond, 3)
	}
	require.Equal(t, 16, l.Value())
}

// Guards against admitting a second long prompt behind a first, and against
// admitting nothing at all.
func TestAdmits(t *testing.T) {
	l := limit.New(limit.Settings{Min: 4, Max: 4, Prefill: time.Second})
	for _, tt := range []struct {
		inside, pending int
		rate            float64
		want            bool
	}{{0, 0, 0, true}, {3, 0, 100, true}, {4, 0, 100, false}, {1, 99, 100, true}, {1, 100, 100, false}, {1, 500, 0, true}} {
		require.Equal(t, tt.want, l.Admits(tt.inside, tt.pending, tt.rate), "%+v", tt)
	}
}

// Example shows the check that an agent makes before it takes a request from its
// queue.
func Example() {
	l := limit.New(limit.Defaults())
	fmt.Println(l.Admits(0, 0, 8000), l.Admits(l.Value(), 0, 8000))
	l.Observe(20*time.Millisecond, l.Value())
	// Output: true false
}
