package dispatch_test

import (
	"context"
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

// kind is a kind of request of a played load.
type kind struct {
	tier      int
	share     float64
	objective time.Duration
	hold      time.Duration
}

// tally is what the callers of one kind got.
type tally struct{ asked, inTime, late, refused int }

// playLoad sends requests to entries that share endpoints. Two of three
// endpoints are fast, the third takes four times as long. Reports of an entry
// reach its peers after 2 ms.
func playLoad(t *testing.T, entries, engines int, perSecond float64, kinds []kind) []tally {
	res := make([]tally, len(kinds))
	var mu sync.Mutex
	synctest.Test(t, func(*testing.T) {
		tasks := group.New(context.Background())
		clock := timer.New(tasks)
		list := fleet.List{}
		slower := map[string]float64{}
		for i := range engines {
			e := fleet.Endpoint{ID: string(rune('a' + i)), Service: "llm", Domain: "d", Slots: 4}
			list = list.With(e)
			slower[e.ID] = 0.7
			if i%3 == 2 {
				slower[e.ID] = 3
			}
		}
		schedulers := make([]*dispatch.Scheduler, entries)
		for i := range schedulers {
			schedulers[i] = dispatch.New(clock, "d", func() {})
			schedulers[i].SetEndpoints(list)
		}
		stop := clock.Subscribe(2*time.Millisecond, func(time.Time) { share(schedulers) })
		random := rand.New(rand.NewPCG(1, 2))
		requests := group.New(context.Background())
		for end := time.Now().Add(20 * time.Second); time.Now().Before(end); {
			time.Sleep(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
			k := draw(kinds, random.Float64())
			s := schedulers[random.IntN(entries)]
			stretch := 0.3 + random.ExpFloat64()*0.7
			requests.Go(func(ctx context.Context) {
				got := ask(ctx, s, kinds[k], stretch, slower)
				mu.Lock()
				defer mu.Unlock()
				res[k].asked++
				switch {
				case got == 0:
					res[k].refused++
				case got <= kinds[k].objective:
					res[k].inTime++
				default:
					res[k].late++
				}
			})
		}
		requests.Wait()
		stop()
		tasks.Close()
	})
	return res
}

// share tells each scheduler what the others hold.
func share(schedulers []*dispatch.Scheduler) {
	reports := make([]dispatch.Report, len(schedulers))
	for i, s := range schedulers {
		reports[i] = s.Report()
	}
	for i, s := range schedulers {
		others := dispatch.Others{Holds: map[string]dispatch.Hold{}, Waiting: map[string]map[int]int{"llm": {}}}
		for j, r := range reports {
			if i == j {
				continue
			}
			for id, h := range r.Holds {
				sum := others.Holds[id]
				sum.Requests += h.Requests
				sum.Prompt += h.Prompt
				others.Holds[id] = sum
			}
			for tier, n := range r.Waiting["llm"] {
				others.Waiting["llm"][tier] += n
			}
		}
		s.SetOthers(others)
	}
}

func draw(kinds []kind, x float64) int {
	for i, k := range kinds {
		if x < k.share || i == len(kinds)-1 {
			return i
		}
		x -= k.share
	}
	return 0
}

// ask returns the time to the first byte, zero when the request was refused.
func ask(ctx context.Context, s *dispatch.Scheduler, k kind, stretch float64, slower map[string]float64) time.Duration {
	start := time.Now()
	g, refusal := s.Acquire(ctx, dispatch.Request{
		Service: "llm", Engine: true, Organisation: "o", Tier: k.tier,
		Objective: k.objective, Left: 10 * time.Second, Prompt: 2000,
	})
	if refusal != nil {
		return 0
	}
	factor := slower[g.Endpoint.ID]
	time.Sleep(time.Duration(factor * float64(100*time.Millisecond)))
	g.Started()
	first := time.Since(start)
	hold := time.Duration(stretch * factor * float64(k.hold))
	time.Sleep(hold)
	g.Done(dispatch.Answered, time.Duration(factor*float64(13*time.Millisecond)))
	return first
}

// The kinds of the fairs' site, with the times that they hold a place of an
// engine of mean speed.
var fairs = []kind{
	{tier: 0, share: 0.36, objective: time.Second, hold: 650 * time.Millisecond},
	{tier: 1, share: 0.25, objective: 800 * time.Millisecond, hold: 280 * time.Millisecond},
	{tier: 2, share: 0.39, objective: 600 * time.Millisecond, hold: 900 * time.Millisecond},
}

// Guards against urgent requests that are refused or late in a burst while
// routine ones are served: it plays twice what nine engines can hold, from five
// entries.
func TestBurst(t *testing.T) {
	got := playLoad(t, 5, 9, 90, fairs)
	for i, k := range got {
		t.Logf("tier %d: %+v", i, k)
	}
	require.Greater(t, got[0].inTime, 95*got[0].asked/100, "highest tier in time")
	require.Greater(t, got[1].inTime, 80*got[1].asked/100)
	require.Less(t, got[2].late, got[2].asked/10, "what cannot be in time is refused early")
}

// Guards against refusals and late answers while there is room for all.
func TestCalm(t *testing.T) {
	got := playLoad(t, 5, 9, 25, fairs)
	for i, k := range got {
		t.Logf("tier %d: %+v", i, k)
		require.Greater(t, k.inTime, 98*k.asked/100)
	}
}

// Guards against a policy that fits one size only.
func TestOtherSizes(t *testing.T) {
	for _, c := range []struct {
		entries, engines int
		perSecond        float64
	}{{1, 3, 30}, {3, 12, 120}, {12, 24, 240}} {
		got := playLoad(t, c.entries, c.engines, c.perSecond, fairs)
		t.Logf("%+v: %+v", c, got)
		require.Greater(t, got[0].inTime, 90*got[0].asked/100, "%+v", c)
		require.Greater(t, got[0].inTime*got[2].asked, got[2].inTime*got[0].asked, "%+v", c)
	}
}
