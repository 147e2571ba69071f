package gateway_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// drainBound is the time after an answer that says that the endpoint leaves from
	// which on the gateway that got it sends no request there.
	drainBound = 2 * time.Second
	// pause is the time for which an endpoint wants no requests, and pauseMargin the time
	// that a gateway has to take notice.
	pause       = 2 * time.Second
	pauseMargin = 500 * time.Millisecond
)

// arrivals has the times at which requests by way of each gateway reached an endpoint.
type arrivals struct {
	mu        sync.Mutex
	byGateway map[string][]time.Time
}

// add adds a request whose ID begins with the name of its gateway.
func (a *arrivals) add(id string) {
	name, _, _ := strings.Cut(id, "/")
	a.mu.Lock()
	defer a.mu.Unlock()
	a.byGateway[name] = append(a.byGateway[name], time.Now())
}

// Guards against requests to endpoints that have said that they leave, or that they want
// none for a while, and that the directory still lists as ready.
func TestEndpointsThatWantNoRequests(t *testing.T) {
	leave := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Server-Leaving", "1")
		respondWith("answer")(w, r)
	}
	refuse := func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Retry-After", "2.0")
		respondNotRun(http.StatusServiceUnavailable)(w, r)
	}
	for _, c := range []struct {
		name    string
		members int
		answer  http.HandlerFunc
		// unwanted reports whether a request is one of those of which allowed may come, by
		// the time since the first of its gateway.
		unwanted func(since time.Duration) bool
		allowed  int
	}{
		{"leaves, small fleet", 3, leave, func(d time.Duration) bool { return d > drainBound }, 0},
		{"leaves, large fleet", 8, leave, func(d time.Duration) bool { return d > drainBound }, 0},
		{"pauses, small fleet", 3, refuse, func(d time.Duration) bool { return d > pauseMargin && d < pause }, 2},
		{"pauses, large fleet", 8, refuse, func(d time.Duration) bool { return d > pauseMargin && d < pause }, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			a := &arrivals{byGateway: map[string][]time.Time{}}
			unwilling := newFakeEndpoint(t, func(w http.ResponseWriter, r *http.Request) {
				a.add(r.Header.Get("Attempt-Id"))
				c.answer(w, r)
			})
			members := startFleet(t, c.members, unwilling, newFakeEndpoint(t, respondWith("answer")), newFakeEndpoint(t, respondWith("answer")))
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			var wg sync.WaitGroup
			var mu sync.Mutex
			sent, served := 0, 0
			for i := 0; ctx.Err() == nil; i++ {
				m := members[i%len(members)]
				wg.Go(func() {
					got := m.send("/read/x", fmt.Sprintf("%s/%d", m.settings.Name, i), "")
					mu.Lock()
					defer mu.Unlock()
					sent++
					if got.err == nil && got.status == http.StatusOK {
						served++
					}
				})
				time.Sleep(4 * time.Millisecond)
			}
			wg.Wait()
			for name, times := range a.byGateway {
				unwanted := 0
				for _, at := range times {
					since := at.Sub(times[0])
					if c.unwanted(since) {
						unwanted++
					}
				}
				require.LessOrEqual(t, unwanted, c.allowed, "%s: of %d requests to the endpoint", name, len(times))
			}
			require.NotEmpty(t, a.byGateway)
			t.Logf("%d gateways sent requests to the endpoint; %d of %d requests were served", len(a.byGateway), served, sent)
			require.GreaterOrEqual(t, served*100, sent*99)
		})
	}
}
