// Package suspect decides which requests are refused because they crash endpoints.
// [List] records which requests were in flight at an endpoint when it crashed: a
// fingerprint with one crash is a suspect, with two it is poisoned. [Evidence] also
// recognises what requests that are not alike have in common. Start from [New] or
// [NewEvidence].
package suspect

import (
	"slices"
	"time"

	"damasktrail.dev/frame"
)

const (
	// Retention is how long a record is kept after its latest crash.
	Retention = 10 * time.Minute
	// PoisonThreshold is the number of crashes after which a fingerprint is refused.
	PoisonThreshold = 2
	// maxCrashIDs bounds the crash IDs kept for one fingerprint. Once it is
	// poisoned, more have no effect.
	maxCrashIDs = 4
	// maxRecords bounds the list; a crash adds at most one batch of records.
	maxRecords = 4096
)

type record struct {
	// crashIDs are sorted and distinct.
	crashIDs []uint64
	latest   time.Time
}

// List holds the fingerprints of requests that were in flight at crashes. It is not
// safe for concurrent use.
type List struct {
	records map[uint64]record
}

// New returns an empty list.
func New() *List {
	return &List{records: map[uint64]record{}}
}

// Add records that the fingerprint was in flight at an endpoint at the crash with
// the given ID. It reports whether the record changed.
func (l *List) Add(fingerprint, crashID uint64, now time.Time) bool {
	return l.merge(fingerprint, []uint64{crashID}, now)
}

// Merge adds the records that a peer reports and returns those that changed the
// list.
func (l *List) Merge(reported []frame.Suspect, now time.Time) []frame.Suspect {
	var added []frame.Suspect
	for _, s := range reported {
		age := max(time.Duration(s.AgeMillis)*time.Millisecond, 0)
		if age >= Retention {
			continue
		}
		if l.merge(s.Fingerprint, s.Crashes, now.Add(-age)) {
			added = append(added, s)
		}
	}
	return added
}

func (l *List) merge(fingerprint uint64, crashIDs []uint64, at time.Time) bool {
	r, found := l.records[fingerprint]
	if !found && len(l.records) >= maxRecords {
		return false
	}
	union := slices.Concat(r.crashIDs, crashIDs)
	slices.Sort(union)
	union = slices.Compact(union)
	if len(union) > maxCrashIDs {
		union = union[:maxCrashIDs]
	}
	if found && slices.Equal(union, r.crashIDs) {
		return false
	}
	if at.After(r.latest) {
		r.latest = at
	}
	l.records[fingerprint] = record{crashIDs: union, latest: r.latest}
	return true
}

// Crashes returns the number of distinct crashes recorded for the fingerprint.
func (l *List) Crashes(fingerprint uint64, now time.Time) int {
	r, found := l.records[fingerprint]
	if !found || now.Sub(r.latest) >= Retention {
		return 0
	}
	return len(r.crashIDs)
}

// Expire removes fingerprints whose latest crash is too old, and reports
// whether there were any.
func (l *List) Expire(now time.Time) bool {
	before := len(l.records)
	for f, r := range l.records {
		if now.Sub(r.latest) >= Retention {
			delete(l.records, f)
		}
	}
	return len(l.records) < before
}

// Report returns all records as messages.
func (l *List) Report(now time.Time) []frame.Suspect {
	res := make([]frame.Suspect, 0, len(l.records))
	for f, r := range l.records {
		age := now.Sub(r.latest)
		if age < Retention {
			res = append(res, frame.Suspect{Fingerprint: f, Crashes: r.crashIDs, AgeMillis: age.Milliseconds()})
		}
	}
	return res
}
