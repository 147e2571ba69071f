// Package suspect records which requests were inside an endpoint when it
// crashed. A fingerprint with one crash is a suspect, with two it is poisoned.
// Start from [New].
package suspect

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"damasktrail.dev/frame"
)

const (
	// Life is how long a fingerprint stays recorded after its latest crash.
	Life = 10 * time.Minute
	// Poisoned is the number of crashes after which a fingerprint is refused.
	Poisoned = 2
	// maxCrashes bounds the crash identities kept for one fingerprint. More are
	// of no use once it is poisoned.
	maxCrashes = 4
	// maxRecords bounds the list; a crash leaves at most one batch of records.
	maxRecords = 4096
)

type record struct {
	// crashes are sorted and distinct.
	crashes []uint64
	latest  time.Time
}

// List holds the fingerprints seen in crashes. It has one owner and is not safe
// for concurrent use.
type List struct {
	records map[uint64]record
}

// New returns an empty list.
func New() *List {
	return &List{records: map[uint64]record{}}
}

// Add records that the fingerprint was inside an endpoint at the crash with the
// given identity. It reports whether this was news.
func (l *List) Add(fingerprint, crash uint64, now time.Time) bool {
	return l.merge(fingerprint, []uint64{crash}, now)
}

// Merge takes what a peer reports and returns the part that was news.
func (l *List) Merge(reported []frame.Suspect, now time.Time) []frame.Suspect {
	var news []frame.Suspect
	for _, s := range reported {
		age := max(time.Duration(s.Age)*time.Millisecond, 0)
		if age >= Life {
			continue
		}
		if l.merge(s.Fingerprint, s.Crashes, now.Add(-age)) {
			news = append(news, s)
		}
	}
	return news
}

func (l *List) merge(fingerprint uint64, crashes []uint64, at time.Time) bool {
	r, found := l.records[fingerprint]
	if !found && len(l.records) >= maxRecords {
		return false
	}
	union := slices.Concat(r.crashes, crashes)
	slices.Sort(union)
	union = slices.Compact(union)
	if len(union) > maxCrashes {
		union = union[:maxCrashes]
	}
	if found && slices.Equal(union, r.crashes) {
		return false
	}
	if at.After(r.latest) {
		r.latest = at
	}
	l.records[fingerprint] = record{crashes: union, latest: r.latest}
	return true
}

// Crashes returns the number of distinct crashes recorded for the fingerprint.
func (l *List) Crashes(fingerprint uint64, now time.Time) int {
	r, found := l.records[fingerprint]
	if !found || now.Sub(r.latest) >= Life {
		return 0
	}
	return len(r.crashes)
}

// Expire forgets fingerprints whose latest crash is older than Life, and reports
// whether there were any.
func (l *List) Expire(now time.Time) bool {
	before := len(l.records)
	for f, r := range l.records {
		if now.Sub(r.latest) >= Life {
			delete(l.records, f)
		}
	}
	return len(l.records) < before
}

// Sample returns at most the given number of records as messages: half of them
// are those of the latest crashes, the others are drawn from the rest.
func (l *List) Sample(now time.Time, most int) []frame.Suspect {
	all := l.Report(now)
	if len(all) <= most {
		return all
	}
	slices.SortFunc(all, func(a, b frame.Suspect) int { return cmp.Compare(a.Age, b.Age) })
	rest := all[most/2:]
	rand.Shuffle(len(rest), func(i, j int) { rest[i], rest[j] = rest[j], rest[i] })
	return all[:most]
}

// Report returns all records as messages.
func (l *List) Report(now time.Time) []frame.Suspect {
	res := make([]frame.Suspect, 0, len(l.records))
	for f, r := range l.records {
		age := now.Sub(r.latest)
		if age < Life {
			res = append(res, frame.Suspect{Fingerprint: f, Crashes: r.crashes, Age: age.Milliseconds()})
		}
	}
	return res
}
