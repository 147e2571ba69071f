package exchange_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math"
	"net"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"damasktrail.dev/coordinator"
	"damasktrail.dev/dispatch"
	"damasktrail.dev/exchange"
	"damasktrail.dev/fleet"
	"damasktrail.dev/frame"
	"damasktrail.dev/group"
	"damasktrail.dev/quota"
	"damasktrail.dev/timer"
)

// fakeHandler is a handler that records what it receives.
type fakeHandler struct {
	mu     sync.Mutex
	state  exchange.State
	states map[string]exchange.State
	// summary is this entry's own summary, summaries has those of the peers.
	summary   exchange.Summary
	summaries map[string]exchange.Summary
	forgotten []string
	// datagrams has the names of the senders and the texts of datagrams.
	datagrams []string
	// age is the age of the table while no peer has confirmed it.
	age time.Duration
	// confirmed has the time of the latest confirmation by version of the table.
	confirmed map[uint64]time.Duration
}

func (h *fakeHandler) State() exchange.State {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.state
}

func (h *fakeHandler) ReceiveState(peer exchange.Peer, s exchange.State) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.states == nil {
		h.states = map[string]exchange.State{}
	}
	h.states[peer.String()] = s
}

// stateOf returns the last state of a peer.
func (h *fakeHandler) stateOf(peer string) exchange.State {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.states[peer]
}

func (h *fakeHandler) Summary(evidence, _ int) exchange.Summary {
	h.mu.Lock()
	defer h.mu.Unlock()
	res := h.summary
	res.Evidence = res.Evidence[:min(evidence, len(res.Evidence))]
	return res
}

func (h *fakeHandler) ReceiveSummary(peer exchange.Peer, s exchange.Summary) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.summaries == nil {
		h.summaries = map[string]exchange.Summary{}
	}
	h.summaries[peer.String()] = s
}

func (h *fakeHandler) Confirmed() (table uint64, age time.Duration) {
	// A process may be delayed at any moment: a timestamp that arrives after this
	// must not date the result.
	defer time.Sleep(time.Millisecond)
	h.mu.Lock()
	defer h.mu.Unlock()
	if at, found := h.confirmed[h.state.Table]; found {
		return h.state.Table, timer.Uptime() - at
	}
	return h.state.Table, h.age
}

func (h *fakeHandler) Confirm(table uint64, at time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.confirmed == nil {
		h.confirmed = map[uint64]time.Duration{}
	}
	h.confirmed[table] = max(at, h.confirmed[table])
}

func (h *fakeHandler) ForgetPeer(peer exchange.Peer) {
	h.PeerSilent(peer)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.forgotten = append(h.forgotten, peer.String())
}

func (h *fakeHandler) PeerSilent(peer exchange.Peer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.states, peer.String())
}

func (h *fakeHandler) PeersChanged() {}

func (h *fakeHandler) ReceiveDatagram(peer exchange.Peer, datagram []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.datagrams = append(h.datagrams, peer.Name+": "+string(datagram))
}

// heldRequests returns the number of requests of all peers at the endpoint e.
func (h *fakeHandler) heldRequests() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	res := 0
	for _, s := range h.states {
		res += s.Dispatch.Loads["e"].Requests
	}
	return res
}

// node is the exchange of one entry.
type node struct {
	*exchange.Exchange
	handler *fakeHandler
	tasks   *group.Group
}

func start(t *testing.T, name, address string, seeds ...string) *node {
	t.Helper()
	return startMember(t, coordinator.Member{Name: name, Domain: "d"}, &fakeHandler{}, address, seeds...)
}

func startMember(t *testing.T, self coordinator.Member, h *fakeHandler, address string, seeds ...string) *node {
	t.Helper()
	tasks := group.New(context.Background())
	x, err := exchange.New(self, address, seeds, 1, h, timer.New(tasks), timer.Uptime, slog.New(slog.NewTextHandler(io.Discard, nil)))
	require.NoError(t, err)
	x.Start(tasks)
	t.Cleanup(tasks.Close)
	return &node{Exchange: x, handler: h, tasks: tasks}
}

// freeAddress returns an unused UDP address.
func freeAddress(t *testing.T) string {
	t.Helper()
	c, err := net.ListenPacket("udp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer c.Close()
	return c.LocalAddr().String()
}

// Guards against entries that do not discover each other through one seed, and
// against totals that omit a peer, and against limits and loads of endpoints that peers do not learn.
func TestShares(t *testing.T) {
	seed := freeAddress(t)
	a := start(t, "a", seed, seed)
	b := start(t, "b", freeAddress(t), seed)
	c := start(t, "c", freeAddress(t), seed)
	for i, n := range []*node{a, b, c} {
		n.handler.mu.Lock()
		n.handler.state = exchange.State{
			Table:    7,
			Dispatch: dispatch.Report{Loads: map[string]dispatch.Load{"e": {Requests: 1 + i, Prompt: 10}}, Waiting: map[string]map[int]int{"s": {2: 1}}},
		}
		n.handler.summary = exchange.Summary{
			Usage:  quota.Usage{"o": float64(i)},
			Limits: []fleet.LimitReport{{ID: "e", StartedMillis: 5, Service: "s", Limited: true, PerSecond: 1.5, Age: time.Duration(i)}},
			Loads:  []fleet.LoadReport{{ID: "e", StartedMillis: 5, Percent: 68}},
		}
		n.handler.mu.Unlock()
		n.Changed(true)
	}
	require.Eventually(t, func() bool {
		return a.handler.heldRequests() == 5 && b.handler.heldRequests() == 4 && c.handler.heldRequests() == 3
	}, 10*time.Second, 10*time.Millisecond)
	require.Equal(t, []string{"b", "c"}, a.Peers())
	require.True(t, a.HasAvailablePeer())
	for _, n := range []*node{b, c} {
		n.handler.mu.Lock()
		n.handler.state.Leaving = true
		n.handler.mu.Unlock()
		n.Changed(true)
	}
	require.Eventually(t, func() bool { return !a.HasAvailablePeer() }, 5*time.Second, 10*time.Millisecond)
	a.handler.mu.Lock()
	defer a.handler.mu.Unlock()
	require.Equal(t, 1, a.handler.states["b/1"].Dispatch.Waiting["s"][2])
	require.Equal(t, 1, a.handler.states["c/1"].Dispatch.Waiting["s"][2])
	require.Equal(t, uint64(7), a.handler.states["b/1"].Table)
	require.Equal(t, quota.Usage{"o": 2}, a.handler.summaries["c/1"].Usage)
	require.Equal(t, c.handler.summary.Limits, a.handler.summaries["c/1"].Limits)
	require.Equal(t, c.handler.summary.Loads, a.handler.summaries["c/1"].Loads)
}

// Guards against entries of a large fleet that do not hear of some others: when each
// reported to 32 of 67 peers, an organisation got more than its quota. Guards also
// against different coordinators in the eyes of different entries, and against
// coordinators that do not hear the loads of others.
func TestLargeFleet(t *testing.T) {
	const size, domains = 40, 4
	seed := freeAddress(t)
	nodes := make([]*node, size)
	for i := range nodes {
		name, address := fmt.Sprintf("entry-%02d", i), freeAddress(t)
		if i == 0 {
			address = seed
		}
		h := &fakeHandler{state: exchange.State{Table: 7, Dispatch: dispatch.Report{Loads: map[string]dispatch.Load{"e": {Requests: 1}}}}}
		h.summary = exchange.Summary{Usage: quota.Usage{"o": 1}}
		self := coordinator.Member{Name: name, Domain: fmt.Sprint("d", i%domains), Millicores: 1000 - i}
		nodes[i] = startMember(t, self, h, address, seed)
	}
	usage := func(n *node) (sum float64) {
		n.handler.mu.Lock()
		defer n.handler.mu.Unlock()
		for _, s := range n.handler.summaries {
			sum += s.Usage["o"]
		}
		return sum
	}
	for i, n := range nodes {
		require.Eventually(t, func() bool { return len(n.Peers()) == size-1 && usage(n) == size-1 }, 15*time.Second, 20*time.Millisecond, "entry %d", i)
	}
	want := []string{"entry-00", "entry-01", "entry-02", "entry-03"}
	for i, n := range nodes {
		require.Eventually(t, func() bool { return slices.Equal(want, n.Election().Coordinators()) }, 5*time.Second, 20*time.Millisecond, "entry %d", i)
	}
	// A coordinator hears the loads of all, an entry those of no other domain.
	time.Sleep(time.Second)
	require.Equal(t, size-1, nodes[0].handler.heldRequests())
	require.Less(t, nodes[size-1].handler.heldRequests(), size/domains)
	require.True(t, nodes[size-1].Available("entry-03"))
	nodes[size-1].Send("entry-03", []byte{0x80})
	require.Eventually(t, func() bool {
		h := nodes[3].handler
		h.mu.Lock()
		defer h.mu.Unlock()
		return len(h.datagrams) == 1 && h.datagrams[0] == "entry-39: \x80"
	}, 5*time.Second, 10*time.Millisecond)
	// The loss of a coordinator elects the next of its domain everywhere.
	nodes[1].tasks.Close()
	for i, n := range nodes {
		if i == 1 {
			continue
		}
		require.Eventually(t, func() bool { return n.Election().IsCoordinator("entry-05") && !n.Election().IsCoordinator("entry-01") }, 5*time.Second, 20*time.Millisecond, "entry %d", i)
	}
}

// Guards against slots that stay taken by a peer after it has gone silent.
func TestSilentPeer(t *testing.T) {
	seed := freeAddress(t)
	a := start(t, "a", seed, seed)
	b := start(t, "b", freeAddress(t), seed)
	b.handler.mu.Lock()
	b.handler.state.Dispatch = dispatch.Report{Loads: map[string]dispatch.Load{"e": {Requests: 3}}}
	b.handler.mu.Unlock()
	b.Changed(true)
	require.Eventually(t, func() bool { return a.handler.heldRequests() == 3 }, 5*time.Second, 10*time.Millisecond)
	b.tasks.Close()
	require.Eventually(t, func() bool { return a.handler.heldRequests() == 0 && len(a.Peers()) == 0 }, 5*time.Second, 10*time.Millisecond)
}

// Guards against dating a table later than a peer had it confirmed. The peer's age
// is 2 s; its datagrams may be late, but never early.
func TestConfirm(t *testing.T) {
	const age = 2 * time.Second
	seed := freeAddress(t)
	a := start(t, "a", seed, seed)
	b := start(t, "b", freeAddress(t), seed)
	b.handler.mu.Lock()
	b.handler.state.Table, b.handler.age = 7, age
	b.handler.mu.Unlock()
	confirmed := func() time.Duration {
		a.handler.mu.Lock()
		defer a.handler.mu.Unlock()
		return a.handler.confirmed[7]
	}
	begin := timer.Uptime()
	require.Eventually(t, func() bool { return confirmed() > begin-age }, 5*time.Second, 10*time.Millisecond)
	require.LessOrEqual(t, confirmed(), timer.Uptime()-age)
	require.Greater(t, confirmed(), timer.Uptime()-age-time.Second)
}

// Guards against a timestamp from before a restart of the VM: the uptime restarts
// at zero, so the timestamp lay in the future and made a table look recent. In
// fault tests a gateway that had lost power accepted a key more than 5 s after it
// was revoked.
func TestConfirmOnlyOwnStamps(t *testing.T) {
	a := start(t, "a", freeAddress(t))
	conn, err := net.Dial("udp4", a.Address())
	require.NoError(t, err)
	defer conn.Close()
	now := uint64(timer.Uptime())
	for i, c := range []struct {
		boot, echo uint64
		confirms   bool
	}{
		{boot: 9, echo: now},
		{boot: 1, echo: now + uint64(time.Hour)},
		{boot: 1, echo: 0},
		{boot: 1, echo: now, confirms: true},
	} {
		b, err := cbor.Marshal(map[int]any{1: "b", 2: 5, 3: i + 1, 5: map[string][2]int{"e": {i + 1, 0}}})
		require.NoError(t, err)
		tail, err := cbor.Marshal([]uint64{1, c.echo, c.boot, uint64(i), 0})
		require.NoError(t, err)
		_, err = conn.Write(append(b, tail...))
		require.NoError(t, err)
		require.Eventually(t, func() bool { return a.handler.heldRequests() == i+1 }, 5*time.Second, time.Millisecond)
		a.handler.mu.Lock()
		_, found := a.handler.confirmed[uint64(i)]
		a.handler.mu.Unlock()
		require.Equal(t, c.confirms, found, "%+v", c)
	}
}

// Guards against peers that have lost the directory and renew each other's
// confirmations of a table: in a fault test nine of them accepted a key 5 s after
// it was revoked.
func TestConfirmationsDoNotCreep(t *testing.T) {
	const table = 7
	seed := freeAddress(t)
	nodes := []*node{start(t, "a", seed, seed), start(t, "b", freeAddress(t), seed), start(t, "c", freeAddress(t), seed)}
	begin := timer.Uptime()
	for _, n := range nodes {
		n.handler.mu.Lock()
		n.handler.state.Table = table
		n.handler.confirmed = map[uint64]time.Duration{table: begin}
		n.handler.mu.Unlock()
	}
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		for _, n := range nodes {
			n.Changed(true)
		}
	}
	for _, n := range nodes {
		require.NotEmpty(t, n.Peers())
		n.handler.mu.Lock()
		require.Equal(t, begin, n.handler.confirmed[table])
		n.handler.mu.Unlock()
	}
}

// Guards against an older report that replaces a newer one, against datagrams that
// are not reports, and against keeping the totals of a peer's previous incarnation.
func TestOldReports(t *testing.T) {
	a := start(t, "a", freeAddress(t))
	conn, err := net.Dial("udp4", a.Address())
	require.NoError(t, err)
	defer conn.Close()
	send := func(boot, number uint64, held int) {
		b, err := cbor.Marshal(map[int]any{1: "b", 2: boot, 3: number, 5: map[string][2]int{"e": {held, 0}}})
		require.NoError(t, err)
		tail, err := cbor.Marshal([]uint64{1, 0, 0, 0, 0})
		require.NoError(t, err)
		b = append(b, tail...)
		_, err = conn.Write(b)
		require.NoError(t, err)
	}
	waitHeld := func(held int) {
		t.Helper()
		require.Eventually(t, func() bool { return a.handler.heldRequests() == held }, 5*time.Second, time.Millisecond)
	}
	send(5, 2, 2)
	waitHeld(2)
	send(5, 1, 9)
	_, err = conn.Write([]byte("no report"))
	require.NoError(t, err)
	send(5, 3, 3)
	waitHeld(3)
	send(6, 1, 1)
	waitHeld(1)
	a.handler.mu.Lock()
	defer a.handler.mu.Unlock()
	require.Equal(t, []string{"b/5"}, a.handler.forgotten)
}

// Guards against numbers in a report that overflow when they are added up: an endpoint with
// fewer than no requests in progress looks as if it had endless free slots.
func TestAbsurdReport(t *testing.T) {
	a := start(t, "a", freeAddress(t))
	conn, err := net.Dial("udp4", a.Address())
	require.NoError(t, err)
	defer conn.Close()
	b, err := cbor.Marshal(map[int]any{
		1: "b", 2: 1, 3: 1, 4: uint64(math.MaxUint64), 13: uint64(1<<53 + 1),
		5: map[string][2]int{"low": {math.MinInt, -1}, "high": {math.MaxInt, math.MaxInt}},
		6: map[string]map[int]int{"s": {0: math.MaxInt, 1: -5, 2: 3}},
	})
	require.NoError(t, err)
	tail, err := cbor.Marshal([]uint64{1, 0, 0, 0, 0})
	require.NoError(t, err)
	_, err = conn.Write(append(b, tail...))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return a.handler.stateOf("b/1").Dispatch.Loads != nil }, 5*time.Second, time.Millisecond)
	state := a.handler.stateOf("b/1")
	require.Zero(t, state.Table, "a version out of range")
	require.Zero(t, state.Endpoints, "a revision out of range")
	got := state.Dispatch
	const most = 1 << 20
	require.Equal(t, dispatch.Load{}, got.Loads["low"])
	require.Equal(t, dispatch.Load{Requests: most, Prompt: math.MaxInt32}, got.Loads["high"])
	require.Equal(t, map[int]int{0: most, 1: 0, 2: 3}, got.Waiting["s"])
}

// Guards against reports that saturate a slow link: after eleven endpoints had
// crashed in a simulated day, each report listed eighty suspects, took 4.5 KB and
// was sent 400 times a second by each of 24 entries over links of 10 Mbit/s.
// Datagrams were lost, and the entries took each other for silent.
func TestSizeOfReports(t *testing.T) {
	peer, err := net.ListenPacket("udp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer peer.Close()
	a := start(t, "a", freeAddress(t), peer.LocalAddr().String())
	a.handler.mu.Lock()
	a.handler.state.Dispatch.Loads = map[string]dispatch.Load{}
	for i := range 10 {
		a.handler.state.Dispatch.Loads[fmt.Sprintf("i-%010d", i)] = dispatch.Load{Requests: 1, Prompt: 3000}
	}
	a.handler.summary.Usage = quota.Usage{}
	for i := range 16 {
		a.handler.summary.Usage[fmt.Sprintf("org%05d", i)] = 1e6
	}
	for i := range 8 {
		a.handler.summary.Loads = append(a.handler.summary.Loads, fleet.LoadReport{ID: fmt.Sprintf("i-%010d", i), StartedMillis: 1 << 41, Percent: 300})
	}
	for i := range 80 {
		crashes := []frame.EvidenceCrash{{ID: 1 << 31, AgeMillis: 1e4}, {ID: 1 << 30, AgeMillis: 2e4}, {ID: 1 << 29, AgeMillis: 3e4}, {ID: 1 << 28, AgeMillis: 4e4}}
		a.handler.summary.Evidence = append(a.handler.summary.Evidence, frame.Evidence{Feature: uint64(i) << 56, AnsweredMillis: 1e4, Crashes: crashes})
	}
	a.handler.mu.Unlock()
	// The entry reports this often to live peers only, so the peer must send a
	// report first.
	b, err := cbor.Marshal(map[int]any{1: "b", 2: 5, 3: 1})
	require.NoError(t, err)
	tail, err := cbor.Marshal([]uint64{1, 0, 0, 0, 0})
	require.NoError(t, err)
	own, err := net.ResolveUDPAddr("udp4", a.Address())
	require.NoError(t, err)
	_, err = peer.WriteTo(append(b, tail...), own)
	require.NoError(t, err)
	const maxPacketBytes = 1400
	reports, totalBytes, buffer := 0, 0, make([]byte, 16<<10)
	for end := time.Now().Add(800 * time.Millisecond); time.Now().Before(end); {
		a.Changed(true)
		require.NoError(t, peer.SetReadDeadline(time.Now().Add(time.Second)))
		n, _, err := peer.ReadFrom(buffer)
		require.NoError(t, err)
		require.Less(t, n, maxPacketBytes, "a report fits into one packet")
		reports++
		totalBytes += n
	}
	require.Greater(t, reports, 50)
	require.Less(t, totalBytes/reports, 400, "mean size of a report in bytes")
}
