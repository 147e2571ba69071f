package member

import (
	"crypto/sha256"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"damasktrail.dev/internal/revision"
	"damasktrail.dev/internal/strict"
)

// Values of Operation.Action.
const (
	// ActionSet adds the VM or replaces it.
	ActionSet = "set"
	// ActionDelete removes the VM.
	ActionDelete = "delete"
)

// Operation changes one VM of a list.
type Operation struct {
	Action string `cbor:"action"`
	Name   string `cbor:"name"`
	// VM is the new value for ActionSet and nil for ActionDelete. Role and State
	// may be empty when they have their defaults.
	VM *VM `cbor:"vm,omitempty"`
}

// Difference holds the changes that turn one list into another. It is immutable.
type Difference struct {
	// From and To are the versions of the two lists.
	From uint64 `cbor:"from"`
	To   uint64 `cbor:"to"`
	// Digest is the digest of the resulting list.
	Digest [sha256.Size]byte `cbor:"digest"`
	// Operations is sorted by name and has at most one operation per VM.
	Operations []Operation `cbor:"operations,omitempty"`
}

// Span returns From and To.
func (x Difference) Span() (from, to uint64) { return x.From, x.To }

// Len returns the number of operations.
func (x Difference) Len() int { return len(x.Operations) }

// Compare returns the difference that turns the list from into the list to.
func Compare(from, to *List) Difference {
	res := Difference{From: from.Version, To: to.Version, Digest: to.digest}
	addSet := func(to *VM) {
		v := to.withoutDefaults()
		res.Operations = append(res.Operations, Operation{Action: ActionSet, Name: v.Name, VM: &v})
	}
	a, b := from.VMs, to.VMs
	for len(a) > 0 && len(b) > 0 {
		switch {
		case a[0] == b[0] || *a[0] == *b[0]:
			a, b = a[1:], b[1:]
		case a[0].Name < b[0].Name:
			res.Operations = append(res.Operations, Operation{Action: ActionDelete, Name: a[0].Name})
			a = a[1:]
		case a[0].Name > b[0].Name:
			addSet(b[0])
			b = b[1:]
		default:
			addSet(b[0])
			a, b = a[1:], b[1:]
		}
	}
	for _, v := range a {
		res.Operations = append(res.Operations, Operation{Action: ActionDelete, Name: v.Name})
	}
	for _, v := range b {
		addSet(v)
	}
	return res
}

// Apply returns the list that results from the difference. The receiver must
// have the version From, and the result must be valid and have the digest of the
// difference. The error is a [*FromError], [*OperationError], [*InvalidError] or
// [*DigestError]; the caller must then fetch the whole list.
func (l *List) Apply(x Difference) (*List, error) {
	if x.From != l.Version {
		return nil, &FromError{ValueName: "VM list", Kind: kind, From: x.From, Held: l.Version}
	}
	p := &strict.Problems{}
	var top *strict.Location
	if x.To == 0 {
		p.Add(top.At("version"), "must be at least 1")
	}
	res := &List{Version: x.To, VMs: l.VMs, liveEntries: l.liveEntries}
	if len(x.Operations) > 0 {
		res.VMs = make([]*VM, 0, len(l.VMs)+len(x.Operations))
	}
	var removed, added []digest
	pos, entriesChanged := 0, false
	for i, o := range x.Operations {
		if message := x.checkOperation(i); message != "" {
			return nil, &OperationError{Index: i, Name: o.Name, Message: message}
		}
		next, found := l.find(o.Name)
		if o.Action == ActionDelete && !found {
			return nil, &OperationError{Index: i, Name: o.Name, Message: "VM does not exist"}
		}
		res.VMs = append(res.VMs, l.VMs[pos:next]...)
		pos = next
		if found {
			old := l.VMs[next]
			removed = append(removed, old.digest())
			entriesChanged = entriesChanged || old.Role == RoleEntry
			pos++
		}
		if o.Action == ActionSet {
			v := *o.VM
			v.setDefaults()
			v.validate(top.At("operations").Element(i).At("vm"), p)
			added = append(added, v.digest())
			entriesChanged = entriesChanged || v.Role == RoleEntry
			res.VMs = append(res.VMs, &v)
		}
	}
	if len(p.List) > 0 {
		return nil, &InvalidError{Problems: p.List, Omitted: p.Omitted}
	}
	if len(x.Operations) > 0 {
		res.VMs = append(res.VMs, l.VMs[pos:]...)
	}
	if entriesChanged {
		res.liveEntries = liveEntries(res.VMs)
	}
	res.tree = l.tree.with(removed, added)
	res.digest = res.tree.root(res.Version)
	if res.digest != x.Digest {
		return nil, &DigestError{Kind: kind, Number: x.To, Want: x.Digest, Got: res.digest}
	}
	return res, nil
}

// checkOperation returns the reason why an operation is malformed, or an empty
// string.
func (x Difference) checkOperation(i int) string {
	o := x.Operations[i]
	if i > 0 && o.Name <= x.Operations[i-1].Name {
		return "operations are not sorted by name or change a VM twice"
	}
	switch o.Action {
	case ActionSet:
		if o.VM == nil || o.VM.Name != o.Name {
			return "VM is absent or has another name"
		}
	case ActionDelete:
		if o.VM != nil {
			return "a delete operation has no VM"
		}
	default:
		return fmt.Sprintf("action %q does not exist", o.Action)
	}
	return ""
}

// encMode is the CBOR mode for differences.
var encMode = newEncMode()

func newEncMode() cbor.EncMode {
	mode, err := cbor.EncOptions{}.EncMode()
	if err != nil {
		panic(err) // The options are constant.
	}
	return mode
}

// EncodeDifference returns the CBOR encoding. It fails with a [*SizeError] when
// the encoding exceeds MaxBytes; the whole list is then the shorter message.
func EncodeDifference(x Difference) ([]byte, error) {
	return revision.Encode(kind, encMode, MaxBytes, x)
}

// DecodeDifference decodes the output of EncodeDifference. It rejects unknown
// fields and trailing data. The operations are checked by Apply.
func DecodeDifference(data []byte) (Difference, error) {
	return revision.Decode[Difference](kind, MaxBytes, data)
}
