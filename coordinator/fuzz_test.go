package coordinator_test

import (
	"context"
	"io"
	"log/slog"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"damasktrail.dev"
	"damasktrail.dev/coordinator"
	"damasktrail.dev/dispatch"
	"damasktrail.dev/fleet"
	"damasktrail.dev/group"
	"damasktrail.dev/timer"
)

// refusingScheduler refuses every request.
type refusingScheduler struct{}

func (refusingScheduler) Ready() bool { return true }

func (refusingScheduler) Acquire(context.Context, dispatch.Request) (*dispatch.Grant, *damasktrail.Refusal) {
	return nil, &damasktrail.Refusal{Reason: damasktrail.ReasonDeadline, Outcome: damasktrail.NotRun}
}

// silentFleet is a fleet without coordinators.
type silentFleet struct{}

func (silentFleet) Candidates() []string                { return nil }
func (silentFleet) Available(string) bool               { return false }
func (silentFleet) Alive(string) bool                   { return false }
func (silentFleet) Outdated(coordinator.Revisions) bool { return false }
func (silentFleet) Send(string, []byte)                 {}

// FuzzReceive guards against a datagram that takes a process down.
func FuzzReceive(f *testing.F) {
	for kind := range 10 {
		for _, m := range [][]any{
			{kind, 1, 1, nil, nil, nil, 0, 0, nil, nil, 300, -1},
			{kind, 1, 2, []any{"llm", true, "o", -1, -1, -1, -1, "e", [][]any{{"e", 1, -5}}, [][]any{{"e", 1, "llm", true, -1.5, 1 << 62}}, [][]string{{"north", ""}, {}}, 1 << 62, -1, true}, nil, nil, 9, -1, []int{2}, []int{3}, -1, 1 << 62},
			{kind, 2, 2, nil, []any{"e", "llm", "a", "d", 1, -1, 0, 0, 0, 0, 1 << 62, 99, true, 1 << 62, 0}, []any{"full", -5, ""}, 0, 0, nil, nil, 0, 0},
		} {
			b, err := cbor.Marshal(m)
			if err != nil {
				f.Fatal(err)
			}
			f.Add(b)
		}
	}
	tasks := group.New(context.Background())
	f.Cleanup(tasks.Close)
	clock := timer.New(tasks)
	log := slog.New(slog.NewTextHandler(io.Discard, nil))
	c := coordinator.NewClient("own", 1, silentFleet{}, refusingScheduler{}, fleet.NewNotices(), clock, log)
	s := coordinator.NewServer(refusingScheduler{}, unknownLists{}, fleet.NewNotices(), clock, tasks, log, func(string, []byte) {})
	f.Fuzz(func(_ *testing.T, datagram []byte) {
		_ = coordinator.Receive(c, s, "peer", datagram)
	})
}
