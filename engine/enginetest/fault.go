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

// The expected results of a call under a fault.
const (
	answered = iota
	notDispatched
	lost
	crashed
)

// runFaultTests runs a streamed call of 20 tokens under each fault. Each token
// takes 10 ms; the call has 5 prompt tokens and starts to decode after 1 ms.
func runFaultTests(t *testing.T, factory Factory, options standin.EndpointOptions) {
	t.Helper()
	tests := []struct {
		name  string
		fault standin.EndpointFault
		// delay is the time between the start of the call and the fault; zero
		// starts the fault before the call.
		delay  time.Duration
		down   bool
		result int
		runs   int
		// lastEventID is the id of the last event that the error reports.
		lastEventID uint64
		// minElapsed and maxElapsed limit the time until the result.
		minElapsed, maxElapsed time.Duration
	}{
		{name: "none", result: answered, runs: 1, maxElapsed: time.Second},
		{name: "refused connection", down: true, result: notDispatched},
		{name: "cut mid-stream", fault: standin.EndpointFault{Cut: 7}, result: answered, runs: 1, maxElapsed: time.Second},
		{name: "cut after the first event", fault: standin.EndpointFault{Cut: 1, Lose: true}, result: lost, runs: 1, lastEventID: 1, maxElapsed: time.Second},
		{name: "cut and forgotten", fault: standin.EndpointFault{Cut: 7, Lose: true}, result: lost, runs: 1, lastEventID: 7, maxElapsed: time.Second},
		{
			name: "silent connection", fault: standin.EndpointFault{Silence: standin.SilenceOpen}, delay: 55 * time.Millisecond,
			result: answered, runs: 1, minElapsed: 20 * time.Second, maxElapsed: 21 * time.Second,
		},
		{
			name: "silent endpoint", fault: standin.EndpointFault{Silence: standin.SilenceAll}, delay: 55 * time.Millisecond,
			result: lost, runs: 1, lastEventID: 6, minElapsed: 28 * time.Second, maxElapsed: 29 * time.Second,
		},
		{
			name: "silent from the start", fault: standin.EndpointFault{Silence: standin.SilenceAll},
			result: lost, minElapsed: 30 * time.Second, maxElapsed: 31 * time.Second,
		},
		{name: "crash before the first token", fault: standin.EndpointFault{Marker: "diary"}, result: crashed, runs: 1, maxElapsed: time.Second},
		{name: "crash in decode", fault: standin.EndpointFault{Marker: "diary", After: 5}, result: crashed, runs: 1, lastEventID: 5, maxElapsed: time.Second},
		{name: "crash now", fault: standin.EndpointFault{Crash: true}, delay: 55 * time.Millisecond, result: crashed, runs: 1, lastEventID: 6, maxElapsed: time.Second},
		{
			name: "stalled", fault: standin.EndpointFault{Slow: 1e6},
			result: lost, runs: 1, minElapsed: 80 * time.Second, maxElapsed: 81 * time.Second,
		},
		{name: "slow", fault: standin.EndpointFault{Slow: 30}, result: answered, runs: 1, minElapsed: 5 * time.Second, maxElapsed: 7 * time.Second},
	}
	for _, tt := range tests {
		t.Run("fault/"+tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s, stop := newSubject(factory, options)
				defer stop()
				switch {
				case tt.down:
					s.network.Crash()
				case tt.delay == 0:
					s.endpoint.SetFault(tt.fault)
				default:
					s.options.Clock.Schedule(tt.delay, func(time.Time) { s.endpoint.SetFault(tt.fault) })
				}
				c := chatCall("a", 20)
				start := time.Now()
				var body string
				a, err := s.Run(t.Context(), c)
				if err == nil {
					body, err = readAll(a)
				}
				elapsed := time.Since(start)
				requireResult(t, tt.result, tt.lastEventID, err)
				if tt.result == answered {
					requireStream(t, c, body)
				}
				require.GreaterOrEqual(t, elapsed, tt.minElapsed)
				require.LessOrEqual(t, elapsed, tt.maxElapsed)
				require.Len(t, s.endpoint.Runs().Runs, tt.runs)
				if a != nil {
					a.Close() //nolint:errcheck // the endpoint may be gone
				}
			})
		})
	}
}

// requireResult checks the type of err and the last event id that it reports.
func requireResult(t *testing.T, result int, lastEventID uint64, err error) {
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
		require.Equal(t, lastEventID, l.LastEventID)
	case crashed:
		require.ErrorAs(t, err, &c)
		require.Equal(t, lastEventID, c.LastEventID)
	}
	require.NotErrorIs(t, err, damasktrail.ErrNotDispatched)
}
