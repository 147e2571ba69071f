package damasktrail

import (
	"context"
	"errors"
	"time"

	"damasktrail.dev/fleet"
	"damasktrail.dev/routing"
)

// ErrHistoryGone is returned by a watch of a [Directory] whose history does not reach
// back to the given revision. The caller must read the whole value again.
var ErrHistoryGone = errors.New("history is no longer available")

// ErrManyChanges is returned by a watch of a [Directory] that would bring more than the
// whole value. The caller must read the whole value again.
var ErrManyChanges = errors.New("changes are larger than the whole value")

// Watch says what a watch of a [Directory] waits for.
type Watch struct {
	// After is the revision after which changes are returned.
	After uint64
	// Wait is how long the watch waits for a change. An answer that begins to arrive in
	// this time may take longer.
	Wait time.Duration
	// Receiving is called once when the answer begins to arrive, unless it is nil. A
	// caller that ends the watch later loses an answer that is on its way.
	Receiving func()
}

// TableUpdate is the result of a read or watch of the routing table.
type TableUpdate struct {
	// Table is never nil.
	Table *routing.Table
	// Revision is the revision from which a watch continues.
	Revision uint64
	// Transfer describes the answer that brought the table.
	Transfer Transfer
}

// Transfer describes an answer that has arrived.
type Transfer struct {
	// Bytes is the size of its body.
	Bytes int
	// Took is the time from the head of the answer to the end of its body.
	Took time.Duration
}

// EndpointChange describes an endpoint that was added, changed or removed.
type EndpointChange struct {
	// Endpoint has only an ID if Removed is set.
	Endpoint fleet.Endpoint
	Removed  bool
}

// EndpointUpdate is the result of a read or watch of the list of endpoints.
type EndpointUpdate struct {
	// Changes is the whole list after a read, or the changes in order after a
	// watch.
	Changes []EndpointChange
	// Revision is the revision from which a watch continues.
	Revision uint64
	// Changed is the revision of the last change of an entry of the list after a
	// read; zero after a watch.
	Changed uint64
	// Unreadable is the number of entries that could not be decoded. A read omits
	// them from Changes, a watch reports them as removed.
	Unreadable int
	// Unusable has the IDs of these entries after a read. They are in the list, so that
	// none of them counts as missing.
	Unusable []string
}

// Directory provides read-only access to a published routing table and list of
// endpoints. Each call counts against the directory's limit on the read rate.
// Implementations are safe for concurrent use.
type Directory interface {
	// Table returns the newest table.
	Table(ctx context.Context) (TableUpdate, error)
	// WatchTable waits for a table newer than w.After. It returns [ErrUnchanged] if
	// none is published in time, [ErrHistoryGone] if the history does not reach back
	// to w.After, and [ErrManyChanges].
	WatchTable(ctx context.Context, w Watch) (TableUpdate, error)
	// Endpoints returns the whole list. With cheap set it may be seconds old, and the
	// call costs a fraction of another.
	Endpoints(ctx context.Context, cheap bool) (EndpointUpdate, error)
	// WatchEndpoints waits for changes newer than w.After. It returns the same errors
	// as WatchTable.
	WatchEndpoints(ctx context.Context, w Watch) (EndpointUpdate, error)
	// Evacuations returns all failure domains that are evacuated.
	Evacuations(ctx context.Context) (EvacuationUpdate, error)
	// WatchEvacuations waits for changes newer than w.After. It returns the same errors
	// as WatchTable.
	WatchEvacuations(ctx context.Context, w Watch) (EvacuationUpdate, error)
}

// EvacuationChange describes an evacuation that has begun or ended.
type EvacuationChange struct {
	// Domain is the failure domain to which nothing is to be sent. It is not empty.
	Domain string
	Ended  bool
}

// EvacuationUpdate is the result of a read or watch of the evacuations.
type EvacuationUpdate struct {
	// Changes has all evacuations after a read, or the changes in order after a watch.
	Changes []EvacuationChange
	// Revision is the revision from which a watch continues, Changed that of the last
	// change of an entry of the answer.
	Revision, Changed uint64
}
