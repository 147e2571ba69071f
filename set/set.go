// Package set implements a generic set.
package set

// Set is a set of comparable values. The nil set is empty and read-only.
type Set[T comparable] map[T]struct{}

// Of returns a set with the given values.
func Of[T comparable](values ...T) Set[T] {
	res := make(Set[T], len(values))
	for _, v := range values {
		res.Add(v)
	}
	return res
}

// Add adds v to the set and reports whether it was absent.
func (s Set[T]) Add(v T) bool {
	_, found := s[v]
	s[v] = struct{}{}
	return !found
}

// Has reports whether v is in the set.
func (s Set[T]) Has(v T) bool {
	_, found := s[v]
	return found
}
