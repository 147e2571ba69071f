package fleet_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"damasktrail.dev/fleet"
)

// Guards against With and Without modifying the list that they copy.
func TestListIsImmutable(t *testing.T) {
	one := fleet.Of(fleet.Endpoint{ID: "a"})
	two := one.With(fleet.Endpoint{ID: "b"})
	three := two.Without("a")
	require.Equal(t, []int{1, 2, 1}, []int{one.Len(), two.Len(), three.Len()})
	_, found := two.Find("a")
	require.True(t, found)
	require.Equal(t, 1, fleet.List{}.With(fleet.Endpoint{ID: "a"}).Len())
}

// Guards against mistaking a restarted endpoint, or another endpoint with the
// same address, for the previous one.
func TestSame(t *testing.T) {
	e := fleet.Endpoint{ID: "a", Service: "s", Address: "x:1", Domain: "d", Slots: 1, StartedMillis: 5}
	unknown := e
	unknown.StartedMillis = 0
	change := func(e fleet.Endpoint, f func(e *fleet.Endpoint)) fleet.Endpoint {
		f(&e)
		return e
	}
	for _, of := range []fleet.Endpoint{e, unknown} {
		for _, c := range []struct {
			other fleet.Endpoint
			want  bool
		}{
			{of, true},
			{change(of, func(e *fleet.Endpoint) { e.State = fleet.Leaving }), true},
			{change(of, func(e *fleet.Endpoint) { e.Slots = 2 }), true},
			{change(of, func(e *fleet.Endpoint) { e.StartedMillis = 6 }), false},
			{change(of, func(e *fleet.Endpoint) { e.Address = "x:2" }), false},
			{change(of, func(e *fleet.Endpoint) { e.ID = "b" }), false},
			{change(of, func(e *fleet.Endpoint) { e.Service = "t" }), false},
			{change(of, func(e *fleet.Endpoint) { e.Domain = "f" }), false},
		} {
			require.Equal(t, c.want, of.SameProcess(c.other), "%+v", c.other)
			require.Equal(t, c.want, c.other.SameProcess(of), "%+v", c.other)
		}
	}
	require.False(t, e.SameProcess(unknown), "a start that becomes unknown")
	require.False(t, unknown.SameProcess(e), "a start that becomes known")
}

// Example derives a changed list.
func Example() {
	l := fleet.Of(fleet.Endpoint{ID: "b"}, fleet.Endpoint{ID: "a"})
	for _, e := range l.Without("b").With(fleet.Endpoint{ID: "c"}).All() {
		fmt.Println(e.ID)
	}
	// Output:
	// a
	// c
}
