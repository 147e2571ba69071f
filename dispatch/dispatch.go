// Package dispatch decides which waiting request goes to which endpoint, and
// which request is refused. It tracks the in-flight requests of this entry at
// the endpoints of a service and, from reports, those of its peers. It does no
// network I/O; the caller passes every event to a [Scheduler]. Start from [New].
//
// It handles bursts above the capacity of the endpoints: engines know no tiers
// and run requests in order of arrival, so requests wait here, by tier, until an
// endpoint has a free slot.
package dispatch

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"math"
	"slices"
	"sync"
	"time"

	"damasktrail.dev"
	"damasktrail.dev/fleet"
	"damasktrail.dev/health"
	"damasktrail.dev/queue"
)

const (
	// maxWaitRatio is the part of its objective that a request may wait for a slot.
	// The rest is needed to process the prompt.
	maxWaitRatio = 0.7
	// minWait is the lower bound of the time that a request may wait, for objectives
	// that are shorter than the processing time itself.
	minWait = 100 * time.Millisecond
	// maxWaitingRequests bounds the queue of one service at one entry.
	maxWaitingRequests = 1024
	// maxDeferred bounds the requests that one call of assign passes over because the
	// endpoints with free slots want none from their entries.
	maxDeferred = 8
	// minRetryAfter and maxRetryAfter bound the retry delay in a refusal.
	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 3 * time.Second
	// engineExtraSlots and plainExtraSlots are added to the slots that an endpoint
	// has. An engine gets none, since requests in its own queue can no longer be
	// ordered by tier. A plain service answers in tens of milliseconds.
	engineExtraSlots = 0
	plainExtraSlots  = 6
	// firstByteTimeout is the time to the first byte of a request after which its
	// endpoint gets no more requests.
	firstByteTimeout = 1500 * time.Millisecond
	// fullBackoff is the pause after an endpoint refused a request for lack of
	// capacity.
	fullBackoff = 60 * time.Millisecond
	// minBackoff is the pause after a connection to an endpoint failed. It doubles
	// with each consecutive failure, up to maxBackoff.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 4 * time.Second
	// baseCostTokens is the cost of a request besides its prompt, in prompt tokens.
	baseCostTokens = 2000
	// crossDomainCostTokens is the penalty in the choice of an endpoint for one in
	// another failure domain, in prompt tokens.
	crossDomainCostTokens = 2000
	// failureCostTokens is the penalty for an endpoint that fails all its requests, in
	// prompt tokens. Without it an endpoint that fails fast would attract requests,
	// since it always has free slots.
	failureCostTokens = 40_000
	// avoidCostTokens is the penalty for an endpoint that this request was already
	// sent to, in prompt tokens.
	avoidCostTokens = 1e6
	// newConnectionCostTokens is the penalty for an endpoint to which the entry that
	// sends the request probably has no open connection, in prompt tokens. The entry
	// has one for connectionLifetime after its last request.
	newConnectionCostTokens = 300
	connectionLifetime      = 3 * time.Second
	// unusedLimitCostTokens is subtracted for an endpoint with a limit of which this entry
	// has not used its part for unusedLimitTime, in prompt tokens. Only answers say that
	// the limit has ended. It outweighs all penalties but those for failures.
	unusedLimitCostTokens = 10_000
	unusedLimitTime       = time.Second
	// smoothing is the weight of a new sample in an exponential moving average.
	smoothing = 0.2
	// initialHold is the assumed time that a request holds a slot, used until the
	// first measurement.
	initialHold = 500 * time.Millisecond
)

// Request has the properties of a request that the scheduler uses. It is
// immutable.
type Request struct {
	// Service is the name of the service that runs it.
	Service string
	// Engine says that the service's endpoints are model engines.
	Engine bool
	// Organisation sent the request. The organisations of a tier share its capacity.
	Organisation string
	// Tier is the rank; 0 is the highest.
	Tier int
	// Objective is the time left to meet the latency objective; zero when there is
	// none.
	Objective time.Duration
	// Timeout is the time left until the deadline, after which the answer is useless.
	Timeout time.Duration
	// Prompt is the number of prompt tokens.
	Prompt int
	// Output is the expected number of output tokens, zero when it is unknown.
	Output int
	// Pause is the longest pause between two events that the route allows, zero when it is
	// unknown.
	Pause time.Duration
	// Whole says that the objective is for the end of the response, not its first event.
	Whole bool
	// Avoid is the ID of an endpoint that the request was sent to before, or empty.
	Avoid string
	// Client is the name of the entry that sends the request; empty for this one.
	Client string
	// Closed has the endpoints that want no requests from that entry.
	Closed []fleet.Closure
	// Regions has lists of the regions in which the request may run. Each list applies; an
	// empty one restricts nothing.
	Regions [][]string
	// Repeatable says that the request may run more than once.
	Repeatable bool
}

// WithElapsed returns the request as it is after a time has passed.
func (r Request) WithElapsed(d time.Duration) Request {
	r.Objective = max(0, r.Objective-d)
	r.Timeout -= d
	return r
}

// service is the state of one service.
type service struct {
	name string
	// engine says that the endpoints are model engines.
	engine    bool
	waiting   *queue.Queue[*waiter]
	endpoints map[string]*endpoint
	health    *health.Group
	// settings come from the configuration.
	settings ServiceSettings
	// holdSeconds is the moving average of the time that a request holds a slot.
	holdSeconds float64
	// wakeScheduled says that a call of assign is scheduled.
	wakeScheduled bool
	// adaptiveSet says that the configuration asks for the adaptive mode, statedAt when an
	// endpoint last stated how long its work takes.
	adaptiveSet bool
	statedAt    time.Time
	// model has the measured times of its requests.
	model *timeModel
	// passed counts the waiting requests that place has passed over, by tier. They leave
	// the slots that are free now to others.
	passed map[int]int
	// released says that a slot of this entry was released since the last call of place.
	released bool
	// options is the buffer of place.
	options []option
	// demand has the measurements of an adaptive service.
	demand demand
	// lastSlots is the supply at the last evaluation of the waiting requests.
	lastSlots float64
	// mostRamping says that more than half of the endpoints in use ramped up at rampChecked.
	mostRamping bool
	rampChecked time.Time
}

// waiter is a waiting request.
type waiter struct {
	request Request
	// arrived is the time at which it began to wait.
	arrived time.Time
	// granted receives one grant. It is closed when the request expires in the queue.
	granted chan *Grant
	// passedOver says that it has waited for a better slot than it could have.
	passedOver bool
	// reconsider is the time from which on place considers it again, if no slot is released
	// before.
	reconsider time.Time
	// refusal is set before granted is closed for a request that was refused as it waited.
	refusal *damasktrail.Refusal
}

// Scheduler assigns requests to endpoints. It is safe for concurrent use.
type Scheduler struct {
	clock damasktrail.Clock
	// name is the name of this entry, domain its failure domain.
	name, domain string
	// notices has what endpoints say of their limits.
	notices *fleet.Notices
	// onChange is called without mu held after the result of Report has changed. The
	// change is urgent when a slot was taken or released.
	onChange func(urgent bool)

	mu       sync.Mutex
	services map[string]*service
	// listKnown says that there was a list of endpoints before.
	listKnown bool
	// rampUp says that endpoints of adaptive services that have started or recovered are
	// ramped up.
	rampUp bool
	// peers has the last report of each peer, peerLoads the sum of their loads by
	// endpoint ID.
	peers     map[string]Report
	peerLoads map[string]Load
	turns     Turns
	division  division
	// shares says who may send requests to cold endpoints, coldBound how many.
	shares    shares
	coldBound ColdBound
	// settings has what the configuration says of services, by name.
	settings map[string]ServiceSettings
	// evacuated has the failure domains to which nothing is sent. evacuationsCurrent reports
	// whether they may be relied on; nil for always.
	evacuated          map[string]bool
	evacuationsCurrent func() bool
	// regions has the region of each failure domain.
	regions map[string]string
	lastID  uint64
}

// New returns a scheduler without endpoints for an entry in a failure domain. The
// name must be the one that peers pass to [Scheduler.SetPeer]. notices has the limits of
// endpoints. onChange is called after the result of [Scheduler.Report] has changed; the
// change is urgent when a slot was taken or released.
func New(clock damasktrail.Clock, name, domain string, notices *fleet.Notices, onChange func(urgent bool)) *Scheduler {
	return &Scheduler{
		clock: clock, name: name, domain: domain, notices: notices, onChange: onChange,
		services: map[string]*service{}, peers: map[string]Report{}, peerLoads: map[string]Load{},
	}
}

// SetEndpoints replaces the list of endpoints. It keeps the state of endpoints
// that are in both lists.
func (s *Scheduler) SetEndpoints(list fleet.List) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range s.services {
		for id, e := range v.endpoints {
			if n, found := list.Find(id); !found || !n.SameProcess(e.Endpoint) {
				s.removeEndpoint(v, e, found)
			}
		}
	}
	for _, e := range list.All() {
		v := s.service(e.Service)
		old, found := v.endpoints[e.ID]
		if !found {
			old = &endpoint{grants: map[*Grant]struct{}{}, draws: map[string]float64{}, lastUse: map[string]time.Time{}}
			v.endpoints[e.ID] = old
		}
		old.learnEntry(e, found)
		s.rampNew(old, found)
		old.Endpoint = e
		s.locate(old)
	}
	s.listKnown = s.listKnown || len(list.All()) > 0
	for _, v := range s.services {
		names := make([]string, 0, len(v.endpoints))
		for id := range v.endpoints {
			names = append(names, id)
		}
		v.health.SetAgents(names)
		s.reevaluate(v)
		s.assign(v)
	}
}

// removeEndpoint removes an endpoint from its service. replaced says that another process or
// place now has its ID; then what is known of it is dropped, since that is kept by ID. It is
// called with mu held.
func (s *Scheduler) removeEndpoint(v *service, e *endpoint, replaced bool) {
	delete(v.endpoints, e.ID)
	if replaced {
		v.health.Remove(e.ID)
		s.notices.Replaced(e.Endpoint)
	}
}

// Ready reports whether there is any endpoint.
func (s *Scheduler) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range s.services {
		if len(v.endpoints) > 0 {
			return true
		}
	}
	return false
}

// Busy reports whether a request waits or is in flight.
func (s *Scheduler) Busy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range s.services {
		if v.waiting.Len() > 0 {
			return true
		}
		for _, e := range v.endpoints {
			if len(e.grants) > 0 {
				return true
			}
		}
	}
	return false
}

// Tick assigns waiting requests to endpoints whose backoff has ended.
func (s *Scheduler) Tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range s.services {
		s.reevaluate(v)
		s.assign(v)
	}
}

// Acquire waits for a slot. It returns a refusal, always [damasktrail.NotRun],
// when none will be free in time or ctx ends.
func (s *Scheduler) Acquire(ctx context.Context, r Request) (*Grant, *damasktrail.Refusal) {
	w := &waiter{request: r, arrived: s.clock.Now(), granted: make(chan *Grant, 1)}
	s.mu.Lock()
	v := s.service(r.Service)
	v.engine = r.Engine
	s.learnPauses(v, r, w.arrived)
	id, maxWait, refusal := s.enqueue(v, w)
	s.mu.Unlock()
	if refusal != nil {
		return nil, refusal
	}
	select {
	case g := <-w.granted:
		if g != nil {
			s.onChange(true)
			return g, nil
		}
	default:
	}
	s.onChange(false)
	expired := make(chan struct{})
	cancel := s.clock.Schedule(maxWait, func(time.Time) { close(expired) })
	defer cancel()
	select {
	case g := <-w.granted:
		if g != nil {
			s.onChange(true)
			return g, nil
		}
	case <-expired:
	case <-ctx.Done():
	}
	return s.abandon(ctx, v, w, id)
}

// enqueue adds a request to the queue and assigns the free slots. It returns the
// ID of the request in the queue and the time that it may wait. It is called with
// mu held.
func (s *Scheduler) enqueue(v *service, w *waiter) (id string, maxWait time.Duration, refusal *damasktrail.Refusal) {
	if v.adaptive(s.clock.Now()) {
		return s.admit(v, w)
	}
	r := w.request
	maxWait = min(max(time.Duration(maxWaitRatio*float64(r.Objective)), minWait), r.Timeout)
	wait, known := s.estimateWait(v, w)
	if !known {
		return "", 0, refuse(damasktrail.ReasonNotReady, v.absence(), "the service %q has no endpoint that takes requests of this entry", r.Service)
	}
	if wait > maxWait {
		return "", 0, refuse(damasktrail.ReasonDeadline, wait, "a place is free in %v and the request may wait %v", wait.Round(time.Millisecond), maxWait.Round(time.Millisecond))
	}
	s.lastID++
	id = fmt.Sprint(s.lastID)
	_, refusal = v.waiting.Push(queue.Item[*waiter]{
		ID:      id,
		Request: damasktrail.Request{Organisation: r.Organisation, Tier: r.Tier, Cost: damasktrail.Cost{Prefill: r.Prompt}, Deadline: r.Timeout},
		Value:   w,
	}, s.clock.Now())
	if refusal != nil {
		return "", 0, refusal
	}
	s.assign(v)
	return id, maxWait, nil
}

// abandon removes a request from the queue, or returns the grant that it got in
// the meantime.
func (s *Scheduler) abandon(ctx context.Context, v *service, w *waiter, id string) (*Grant, *damasktrail.Refusal) {
	s.mu.Lock()
	_, waited := v.waiting.Remove(id)
	wait, _ := s.estimateWait(v, w)
	refusal := s.late(v, w, id)
	s.mu.Unlock()
	s.onChange(!waited)
	if !waited {
		select {
		case g := <-w.granted:
			if g != nil {
				return g, nil
			}
		default: // The request expired in the queue.
		}
	}
	if ctx.Err() != nil {
		return nil, refuse(damasktrail.ReasonCancelled, 0, "the caller left while the request waited")
	}
	if refusal != nil {
		return nil, refusal
	}
	return nil, refuse(damasktrail.ReasonDeadline, wait, "no place was free in time")
}

func refuse(reason damasktrail.Reason, after time.Duration, format string, args ...any) *damasktrail.Refusal {
	return &damasktrail.Refusal{
		Reason: reason, Outcome: damasktrail.NotRun, Detail: fmt.Sprintf(format, args...),
		RetryAfter: min(max(after, minRetryAfter), maxRetryAfter),
	}
}

// assign grants free slots to waiting requests. It is called with mu held.
func (s *Scheduler) assign(v *service) {
	now := s.clock.Now()
	for _, it := range v.waiting.Expire(now) {
		close(it.Value.granted)
	}
	if s.holdsBack() {
		return
	}
	limits := s.notices.Limited()
	if len(limits) > 0 {
		s.division = s.division.at(now)
	}
	for _, e := range v.endpoints {
		s.updateLimiter(e, limits, now)
		s.updateColdLimiter(v, e, now)
		e.setFreeSlots(s.freeSlots(v, e, now), now)
	}
	if v.adaptive(now) {
		s.place(v, now)
		return
	}
	var deferred []queue.Item[*waiter]
	for v.waiting.Len() > 0 && len(deferred) < maxDeferred {
		candidates, next := s.availableSlots(v, now)
		if len(candidates) == 0 {
			s.scheduleAssign(v, next)
			break
		}
		it, ok := v.waiting.Pop(now)
		if !ok {
			break
		}
		maps.DeleteFunc(candidates, func(e *endpoint, _ int) bool { return it.Value.closedFor(e, now) > 0 })
		if len(candidates) == 0 {
			deferred = append(deferred, it)
			continue
		}
		s.grant(v, it.Value, candidates, now)
	}
	v.requeue(deferred, now)
}

// grant gives a request a slot of one of the candidates. It is called with mu held.
func (s *Scheduler) grant(v *service, w *waiter, candidates map[*endpoint]int, now time.Time) {
	w.granted <- s.grantSlot(v, w, s.choose(v, w.request, candidates, now), len(candidates), now)
}

// grantSlot takes a slot of an endpoint for a request, when that many endpoints had one that
// this entry was allowed to take. It is called with mu held.
func (s *Scheduler) grantSlot(v *service, w *waiter, e *endpoint, available int, now time.Time) *Grant {
	own, peers := e.load(), s.peerLoads[e.ID]
	g := &Grant{
		Endpoint: e.Endpoint, scheduler: s, service: v, prompt: w.request.Prompt, client: w.request.Client, grantedAt: now,
		promptAhead: own.Prompt + peers.Prompt, output: w.request.Output, pause: w.request.Pause, tier: w.request.Tier, whole: w.request.Whole,
	}
	g.Choice = Choice{
		Own: own.Requests, Peers: peers.Requests,
		Pace: time.Duration(e.paceSeconds * float64(time.Second)), Free: available,
	}
	e.grants[g] = struct{}{}
	e.take(now)
	e.setFreeSlots(s.freeSlots(v, e, now), now)
	return g
}

// scheduleAssign calls assign after a delay, unless the delay is zero or an earlier
// call is pending. It is called with mu held.
func (s *Scheduler) scheduleAssign(v *service, after time.Duration) {
	if after == 0 || v.wakeScheduled {
		return
	}
	v.wakeScheduled = true
	s.clock.Schedule(after, func(time.Time) {
		s.mu.Lock()
		defer s.mu.Unlock()
		v.wakeScheduled = false
		s.assign(v)
	})
}

// freeSlots returns the number of requests that this entry may send to an endpoint
// now.
func (s *Scheduler) freeSlots(v *service, e *endpoint, now time.Time) int {
	s.updateRamp(v, e, now)
	n, _ := s.allowance(v, e, now)
	return n
}

// choose returns the candidate that is expected to send the first byte soonest.
// There must be at least one candidate.
func (s *Scheduler) choose(v *service, r Request, candidates map[*endpoint]int, now time.Time) *endpoint {
	fastest := math.Inf(1)
	for _, e := range v.endpoints {
		if e.paceSeconds > 0 {
			fastest = min(fastest, e.paceSeconds)
		}
	}
	cost := func(e *endpoint) float64 {
		slowdown := 1.0
		if e.paceSeconds > 0 {
			slowdown = e.paceSeconds / fastest
		}
		own, peers := e.load(), s.peerLoads[e.ID]
		res := slowdown * float64(baseCostTokens+r.Prompt+own.Prompt+peers.Prompt)
		res += slowdown * baseCostTokens * float64(own.Requests+peers.Requests) / float64(e.Slots)
		res += failureCostTokens * e.failureRate
		if e.Domain != s.domain {
			res += crossDomainCostTokens
		}
		if e.ID == r.Avoid {
			res += avoidCostTokens
		}
		if now.Sub(e.lastUse[r.Client]) > connectionLifetime {
			res += newConnectionCostTokens
		}
		if e.limiter != nil && now.Sub(e.freeSince) > unusedLimitTime {
			res -= unusedLimitCostTokens
		}
		return res
	}
	return slices.MinFunc(slices.Collect(maps.Keys(candidates)), func(a, b *endpoint) int {
		return cmp.Or(cmp.Compare(cost(a), cost(b)), cmp.Compare(a.ID, b.ID))
	})
}

// service returns the service of the given name and creates it when absent.
func (s *Scheduler) service(name string) *service {
	v, found := s.services[name]
	if !found {
		v = &service{
			name:        name,
			waiting:     queue.New[*waiter](queue.Limits{Requests: maxWaitingRequests, Prefill: math.MaxInt}),
			endpoints:   map[string]*endpoint{},
			health:      health.New(),
			demand:      demand{},
			holdSeconds: initialHold.Seconds(),
			model:       newTimeModel(),
			passed:      map[int]int{},
			settings:    s.settings[name],
		}
		s.services[name] = v
	}
	return v
}

// inFlight returns the number of requests of this entry and its peers at an
// endpoint.
func (s *Scheduler) inFlight(e *endpoint) int {
	return len(e.grants) + s.peerLoads[e.ID].Requests
}

// capacity returns the number of requests that may be in flight at an endpoint.
func (v *service) capacity(e *endpoint) int {
	if v.engine {
		return e.Slots + engineExtraSlots
	}
	return e.Slots + plainExtraSlots
}
