package member_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"damasktrail.dev/member"
)

// drawList draws a valid list with few names, so that two lists share VMs.
func drawList(t *rapid.T, version uint64) *member.List {
	names := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c", "d", "e", "f"}), 0, 6, rapid.ID[string]).Draw(t, "names")
	var vms []member.VM
	for _, n := range names {
		v := member.VM{
			Name: n, Domain: "d", Address: fmt.Sprint("10.0.0.", rapid.IntRange(1, 2).Draw(t, "address"), ":1"),
			State: rapid.SampledFrom([]string{"", member.StateLive, member.StateLeaving}).Draw(t, "state"), Role: member.RoleEntry,
		}
		if rapid.Bool().Draw(t, "agent") {
			v.Role, v.Set = member.RoleAgent, "s"
		}
		vms = append(vms, v)
	}
	res, err := member.New(version, vms)
	require.NoError(t, err)
	return res
}

// Guards against a difference that gives a process a different list than its
// peers have, and against a result with outdated lookups or an outdated digest.
func TestApplyCompare(t *testing.T) {
	d := newFleet(t, 1, 1, 0, 0).document
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawList(t, 1), drawList(t, rapid.Uint64Range(2, 4).Draw(t, "version"))
		data, err := member.EncodeDifference(member.Compare(a, b))
		require.NoError(t, err)
		x, err := member.DecodeDifference(data)
		require.NoError(t, err)
		before := a.Encode()
		got, err := a.Apply(x)
		require.NoError(t, err)
		require.Equal(t, b.Encode(), got.Encode())
		require.Equal(t, b.Digest(), got.Digest())
		parsed, err := member.Parse(got.Encode())
		require.NoError(t, err)
		require.Equal(t, parsed.Digest(), got.Digest())
		require.Equal(t, member.Readers(b, d, "", 1, 9), member.Readers(got, d, "", 1, 9))
		require.Equal(t, before, a.Encode(), "the receiver changed")
		require.Empty(t, member.Compare(b, got).Operations)
	})
}

// Guards against a difference that is applied partially or to the wrong list.
func TestApplyRefuses(t *testing.T) {
	vm := func(name, address string) member.VM {
		return member.VM{Name: name, Role: member.RoleEntry, Address: address, Domain: "d"}
	}
	list := func(version uint64, vms ...member.VM) *member.List {
		l, err := member.New(version, vms)
		require.NoError(t, err)
		return l
	}
	a := list(1, vm("a", "10.0.0.1:1"), vm("b", "10.0.0.1:1"), vm("c", "10.0.0.1:1"))
	b := list(2, vm("a", "10.0.0.2:1"), vm("c", "10.0.0.1:1"))
	for name, c := range map[string]struct {
		change func(x *member.Difference)
		want   string
	}{
		"other start":    {func(x *member.Difference) { x.From = 9 }, "difference starts from version 9, VM list has version 1"},
		"other digest":   {func(x *member.Difference) { x.Digest[0]++ }, "it announced"},
		"other end":      {func(x *member.Difference) { x.To = 3 }, "difference to version 3 gives digest"},
		"version zero":   {func(x *member.Difference) { x.To = 0 }, "version: must be at least 1"},
		"less":           {func(x *member.Difference) { x.Operations = x.Operations[:1] }, "gives digest"},
		"nothing":        {func(x *member.Difference) { x.Operations = nil }, "gives digest"},
		"action":         {func(x *member.Difference) { x.Operations[0].Action = "move" }, `operations[0]: VM "a": action "move" does not exist`},
		"no VM":          {func(x *member.Difference) { x.Operations[0].VM = nil }, "VM is absent or has another name"},
		"other name":     {func(x *member.Difference) { x.Operations[0].Name = "x" }, "VM is absent or has another name"},
		"delete with VM": {func(x *member.Difference) { x.Operations[1].VM = &member.VM{} }, "a delete operation has no VM"},
		"twice":          {func(x *member.Difference) { x.Operations[1] = x.Operations[0] }, "operations[1]: VM \"a\": operations are not sorted"},
		"not sorted": {func(x *member.Difference) {
			x.Operations[0], x.Operations[1] = x.Operations[1], x.Operations[0]
		}, "not sorted"},
		"delete what is absent": {func(x *member.Difference) { x.Operations[1].Name = "x" }, "VM does not exist"},
		"invalid VM":            {func(x *member.Difference) { x.Operations[0].VM.Address = "x" }, `operations[0].vm.address: "x" is not`},
	} {
		t.Run(name, func(t *testing.T) {
			x := member.Compare(a, b)
			require.Len(t, x.Operations, 2)
			c.change(&x)
			_, err := a.Apply(x)
			require.ErrorContains(t, err, c.want)
		})
	}
}

// Guards against a holder that returns to an older list, and against a history
// that does not lead to the list in force.
func TestHolderHistory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := member.NewHolder()
		accepted := map[uint64]*member.List{}
		for range rapid.IntRange(1, 12).Draw(t, "offers") {
			before := h.Number()
			l := drawList(t, rapid.Uint64Range(1, 9).Draw(t, "version"))
			ok, err := h.Offer(l)
			require.Equal(t, l.Version > before, ok)
			require.Equal(t, max(l.Version, before), h.Number())
			if ok {
				require.NoError(t, err)
				accepted[l.Version] = l
			}
		}
		for _, l := range accepted {
			list, ok := h.Since(l.Version)
			require.True(t, ok)
			for _, x := range list {
				next, err := l.Apply(x)
				require.NoError(t, err)
				l = next
			}
			require.Equal(t, h.Load().Digest(), l.Digest())
		}
	})
}

// Guards against an unbounded history, and against sending differences to a peer
// that is too far behind to apply them.
func TestHolderBoundsHistory(t *testing.T) {
	h := member.NewHolder()
	_, ok := h.Since(0)
	require.False(t, ok)
	f := newFleet(t, 1, 1, 5000, 0)
	offer := func(version uint64, n int) {
		l, err := member.New(version, f.vms[:n])
		require.NoError(t, err)
		_, err = h.Offer(l)
		require.NoError(t, err)
	}
	for v := range uint64(100) {
		offer(v+1, 1)
	}
	for version, want := range map[uint64]int{36: 64, 100: 0, 35: -1, 101: -1, 0: -1} {
		list, ok := h.Since(version)
		require.Equal(t, want >= 0, ok, version)
		require.Len(t, list, max(want, 0), version)
	}
	// Together, two differences of 4,999 operations exceed the limit of 8,192.
	offer(101, 5000)
	offer(102, 1)
	offer(103, 2)
	_, ok = h.Since(100)
	require.False(t, ok)
	list, ok := h.Since(101)
	require.True(t, ok)
	require.Len(t, list, 2)
}

func FuzzDecodeDifference(f *testing.F) {
	a, err := member.Parse([]byte(example))
	require.NoError(f, err)
	for _, vms := range [][]member.VM{nil, {*a.VMs[0]}, {{Name: "x", Set: "s", Domain: "d", Address: "10.0.0.1:1"}}} {
		b, err := member.New(4, vms)
		require.NoError(f, err)
		data, err := member.EncodeDifference(member.Compare(a, b))
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		x, err := member.DecodeDifference(data)
		if err != nil {
			return
		}
		if l, err := a.Apply(x); err == nil {
			require.Equal(t, x.Digest, l.Digest())
			same, err := member.Parse(l.Encode())
			require.NoError(t, err, "the result is valid")
			require.Equal(t, same.Digest(), l.Digest())
		}
		if again, err := member.EncodeDifference(x); err == nil {
			y, err := member.DecodeDifference(again)
			require.NoError(t, err)
			require.Equal(t, x.Digest, y.Digest)
		}
	})
}

// replaceAgent returns a list of the maximum planned size and a second one in
// which an agent is replaced by one with a different name and address.
func replaceAgent(tb testing.TB) (from, to *member.List) {
	f := newFleet(tb, 7, 24, 540, 12000)
	from = f.list(tb, nil)
	f.vms[6000].Name, f.vms[6000].Address = "a99999", "10.9.9.9:7000"
	to, err := member.New(2, f.vms)
	require.NoError(tb, err)
	return from, to
}

func BenchmarkApply(b *testing.B) {
	from, to := replaceAgent(b)
	data, err := member.EncodeDifference(member.Compare(from, to))
	require.NoError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		x, err := member.DecodeDifference(data)
		require.NoError(b, err)
		_, err = from.Apply(x)
		require.NoError(b, err)
	}
	b.ReportMetric(float64(len(data)), "bytes/difference")
}

func BenchmarkCompare(b *testing.B) {
	from, to := replaceAgent(b)
	applied, err := from.Apply(member.Compare(from, to))
	require.NoError(b, err)
	for name, to := range map[string]*member.List{"applied": applied, "parsed": to} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				member.Compare(from, to)
			}
		})
	}
}
