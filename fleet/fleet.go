// Package fleet holds the list of endpoints that plain HTTP requests are sent to.
// A [List] is immutable; [List.With] and [List.Without] return changed copies.
package fleet

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// State is the state that an endpoint reports.
type State int

const (
	// Ready endpoints accept requests.
	Ready State = iota
	// Leaving endpoints finish their requests and accept no new ones.
	Leaving
)

// Endpoint is one process that runs requests. A restarted endpoint has another ID
// or another StartedMillis.
type Endpoint struct {
	// ID is unique among the live endpoints.
	ID string
	// Service is the name of the endpoint's service.
	Service string
	// Address is an IP address and port. Another endpoint may reuse it later.
	Address string
	// Domain is the endpoint's failure domain.
	Domain string
	// Slots is the number of requests that the endpoint runs concurrently, at
	// least 1.
	Slots int
	State State
	// StartedMillis is the start time in Unix milliseconds, or zero if it is
	// unknown.
	StartedMillis int64
	// ColdUntil is the time at which its cold start ends according to its entry; zero if it
	// is not cold.
	ColdUntil time.Time
	// Revision is the revision of its entry in the directory, zero if it is unknown.
	Revision uint64
}

// SameProcess reports whether o is the same process in the same place, not restarted: what is
// known of the one holds for the other. An unknown start time matches only an unknown one.
func (e Endpoint) SameProcess(o Endpoint) bool {
	return e.Process() == o.Process() && e.Service == o.Service && e.Address == o.Address && e.Domain == o.Domain
}

// List is a set of endpoints. The zero value is empty. It is safe for concurrent
// use.
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

// With returns a copy of the list with e added, replacing an endpoint with the
// same ID.
func (l List) With(e Endpoint) List {
	res := List{byID: maps.Clone(l.byID)}
	if res.byID == nil {
		res.byID = map[string]Endpoint{}
	}
	res.byID[e.ID] = e
	return res
}

// Without returns a copy of the list without the endpoint with the ID.
func (l List) Without(id string) List {
	res := List{byID: maps.Clone(l.byID)}
	delete(res.byID, id)
	return res
}

// Find returns the endpoint with the ID.
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
