// Package fleet is the list of endpoints that plain HTTP requests are sent to.
// A [List] is immutable; [List.With] and [List.Without] return changed copies.
package fleet

import (
	"cmp"
	"maps"
	"slices"
)

// State is what an endpoint says of itself.
type State int

const (
	// Ready endpoints take requests.
	Ready State = iota
	// Leaving endpoints finish what they have and take nothing new.
	Leaving
)

// Endpoint is one process that runs requests. An endpoint that starts again has
// another ID or another Born.
type Endpoint struct {
	// ID is unique among the endpoints that live.
	ID string
	// Service is the name of the service that it belongs to.
	Service string
	// Address is an IP address and port. It may belong to another endpoint later.
	Address string
	// Domain is its failure domain.
	Domain string
	// Slots is the number of requests that it runs at a time, at least 1.
	Slots int
	State State
	// Born is the time of its start in Unix milliseconds, zero when it is unsaid.
	Born int64
}

// Same reports whether o is the same start of the same process.
func (e Endpoint) Same(o Endpoint) bool {
	return e.ID == o.ID && e.Address == o.Address && (e.Born == o.Born || e.Born == 0 || o.Born == 0)
}

// List is a set of endpoints. The zero value is empty. It is safe for use by
// several goroutines.
type List struct {
	byID map[string]Endpoint
}

// Of returns a list of the endpoints.
func Of(endpoints ...Endpoint) List {
	res := List{byID: make(map[string]Endpoint, len(endpoints))}
	for _, e := range endpoints {
		res.byID[e.ID] = e
	}
	return res
}

// With returns a list in which e replaces what had its ID.
func (l List) With(e Endpoint) List {
	res := List{byID: maps.Clone(l.byID)}
	if res.byID == nil {
		res.byID = map[string]Endpoint{}
	}
	res.byID[e.ID] = e
	return res
}

// Without returns a list without the ID.
func (l List) Without(id string) List {
	res := List{byID: maps.Clone(l.byID)}
	delete(res.byID, id)
	return res
}

// Find returns the endpoint of that ID.
func (l List) Find(id string) (Endpoint, bool) {
	e, found := l.byID[id]
	return e, found
}

// Len returns the number of endpoints.
func (l List) Len() int { return len(l.byID) }

// All returns the endpoints sorted by ID.
func (l List) All() []Endpoint {
	return slices.SortedFunc(maps.Values(l.byID), func(a, b Endpoint) int { return cmp.Compare(a.ID, b.ID) })
}
