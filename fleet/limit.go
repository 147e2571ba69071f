package fleet

import "time"

// LimitKind says what an answer states about the rate at which its endpoint takes
// requests.
type LimitKind int

const (
	// Unstated answers neither begin nor end a limit.
	Unstated LimitKind = iota
	// Unlimited answers end a limit.
	Unlimited
	// Limited answers name a limit.
	Limited
)

// Limit is what an answer states about the rate at which its endpoint takes requests.
type Limit struct {
	Kind LimitKind
	// PerSecond is the number of requests a second from all entries together. It is
	// finite and at least zero, and zero unless Kind is Limited.
	PerSecond float64
}

// LimitReport is what an entry has heard last about the limit of an endpoint. It is sent to
// other entries as it is.
type LimitReport struct {
	_ struct{} `cbor:",toarray"`
	// ID and StartedMillis identify the process of the endpoint, Service its service.
	ID            string
	StartedMillis int64
	Service       string
	// Limited says that the last answer named a limit, of PerSecond requests a second.
	Limited   bool
	PerSecond float64
	// Age is the time since the answer that named the limit arrived, or since the request
	// was sent whose answer named none.
	Age time.Duration
}

// process returns the process that the report is about.
func (r LimitReport) process() Process { return Process{ID: r.ID, StartedMillis: r.StartedMillis} }

// maxReportedLimit bounds the limits that entries report, in requests a second, so that sums
// of limits are finite.
const maxReportedLimit = 1e9

// valid reports whether the report of another entry can be used.
func (r LimitReport) valid() bool {
	return r.ID != "" && r.PerSecond >= 0 && r.PerSecond <= maxReportedLimit && r.Age >= 0 && r.Age < noticeRetention
}

// reportMargin is subtracted from the time at which another entry is said to have heard
// that a limit has ended. It covers the time that the report takes.
const reportMargin = 500 * time.Millisecond

// limitState is what is known of the limit of an endpoint. It is immutable.
type limitState struct {
	perSecond float64
	// named is the time at which the last answer that named a limit arrived, ended that at
	// which the last request was sent whose answer named none. They are zero if there is
	// none.
	named, ended time.Time
}

// inForce reports whether the limit holds. An answer ends it only if its request was sent
// after the limit was last named: answers on different connections can overtake each
// other.
func (s limitState) inForce() bool { return !s.named.IsZero() && !s.ended.After(s.named) }

// WithNamed returns the state after an answer that named a limit. Of two answers whose
// order is unknown, the lower limit holds.
func (s limitState) WithNamed(perSecond float64, sent, arrived time.Time) limitState {
	if s.inForce() && sent.Before(s.named) {
		perSecond = min(perSecond, s.perSecond)
	}
	s.perSecond = perSecond
	if arrived.After(s.named) {
		s.named = arrived
	}
	return s
}

// WithEnded returns the state after an answer that named no limit.
func (s limitState) WithEnded(sent time.Time) limitState {
	if sent.After(s.ended) {
		s.ended = sent
	}
	return s
}

// last returns the time of the last statement.
func (s limitState) last() time.Time {
	if s.ended.After(s.named) {
		return s.ended
	}
	return s.named
}

// limitRecord is what is known of the limit of one endpoint.
type limitRecord struct {
	service string
	// heard is what answers to this entry say, known also what other entries report. Only
	// heard is reported to others, so that a report does not grow younger with each entry
	// that passes it on.
	heard, known limitState
}

// add returns the record after an answer to this entry.
func (r limitRecord) add(l Limit, sent, now time.Time) limitRecord {
	if l.Kind == Limited {
		r.heard, r.known = r.heard.WithNamed(l.PerSecond, sent, now), r.known.WithNamed(l.PerSecond, sent, now)
	} else {
		r.heard, r.known = r.heard.WithEnded(sent), r.known.WithEnded(sent)
	}
	return r
}

// merge returns the record after a report of another entry.
func (r limitRecord) merge(x LimitReport, now time.Time) limitRecord {
	at := now.Add(-x.Age)
	switch {
	case !x.Limited:
		r.known = r.known.WithEnded(at.Add(-reportMargin))
	case at.After(r.known.named):
		r.known = r.known.WithNamed(x.PerSecond, at, at)
	}
	return r
}

// report returns the report of what answers to this entry say.
func (r limitRecord) report(p Process, now time.Time) LimitReport {
	res := LimitReport{ID: p.ID, StartedMillis: p.StartedMillis, Service: r.service, Age: now.Sub(r.heard.last())}
	if r.heard.inForce() {
		res.Limited, res.PerSecond = true, r.heard.perSecond
	}
	return res
}
