package enginetest

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"damasktrail.dev"
	"damasktrail.dev/engine"
	"damasktrail.dev/standin"
)

// results of a call under a fault.
const (
	answered = iota
	notDispatched
	lost
	crashed
)

// runFaults runs a streamed call of 20 tokens under each fault. Tokens take 10 ms
// each and the call of 5 prompt tokens starts to decode after 1 ms.
func runFaults(t *testing.T, factory Factory, options standin.EndpointOptions) {
	t.Helper()
	tests := []struct {
		name  string
		fault standin.EndpointFault
		// delay is the time after the start of the call at which the fault begins;
		// zero sets it before the call.
		delay  time.Duration
		down   bool
		result int
		runs   int
		// events is the number of events delivered before a failure.
		events uint64
		// least and most bound the time until the result.
		least, most time.Duration
	}{
		{name: "none", result: answered, runs: 1, most: time.Second},
		{name: "refused connection", down: true, result: notDispatched},
		{name: "cut mid-stream", fault: standin.EndpointFault{Cut: 7}, result: answered, runs: 1, most: time.Second},
		{name: "cut after the first event", fault: standin.EndpointFault{Cut: 1, Lose: true}, result: lost, runs: 1, events: 1, most: time.Second},
		{name: "cut and forgotten", fault: standin.EndpointFault{Cut: 7, Lose: true}, result: lost, runs: 1, events: 7, most: time.Second},
		{
			name: "silent connection", fault: standin.EndpointFault{Silence: standin.SilenceOpen}, delay: 55 * time.Millisecond,
			result: answered, runs: 1, least: 20 * time.Second, most: 21 * time.Second,
		},
		{
			name: "silent endpoint", fault: standin.EndpointFault{Silence: standin.SilenceAll}, delay: 55 * time.Millisecond,
			result: lost, runs: 1, events: 6, least: 28 * time.Second, most: 29 * time.Second,
		},
		{
			name: "silent from the start", fault: standin.EndpointFault{Silence: standin.SilenceAll},
			result: lost, least: 30 * time.Second, most: 31 * time.Second,
		},
		{name: "crash before the first token", fault: standin.EndpointFault{Marker: "diary"}, result: crashed, runs: 1, most: time.Second},
		{name: "crash in decode", fault: standin.EndpointFault{Marker: "diary", After: 5}, result: crashed, runs: 1, events: 5, most: time.Second},
		{name: "crash now", fault: standin.EndpointFault{Crash: true}, delay: 55 * time.Millisecond, result: crashed, runs: 1, events: 6, most: time.Second},
		{
			name: "stalled", fault: standin.EndpointFault{Slow: 1e6},
			result: lost, runs: 1, least: 80 * time.Second, most: 81 * time.Second,
		},
		{name: "slow", fault: standin.EndpointFault{Slow: 30}, result: answered, runs: 1, least: 5 * time.Second, most: 7 * time.Second},
	}
	for _, tt := range tests {
		t.Run("fault/"+tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, stop := open(factory, options)
				defer stop()
				switch {
				case tt.down:
					s.network.Crash()
				case tt.delay == 0:
					s.endpoint.SetFault(tt.fault)
				default:
					s.options.Clock.Schedule(tt.delay, func(time.Time) { s.endpoint.SetFault(tt.fault) })
				}
				c := chat("a", 20)
				start := time.Now()
				var body string
				a, err := s.Run(t.Context(), c)
				if err == nil {
					body, err = read(a)
				}
				took := time.Since(start)
				requireResult(t, tt.result, tt.events, err)
				if tt.result == answered {
					requireStream(t, c, body)
				}
				require.GreaterOrEqual(t, took, tt.least)
				require.LessOrEqual(t, took, tt.most)
				require.Len(t, s.endpoint.Runs().Runs, tt.runs)
				if a != nil {
					a.Close() //nolint:errcheck // the endpoint may be gone
				}
			})
		})
	}
}

// requireResult checks the type of err and the events that it reports.
func requireResult(t *testing.T, result int, events uint64, err error) {
	t.Helper()
	var l *engine.LostError
	var c *engine.CrashedError
	switch result {
	case answered:
		require.NoError(t, err)
		return
	case notDispatched:
		require.ErrorIs(t, err, damasktrail.ErrNotDispatched)
		return
	case lost:
		require.ErrorAs(t, err, &l)
		require.Equal(t, events, l.Events)
	case crashed:
		require.ErrorAs(t, err, &c)
		require.Equal(t, events, c.Events)
	}
	require.NotErrorIs(t, err, damasktrail.ErrNotDispatched)
}
