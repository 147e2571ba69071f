package dispatch_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"damasktrail.dev/dispatch"
	"damasktrail.dev/fleet"
	"damasktrail.dev/group"
	"damasktrail.dev/timer"
)

// rampLoad is a load on endpoints with eight slots that bear one request in flight at their start
// and two more with each second. With more the first byte takes longer, and with three times as
// many an endpoint crashes and takes no connections for 2 s.
type rampLoad struct {
	entries, endpoints int
	perSecond          float64
	// fresh is the number of endpoints that start after 3 s, crashing of those that crash every
	// 6 s, restarting says that all crash then, once.
	fresh, crashing int
	restarting      bool
	// slowFirst is the time until which responses of fresh endpoints are slow, after the start.
	slowFirst time.Duration
	off       bool
}

type rampOutcome struct {
	asked, inTime, late, failed, refused, crashes int
	// firstSecond is the most requests in flight at a fresh endpoint in its first 500 ms.
	firstSecond int
	// full says when a fresh endpoint first ran as many requests as it has slots.
	full time.Duration
}

type rampEndpoint struct {
	start    time.Time
	warm     bool
	inFlight int
	crashed  chan struct{}
}

const rampSlots = 8

func (l rampLoad) play(t *testing.T) (res rampOutcome) {
	synctest.Test(t, func(*testing.T) {
		tasks := group.New(context.Background())
		clock, begin := timer.New(tasks), time.Now()
		var mu sync.Mutex
		state, schedulers, names := map[string]*rampEndpoint{}, []*dispatch.Scheduler{}, []string{}
		list, first := endpoints(l.endpoints, rampSlots), fleet.List{}
		for i, e := range list.All() {
			state[e.ID] = &rampEndpoint{start: begin, warm: i >= l.fresh, crashed: make(chan struct{})}
			if i >= l.fresh {
				first = first.With(e)
			}
		}
		for range l.entries {
			names = append(names, fmt.Sprint("entry", len(names)))
		}
		for _, name := range names {
			s := dispatch.New(clock, name, "here", fleet.NewNotices(), func(bool) {})
			s.SetFleet(dispatch.Fleet{Assigning: names})
			s.SetAdaptive("llm", true)
			s.SetRampUp(!l.off)
			s.SetEndpoints(first)
			schedulers = append(schedulers, s)
		}
		for i, s := range schedulers {
			clock.Subscribe(max(10, time.Duration(2*l.entries))*time.Millisecond, func(time.Time) {
				for j, o := range schedulers {
					if i != j {
						o.SetPeer(names[i], s.Report())
					}
				}
				s.Tick()
			})
		}
		crash := func(e *rampEndpoint) {
			res.crashes++
			close(e.crashed)
			*e = rampEndpoint{start: time.Now().Add(2 * time.Second), crashed: make(chan struct{})}
		}
		clock.Schedule(3*time.Second, func(now time.Time) {
			mu.Lock()
			for i := range l.fresh {
				state[fmt.Sprint("e", i)].start = now
			}
			mu.Unlock()
			for _, s := range schedulers {
				s.SetEndpoints(list)
			}
		})
		for at := 3 * time.Second; at < 20*time.Second && (at < 4*time.Second || !l.restarting); at += 6 * time.Second {
			clock.Schedule(at, func(time.Time) {
				mu.Lock()
				defer mu.Unlock()
				for i := range l.crashing {
					crash(state[fmt.Sprint("e", i)])
				}
			})
		}
		serve := func(g *dispatch.Grant, random float64) (dispatch.Result, time.Duration) {
			mu.Lock()
			e, now := state[g.Endpoint.ID], time.Now()
			since := now.Sub(e.start)
			if since < 0 {
				mu.Unlock()
				return dispatch.Unreachable, 0
			}
			e.inFlight++
			bears := rampSlots
			if !e.warm {
				bears = min(rampSlots, 1+int(2*since.Seconds()))
				if since < 500*time.Millisecond {
					res.firstSecond = max(res.firstSecond, e.inFlight)
				}
				if e.inFlight >= rampSlots && res.full == 0 {
					res.full = since
				}
			}
			if e.inFlight >= 3*bears {
				crash(e)
				mu.Unlock()
				return dispatch.Broken, 0
			}
			crashed, firstByte := e.crashed, time.Duration(float64(100*time.Millisecond)*max(1, float64(e.inFlight)/float64(bears)))
			if !e.warm && since < l.slowFirst {
				firstByte = 700 * time.Millisecond
			}
			mu.Unlock()
			for i, wait := range []time.Duration{firstByte, time.Duration((0.2 + 0.4*random) * float64(time.Second))} {
				select {
				case <-crashed:
					return dispatch.Broken, 0
				case <-time.After(wait):
				}
				if i == 0 {
					g.Started(fleet.StatedLoad{})
				}
			}
			mu.Lock()
			defer mu.Unlock()
			e.inFlight--
			return dispatch.Answered, firstByte
		}
		random, requests := rand.New(rand.NewPCG(7, 8)), group.New(context.Background())
		for time.Since(begin) < 20*time.Second {
			time.Sleep(time.Duration(random.ExpFloat64() / l.perSecond * float64(time.Second)))
			s, x := schedulers[random.IntN(len(schedulers))], random.Float64()
			requests.Go(func(ctx context.Context) {
				asked, r := time.Now(), request(0)
				r.Repeatable = true
				g, refusal := s.Acquire(ctx, r)
				waited, result, took := time.Since(asked), dispatch.Cancelled, time.Duration(0)
				if refusal == nil {
					result, took = serve(g, x)
					g.Done(result, 0)
				}
				mu.Lock()
				defer mu.Unlock()
				res.asked++
				switch {
				case refusal != nil:
					res.refused++
				case result != dispatch.Answered:
					res.failed++
				case waited+took > r.Objective:
					res.late++
				default:
					res.inTime++
				}
			})
		}
		requests.Wait()
		tasks.Close()
	})
	return res
}

// Guards against endpoints that are flooded, or left idle, after a start or a recovery. Each load
// is played with the ramp-up and without.
func TestRampUp(t *testing.T) {
	loads := map[string]rampLoad{
		"one of four starts":             {entries: 3, endpoints: 4, fresh: 1, perSecond: 45},
		"one of four crashes by turns":   {entries: 3, endpoints: 4, crashing: 1, perSecond: 40},
		"the whole service restarts":     {entries: 3, endpoints: 4, crashing: 4, restarting: true, perSecond: 25},
		"a single endpoint restarts":     {entries: 1, endpoints: 1, crashing: 1, restarting: true, perSecond: 6},
		"thirty gateways, one starts":    {entries: 30, endpoints: 4, fresh: 1, perSecond: 45},
		"one starts with slow responses": {entries: 3, endpoints: 4, fresh: 1, perSecond: 45, slowFirst: 3 * time.Second},
	}
	for name, l := range loads {
		t.Run(name, func(t *testing.T) {
			with := l.play(t)
			l.off = true
			without := l.play(t)
			t.Logf("with %+v\nwithout %+v", with, without)
			if l.restarting {
				// Half of the slots are more than these endpoints bear, with and without: the
				// guard is against a service that is left idle.
				require.GreaterOrEqual(t, with.inTime*100, without.inTime*95)
				return
			}
			require.LessOrEqual(t, with.failed, without.failed)
			require.LessOrEqual(t, with.crashes, without.crashes)
			require.GreaterOrEqual(t, with.inTime, without.inTime)
			if l.fresh > 0 {
				require.LessOrEqual(t, with.firstSecond, 2, "requests in flight at the start")
				require.NotZero(t, with.full, "an endpoint that is well reaches its slots")
			}
		})
	}
}

// Guards against requests that may not be repeated at an endpoint that ramps up while another can
// take them, against a gateway that ramps up all endpoints since it has just started, and against
// an allowance that does not name what bounds it.
func TestRampUpChoice(t *testing.T) {
	runVirtual(t, endpoints(2, 4), func(s *dispatch.Scheduler) {
		s.SetAdaptive("llm", true)
		s.SetRampUp(true)
		s.Tick()
		require.Empty(t, s.RampingEndpoints())
		s.SetEndpoints(endpoints(3, 4))
		require.Equal(t, []string{"e2"}, s.RampingEndpoints())
		n, reason := s.Allowance("e2")
		require.Equal(t, 1, n)
		require.Equal(t, dispatch.AllowedRampUp, reason)
		var grants []*dispatch.Grant
		for range 8 {
			g := acquire(t, s, request(0))
			require.NotEqual(t, "e2", g.Endpoint.ID)
			grants = append(grants, g)
		}
		g := acquire(t, s, request(0))
		require.Equal(t, "e2", g.Endpoint.ID, "no other endpoint can take it")
		g.Done(dispatch.Failed, 0)
		n, _ = s.Allowance("e2")
		require.Equal(t, 1, n)
		s.SetEvacuated([]string{grants[0].Endpoint.Domain})
		_, reason = s.Allowance("e2")
		require.Equal(t, dispatch.AllowedLeaving, reason)
	})
}
