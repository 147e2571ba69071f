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
	e := fleet.Endpoint{ID: "a", Address: "x:1", StartedMillis: 5}
	for _, c := range []struct {
		other fleet.Endpoint
		want  bool
	}{
		{fleet.Endpoint{ID: "a", Address: "x:1", StartedMillis: 5, State: fleet.Leaving}, true},
		{fleet.Endpoint{ID: "a", Address: "x:1"}, true},
		{fleet.Endpoint{ID: "a", Address: "x:1", StartedMillis: 6}, false},
		{fleet.Endpoint{ID: "a", Address: "x:2", StartedMillis: 5}, false},
		{fleet.Endpoint{ID: "b", Address: "x:1", StartedMillis: 5}, false},
	} {
		require.Equal(t, c.want, e.SameProcess(c.other), "%+v", c.other)
	}
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
