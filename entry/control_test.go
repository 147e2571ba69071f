package entry

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"damasktrail.dev/document"
	"damasktrail.dev/group"
	"damasktrail.dev/member"
	"damasktrail.dev/rollout"
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

// newTestControl returns the control state of entry e00407, which has 271 links. The context of its
// tasks has ended, so that no link is dialled.
func newTestControl(tb testing.TB, d *document.Document, l *member.List) *control {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	tasks := group.New(ctx)
	tb.Cleanup(tasks.Close)
	metrics, err := telemetry.New("entry")
	require.NoError(tb, err)
	e := &Entry{
		settings: Settings{Name: "e00407", Domain: "r1-d2", Subset: 11}, clock: timer.New(tasks), tasks: tasks, metrics: metrics,
		log: slog.New(slog.NewTextHandler(io.Discard, nil)), documents: document.NewHolder(), members: member.NewHolder(), learned: newLearned(),
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

// take brings the list forward by a difference, as a message from a peer does,
// and refreshes the control state.
func (c *control) take(tb testing.TB, x member.Difference, now time.Time) {
	next, err := c.e.members.Load().Apply(x)
	require.NoError(tb, err)
	_, err = c.e.members.Offer(next)
	require.NoError(tb, err)
	c.refresh(now)
}

// BenchmarkListChange takes a change of one VM and its reversal.
func BenchmarkListChange(b *testing.B) {
	d, vms := targetFleet(b)
	first, err := member.New(1, vms)
	require.NoError(b, err)
	c := newTestControl(b, d, first)
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
		"entry of the region":     5 * 7,
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
				c.linked.list = first // It has the content of the third list.
				c.take(b, there, now)
				c.take(b, back, now)
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
	c := newTestControl(b, d, l)
	now := c.e.clock.Now()
	b.ReportAllocs()
	for b.Loop() {
		c.refresh(now)
	}
}
