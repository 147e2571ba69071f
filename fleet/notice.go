package fleet

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// Forever is the remaining time of a closure that ends only with the process.
	Forever = time.Duration(math.MaxInt64)
	// MaxPause is the longest pause that an endpoint can ask for.
	MaxPause = 10 * time.Minute
	// noticeRetention is how long it is kept that an endpoint leaves, or what it has said
	// of its limit. One that is still listed after that is tried again.
	noticeRetention = time.Hour
	// maxNotices bounds the endpoints of which a closure is kept, and those of which a
	// limit is kept.
	maxNotices = 1 << 14
)

// Process identifies one process of an endpoint.
type Process struct {
	ID            string
	StartedMillis int64
}

// Process returns the process of the endpoint.
func (e Endpoint) Process() Process { return Process{ID: e.ID, StartedMillis: e.StartedMillis} }

// Notice is what an endpoint says of itself in an answer.
type Notice struct {
	// Leaving says that the endpoint takes no new requests.
	Leaving bool
	// Pause is how long the endpoint wants no requests from the VM that got the answer,
	// zero when it wants them.
	Pause time.Duration
	// Limit is the rate at which it takes requests of all VMs together.
	Limit Limit
	// Cold is how long its cold start lasts, zero if it states none.
	Cold time.Duration
}

// News says what a notice changes in what is known of its endpoint.
type News struct {
	// Closure says that the endpoint wants no requests for longer than was known, Limit
	// that its limit is another than was known.
	Closure, Limit bool
}

// Closure says that an endpoint wants no requests from one entry.
type Closure struct {
	Process
	// Remaining is for how long, at the time of the call that returned the closure.
	Remaining time.Duration
}

// Notices keeps what endpoints say of themselves: closures, which are for one entry, and
// limits, which are for all entries together and of which other entries report too. It is
// safe for concurrent use.
type Notices struct {
	mu     sync.Mutex
	closed map[Process]closed
	limits *limits
}

// closed is the state of an endpoint that wants no requests.
type closed struct {
	service string
	leaving bool
	// heard is the time of the last notice, until the end of the pause or, if the
	// endpoint leaves, the time at which the notice is dropped.
	heard, until time.Time
}

// NewNotices returns a set without notices.
func NewNotices() *Notices { return &Notices{closed: map[Process]closed{}, limits: newLimits()} }

// Add records a notice in the answer to a request that was sent at the given time.
func (n *Notices) Add(e Endpoint, x Notice, sent, now time.Time) News {
	n.mu.Lock()
	defer n.mu.Unlock()
	return News{Closure: n.addClosure(e, x, now), Limit: n.limits.add(e, x.Limit, sent, now)}
}

// addClosure records for how long an endpoint wants no requests, and reports whether that
// is news. A later pause replaces an earlier one only if it ends later. It is called with
// mu held.
func (n *Notices) addClosure(e Endpoint, x Notice, now time.Time) (news bool) {
	if !x.Leaving && x.Pause <= 0 {
		return false
	}
	old, found := n.closed[e.Process()]
	if found && old.leaving {
		return false
	}
	until := now.Add(min(x.Pause, MaxPause))
	if x.Leaving {
		until = now.Add(noticeRetention)
	}
	if !until.After(old.until) {
		return false
	}
	if !found && len(n.closed) >= maxNotices {
		n.evictClosure()
	}
	n.closed[e.Process()] = closed{service: e.Service, leaving: x.Leaving, heard: now, until: until}
	return true
}

// evictClosure drops the closure that was heard first. It is called with mu held.
func (n *Notices) evictClosure() {
	var victim Process
	var oldest time.Time
	for p, c := range n.closed {
		if oldest.IsZero() || c.heard.Before(oldest) {
			victim, oldest = p, c.heard
		}
	}
	delete(n.closed, victim)
}

// Closed reports whether the endpoint wants no requests now.
func (n *Notices) Closed(e Endpoint, now time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return now.Before(n.closed[e.Process()].until)
}

// Closures returns the endpoints of a service that want no requests now, at most limit
// of them, those heard last.
func (n *Notices) Closures(service string, limit int, now time.Time) []Closure {
	n.mu.Lock()
	defer n.mu.Unlock()
	var processes []Process
	for p, c := range n.closed {
		if c.service == service && now.Before(c.until) {
			processes = append(processes, p)
		}
	}
	slices.SortFunc(processes, func(a, b Process) int {
		return cmp.Or(n.closed[b].heard.Compare(n.closed[a].heard), cmp.Compare(a.ID, b.ID))
	})
	var res []Closure
	for _, p := range processes[:min(limit, len(processes))] {
		c := n.closed[p]
		x := Closure{Process: p, Remaining: c.until.Sub(now)}
		if c.leaving {
			x.Remaining = Forever
		}
		res = append(res, x)
	}
	return res
}

// Expire drops the notices that no longer hold.
func (n *Notices) Expire(now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for p, c := range n.closed {
		if !now.Before(c.until) {
			delete(n.closed, p)
		}
	}
	n.limits.expire(now)
}

// Replaced drops what is known of an endpoint that another process has replaced, or that has
// moved to another service, address or failure domain. Process alone does not tell that when
// the start is unknown or unchanged.
func (n *Notices) Replaced(e Endpoint) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.closed, e.Process())
	n.limits.remove(e.Process())
}

// Limited returns the limits in force, in requests a second from all entries together. The
// map must not be modified.
func (n *Notices) Limited() map[Process]float64 { return *n.limits.inForce.Load() }

// ReportLimits returns what answers to this entry say of limits, of one service or, if it
// is empty, of all: at most the given number of reports, a random choice if there are more.
func (n *Notices) ReportLimits(service string, limit int, now time.Time) []LimitReport {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.limits.report(service, limit, now)
}

// MergeLimits records the reports of another entry.
func (n *Notices) MergeLimits(reports []LimitReport, now time.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.limits.merge(reports, now)
}
