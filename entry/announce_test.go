package entry

import (
	"fmt"
	"log/slog"
	"testing"

	"github.com/stretchr/testify/require"

	"damasktrail.dev/document"
	"damasktrail.dev/group"
	"damasktrail.dev/member"
	"damasktrail.dev/rollout"
	"damasktrail.dev/telemetry"
	"damasktrail.dev/timer"
)

// TestAnnounceEveryDocument guards against a document that is not announced
// because another event was ready at the same time.
func TestAnnounceEveryDocument(t *testing.T) {
	tasks := group.New(t.Context())
	defer tasks.Close()
	m, err := telemetry.New("entry")
	require.NoError(t, err)
	documents, members := document.NewHolder(), member.NewHolder()
	e := &Entry{
		clock: timer.New(tasks), metrics: m, log: slog.New(slog.DiscardHandler), tasks: tasks,
		documents: documents, members: members, rollout: rollout.New(documents, members, m.Count),
		events: make(chan func(*control), events), learned: newLearned(),
	}
	tasks.Go(e.own)
	for generation := uint64(1); generation <= 200; generation++ {
		d, err := document.Parse([]byte(fmt.Sprintf(
			`{"generation": %d, "tiers": [{"name": "only", "rank": 0, "deadline": "1s"}]}`, generation)))
		require.NoError(t, err)
		for range 3 {
			e.post(func(*control) {})
		}
		_, err = documents.Offer(d)
		require.NoError(t, err)
		for range 3 {
			e.post(func(*control) {})
		}
		announced := make(chan uint64)
		e.post(func(c *control) { announced <- c.announced })
		require.Equal(t, generation, <-announced)
	}
}
