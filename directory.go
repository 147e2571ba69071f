package damasktrail

import (
	"context"
	"errors"
	"time"

	"damasktrail.dev/fleet"
	"damasktrail.dev/routing"
)

// ErrHistory is returned by a watch of a [Directory] whose history no longer
// reaches back to the given revision. The whole value must be read again.
var ErrHistory = errors.New("history is no longer available")

// TableNews is one reading of the routing table.
type TableNews struct {
	// Table is never nil.
	Table *routing.Table
	// Revision is where a watch goes on.
	Revision uint64
}

// EndpointChange says that an endpoint appeared, changed or went.
type EndpointChange struct {
	// Endpoint has only its ID when Removed is set.
	Endpoint fleet.Endpoint
	Removed  bool
}

// EndpointNews is one reading of the list of endpoints.
type EndpointNews struct {
	// Changes is the whole list after a read, and the changes in order after a
	// watch.
	Changes []EndpointChange
	// Revision is where a watch goes on.
	Revision uint64
	// Unreadable is the number of entries that could not be decoded. They are
	// left out of a read and are removals in a watch.
	Unreadable int
}

// Directory publishes a routing table and a list of endpoints. Nothing can be
// written through it. Each call counts against the directory's read rate.
// Implementations are safe for use by several goroutines.
type Directory interface {
	// Table returns the newest table.
	Table(ctx context.Context) (TableNews, error)
	// WatchTable waits for a table after the revision. It returns
	// [ErrUnchanged] when none came in time, and [ErrHistory].
	WatchTable(ctx context.Context, after uint64, wait time.Duration) (TableNews, error)
	// Endpoints returns the whole list.
	Endpoints(ctx context.Context) (EndpointNews, error)
	// WatchEndpoints waits for changes after the revision. It returns
	// [ErrUnchanged] when none came in time, and [ErrHistory].
	WatchEndpoints(ctx context.Context, after uint64, wait time.Duration) (EndpointNews, error)
}
