package member

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"damasktrail.dev/document"
)

// SmallSet is the number of agents of a target below which an entry connects to
// all of them.
const SmallSet = 16

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
	vm   VM
	rank uint64
}

// sortRanked orders by falling rank. The name decides between equal ranks, so
// that all processes have one order.
func sortRanked(list []ranked) {
	slices.SortFunc(list, func(a, b ranked) int {
		if a.rank != b.rank {
			return cmp.Compare(b.rank, a.rank)
		}
		return cmp.Compare(a.vm.Name, b.vm.Name)
	})
}

func first(list []ranked, n int) []VM {
	sortRanked(list)
	list = list[:max(0, min(n, len(list)))]
	res := make([]VM, len(list))
	for i, r := range list {
		res[i] = r.vm
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

// Readers returns the n entries of the region that read the platform in the
// time slot, highest rank first. Leaving entries have no duty.
func Readers(list *List, d *document.Document, region string, slot int64, n int) []VM {
	where := regionsOf(d)
	chooser := strconv.FormatInt(slot, 10)
	var candidates []ranked
	for _, v := range list.VMs {
		if v.Role == RoleEntry && v.State == StateLive && where[v.Domain] == region {
			candidates = append(candidates, ranked{v, Rank(chooser, v.Name)})
		}
	}
	return first(candidates, n)
}

// Ranking answers [Entries] for many agents of one list and document. It is
// immutable and safe for use by several goroutines.
type Ranking struct {
	where regions
	// live are all live entries, near those of each region.
	live []VM
	near map[string][]VM
}

// NewRanking returns the ranking of the live entries of a list.
func NewRanking(list *List, d *document.Document) *Ranking {
	res := &Ranking{where: regionsOf(d), near: map[string][]VM{}}
	for _, v := range list.VMs {
		if v.Role == RoleEntry && v.State == StateLive {
			res.live = append(res.live, v)
			region := res.where[v.Domain]
			res.near[region] = append(res.near[region], v)
		}
	}
	return res
}

// Entries returns the n live entries with the highest rank for the agent. They
// are those of the agent's region, or of all regions when it has none.
//
// The rank is the one by which [Subset] chooses. So the first of them have the
// agent in their subset nearly always, though Entries does not compute the
// subsets of all entries to be sure.
func (r *Ranking) Entries(agent VM, n int) []VM {
	candidates := r.near[r.where[agent.Domain]]
	if len(candidates) == 0 {
		candidates = r.live
	}
	list := make([]ranked, len(candidates))
	for i, v := range candidates {
		list[i] = ranked{v, Rank(v.Name, agent.Name)}
	}
	return first(list, n)
}

// Place returns the place, from 0, that the named entry has or would have among
// the entries of an agent. It sorts nothing and allocates nothing.
func (r *Ranking) Place(agent VM, name string) int {
	candidates := r.near[r.where[agent.Domain]]
	if len(candidates) == 0 {
		candidates = r.live
	}
	own, res := Rank(name, agent.Name), 0
	for _, v := range candidates {
		if other := Rank(v.Name, agent.Name); other > own || other == own && v.Name < name {
			res++
		}
	}
	return res
}

// Entries returns what [Ranking.Entries] returns, for one agent.
func Entries(list *List, d *document.Document, agent VM, n int) []VM {
	return NewRanking(list, d).Entries(agent, n)
}

// target is the live agents of one model or service set.
type target struct {
	// near are in the entry's region, far in all others.
	near, far []ranked
}

// Subset returns the agents that an entry connects to, sorted by name: for each
// model and each set of services, size agents of the entry's region, in equal
// parts per failure domain, those with the highest rank in each. Below
// [SmallSet] agents it is all of them. Where the region has no live agent, the
// agents of all other regions take their place. Leaving VMs and VMs of unknown
// sets are left out.
func Subset(entry VM, list *List, d *document.Document, size int) []VM {
	where := regionsOf(d)
	home := where[entry.Domain]
	targets := map[string]*target{}
	bySet := make(map[string]*target, len(d.Sets))
	for _, s := range d.Sets {
		// A service set may not have the name of a model, so keys do not collide.
		t := targets[s.Target()]
		if t == nil {
			t = &target{}
			targets[s.Target()] = t
		}
		bySet[s.Name] = t
	}
	for _, v := range list.VMs {
		if v.Role != RoleAgent || v.State != StateLive {
			continue
		}
		t := bySet[v.Set]
		if t == nil {
			continue
		}
		r := ranked{vm: v}
		if where[v.Domain] == home {
			t.near = append(t.near, r)
		} else {
			t.far = append(t.far, r)
		}
	}
	var res []VM
	for _, t := range targets {
		candidates := t.near
		if len(candidates) == 0 {
			candidates = t.far
		}
		res = append(res, choose(entry.Name, candidates, size)...)
	}
	slices.SortFunc(res, func(a, b VM) int { return cmp.Compare(a.Name, b.Name) })
	return res
}

// choose takes one agent per failure domain in turn until it has size. The
// order of the domains is the entry's own, so that over all entries no domain
// gets more than its part of the remainder.
func choose(entry string, candidates []ranked, size int) []VM {
	if len(candidates) < SmallSet || len(candidates) <= size {
		return first(candidates, len(candidates))
	}
	byDomain := map[string][]ranked{}
	for _, r := range candidates {
		r.rank = Rank(entry, r.vm.Name)
		byDomain[r.vm.Domain] = append(byDomain[r.vm.Domain], r)
	}
	domains := make([]string, 0, len(byDomain))
	for name, list := range byDomain {
		sortRanked(list)
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
				res = append(res, list[round].vm)
			}
		}
	}
	return res
}
