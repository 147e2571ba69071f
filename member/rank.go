package member

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"damasktrail.dev/document"
	"damasktrail.dev/set"
)

// SmallSet is the number of agents of a target below which an entry connects to
// all of them.
const SmallSet = 16

// Sponsors is the number of entries that connect to an agent by the agent's
// own order, whatever their subset. Without them 68 of 12,000 agents had no link
// to their first entry, which pushes changes to them, and the chance that some
// agent has no entry at all was about 3%.
const Sponsors = 3

// SlotLength is the time for which a reader is on duty.
const SlotLength = time.Minute

// Slot returns the number of the time slot that holds now, by the local clock.
func Slot(now time.Time) int64 {
	return now.Unix() / int64(SlotLength/time.Second)
}

// Rank is the rendezvous hash of a pair. A chooser prefers the items with the
// highest rank. All processes compute the same value in all versions.
func Rank(chooser, item string) uint64 {
	var space [128]byte
	b := append(space[:0], chooser...)
	// The separator keeps ("ab", "c") apart from ("a", "bc").
	b = append(b, 0)
	b = append(b, item...)
	return xxhash.Sum64(b)
}

// ranked is a VM with its rank for one chooser.
type ranked struct {
	vm   *VM
	rank uint64
}

// before orders by falling rank. The name decides between equal ranks, so that
// all processes have one order.
func (r ranked) before(o ranked) bool {
	return r.rank > o.rank || r.rank == o.rank && r.vm.Name < o.vm.Name
}

func sortRanked(list []ranked) {
	slices.SortFunc(list, func(a, b ranked) int {
		if a.before(b) {
			return -1
		}
		return 1
	})
}

// first returns the n VMs with the highest rank.
func first(list []ranked, n int) []VM {
	sortRanked(list)
	list = list[:max(0, min(n, len(list)))]
	res := make([]VM, len(list))
	for i, r := range list {
		res[i] = *r.vm
	}
	return res
}

// regions maps failure domains to regions.
type regions map[string]string

func regionsOf(d *document.Document) regions {
	res := make(regions, len(d.Domains))
	for _, domain := range d.Domains {
		res[domain.Name] = domain.Region
	}
	return res
}

// entries returns the live entries of a region.
func (r regions) entries(list *List, region string) []*VM {
	var res []*VM
	for _, v := range list.entries {
		if r[v.Domain] == region {
			res = append(res, v)
		}
	}
	return res
}

// Readers returns the n entries of the region that read the platform in the
// time slot, highest rank first. Leaving entries have no duty.
func Readers(list *List, d *document.Document, region string, slot int64, n int) []VM {
	chooser := strconv.FormatInt(slot, 10)
	var candidates []ranked
	for _, v := range regionsOf(d).entries(list, region) {
		candidates = append(candidates, ranked{v, Rank(chooser, v.Name)})
	}
	return first(candidates, n)
}

// Entries returns the n live entries of the agent's region with the highest
// rank for the agent, the first first. [Subset] of the first [Sponsors] of them
// has the agent.
func Entries(list *List, d *document.Document, agent VM, n int) []VM {
	where := regionsOf(d)
	var candidates []ranked
	for _, v := range where.entries(list, where[agent.Domain]) {
		candidates = append(candidates, ranked{v, Rank(v.Name, agent.Name)})
	}
	return first(candidates, n)
}

// Places returns a function that tells the place of an entry among the first n
// of [Entries] of an agent, or the number of these when it is not among them.
// For many agents it takes a fraction of the time of Entries for each.
func Places(entry VM, list *List, d *document.Document, n int) func(agent VM) int {
	where := regionsOf(d)
	home := where[entry.Domain]
	peers := where.entries(list, home)
	live := slices.ContainsFunc(peers, func(p *VM) bool { return p.Name == entry.Name })
	return func(agent VM) int {
		if where[agent.Domain] != home {
			return min(n, len(where.entries(list, where[agent.Domain])))
		}
		most := min(n, len(peers))
		if !live {
			return most
		}
		return ahead(&entry, &agent, peers, most)
	}
}

// target is the live agents of one model or service set.
type target struct {
	// near are in the entry's region, far in all others.
	near, far []*VM
}

// Subset returns the agents that an entry connects to, sorted by name. For each
// model and each set of services these are
//
//   - size agents of the entry's region, in equal parts per failure domain,
//     those with the highest rank in each; all agents when there are fewer than
//     [SmallSet];
//   - the agents for which the entry is one of the first [Sponsors] of
//     [Entries];
//   - where the region has no live agent, size agents of all other regions in
//     the same way.
//
// Leaving VMs and VMs of sets that the document lacks are left out.
func Subset(entry VM, list *List, d *document.Document, size int) []VM {
	var res []VM
	for _, c := range Choose(entry, list, d, size, nil) {
		res = append(res, c.Agents...)
	}
	slices.SortFunc(res, func(a, b VM) int { return cmp.Compare(a.Name, b.Name) })
	return res
}

// Choice is the part of [Subset] for one target.
type Choice struct {
	// Agents are sorted by name.
	Agents []VM
	// Remote says that the entry's region has no live agent of the target; the
	// agents are those of other regions.
	Remote bool
}

// Equal reports whether both choices are the same.
func (c Choice) Equal(o Choice) bool {
	return c.Remote == o.Remote && slices.Equal(c.Agents, o.Agents)
}

// Choose returns the parts of [Subset] for the given targets, for all when only
// is nil. The parts do not depend on each other, and depend on no entry outside
// the region.
func Choose(entry VM, list *List, d *document.Document, size int, only set.Set[string]) map[string]Choice {
	where := regionsOf(d)
	peers := where.entries(list, where[entry.Domain])
	all := targets(where[entry.Domain], where, list, d, only)
	res := make(map[string]Choice, len(all))
	for name, t := range all {
		var c Choice
		if c.Remote = len(t.near) == 0; c.Remote {
			c.Agents = choose(entry.Name, t.far, size)
		} else {
			c.Agents = choose(entry.Name, t.near, size)
			if len(c.Agents) < len(t.near) {
				c.Agents = sponsored(&entry, c.Agents, t.near, peers)
			}
		}
		slices.SortFunc(c.Agents, func(a, b VM) int { return cmp.Compare(a.Name, b.Name) })
		res[name] = c
	}
	return res
}

// sponsored adds to the chosen agents those near ones that the entry sponsors.
func sponsored(entry *VM, chosen []VM, near, peers []*VM) []VM {
	has := make(set.Set[string], len(chosen))
	for _, v := range chosen {
		has.Add(v.Name)
	}
	for _, v := range near {
		if !has.Has(v.Name) && ahead(entry, v, peers, Sponsors) < Sponsors {
			chosen = append(chosen, *v)
		}
	}
	return chosen
}

// targets sorts the live agents by what callers name to reach them, for the
// given targets or, when only is nil, for all.
func targets(home string, where regions, list *List, d *document.Document, only set.Set[string]) map[string]*target {
	res := map[string]*target{}
	bySet := make(map[string]*target, len(d.Sets))
	for _, s := range d.Sets {
		if only != nil && !only.Has(s.Target()) {
			continue
		}
		// A service set may not have the name of a model, so keys do not collide.
		t := res[s.Target()]
		if t == nil {
			t = &target{}
			res[s.Target()] = t
		}
		bySet[s.Name] = t
	}
	for _, v := range list.VMs {
		if v.Role != RoleAgent || v.State != StateLive {
			continue
		}
		switch t := bySet[v.Set]; {
		case t == nil:
		case where[v.Domain] == home:
			t.near = append(t.near, v)
		default:
			t.far = append(t.far, v)
		}
	}
	return res
}

// ahead returns how many of the peers come before the entry in the order of the
// agent's entries, at most the given number.
func ahead(entry, agent *VM, peers []*VM, most int) int {
	own := ranked{entry, Rank(entry.Name, agent.Name)}
	res := 0
	for _, p := range peers {
		if res == most {
			break
		}
		if (ranked{p, Rank(p.Name, agent.Name)}).before(own) {
			res++
		}
	}
	return res
}

// choose takes one agent per failure domain in turn until it has size. The
// order of the domains is the entry's own, so that over all entries no domain
// gets more than its part of the remainder.
func choose(entry string, candidates []*VM, size int) []VM {
	all := make([]ranked, len(candidates))
	for i, v := range candidates {
		all[i] = ranked{v, Rank(entry, v.Name)}
	}
	if len(all) < SmallSet || len(all) <= size {
		return first(all, len(all))
	}
	sortRanked(all)
	byDomain := map[string][]ranked{}
	for _, r := range all {
		byDomain[r.vm.Domain] = append(byDomain[r.vm.Domain], r)
	}
	domains := make([]string, 0, len(byDomain))
	for name := range byDomain {
		domains = append(domains, name)
	}
	slices.SortFunc(domains, func(a, b string) int {
		if x, y := Rank(entry, a), Rank(entry, b); x != y {
			return cmp.Compare(y, x)
		}
		return cmp.Compare(a, b)
	})
	res := make([]VM, 0, size)
	for round := 0; len(res) < size; round++ {
		for _, name := range domains {
			if list := byDomain[name]; round < len(list) && len(res) < size {
				res = append(res, *list[round].vm)
			}
		}
	}
	return res
}
