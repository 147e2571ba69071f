package entry

import (
	"bytes"
	"fmt"
	"log/slog"
	"testing"

	"github.com/stretchr/testify/require"

	"damasktrail.dev/document"
	"damasktrail.dev/frame"
	"damasktrail.dev/group"
	"damasktrail.dev/member"
	"damasktrail.dev/rollout"
	"damasktrail.dev/suspect"
	"damasktrail.dev/telemetry"
	"damasktrail.dev/timer"
)

// newUnlinkedEntry returns an entry that has no links and whose control
// goroutine does not run.
func newUnlinkedEntry(t *testing.T) *Entry {
	t.Helper()
	tasks := group.New(t.Context())
	t.Cleanup(tasks.Close)
	m, err := telemetry.New("entry")
	require.NoError(t, err)
	documents, members := document.NewHolder(), member.NewHolder()
	return &Entry{
		clock: timer.New(tasks), metrics: m, log: slog.New(slog.DiscardHandler), tasks: tasks,
		documents: documents, members: members, rollout: rollout.New(documents, members, m.Count),
		events: make(chan func(*control), eventBuffer), stats: newRequestStats(), evidence: suspect.NewEvidence(),
	}
}

func parse(t *testing.T, generation uint64, deadline string) *document.Document {
	t.Helper()
	res, err := document.Parse([]byte(fmt.Sprintf(
		`{"generation": %d, "tiers": [{"name": "only", "rank": 0, "deadline": %q}]}`, generation, deadline)))
	require.NoError(t, err)
	return res
}

// Guards against a difference that is sent back to the peer it came from or to
// a peer that already has it, and against one that is withheld from a peer that
// lacks it.
func TestAnnounceToOthers(t *testing.T) {
	e := newUnlinkedEntry(t)
	first, second := parse(t, 1, "1s"), parse(t, 2, "2s")
	_, err := e.documents.Offer(first)
	require.NoError(t, err)
	c := newControl(e)
	c.announce()
	sessions := map[string]*session{}
	for _, name := range []string{"sender", "informed", "other"} {
		sessions[name] = &session{name: name, outbox: make(chan message, outboxSize)}
		p := &peer{}
		p.session.Store(sessions[name])
		c.peers[name] = p
		r := &remoteAgent{}
		r.session.Store(&session{name: "agent of " + name, outbox: make(chan message, outboxSize)})
		c.agents[name] = r
	}
	c.agents["informed"].session.Load().recordGeneration(2)
	e.handleBeat(sessions["informed"], frame.Heartbeat{Generation: 2}, e.clock.Now())
	data, err := document.EncodeDifference(document.Compare(first, second))
	require.NoError(t, err)
	encoded, err := frame.Append(nil, frame.KindChange, frame.Change{Topic: frame.TopicDocument, From: 1, To: 2, Differences: [][]byte{data}})
	require.NoError(t, err)
	raw, err := frame.Read(bytes.NewReader(encoded))
	require.NoError(t, err)
	e.receiveRollout(sessions["sender"], raw)
	c.announce()
	got := map[string]int{}
	for name, s := range sessions {
		got[name] = len(s.outbox)
	}
	require.Equal(t, map[string]int{"sender": 0, "informed": 0, "other": 1}, got)
	require.Empty(t, c.agents["informed"].session.Load().outbox)
	require.Len(t, c.agents["other"].session.Load().outbox, 1)
}

// TestAnnounceEveryDocument guards against a document that is not announced
// because select chose another event that was ready at the same time.
func TestAnnounceEveryDocument(t *testing.T) {
	e := newUnlinkedEntry(t)
	e.tasks.Go(e.runControl)
	for generation := uint64(1); generation <= 200; generation++ {
		d := parse(t, generation, "1s")
		for range 3 {
			e.post(func(*control) {})
		}
		_, err := e.documents.Offer(d)
		require.NoError(t, err)
		for range 3 {
			e.post(func(*control) {})
		}
		announced := make(chan uint64)
		e.post(func(c *control) { announced <- c.announced })
		require.Equal(t, generation, <-announced)
	}
}
