// Package catalog watches a directory and caches the newest routing table and
// list of endpoints. It records when the table was last confirmed to be the
// newest. Start from [New].
package catalog

import (
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"damasktrail.dev"
	"damasktrail.dev/fleet"
	"damasktrail.dev/group"
	"damasktrail.dev/routing"
)

const (
	// tableWatchTimeout bounds a watch of the table. It may be long because a hint
	// from a peer with a newer table ends a watch that hangs on a dead connection.
	tableWatchTimeout = 6 * time.Second
	// endpointsWatchTimeout bounds a watch of the endpoints. It is shorter because
	// no peer ends such a watch, and a leaving endpoint may receive requests for
	// two seconds only.
	endpointsWatchTimeout = 2500 * time.Millisecond
	// endpointsWatchDelay is the pause between a change of the endpoints and the
	// next watch, so that one watch returns several changes. Without it, each
	// endpoint of a starting fleet would end a watch of every entry.
	endpointsWatchDelay = 250 * time.Millisecond
	// horizonShare is the part of the bound of a change, as a divisor, for which the change
	// may be known here while others still send by a list without it.
	horizonShare = 2
	// checkWait is the wait of a watch that only asks whether there are changes.
	checkWait = time.Millisecond
	// firstConfirmAge is the age of the table at which the first entry of a fleet
	// asks the directory to confirm it. Each further entry waits confirmAgeStep
	// longer, so that one call confirms the table for the whole fleet. The ages are
	// low because a revoked key may be used for a few seconds only.
	firstConfirmAge = 700 * time.Millisecond
	confirmAgeStep  = 150 * time.Millisecond
	// maxConfirmAge is the highest age at which an entry of any rank asks.
	maxConfirmAge = 2400 * time.Millisecond
	// ranksPerBackoff is the number of ranks after which an entry pauses for one
	// maxBackoff more between two failed confirmations, so that a fleet of any size
	// asks a directory that is down about thirty times a second.
	ranksPerBackoff = 4
	// confirmCheckInterval is the time between two checks of the age.
	confirmCheckInterval = 50 * time.Millisecond
	// minBackoff is the delay after the first failure. The delay doubles with each
	// consecutive failure, up to maxBackoff.
	minBackoff = 50 * time.Millisecond
	maxBackoff = 400 * time.Millisecond
	// missingGrace is how long an endpoint that is missing after an outage of the
	// directory stays in the list. Live endpoints register again about two seconds
	// after the directory has recovered.
	missingGrace = 2300 * time.Millisecond
	// suspendedCall is the duration of a call for the endpoints that fails only because this
	// process was suspended: a watch that gets no answer ends half a second after its wait.
	suspendedCall = endpointsWatchTimeout + 700*time.Millisecond
	// maxPeerWait is how long an entry waits for peers between its first read and its
	// first watch. One that is told by peers needs no watch.
	maxPeerWait = 250 * time.Millisecond
	// idleCheckInterval is the time between checks whether this entry must follow the
	// directory itself.
	idleCheckInterval = 50 * time.Millisecond
	// maxIdleBackoff replaces maxBackoff while this entry need not follow the
	// directory.
	maxIdleBackoff = 1600 * time.Millisecond
	// maxBehind is how long the list of endpoints may be older than that of a peer
	// before a watch is taken for deaf.
	maxBehind = 400 * time.Millisecond
	// confirmSlack is the time by which a confirmation that began before a failure may
	// arrive after it.
	confirmSlack = 300 * time.Millisecond
	// fullReadInterval is the maximum age of the last full read of a value. The
	// next full read repairs a change that a watch missed without an error.
	fullReadInterval = 30 * time.Second
)

// Snapshot is the state at one moment. It is immutable.
type Snapshot struct {
	// Table is nil until the first table has been read.
	Table *routing.Table
	// Endpoints is empty until the first list has been read.
	Endpoints fleet.List
	// Listed reports whether a list of endpoints has been read.
	Listed bool
	// Evacuated has the failure domains to which nothing may be sent, sorted. It is
	// complete if EvacuationsKnown is set; otherwise no endpoint may be used.
	Evacuated        []string
	EvacuationsKnown bool
}

// Catalog holds the newest snapshot. It is safe for concurrent use.
type Catalog struct {
	directory damasktrail.Directory
	clock     damasktrail.Clock
	log       *slog.Logger
	// uptime returns the time since this VM booted, including suspended time.
	uptime func() time.Duration
	tasks  *group.Group
	// onChange is called with each new snapshot. Calls do not overlap.
	onChange func(Snapshot)

	current atomic.Pointer[Snapshot]
	// confirmedAt is the uptime, in nanoseconds, at the start of the latest call
	// that confirmed the table; zero before the first.
	confirmedAt atomic.Int64
	fleet       Fleet
	// tableRereads and endpointsRereads are the requests to read the table and the list
	// of endpoints in full.
	tableRereads, endpointsRereads *rereads
	// watchedRevision is the revision from which the table is being watched; zero
	// while no watch runs.
	watchedRevision atomic.Uint64
	// announced has the versions that peers have and this entry has not.
	announced announced
	// endpointsRevision is the revision up to which the list of endpoints is known,
	// endpointsChanged that of its last change.
	endpointsRevision, endpointsChanged atomic.Uint64
	// endpointsSettled says that the list of endpoints has been the newest at some time
	// since the start, or has been dropped.
	endpointsSettled atomic.Bool
	// endpointsFailedAt is the uptime at which the first call for the endpoints failed
	// since one succeeded; zero when the last one has. It has one owner.
	endpointsFailedAt time.Duration
	// turnedAway says that the directory does not answer this entry although it answers
	// a peer.
	turnedAway  atomic.Bool
	evacuations evacuations
	// endpointsHorizon and evacuationsHorizon are the revisions below which a list is too old
	// to send by it.
	endpointsHorizon, evacuationsHorizon horizon

	// hintMu guards the fields up to mu.
	hintMu sync.Mutex
	// newestEndpoints is the highest revision of a change of the endpoints that a peer
	// has, behindSince the uptime since which it is higher than endpointsRevision, zero
	// when it is not, and rereadAt the uptime of the next read for that reason.
	newestEndpoints       uint64
	behindSince, rereadAt time.Duration

	// mu serialises updates of current and guards the fields below.
	mu sync.Mutex
	// missing maps the IDs of endpoints that have been missing since an outage to
	// the time at which each is removed.
	missing map[string]time.Time
}

// Fleet tells a catalog what part this entry has in its fleet. Its methods must not
// block.
type Fleet interface {
	// Rank returns the rank of this entry among the live entries.
	Rank() int
	// Follows reports whether this entry must follow the directory itself. If not,
	// peers tell it of newer tables and it needs no list of endpoints.
	Follows() bool
	// Alone reports whether this entry knows no peer that could tell it anything.
	Alone() bool
}

// New returns a catalog that is empty until Start. onChange is called with each
// new snapshot, before the next one is published.
func New(directory damasktrail.Directory, clock damasktrail.Clock, uptime func() time.Duration, fleet Fleet, log *slog.Logger, onChange func(Snapshot)) *Catalog {
	res := &Catalog{
		directory: directory,
		clock:     clock,
		log:       log,
		uptime:    uptime,
		fleet:     fleet,
		onChange:  onChange,
		missing:   map[string]time.Time{},
	}
	res.tableRereads = newRereads(clock, func() bool { return res.Behind() > 0 })
	res.endpointsRereads = newRereads(clock, res.endpointsBehind)
	res.current.Store(&Snapshot{EvacuationsKnown: true})
	return res
}

// BoundEndpoints tells the catalog the time in which a change of the endpoints must take
// effect. It must be called before Start.
func (c *Catalog) BoundEndpoints(bound time.Duration) {
	c.endpointsHorizon.setDelay(bound / horizonShare)
}

// Outdated reports whether lists that are known up to the given revisions are too old to
// send by them. Changes that they lack have been known to a peer or to this entry for a part
// of their bound, so that the rest is left for what is under way.
func (c *Catalog) Outdated(endpoints, evacuations uint64) bool {
	now := c.uptime()
	return endpoints < c.endpointsHorizon.at(now) || evacuations < c.evacuationsHorizon.at(now)
}

// Start watches the directory in goroutines of the group.
func (c *Catalog) Start(tasks *group.Group) {
	c.tasks = tasks
	tasks.Go(c.followTable)
	tasks.Go(c.followEndpoints)
	if c.evacuations.bound > 0 {
		tasks.Go(c.followEvacuations)
	}
	tasks.Go(c.confirmWhenDue)
}

// Snapshot returns the newest snapshot.
func (c *Catalog) Snapshot() Snapshot { return *c.current.Load() }

// Age returns the time since the table was last known to be the newest,
// including suspended time. Before the first read it returns one hour.
func (c *Catalog) Age() time.Duration {
	at := c.confirmedAt.Load()
	if at == 0 {
		return time.Hour
	}
	return c.uptime() - time.Duration(at)
}

// Confirmed returns the version of the table in force, zero if there is none, and
// its age, both at the same moment.
func (c *Catalog) Confirmed() (version uint64, age time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t := c.current.Load().Table; t != nil {
		version = t.Version
	}
	return version, c.Age()
}

// publish makes s the current snapshot and calls onChange. The caller holds mu.
func (c *Catalog) publish(s Snapshot) {
	c.current.Store(&s)
	if c.onChange != nil {
		c.onChange(s)
	}
}
