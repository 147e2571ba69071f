// Package member is the list of live and leaving VMs and what is computed from
// it alone: which agents an entry connects to, which entries read the platform
// and which entries inform an agent first. Every process computes these from
// its own list; no process has to agree with another. Start from [Parse].
package member

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"slices"
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
	Version uint64 `json:"version"`
	// VMs is sorted by name.
	VMs []VM `json:"vms"`

	// positions maps a name to its place in VMs.
	positions map[string]int
	digest    [sha256.Size]byte
}

// maxProblems bounds the list of an InvalidError.
const maxProblems = 100

// Problem is one fault of a list.
type Problem struct {
	// Path leads to the fault, as in vms[2].address.
	Path string
	// Message says what is wrong there.
	Message string
}

// String returns path and message.
func (p Problem) String() string {
	return p.Path + ": " + p.Message
}

// InvalidError says that a list is refused whole.
type InvalidError struct {
	// Problems has 1 to 100 entries in the order of the text.
	Problems []Problem
	// Omitted counts the problems beyond these.
	Omitted int
}

// Error implements error with the first problem and the number of the others.
func (e *InvalidError) Error() string {
	rest := len(e.Problems) - 1 + e.Omitted
	if rest == 0 {
		return fmt.Sprintf("VM list is invalid: %s", e.Problems[0])
	}
	return fmt.Sprintf("VM list is invalid: %s (and %d more problems)", e.Problems[0], rest)
}

func (e *InvalidError) add(path, format string, args ...any) {
	if len(e.Problems) == maxProblems {
		e.Omitted++
		return
	}
	e.Problems = append(e.Problems, Problem{Path: path, Message: fmt.Sprintf(format, args...)})
}

// Parse reads a list of at most MaxSize and validates it whole. Unknown fields
// and trailing data are refused. Names of failure domains and sets are not
// checked, since the document is published apart from the list and may be older
// or newer.
func Parse(data []byte) (*List, error) {
	if len(data) > MaxSize {
		return nil, fmt.Errorf("VM list of %d bytes exceeds the limit of %d", len(data), MaxSize)
	}
	d := json.NewDecoder(bytes.NewReader(data))
	d.DisallowUnknownFields()
	res := &List{}
	if err := d.Decode(res); err != nil {
		return nil, fmt.Errorf("read VM list: %w", err)
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return nil, errors.New("read VM list: data after the list")
	}
	return New(res.Version, res.VMs)
}

// New returns a list of the given VMs. The error is an [*InvalidError].
func New(version uint64, vms []VM) (*List, error) {
	problems := &InvalidError{}
	if version == 0 {
		problems.add("version", "must be at least 1")
	}
	res := &List{Version: version, VMs: slices.Clone(vms), positions: make(map[string]int, len(vms))}
	for i := range res.VMs {
		v := &res.VMs[i]
		v.Role = cmp.Or(v.Role, RoleAgent)
		v.State = cmp.Or(v.State, StateLive)
		if j, found := res.positions[v.Name]; found {
			problems.add(fmt.Sprintf("vms[%d].name", i), "VM %q already exists as vms[%d]", v.Name, j)
		}
		res.positions[v.Name] = i
		v.check(i, problems)
	}
	if len(problems.Problems) > 0 {
		return nil, problems
	}
	slices.SortFunc(res.VMs, func(a, b VM) int { return cmp.Compare(a.Name, b.Name) })
	for i, v := range res.VMs {
		res.positions[v.Name] = i
	}
	res.digest = sha256.Sum256(res.Encode())
	return res, nil
}

func (v VM) check(i int, problems *InvalidError) {
	add := func(field, format string, args ...any) {
		problems.add(fmt.Sprintf("vms[%d].%s", i, field), format, args...)
	}
	if v.Name == "" {
		add("name", "must not be empty")
	}
	if v.Domain == "" {
		add("domain", "must not be empty")
	}
	if v.Role != RoleEntry && v.Role != RoleAgent {
		add("role", "%q is not one of entry, agent", v.Role)
	}
	if v.State != StateLive && v.State != StateLeaving {
		add("state", "%q is not one of live, leaving", v.State)
	}
	if (v.Set == "") != (v.Role == RoleEntry) {
		add("set", "an agent has a set and an entry has none, role is %q and set is %q", v.Role, v.Set)
	}
	if a, err := netip.ParseAddrPort(v.Address); err != nil || a.Port() == 0 || a.Addr().IsUnspecified() {
		add("address", "%q is not an IP number and port", v.Address)
	}
}

// Encode returns the list as JSON that [Parse] accepts. The default role and
// state are left out: 12,540 VMs would not fit into MaxSize with them.
func (l *List) Encode() []byte {
	vms := slices.Clone(l.VMs)
	for i := range vms {
		if vms[i].Role == RoleAgent {
			vms[i].Role = ""
		}
		if vms[i].State == StateLive {
			vms[i].State = ""
		}
	}
	if vms == nil {
		vms = []VM{}
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

// Digest identifies the content, whatever the order and spacing of its text.
func (l *List) Digest() [sha256.Size]byte {
	return l.digest
}

// VM returns the VM of that name.
func (l *List) VM(name string) (VM, bool) {
	i, found := l.positions[name]
	if !found {
		return VM{}, false
	}
	return l.VMs[i], true
}
