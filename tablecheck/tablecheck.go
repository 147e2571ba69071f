// Package tablecheck finds the entries of a routing table that cannot work, and describes
// what differs between two tables. It reads no files and no network. Start from [Check] and
// [Compare].
package tablecheck

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"damasktrail.dev/budget"
	"damasktrail.dev/routing"
)

// Kind is the kind of a finding or a difference.
type Kind string

// The kinds of findings.
const (
	// KindDecode is a configuration that gateways cannot decode.
	KindDecode Kind = "decode"
	// KindUnreachable is a route that no request matches or no endpoint can serve.
	KindUnreachable Kind = "unreachable"
	// KindUnused is a service that no route sends requests to.
	KindUnused Kind = "unused"
	// KindUnknown is a service that a route names and the configuration does not list.
	KindUnknown Kind = "unknown"
	// KindNoKeys is an organisation without a valid key.
	KindNoKeys Kind = "no_keys"
	// KindDuplicate is an organisation that is listed twice.
	KindDuplicate Kind = "duplicate"
	// KindContradiction is two limits of which one makes the other ineffective.
	KindContradiction Kind = "contradiction"
	// KindVersion is a version that makes gateways ignore the configuration.
	KindVersion Kind = "version"
)

// The kinds of differences.
const (
	KindAdded   Kind = "added"
	KindRemoved Kind = "removed"
	KindChanged Kind = "changed"
	// KindWithdrawal is a removal that ends service for callers.
	KindWithdrawal Kind = "withdrawal"
	// KindOpened is a change after which requests need no key.
	KindOpened Kind = "opened"
)

// Parts of a configuration, as in [routing.Error].
const (
	partConfiguration = "configuration"
	partRoute         = "route"
	partService       = "service"
	partOrganisation  = "organisation"
)

// Finding is one finding or difference. It never contains a key of an organisation.
type Finding struct {
	Kind Kind `json:"kind"`
	// Part is configuration, route, service or organisation.
	Part string `json:"part"`
	// Name is the operator's name of the part; empty for the configuration.
	Name string `json:"name,omitempty"`
	// Text is one sentence.
	Text string `json:"text"`
}

// String returns the finding as one line.
func (f Finding) String() string {
	if f.Name == "" {
		return fmt.Sprintf("%s: %s: %s", f.Kind, f.Part, f.Text)
	}
	return fmt.Sprintf("%s: %s %q: %s", f.Kind, f.Part, f.Name, f.Text)
}

// Settings are the settings of a deployment with which a table is checked.
type Settings struct {
	// Regions maps each failure domain to its region.
	Regions map[string]string
	// MemoryBytes is the memory that the settings allow a gateway; zero if it is unknown.
	MemoryBytes int64
	// RetryRatio and RetrySlack bound the requests that are sent again, as in
	// [budget.NewShare].
	RetryRatio, RetrySlack float64
}

// maxBodyShare is the divisor of the memory that yields the largest body limit that is not
// reported. The body, its copy for a retry and the response take several times its size.
const maxBodyShare = 4

// Undecodable returns the finding for the error of the decoder for the given bytes.
func Undecodable(data []byte, err error) Finding {
	res := Finding{Kind: KindDecode, Part: partConfiguration, Text: sentence(err.Error())}
	// The decoder reads in parts, so the offsets of its errors are not those of the text.
	if e, ok := errors.AsType[*json.SyntaxError](json.Unmarshal(data, new(json.RawMessage))); ok {
		before := data[:max(e.Offset-1, 0)]
		line, column := 1+bytes.Count(before, []byte("\n")), len(before)-bytes.LastIndexByte(before, '\n')
		res.Text = sentence(fmt.Sprintf("line %d, column %d: %v", line, column, e))
	}
	if e, ok := errors.AsType[*routing.Error](err); ok {
		res.Part, res.Name, res.Text = e.Part, e.Name, sentence(e.Detail)
	}
	return res
}

func sentence(text string) string { return strings.TrimSuffix(text, ".") + "." }

// Check returns the findings of a table: of the configuration, then by route, service and
// organisation. Checks that need settings are left out if s is nil.
func Check(t *routing.Table, s *Settings) []Finding {
	c := checker{table: t, settings: s}
	c.configuration()
	c.routes()
	c.services()
	c.organisations()
	return c.findings
}

// checker collects the findings of one table.
type checker struct {
	table    *routing.Table
	settings *Settings
	findings []Finding
}

func (c *checker) add(kind Kind, part, name, format string, args ...any) {
	c.findings = append(c.findings, Finding{Kind: kind, Part: part, Name: name, Text: fmt.Sprintf(format, args...)})
}

func (c *checker) configuration() {
	body := c.table.Limits.BodyBytes
	if c.settings != nil && c.settings.MemoryBytes > 0 && body > c.settings.MemoryBytes/maxBodyShare {
		c.add(KindContradiction, partConfiguration, "", "The limit of %d bytes for a body is above a quarter of the memory of %d bytes in the settings.", body, c.settings.MemoryBytes)
	}
}

func (c *checker) routes() {
	first := map[string]string{}
	for _, r := range c.table.Routes() {
		if other, found := first[place(r)]; found {
			c.add(KindUnreachable, partRoute, r.Name, "No request matches it, because route %q has the same host and prefix %s.", other, place(r))
		} else {
			first[place(r)] = r.Name
		}
		if strings.Contains(r.Host, ":") {
			c.add(KindUnreachable, partRoute, r.Name, "No request matches it, because hosts are compared without a port and its host is %q.", r.Host)
		}
		c.regions(partRoute, r.Name, r.Regions)
		c.targets(r)
		c.limits(r)
	}
}

// place returns the host and the prefix, by which requests select a route.
func place(r routing.Route) string { return r.Host + r.Prefix }

// regions reports a list of regions in which there is no failure domain.
func (c *checker) regions(part, name string, regions []string) {
	if c.settings == nil || len(regions) == 0 {
		return
	}
	for _, region := range c.settings.Regions {
		if region != "" && slices.Contains(regions, region) {
			return
		}
	}
	c.add(KindUnreachable, part, name, "No endpoint may serve it, because the settings know no failure domain in %s.", quoted(regions))
}

func (c *checker) targets(r routing.Route) {
	var seen []string
	for _, t := range r.Targets {
		if _, found := c.table.Service(t.Service); !found && !slices.Contains(seen, t.Service) {
			c.add(KindUnknown, partRoute, r.Name, "It names the service %q, which is not listed.", t.Service)
		}
		seen = append(seen, t.Service)
	}
}

// limits reports limits of a route that contradict each other.
func (c *checker) limits(r routing.Route) {
	if r.Timeout > 0 && r.Timeout < r.Objective {
		c.add(KindContradiction, partRoute, r.Name, "The timeout of %v is below the latency objective of %v.", r.Timeout, r.Objective)
	}
	if r.Timeout > 0 && r.Pause > r.Timeout {
		c.add(KindContradiction, partRoute, r.Name, "The allowed pause of %v between events is longer than the timeout of %v.", r.Pause, r.Timeout)
	}
	if r.Attempts > 1 && !r.Repeatable() {
		c.add(KindContradiction, partRoute, r.Name, "It allows %d attempts, but its requests may not be repeated, so that only those that an endpoint did not run are sent again.", r.Attempts)
	}
	if s := c.settings; r.Attempts > 1 && s != nil && !budget.AllowsRetry(s.RetryRatio, s.RetrySlack) {
		c.add(KindContradiction, partRoute, r.Name, "It allows %d attempts, but the retry ratio of %s and the slack of %s in the settings never allow a second one.", r.Attempts, number(s.RetryRatio), number(s.RetrySlack))
	}
}

func (c *checker) services() {
	named := map[string]bool{}
	for _, r := range c.table.Routes() {
		for _, t := range r.Targets {
			named[t.Service] = true
		}
	}
	for _, s := range sortedServices(c.table) {
		if !named[s.Name] {
			c.add(KindUnused, partService, s.Name, "No route sends requests to it.")
		}
	}
}

func (c *checker) organisations() {
	seen := map[string]bool{}
	for _, o := range c.table.Organisations() {
		if seen[o.Name] {
			c.add(KindDuplicate, partOrganisation, o.Name, "It is listed more than once, and its quota is that of the last one.")
		}
		seen[o.Name] = true
		if len(validKeys(o)) == 0 {
			c.add(KindNoKeys, partOrganisation, o.Name, "It has no valid key, so that it cannot send requests.")
		}
		c.regions(partOrganisation, o.Name, o.Regions)
		c.quota(o)
	}
}

// quota reports a quota that admits an uncounted request only when it is full.
func (c *checker) quota(o routing.Organisation) {
	cost, unit := 1.0, "request"
	if o.CountsTokens {
		cost, unit = o.UncountedTokens, "token"
	}
	if o.Rate > 0 && o.Burst < cost {
		c.add(KindContradiction, partOrganisation, o.Name, "The burst of %s is below the cost of one request without a token count, %s.", amount(o.Burst, unit), amount(cost, unit))
	}
}
