package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"damasktrail.dev/fleet"
	"damasktrail.dev/internal/bucket"
)

// An endpoint that has just started is cold: above a configured rate of requests it crashes.
// The rate holds for all entries together, also while they cannot reach each other. Like a
// stated limit, it is divided among the entries that assign requests. The division is more
// careful than that of stated limits: an entry that is silent keeps its share for longer
// than a partition is expected to last, and shares do not change hands.

const (
	// shareHold is how long the share of a silent entry is left to it. The entry may be
	// alive behind a partition and still use the share.
	shareHold = 10 * time.Minute
	// shareSettleTime is the time in which a change of the fleet becomes known to all
	// entries. An entry that has just started assumes the largest number of shares until
	// then, and one that has just been elected has none.
	shareSettleTime = 5 * time.Second
	// shareJitter is the time by which requests that are sent within more than a second may
	// arrive within one.
	shareJitter = 200 * time.Millisecond
	// shareRecheckInterval is the time between two calculations of the share of an endpoint
	// when the fleet has not changed.
	shareRecheckInterval = time.Second
	// minSurvival is how long after the cause of a suspicion the first byte of an earlier
	// request must arrive to show that the endpoint has not been restarted. Before that it
	// may have been on its way. The end of an answer shows it only after
	// minAnswerSurvival, since callers may read slowly what has long arrived.
	minSurvival       = 50 * time.Millisecond
	minAnswerSurvival = 2 * time.Second
	// suspicionMargin is added to the duration of a cold start after which an entry without
	// a share drops its suspicion. It has no attempts of its own that could end it.
	suspicionMargin = 2 * maxBackoff
)

// ServiceSettings are the properties of a service that come from the configuration.
type ServiceSettings struct {
	Name string
	// ColdPerSecond is the number of requests per second that a cold endpoint bears, from
	// all entries together; zero if endpoints have no cold start.
	ColdPerSecond float64
	// ColdTime is the duration of a cold start.
	ColdTime time.Duration
}

// ColdBound limits the requests that a cold endpoint gets in any second to
// Overrun x ColdPerSecond + Slack. The zero value is replaced by [DefaultColdBound].
type ColdBound struct{ Overrun, Slack float64 }

// DefaultColdBound applies where the settings name no bound.
var DefaultColdBound = ColdBound{Overrun: 1.5, Slack: 5}

// shares returns the largest number of shares that keeps to the bound. In a second, a share
// yields one request that was saved up and its part of the rate.
func (b ColdBound) shares(perSecond float64) int {
	if b == (ColdBound{}) {
		b = DefaultColdBound
	}
	n := b.Overrun*perSecond + b.Slack - (1+shareJitter.Seconds())*perSecond
	return int(min(max(1, math.Floor(n)), math.MaxInt32))
}

// SetColdBound sets the bound of the requests to cold endpoints.
func (s *Scheduler) SetColdBound(b ColdBound) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldBound = b
}

// SetServices replaces what the configuration says of services. Endpoints of a service that
// is not listed have no cold start.
func (s *Scheduler) SetServices(list []ServiceSettings) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settings = make(map[string]ServiceSettings, len(list))
	for _, x := range list {
		s.settings[x.Name] = x
	}
	for name, v := range s.services {
		v.settings = s.settings[name]
		s.assign(v)
	}
}

// coldState is what this entry knows of the cold start of an endpoint.
type coldState struct {
	// until is the time at which the cold start ends, zero if there is none.
	until time.Time
	// suspectSince is the time since which the endpoint may have been restarted under its
	// old ID; zero if it has answered since.
	suspectSince time.Time
	// observed says that the suspicion follows from a connection of this entry that could not
	// be made. Only such a suspicion is reported to peers.
	observed bool
	// limiter has the tokens of this entry, nil before the first cold start. It outlives a
	// cold start, so that a new one begins with what is left.
	limiter *limiter
	basis   shareBasis
}

// shareBasis is what a share follows from.
type shareBasis struct {
	settings ServiceSettings
	revision int
	checked  int64 // number of the shareRecheckInterval
}

// learnEntry records what the entry of an endpoint states, unless the same entry is read
// again. The caller replaces e.Endpoint afterwards.
func (e *endpoint) learnEntry(next fleet.Endpoint, found bool) {
	newer := next.Revision > e.Revision || next.Revision == 0 && !next.ColdUntil.Equal(e.ColdUntil)
	if !found || newer {
		e.cold.until, e.cold.suspectSince, e.cold.observed = next.ColdUntil, time.Time{}, false
	}
}

// SetCold records that a process has stated in an answer how long its cold start lasts.
func (s *Scheduler) SetCold(p fleet.Process, remaining time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range s.services {
		if e := v.endpoints[p.ID]; e != nil && e.Process() == p {
			e.cold.until = s.clock.Now().Add(remaining)
			s.assign(v)
		}
	}
}

// suspectCold records that an endpoint may have been restarted. A lost answer and the report
// of a peer are weak evidence, since the connection may be at fault.
func (v *service) suspectCold(e *endpoint, observed bool, now time.Time) {
	if e == nil || v.settings.ColdPerSecond <= 0 || v.settings.ColdTime <= 0 {
		return
	}
	e.cold.suspectSince = now
	e.cold.observed = e.cold.observed || observed
}

// updateCold updates what is known of a cold start from the outcome of an attempt at the
// endpoint. A broken answer alone is no sign of a restart: the entry looks whether the port is
// closed, and reports a crash as [Unreachable].
func (g *Grant) updateCold(e *endpoint, result Result, now time.Time) {
	if g.Endpoint.Process() != e.Process() {
		return
	}
	switch result {
	case Broken, Unreachable:
		g.service.suspectCold(e, result == Unreachable, now)
	case Answered:
		g.refuteSuspicion(e, minAnswerSurvival, now)
		if since := e.cold.suspectSince; !since.IsZero() && g.grantedAt.After(since) {
			e.cold.suspectSince, e.cold.observed = time.Time{}, false
			e.cold.until = now.Add(g.service.settings.ColdTime)
		}
	case Cancelled, Full, Failed:
	}
}

// refuteSuspicion ends a suspicion on weak evidence if the endpoint still answers, after the
// given time, a request that was sent before.
func (g *Grant) refuteSuspicion(e *endpoint, after time.Duration, now time.Time) {
	if e == nil || g.Endpoint.Process() != e.Process() {
		return
	}
	since := e.cold.suspectSince
	if since.IsZero() || e.cold.observed || !g.grantedAt.Before(since) || now.Sub(since) < after {
		return
	}
	e.cold.suspectSince = time.Time{}
}

// suspectReported records the suspicions that a peer newly reports. A peer that suspects
// most endpoints of a service is probably cut off itself.
func (s *Scheduler) suspectReported(before, now []string) {
	for _, v := range s.services {
		var known, fresh []*endpoint
		for _, id := range now {
			if e := v.endpoints[id]; e != nil {
				known = append(known, e)
				if !slices.Contains(before, id) {
					fresh = append(fresh, e)
				}
			}
		}
		if len(known) > max(1, len(v.endpoints)/2) {
			continue
		}
		for _, e := range fresh {
			v.suspectCold(e, false, s.clock.Now())
		}
	}
}

// reportSuspicions adds the endpoint to the report of this entry if it suspects a restart.
func (e *endpoint) reportSuspicions(r *Report) {
	if e.cold.observed {
		r.Suspects = append(r.Suspects, e.ID)
	}
}

// isCold reports whether the endpoint is, or may be, in its cold start.
func (v *service) isCold(e *endpoint, now time.Time) bool {
	return v.settings.ColdPerSecond > 0 && (!e.cold.suspectSince.IsZero() || now.Before(e.cold.until))
}

// ColdEndpoints returns the IDs of the endpoints that are, or may be, in their cold start.
func (s *Scheduler) ColdEndpoints() (res []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for _, v := range s.services {
		for id, e := range v.endpoints {
			if v.isCold(e, now) {
				res = append(res, id)
			}
		}
	}
	slices.Sort(res)
	return res
}

// updateColdLimiter lets the limiter for the cold start follow the state of the endpoint. It
// is called with mu held.
func (s *Scheduler) updateColdLimiter(v *service, e *endpoint, now time.Time) {
	e.coldLimiter = nil
	if !v.isCold(e, now) {
		return
	}
	basis := shareBasis{settings: v.settings, revision: s.shares.revision, checked: now.UnixNano() / int64(shareRecheckInterval)}
	if e.cold.limiter == nil {
		e.cold.limiter = &limiter{bucket: bucket.New(0, 1, 0, now)}
	}
	e.coldLimiter = e.cold.limiter
	if basis != e.cold.basis {
		e.cold.basis = basis
		e.coldLimiter.basis.limit = v.settings.ColdPerSecond
		share := s.shares.share(s.name, e.ID, v.settings.ColdPerSecond, s.coldBound, now)
		depth := 0.0
		if share > 0 {
			// With a higher depth the sum of all shares could exceed the bound.
			depth = 1
		}
		e.coldLimiter.bucket.Resize(share, depth, now)
	}
	if e.coldLimiter.closed() && s.outlivesSuspicion(v, e, now) {
		e.cold.suspectSince, e.cold.observed, e.coldLimiter = time.Time{}, false, nil
	}
}

// outlivesSuspicion reports whether an endpoint to which this entry may send nothing has been
// suspected for so long that it is warm if it works at all.
func (s *Scheduler) outlivesSuspicion(v *service, e *endpoint, now time.Time) bool {
	if e.cold.suspectSince.IsZero() || now.Before(e.cold.until) || now.Sub(e.cold.suspectSince) < v.settings.ColdTime+suspicionMargin {
		return false
	}
	for _, p := range s.peers {
		if slices.Contains(p.Suspects, e.ID) || slices.Contains(p.Unreachable, e.ID) {
			return false
		}
	}
	return true
}

// limited reports whether the rate of requests to the endpoint is limited.
func (e *endpoint) limited() bool { return e.limiter != nil || e.coldLimiter != nil }

// closed reports whether this entry may send no request to the endpoint.
func (e *endpoint) closed() bool { return e.limiter.closed() || e.coldLimiter.closed() }

// cap returns the number of the free slots that the limits of the endpoint let this entry
// take.
func (e *endpoint) cap(free int, now time.Time) int {
	return e.coldLimiter.cap(e.limiter.cap(free, now), now)
}

// take records that a request is sent, whatever becomes of it.
func (e *endpoint) take(now time.Time) {
	e.limiter.take(now)
	e.coldLimiter.take(now)
}

// coldWait estimates how long a request waits, behind a number of own requests, if only cold
// endpoints run them. Peers do not use the tokens of this entry.
func (s *Scheduler) coldWait(v *service, w *waiter, ahead int, now time.Time) time.Duration {
	rate, free, next := 0.0, 0, time.Duration(math.MaxInt64)
	for _, e := range v.endpoints {
		if e.coldLimiter == nil || e.closed() || !e.usable() || e.failures > 0 || w.closedFor(e, now) > 0 {
			continue
		}
		rate += e.coldLimiter.bucket.Rate()
		free += e.cap(max(0, v.capacity(e)-s.inFlight(e)), now)
		next = min(next, e.nextToken(now))
	}
	behind := ahead - free
	switch {
	case rate == 0:
		return maxEstimate
	case behind < 0:
		return 0
	}
	return min(maxEstimate, next+time.Duration(min(float64(behind)/rate, maxEstimate.Seconds())*float64(time.Second)))
}

// turnsIfCold returns the number of turns to wait for a slot at the endpoint. At a cold one
// each entry has its own tokens, and few slots are taken. Waiting would only waste tokens.
func (e *endpoint) turnsIfCold(turns int) int {
	if e.coldLimiter != nil {
		return 0
	}
	return turns
}

// perSecond returns the lowest limit of all entries together.
func (e *endpoint) perSecond() float64 {
	res := math.Inf(1)
	for _, l := range []*limiter{e.limiter, e.coldLimiter} {
		if l != nil {
			res = min(res, l.perSecond())
		}
	}
	return res
}

// nextToken returns the time until the limits let this entry send a request.
func (e *endpoint) nextToken(now time.Time) (res time.Duration) {
	for _, l := range []*limiter{e.limiter, e.coldLimiter} {
		if l != nil {
			res = max(res, l.wait(now))
		}
	}
	return res
}

// shares says which entries have a share of the rate that a cold endpoint bears. It is
// immutable.
type shares struct {
	// started is the time at which the fleet was first known.
	started time.Time
	members map[string]shareMember
	// revision differs between two values of a scheduler.
	revision int
}

// shareMember is an entry that has, or may have, a share.
type shareMember struct {
	// joined is the time at which the entry was first seen to assign requests, zero if that
	// was when this process learned of its fleet.
	joined time.Time
	// left is the time at which it stopped to assign requests as far as is known; zero if
	// it has not.
	left time.Time
	// live says that it has been heard since it left.
	live bool
}

// silent reports whether the member may use its share although it is not heard.
func (m shareMember) silent() bool { return !m.left.IsZero() && !m.live }

// held reports whether the share of the member is kept for it at a time.
func (m shareMember) held(now time.Time) bool {
	switch {
	case m.left.IsZero():
		return true
	case m.live:
		return now.Sub(m.left) < shareSettleTime
	}
	return now.Sub(m.left) < shareHold
}

// With returns the shares for another fleet.
func (d shares) With(f Fleet, now time.Time) shares {
	res := shares{started: d.started, members: map[string]shareMember{}, revision: d.revision + 1}
	if res.started.IsZero() {
		res.started = now
	}
	for name, m := range d.members {
		if m.left.IsZero() {
			m.left, m.live = now, false
		}
		m.live = slices.Contains(f.Live, name)
		if m.held(now) {
			res.members[name] = m
		}
	}
	for _, name := range f.Assigning {
		m, found := res.members[name]
		if !found && now.Sub(res.started) >= shareSettleTime {
			m.joined = now
		}
		m.left, m.live = time.Time{}, true
		res.members[name] = m
	}
	return res
}

// share returns the rate at which an entry may send requests to a cold endpoint, zero if it
// has no share.
func (d shares) share(entry, endpoint string, perSecond float64, bound ColdBound, now time.Time) float64 {
	own, found := d.members[entry]
	if !found || !own.left.IsZero() || now.Sub(own.joined) < shareSettleTime {
		return 0
	}
	silentSince := d.silentSince(now)
	late := func(m shareMember) bool {
		return !silentSince.IsZero() && m.joined.After(silentSince.Add(-shareSettleTime))
	}
	// Entries that joined while others are silent may be on one side of a partition. The
	// other side does not know of them.
	if late(own) {
		return 0
	}
	count, before := 0, 0
	draw := func(name string) float64 { return uniformHash(name, endpoint) }
	for name, m := range d.members {
		if !m.held(now) || late(m) {
			continue
		}
		count++
		if c := cmp.Or(cmp.Compare(draw(name), draw(entry)), cmp.Compare(name, entry)); c < 0 {
			before++
		}
	}
	most := bound.shares(perSecond)
	if before >= most {
		return 0
	}
	if now.Sub(d.started) < shareSettleTime {
		count = most
	}
	return perSecond / float64(min(count, most))
}

// silentSince returns the time since which a member is silent that keeps its share, zero if
// there is none.
func (d shares) silentSince(now time.Time) (res time.Time) {
	for _, m := range d.members {
		if m.silent() && m.held(now) && (res.IsZero() || m.left.Before(res)) {
			res = m.left
		}
	}
	return res
}
