package coordinator_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"damasktrail.dev/coordinator"
)

// members returns n members of each failure domain; the first of each domain has the
// most processor time.
func members(domains, n int) (res []coordinator.Member) {
	for d := range domains {
		for i := range n {
			m := coordinator.Member{Name: fmt.Sprintf("entry-%d-%02d", d, i), Domain: fmt.Sprint("d", d), Millicores: 144}
			if i == 0 {
				m.Millicores = 800
			}
			res = append(res, m)
		}
	}
	return res
}

// Guards against fleets without a coordinator, and against more of them than can tell
// each other of each slot.
func TestElect(t *testing.T) {
	for _, tt := range []struct {
		domains, perDomain int
		want               int
		equal              bool
	}{
		{0, 0, 0, true},
		{1, 1, 1, true},
		{3, 2, 6, true},
		{3, 8, 3, false},
		{5, 14, 5, false},
		{3, 50, 9, false},
		{23, 24, 23, false},
	} {
		m := members(tt.domains, tt.perDomain)
		e := coordinator.Elect(m)
		require.Len(t, e.Coordinators(), tt.want, "%+v", tt)
		require.Equal(t, tt.equal, e.IsEqual(), "%+v", tt)
		slices.Reverse(m)
		require.Equal(t, e.Coordinators(), coordinator.Elect(m).Coordinators(), "the order of the members does not matter")
	}
}

// Guards against a weak VM that coordinates its domain although a strong one is
// live, and against a standby that is not the next coordinator.
func TestElectStrongest(t *testing.T) {
	m := members(3, 8)
	e := coordinator.Elect(m)
	require.Equal(t, []string{"entry-0-00", "entry-1-00", "entry-2-00"}, e.Coordinators())
	require.True(t, e.IsStandby("entry-1-01"))
	e = coordinator.Elect(slices.DeleteFunc(m, func(m coordinator.Member) bool { return m.Name == "entry-1-00" }))
	require.True(t, e.IsCoordinator("entry-1-01"))
}

// Guards against clients that ask another failure domain first, and against clients
// that all ask the same coordinator when their own is lost.
func TestCandidates(t *testing.T) {
	e := coordinator.Elect(members(5, 14))
	second := map[string]int{}
	for i := 1; i < 14; i++ {
		c := e.Candidates(fmt.Sprintf("entry-2-%02d", i), "d2")
		require.Len(t, c, 5)
		require.Equal(t, "entry-2-00", c[0])
		second[c[1]]++
	}
	require.Greater(t, len(second), 1)
	require.Equal(t, []string{"entry-2-00"}, e.Candidates("entry-2-00", "d2"), "a coordinator decides itself")
}

// Guards against several entries of the same rank, which would all ask the directory
// at once.
func TestRank(t *testing.T) {
	m := members(5, 14)
	e := coordinator.Elect(m)
	ranks := map[int]bool{}
	for _, c := range m {
		rank := e.Rank(c.Name)
		require.False(t, ranks[rank])
		ranks[rank] = true
		require.Equal(t, e.IsCoordinator(c.Name), rank < 5)
	}
}
