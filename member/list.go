// Package member holds the list of live and leaving VMs and derives from it which
// agents an entry connects to, which entries read the platform and which entries
// push changes to an agent first. Every process computes these assignments from
// its own list, without coordination. Start from [Parse].
package member

import (
	"cmp"
	"crypto/sha256"
	"encoding/json"
	"slices"

	"damasktrail.dev/internal/strict"
)

// MaxBytes is the maximum size of a list in bytes, which is the platform's limit
// on values.
const MaxBytes = 1 << 20

// Values of VM.Role.
const (
	RoleEntry = "entry"
	RoleAgent = "agent"
)

// Values of VM.State.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)

// VM is one virtual machine of the deployment.
type VM struct {
	// Name is unique in the list.
	Name string `json:"name"`
	// Role is RoleEntry or RoleAgent; the default is RoleAgent.
	Role string `json:"role,omitempty"`
	// Address is the IP number and UDP port of the process.
	Address string `json:"address"`
	// Domain names a failure domain of the document.
	Domain string `json:"domain"`
	// Set names a set of the document; empty for an entry.
	Set string `json:"set,omitempty"`
	// State is StateLive or StateLeaving; the default is StateLive.
	State string `json:"state,omitempty"`
}

// List is one version of the VM list. It is valid and must not be modified, so it
// is safe for concurrent use.
type List struct {
	// Version is at least 1.
	Version uint64
	// VMs is sorted by name. Lists share equal VMs: copying 12,540 pointers takes
	// a tenth of the time of copying the VMs.
	VMs []*VM

	// liveEntries holds the live entries, so that ranking them does not iterate
	// over the agents, of which there are many more. Lists that differ only in
	// agents share it.
	liveEntries []*VM
	// tree holds the digests of all VMs.
	tree   *tree
	digest [sha256.Size]byte
}

// Parse decodes and validates a list of at most MaxBytes. The error is an
// [*InvalidError]. The names of failure domains and sets are not checked, since
// the document is published separately and may be older or newer than the list.
func Parse(data []byte) (*List, error) {
	p := &strict.Problems{}
	var raw struct {
		Version uint64 `json:"version"`
		VMs     []VM   `json:"vms"`
	}
	if !strict.Read(data, MaxBytes, &raw, p) {
		return nil, &InvalidError{Problems: p.List, Omitted: p.Omitted}
	}
	return build(raw.Version, raw.VMs, p)
}

// New returns a list of the given VMs. The error is an [*InvalidError].
func New(version uint64, vms []VM) (*List, error) {
	return build(version, slices.Clone(vms), &strict.Problems{})
}

// build validates and sorts vms and takes ownership of the slice.
func build(version uint64, vms []VM, p *strict.Problems) (*List, error) {
	var top *strict.Location
	if version == 0 {
		p.Add(top.At("version"), "must be at least 1")
	}
	positions := make(map[string]int, len(vms))
	root := top.At("vms")
	for i := range vms {
		v := &vms[i]
		v.setDefaults()
		l := root.Element(i)
		if j, found := positions[v.Name]; found {
			p.Add(l.At("name"), "VM %q already exists as %s", v.Name, root.Element(j))
		}
		positions[v.Name] = i
		v.validate(l, p)
	}
	if len(p.List) > 0 {
		return nil, &InvalidError{Problems: p.List, Omitted: p.Omitted}
	}
	slices.SortFunc(vms, func(a, b VM) int { return cmp.Compare(a.Name, b.Name) })
	res := &List{Version: version, VMs: make([]*VM, len(vms)), tree: newTree(vms)}
	for i := range vms {
		res.VMs[i] = &vms[i]
	}
	res.liveEntries = liveEntries(res.VMs)
	res.digest = res.tree.root(version)
	return res, nil
}

func liveEntries(vms []*VM) []*VM {
	var res []*VM
	for _, v := range vms {
		if v.Role == RoleEntry && v.State == StateLive {
			res = append(res, v)
		}
	}
	return res
}

// setDefaults fills in an empty role and state.
func (v *VM) setDefaults() {
	v.Role = cmp.Or(v.Role, RoleAgent)
	v.State = cmp.Or(v.State, StateLive)
}

// withoutDefaults returns the VM without the values that setDefaults fills in.
func (v VM) withoutDefaults() VM {
	if v.Role == RoleAgent {
		v.Role = ""
	}
	if v.State == StateLive {
		v.State = ""
	}
	return v
}

func (v VM) validate(l *strict.Location, p *strict.Problems) {
	if v.Name == "" {
		p.Add(l.At("name"), "must not be empty")
	}
	if v.Domain == "" {
		p.Add(l.At("domain"), "must not be empty")
	}
	if v.Role != RoleEntry && v.Role != RoleAgent {
		p.Add(l.At("role"), "%q is not one of entry, agent", v.Role)
	}
	if v.State != StateLive && v.State != StateLeaving {
		p.Add(l.At("state"), "%q is not one of live, leaving", v.State)
	}
	if (v.Set == "") != (v.Role == RoleEntry) {
		p.Add(l.At("set"), "an agent has a set and an entry has none, role is %q and set is %q", v.Role, v.Set)
	}
	if !strict.IsAddress(v.Address) {
		p.Add(l.At("address"), "%q is not an IP number and port", v.Address)
	}
}

// Encode returns the list as JSON that [Parse] accepts. The default role and
// state are omitted: with them 12,540 VMs would exceed MaxBytes.
func (l *List) Encode() []byte {
	vms := make([]VM, len(l.VMs))
	for i, v := range l.VMs {
		vms[i] = v.withoutDefaults()
	}
	res, err := json.Marshal(struct {
		Version uint64 `json:"version"`
		VMs     []VM   `json:"vms"`
	}{l.Version, vms})
	if err != nil {
		panic(err) // A list has only strings and a number.
	}
	return res
}

// Number returns the version.
func (l *List) Number() uint64 { return l.Version }

// Digest identifies the content, regardless of the order and formatting of its
// text. It is a SHA-256 over the version and the digests of all VMs.
func (l *List) Digest() [sha256.Size]byte {
	return l.digest
}

// VM returns the VM with the given name.
func (l *List) VM(name string) (VM, bool) {
	i, found := l.find(name)
	if !found {
		return VM{}, false
	}
	return *l.VMs[i], true
}

// find returns the index of the VM in VMs, or the index at which a VM with that
// name would be inserted. It uses binary search, because building a map took most
// of the time of Apply.
func (l *List) find(name string) (int, bool) {
	return slices.BinarySearchFunc(l.VMs, name, func(v *VM, name string) int {
		return cmp.Compare(v.Name, name)
	})
}
