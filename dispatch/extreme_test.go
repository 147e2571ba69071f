package dispatch_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"damasktrail.dev/dispatch"
	"damasktrail.dev/fleet"
	"damasktrail.dev/group"
	"damasktrail.dev/platform"
	"damasktrail.dev/timer"
)

// extremeUsages are numbers of tokens that one caller in ten states: some in range, some out
// of it.
var extremeUsages = []string{
	"16777216,16777216", "16777215,0", "0,16777216", "0,0",
	"1000000000000000,80", "9223372036854775807,9223372036854775807", "99999999999999999999,1", "-1,-1",
}

// playExtremes simulates 60 s at one entry: callers of nine organisations send 30 requests a
// second of 1,500 tokens to three engines of four slots, each of which holds its slot for
// 0.3 s; that is three quarters of the capacity. A tenth organisation sends 3.3 requests a
// second more that state extreme numbers. It returns the outcomes of the nine and of the tenth.
func playExtremes(t *testing.T, extremes bool) (usual, extreme outcomes) {
	var mu sync.Mutex
	synctest.Test(t, func(*testing.T) {
		tasks := group.New(context.Background())
		clock := timer.New(tasks)
		s := dispatch.New(clock, "entry", domain(0), fleet.NewNotices(), func(bool) {})
		list := fleet.List{}
		for i := range 3 {
			list = list.With(fleet.Endpoint{ID: fmt.Sprint("e", i), Service: "llm", Domain: domain(0), Slots: slots})
		}
		s.SetEndpoints(list)
		stop := clock.Subscribe(20*time.Millisecond, func(time.Time) { s.Tick() })
		send := func(ctx context.Context, organisation, usage string, res *outcomes) {
			began := time.Now()
			c := platform.Dialect{}.Call(http.Header{"Token-Usage": {usage}})
			served := false
			if c.OutOfRange == "" {
				grant, refusal := s.Acquire(ctx, dispatch.Request{
					Service: "llm", Engine: true, Organisation: organisation, Objective: time.Second, Timeout: 6 * time.Second, Prompt: c.Prompt,
				})
				if served = refusal == nil; served {
					defer func() {
						time.Sleep(300 * time.Millisecond)
						grant.Done(dispatch.Answered, 0)
					}()
				}
			}
			mu.Lock()
			defer mu.Unlock()
			res.asked++
			switch {
			case !served:
				res.refused++
			case time.Since(began) <= time.Second:
				res.inTime++
			default:
				res.late++
			}
		}
		random := rand.New(rand.NewPCG(1, 2))
		requests := group.New(context.Background())
		for end, i := time.Now().Add(time.Minute), 0; time.Now().Before(end); i++ {
			time.Sleep(time.Duration(random.ExpFloat64() / 30 * float64(time.Second)))
			organisation := fmt.Sprint("o", i%9)
			requests.Go(func(ctx context.Context) { send(ctx, organisation, "1500,80", &usual) })
			if extremes && i%9 == 0 {
				usage := extremeUsages[i/9%len(extremeUsages)]
				requests.Go(func(ctx context.Context) { send(ctx, "extreme", usage, &extreme) })
			}
		}
		requests.Wait()
		stop()
		tasks.Close()
	})
	return usual, extreme
}

// Guards against numbers of one caller in ten that hang the scheduler, or that delay the
// requests of others.
func TestExtremeCallers(t *testing.T) {
	alone, _ := playExtremes(t, false)
	beside, extreme := playExtremes(t, true)
	t.Logf("usual callers alone %+v, beside extreme ones %+v; extreme callers %+v", alone, beside, extreme)
	require.Equal(t, alone.asked, beside.asked)
	require.GreaterOrEqual(t, beside.inTime, alone.inTime*99/100)
	require.InDelta(t, extreme.asked/2, extreme.refused, 2, "half of the numbers are out of range")
}
