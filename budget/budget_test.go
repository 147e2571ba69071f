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
	for _, tt := range []struct{ fresh, want int }{{0, 1}, {9, 1}, {10, 2}, {89, 9}, {1000, 10}} {
		b := budget.New()
		for range tt.fresh {
			b.Fresh("a")
		}
		got := 0
		for b.Take("a") {
			got++
		}
		require.Equal(t, tt.want, got, "%d fresh", tt.fresh)
		require.True(t, b.Take("b"), "b has its first retry")
		require.False(t, b.Take("b"))
	}
}

// Guards against retries that many organisations saved up and release at once,
// as after the loss of a region.
func TestTotal(t *testing.T) {
	for _, tt := range []struct{ organisations, fresh, want int }{{2200, 0, 10}, {2200, 1, 100}, {50, 1, 15}} {
		b := budget.New()
		got := 0
		for o := range tt.organisations {
			for range tt.fresh {
				b.Fresh(fmt.Sprint(o))
			}
		}
		for o := range tt.organisations {
			for b.Take(fmt.Sprint(o)) {
				got++
			}
		}
		require.Equal(t, tt.want, got, "%d organisations with %d fresh", tt.organisations, tt.fresh)
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
	require.True(t, b.Take("b"), "only the first retry is left")
	require.False(t, b.Take("b"))
	require.True(t, b.Take("a"))
	require.True(t, b.Take("a"))
}

// Example shows the path of a request that failed and is sent again.
func Example() {
	b := budget.New()
	for range 10 {
		b.Fresh("acme")
	}
	fmt.Println(b.Take("acme"), b.Take("acme"), b.Take("acme"))
	// Output: true true false
}
