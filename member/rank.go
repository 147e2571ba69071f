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

// SubsetThreshold is the number of agents of a target below which an entry
// connects to all of them.
const SubsetThreshold = 16

// MinEntriesPerAgent is the number of entries that connect to an agent because
// they rank highest for it, regardless of the agents that they select themselves.
// Without these links, 68 of 12,000 agents had no link to their first entry, which
// pushes changes to them, and the probability that some agent had no link at all
// was about 3%.
const MinEntriesPerAgent = 3

// TimeSlotLength is the time after which other entries take over reading the
// platform.
const TimeSlotLength = time.Minute

// TimeSlot returns the number of the time slot that contains now, by the local clock.
func TimeSlot(now time.Time) int64 {
	return now.Unix() / int64(TimeSlotLength/time.Second)
}

// Rank returns the rendezvous hash of a key and an item. The items with the
// highest rank are selected for the key. The result must be the same in all
// processes and in all versions of the software.
func Rank(key, item string) uint64 {
	var buf [128]byte
	b := append(buf[:0], key...)
	// The separator distinguishes ("ab", "c") from ("a", "bc").
	b = append(b, 0)
	b = append(b, item...)
	return xxhash.Sum64(b)
}

// ranked is a VM with its rank for one key.
type ranked struct {
	vm   *VM
	rank uint64
}

// before orders by descending rank. The name decides between equal ranks, so that
// all processes use the same order.
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

// highestRanked sorts the list and returns the n VMs with the highest rank.
func highestRanked(list []ranked, n int) []VM {
	sortRanked(list)
	list = list[:max(0, min(n, len(list)))]
	res := make([]VM, len(list))
	for i, r := range list {
		res[i] = *r.vm
	}
	return res
}

// regions maps the names of failure domains to their regions.
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
	for _, v := range list.liveEntries {
		if r[v.Domain] == region {
			res = append(res, v)
		}
	}
	return res
}

// Readers returns the n live entries of the region that read the platform in the
// time slot, highest rank first. Leaving entries are excluded.
func Readers(list *List, d *document.Document, region string, timeSlot int64, n int) []VM {
	key := strconv.FormatInt(timeSlot, 10)
	var candidates []ranked
	for _, v := range regionsOf(d).entries(list, region) {
		candidates = append(candidates, ranked{v, Rank(key, v.Name)})
	}
	return highestRanked(candidates, n)
}

// Entries returns the n live entries of the agent's region with the highest
// rank for the agent, highest first. The first [MinEntriesPerAgent] of them have
// the agent in their [Subset].
func Entries(list *List, d *document.Document, agent VM, n int) []VM {
	regionOf := regionsOf(d)
	var candidates []ranked
	for _, v := range regionOf.entries(list, regionOf[agent.Domain]) {
		candidates = append(candidates, ranked{v, Rank(v.Name, agent.Name)})
	}
	return highestRanked(candidates, n)
}

// EntryPositions returns a function that computes the position of an entry among the first
// n of [Entries] of an agent, or the number of these when the entry is not among
// them. For many agents it takes a fraction of the time of calling Entries for
// each.
func EntryPositions(entry VM, list *List, d *document.Document, n int) func(agent VM) int {
	regionOf := regionsOf(d)
	region := regionOf[entry.Domain]
	peers := regionOf.entries(list, region)
	live := slices.ContainsFunc(peers, func(p *VM) bool { return p.Name == entry.Name })
	return func(agent VM) int {
		if regionOf[agent.Domain] != region {
			return min(n, len(regionOf.entries(list, regionOf[agent.Domain])))
		}
		limit := min(n, len(peers))
		if !live {
			return limit
		}
		return countBefore(&entry, &agent, peers, limit)
	}
}

// targetAgents holds the live agents of one target: a model or a service set.
type targetAgents struct {
	// local has the agents of the entry's region, remote those of all others.
	local, remote []*VM
}

// Subset returns the agents that an entry connects to, sorted by name. For each
// model and each service set these are
//
//   - size agents of the entry's region, in equal parts per failure domain,
//     those with the highest rank in each; all agents when there are fewer than
//     [SubsetThreshold];
//   - the agents for which the entry is one of the first [MinEntriesPerAgent] of
//     [Entries];
//   - when the region has no live agent, size agents of all other regions,
//     selected in the same way.
//
// Leaving VMs and VMs of sets that are not in the document are excluded.
func Subset(entry VM, list *List, d *document.Document, size int) []VM {
	var res []VM
	for _, c := range SubsetByTarget(entry, list, d, size, nil) {
		res = append(res, c.Agents...)
	}
	slices.SortFunc(res, func(a, b VM) int { return cmp.Compare(a.Name, b.Name) })
	return res
}

// TargetSubset is the part of [Subset] for one target.
type TargetSubset struct {
	// Agents is sorted by name.
	Agents []VM
	// Remote reports that the entry's region has no live agent of the target, so
	// that Agents are in other regions.
	Remote bool
}

// Equal reports whether c and other have the same agents and the same Remote.
func (c TargetSubset) Equal(o TargetSubset) bool {
	return c.Remote == o.Remote && slices.Equal(c.Agents, o.Agents)
}

// SubsetByTarget returns the parts of [Subset] for the targets in only, or for all targets
// when only is nil. The parts do not depend on each other or on entries outside
// the region.
func SubsetByTarget(entry VM, list *List, d *document.Document, size int, only set.Set[string]) map[string]TargetSubset {
	regionOf := regionsOf(d)
	peers := regionOf.entries(list, regionOf[entry.Domain])
	all := agentsByTarget(regionOf[entry.Domain], regionOf, list, d, only)
	res := make(map[string]TargetSubset, len(all))
	for name, t := range all {
		var c TargetSubset
		if c.Remote = len(t.local) == 0; c.Remote {
			c.Agents = chooseAgents(entry.Name, t.remote, size)
		} else {
			c.Agents = chooseAgents(entry.Name, t.local, size)
			if len(c.Agents) < len(t.local) {
				c.Agents = addAssignedAgents(&entry, c.Agents, t.local, peers)
			}
		}
		slices.SortFunc(c.Agents, func(a, b VM) int { return cmp.Compare(a.Name, b.Name) })
		res[name] = c
	}
	return res
}

// addAssignedAgents adds the local agents for which the entry is one of the first
// MinEntriesPerAgent to the chosen agents.
func addAssignedAgents(entry *VM, chosen []VM, local, peers []*VM) []VM {
	chosenNames := make(set.Set[string], len(chosen))
	for _, v := range chosen {
		chosenNames.Add(v.Name)
	}
	for _, v := range local {
		if !chosenNames.Has(v.Name) && countBefore(entry, v, peers, MinEntriesPerAgent) < MinEntriesPerAgent {
			chosen = append(chosen, *v)
		}
	}
	return chosen
}

// agentsByTarget groups the live agents by the name with which callers reach them,
// for the targets in only, or for all targets when only is nil.
func agentsByTarget(region string, regionOf regions, list *List, d *document.Document, only set.Set[string]) map[string]*targetAgents {
	res := map[string]*targetAgents{}
	bySet := make(map[string]*targetAgents, len(d.Sets))
	for _, s := range d.Sets {
		if only != nil && !only.Has(s.Target()) {
			continue
		}
		// A service set may not have the name of a model, so keys do not collide.
		t := res[s.Target()]
		if t == nil {
			t = &targetAgents{}
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
		case regionOf[v.Domain] == region:
			t.local = append(t.local, v)
		default:
			t.remote = append(t.remote, v)
		}
	}
	return res
}

// countBefore returns how many of the peers have a higher rank for the agent than
// the entry, at most limit.
func countBefore(entry, agent *VM, peers []*VM, limit int) int {
	entryRank := ranked{entry, Rank(entry.Name, agent.Name)}
	res := 0
	for _, p := range peers {
		if res == limit {
			break
		}
		if (ranked{p, Rank(p.Name, agent.Name)}).before(entryRank) {
			res++
		}
	}
	return res
}

// chooseAgents takes one agent from each failure domain in turn until it has size
// agents. Each entry has its own order of the domains, so that over all entries no
// domain gets more than its share of the remainder.
func chooseAgents(entry string, candidates []*VM, size int) []VM {
	ranking := make([]ranked, len(candidates))
	for i, v := range candidates {
		ranking[i] = ranked{v, Rank(entry, v.Name)}
	}
	if len(ranking) < SubsetThreshold || len(ranking) <= size {
		return highestRanked(ranking, len(ranking))
	}
	sortRanked(ranking)
	byDomain := map[string][]ranked{}
	for _, r := range ranking {
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
