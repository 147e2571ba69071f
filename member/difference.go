package member

import (
	"crypto/sha256"
	"fmt"

	"github.com/fxamacker/cbor/v2"

	"damasktrail.dev/internal/revision"
	"damasktrail.dev/internal/strict"
)

// The actions of an Operation.
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
	// VM is what ActionSet puts in place; nil for ActionDelete. The default role
	// and state may be left out.
	VM *VM `cbor:"vm,omitempty"`
}

// Difference leads from one list to another. It is immutable.
type Difference struct {
	// From and To are the versions of the two lists.
	From uint64 `cbor:"from"`
	To   uint64 `cbor:"to"`
	// Digest is that of the resulting list.
	Digest [sha256.Size]byte `cbor:"digest"`
	// Operations has each VM at most once, sorted by name.
	Operations []Operation `cbor:"operations,omitempty"`
}

// Span returns From and To.
func (x Difference) Span() (from, to uint64) { return x.From, x.To }

// Len returns the number of operations.
func (x Difference) Len() int { return len(x.Operations) }

// Compare returns the difference that leads from one list to the other.
func Compare(from, to *List) Difference {
	res := Difference{From: from.Version, To: to.Version, Digest: to.digest}
	set := func(to *VM) {
		v := to.short()
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
			set(b[0])
			b = b[1:]
		default:
			set(b[0])
			a, b = a[1:], b[1:]
		}
	}
	for _, v := range a {
		res.Operations = append(res.Operations, Operation{Action: ActionDelete, Name: v.Name})
	}
	for _, v := range b {
		set(v)
	}
	return res
}

// Apply returns the list to which the difference leads. The receiver must have
// the version From, and the result must be valid and have the announced digest.
// Errors are [*FromError], [*OperationError], [*InvalidError] and
// [*DigestError]; the list is then to be fetched whole.
func (l *List) Apply(x Difference) (*List, error) {
	if x.From != l.Version {
		return nil, &FromError{Noun: "VM list", Kind: kind, From: x.From, Held: l.Version}
	}
	p := &strict.Problems{}
	var top *strict.Location
	if x.To == 0 {
		p.Add(top.At("version"), "must be at least 1")
	}
	res := &List{Version: x.To, VMs: l.VMs, entries: l.entries}
	if len(x.Operations) > 0 {
		res.VMs = make([]*VM, 0, len(l.VMs)+len(x.Operations))
	}
	var removed, added []digest
	at, entries := 0, false
	for i, o := range x.Operations {
		if message := x.check(i); message != "" {
			return nil, &OperationError{Index: i, Name: o.Name, Message: message}
		}
		next, found := l.find(o.Name)
		if o.Action == ActionDelete && !found {
			return nil, &OperationError{Index: i, Name: o.Name, Message: "VM does not exist"}
		}
		res.VMs = append(res.VMs, l.VMs[at:next]...)
		at = next
		if found {
			old := l.VMs[next]
			removed = append(removed, old.digest())
			entries = entries || old.Role == RoleEntry
			at++
		}
		if o.Action == ActionSet {
			v := *o.VM
			v.complete()
			v.check(top.At("operations").Element(i).At("vm"), p)
			added = append(added, v.digest())
			entries = entries || v.Role == RoleEntry
			res.VMs = append(res.VMs, &v)
		}
	}
	if len(p.List) > 0 {
		return nil, &InvalidError{Problems: p.List, Omitted: p.Omitted}
	}
	if len(x.Operations) > 0 {
		res.VMs = append(res.VMs, l.VMs[at:]...)
	}
	if entries {
		res.entries = liveEntries(res.VMs)
	}
	res.tree = l.tree.with(removed, added)
	res.digest = res.tree.root(res.Version)
	if res.digest != x.Digest {
		return nil, &DigestError{Kind: kind, Number: x.To, Want: x.Digest, Got: res.digest}
	}
	return res, nil
}

// check returns what is wrong with the form of an operation.
func (x Difference) check(i int) string {
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

// encoding is that of differences.
var encoding = newEncoding()

func newEncoding() cbor.EncMode {
	mode, err := cbor.EncOptions{}.EncMode()
	if err != nil {
		panic(err) // The options are constant.
	}
	return mode
}

// EncodeDifference returns the CBOR encoding. It fails with a [*SizeError] when
// that exceeds MaxSize; the whole list is then the shorter message.
func EncodeDifference(x Difference) ([]byte, error) {
	return revision.Encode(kind, encoding, MaxSize, x)
}

// DecodeDifference reads what EncodeDifference wrote. Unknown fields and trailing
// data are refused. The operations are checked by Apply.
func DecodeDifference(data []byte) (Difference, error) {
	return revision.Decode[Difference](kind, MaxSize, data)
}
