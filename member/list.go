// Package member is the list of live and leaving VMs and what is computed from
// it alone: which agents an entry connects to, which entries read the platform
// and which entries inform an agent first. Every process computes these from
// its own list; no process has to agree with another. Start from [Parse].
package member

import (
	"cmp"
	"crypto/sha256"
	"encoding/json"
	"net/netip"
	"slices"

	"damasktrail.dev/internal/strict"
)

// MaxSize is the largest list in bytes, the largest value of the platform.
const MaxSize = 1 << 20

// The values of VM.Role.
const (
	RoleEntry = "entry"
	RoleAgent = "agent"
)

// The values of VM.State.
const (
	StateLive    = "live"
	StateLeaving = "leaving"
)

// VM is one virtual machine of the deployment.
type VM struct {
	// Name is unique in the list.
	Name string `json:"name"`
	// Role is RoleEntry or RoleAgent; RoleAgent when the text has none.
	Role string `json:"role,omitempty"`
	// Address is the IP number and UDP port of the process.
	Address string `json:"address"`
	// Domain names a failure domain of the document.
	Domain string `json:"domain"`
	// Set names a set of the document; empty for an entry.
	Set string `json:"set,omitempty"`
	// State is StateLive or StateLeaving; StateLive when the text has none.
	State string `json:"state,omitempty"`
}

// List is one version of the list of VMs. It is valid and must not be
// modified; so it is safe for use by several goroutines.
type List struct {
	// Version is at least 1.
	Version uint64
	// VMs is sorted by name. Lists share the VMs that are equal: a copy of
	// 12,540 pointers takes a tenth of the time of a copy of the VMs.
	VMs []*VM

	// entries are the live entries, so that ranking them does not walk over the
	// agents, of which there are many more. Lists that differ in agents only
	// share it.
	entries []*VM
	// tree is of the digests of all VMs.
	tree   *tree
	digest [sha256.Size]byte
}

// Parse reads a list of at most MaxSize and validates it whole. The error is an
// [*InvalidError]. Names of failure domains and sets are not checked, since the
// document is published apart from the list and may be older or newer.
func Parse(data []byte) (*List, error) {
	p := &strict.Problems{}
	var raw struct {
		Version uint64 `json:"version"`
		VMs     []VM   `json:"vms"`
	}
	if !strict.Read(data, MaxSize, &raw, p) {
		return nil, &InvalidError{Problems: p.List, Omitted: p.Omitted}
	}
	return build(raw.Version, raw.VMs, p)
}

// New returns a list of the given VMs. The error is an [*InvalidError].
func New(version uint64, vms []VM) (*List, error) {
	return build(version, slices.Clone(vms), &strict.Problems{})
}

// build takes over vms.
func build(version uint64, vms []VM, p *strict.Problems) (*List, error) {
	var top *strict.Location
	if version == 0 {
		p.Add(top.At("version"), "must be at least 1")
	}
	positions := make(map[string]int, len(vms))
	root := top.At("vms")
	for i := range vms {
		v := &vms[i]
		v.complete()
		l := root.Element(i)
		if j, found := positions[v.Name]; found {
			p.Add(l.At("name"), "VM %q already exists as %s", v.Name, root.Element(j))
		}
		positions[v.Name] = i
		v.check(l, p)
	}
	if len(p.List) > 0 {
		return nil, &InvalidError{Problems: p.List, Omitted: p.Omitted}
	}
	slices.SortFunc(vms, func(a, b VM) int { return cmp.Compare(a.Name, b.Name) })
	res := &List{Version: version, VMs: make([]*VM, len(vms)), tree: newTree(vms)}
	for i := range vms {
		res.VMs[i] = &vms[i]
	}
	res.entries = liveEntries(res.VMs)
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

// complete fills in the defaults.
func (v *VM) complete() {
	v.Role = cmp.Or(v.Role, RoleAgent)
	v.State = cmp.Or(v.State, StateLive)
}

// short returns the VM without the values that complete fills in.
func (v VM) short() VM {
	if v.Role == RoleAgent {
		v.Role = ""
	}
	if v.State == StateLive {
		v.State = ""
	}
	return v
}

func (v VM) check(l *strict.Location, p *strict.Problems) {
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
	if a, err := netip.ParseAddrPort(v.Address); err != nil || a.Port() == 0 || a.Addr().IsUnspecified() {
		p.Add(l.At("address"), "%q is not an IP number and port", v.Address)
	}
}

// Encode returns the list as JSON that [Parse] accepts. The default role and
// state are left out: 12,540 VMs would not fit into MaxSize with them.
func (l *List) Encode() []byte {
	vms := make([]VM, len(l.VMs))
	for i, v := range l.VMs {
		vms[i] = v.short()
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

// Digest identifies the content, whatever the order and spacing of its text.
// It is a SHA-256 over the digests of all VMs.
func (l *List) Digest() [sha256.Size]byte {
	return l.digest
}

// VM returns the VM of that name.
func (l *List) VM(name string) (VM, bool) {
	i, found := l.find(name)
	if !found {
		return VM{}, false
	}
	return *l.VMs[i], true
}

// find returns the place of the VM, or the place that a VM of that name would
// have. A search takes the place of a map, which took most of the time of Apply.
func (l *List) find(name string) (int, bool) {
	return slices.BinarySearchFunc(l.VMs, name, func(v *VM, name string) int {
		return cmp.Compare(v.Name, name)
	})
}
