package document

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"encoding/json"
	"slices"
)

// item is a named value of a section.
type item interface {
	key() string
}

func (d Domain) key() string       { return d.Name }
func (t Tier) key() string         { return t.Name }
func (m Model) key() string        { return m.Name }
func (s Set) key() string          { return s.Name }
func (s Service) key() string      { return s.Name }
func (o Organisation) key() string { return o.Name }

// section holds the items of one section of a document.
type section[T item] struct {
	// values is sorted by key, without duplicates.
	values []T
	// digests holds the SHA-256 of the canonical encoding of each value.
	digests [][sha256.Size]byte
	// positions maps a key to its index in values; nil until the section is built.
	positions map[string]int
}

func (s section[T]) find(name string) (res T, ok bool) {
	i, ok := s.positions[name]
	if !ok {
		return res, false
	}
	return s.values[i], true
}

// buildOnce returns s when it is already built, and otherwise a section with the
// given values.
func (s section[T]) buildOnce(values []T) section[T] {
	if s.positions != nil {
		return s
	}
	values = slices.Clone(values)
	slices.SortFunc(values, func(a, b T) int { return cmp.Compare(a.key(), b.key()) })
	res := section[T]{values: values, digests: make([][sha256.Size]byte, len(values))}
	for i, v := range values {
		res.digests[i] = digest(v)
	}
	return res.withPositions()
}

func (s section[T]) withPositions() section[T] {
	s.positions = make(map[string]int, len(s.values))
	for i, v := range s.values {
		s.positions[v.key()] = i
	}
	return s
}

// compare calls set for each value of to that is absent from s or differs there,
// and remove for each name in s that is absent from to.
func (s section[T]) compare(to section[T], set func(T), remove func(name string)) {
	i, j := 0, 0
	for i < len(s.values) || j < len(to.values) {
		switch order := s.compareKeys(i, to, j); {
		case order < 0:
			remove(s.values[i].key())
			i++
		case order > 0:
			set(to.values[j])
			j++
		default:
			if s.digests[i] != to.digests[j] {
				set(to.values[j])
			}
			i++
			j++
		}
	}
}

// compareKeys compares the key at index i with the key at index j of to; the end of
// a section sorts after all keys.
func (s section[T]) compareKeys(i int, to section[T], j int) int {
	switch {
	case i == len(s.values):
		return 1
	case j == len(to.values):
		return -1
	}
	return cmp.Compare(s.values[i].key(), to.values[j].key())
}

// apply returns the section with the changes; a nil change deletes the item. It
// also returns the first name that cannot be deleted because it does not exist.
func (s section[T]) apply(changes map[string]*T) (res section[T], missing string) {
	if len(changes) == 0 {
		return s, ""
	}
	names := make([]string, 0, len(changes))
	for n := range changes {
		names = append(names, n)
	}
	slices.Sort(names)
	size := len(s.values) + len(names)
	res.values = make([]T, 0, size)
	res.digests = make([][sha256.Size]byte, 0, size)
	pos := 0
	for _, n := range names {
		next, found := slices.BinarySearchFunc(s.values[pos:], n, func(v T, n string) int {
			return cmp.Compare(v.key(), n)
		})
		next += pos
		res.values = append(res.values, s.values[pos:next]...)
		res.digests = append(res.digests, s.digests[pos:next]...)
		pos = next
		if found {
			pos++
		}
		switch change := changes[n]; {
		case change != nil:
			res.values = append(res.values, *change)
			res.digests = append(res.digests, digest(*change))
		case !found:
			return s, n
		}
	}
	res.values = append(res.values, s.values[pos:]...)
	res.digests = append(res.digests, s.digests[pos:]...)
	if len(res.values) == 0 {
		res.values = nil
	}
	return res.withPositions(), ""
}

func digest(v any) [sha256.Size]byte {
	b, err := canonicalMode.Marshal(v)
	if err != nil {
		panic(err) // Items have only strings, numbers and lists of strings.
	}
	return sha256.Sum256(b)
}

func marshal(v any) ([]byte, error) {
	var b bytes.Buffer
	e := json.NewEncoder(&b)
	e.SetEscapeHTML(false)
	err := e.Encode(v)
	return bytes.TrimSuffix(b.Bytes(), []byte("\n")), err
}
