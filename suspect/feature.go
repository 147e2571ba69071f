package suspect

import (
	"slices"
	"time"
)

const (
	// minCrashSpacing is the least time between two crashes that count apart. Endpoints
	// that go down together say little of the requests that wait there.
	minCrashSpacing = 250 * time.Millisecond
	// restartTime is the least time between two crashes of one endpoint. Reports of the
	// same crash differ by less.
	restartTime = 1500 * time.Millisecond
	// soundMargin is how long before a crash a sound answer to a request with a feature
	// excludes that feature as its cause.
	soundMargin = time.Second
	// maxParts bounds the parts of one prompt that are looked at, maxCrashes the crashes
	// of one record.
	maxParts   = 64
	maxCrashes = 8
)

// Feature is a hash of something that requests have in common: a part of their
// prompts, or the whole request.
type Feature = uint64

// Request holds the features of one request. It is immutable.
type Request struct {
	// whole identifies the request when it is sent again.
	whole Feature
	// features are all features, whole first, each once.
	features []Feature
}

// NewRequest returns the features of a request. Whole identifies the request when it is
// sent again, parts are those of its prompt that other prompts may have too. Of more than
// maxParts, those in the middle are left out.
func NewRequest(whole Feature, parts []Feature) Request {
	features := []Feature{whole}
	for i, f := range parts {
		omitted := i >= maxParts/2 && i < len(parts)-maxParts/2
		if !omitted && !slices.Contains(features, f) {
			features = append(features, f)
		}
	}
	return Request{whole: whole, features: features}
}

// has reports whether the request has the feature.
func (r Request) has(f Feature) bool { return slices.Contains(r.features, f) }

// threshold returns the number of blamed crashes from which on the feature is refused.
func (r Request) threshold(f Feature) int {
	if f == r.whole {
		return PoisonThreshold
	}
	return partThreshold
}

// trialWait returns the time after the latest crash after which a request with a refused
// feature is let through. The same request again has no reason to be sound sooner.
func (r Request) trialWait(f Feature, failedTrials int) time.Duration {
	if f == r.whole {
		return ProbeInterval
	}
	return trialWaits[min(failedTrials, len(trialWaits)-1)]
}

// Crash is one crash of an endpoint.
type Crash struct {
	// ID identifies the endpoint or its incarnation. All entries use the same.
	ID uint32
	At time.Time
	// Trial is set if the lost request had been let through as a trial.
	Trial bool
}

// same reports whether both are reports of the same crash.
func (c Crash) same(o Crash) bool { return c.ID == o.ID && c.At.Sub(o.At).Abs() < restartTime }

// featureRecord is what is known of a feature that a lost request had.
type featureRecord struct {
	// crashes are sorted by time and at most maxCrashes.
	crashes []Crash
	// answered is the time of the latest sound answer to a request with the feature.
	answered time.Time
	// changed is the time of the last change of this record here.
	changed time.Time
	// tried is the time at which a request was last let through here, zero once it has
	// crashed its endpoint.
	tried time.Time
}

// counted returns the crashes that no sound answer excludes.
func (r *featureRecord) counted() []Crash {
	if r.answered.IsZero() {
		return r.crashes
	}
	end := r.answered.Add(soundMargin)
	i := slices.IndexFunc(r.crashes, func(c Crash) bool { return c.At.After(end) })
	if i < 0 {
		return nil
	}
	return r.crashes[i:]
}

// count returns the number of counted crashes that are minCrashSpacing apart.
func (r *featureRecord) count() int { return len(spaced(r.counted())) }

// failedTrials returns the number of counted crashes that were trials.
func (r *featureRecord) failedTrials() (res int) {
	for _, c := range r.counted() {
		if c.Trial {
			res++
		}
	}
	return res
}

// latest returns the time of the latest crash.
func (r *featureRecord) latest() time.Time { return r.crashes[len(r.crashes)-1].At }

// addOwn adds a crash under a request that this entry sent. It reports whether the
// crash, or that it was a trial, is new.
func (r *featureRecord) addOwn(c Crash) bool {
	if c.Trial = !r.tried.IsZero() && c.At.After(r.tried); c.Trial {
		r.tried = time.Time{}
	}
	return r.add(c)
}

// add adds a crash and reports whether it, or that it was a trial, is new.
func (r *featureRecord) add(c Crash) bool {
	if i := slices.IndexFunc(r.crashes, c.same); i >= 0 {
		known := &r.crashes[i]
		news := c.Trial && !known.Trial
		known.Trial = known.Trial || c.Trial
		return news
	}
	i, _ := slices.BinarySearchFunc(r.crashes, c.At, func(e Crash, at time.Time) int { return e.At.Compare(at) })
	r.crashes = slices.Insert(r.crashes, i, c)
	if len(r.crashes) > maxCrashes {
		r.crashes = slices.Delete(r.crashes, 0, 1)
		return i > 0
	}
	return true
}

// answer records a sound answer and reports whether it excludes crashes that counted.
func (r *featureRecord) answer(at, now time.Time) bool {
	if !at.After(r.answered) {
		return false
	}
	before := r.count()
	r.answered = at
	if r.count() == before {
		return false
	}
	r.changed = now
	return true
}

// spaced returns crashes that are at least minCrashSpacing apart, the latest first.
func spaced(crashes []Crash) []Crash {
	var res []Crash
	for _, c := range slices.Backward(crashes) {
		if len(res) == 0 || res[len(res)-1].At.Sub(c.At) >= minCrashSpacing {
			res = append(res, c)
		}
	}
	return res
}
