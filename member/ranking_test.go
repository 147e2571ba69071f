package member_test

import (
	"fmt"
	"testing"

	"damasktrail.dev/member"
)

// sizes are numbers of entries and agents in the proportions of the maximum
// planned size.
var sizes = [][2]int{{43, 957}, {172, 3828}, {540, 12000}}

// BenchmarkEntryPositions measures how long an entry takes to compute its position
// among the entries of each of its agents, which it does for each new document and
// list.
func BenchmarkEntryPositions(b *testing.B) {
	for _, n := range sizes {
		f := newFleet(b, 7, 24, n[0], n[1])
		l := f.list(b, nil)
		self, _ := l.VM("e00000")
		agents := member.Subset(self, l, f.document, subsetSize)
		b.Run(fmt.Sprint(n[0]+n[1]), func(b *testing.B) {
			b.ReportAllocs()
			b.ReportMetric(float64(len(agents)), "agents")
			for b.Loop() {
				position := member.EntryPositions(self, l, f.document, 3)
				for _, a := range agents {
					position(a)
				}
			}
		})
	}
}

// BenchmarkReaders measures the check whether an entry reads the platform in a time
// slot.
func BenchmarkReaders(b *testing.B) {
	for _, n := range sizes {
		f := newFleet(b, 7, 24, n[0], n[1])
		l := f.list(b, nil)
		b.Run(fmt.Sprint(n[0]+n[1]), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				member.Readers(l, f.document, "r0", 1, len(l.VMs))
			}
		})
	}
}
