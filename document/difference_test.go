package document_test

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"damasktrail.dev/document"
)

// drawDocument draws a valid document with few names, so that two documents share
// items.
func drawDocument(t *rapid.T, generation uint64) *document.Document {
	d := &document.Document{Generation: generation}
	d.Policy = rapid.SampledFrom([]string{document.PolicyCost, document.PolicyLeast, document.PolicyRound}).Draw(t, "policy")
	names := func(label string, low int) []string {
		all := []string{"a", "b", "c", "d", "e", "f"}
		return rapid.SliceOfNDistinct(rapid.SampledFrom(all), low, len(all), rapid.ID[string]).Draw(t, label)
	}
	number := func(label string) int { return rapid.IntRange(1, 3).Draw(t, label) }
	for _, n := range names("domains", 0) {
		d.Domains = append(d.Domains, document.Domain{Name: n, Region: fmt.Sprint("region-", number("region"))})
	}
	for i, n := range names("tiers", 1) {
		d.Tiers = append(d.Tiers, document.Tier{Name: n, Rank: i, Deadline: time.Duration(number("deadline")) * time.Second})
	}
	for _, n := range names("models", 1) {
		d.Models = append(d.Models, document.Model{Name: n, Context: number("context"), Adapters: names("adapters", 0), Versions: []string{"1", "2"}})
	}
	for _, n := range names("sets", 0) {
		s := document.Set{Name: "set-" + n, Kind: document.KindService}
		if rapid.Bool().Draw(t, "engine") {
			m := rapid.SampledFrom(d.Models).Draw(t, "model")
			s = document.Set{Name: "set-" + n, Kind: document.KindEngine, Model: m.Name, Version: "1", Role: document.RoleBoth, Adapters: m.Adapters}
		}
		d.Sets = append(d.Sets, s)
		if s.Kind == document.KindService {
			d.Services = append(d.Services, document.Service{Name: "service-" + n, Set: s.Name})
		}
	}
	for _, n := range names("organisations", 0) {
		d.Organisations = append(d.Organisations, document.Organisation{
			Name: n, Keys: []string{document.KeyDigest(n)}, Tiers: []string{rapid.SampledFrom(d.Tiers).Draw(t, "tier").Name},
			Share: number("share"), Rate: float64(number("rate")) / 2, Inflight: 1,
		})
	}
	return reparse(d)
}

// Guards against a difference that gives a process a different document than its
// peers have, and against a result with outdated lookup tables.
func TestApplyCompare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := drawDocument(t, 1), drawDocument(t, rapid.Uint64Range(2, 4).Draw(t, "generation"))
		data, err := document.EncodeDifference(document.Compare(a, b))
		require.NoError(t, err)
		x, err := document.DecodeDifference(data)
		require.NoError(t, err)
		before := a.Encode()
		got, err := a.Apply(x)
		require.NoError(t, err)
		require.Equal(t, b, got)
		require.Equal(t, before, a.Encode(), "the receiver changed")
		same := document.Compare(b, got)
		require.Empty(t, same.Operations)
	})
}

// Guards against a holder that returns to an older document, and against a history
// that does not lead to the document in force.
func TestHolderNeverFalls(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := document.NewHolder()
		accepted := map[uint64]*document.Document{}
		for range rapid.IntRange(1, 12).Draw(t, "offers") {
			before, held, changed := h.Number(), h.Load(), h.Changed()
			d := drawDocument(t, rapid.Uint64Range(1, 9).Draw(t, "generation"))
			ok, err := h.Offer(d)
			require.GreaterOrEqual(t, h.Number(), before)
			var older *document.OlderError
			var conflict *document.ConflictError
			switch {
			case d.Generation > before:
				require.NoError(t, err)
				require.True(t, ok)
				require.Same(t, d, h.Load())
				<-changed
				accepted[d.Generation] = d
				continue
			case d.Generation < before:
				require.ErrorAs(t, err, &older)
			case d.Digest() != held.Digest():
				require.ErrorAs(t, err, &conflict)
			default:
				require.NoError(t, err)
			}
			require.False(t, ok)
			require.Same(t, held, h.Load())
			select {
			case <-changed:
				t.Fatal("changed was closed without a change")
			default:
			}
		}
		for _, d := range accepted {
			list, ok := h.Since(d.Generation)
			require.True(t, ok)
			for _, x := range list {
				next, err := d.Apply(x)
				require.NoError(t, err)
				d = next
			}
			require.Equal(t, h.Load(), d)
		}
	})
}

// Guards against an unbounded history, and against sending differences to a peer
// that is too far behind to apply them.
func TestHolderBoundsHistory(t *testing.T) {
	h := document.NewHolder()
	require.Nil(t, h.Load())
	_, ok := h.Since(0)
	require.False(t, ok)
	for g := range uint64(100) {
		_, err := h.Offer(newDocument(g+1, 1, 1, 1))
		require.NoError(t, err)
	}
	list, ok := h.Since(36)
	require.True(t, ok)
	require.Len(t, list, 64)
	_, ok = h.Since(35)
	require.False(t, ok)
	list, ok = h.Since(100)
	require.True(t, ok)
	require.Empty(t, list)
	_, ok = h.Since(101)
	require.False(t, ok)

	// Together, two differences of 4,999 operations exceed the limit of 8,192.
	for g, organisations := range []int{5000, 1, 2} {
		_, err := h.Offer(newDocument(uint64(101+g), organisations, 1, 1))
		require.NoError(t, err)
	}
	_, ok = h.Since(100)
	require.False(t, ok)
	list, ok = h.Since(101)
	require.True(t, ok)
	require.Len(t, list, 2)
}

// Guards against a difference that is applied partially or to the wrong document.
func TestApplyRefuses(t *testing.T) {
	a, b := newDocument(1, 3, 2, 2), newDocument(2, 4, 2, 2)
	tier := a.Tiers[0]
	for name, c := range map[string]struct {
		change func(x *document.Difference)
		want   string
	}{
		"other start":    {func(x *document.Difference) { x.From = 9 }, "difference starts from generation 9, document has generation 1"},
		"other digest":   {func(x *document.Difference) { x.Digest[0]++ }, "it announced"},
		"other end":      {func(x *document.Difference) { x.To = 3 }, "difference to generation 3 gives digest"},
		"less":           {func(x *document.Difference) { x.Operations = nil }, "gives digest"},
		"section":        {func(x *document.Difference) { x.Operations[0].Section = "x" }, `operations[0]: x "organisation-0003": section does not exist`},
		"action":         {func(x *document.Difference) { x.Operations[0].Action = "move" }, `action "move" does not exist`},
		"no value":       {func(x *document.Difference) { x.Operations[0].Organisation = nil }, "value is absent or has another name"},
		"other name":     {func(x *document.Difference) { x.Operations[0].Name = "x" }, "value is absent or has another name"},
		"other section":  {func(x *document.Difference) { x.Operations[0].Section = document.SectionTiers }, "value is absent or has another name"},
		"delete a value": {func(x *document.Difference) { x.Operations[0].Action = document.ActionDelete }, "a delete operation has no value"},
		"twice": {
			func(x *document.Difference) { x.Operations = append(x.Operations, x.Operations[0]) },
			`operations[1]: organisations "organisation-0003": item is changed twice`,
		},
		"delete what is absent": {func(x *document.Difference) {
			x.Operations = []document.Operation{{Action: document.ActionDelete, Section: document.SectionSets, Name: "x"}}
		}, `operations[0]: sets "x": item does not exist`},
		"delete the policy": {func(x *document.Difference) {
			x.Operations = []document.Operation{{Action: document.ActionDelete, Section: document.SectionPolicy, Name: "cost"}}
		}, "policy can only be set, and once"},
		"tier in two places": {func(x *document.Difference) {
			x.Operations = []document.Operation{{Action: document.ActionSet, Section: document.SectionTiers, Name: tier.Name, Set: &a.Sets[0]}}
		}, "value is absent or has another name"},
	} {
		t.Run(name, func(t *testing.T) {
			x := document.Compare(a, b)
			require.Len(t, x.Operations, 1)
			c.change(&x)
			_, err := a.Apply(x)
			require.ErrorContains(t, err, c.want)
		})
	}
}

func FuzzDecodeDifference(f *testing.F) {
	a := newDocument(1, 2, 1, 1)
	for _, b := range []*document.Document{newDocument(2, 3, 1, 1), newDocument(2, 1, 2, 3), a} {
		data, err := document.EncodeDifference(document.Compare(a, b))
		require.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		x, err := document.DecodeDifference(data)
		if err != nil {
			return
		}
		if d, err := a.Apply(x); err == nil {
			require.Equal(t, x.Digest, d.Digest())
		}
		if again, err := document.EncodeDifference(x); err == nil {
			y, err := document.DecodeDifference(again)
			require.NoError(t, err)
			require.Equal(t, x.Digest, y.Digest)
		}
	})
}

var sizes = []struct{ organisations, models, sets int }{{220, 3, 34}, {1100, 12, 168}, {2200, 24, 336}}

func BenchmarkParse(b *testing.B) {
	for _, s := range sizes {
		data := newDocument(1, s.organisations, s.models, s.sets).Encode()
		b.Run(fmt.Sprint(s.organisations), func(b *testing.B) {
			b.SetBytes(int64(len(data)))
			for b.Loop() {
				_, err := document.Parse(data)
				require.NoError(b, err)
			}
		})
	}
}

// changeOrganisation returns two documents that differ in one organisation.
func changeOrganisation(s struct{ organisations, models, sets int }) (x, y *document.Document) {
	x = newDocument(1, s.organisations, s.models, s.sets)
	next := *newDocument(2, s.organisations, s.models, s.sets)
	next.Organisations = append([]document.Organisation(nil), next.Organisations...)
	next.Organisations[s.organisations/2].Share++
	return x, reparse(&next)
}

func BenchmarkCompare(b *testing.B) {
	for _, s := range sizes {
		from, to := changeOrganisation(s)
		b.Run(fmt.Sprint(s.organisations), func(b *testing.B) {
			for b.Loop() {
				document.Compare(from, to)
			}
		})
	}
}

func BenchmarkApply(b *testing.B) {
	for _, s := range sizes {
		from, to := changeOrganisation(s)
		x := document.Compare(from, to)
		data, err := document.EncodeDifference(x)
		require.NoError(b, err)
		b.Run(fmt.Sprint(s.organisations), func(b *testing.B) {
			b.ReportMetric(float64(len(data)), "bytes/difference")
			b.ReportAllocs()
			for b.Loop() {
				_, err := from.Apply(x)
				require.NoError(b, err)
			}
		})
	}
}

// Guards against a reader that sees an older generation, or a history that does
// not match the document, during concurrent calls of Offer.
func TestHolderConcurrently(t *testing.T) {
	h := document.NewHolder()
	documents := make([]*document.Document, 40)
	for i := range documents {
		documents[i] = newDocument(uint64(i+1), 1+i%3, 1, 1)
	}
	var offers, reads sync.WaitGroup
	done := make(chan struct{})
	for range 4 {
		reads.Go(func() {
			for last := uint64(0); ; {
				select {
				case <-done:
					return
				case <-h.Changed():
				}
				d := h.Load()
				if d.Generation < last {
					t.Errorf("generation fell from %d to %d", last, d.Generation)
				}
				last = d.Generation
				if _, ok := h.Since(last); !ok {
					t.Errorf("history does not reach generation %d", last)
				}
			}
		})
		offers.Go(func() {
			for _, i := range rand.Perm(len(documents)) {
				_, _ = h.Offer(documents[i])
			}
		})
	}
	offers.Wait()
	close(done)
	reads.Wait()
	require.Same(t, documents[39], h.Load())
}
