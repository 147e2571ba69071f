package routing_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"damasktrail.dev/routing"
)

func route(name, host, prefix string) routing.Route {
	return routing.Route{Name: name, Host: host, Prefix: prefix, Attempts: 1, Targets: []routing.Target{{Service: "s", Weight: 1}}}
}

func table(t *testing.T, routes ...routing.Route) *routing.Table {
	t.Helper()
	res, err := routing.New(1, routing.Limits{}, routes, []routing.Service{{Name: "s"}}, []routing.Organisation{
		{Name: "a", Keys: []string{"k1", "k2"}}, {Name: "b", Keys: []string{"k3"}},
	})
	require.NoError(t, err)
	return res
}

// Guards against selecting a route with a shorter prefix or of another host.
func TestRoute(t *testing.T) {
	tab := table(t, route("short", "h.example", "/a/"), route("long", "H.example", "/a/b/"), route("other", "i.example", "/"))
	for _, c := range []struct{ host, path, want string }{
		{"h.example", "/a/x", "short"},
		{"h.example", "/a/b/x", "long"},
		{"h.example", "/a/b/", "long"},
		{"h.example", "/a/b", "short"},
		{"H.EXAMPLE:80", "/a/b/x", "long"},
		{"i.example", "/a/b/x", "other"},
		{"h.example", "/a", ""},
		{"h.example", "/", ""},
		{"j.example", "/a/x", ""},
	} {
		got, found := tab.Route(c.host, c.path)
		require.Equal(t, c.want != "", found, "%s%s", c.host, c.path)
		require.Equal(t, c.want, got.Name, "%s%s", c.host, c.path)
	}
}

// Guards against returning the wrong organisation for a key, and against a key
// that belongs to two organisations.
func TestOrganisation(t *testing.T) {
	tab := table(t)
	o, found := tab.Organisation("k2")
	require.True(t, found)
	require.Equal(t, "a", o.Name)
	_, found = tab.Organisation("")
	require.False(t, found)
	_, err := routing.New(1, routing.Limits{}, nil, nil, []routing.Organisation{{Name: "a", Keys: []string{"k"}}, {Name: "b", Keys: []string{"k"}}})
	require.EqualError(t, err, `organisation "b": shares a key with a`)
}

// Guards against accepting an invalid route.
func TestBadRoutes(t *testing.T) {
	for _, c := range []struct {
		change func(*routing.Route)
		want   string
	}{
		{func(r *routing.Route) { r.Prefix = "/a" }, `route "r": prefix "/a" does not begin and end with a slash`},
		{func(r *routing.Route) { r.Targets = nil }, `route "r": names no service`},
		{func(r *routing.Route) { r.Attempts = 0 }, `route "r": allows no attempt`},
	} {
		r := route("r", "h", "/a/")
		c.change(&r)
		_, err := routing.New(1, routing.Limits{}, []routing.Route{r}, nil, nil)
		require.EqualError(t, err, c.want)
	}
}

// Guards against splitting requests in other proportions than the weights.
func TestTarget(t *testing.T) {
	r := routing.Route{Targets: []routing.Target{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	for _, c := range []struct {
		draw float64
		want string
	}{{0, "a"}, {0.89, "a"}, {0.91, "b"}, {0.9999, "b"}, {1, "b"}} {
		require.Equal(t, c.want, r.Target(c.draw), "%v", c.draw)
	}
}

// Guards against repeating a request that may run at most once.
func TestRepeatable(t *testing.T) {
	require.True(t, routing.Route{Kind: routing.Idempotent}.Repeatable())
	require.False(t, routing.Route{Kind: routing.NonIdempotent}.Repeatable())
	require.False(t, routing.Route{Kind: routing.NonIdempotent, Resume: true}.Repeatable())
	require.False(t, routing.Route{Kind: routing.Streaming}.Repeatable())
	require.True(t, routing.Route{Kind: routing.Streaming, Resume: true}.Repeatable())
}

// Example routes a request.
func Example() {
	tab, _ := routing.New(1, routing.Limits{}, []routing.Route{{
		Name: "r", Host: "fair.example", Prefix: "/letters/", Attempts: 1,
		Targets: []routing.Target{{Service: "dossier", Weight: 1}},
	}}, nil, nil)
	r, found := tab.Route("fair.example", "/letters/7")
	fmt.Println(r.Target(0.5), found)
	// Output: dossier true
}
