package entry

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"damasktrail.dev/document"
	"damasktrail.dev/frame"
	"damasktrail.dev/group"
	"damasktrail.dev/member"
	"damasktrail.dev/rollout"
	"damasktrail.dev/suspect"
	"damasktrail.dev/telemetry"
	"damasktrail.dev/timer"
)

// targetFleet returns the document and the VMs of the target size: 540 entries
// and 12,000 agents of 24 models in 7 regions with 23 failure domains.
func targetFleet(tb testing.TB) (*document.Document, []member.VM) {
	d := &document.Document{Generation: 1, Tiers: []document.Tier{{Name: "high", Deadline: 1e9}}}
	var domains [7][]string
	for r := range domains {
		for i := range 3 + (r+1)%3/2 {
			name := fmt.Sprintf("r%d-d%d", r, i)
			domains[r] = append(domains[r], name)
			d.Domains = append(d.Domains, document.Domain{Name: name, Region: fmt.Sprintf("r%d", r)})
		}
	}
	for m := range 24 {
		d.Models = append(d.Models, document.Model{Name: fmt.Sprintf("m%d", m), Context: 1})
		for r := range domains {
			d.Sets = append(d.Sets, document.Set{
				Name: fmt.Sprintf("m%d-r%d", m, r), Kind: document.KindEngine, Model: fmt.Sprintf("m%d", m), Role: document.RoleBoth,
			})
		}
	}
	res, err := document.Parse(d.Encode())
	require.NoError(tb, err)
	var vms []member.VM
	for i := range 12540 {
		in := domains[i%7]
		v := member.VM{Name: fmt.Sprintf("e%05d", i), Role: member.RoleEntry, Domain: in[i/7%len(in)], State: member.StateLive}
		if i >= 540 {
			v.Name, v.Role, v.Set, v.Domain = fmt.Sprintf("a%05d", i-540), member.RoleAgent, fmt.Sprintf("m%d-r%d", i/7%24, i%7), in[i/168%len(in)]
		}
		v.Address = fmt.Sprintf("127.0.%d.%d:7000", i/250, 1+i%250)
		vms = append(vms, v)
	}
	return res, vms
}

// newTestControl returns the control state of entry e00407, which has 271 links
// in domain r1-d2 of targetFleet. The context of its tasks has ended, so that
// no link is dialled.
func newTestControl(tb testing.TB, d *document.Document, l *member.List, domain string) *control {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	tasks := group.New(ctx)
	tb.Cleanup(tasks.Close)
	metrics, err := telemetry.New("entry")
	require.NoError(tb, err)
	e := &Entry{
		settings: Settings{Name: "e00407", Domain: domain, Subset: 11}, clock: timer.New(tasks), tasks: tasks, metrics: metrics,
		log: slog.New(slog.NewTextHandler(io.Discard, nil)), documents: document.NewHolder(), members: member.NewHolder(), stats: newRequestStats(), evidence: suspect.NewEvidence(),
	}
	e.rollout = rollout.New(e.documents, e.members, metrics.Count)
	_, err = e.documents.Offer(d)
	require.NoError(tb, err)
	_, err = e.members.Offer(l)
	require.NoError(tb, err)
	c := newControl(e)
	c.refresh(e.clock.Now())
	return c
}

// applyChange applies a difference to the VM list, as a message from a peer
// does, and refreshes the control state.
func (c *control) applyChange(tb require.TestingT, x member.Difference, now time.Time) {
	next, err := c.e.members.Load().Apply(x)
	require.NoError(tb, err)
	_, err = c.e.members.Offer(next)
	require.NoError(tb, err)
	c.refresh(now)
}

// linkSummary describes the links: address, target and rank of each agent,
// address of each peer.
func (c *control) linkSummary() map[string]string {
	res := map[string]string{}
	for name, r := range c.agents {
		res[name] = fmt.Sprint(r.vm.Address, " ", r.target, " ", r.rank)
	}
	for name, p := range c.peers {
		res[name] = p.vm.Address
	}
	return res
}

// Guards against a change of the VM list that is wrongly treated as irrelevant
// to the entry: its links must equal those of an entry that starts with the new
// list.
func TestListChanges(t *testing.T) {
	d, err := document.Parse([]byte(`{"generation": 1, "tiers": [{"name": "high", "rank": 0, "deadline": "30s"}],
		"domains": [{"name": "d0", "region": "r0"}, {"name": "d1", "region": "r1"}, {"name": "d2", "region": "r2"}],
		"models": [{"name": "m0", "context": 1}, {"name": "m1", "context": 1}],
		"sets": [{"name": "s0", "kind": "engine", "model": "m0", "role": "both"}, {"name": "s1", "kind": "engine", "model": "m1", "role": "both"}]}`))
	require.NoError(t, err)
	vm := func(i int) member.VM {
		if i >= 8 {
			return member.VM{Name: fmt.Sprintf("e%d", i), Role: member.RoleEntry, Domain: fmt.Sprintf("d%d", i/11), Address: "127.0.0.1:1"}
		}
		return member.VM{Name: fmt.Sprintf("a%d", i), Set: fmt.Sprintf("s%d", i%2), Domain: fmt.Sprintf("d%d", i%3), Address: "127.0.0.1:1"}
	}
	rapid.Check(t, func(rt *rapid.T) {
		vms := map[string]member.VM{}
		for i := range 12 {
			vms[vm(i).Name] = vm(i)
		}
		// With 20 agents of a target the subset depends on the region's entries.
		for i := range 20 {
			v := member.VM{Name: fmt.Sprintf("b%d", i), Set: "s0", Domain: "d0", Address: "127.0.0.1:1"}
			vms[v.Name] = v
		}
		list := func(version uint64) *member.List {
			res, err := member.New(version, slices.Collect(maps.Values(vms)))
			require.NoError(rt, err)
			return res
		}
		busy := rapid.Bool().Draw(rt, "busy")
		c := newTestControl(t, d, list(1), "d0")
		for version := range rapid.Uint64Range(1, 20).Draw(rt, "changes") {
			i := rapid.IntRange(0, 11).Draw(rt, "VM")
			v := vm(i)
			v.Address = fmt.Sprintf("127.0.0.1:%d", rapid.IntRange(1, 2).Draw(rt, "port"))
			v.State = rapid.SampledFrom([]string{member.StateLive, member.StateLeaving}).Draw(rt, "state")
			vms[v.Name] = v
			if rapid.IntRange(0, 3).Draw(rt, "delete") == 0 {
				delete(vms, v.Name)
			}
			// The link of an agent that is no longer wanted can end at the first list
			// after its open requests.
			for _, r := range c.agents {
				r.inflight.Store(0)
				if busy && version%2 == 0 {
					r.inflight.Store(1)
				}
			}
			next := list(version + 2)
			c.applyChange(rt, member.Compare(c.e.members.Load(), next), c.e.clock.Now())
			if !busy || version%2 == 1 {
				require.Equal(rt, newTestControl(t, d, next, "d0").linkSummary(), c.linkSummary())
			}
			for target, agents := range c.e.snapshot.Load().targets {
				for _, r := range agents {
					require.Same(rt, c.agents[r.vm.Name], r)
					require.Equal(rt, r.target, target)
				}
			}
		}
	})
}

// Guards against a snapshot that keeps outdated values, and against one that is
// rebuilt at every event.
func TestPublish(t *testing.T) {
	d, vms := targetFleet(t)
	l, err := member.New(1, vms)
	require.NoError(t, err)
	c := newTestControl(t, d, l, "r1-d2")
	now := c.e.clock.Now()
	last := c.e.snapshot.Load()
	// published refreshes and reports whether there is a new snapshot.
	published := func(now time.Time) bool {
		c.refresh(now)
		before := last
		last = c.e.snapshot.Load()
		return last != before
	}
	require.False(t, published(now))
	c.merge(nil, []frame.Floor{{Model: "m1", Tier: 1}}, now)
	require.True(t, published(now))
	require.Equal(t, map[string]int{"m1": 1}, last.floors)
	c.merge(nil, []frame.Floor{{Model: "m1", Tier: 2}}, now)
	require.False(t, published(now), "the floor that holds is higher")
	require.True(t, published(now.Add(floorTTL+1)))
	require.Empty(t, last.floors)

	for crash := range uint64(2) {
		c.merge([]frame.Suspect{{Fingerprint: 7, Crashes: []uint64{crash}}}, nil, now)
		require.True(t, published(now))
	}
	require.Contains(t, last.poisoned, uint64(7))
	require.True(t, published(now.Add(suspect.Retention)))
	require.Empty(t, last.poisoned)

	c.ticketAgents["a00001"], c.linkInputs.dirty = now.Add(time.Second), true
	require.True(t, published(now))
	require.Contains(t, last.agents, "a00001")
	require.True(t, published(now.Add(2*time.Second)))
	require.NotContains(t, last.agents, "a00001")

	next := *d
	next.Generation++
	parsed, err := document.Parse(next.Encode())
	require.NoError(t, err)
	_, err = c.e.documents.Offer(parsed)
	require.NoError(t, err)
	require.True(t, published(now))
	require.Same(t, parsed, last.document)
}

// BenchmarkListChange applies a change of one VM and its reversal.
func BenchmarkListChange(b *testing.B) {
	d, vms := targetFleet(b)
	first, err := member.New(1, vms)
	require.NoError(b, err)
	c := newTestControl(b, d, first, "r1-d2")
	require.Len(b, c.agents, 271)
	position := func(want func(v member.VM) bool) int {
		for i, v := range vms {
			if want(v) {
				return i
			}
		}
		b.Fatal("no such VM")
		return 0
	}
	near := func(v member.VM) bool { return regionOf(d, v.Domain) == "r1" }
	linked := func(v member.VM) bool { _, found := c.agents[v.Name]; return found }
	for name, i := range map[string]int{
		"agent of another region": position(func(v member.VM) bool { return v.Role == member.RoleAgent && !near(v) }),
		"agent of the region":     position(func(v member.VM) bool { return v.Role == member.RoleAgent && near(v) && !linked(v) }),
		"linked agent":            position(linked),
		"entry of another region": position(func(v member.VM) bool { return v.Role == member.RoleEntry && !near(v) }),
		"entry of the region":     position(func(v member.VM) bool { return v.Role == member.RoleEntry && near(v) }),
	} {
		b.Run(name, func(b *testing.B) {
			changed := append([]member.VM(nil), vms...)
			changed[i].State = member.StateLeaving
			second, err := member.New(2, changed)
			require.NoError(b, err)
			third, err := member.New(3, vms)
			require.NoError(b, err)
			there, back := member.Compare(first, second), member.Compare(second, third)
			now := c.e.clock.Now()
			b.ReportAllocs()
			for b.Loop() {
				c.e.members = member.NewHolder()
				_, err := c.e.members.Offer(first)
				require.NoError(b, err)
				c.linkInputs.list = first // Its content equals that of the third list.
				c.applyChange(b, there, now)
				c.applyChange(b, back, now)
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(2*b.N), "µs/change")
		})
	}
}

// BenchmarkTick refreshes at an event that changes nothing.
func BenchmarkTick(b *testing.B) {
	d, vms := targetFleet(b)
	l, err := member.New(1, vms)
	require.NoError(b, err)
	c := newTestControl(b, d, l, "r1-d2")
	now := c.e.clock.Now()
	b.ReportAllocs()
	for b.Loop() {
		c.refresh(now)
	}
}
