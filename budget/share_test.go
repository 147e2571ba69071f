package budget_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"damasktrail.dev/budget"
)

// Guards against a fleet that sends more retries than its bound: in any time window
// the entries together send at most the slack plus the ratio of first attempts.
func TestShare(t *testing.T) {
	const ratio, slack, entries = 0.2, 56.0, 5
	for _, fresh := range []int{0, 10, 1000} {
		total := 0
		for range entries {
			s := budget.NewShare(ratio, slack, entries)
			for range 10_000 {
				s.Deposit() // Accumulates the maximum credit.
			}
			for range fresh {
				s.Deposit()
				for s.Take() {
					total++
				}
			}
			for s.Take() {
				total++
			}
		}
		require.LessOrEqual(t, float64(total), slack+ratio*float64(fresh*entries))
		require.Greater(t, float64(total), 0.5*slack, "the budget is of use")
	}
}

// Guards against a process that starts with the whole slack: with a restart of all
// entries the slack could be used twice within one time window.
func TestShareAtStart(t *testing.T) {
	s := budget.NewShare(0.2, 50, 1)
	n := 0
	for s.Take() {
		n++
	}
	require.LessOrEqual(t, n, 25)
	s.SetEntries(10)
	for range 10_000 {
		s.Deposit()
	}
	n = 0
	for s.Take() {
		n++
	}
	require.LessOrEqual(t, n, 5)
}
