// Package routing implements the routing table of plain HTTP requests: which
// service a request goes to, who may send it and whether it may be retried. A
// [Table] is immutable; build one with [New].
package routing

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Kind determines whether the requests of a route may run more than once.
type Kind int

// The kinds of routes.
const (
	// Idempotent requests may run more than once.
	Idempotent Kind = iota
	// NonIdempotent requests run at most once.
	NonIdempotent
	// Streaming requests are answered by a stream of events. They may run again
	// only if the route's Resume is set.
	Streaming
)

// String returns the name of the kind as used in metrics.
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

// Target is a service and its share of the requests of a route.
type Target struct {
	// Service is the name of the service.
	Service string
	// Weight is above zero and relative to the other targets of the route.
	Weight float64
}

// Route is one entry of the table.
type Route struct {
	// Name is the operator's name for the route.
	Name string
	// Host has no port. Tables hold it in lower case.
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the maximum time that a caller waits; zero means no limit.
	Timeout time.Duration
	// Objective is the latency objective: the response time within which an
	// answer has its full value, for a stream the time to the first event.
	Objective time.Duration
	// Tier is the rank of the requests; 0 is the highest.
	Tier int
	// Attempts is the maximum number of endpoints that one request is sent to, at
	// least 1.
	Attempts int
	// Targets has at least one element.
	Targets []Target
	// Anonymous routes accept requests without a key.
	Anonymous bool
	// Resume allows another endpoint to continue a stream.
	Resume bool
	// Pause is the longest pause between two events of a stream with which it is in time;
	// zero when it is unknown.
	Pause time.Duration
	// Regions lists the regions in which requests may run; empty for all.
	Regions []string
}

// Repeatable reports whether a request may be sent again if it may already have
// run.
func (r Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resume
}

// Target selects a service by weight; draw is a random number in [0, 1).
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

// Service is a group of interchangeable endpoints.
type Service struct {
	Name string
	// Engine is set if the endpoints are model engines, which batch requests and
	// generate answers token by token.
	Engine bool
	// ColdPerSecond is the number of requests per second that an endpoint bears during its
	// cold start; zero if it has none.
	ColdPerSecond float64
	// ColdTime is the duration of a cold start.
	ColdTime time.Duration
}

// Organisation is a customer with its keys and quota.
type Organisation struct {
	Name string
	Keys []string
	// Tier replaces the tier of the route if HasTier is set.
	Tier    int
	HasTier bool
	// Rate is the quota per second and Burst the amount allowed at once, over all
	// entries; a rate of zero means no quota.
	Rate, Burst float64
	// CountsTokens makes the quota count tokens instead of requests.
	CountsTokens bool
	// UncountedTokens is the cost in tokens of a request without a token count.
	UncountedTokens float64
	// Regions lists the regions in which requests of the organisation may run; empty for all.
	Regions []string
}

// Limits bounds the requests of callers.
type Limits struct {
	// BodyBytes is the maximum size of a body in bytes; zero means no limit.
	BodyBytes int64
}

// Table is one version of the configuration. It is safe for concurrent use.
type Table struct {
	// Version increases with every change.
	Version uint64
	// Limits bounds the requests of callers.
	Limits Limits

	// hosts maps a host to its routes, longest prefix first.
	hosts         map[string][]Route
	services      map[string]Service
	organisations []Organisation
	// keys maps a key to the index of its organisation.
	keys map[string]int
}

// Error describes an invalid part of a configuration.
type Error struct {
	// Part is the kind of the part: route, service or organisation.
	Part string
	// Name is the name of the part.
	Name string
	// Detail describes the problem.
	Detail string
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s %q: %s", e.Part, e.Name, e.Detail)
}

// New returns a table of the given parts. Without a list of organisations (nil), requests need
// no keys; with an empty one there are no valid keys. The empty key is never valid, and no key
// of an organisation without a name is. It returns an [*Error] for the first
// invalid part.
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
			if k == "" || o.Name == "" {
				continue
			}
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
	case len(r.Targets) == 0 || slices.ContainsFunc(r.Targets, func(t Target) bool { return t.Service == "" }):
		return &Error{Part: "route", Name: r.Name, Detail: "names no service"}
	case r.Attempts < 1:
		return &Error{Part: "route", Name: r.Name, Detail: "allows no attempt"}
	}
	r.Host = strings.ToLower(r.Host)
	t.hosts[r.Host] = append(t.hosts[r.Host], r)
	return nil
}

// Route returns the route of the host with the longest prefix of path, the raw path of a
// request target. Paths are compared byte by byte: none is decoded or cleaned. The host
// may include a port.
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

// Routes returns all routes by host, those of a host in the order in which [Table.Route]
// compares them with a path.
func (t *Table) Routes() []Route {
	var res []Route
	for _, host := range slices.Sorted(maps.Keys(t.hosts)) {
		res = append(res, t.hosts[host]...)
	}
	return res
}

// Service returns the service with the name.
func (t *Table) Service(name string) (Service, bool) {
	s, found := t.services[name]
	return s, found
}

// Services returns all services in no particular order.
func (t *Table) Services() []Service { return slices.Collect(maps.Values(t.services)) }

// RequiresKeys reports whether requests need a key. They need none if there is no list of
// organisations. An empty list withdraws all keys.
func (t *Table) RequiresKeys() bool { return t.organisations != nil }

// Organisation returns the organisation that owns the key.
func (t *Table) Organisation(key string) (Organisation, bool) {
	i, found := t.keys[key]
	if !found {
		return Organisation{}, false
	}
	return t.organisations[i], true
}

// OrganisationByName returns the organisation with the name.
func (t *Table) OrganisationByName(name string) (Organisation, bool) {
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
