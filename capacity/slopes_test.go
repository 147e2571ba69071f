package capacity

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"damasktrail.dev/document"
	"damasktrail.dev/frame"
	"damasktrail.dev/member"
	"damasktrail.dev/ticket"
)

// repeats is the number of runs of a measurement; tables show the median.
const repeats = 3

// measurementTime is the length of one measurement of a running process.
const measurementTime = 2 * time.Second

// TestSlopes measures the cost of state and messages at several sizes and prints
// tables. It asserts only what does not depend on the machine's load.
func TestSlopes(t *testing.T) {
	if !testing.Verbose() {
		t.Skip("prints tables and takes two minutes; run it with -v")
	}
	t.Run("document", measureDocument)
	t.Run("list", measureList)
	t.Run("ticket", measureTicket)
	s, err := NewSite(t.TempDir(), "cmd/entry", "cmd/agent")
	require.NoError(t, err)
	defer s.Close()
	t.Run("entry links", func(t *testing.T) { measureLinks(t, s) })
	t.Run("entry documents", func(t *testing.T) { measureEntryDocuments(t, s) })
	t.Run("entry at the target", func(t *testing.T) { measureTarget(t, s) })
	t.Run("agent", func(t *testing.T) { measureAgent(t, s) })
}

var sizes = []Size{{100, 4, 16}, {700, 8, 107}, Target}

func measureDocument(t *testing.T) {
	table := NewTable("organisations", "bytes", "gzip", "parse ms", "compare ms", "apply ms", "encode ms", "held KB")
	differences := NewTable("organisations", "operations", "difference bytes")
	var held, parse, apply []Point
	for _, s := range sizes {
		a, b := s.Document(1), s.Document(2)
		text, difference := a.Encode(), document.Compare(a, b)
		ms := func(f func()) float64 { return float64(MedianTime(9, f)) / 1e6 }
		row := []float64{
			ms(func() { _, _ = document.Parse(text) }),
			ms(func() { document.Compare(a, b) }),
			ms(func() { _, _ = a.Apply(difference) }),
			ms(func() { a.Encode() }),
			HeapPerValue(4, func() *document.Document { d, _ := document.Parse(text); return d }) / 1e3,
		}
		n := float64(s.Organisations)
		parse, apply, held = append(parse, Point{n, row[0]}), append(apply, Point{n, row[2]}), append(held, Point{n, row[4]})
		table.Row(s.Organisations, len(text), GzipSize(text), row[0], row[1], row[2], row[3], row[4])
		for _, operations := range []int{1, 8, 32} {
			data, err := document.EncodeDifference(document.Compare(a, s.changedDocument(2, operations)))
			require.NoError(t, err)
			differences.Row(s.Organisations, operations, len(data))
			// The design page assumes 300 bytes for a typical difference.
			require.LessOrEqual(t, len(data), 300*operations)
		}
	}
	table.Fit("parse ms", parse...)
	table.Fit("apply ms", apply...)
	table.Fit("held KB", held...)
	t.Log(table, differences)
}

func measureList(t *testing.T) {
	d := Target.Document(1)
	table := NewTable("VMs", "bytes", "gzip", "parse ms", "subset ms", "places ms", "held KB")
	var parse, subset, held []Point
	for _, n := range []int{1000, 4000, 12540} {
		l := VMs(1, n)
		text := l.Encode()
		self := l.VMs[0]
		agents := member.Subset(*self, l, d, AgentsPerModel)
		ms := func(f func()) float64 { return float64(MedianTime(9, f)) / 1e6 }
		row := []float64{
			ms(func() { _, _ = member.Parse(text) }),
			ms(func() { member.Subset(*self, l, d, AgentsPerModel) }),
			ms(func() {
				place := member.EntryPositions(*self, l, d, 3)
				for _, a := range agents {
					place(a)
				}
			}),
			HeapPerValue(4, func() *member.List { l, _ := member.Parse(text); return l }) / 1e3,
		}
		x := float64(n)
		parse, subset, held = append(parse, Point{x, row[0]}), append(subset, Point{x, row[1]}), append(held, Point{x, row[3]})
		table.Row(n, len(text), GzipSize(text), row[0], row[1], row[2], row[3])
	}
	table.Fit("parse ms", parse...)
	table.Fit("subset ms", subset...)
	table.Fit("held KB", held...)
	t.Log(table)
}

func measureTicket(t *testing.T) {
	table := NewTable("tickets", "issuer and ledger bytes each")
	var points []Point
	for _, n := range []int{1000, 4000, 16000} {
		type pair struct {
			issuer *ticket.Issuer
			ledger *ticket.Ledger
		}
		held := HeapPerValue(1, func() pair {
			now := time.Now()
			is := ticket.NewIssuer("agent", "incarnation", make([]byte, 32), now)
			l := ticket.NewLedger(is, 0)
			for range n {
				text, err := is.Issue("organisation", "model", time.Hour, now)
				require.NoError(t, err)
				_, refusal := l.Begin(text, "organisation", "model", [32]byte{}, now)
				require.Nil(t, refusal)
			}
			return pair{is, l}
		})
		table.Row(n, held/float64(n))
		points = append(points, Point{float64(n), held})
	}
	table.Fit("bytes", points...)
	t.Log(table)
}

// medianCost measures a cost several times and returns the medians of its fields.
func medianCost(t *testing.T, f func() (Cost, error)) Cost {
	var cpu, bytes []float64
	for range repeats {
		c, err := f()
		require.NoError(t, err)
		cpu, bytes = append(cpu, float64(c.CPU)), append(bytes, c.Bytes)
	}
	return Cost{CPU: time.Duration(Quantile(cpu, 0.5)), Bytes: Quantile(bytes, 0.5)}
}

// cpuPercent returns the processor time as a percentage of one core over the time d.
func cpuPercent(c Cost, d time.Duration) float64 { return 100 * float64(c.CPU) / float64(d) }

// memoryMB returns the memory of the process in units of 10^6 bytes.
func memoryMB(t *testing.T, s *Testbed) (resident, private float64) {
	resident, private, err := s.Program.Memory()
	require.NoError(t, err)
	return resident / 1e6, private / 1e6
}

// perItem divides a cost by n and returns it in microseconds and bytes.
func perItem(c Cost, n float64) (us, bytes float64) { return float64(c.CPU) / 1e3 / n, c.Bytes / n }

func measureLinks(t *testing.T, s *Site) {
	const beatsPerSecond = 10 // Per link; 100 times the rate of the design.
	table := NewTable("links", "resident MB", "private MB", "idle % of a core", "us/heartbeat", "bytes/heartbeat",
		"us/change and link", "bytes/push", "bytes/pull", "bytes/new link", "start ms")
	var private, idle, beats, pushes []Point
	bytesTable := NewTable("difference bytes", "bytes/push")
	var sizes []Point
	for _, n := range []int{33, 132, 264} {
		st, err := s.EntryTestbed(Size{100, 24, 24}, n, 0)
		require.NoError(t, err)
		rss, anon := memoryMB(t, st)
		idleCost := medianCost(t, func() (Cost, error) { return st.Idle(measurementTime) })
		var sent int64
		beat := medianCost(t, func() (res Cost, err error) {
			res, sent, err = st.Heartbeats(float64(beatsPerSecond*n), measurementTime, false)
			return res, err
		})
		beatUS, beatBytes := perItem(Cost{CPU: beat.CPU - idleCost.CPU, Bytes: beat.Bytes}, float64(sent))
		// The design page allows 8 KB/s for 264 links with frames of 148 bytes; larger
		// frames would exceed this. The IPv4 and UDP headers take 28 bytes.
		require.Less(t, beatBytes, 300.0)
		const changes = 10
		push := medianCost(t, func() (Cost, error) { c, _, err := st.Push(changes, 1); return c, err })
		pull := medianCost(t, func() (Cost, error) { return st.Pull(3) })
		pushUS, pushBytes := perItem(push, changes*float64(n))
		table.Row(n, rss, anon, cpuPercent(idleCost, measurementTime), beatUS, beatBytes, pushUS, pushBytes, pull.Bytes/float64(3*n),
			st.LinkSetup.Bytes/float64(n), float64(st.LinkSetup.Time)/1e6)
		x := float64(n)
		private, idle = append(private, Point{x, anon * 1e3}), append(idle, Point{x, cpuPercent(idleCost, measurementTime)})
		beats = append(beats, Point{beatsPerSecond * x, cpuPercent(beat, measurementTime)})
		pushes = append(pushes, Point{x, float64(push.CPU) / 1e6 / changes})
		if n == 132 {
			for _, operations := range []int{1, 8, 32} {
				_, _, err := st.Push(1, operations)
				require.NoError(t, err)
				c, size, err := st.Push(3, operations)
				require.NoError(t, err)
				bytesTable.Row(size, c.Bytes/float64(3*n))
				sizes = append(sizes, Point{float64(size), c.Bytes / float64(3*n)})
			}
		}
		st.Stop()
	}
	table.Fit("private KB by links", private...)
	table.Fit("idle % by links", idle...)
	table.Fit("% by heartbeats/s", beats...)
	table.Fit("ms per change by links", pushes...)
	bytesTable.Fit("bytes by difference", sizes...)
	t.Log(table, bytesTable)
}

func measureEntryDocuments(t *testing.T, s *Site) {
	table := NewTable("organisations", "resident MB", "private MB", "ms/change from a peer", "ms/change from the platform", "slowest ms to all agents")
	var pushed, published, held []Point
	for _, size := range sizes {
		size.Models, size.Sets = Models, max(size.Sets, Models)
		st, err := s.EntryTestbed(size, 33, 0)
		require.NoError(t, err)
		const changes = 10
		push := medianCost(t, func() (Cost, error) { c, _, err := st.Push(changes, 1); return c, err })
		var slowest time.Duration
		publish := medianCost(t, func() (Cost, error) {
			c, d, err := st.PublishDocuments(changes)
			slowest = max(slowest, d)
			return c, err
		})
		rss, anon := memoryMB(t, st)
		n := float64(size.Organisations)
		a, b := float64(push.CPU)/1e6/changes, float64(publish.CPU)/1e6/changes
		table.Row(size.Organisations, rss, anon, a, b, float64(slowest)/1e6)
		pushed, published, held = append(pushed, Point{n, a}), append(published, Point{n, b}), append(held, Point{n, anon})
		st.Stop()
	}
	table.Fit("ms from a peer", pushed...)
	table.Fit("ms from the platform", published...)
	table.Fit("private MB", held...)
	t.Log(table)
}

func measureTarget(t *testing.T, s *Site) {
	table := NewTable("what", "value", "unit")
	st, err := s.EntryTestbed(Target, Models*AgentsPerModel, Entries+Replicas)
	require.NoError(t, err)
	defer st.Stop()
	rss, anon := memoryMB(t, st)
	table.Row("from the start to all links", float64(st.LinkSetup.Time)/1e6, "ms")
	table.Row("resident after the start", rss, "MB")
	table.Row("private after the start", anon, "MB")
	idleCost := medianCost(t, func() (Cost, error) { return st.Idle(measurementTime) })
	table.Row("idle, on reading duty, 264 agents, 8 entries", cpuPercent(idleCost, measurementTime), "% of a core")
	table.Row("links to 8 entries", idleCost.Bytes/measurementTime.Seconds(), "B/s")
	const rate, duration = 26.4, 10 * time.Second
	c, sent, err := st.Heartbeats(rate, duration, false)
	require.NoError(t, err)
	table.Row("with heartbeats of 264 agents at 10 s", cpuPercent(c, duration), "% of a core")
	table.Row("heartbeats and 8 links", c.Bytes/duration.Seconds(), "B/s")
	table.Row("heartbeats sent", sent, "")
	const changes = 10
	c, _, err = st.Push(changes, 1)
	require.NoError(t, err)
	table.Row("change from a peer, pushed to 264 agents and 8 entries", float64(c.CPU)/1e6/changes, "ms")
	c, slowest, err := st.PublishDocuments(changes)
	require.NoError(t, err)
	table.Row("change from the platform, pushed to the same", float64(c.CPU)/1e6/changes, "ms")
	table.Row("slowest from platform to all agents of the entry", float64(slowest)/1e6, "ms")
	const lists = 3
	c, err = st.PublishLists(lists)
	require.NoError(t, err)
	table.Row("new VM list from the platform", float64(c.CPU)/1e6/lists-float64(idleCost.CPU)/1e6*settleTime.Seconds()/measurementTime.Seconds(), "ms")
	rss, anon = memoryMB(t, st)
	table.Row("resident after changes", rss, "MB")
	table.Row("private after changes", anon, "MB")
	whole, err := frame.Append(nil, frame.KindWhole, frame.Whole{Topic: frame.TopicVMs, Data: st.list().Encode()})
	require.NoError(t, err)
	table.Row("frame with the whole VM list", len(whole), "bytes")
	t.Log(table)
}

func measureAgent(t *testing.T, s *Site) {
	const beatsPerSecond = 10
	table := NewTable("organisations", "entries", "resident MB", "private MB", "idle % of a core", "us/heartbeat asked and answered", "bytes/both", "ms/change")
	row := func(size Size, entries int) (anon, idle, change float64) {
		st, err := s.AgentTestbed(size, entries)
		require.NoError(t, err)
		defer st.Stop()
		idleCost := medianCost(t, func() (Cost, error) { return st.Idle(measurementTime) })
		var sent int64
		beat := medianCost(t, func() (res Cost, err error) {
			res, sent, err = st.Heartbeats(float64(beatsPerSecond*entries), measurementTime, true)
			return res, err
		})
		const changes = 10
		push := medianCost(t, func() (Cost, error) { c, _, err := st.Push(changes, 1); return c, err })
		rss, anon := memoryMB(t, st)
		us, bytes := perItem(Cost{CPU: beat.CPU - idleCost.CPU, Bytes: beat.Bytes}, float64(sent))
		// The cost of a change includes that of the idle process during changeInterval.
		change = float64(push.CPU)/1e6/changes - float64(idleCost.CPU)/1e6*changeInterval.Seconds()/measurementTime.Seconds()
		table.Row(size.Organisations, entries, rss, anon, cpuPercent(idleCost, measurementTime), us, bytes, change)
		return anon, cpuPercent(idleCost, measurementTime), change
	}
	var private, idle, changes []Point
	for _, n := range []int{4, 12, 48} {
		anon, idlePercent, _ := row(Target, n)
		private, idle = append(private, Point{float64(n), anon * 1e3}), append(idle, Point{float64(n), idlePercent})
	}
	for _, size := range sizes {
		_, _, change := row(size, 12+size.Organisations%2)
		changes = append(changes, Point{float64(size.Organisations), change})
	}
	table.Fit("private KB by entries", private...)
	table.Fit("idle % by entries", idle...)
	table.Fit("ms per change by organisations", changes...)
	t.Log(table)
}
