package suspect

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"damasktrail.dev/frame"
	"damasktrail.dev/member"
)

const (
	// partThreshold is the number of crashes that must be blamed on a part of prompts
	// before requests with it are refused. It leaves two of the five crashes that a
	// fleet may have for those that no gateway could record.
	partThreshold = 3
	// ProbeInterval is the time after the latest crash after which a request with a
	// refused feature is let through again, once the shorter waits have been in vain.
	ProbeInterval = 10 * time.Minute
	// tieProbeInterval is the time between two requests that are let through because the
	// crashes blamed on their feature can be those of another.
	tieProbeInterval = time.Second
	// recordRetention is how long a record is kept after its latest crash, clearedRetention
	// after the answer that cleared it.
	recordRetention  = 2 * ProbeInterval
	clearedRetention = time.Minute
	// maxFeatures bounds the records, maxAnswered the features with a recent answer.
	maxFeatures = 4096
	maxAnswered = 4096
	// evictionSample is the number of records of which one makes room for another.
	evictionSample = 16
	// maxReportedCrashes bounds the crashes of one record in a report.
	maxReportedCrashes = 4
	// expiryInterval is the least time between two searches for old records.
	expiryInterval = time.Second
)

// trialWaits are the times after the latest crash after which a request with a refused
// part is let through, by the number of trials, of all entries, that ended in a crash.
// The first are short for parts that were in many crashes by chance, as in an outage of
// all endpoints.
var trialWaits = [...]time.Duration{3 * time.Second, 20 * time.Second, ProbeInterval}

// Verdict is the decision about a request.
type Verdict int

const (
	// Accept means that nothing speaks against the request.
	Accept Verdict = iota
	// Try means that the request may show that its features are innocent.
	Try
	// Refuse means that the request would crash its endpoint.
	Refuse
)

// Evidence relates crashes of endpoints to the features of the requests that were lost
// there before their answers had begun. A request that crashes its endpoints never
// gets a sound answer; so of the features that crashed requests have in common, the one
// that is in most of the crashes and in no sound answer is refused. It is safe for
// concurrent use.
type Evidence struct {
	mu      sync.Mutex
	records map[Feature]*featureRecord
	// answered has the time of the latest sound answer of features without a record.
	answered map[Feature]time.Time
	// expired is the time of the last search for old records.
	expired time.Time
}

// NewEvidence returns evidence of no crash.
func NewEvidence() *Evidence {
	return &Evidence{records: map[Feature]*featureRecord{}, answered: map[Feature]time.Time{}}
}

// AddCrash records that the request was lost at a crash before its answer had begun.
func (e *Evidence) AddCrash(r Request, id uint32, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, f := range r.features {
		if x := e.record(f, now); x.addOwn(Crash{ID: id, At: now}) {
			x.changed = now
		}
	}
}

// record returns the record of a feature and creates it on first use.
func (e *Evidence) record(f Feature, now time.Time) *featureRecord {
	x := e.records[f]
	if x != nil {
		return x
	}
	if len(e.records) >= maxFeatures {
		e.evict()
	}
	x = &featureRecord{answered: e.answered[f], changed: now}
	delete(e.answered, f)
	e.records[f] = x
	return x
}

// evict removes, of a few records, the one with the fewest crashes, of several the one
// that has not changed for longest.
func (e *Evidence) evict() {
	var victim Feature
	var least *featureRecord
	seen := 0
	for f, x := range e.records {
		if least == nil || cmp.Or(cmp.Compare(x.count(), least.count()), x.changed.Compare(least.changed)) < 0 {
			victim, least = f, x
		}
		if seen++; seen == evictionSample {
			break
		}
	}
	delete(e.records, victim)
}

// AddAnswer records that the request got a sound answer, or the begin of one.
func (e *Evidence) AddAnswer(r Request, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, f := range r.features {
		if x := e.records[f]; x != nil {
			x.answer(now, now)
			continue
		}
		if f == r.whole {
			continue // An answered request is not sent again.
		}
		if len(e.answered) >= maxAnswered {
			for old := range e.answered { // any
				delete(e.answered, old)
				break
			}
		}
		e.answered[f] = now
	}
}

// Merge adds what a peer reports, and reports whether it was news.
func (e *Evidence) Merge(reported []frame.Evidence, now time.Time) (news bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range reported {
		crashes := slices.DeleteFunc(slices.Clone(p.Crashes), func(c frame.EvidenceCrash) bool { return !validAge(c.AgeMillis) })
		if len(crashes) == 0 {
			continue
		}
		x := e.record(p.Feature, now)
		for _, c := range crashes {
			if x.add(Crash{ID: c.ID, At: dated(c.AgeMillis, now), Trial: c.Trial}) {
				x.changed, news = now, true
			}
		}
		if validAge(p.AnsweredMillis) {
			news = x.answer(dated(p.AnsweredMillis, now), now) || news
		}
	}
	return news
}

// validAge reports whether a reported age is that of something that is still kept.
func validAge(millis int64) bool { return millis >= 0 && millis < recordRetention.Milliseconds() }

// dated returns the time that was the given number of milliseconds ago.
func dated(ageMillis int64, now time.Time) time.Time {
	return now.Add(-time.Duration(ageMillis) * time.Millisecond)
}

// Report returns at most limit records for peers: those with several crashes first,
// then those that changed last, and a few others at random.
func (e *Evidence) Report(now time.Time, limit int) []frame.Evidence {
	e.mu.Lock()
	defer e.mu.Unlock()
	type entry struct {
		feature Feature
		record  *featureRecord
	}
	all := make([]entry, 0, len(e.records))
	for f, x := range e.records {
		all = append(all, entry{f, x})
	}
	slices.SortFunc(all, func(a, b entry) int {
		several := func(x *featureRecord) int { return min(len(x.crashes), PoisonThreshold) }
		return cmp.Or(cmp.Compare(several(b.record), several(a.record)), b.record.changed.Compare(a.record.changed))
	})
	if len(all) > limit {
		others := all[limit*3/4:]
		rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
		all = all[:limit]
	}
	res := make([]frame.Evidence, 0, len(all))
	for _, a := range all {
		res = append(res, a.record.report(a.feature, now))
	}
	return res
}

// report returns the record as a message.
func (r *featureRecord) report(f Feature, now time.Time) frame.Evidence {
	res := frame.Evidence{Feature: f, AnsweredMillis: -1}
	if !r.answered.IsZero() {
		res.AnsweredMillis = now.Sub(r.answered).Milliseconds()
	}
	crashes := spaced(r.crashes)
	for _, c := range crashes[:min(len(crashes), maxReportedCrashes)] {
		res.Crashes = append(res.Crashes, frame.EvidenceCrash{ID: c.ID, AgeMillis: now.Sub(c.At).Milliseconds(), Trial: c.Trial})
	}
	return res
}

// blamed returns the crashes blamed on a feature, those in which no other feature is
// that has more, or nil if there are fewer than least.
func (e *Evidence) blamed(f Feature, least int) []Crash {
	x := e.records[f]
	if x == nil || x.count() < least {
		return nil
	}
	count := x.count()
	var res []Crash
	for _, c := range x.counted() {
		explained := e.anyOther(f, c, func(_ Feature, other int) bool { return other > count })
		if !explained {
			res = append(res, c)
		}
	}
	if res = spaced(res); len(res) < least {
		return nil
	}
	return res
}

// anyOther reports whether f holds for another feature that the crash counts for and
// the number of its crashes.
func (e *Evidence) anyOther(of Feature, c Crash, f func(other Feature, count int) bool) bool {
	for other, x := range e.records {
		if other != of && slices.ContainsFunc(x.counted(), c.same) && f(other, x.count()) {
			return true
		}
	}
	return false
}

// Suspected reports whether the request has a feature with two crashes blamed on it, so
// that it should not be sent to one more endpoint after it was lost.
func (e *Evidence) Suspected(r Request) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.ContainsFunc(r.features, func(f Feature) bool { return e.blamed(f, PoisonThreshold) != nil })
}

// Judge decides about a request by the crashes that are blamed on its features. A
// request whose features can be innocent is tried now and then, and so is one after a
// while without a crash if owns reports that this entry may try the feature.
func (e *Evidence) Judge(r Request, now time.Time, owns func(Feature) bool) Verdict {
	e.mu.Lock()
	defer e.mu.Unlock()
	var tried []*featureRecord
	for _, f := range r.features {
		blamed := e.blamed(f, r.threshold(f))
		if blamed == nil {
			continue
		}
		x := e.records[f]
		switch {
		case now.Sub(x.tried) < tieProbeInterval:
			return Refuse
		case e.tied(f, blamed, r):
		case now.Sub(x.latest()) < r.trialWait(f, x.failedTrials()) || !owns(f):
			return Refuse
		}
		tried = append(tried, x)
	}
	for _, x := range tried {
		x.tried = now
	}
	if len(tried) > 0 {
		return Try
	}
	return Accept
}

// Owns reports whether the entry is the one of the live entries that tries the feature
// again. Each has its share of the features; others may contain the entry itself.
func Owns(entry string, others []string, f Feature) bool {
	key := strconv.FormatUint(f, 16)
	own := member.Rank(key, entry)
	return !slices.ContainsFunc(others, func(other string) bool { return member.Rank(key, other) > own })
}

// tied reports whether each crash blamed on a feature can be blamed as well on another
// one that the request does not have.
func (e *Evidence) tied(f Feature, blamed []Crash, r Request) bool {
	count := e.records[f].count()
	for _, c := range blamed {
		if !e.anyOther(f, c, func(other Feature, n int) bool { return n >= count && !r.has(other) }) {
			return false
		}
	}
	return true
}

// Parts returns the features that are refused as parts of prompts, sorted.
func (e *Evidence) Parts() []Feature {
	e.mu.Lock()
	defer e.mu.Unlock()
	var res []Feature
	for f := range e.records {
		if e.blamed(f, partThreshold) != nil {
			res = append(res, f)
		}
	}
	slices.Sort(res)
	return res
}

// Expire removes old records. It does nothing when it was called shortly before.
func (e *Evidence) Expire(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if now.Sub(e.expired) < expiryInterval {
		return
	}
	e.expired = now
	for f, x := range e.records {
		cleared := x.count() == 0 && now.Sub(x.answered) >= clearedRetention
		if cleared || now.Sub(x.latest()) >= recordRetention {
			delete(e.records, f)
		}
	}
	for f, at := range e.answered {
		if now.Sub(at) >= 2*soundMargin {
			delete(e.answered, f)
		}
	}
}
