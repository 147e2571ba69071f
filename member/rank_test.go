package member_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"damasktrail.dev/document"
	"damasktrail.dev/member"
)

// fleet returns a document and a list in the proportions of the target size.
func fleet(b testing.TB, n int) (*document.Document, *member.List) {
	b.Helper()
	d := &document.Document{Generation: 1, Policy: document.PolicyCost, Tiers: []document.Tier{{Name: "only", Deadline: 1e9}}}
	for i := range 23 {
		d.Domains = append(d.Domains, document.Domain{Name: fmt.Sprintf("domain%02d", i), Region: fmt.Sprintf("region%d", i%7)})
	}
	for i := range 24 {
		d.Models = append(d.Models, document.Model{Name: fmt.Sprintf("model%02d", i), Context: 32768})
	}
	for i := range 336 {
		d.Sets = append(d.Sets, document.Set{
			Name: fmt.Sprintf("set%03d", i), Kind: document.KindEngine, Model: fmt.Sprintf("model%02d", i%24), Role: document.RoleBoth,
		})
	}
	parsed, err := document.Parse(d.Encode())
	if err != nil {
		b.Fatal(err)
	}
	vms := make([]member.VM, n)
	for i := range vms {
		vms[i] = member.VM{
			Name: fmt.Sprintf("vm-%05d", i), Address: fmt.Sprintf("10.%d.%d.%d:8090", i>>16, i>>8&255, i&255),
			Domain: fmt.Sprintf("domain%02d", (i+i/23)%23), Set: fmt.Sprintf("set%03d", i%336),
		}
		if i%23 == 0 { // 545 of 12,540; the target has 540.
			vms[i].Role, vms[i].Set = member.RoleEntry, ""
		}
	}
	list, err := member.New(1, vms)
	if err != nil {
		b.Fatal(err)
	}
	return parsed, list
}

// TestPlaceIsThatInEntries guards against an entry that does not push to an agent
// which the design gives to it.
func TestPlaceIsThatInEntries(t *testing.T) {
	d, l := fleet(t, 2000)
	r := member.NewRanking(l, d)
	agents := 0
	for _, a := range l.VMs {
		if a.Role != member.RoleAgent {
			continue
		}
		agents++
		for i, e := range member.Entries(l, d, a, 5) {
			require.Equal(t, i, r.Place(a, e.Name))
		}
	}
	require.Greater(t, agents, 1800)
}

var counts = []int{1000, 4000, 12540}

func BenchmarkParse(b *testing.B) {
	for _, n := range counts {
		_, l := fleet(b, n)
		data := l.Encode()
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			b.SetBytes(int64(len(data)))
			for b.Loop() {
				if _, err := member.Parse(data); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkSubset(b *testing.B) {
	for _, n := range counts {
		d, l := fleet(b, n)
		self, _ := l.VM("vm-00000")
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				member.Subset(self, l, d, 11)
			}
		})
	}
}

// BenchmarkPlace measures the places that an entry has among the entries of
// each of its agents, which it computes anew with each document and list.
func BenchmarkPlace(b *testing.B) {
	for _, n := range counts {
		d, l := fleet(b, n)
		self, _ := l.VM("vm-00000")
		agents := member.Subset(self, l, d, 11)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			b.ReportMetric(float64(len(agents)), "agents")
			for b.Loop() {
				ranking := member.NewRanking(l, d)
				for _, a := range agents {
					ranking.Place(a, self.Name)
				}
			}
		})
	}
}

func BenchmarkReaders(b *testing.B) {
	for _, n := range counts {
		d, l := fleet(b, n)
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				member.Readers(l, d, "region0", 1, len(l.VMs))
			}
		})
	}
}
