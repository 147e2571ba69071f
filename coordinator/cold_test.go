package coordinator_test

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"damasktrail.dev/dispatch"
	"damasktrail.dev/fleet"
	"damasktrail.dev/group"
)

// smallEngines returns endpoints of the service, one in each of some failure domains in turn.
func smallEngines(n, domains int) (res fleet.List) {
	for i := range n {
		res = res.With(fleet.Endpoint{ID: string(rune('a' + i)), Service: "llm", Domain: domainName(i % domains), Slots: slotsPerEngine})
	}
	return res
}

// Guards against coordinators that together send cold endpoints more requests than they bear.
// The load is 200 requests a second from 48 entries for three endpoints of which two are cold
// and bear 5.2 a second each; two of the coordinators are lost on the way, and datagrams.
func TestColdAmidLostCoordinators(t *testing.T) {
	const perSecond = 5.2
	arrivals := map[string][]time.Duration{}
	asked, served := 0, 0
	synctest.Test(t, func(*testing.T) {
		begin := time.Now()
		list := fleet.List{}
		for _, e := range smallEngines(3, 3).All() {
			if e.ID != "a" {
				e.ColdUntil = begin.Add(time.Hour)
			}
			list = list.With(e)
		}
		m := members(4, 12)
		n := newNetwork(m, list, 0.02)
		for _, p := range n.nodes {
			p.scheduler.SetServices([]dispatch.ServiceSettings{{Name: "llm", ColdPerSecond: perSecond, ColdTime: time.Minute}})
		}
		ticks := n.clock.Subscribe(20*time.Millisecond, func(time.Time) {
			for _, p := range n.nodes {
				p.scheduler.Tick()
			}
		})
		coordinators := n.election.Coordinators()
		for i, name := range coordinators[:2] {
			n.clock.Schedule(time.Duration(8+6*i)*time.Second, func(time.Time) { n.kill(name) })
		}
		var mu sync.Mutex
		requests := group.New(context.Background())
		random := rand.New(rand.NewPCG(7, 8))
		for time.Since(begin) < 25*time.Second {
			time.Sleep(5 * time.Millisecond)
			p := n.nodes[m[random.IntN(len(m))].Name]
			if n.isDown(p) {
				continue
			}
			requests.Go(func(ctx context.Context) {
				s, refused := p.acquire(ctx, 0, time.Now())
				mu.Lock()
				asked++
				if refused == nil {
					served++
					arrivals[s.Endpoint.ID] = append(arrivals[s.Endpoint.ID], time.Since(begin))
				}
				mu.Unlock()
				if refused == nil {
					time.Sleep(100 * time.Millisecond)
					s.Done(dispatch.Answered, 0)
				}
			})
		}
		requests.Wait()
		ticks()
		n.close()
	})
	t.Logf("%d of %d served, %d at the warm endpoint", served, asked, len(arrivals["a"]))
	for _, id := range []string{"b", "c"} {
		at, most := arrivals[id], 0
		slices.Sort(at)
		for i, x := range at {
			first, _ := slices.BinarySearch(at, x-time.Second+1)
			most = max(most, i-first+1)
		}
		t.Logf("%s: %d requests, at most %d in a second of 12.8", id, len(at), most)
		require.LessOrEqual(t, float64(most), 1.5*perSecond+5)
		require.Greater(t, float64(len(at)), perSecond*25/2, "the rate is used")
	}
}
