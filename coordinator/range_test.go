package coordinator_test

import (
	"context"
	"io"
	"log/slog"
	"math"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"damasktrail.dev"
	"damasktrail.dev/coordinator"
	"damasktrail.dev/dispatch"
	"damasktrail.dev/fleet"
	"damasktrail.dev/group"
	"damasktrail.dev/timer"
)

// recordingScheduler refuses every request and records it.
type recordingScheduler struct{ requests chan dispatch.Request }

func (recordingScheduler) Ready() bool { return true }

func (s recordingScheduler) Acquire(_ context.Context, r dispatch.Request) (*dispatch.Grant, *damasktrail.Refusal) {
	s.requests <- r
	return nil, &damasktrail.Refusal{Reason: damasktrail.ReasonDeadline, Outcome: damasktrail.NotRun}
}

// Guards against an ask with numbers out of range that reaches the scheduler of a
// coordinator, and against one that its client sends to the next coordinator because it is
// not refused.
func TestAskOutOfRange(t *testing.T) {
	const second = int64(time.Second)
	for _, c := range []struct {
		name                             string
		tier, objective, timeout, prompt any
		refused                          bool
	}{
		{"largest honest", 2, 60 * second, 60 * second, 100_000, false},
		{"largest", 1 << 20, 24 * 3600 * second, 24 * 3600 * second, 1 << 24, false},
		{"zero", 0, 0, 0, 0, false},
		{"prompt beyond the range", 0, second, second, 1<<24 + 1, true},
		{"prompt of 10^15", 0, second, second, int64(1e15), true},
		{"largest prompt", 0, second, second, math.MaxInt64, true},
		{"negative prompt", 0, second, second, -1, true},
		{"negative tier", -1, second, second, 1, true},
		{"tier beyond the range", math.MaxInt64, second, second, 1, true},
		{"negative objective", 0, -1, second, 1, true},
		{"objective beyond the range", 0, math.MaxInt64, second, 1, true},
		{"timeout beyond the range", 0, second, math.MaxInt64, 1, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			tasks := group.New(context.Background())
			defer tasks.Close()
			notices := fleet.NewNotices()
			scheduler := recordingScheduler{requests: make(chan dispatch.Request, 1)}
			replies := make(chan []byte, 4)
			server := coordinator.NewServer(scheduler, unknownLists{}, notices, timer.New(tasks), tasks, slog.New(slog.NewTextHandler(io.Discard, nil)), func(_ string, b []byte) { replies <- b })
			datagram, err := cbor.Marshal([]any{1, 1, 1, []any{"llm", true, "o", c.tier, c.objective, c.timeout, c.prompt, "", nil, nil, nil, 0, 0, false, false}, nil, nil, 0, 0, nil, nil, 0, 0})
			require.NoError(t, err)
			require.NoError(t, coordinator.Receive(nil, server, "client", datagram))
			var reply []any
			require.NoError(t, cbor.Unmarshal(<-replies, &reply))
			const kindRefused = 4
			require.EqualValues(t, kindRefused, reply[0])
			if reason := reply[5].([]any)[0]; c.refused {
				require.Equal(t, "toolarge", reason)
			} else {
				require.Equal(t, "deadline", reason)
			}
			require.Len(t, scheduler.requests, map[bool]int{false: 1}[c.refused])
		})
	}
}
