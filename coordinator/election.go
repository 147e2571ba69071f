package coordinator

import (
	"cmp"
	"hash/fnv"
	"io"
	"slices"
)

const (
	// maxEqualEntries is the size up to which every entry of a fleet is a
	// coordinator: so few can tell each other of each slot.
	maxEqualEntries = 6
	// entriesPerCoordinator is the number of entries of a failure domain for each of
	// its coordinators.
	entriesPerCoordinator = 24
)

// Member is a live entry that can be elected.
type Member struct {
	Name string
	// Domain is the failure domain.
	Domain string
	// Millicores is the part of a processor that the entry may use, in thousandths.
	Millicores int
}

// Election is the set of coordinators that follows from the members of a fleet. All
// entries that know the same members elect the same coordinators. It is immutable;
// the zero value has no members.
type Election struct {
	// ranking has the members, the preferred coordinators of their domain first.
	ranking []Member
	// coordinators and standbys have the names of elected members. A standby takes
	// the place of a coordinator of its domain that is lost.
	coordinators, standbys map[string]bool
	equal                  bool
}

// Elect returns the election of the members, whose names are unique. Each failure
// domain gets coordinators of its own, the members with most processor time first.
func Elect(members []Member) Election {
	res := Election{ranking: slices.Clone(members), coordinators: map[string]bool{}, standbys: map[string]bool{}, equal: len(members) <= maxEqualEntries}
	slices.SortFunc(res.ranking, func(a, b Member) int {
		return cmp.Or(cmp.Compare(b.Millicores, a.Millicores), cmp.Compare(a.Name, b.Name))
	})
	size := map[string]int{}
	for _, m := range members {
		size[m.Domain]++
	}
	ranked := map[string]int{}
	for _, m := range res.ranking {
		seats := (size[m.Domain] + entriesPerCoordinator - 1) / entriesPerCoordinator
		switch rank := ranked[m.Domain]; {
		case res.equal || rank < seats:
			res.coordinators[m.Name] = true
		case rank == seats:
			res.standbys[m.Name] = true
		}
		ranked[m.Domain]++
	}
	return res
}

// IsEqual reports whether the fleet is so small that every member is a coordinator.
func (e Election) IsEqual() bool { return e.equal }

// IsCoordinator reports whether the member of that name is a coordinator.
func (e Election) IsCoordinator(name string) bool { return e.coordinators[name] }

// IsStandby reports whether the member of that name takes the place of the next
// coordinator of its domain that is lost.
func (e Election) IsStandby(name string) bool { return e.standbys[name] }

// Coordinators returns the names of the coordinators.
func (e Election) Coordinators() []string {
	res := make([]string, 0, len(e.coordinators))
	for _, m := range e.ranking {
		if e.coordinators[m.Name] {
			res = append(res, m.Name)
		}
	}
	return res
}

// Candidates returns the coordinators in the order in which an entry asks them:
// those of its own failure domain first. Entries with different names get different
// orders among the others, so that the loss of a coordinator spreads its load.
func (e Election) Candidates(name, domain string) []string {
	if e.coordinators[name] {
		return []string{name}
	}
	type candidate struct {
		name  string
		other bool
		draw  uint64
	}
	var candidates []candidate
	for _, m := range e.ranking {
		if e.coordinators[m.Name] {
			candidates = append(candidates, candidate{name: m.Name, other: m.Domain != domain, draw: draw(name, m.Name)})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		if a.other != b.other {
			if b.other {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.draw, b.draw), cmp.Compare(a.name, b.name))
	})
	res := make([]string, len(candidates))
	for i, c := range candidates {
		res[i] = c.name
	}
	return res
}

// Rank returns the position of a member among all: the coordinators first, then the
// others, each by name. A member that is not known comes last.
func (e Election) Rank(name string) int {
	rank := 0
	for _, m := range e.ranking {
		before := m.Name < name
		if e.coordinators[m.Name] != e.coordinators[name] {
			before = e.coordinators[m.Name]
		}
		if m.Name != name && before {
			rank++
		}
	}
	return rank
}

// draw returns a hash of two names.
func draw(a, b string) uint64 {
	h := fnv.New64a()
	_, _ = io.WriteString(h, a)
	_, _ = h.Write([]byte{0})
	_, _ = io.WriteString(h, b)
	return h.Sum64()
}
