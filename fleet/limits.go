package fleet

import (
	"maps"
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// limits keeps what is known of the limits of endpoints. Its methods must not be called
// concurrently, but inForce may be read at any time.
type limits struct {
	records map[Process]limitRecord
	// inForce has the limits in force, in requests a second. The map is not modified.
	inForce atomic.Pointer[map[Process]float64]
}

func newLimits() *limits {
	res := &limits{records: map[Process]limitRecord{}}
	res.publish()
	return res
}

// publish makes the limits in force the value of inForce.
func (l *limits) publish() {
	res := map[Process]float64{}
	for p, r := range l.records {
		if r.known.inForce() {
			res[p] = r.known.perSecond
		}
	}
	l.inForce.Store(&res)
}

// add records what an answer of an endpoint says, and reports whether that is news.
func (l *limits) add(e Endpoint, x Limit, sent, now time.Time) (news bool) {
	p := e.Process()
	old, found := l.records[p]
	if x.Kind == Unstated || x.Kind == Unlimited && !found {
		return false
	}
	if !found {
		old.service = e.Service
	}
	news = l.set(p, old.add(x, sent, now))
	if news {
		l.publish()
	}
	return news
}

// merge records the reports of another entry.
func (l *limits) merge(reports []LimitReport, now time.Time) {
	changed := false
	for _, x := range reports {
		old, found := l.records[x.process()]
		if !x.valid() || !x.Limited && !found {
			continue
		}
		if !found {
			old.service = x.Service
		}
		changed = l.set(x.process(), old.merge(x, now)) || changed
	}
	if changed {
		l.publish()
	}
}

// set replaces the record of an endpoint, and reports whether the limit in force is another
// one, which is then to be published.
func (l *limits) set(p Process, next limitRecord) (changed bool) {
	old, found := l.records[p]
	if !found && len(l.records) >= maxNotices {
		l.evict()
	}
	l.records[p] = next
	before, after := old.known, next.known
	return before.inForce() != after.inForce() || after.inForce() && before.perSecond != after.perSecond
}

// evict drops the record of the endpoint of which nothing has been heard for longest.
func (l *limits) evict() {
	var victim Process
	var oldest time.Time
	for p, r := range l.records {
		if at := r.known.last(); oldest.IsZero() || at.Before(oldest) {
			victim, oldest = p, at
		}
	}
	delete(l.records, victim)
}

// remove drops the record of an endpoint.
func (l *limits) remove(p Process) {
	if _, found := l.records[p]; found {
		delete(l.records, p)
		l.publish()
	}
}

// expire drops the records of endpoints of which nothing has been heard for noticeRetention.
func (l *limits) expire(now time.Time) {
	before := len(l.records)
	maps.DeleteFunc(l.records, func(_ Process, r limitRecord) bool { return now.Sub(r.known.last()) >= noticeRetention })
	if len(l.records) < before {
		l.publish()
	}
}

// report returns what answers to this entry say, of one service or, if it is empty, of all:
// at most the given number of reports, a random choice if there are more.
func (l *limits) report(service string, limit int, now time.Time) (res []LimitReport) {
	for p, r := range l.records {
		if !r.heard.last().IsZero() && (service == "" || service == r.service) {
			res = append(res, r.report(p, now))
		}
	}
	rand.Shuffle(len(res), func(i, j int) { res[i], res[j] = res[j], res[i] })
	return res[:min(limit, len(res))]
}
