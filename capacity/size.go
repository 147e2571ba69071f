package capacity

import (
	"fmt"
	"net"
	"time"

	"damasktrail.dev/document"
	"damasktrail.dev/member"
)

// The target size of docs/design.md.
const (
	Entries         = 540
	Replicas        = 12000
	Organisations   = 2200
	Models          = 24
	Sets            = 336
	Regions         = 7
	Domains         = 23
	AgentsPerModel  = 11
	DocumentsPerDay = 14000
	VMsPerDay       = 3870
)

// Size is the size of a deployment's document.
type Size struct {
	Organisations, Models, Sets int
}

// Target is the target size of the document.
var Target = Size{Organisations: Organisations, Models: Models, Sets: Sets}

// Document returns a valid document of the given size and generation.
// Generations differ in the share of one organisation, so that the difference
// between consecutive generations has one operation.
func (s Size) Document(generation uint64) *document.Document {
	return s.changedDocument(generation, 1)
}

// changedDocument returns the document of the given generation, which differs from
// the first generation in the given number of organisations.
func (s Size) changedDocument(generation uint64, organisations int) *document.Document {
	d := &document.Document{Generation: generation, Policy: document.PolicyCost}
	for i := range Domains {
		d.Domains = append(d.Domains, document.Domain{Name: domainName(i), Region: fmt.Sprintf("region-%d", i%Regions)})
	}
	for i, name := range []string{"high", "middle", "low"} {
		d.Tiers = append(d.Tiers, document.Tier{Name: name, Rank: i, Deadline: time.Duration(i+1) * 30 * time.Second})
	}
	for i := range s.Models {
		d.Models = append(d.Models, document.Model{
			Name: modelName(i), Context: 32768, Adapters: []string{"formal", "plain"}, Versions: []string{"1", "2"},
		})
	}
	for i := range s.Sets {
		d.Sets = append(d.Sets, document.Set{
			Name: setName(i), Kind: document.KindEngine, Model: modelName(i % s.Models), Adapters: []string{"plain"},
			Version: "2", Role: document.RoleBoth, Fencing: i%2 == 0,
		})
	}
	for i := range s.Organisations {
		name := fmt.Sprintf("organisation-%04d", i)
		share := 1 + i%9
		if i < organisations {
			share = int(10 + generation%100_000)
		}
		d.Organisations = append(d.Organisations, document.Organisation{
			Name: name, Keys: []string{document.KeyDigest("key of " + name)}, Tiers: []string{"middle", "high"},
			Share: share, Rate: 100_000, Inflight: 10_000,
		})
	}
	res, err := document.Parse(d.Encode())
	if err != nil {
		panic(err) // The content is constant.
	}
	return res
}

// apiKey is the key of the first organisation.
const apiKey = "key of organisation-0000"

func domainName(i int) string { return fmt.Sprintf("domain%02d", i) }

func modelName(i int) string { return fmt.Sprintf("model-%02d", i) }

func setName(i int) string { return fmt.Sprintf("set%03d", i) }

// VMs returns a list of n VMs with entries and agents in the proportion of the target.
// Names are short, since with more than 83 bytes per VM the list would exceed the
// platform's limit of 1 MB. Addresses are in 10.0.0.0/8 and must not be dialled.
func VMs(version uint64, n int) *member.List {
	vms := make([]member.VM, n)
	for i := range vms {
		vms[i] = member.VM{
			Name: fmt.Sprintf("vm-%05d", i), Role: member.RoleAgent, Domain: domainName(i % Domains), Set: setName(i % Sets),
			Address: net.JoinHostPort(fmt.Sprintf("10.%d.%d.%d", i>>16, i>>8&255, i&255), "8090"),
		}
		if i%(Entries+Replicas) < Entries*n/(Entries+Replicas) {
			vms[i].Role, vms[i].Set = member.RoleEntry, ""
		}
	}
	res, err := member.New(version, vms)
	if err != nil {
		panic(err) // The content is constant.
	}
	return res
}

// HomeDomain is the failure domain of the entry and agents that are started. Apart
// from the given VMs, the list that [ListWith] returns has none in its region.
const HomeDomain = "domain00"

// ListWith returns a list of n VMs: the given ones, filled up with others of other
// regions.
func ListWith(version uint64, n int, given ...member.VM) *member.List {
	vms := append([]member.VM(nil), given...)
	names := map[string]bool{}
	for _, vm := range given {
		names[vm.Name] = true
	}
	for _, vm := range VMs(version, n+n/4+Regions).VMs {
		if len(vms) < n && !inHomeRegion(vm.Domain) && !names[vm.Name] {
			vms = append(vms, *vm)
		}
	}
	res, err := member.New(version, vms)
	if err != nil {
		panic(err) // The names of given VMs are chosen by this package.
	}
	return res
}

// inHomeRegion reports whether the domain is in the region of [HomeDomain].
func inHomeRegion(domain string) bool {
	for i := 0; i < Domains; i += Regions {
		if domain == domainName(i) {
			return true
		}
	}
	return false
}
