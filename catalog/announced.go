package catalog

import (
	"slices"
	"sync"
	"time"
)

// maxAnnounced is the number of versions that an announced holds. In a series of changes
// a table may be several versions behind.
const maxAnnounced = 64

// announced has the versions of the table that peers report and this entry does not
// have. The zero value is empty. It is safe for concurrent use.
type announced struct {
	mu sync.Mutex
	// held is the version of the table in force, zero if there is none.
	held uint64
	// versions is sorted; each is newer than held.
	versions []announcement
}

// announcement is a version of the table and the uptime at which a peer first reported
// it.
type announcement struct {
	version uint64
	at      time.Duration
}

// add records a report at the given uptime and returns whether the version is newer
// than all that have been reported.
func (a *announced) add(version uint64, at time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.versions) == maxAnnounced || version <= a.newest() {
		return false
	}
	a.versions = append(a.versions, announcement{version: version, at: at})
	return true
}

// newest returns the highest version that this entry knows. The caller holds mu.
func (a *announced) newest() uint64 {
	if len(a.versions) == 0 {
		return a.held
	}
	return a.versions[len(a.versions)-1].version
}

// adopt records the version of the table in force and drops those that it replaces.
func (a *announced) adopt(version uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.held = version
	a.versions = slices.DeleteFunc(a.versions, func(e announcement) bool { return e.version <= version })
}

// confirm drops the versions that were reported before the given uptime, at which the
// directory had no newer table than the one in force: they do not exist.
func (a *announced) confirm(at time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.versions = slices.DeleteFunc(a.versions, func(e announcement) bool { return e.at < at })
}

// first returns the uptime of the first report of a newer version. found is false if
// there is none.
func (a *announced) first() (at time.Duration, found bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.versions) == 0 {
		return 0, false
	}
	return a.versions[0].at, true
}
