package agent_test

import (
	"context"
	"fmt"
	"log/slog"
	"net/http/httptest"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"damasktrail.dev"
	"damasktrail.dev/agent"
	"damasktrail.dev/certificate"
	"damasktrail.dev/certificate/certificatetest"
	"damasktrail.dev/document"
	"damasktrail.dev/engine"
	"damasktrail.dev/frame"
	"damasktrail.dev/group"
	"damasktrail.dev/link"
	"damasktrail.dev/set"
	"damasktrail.dev/standin"
	"damasktrail.dev/telemetry"
	"damasktrail.dev/timer"
)

// fastClock runs speed times as fast as the real clock, which shortens the
// waits for heartbeats.
type fastClock struct {
	damasktrail.Clock
	start time.Time
	speed time.Duration
}

func (c *fastClock) Now() time.Time {
	return c.start.Add(c.Clock.Now().Sub(c.start) * c.speed)
}

func (c *fastClock) Subscribe(interval time.Duration, f func(now time.Time)) (cancel func()) {
	return c.Clock.Subscribe(interval/c.speed, func(time.Time) { f(c.Now()) })
}

// fixture is a running agent to which tests connect as entries.
type fixture struct {
	*certificatetest.Issuer
	t     *testing.T
	tasks *group.Group
	agent *agent.Agent
}

func newFixture(t *testing.T, speed time.Duration) *fixture {
	t.Helper()
	tasks := group.New(t.Context())
	t.Cleanup(tasks.Close)
	clock := &fastClock{Clock: timer.New(tasks), start: time.Now(), speed: speed}
	f := &fixture{t: t, tasks: tasks, Issuer: certificatetest.New(t)}
	e := standin.NewEndpoint(standin.EndpointOptions{Clock: clock.Clock})
	t.Cleanup(e.Close)
	server := httptest.NewServer(e.Handler())
	t.Cleanup(server.Close)
	m, err := telemetry.New("agent")
	require.NoError(t, err)
	f.agent, err = agent.New(agent.Settings{
		Name: "agent", Domain: "be-a", Set: "jurying", Listen: "127.0.0.1:0", Inflight: 64, Waiting: 64, Tokens: 1000, Ticket: time.Minute,
	}, f.Credentials(certificate.RoleAgent, "agent").ServerConfig(set.Of(certificate.RoleEntry)),
		panickingEngine{engine.New(server.URL, nil, clock, engine.Settings{})}, clock, tasks, m, slog.New(slog.DiscardHandler))
	require.NoError(t, err)
	t.Cleanup(func() { _ = f.agent.Close() })
	f.agent.Start()
	// A change of health sends a heartbeat to all entries, so it must precede
	// their connections.
	healthy := func() bool { return f.agent.Status().(agent.Status).Load.Limit > 0 }
	require.Eventually(t, healthy, 5*time.Second, time.Millisecond)
	return f
}

// arrival is a frame with the time at which it arrived.
type arrival struct {
	frame.Raw
	at time.Time
}

// testEntry acts as an entry. It records the frames of its control stream.
type testEntry struct {
	conn    *link.Conn
	control *link.Stream

	mu       sync.Mutex
	received []arrival
}

func (f *fixture) dial(name string, generation uint64) *testEntry {
	d := link.NewDialer("127.0.0.1", f.Credentials(certificate.RoleEntry, name).ClientConfig(certificate.RoleAgent))
	f.t.Cleanup(d.Close)
	conn, err := d.Dial(f.t.Context(), f.agent.Address(), false)
	require.NoError(f.t, err)
	f.t.Cleanup(func() { conn.Close("done") })
	control, err := conn.Open(f.t.Context())
	require.NoError(f.t, err)
	require.NoError(f.t, control.Send(frame.KindHello, frame.Hello{Name: name, Incarnation: "1", Generation: generation}))
	res := &testEntry{conn: conn, control: control}
	go func() {
		for {
			raw, err := control.Receive()
			if err != nil {
				return
			}
			res.mu.Lock()
			res.received = append(res.received, arrival{raw, time.Now()})
			res.mu.Unlock()
		}
	}()
	return res
}

// frames returns the frames of a kind that arrived on the control stream.
func (e *testEntry) frames(kind frame.Kind) (res []arrival) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, raw := range e.received {
		if raw.Kind == kind {
			res = append(res, raw)
		}
	}
	return res
}

// Guards against heartbeats on links whose answers already carry the load,
// which would exceed the entry's limit on control bytes, and against idle links
// without heartbeats.
func TestHeartbeats(t *testing.T) {
	const speed = 10
	f := newFixture(t, speed)
	busy, idle := f.dial("busy", 0), f.dial("idle", 0)
	first := func() bool {
		return len(busy.frames(frame.KindHeartbeat)) == 1 && len(idle.frames(frame.KindHeartbeat)) == 1
	}
	require.Eventually(t, first, 5*time.Second, time.Millisecond)
	before := idle.conn.Traffic()
	const interval, tries = 4 * time.Second / speed, 9
	for range tries {
		stream, err := busy.conn.Open(t.Context())
		require.NoError(t, err)
		require.NoError(t, stream.Send(frame.KindOpen, frame.Open{ID: "a", Model: "jury", DeadlineMillis: 1000}))
		raw, err := stream.Receive()
		require.NoError(t, err)
		require.Equal(t, frame.KindRefuse, raw.Kind) // The agent has no document.
		time.Sleep(interval)
	}
	after := idle.conn.Traffic()
	t.Logf("in %s: %d beats on the busy link, %d on the idle one with %d bytes in %d packets", tries*interval*speed,
		len(busy.frames(frame.KindHeartbeat))-1, len(idle.frames(frame.KindHeartbeat))-1, after.Bytes-before.Bytes, after.Packets-before.Packets)
	require.Len(t, busy.frames(frame.KindHeartbeat), 1, "each refusal carries the load")
	require.GreaterOrEqual(t, len(idle.frames(frame.KindHeartbeat)), 3+1)
}

// Guards against a new agent that gets the full document from every entry, that
// never gets it because one entry does not answer, or that stays at the
// generation of the entry that answered.
func TestFirstDocument(t *testing.T) {
	f := newFixture(t, 1)
	sample, err := os.ReadFile("../samples/jury.json")
	require.NoError(t, err)
	d, err := document.Parse(sample)
	require.NoError(t, err)
	var entries []*testEntry
	for i := range 12 {
		generation := d.Generation
		if i == 5 {
			generation++
		}
		entries = append(entries, f.dial(fmt.Sprintf("entry-%d", i), generation))
	}
	firsts, rests := func() []pull { return pulls(t, entries, 0) }, func() []pull { return pulls(t, entries, d.Generation) }
	require.Eventually(t, func() bool { return len(firsts()) >= 2 }, 2*time.Second, time.Millisecond)
	first := firsts()[0]
	// The agent requests the rest from the entry with the higher generation.
	require.NoError(t, first.entry.control.Send(frame.KindWhole, frame.Whole{Topic: frame.TopicDocument, Data: sample}))
	require.Eventually(t, func() bool { return len(rests()) == 1 }, 2*time.Second, time.Millisecond)
	require.Same(t, entries[5], rests()[0].entry)
	asked := firsts()
	time.Sleep(2 * 500 * time.Millisecond)
	require.Len(t, firsts(), len(asked), "no entry is asked for the first document once it is there")
	require.Len(t, rests(), 1)
	// The time that the dials took does not count: the agent begins with the first.
	for i, p := range asked[1:] {
		gap := p.at.Sub(asked[i].at)
		t.Logf("pull %d after %s", i+1, gap)
		require.NotSame(t, asked[i].entry, p.entry, "the silent entry is not asked again at once")
		require.GreaterOrEqual(t, gap, minPullGap)
	}
}

// minPullGap is the least time between two requests for the first document, less the time
// that the first one may take to arrive.
const minPullGap = 400 * time.Millisecond

// pull is a request for document data.
type pull struct {
	entry *testEntry
	at    time.Time
}

// pulls returns the requests for data after a generation that reached the entries, by time.
func pulls(t *testing.T, entries []*testEntry, from uint64) (res []pull) {
	for _, e := range entries {
		for _, x := range e.frames(frame.KindPull) {
			p, err := frame.Decode[frame.Pull](x.Raw, frame.KindPull)
			require.NoError(t, err)
			if p.From == from {
				res = append(res, pull{entry: e, at: x.at})
			}
		}
	}
	slices.SortFunc(res, func(a, b pull) int { return a.at.Compare(b.at) })
	return res
}

// Guards against an entry that takes an agent for busy with the request that it has just
// answered, and so sends the next turn of a conversation to another one.
func TestAnswerReportsLoadWithoutItsRequest(t *testing.T) {
	f := newFixture(t, 1)
	e, open := f.dialWithDocument()
	for i := range 200 {
		end := e.run(t, open(fmt.Sprint(i)))
		m, err := frame.Decode[frame.End](end, frame.KindEnd)
		require.NoError(t, err)
		require.Zero(t, m.Load.Running, "request %d", i)
		require.Zero(t, m.Load.Prefill, "request %d", i)
	}
}

// dialWithDocument returns an entry that has given the agent its document, and a function
// that returns an attempt of the given ID.
func (f *fixture) dialWithDocument() (e *testEntry, open func(id string) frame.Open) {
	sample, err := os.ReadFile("../samples/jury.json")
	require.NoError(f.t, err)
	d, err := document.Parse(sample)
	require.NoError(f.t, err)
	e = f.dial("entry", d.Generation)
	require.NoError(f.t, e.control.Send(frame.KindWhole, frame.Whole{Topic: frame.TopicDocument, Data: sample}))
	require.Eventually(f.t, f.agent.Ready, 2*time.Second, time.Millisecond)
	return e, func(id string) frame.Open {
		return frame.Open{
			ID: id, Organisation: "ghent", Model: "jury", Method: "POST", Path: "/v1/completions", Type: "application/json",
			Body: []byte(`{"model":"jury","prompt":"a","max_tokens":1}`), DeadlineMillis: 10_000, Generation: d.Generation, Floor: -1,
			Cost: damasktrail.Cost{Prefill: 500, Decode: 1},
		}
	}
}

// run sends an attempt and returns the frame that ends it.
func (e *testEntry) run(t *testing.T, open frame.Open) frame.Raw {
	t.Helper()
	stream, err := e.conn.Open(t.Context())
	require.NoError(t, err)
	require.NoError(t, stream.Send(frame.KindOpen, open))
	for {
		raw, err := stream.Receive()
		require.NoError(t, err)
		if raw.Kind == frame.KindEnd || raw.Kind == frame.KindRefuse {
			return raw
		}
	}
}

// panickingEngine panics when it runs a call with the ID "panic".
type panickingEngine struct{ damasktrail.Engine }

// Run implements damasktrail.Engine.
func (e panickingEngine) Run(ctx context.Context, c damasktrail.Call) (damasktrail.Answer, error) {
	if c.ID == "panic" {
		panic("unexpected")
	}
	return e.Engine.Run(ctx, c)
}

// Guards against an unexpected error in one request that ends the agent, with all others that
// run there, or that keeps its place at the endpoint for ever.
func TestPanicEndsOnlyItsRequest(t *testing.T) {
	f := newFixture(t, 1)
	e, open := f.dialWithDocument()
	for range 3 {
		r, err := frame.Decode[frame.Refuse](e.run(t, open("panic")), frame.KindRefuse)
		require.NoError(t, err)
		require.Equal(t, damasktrail.Unknown, r.Outcome)
		require.Zero(t, r.Load.Running)
	}
	require.Equal(t, frame.KindEnd, e.run(t, open("sound")).Kind)
}
