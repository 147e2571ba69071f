package member

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"slices"
)

// digestFormat must change whenever the same content gets a different digest.
const digestFormat = 1

// branchCount is the number of branches of a tree. With 256 branches, a change of
// one of 12,540 VMs hashes about 1.6 KB of its branch and 8 KB of the root; a
// digest without branches would hash 401 KB.
const branchCount = 256

type digest = [sha256.Size]byte

// tree is a two-level Merkle tree over the set of VM digests. It is immutable after
// its construction; trees share equal branches.
type tree struct {
	// leaves holds the VM digests by their first byte, sorted within each branch.
	leaves [branchCount][]digest
	// branchDigests holds the SHA-256 of each branch.
	branchDigests [branchCount]digest
}

func newTree(vms []VM) *tree {
	res := &tree{}
	for i := range vms {
		d := vms[i].digest()
		res.leaves[d[0]] = append(res.leaves[d[0]], d)
	}
	for i := range res.leaves {
		slices.SortFunc(res.leaves[i], compareDigests)
		res.updateBranch(i)
	}
	return res
}

// with returns a tree without the digests in removed, which t must contain, and
// with those in added.
func (t *tree) with(removed, added []digest) *tree {
	res := *t
	var copied [branchCount]bool
	copyBranch := func(i byte) {
		if !copied[i] {
			copied[i] = true
			res.leaves[i] = slices.Clone(res.leaves[i])
		}
	}
	for _, d := range removed {
		copyBranch(d[0])
		pos, _ := slices.BinarySearchFunc(res.leaves[d[0]], d, compareDigests)
		res.leaves[d[0]] = slices.Delete(res.leaves[d[0]], pos, pos+1)
	}
	for _, d := range added {
		copyBranch(d[0])
		pos, _ := slices.BinarySearchFunc(res.leaves[d[0]], d, compareDigests)
		res.leaves[d[0]] = slices.Insert(res.leaves[d[0]], pos, d)
	}
	for i, changed := range copied {
		if changed {
			res.updateBranch(i)
		}
	}
	return &res
}

// updateBranch recomputes the digest of a branch.
func (t *tree) updateBranch(i int) {
	if len(t.leaves[i]) == 0 {
		t.leaves[i], t.branchDigests[i] = nil, digest{}
		return
	}
	h := sha256.New()
	for _, d := range t.leaves[i] {
		h.Write(d[:])
	}
	h.Sum(t.branchDigests[i][:0])
}

// root returns the digest of a list with the given version.
func (t *tree) root(version uint64) (res digest) {
	h := sha256.New()
	h.Write(binary.BigEndian.AppendUint64([]byte{digestFormat}, version))
	for i := range t.branchDigests {
		h.Write(t.branchDigests[i][:])
	}
	h.Sum(res[:0])
	return res
}

// digest returns the SHA-256 of the fields, each prefixed with its length.
func (v *VM) digest() digest {
	var buf [256]byte
	b := buf[:0]
	for _, field := range [...]string{v.Name, v.Role, v.Address, v.Domain, v.Set, v.State} {
		b = binary.AppendUvarint(b, uint64(len(field)))
		b = append(b, field...)
	}
	return sha256.Sum256(b)
}

func compareDigests(a, b digest) int {
	return bytes.Compare(a[:], b[:])
}
