// Package dispatch decides which waiting request goes to which endpoint, and
// which request is refused. It knows what the endpoints of a service hold for
// this entry and, from reports, for its peers. It has no network; a
// [Scheduler] is told of every event. Start from [New].
//
// It answers bursts above what the endpoints can hold: engines know no tiers
// and run what they are sent in order of arrival, so requests wait here, by
// tier, until an endpoint has a free place.
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
	// waitShare is the part of its objective that a request may wait for a place.
	// What is left is needed for the prompt.
	waitShare = 0.7
	// minWait is the least time that a request may wait, for objectives that are
	// shorter than the work itself.
	minWait = 100 * time.Millisecond
	// maxWaiting bounds the requests that wait at one entry for one service.
	maxWaiting = 1024
	// minRetry and maxRetry bound the advice when to try again.
	minRetry = 200 * time.Millisecond
	maxRetry = 3 * time.Second
	// engineExtra and plainExtra are places beyond an endpoint's slots. An engine
	// gets none, since what it holds back can no longer be put in order of tiers.
	// A plain service answers in tens of milliseconds.
	engineExtra = 0
	plainExtra  = 6
	// stuck is how long an endpoint may leave a request without its first byte
	// before it gets no more.
	stuck = 1500 * time.Millisecond
	// fullPause keeps requests from an endpoint that said it is full.
	fullPause = 60 * time.Millisecond
	// firstPause keeps requests from an endpoint that failed; it doubles with each
	// failure in a row, up to maxPause.
	firstPause = 500 * time.Millisecond
	maxPause   = 4 * time.Second
	// baseWork is the work of a request beside its prompt, in prompt tokens.
	baseWork = 2000
	// farWork is what another failure domain counts in the choice of an endpoint,
	// in prompt tokens.
	farWork = 2000
	// failWork is what an endpoint counts that fails all its requests, in prompt
	// tokens. One that fails fast always has free places.
	failWork = 40_000
	// avoidWork is what an endpoint counts that this request was already sent to.
	avoidWork = 1e6
	// smoothing is the share of a new sample in a mean.
	smoothing = 0.2
	// firstHold is the assumed time that a request holds a place until one was
	// measured.
	firstHold = 500 * time.Millisecond
)

// Request is what the decision knows of a request. It is immutable.
type Request struct {
	// Service is the service that runs it.
	Service string
	// Engine says that the service's endpoints are model engines.
	Engine bool
	// Organisation shares its tier with the others.
	Organisation string
	// Tier is the rank; 0 is the highest.
	Tier int
	// Objective is the time left until the answer loses part of its use; zero
	// when there is none.
	Objective time.Duration
	// Left is the time until the answer is useless.
	Left time.Duration
	// Prompt is the number of prompt tokens.
	Prompt int
	// Avoid is an endpoint that the request was sent to before, or empty.
	Avoid string
}

// service is what is known of one service.
type service struct {
	name string
	// engine says that the endpoints are model engines.
	engine    bool
	waiting   *queue.Queue[*waiter]
	endpoints map[string]*endpoint
	health    *health.Group
	// hold is the mean time that a request holds a place, in seconds.
	hold float64
	// waking says that a call of place is scheduled.
	waking bool
}

// waiter is a request that waits.
type waiter struct {
	request Request
	// granted receives one grant. It is closed when the request waited too long.
	granted chan *Grant
}

// Scheduler places requests. It is safe for use by several goroutines.
type Scheduler struct {
	clock damasktrail.Clock
	// name is that of this entry, domain its failure domain.
	name, domain string
	// changed is called without a lock after what Report returns has changed. It is
	// urgent when a place was taken or given back.
	changed func(urgent bool)

	mu       sync.Mutex
	services map[string]*service
	// peers is the last report of each peer, others the sum of their holds.
	peers  map[string]Report
	others map[string]Hold
	next   uint64
}

// New returns a scheduler without endpoints for an entry in a failure domain. The
// name must be the one that peers use in [Scheduler.SetPeer].
func New(clock damasktrail.Clock, name, domain string, changed func(urgent bool)) *Scheduler {
	return &Scheduler{
		clock: clock, name: name, domain: domain, changed: changed,
		services: map[string]*service{}, peers: map[string]Report{}, others: map[string]Hold{},
	}
}

// SetEndpoints replaces the list of endpoints. What is known of those that stay
// is kept.
func (s *Scheduler) SetEndpoints(list fleet.List) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range s.services {
		for id, e := range v.endpoints {
			if n, found := list.Find(id); !found || !n.SameProcess(e.Endpoint) {
				delete(v.endpoints, id)
			}
		}
	}
	for _, e := range list.All() {
		v := s.service(e.Service)
		old, found := v.endpoints[e.ID]
		if !found {
			old = &endpoint{grants: map[*Grant]struct{}{}}
			v.endpoints[e.ID] = old
		}
		old.Endpoint = e
	}
	for _, v := range s.services {
		names := make([]string, 0, len(v.endpoints))
		for id := range v.endpoints {
			names = append(names, id)
		}
		v.health.Retain(names)
		s.place(v)
	}
}

// Tick places what waits for the end of a pause.
func (s *Scheduler) Tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, v := range s.services {
		s.place(v)
	}
}

// Acquire waits for a place. It returns a refusal, always [damasktrail.NotRun],
// when there will be none in time or ctx ends.
func (s *Scheduler) Acquire(ctx context.Context, r Request) (*Grant, *damasktrail.Refusal) {
	w := &waiter{request: r, granted: make(chan *Grant, 1)}
	s.mu.Lock()
	v := s.service(r.Service)
	v.engine = r.Engine
	id, limit, refusal := s.enter(v, w)
	s.mu.Unlock()
	if refusal != nil {
		return nil, refusal
	}
	select {
	case g := <-w.granted:
		if g != nil {
			s.changed(true)
			return g, nil
		}
	default:
	}
	s.changed(false)
	expired := make(chan struct{})
	cancel := s.clock.Schedule(limit, func(time.Time) { close(expired) })
	defer cancel()
	select {
	case g := <-w.granted:
		if g != nil {
			s.changed(true)
			return g, nil
		}
	case <-expired:
	case <-ctx.Done():
	}
	return s.leave(ctx, v, w, id)
}

// enter puts a request into the queue and places what it can.
func (s *Scheduler) enter(v *service, w *waiter) (id string, limit time.Duration, refusal *damasktrail.Refusal) {
	r := w.request
	limit = min(max(time.Duration(waitShare*float64(r.Objective)), minWait), r.Left)
	wait, known := s.wait(v, r)
	if !known {
		return "", 0, refuse(damasktrail.ReasonNotReady, minRetry, "the service %q has no endpoint", r.Service)
	}
	if wait > limit {
		return "", 0, refuse(damasktrail.ReasonDeadline, wait, "a place is free in %v and the request may wait %v", wait.Round(time.Millisecond), limit.Round(time.Millisecond))
	}
	s.next++
	id = fmt.Sprint(s.next)
	_, refusal = v.waiting.Push(queue.Item[*waiter]{
		ID:      id,
		Request: damasktrail.Request{Organisation: r.Organisation, Tier: r.Tier, Cost: damasktrail.Cost{Prefill: r.Prompt}, Deadline: r.Left},
		Value:   w,
	}, s.clock.Now())
	if refusal != nil {
		return "", 0, refusal
	}
	s.place(v)
	return id, limit, nil
}

// leave takes a request out of the queue, or returns the grant that it got in
// the meantime.
func (s *Scheduler) leave(ctx context.Context, v *service, w *waiter, id string) (*Grant, *damasktrail.Refusal) {
	s.mu.Lock()
	_, waited := v.waiting.Remove(id)
	wait, _ := s.wait(v, w.request)
	s.mu.Unlock()
	s.changed(!waited)
	if !waited {
		select {
		case g := <-w.granted:
			if g != nil {
				return g, nil
			}
		default: // The queue found it too late.
		}
	}
	if ctx.Err() != nil {
		return nil, refuse(damasktrail.ReasonCancelled, 0, "the caller left while the request waited")
	}
	return nil, refuse(damasktrail.ReasonDeadline, wait, "no place was free in time")
}

func refuse(reason damasktrail.Reason, after time.Duration, format string, args ...any) *damasktrail.Refusal {
	return &damasktrail.Refusal{
		Reason: reason, Outcome: damasktrail.NotRun, Detail: fmt.Sprintf(format, args...),
		RetryAfter: min(max(after, minRetry), maxRetry),
	}
}

// wait estimates how long a request waits for a place; known is false when the
// service has no endpoint that takes requests.
func (s *Scheduler) wait(v *service, r Request) (res time.Duration, known bool) {
	places, free := 0, 0
	for _, e := range v.endpoints {
		if e.State != fleet.Ready || e.failures > 0 {
			continue
		}
		places += v.capacity(e)
		free += max(0, v.capacity(e)-s.taken(e))
	}
	if places == 0 {
		for _, e := range v.endpoints {
			known = known || e.State == fleet.Ready
		}
		return 0, known
	}
	ahead := 0
	v.waiting.EachTier(func(rank, count int) {
		if rank <= r.Tier {
			ahead += count
		}
	})
	for _, p := range s.peers {
		for rank, count := range p.Waiting[v.name] {
			if rank <= r.Tier {
				ahead += count
			}
		}
	}
	if ahead < free {
		return 0, true
	}
	seconds := float64(ahead-free+1) * v.hold / float64(places)
	return time.Duration(seconds * float64(time.Second)), true
}

// place grants places to what waits. It is called with mu held.
func (s *Scheduler) place(v *service) {
	now := s.clock.Now()
	for _, it := range v.waiting.Expire(now) {
		close(it.Value.granted)
	}
	for _, e := range v.endpoints {
		e.noteFree(s.free(v, e, now), now)
	}
	for v.waiting.Len() > 0 {
		places, next := s.allot(v, now)
		if len(places) == 0 {
			s.wake(v, next)
			return
		}
		it, ok := v.waiting.Pop(now)
		if !ok {
			return
		}
		w := it.Value
		e := s.choose(v, w.request, places)
		g := &Grant{Endpoint: e.Endpoint, scheduler: s, service: v, prompt: w.request.Prompt, since: now}
		g.Choice = Choice{
			Own: len(e.grants), Peers: s.others[e.ID].Requests,
			Pace: time.Duration(e.pace * float64(time.Second)), Free: len(places),
		}
		e.grants[g] = struct{}{}
		e.noteFree(s.free(v, e, now), now)
		w.granted <- g
	}
}

// wake places what waits again after a time, unless that is zero or an earlier
// call is pending. It is called with mu held.
func (s *Scheduler) wake(v *service, after time.Duration) {
	if after == 0 || v.waking {
		return
	}
	v.waking = true
	s.clock.Schedule(after, func(time.Time) {
		s.mu.Lock()
		defer s.mu.Unlock()
		v.waking = false
		s.place(v)
	})
}

// free returns the number of places that an endpoint has for this entry now.
func (s *Scheduler) free(v *service, e *endpoint, now time.Time) int {
	if e.State != fleet.Ready || now.Before(e.paused) || v.health.Ejected(e.ID, now) || e.stuck(now) {
		return 0
	}
	if e.failures > 0 {
		return max(0, 1-len(e.grants))
	}
	return max(0, v.capacity(e)-s.taken(e))
}

// choose returns the endpoint among the places at which the first byte is
// expected the soonest. There must be a place.
func (s *Scheduler) choose(v *service, r Request, places map[*endpoint]int) *endpoint {
	fastest := math.Inf(1)
	for _, e := range v.endpoints {
		if e.pace > 0 {
			fastest = min(fastest, e.pace)
		}
	}
	work := func(e *endpoint) float64 {
		slower := 1.0
		if e.pace > 0 {
			slower = e.pace / fastest
		}
		held, others := e.held(), s.others[e.ID]
		res := slower * float64(baseWork+r.Prompt+held.Prompt+others.Prompt)
		res += slower * baseWork * float64(held.Requests+others.Requests) / float64(e.Slots)
		res += failWork * e.failing
		if e.Domain != s.domain {
			res += farWork
		}
		if e.ID == r.Avoid {
			res += avoidWork
		}
		return res
	}
	return slices.MinFunc(slices.Collect(maps.Keys(places)), func(a, b *endpoint) int {
		return cmp.Or(cmp.Compare(work(a), work(b)), cmp.Compare(a.ID, b.ID))
	})
}

// service returns the service of that name and makes it when absent.
func (s *Scheduler) service(name string) *service {
	v, found := s.services[name]
	if !found {
		v = &service{
			name:      name,
			waiting:   queue.New[*waiter](queue.Limits{Requests: maxWaiting, Prefill: math.MaxInt}),
			endpoints: map[string]*endpoint{},
			health:    health.New(),
			hold:      firstHold.Seconds(),
		}
		s.services[name] = v
	}
	return v
}

// taken returns the number of places that are taken at an endpoint.
func (s *Scheduler) taken(e *endpoint) int {
	return len(e.grants) + s.others[e.ID].Requests
}

// capacity is the number of places of an endpoint.
func (v *service) capacity(e *endpoint) int {
	if v.engine {
		return e.Slots + engineExtra
	}
	return e.Slots + plainExtra
}
