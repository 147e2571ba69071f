// Package routing is the table that says which service a plain HTTP request goes
// to, who may send it and what may be repeated. A [Table] is immutable; build
// one with [New].
package routing

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Kind says what may be repeated of a route's requests.
type Kind int

// The kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Streaming requests are answered by a stream of events. They may run again
	// only where the route's Resume is set.
	Streaming
)

// String returns the name of the kind in metrics.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case NonIdempotent:
		return "nonidempotent"
	case Streaming:
		return "streaming"
	}
	return fmt.Sprintf("Kind(%d)", int(k))
}

// Target is a service with its share of a route's requests.
type Target struct {
	// Service is a service's name.
	Service string
	// Weight is relative to the other targets of the route, above zero.
	Weight float64
}

// Route is one entry of the table.
type Route struct {
	// Name is the operator's name for the route.
	Name string
	// Host is lower case and without a port.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout bounds how long a caller is kept waiting; zero means no bound.
	Timeout time.Duration
	// Objective is the response time, to the first event of a stream, within
	// which an answer has its full use.
	Objective time.Duration
	// Tier is the rank; 0 is the highest.
	Tier int
	// Attempts is the number of endpoints that one request may be sent to, at
	// least 1.
	Attempts int
	// Targets has at least one element.
	Targets []Target
	// Anonymous routes need no key.
	Anonymous bool
	// Resume says that a stream may go on at another endpoint.
	Resume bool
}

// Repeatable reports whether a request may run again after it may have run.
func (r Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resume
}

// Target returns the service for a draw from [0, 1).
func (r Route) Target(draw float64) string {
	var total float64
	for _, t := range r.Targets {
		total += t.Weight
	}
	rest := draw * total
	for _, t := range r.Targets {
		if rest < t.Weight {
			return t.Service
		}
		rest -= t.Weight
	}
	return r.Targets[len(r.Targets)-1].Service
}

// Service is a group of equal endpoints.
type Service struct {
	Name string
	// Engine says that the endpoints are model engines, which answer a request
	// token by token and batch requests.
	Engine bool
}

// Organisation is a customer with its keys and quota.
type Organisation struct {
	Name string
	Keys []string
	// Tier replaces the tier of the route when Tiered is set.
	Tier   int
	Tiered bool
	// Rate and Burst are the quota, per second and at once, over all entries; a
	// rate of zero means no quota.
	Rate, Burst float64
	// Tokens says that the quota counts tokens, otherwise requests.
	Tokens bool
	// Uncounted is what a request without a token count costs.
	Uncounted float64
}

// Limits bound what a caller may send.
type Limits struct {
	// Body is in bytes; zero means no bound.
	Body int64
}

// Table is one version of the configuration. It is safe for use by several
// goroutines.
type Table struct {
	// Version grows with every change.
	Version uint64
	// Limits bound callers.
	Limits Limits

	// hosts has the routes of a host with the longest prefix first.
	hosts         map[string][]Route
	services      map[string]Service
	organisations []Organisation
	keys          map[string]int
}

// Error says what is wrong with a configuration.
type Error struct {
	// Part is route, service or organisation.
	Part string
	// Name is its name.
	Name string
	// Detail is what is wrong.
	Detail string
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s %q: %s", e.Part, e.Name, e.Detail)
}

// New returns the table of these parts. It returns an [*Error] for the first
// part that cannot be used.
func New(version uint64, limits Limits, routes []Route, services []Service, organisations []Organisation) (*Table, error) {
	res := &Table{
		Version:       version,
		Limits:        limits,
		hosts:         map[string][]Route{},
		services:      map[string]Service{},
		organisations: organisations,
		keys:          map[string]int{},
	}
	for _, s := range services {
		res.services[s.Name] = s
	}
	for _, r := range routes {
		if err := res.add(r); err != nil {
			return nil, err
		}
	}
	for _, list := range res.hosts {
		slices.SortStableFunc(list, func(a, b Route) int { return cmp.Compare(len(b.Prefix), len(a.Prefix)) })
	}
	for i, o := range organisations {
		for _, k := range o.Keys {
			if other, found := res.keys[k]; found && other != i {
				return nil, &Error{Part: "organisation", Name: o.Name, Detail: "shares a key with " + organisations[other].Name}
			}
			res.keys[k] = i
		}
	}
	return res, nil
}

func (t *Table) add(r Route) error {
	switch {
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return &Error{Part: "route", Name: r.Name, Detail: fmt.Sprintf("prefix %q does not begin and end with a slash", r.Prefix)}
	case len(r.Targets) == 0:
		return &Error{Part: "route", Name: r.Name, Detail: "names no service"}
	case r.Attempts < 1:
		return &Error{Part: "route", Name: r.Name, Detail: "allows no attempt"}
	}
	r.Host = strings.ToLower(r.Host)
	t.hosts[r.Host] = append(t.hosts[r.Host], r)
	return nil
}

// Route returns the route of a request: of those of its host the one with the
// longest prefix of the path. The host may carry a port.
func (t *Table) Route(host, path string) (Route, bool) {
	name, _, found := strings.Cut(host, ":")
	if !found {
		name = host
	}
	for _, r := range t.hosts[strings.ToLower(name)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return Route{}, false
}

// Service returns the service of that name.
func (t *Table) Service(name string) (Service, bool) {
	s, found := t.services[name]
	return s, found
}

// Keyed reports whether requests carry keys.
func (t *Table) Keyed() bool { return len(t.organisations) > 0 }

// Organisation returns the organisation that holds the key.
func (t *Table) Organisation(key string) (Organisation, bool) {
	i, found := t.keys[key]
	if !found {
		return Organisation{}, false
	}
	return t.organisations[i], true
}

// Named returns the organisation of that name.
func (t *Table) Named(name string) (Organisation, bool) {
	i := slices.IndexFunc(t.organisations, func(o Organisation) bool { return o.Name == name })
	if i < 0 {
		return Organisation{}, false
	}
	return t.organisations[i], true
}

// Organisations returns all organisations; the slice must not be changed.
func (t *Table) Organisations() []Organisation { return t.organisations }

// Counts returns the number of routes, services and keys, for logs.
func (t *Table) Counts() (routes, services, keys int) {
	for _, list := range t.hosts {
		routes += len(list)
	}
	return routes, len(t.services), len(t.keys)
}
