package member_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"damasktrail.dev/document"
	"damasktrail.dev/member"
)

// subsetSize is the number of agents per model in the subset of an entry.
const subsetSize = 11

// fleet is a deployment with VM names that are as regular as real ones.
type fleet struct {
	document *document.Document
	vms      []member.VM
}

// newFleet spreads entries and agents evenly over models and over regions of at
// most 4 failure domains. At the maximum planned size of 7 regions there are 23
// domains.
func newFleet(tb testing.TB, regions, models, entries, agents int) fleet {
	tb.Helper()
	d := &document.Document{Generation: 1, Tiers: []document.Tier{{Name: "high", Deadline: 1e9}}}
	var domains [][]string
	for r := range regions {
		domains = append(domains, nil)
		for i := range 3 + (r+1)%3/2 {
			name := fmt.Sprintf("r%d-d%d", r, i)
			domains[r] = append(domains[r], name)
			d.Domains = append(d.Domains, document.Domain{Name: name, Region: fmt.Sprintf("r%d", r)})
		}
	}
	for m := range models {
		d.Models = append(d.Models, document.Model{Name: fmt.Sprintf("m%d", m), Context: 1})
		for r := range regions {
			d.Sets = append(d.Sets, document.Set{
				Name: fmt.Sprintf("m%d-r%d", m, r), Kind: document.KindEngine, Model: fmt.Sprintf("m%d", m), Role: document.RoleBoth,
			})
		}
	}
	res := fleet{}
	var err error
	res.document, err = document.Parse(d.Encode())
	require.NoError(tb, err)
	for i := range entries {
		in := domains[i%regions]
		res.vms = append(res.vms, member.VM{
			Name: fmt.Sprintf("e%05d", i), Role: member.RoleEntry, Domain: in[i/regions%len(in)],
			Address: fmt.Sprintf("10.0.%d.%d:7000", i/250, 1+i%250), State: member.StateLive,
		})
	}
	for i := range agents {
		in := domains[i%regions]
		res.vms = append(res.vms, member.VM{
			Name: fmt.Sprintf("a%05d", i), Role: member.RoleAgent, Domain: in[i/regions/models%len(in)],
			Set:     fmt.Sprintf("m%d-r%d", i/regions%models, i%regions),
			Address: fmt.Sprintf("10.1.%d.%d:7000", i/250, 1+i%250), State: member.StateLive,
		})
	}
	return res
}

func (f fleet) list(tb testing.TB, without func(v member.VM) bool) *member.List {
	tb.Helper()
	vms := slices.DeleteFunc(slices.Clone(f.vms), func(v member.VM) bool { return without != nil && without(v) })
	res, err := member.New(1, vms)
	require.NoError(tb, err)
	return res
}

// links returns the subset of each entry of the list.
func (f fleet) links(l *member.List) map[string][]member.VM {
	res := map[string][]member.VM{}
	for _, v := range l.VMs {
		if v.Role == member.RoleEntry {
			res[v.Name] = member.Subset(*v, l, f.document, subsetSize)
		}
	}
	return res
}

func inDegrees(links map[string][]member.VM) map[string]int {
	res := map[string]int{}
	for _, list := range links {
		for _, v := range list {
			res[v.Name]++
		}
	}
	return res
}

// Guards against agents with few links, which idle while others are full, and
// against subsets that are unevenly distributed over the failure domains.
func TestSubsetIsEven(t *testing.T) {
	f := newFleet(t, 1, 1, 77, 71)
	l := f.list(t, nil)
	links := f.links(l)
	extra := 0
	for entry, list := range links {
		require.GreaterOrEqual(t, len(list), 11)
		extra += len(list) - 11
		parts := map[string]int{}
		for _, v := range list {
			parts[v.Domain]++
		}
		require.Len(t, parts, 3, entry)
		for _, n := range parts {
			require.InDelta(t, 11.0/3, n, 2.5, entry)
		}
	}
	in := slices.Sorted(maps.Values(inDegrees(links)))
	t.Logf("in-degree of 71 agents: lowest %d, median %d, highest %d; %d links beyond 847", in[0], in[35], in[len(in)-1], extra)
	require.Len(t, in, 71)
	// Independent random subsets give a mean of 11.9 and a standard deviation of 3.2.
	require.GreaterOrEqual(t, in[0], 3)
	require.LessOrEqual(t, in[len(in)-1], 24)
}

// Guards against a loss of VMs that changes the links between other VMs.
func TestSubsetChurn(t *testing.T) {
	f := newFleet(t, 1, 1, 77, 71)
	l := f.list(t, nil)
	before := f.links(l)
	assignedLinks := -77 * subsetSize // links that exist only because of MinEntriesPerAgent
	for _, list := range before {
		assignedLinks += len(list)
	}
	// churn counts the links that end and the links that are added when VMs are lost.
	churn := func(gone func(v member.VM) bool) (ended, added int) {
		after := f.links(f.list(t, gone))
		for entry, list := range before {
			if v, _ := l.VM(entry); gone(v) {
				continue
			}
			for _, v := range list {
				if gone(v) {
					ended++
				} else {
					require.Contains(t, after[entry], v, "a link between two other VMs ended")
				}
			}
			for _, v := range after[entry] {
				if !slices.Contains(list, v) {
					added++
				}
			}
		}
		return ended, added
	}
	in := inDegrees(before)
	for _, name := range []string{"a00000", "a00017", "a00070"} {
		ended, added := churn(func(v member.VM) bool { return v.Name == name })
		require.Equal(t, in[name], ended)
		require.LessOrEqual(t, added, ended)
		require.GreaterOrEqual(t, added, ended-member.MinEntriesPerAgent, "each entry takes another agent")
	}
	for _, name := range []string{"e00000", "e00007", "e00076"} {
		assigned := 0
		for _, v := range f.vms[77:] {
			for _, e := range member.Entries(l, f.document, v, member.MinEntriesPerAgent) {
				if e.Name == name {
					assigned++
				}
			}
		}
		ended, added := churn(func(v member.VM) bool { return v.Name == name })
		require.Zero(t, ended)
		require.LessOrEqual(t, added, assigned, "only entries that newly rank first for an agent have new links")
	}
	ended, added := churn(func(v member.VM) bool { return v.Domain == "r0-d1" && v.Role == member.RoleAgent })
	t.Logf("loss of the agents of a failure domain: %d of %d links ended, %d new", ended, 77*subsetSize+assignedLinks, added)
	require.LessOrEqual(t, added, ended)
	require.GreaterOrEqual(t, added, ended-assignedLinks)
}

// Guards against a subset that lacks a required agent or contains an agent that
// must be excluded.
func TestSubsetCandidates(t *testing.T) {
	f := newFleet(t, 2, 2, 4, 60) // 15 agents per model and region
	entry := f.vms[0]
	count := func(without func(v member.VM) bool) map[string]int {
		res := map[string]int{}
		for _, v := range member.Subset(entry, f.list(t, without), f.document, 11) {
			res[v.Set]++
		}
		return res
	}
	require.Equal(t, map[string]int{"m0-r0": 15, "m1-r0": 15}, count(nil), "all below 16")
	gone := func(set string) func(v member.VM) bool { return func(v member.VM) bool { return v.Set == set } }
	require.Equal(t, map[string]int{"m0-r1": 15, "m1-r0": 15}, count(gone("m0-r0")), "other region")

	for i := range f.vms {
		if f.vms[i].Set == "m0-r0" {
			f.vms[i].State = member.StateLeaving
		}
	}
	require.Equal(t, map[string]int{"m0-r1": 15, "m1-r0": 15}, count(nil), "leaving VMs are left out")
	f.vms[10].Set, f.vms[11].Set = "x", "y"
	n := 0
	for _, c := range count(nil) {
		n += c
	}
	require.Equal(t, 29, n, "a set that the document lacks is left out")

	g := newFleet(t, 2, 1, 40, 64)
	require.InDelta(t, subsetSize, len(member.Subset(g.vms[0], g.list(t, nil), g.document, subsetSize)), 3)
	require.Len(t, member.Subset(g.vms[0], g.list(t, nil), g.document, 40), 32, "no more than there are")
	alone := g.list(t, func(v member.VM) bool { return v.Role == member.RoleEntry && v.Name != "e00000" })
	require.Len(t, member.Subset(g.vms[0], alone, g.document, subsetSize), 32, "the only entry knows all agents")
}

// Guards against an agent that is in no subset at the maximum planned size, and
// against an agent without links to its highest-ranked entries.
func TestTargetSize(t *testing.T) {
	f := newFleet(t, 7, 24, 540, 12000)
	require.Len(t, f.document.Domains, 23)
	l := f.list(t, nil)
	size := len(l.Encode())
	t.Logf("list of %d VMs: %d bytes", len(l.VMs), size)
	require.LessOrEqual(t, size, member.MaxBytes)
	links := f.links(l)
	linked := map[[2]string]bool{}
	out := 0
	for entry, list := range links {
		out = max(out, len(list))
		for _, v := range list {
			linked[[2]string{entry, v.Name}] = true
		}
	}
	in := slices.Sorted(maps.Values(inDegrees(links)))
	lowest, highest := in[0], in[len(in)-1]
	t.Logf("links: at most %d an entry; %d of 12000 agents linked, by %d to %d entries", out, len(in), lowest, highest)
	require.Len(t, in, 12000)
	require.LessOrEqual(t, out, 264+10)
	var missing [3]int
	for _, v := range l.VMs {
		if v.Role != member.RoleAgent {
			continue
		}
		for i, e := range member.Entries(l, f.document, *v, 3) {
			if !linked[[2]string{e.Name, v.Name}] {
				missing[i]++
			}
		}
	}
	t.Logf("agents whose ranked entry has no link, by rank: %v of 12000", missing)
	require.Zero(t, missing)
	require.GreaterOrEqual(t, lowest, member.MinEntriesPerAgent)
}

// Guards against readers outside their region, leaving readers, and time slots
// that are always assigned to the same entries.
func TestReadersAndEntries(t *testing.T) {
	f := newFleet(t, 7, 1, 540, 70)
	f.vms[0].State = member.StateLeaving
	l := f.list(t, nil)
	slotsByReader := map[string]int{}
	for slot := range int64(1000) {
		readers := member.Readers(l, f.document, "r0", slot, 2)
		require.Len(t, readers, 2)
		for _, v := range readers {
			d, _ := f.document.Domain(v.Domain)
			require.Equal(t, "r0", d.Region)
			slotsByReader[v.Name]++
		}
	}
	require.Len(t, slotsByReader, 77, "78 entries of the region but the leaving one")
	require.NotContains(t, slotsByReader, f.vms[0].Name)
	for name, n := range slotsByReader {
		require.Less(t, n, 60, name) // 26 on average
	}
	require.Empty(t, member.Readers(l, f.document, "none", 1, 2))
	require.Len(t, member.Readers(l, f.document, "r0", 1, 1000), 77)

	agent := f.vms[540]
	entries := member.Entries(l, f.document, agent, 3)
	require.Len(t, entries, 3)
	last := ^uint64(0)
	for _, e := range entries {
		d, _ := f.document.Domain(e.Domain)
		require.Equal(t, "r0", d.Region)
		require.LessOrEqual(t, member.Rank(e.Name, agent.Name), last)
		last = member.Rank(e.Name, agent.Name)
	}
	alone := f.list(t, func(v member.VM) bool {
		d, _ := f.document.Domain(v.Domain)
		return d.Region == "r0" && v.Role == member.RoleEntry
	})
	require.Empty(t, member.Entries(alone, f.document, agent, 3))
	require.NotEqual(t, member.Rank("ab", "c"), member.Rank("a", "bc"))
	require.Equal(t, uint64(0xc870afe9d54e970f), member.Rank("e", "a"), "processes of different versions must agree")
}

// Guards against a position that differs from the entry's index in the agent's
// order of entries; documents would be pushed twice or never.
func TestEntryPositions(t *testing.T) {
	f := newFleet(t, 3, 1, 20, 60)
	f.vms[3].State = member.StateLeaving
	lists := []*member.List{f.list(t, nil)}
	for _, keep := range []string{"r0-d0", "r1-d0", "none"} {
		lists = append(lists, f.list(t, func(v member.VM) bool { return v.Role == member.RoleEntry && v.Domain != keep }))
	}
	for _, l := range lists {
		for _, entry := range f.vms[:20] {
			position := member.EntryPositions(entry, l, f.document, 3)
			for _, agent := range f.vms[20:] {
				order := member.Entries(l, f.document, agent, 3)
				want := slices.IndexFunc(order, func(v member.VM) bool { return v.Name == entry.Name })
				if want < 0 {
					want = len(order)
				}
				require.Equal(t, want, position(agent), "%s of %s", entry.Name, agent.Name)
			}
		}
	}
}

func BenchmarkSubset(b *testing.B) {
	for _, n := range sizes {
		f := newFleet(b, 7, 24, n[0], n[1])
		l := f.list(b, nil)
		b.Run(fmt.Sprint(n[0]+n[1]), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				member.Subset(f.vms[0], l, f.document, subsetSize)
			}
		})
	}
}

func BenchmarkEntries(b *testing.B) {
	f := newFleet(b, 7, 24, 540, 12000)
	l := f.list(b, nil)
	b.ReportAllocs()
	for b.Loop() {
		member.Entries(l, f.document, f.vms[600], 3)
	}
}

func BenchmarkParse(b *testing.B) {
	for _, n := range sizes {
		data := newFleet(b, 7, 24, n[0], n[1]).list(b, nil).Encode()
		b.Run(fmt.Sprint(n[0]+n[1]), func(b *testing.B) {
			b.ReportAllocs()
			b.SetBytes(int64(len(data)))
			for b.Loop() {
				_, err := member.Parse(data)
				require.NoError(b, err)
			}
		})
	}
}
