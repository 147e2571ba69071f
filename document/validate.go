package document

import (
	"crypto/sha256"
	"net/http"
	"slices"
	"strings"
	"time"
	"unicode"

	"damasktrail.dev/internal/strict"
	"damasktrail.dev/set"
)

// Limits far above the values of any real document; they detect a wrong unit or a
// misplaced digit.
const (
	maxNameBytes     = 128
	maxDeadline      = 24 * time.Hour
	maxContextTokens = 100_000_000
	maxShare         = 1_000_000
	maxRatePerSecond = 1_000_000
	maxInflight      = 1_000_000
)

var methods = []string{
	http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut,
	http.MethodDelete, http.MethodPatch, http.MethodPost,
}

// top is the location of the document itself.
var top *strict.Location

// validator checks one document.
type validator struct {
	*strict.Problems
	document *Document
	tiers    set.Set[string]
	models   map[string]Model
	sets     map[string]Set
}

// validate checks everything but the syntax.
func (d *Document) validate(p *strict.Problems) {
	v := &validator{Problems: p, document: d}
	if d.Generation == 0 {
		v.Add(top.At("generation"), "must be at least 1")
	}
	policies := []string{PolicyRound, PolicyLeast, PolicyChoices, PolicyCost}
	v.checkChoice(top.At("policy"), d.Policy, policies)
	v.checkDomains()
	v.checkTiers()
	v.checkModels()
	v.checkSets()
	v.checkServices()
	v.checkOrganisations()
}

func (v *validator) checkChoice(l *strict.Location, value string, choices []string) {
	if !slices.Contains(choices, value) {
		v.Add(l, "%q is not one of %s", value, strings.Join(choices, ", "))
	}
}

// checkName checks the length and the characters of a name.
func (v *validator) checkName(l *strict.Location, name string) {
	switch {
	case name == "":
		v.Add(l, "must not be empty")
	case len(name) > maxNameBytes:
		v.Add(l, "has %d bytes, the limit is %d", len(name), maxNameBytes)
	case strings.TrimSpace(name) != name || strings.ContainsFunc(name, unprintable):
		v.Add(l, "%q has a control character or a space at its end", name)
	}
}

func unprintable(r rune) bool { return !unicode.IsPrint(r) }

func (v *validator) checkNames(l *strict.Location, names []string) {
	seen := make(set.Set[string], len(names))
	for i, n := range names {
		v.checkName(l.Element(i), n)
		if !seen.Add(n) {
			v.Add(l.Element(i), "%q is given twice", n)
		}
	}
}

func (v *validator) checkRange(l *strict.Location, value, low, high int) {
	if value < low || value > high {
		v.Add(l, "%d is not between %d and %d", value, low, high)
	}
}

// checkItems checks the form and the uniqueness of the names of a section and calls
// check for each item.
func checkItems[T item](v *validator, section, kind string, values []T, check func(l *strict.Location, value T)) {
	positions := make(map[string]int, len(values))
	root := top.At(section)
	for i, value := range values {
		l := root.Element(i)
		v.checkName(l.At("name"), value.key())
		if j, found := positions[value.key()]; found {
			v.Add(l.At("name"), "%s %q already exists as %s", kind, value.key(), root.Element(j))
		} else {
			positions[value.key()] = i
		}
		check(l, value)
	}
}

func (v *validator) checkDomains() {
	checkItems(v, "domains", "failure domain", v.document.Domains, func(l *strict.Location, d Domain) {
		v.checkName(l.At("region"), d.Region)
	})
}

func (v *validator) checkTiers() {
	tiers := v.document.Tiers
	root := top.At("tiers")
	if len(tiers) == 0 {
		v.Add(root, "at least one tier is needed")
	}
	if len(tiers) > MaxTiers {
		v.Add(root, "%d tiers exceed the limit of %d", len(tiers), MaxTiers)
	}
	v.tiers = set.Set[string]{}
	ranks := map[int]string{}
	checkItems(v, "tiers", "tier", tiers, func(l *strict.Location, t Tier) {
		v.tiers.Add(t.Name)
		v.checkRange(l.At("rank"), t.Rank, 0, len(tiers)-1)
		if other, found := ranks[t.Rank]; found {
			v.Add(l.At("rank"), "rank %d is that of tier %q", t.Rank, other)
		}
		ranks[t.Rank] = t.Name
		if t.Deadline <= 0 || t.Deadline > maxDeadline {
			v.Add(l.At("deadline"), "%s is not above zero and at most %s", t.Deadline, maxDeadline)
		}
	})
}

func (v *validator) checkModels() {
	v.models = make(map[string]Model, len(v.document.Models))
	checkItems(v, "models", "model", v.document.Models, func(l *strict.Location, m Model) {
		v.models[m.Name] = m
		v.checkRange(l.At("context"), m.Context, 1, maxContextTokens)
		v.checkNames(l.At("adapters"), m.Adapters)
		v.checkNames(l.At("versions"), m.Versions)
	})
}

func (v *validator) checkSets() {
	v.sets = make(map[string]Set, len(v.document.Sets))
	checkItems(v, "sets", "set", v.document.Sets, func(l *strict.Location, s Set) {
		v.sets[s.Name] = s
		switch s.Kind {
		case KindEngine:
			v.checkEngine(l, s)
		case KindService:
			if s.Model != "" || len(s.Adapters) > 0 || s.Version != "" || s.Role != "" || s.Fencing {
				v.Add(l, "a set of kind service has no model, adapters, version, role or fencing")
			}
			if _, found := v.models[s.Name]; found {
				v.Add(l.At("name"), "%q is also the name of a model", s.Name)
			}
		default:
			v.checkChoice(l.At("kind"), s.Kind, []string{KindEngine, KindService})
		}
	})
}

func (v *validator) checkEngine(l *strict.Location, s Set) {
	v.checkChoice(l.At("role"), s.Role, []string{RoleBoth, RolePrefill, RoleDecode})
	v.checkNames(l.At("adapters"), s.Adapters)
	m, found := v.models[s.Model]
	if !found {
		v.Add(l.At("model"), "model %q does not exist", s.Model)
		return
	}
	for i, a := range s.Adapters {
		if !slices.Contains(m.Adapters, a) {
			v.Add(l.At("adapters").Element(i), "model %q has no adapter %q", s.Model, a)
		}
	}
	if !slices.Contains(m.Versions, s.Version) && (s.Version != "" || len(m.Versions) > 0) {
		v.Add(l.At("version"), "model %q has no version %q", s.Model, s.Version)
	}
}

func (v *validator) checkServices() {
	checkItems(v, "services", "service", v.document.Services, func(l *strict.Location, s Service) {
		// The name is one segment of the request path.
		if strings.ContainsFunc(s.Name, invalidInSegment) {
			v.Add(l.At("name"), "%q has a character other than letters, digits, '.', '_' and '-'", s.Name)
		}
		// Admission floors and counters identify the target of a request, a model or
		// a service, by name.
		if _, found := v.models[s.Name]; found {
			v.Add(l.At("name"), "%q is also the name of a model", s.Name)
		}
		switch target, found := v.sets[s.Set]; {
		case !found:
			v.Add(l.At("set"), "set %q does not exist", s.Set)
		case target.Kind != KindService:
			v.Add(l.At("set"), "set %q is not of kind service", s.Set)
		}
		v.checkNames(l.At("idempotent"), s.Idempotent)
		for i, m := range s.Idempotent {
			v.checkChoice(l.At("idempotent").Element(i), m, methods)
		}
	})
}

func invalidInSegment(r rune) bool {
	return !strings.ContainsRune("ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789._-", r)
}

func (v *validator) checkOrganisations() {
	owners := make(map[[sha256.Size]byte]string, len(v.document.Organisations))
	checkItems(v, "organisations", "organisation", v.document.Organisations, func(l *strict.Location, o Organisation) {
		for i, k := range o.Keys {
			sum, ok := parseKeyDigest(k)
			if !ok {
				v.Add(l.At("keys").Element(i), `must be "sha256:" and 64 digits in lower-case hex`)
				continue
			}
			if owner, found := owners[sum]; found {
				v.Add(l.At("keys").Element(i), "key already belongs to organisation %q", owner)
			}
			owners[sum] = o.Name
		}
		if len(o.Tiers) == 0 {
			v.Add(l.At("tiers"), "at least one tier is needed")
		}
		v.checkNames(l.At("tiers"), o.Tiers)
		for i, t := range o.Tiers {
			if !v.tiers.Has(t) {
				v.Add(l.At("tiers").Element(i), "tier %q does not exist", t)
			}
		}
		v.checkRange(l.At("share"), o.Share, 1, maxShare)
		v.checkRange(l.At("inflight"), o.Inflight, 1, maxInflight)
		// The negated form also rejects NaN, which a difference could contain.
		if !(o.Rate > 0 && o.Rate <= maxRatePerSecond) {
			v.Add(l.At("rate"), "%v requests/s is not above 0 and at most %d", o.Rate, maxRatePerSecond)
		}
	})
}
