package budget_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"damasktrail.dev/budget"
)

// takeAll takes retries for the organisation until none is left, and returns their
// number.
func takeAll(b *budget.Budget, organisation string) int {
	res := 0
	for b.Take(organisation) {
		res++
	}
	return res
}

// Guards against more retries than a tenth of the first attempts after the initial
// ten, and against more than ten accumulated by one organisation.
func TestTake(t *testing.T) {
	for _, tt := range []struct{ fresh, want int }{{0, 0}, {9, 0}, {10, 1}, {99, 9}, {1000, 10}} {
		b := budget.New()
		require.Equal(t, 10, takeAll(b, "a"), "the credit at the start")
		require.False(t, b.Take("b"), "it is that of all organisations")
		for range tt.fresh {
			b.Deposit("a")
		}
		require.Equal(t, tt.want, takeAll(b, "a"), "%d fresh", tt.fresh)
	}
}

// Guards against retries that many organisations accumulated and use at once, as
// after the loss of a region.
func TestTotal(t *testing.T) {
	for _, tt := range []struct{ organisations, fresh, want int }{{2200, 0, 10}, {2200, 1, 100}, {50, 1, 15}} {
		b := budget.New()
		for o := range tt.organisations {
			for range tt.fresh {
				b.Deposit(fmt.Sprint(o))
			}
		}
		got := 0
		for o := range tt.organisations {
			got += takeAll(b, fmt.Sprint(o))
		}
		require.Equal(t, tt.want, got, "%d organisations with %d fresh", tt.organisations, tt.fresh)
	}
}

// Guards against entries of removed organisations, which would accumulate without
// bound.
func TestRetain(t *testing.T) {
	b := budget.New()
	require.Equal(t, 10, takeAll(b, "a"))
	for range 200 {
		b.Deposit("b")
	}
	require.False(t, b.Take("a"), "spent")
	b.Retain(func(o string) bool { return o == "b" })
	require.True(t, b.Take("a"), "forgotten, it starts anew")
}

// Example shows the path of a request that failed and is sent again.
func Example() {
	b := budget.New()
	b.Deposit("acme")
	fmt.Println(b.Take("acme"))
	// Output: true
}
