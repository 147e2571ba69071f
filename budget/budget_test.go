package budget_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"damasktrail.dev/budget"
)

// Guards against retries above a tenth of the fresh requests, in total and
// saved up, and against one organisation using another's.
func TestTake(t *testing.T) {
	for _, tt := range []struct{ fresh, want int }{{0, 0}, {9, 0}, {10, 1}, {99, 9}, {1000, 10}} {
		b := budget.New()
		for range tt.fresh {
			b.Fresh("a")
		}
		got := 0
		for b.Take("a") {
			got++
		}
		require.Equal(t, tt.want, got, "%d fresh", tt.fresh)
		require.False(t, b.Take("b"))
	}
}

// Guards against credit of organisations that are gone.
func TestRetain(t *testing.T) {
	b := budget.New()
	for range 10 {
		b.Fresh("a")
		b.Fresh("b")
	}
	b.Retain(func(o string) bool { return o == "a" })
	require.False(t, b.Take("b"))
	require.True(t, b.Take("a"))
}

// Example shows the path of a request that failed and is sent again.
func Example() {
	b := budget.New()
	for range 10 {
		b.Fresh("acme")
	}
	fmt.Println(b.Take("acme"), b.Take("acme"))
	// Output: true false
}
