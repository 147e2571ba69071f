package tablecheck

import (
	"cmp"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"damasktrail.dev/routing"
)

// Compare describes what differs in the table next from the one in force: the configuration,
// then routes, services and organisations. A version with which gateways ignore the table is
// a finding and is returned by [CheckVersion] only.
func Compare(inForce, next *routing.Table) []Finding {
	c := comparer{old: inForce, next: next}
	c.configuration()
	c.routes()
	c.services()
	c.organisations()
	return c.differences
}

// CheckVersion returns a finding if gateways that hold the table in force ignore the table
// next although it differs: they use it only if its version is higher.
func CheckVersion(inForce, next *routing.Table) []Finding {
	if next.Version > inForce.Version || next.Version == inForce.Version && len(Compare(inForce, next)) == 0 {
		return nil
	}
	return []Finding{{Kind: KindVersion, Part: partConfiguration, Text: fmt.Sprintf(
		"Version %d is not higher than version %d in force, so that gateways ignore it.", next.Version, inForce.Version)}}
}

// comparer collects the differences of two tables.
type comparer struct {
	old, next   *routing.Table
	differences []Finding
}

func (c *comparer) add(kind Kind, part, name, format string, args ...any) {
	c.differences = append(c.differences, Finding{Kind: kind, Part: part, Name: name, Text: fmt.Sprintf(format, args...)})
}

func (c *comparer) configuration() {
	var changes changes
	changes.add("version", count(c.old.Version), count(c.next.Version))
	changes.add("largest body in bytes", count(c.old.Limits.BodyBytes), count(c.next.Limits.BodyBytes))
	c.changed(partConfiguration, "", changes)
	needed, needs := c.old.RequiresKeys(), c.next.RequiresKeys()
	switch {
	case needed && !needs:
		c.add(KindOpened, partConfiguration, "", "The list of organisations is absent, so that requests no longer need a key.")
	case !needed && needs:
		c.add(KindWithdrawal, partConfiguration, "", "There is a list of organisations now, so that requests without a key are refused except on anonymous routes.")
	}
	if needs && len(c.next.Organisations()) == 0 && len(c.old.Organisations()) > 0 {
		c.add(KindWithdrawal, partConfiguration, "", "The last organisation is removed, so that no key is valid.")
	}
}

// changed adds one difference for a part with changes.
func (c *comparer) changed(part, name string, changes changes) {
	if len(changes) > 0 {
		c.add(KindChanged, part, name, "It changes: %s.", strings.Join(changes, "; "))
	}
}

// changes describes the changed fields of one part.
type changes []string

func (c *changes) add(field, old, next string) {
	if old != next {
		*c = append(*c, fmt.Sprintf("%s from %s to %s", field, old, next))
	}
}

func (c *comparer) routes() {
	old, next := routesByPlace(c.old), routesByPlace(c.next)
	for _, key := range union(old, next) {
		a, before := old[key]
		b, after := next[key]
		switch {
		case !before:
			c.add(KindAdded, partRoute, b.Name, "It is added for %s.", key)
		case !after:
			c.add(KindRemoved, partRoute, a.Name, "It is removed from %s.", key)
		case !reflect.DeepEqual(a, b):
			c.changed(partRoute, b.Name, routeChanges(a, b))
		}
	}
}

// routesByPlace returns the routes that requests can select, by host and prefix.
func routesByPlace(t *routing.Table) map[string]routing.Route {
	res := map[string]routing.Route{}
	for _, r := range t.Routes() {
		if _, found := res[place(r)]; !found {
			res[place(r)] = r
		}
	}
	return res
}

func routeChanges(a, b routing.Route) (res changes) {
	res.add("name", strconv.Quote(a.Name), strconv.Quote(b.Name))
	res.add("type", a.Kind.String(), b.Kind.String())
	res.add("timeout", duration(a.Timeout), duration(b.Timeout))
	res.add("latency objective", duration(a.Objective), duration(b.Objective))
	res.add("priority", strconv.Itoa(a.Tier), strconv.Itoa(b.Tier))
	res.add("attempts", strconv.Itoa(a.Attempts), strconv.Itoa(b.Attempts))
	res.add("services", targets(a), targets(b))
	res.add("anonymous", strconv.FormatBool(a.Anonymous), strconv.FormatBool(b.Anonymous))
	res.add("resumption of streams", strconv.FormatBool(a.Resume), strconv.FormatBool(b.Resume))
	res.add("allowed pause", duration(a.Pause), duration(b.Pause))
	res.add("regions", quoted(a.Regions), quoted(b.Regions))
	return res
}

func (c *comparer) services() {
	old, next := byName(sortedServices(c.old)), byName(sortedServices(c.next))
	for _, name := range union(old, next) {
		a, before := old[name]
		b, after := next[name]
		switch {
		case !before:
			c.add(KindAdded, partService, name, "It is added.")
		case !after:
			c.removedService(name)
		case a != b:
			var changes changes
			changes.add("model engine", strconv.FormatBool(a.Engine), strconv.FormatBool(b.Engine))
			changes.add("cold rate per second", number(a.ColdPerSecond), number(b.ColdPerSecond))
			changes.add("cold start", duration(a.ColdTime), duration(b.ColdTime))
			c.changed(partService, name, changes)
		}
	}
}

func (c *comparer) removedService(name string) {
	var routes []string
	for _, r := range c.next.Routes() {
		if slices.ContainsFunc(r.Targets, func(t routing.Target) bool { return t.Service == name }) {
			routes = append(routes, r.Name)
		}
	}
	if len(routes) > 0 {
		c.add(KindWithdrawal, partService, name, "It is removed, but still named by %s %s.", plural(len(routes), partRoute), quoted(routes))
		return
	}
	c.add(KindRemoved, partService, name, "It is removed.")
}

func (c *comparer) organisations() {
	old, next := organisationsByName(c.old), organisationsByName(c.next)
	for _, name := range union(old, next) {
		a, before := old[name]
		b, after := next[name]
		switch {
		case !before:
			c.add(KindAdded, partOrganisation, name, "It is added with %s.", amount(len(validKeys(b)), "key"))
		case !after:
			c.add(KindRemoved, partOrganisation, name, "It is removed with %s.", amount(len(validKeys(a)), "key"))
		default:
			c.changed(partOrganisation, name, organisationChanges(a, b))
			c.keys(name, validKeys(a), validKeys(b))
		}
	}
}

// keys reports the keys that an organisation gets and loses by their number.
func (c *comparer) keys(name string, old, next []string) {
	added, removed := without(next, old), without(old, next)
	if len(added) > 0 {
		c.add(KindAdded, partOrganisation, name, "It gets %s.", amount(len(added), "key"))
	}
	switch {
	case len(removed) > 0 && len(next) == 0:
		c.add(KindWithdrawal, partOrganisation, name, "It loses all its keys (%s), so that it cannot send requests.", amount(len(removed), "key"))
	case len(removed) > 0:
		c.add(KindRemoved, partOrganisation, name, "It loses %s and keeps %d.", amount(len(removed), "key"), len(next)-len(added))
	}
}

func organisationChanges(a, b routing.Organisation) (res changes) {
	res.add("priority", tier(a), tier(b))
	res.add("rate per second", number(a.Rate), number(b.Rate))
	res.add("burst", number(a.Burst), number(b.Burst))
	res.add("unit", unit(a), unit(b))
	res.add("tokens of an uncounted request", number(a.UncountedTokens), number(b.UncountedTokens))
	res.add("regions", quoted(a.Regions), quoted(b.Regions))
	return res
}

// organisationsByName returns the organisations; one that is listed twice has the keys of
// all and the rest of the last.
func organisationsByName(t *routing.Table) map[string]routing.Organisation {
	res := map[string]routing.Organisation{}
	for _, o := range t.Organisations() {
		o.Keys = slices.Concat(res[o.Name].Keys, o.Keys)
		res[o.Name] = o
	}
	return res
}

// validKeys returns the keys of an organisation that callers can use, each once.
func validKeys(o routing.Organisation) []string {
	if o.Name == "" {
		return nil
	}
	res := slices.DeleteFunc(slices.Clone(o.Keys), func(k string) bool { return k == "" })
	slices.Sort(res)
	return slices.Compact(res)
}

// without returns the elements of a that are not in b.
func without(a, b []string) []string {
	return slices.DeleteFunc(slices.Clone(a), func(s string) bool { return slices.Contains(b, s) })
}

func sortedServices(t *routing.Table) []routing.Service {
	return slices.SortedFunc(slices.Values(t.Services()), func(a, b routing.Service) int { return cmp.Compare(a.Name, b.Name) })
}

func byName(services []routing.Service) map[string]routing.Service {
	res := map[string]routing.Service{}
	for _, s := range services {
		res[s.Name] = s
	}
	return res
}

// union returns the sorted keys of both maps.
func union[V any](a, b map[string]V) []string {
	res := slices.AppendSeq(slices.Collect(maps.Keys(a)), maps.Keys(b))
	slices.Sort(res)
	return slices.Compact(res)
}

// targets describes the services of a route with their weights.
func targets(r routing.Route) string {
	parts := make([]string, len(r.Targets))
	for i, t := range r.Targets {
		parts[i] = fmt.Sprintf("%q with weight %s", t.Service, number(t.Weight))
	}
	return strings.Join(parts, ", ")
}

// quoted returns names as a list, none as such.
func quoted(names []string) string {
	if len(names) == 0 {
		return "none"
	}
	res := make([]string, len(names))
	for i, n := range names {
		res[i] = strconv.Quote(n)
	}
	return strings.Join(res, ", ")
}

func duration(d time.Duration) string {
	if d == 0 {
		return "none"
	}
	return d.String()
}

func tier(o routing.Organisation) string {
	if !o.HasTier {
		return "that of the route"
	}
	return strconv.Itoa(o.Tier)
}

func unit(o routing.Organisation) string {
	if o.CountsTokens {
		return "tokens"
	}
	return "requests"
}

func number(x float64) string { return strconv.FormatFloat(x, 'f', -1, 64) }

func count[N int64 | uint64](n N) string { return fmt.Sprint(n) }

// amount returns a number with its unit in the singular or plural.
func amount[N int | float64](n N, unit string) string {
	return number(float64(n)) + " " + plural(n, unit)
}

func plural[N int | float64](n N, unit string) string {
	if n == 1 {
		return unit
	}
	return unit + "s"
}
