package dispatch_test

import (
	"cmp"
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

// requestKind is a kind of request in the simulated load.
type requestKind struct {
	tier      int
	share     float64
	objective time.Duration
	hold      time.Duration
}

// outcomes counts the outcomes of the requests of one kind.
type outcomes struct{ asked, inTime, late, refused int }

// simulation configures a simulated fleet and its load. Two of three engines are
// fast, the third takes four times as long. An engine runs four requests at a time
// and queues more in order of arrival.
type simulation struct {
	entries, engines int
	// requestsPerSecond is the mean request rate of all callers together.
	requestsPerSecond float64
	// datagramsPerSecond is the rate at which an entry may send datagrams.
	datagramsPerSecond float64
	// duration is how long requests are sent; 20 s when it is zero.
	duration time.Duration
}

// reportExchange delivers the reports of entries to their peers: urgent changes
// within 2 ms as far as the rate allows, others within 40 ms.
type reportExchange struct {
	simulation
	schedulers []*dispatch.Scheduler
	mu         sync.Mutex
	// urgent and pending flag urgent and any unreported changes, by entry.
	urgent, pending []bool
	// datagramTokens is the number of datagrams that an entry may send now, by
	// entry.
	datagramTokens []float64
	// lastReport is the time of the last report, by sender and receiver.
	lastReport [][]time.Time
	ticks      int
}

func (r *reportExchange) changed(i int, urgent bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.urgent[i] = r.urgent[i] || urgent
	r.pending[i] = true
}

// takeDue returns the entries whose reports are due, and resets their flags.
func (r *reportExchange) takeDue() (res []int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ticks++
	for i := range r.schedulers {
		r.datagramTokens[i] = min(100, r.datagramTokens[i]+r.datagramsPerSecond*reportInterval.Seconds())
		if r.datagramTokens[i] >= 0 && (r.urgent[i] || r.pending[i] && r.ticks%20 == 0) {
			r.urgent[i], r.pending[i] = false, false
			res = append(res, i)
		}
	}
	return res
}

// delivers reports whether a peer gets the report that is sent now. Peers in other
// failure domains get one every 90 ms when the rate does not allow all.
func (r *reportExchange) delivers(from, to int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if domain(from) != domain(to) && r.datagramTokens[from] < 50 && now.Sub(r.lastReport[from][to]) < 90*time.Millisecond {
		return false
	}
	r.lastReport[from][to] = now
	r.datagramTokens[from]--
	return true
}

const reportInterval = 2 * time.Millisecond

func (r *reportExchange) tick(time.Time) {
	for _, from := range r.takeDue() {
		report := r.schedulers[from].Report()
		for i, s := range r.schedulers {
			if i != from && r.delivers(from, i) {
				s.SetPeer(fmt.Sprint("entry", from), report)
			}
		}
	}
	if r.ticks%10 == 0 {
		for _, s := range r.schedulers {
			s.Tick()
		}
	}
}

// domains is the number of failure domains of the simulated fleet.
const domains = 3

func domain(i int) string { return fmt.Sprint("domain", i%domains) }

// engine is one engine of the simulated fleet.
type engine struct {
	// slots takes one element for each request that runs.
	slots    chan struct{}
	slowdown float64
}

const slots = 4

// run sends requests and returns the outcomes of each kind.
func (f simulation) run(t *testing.T, kinds []requestKind) []outcomes {
	res := make([]outcomes, len(kinds))
	var mu sync.Mutex
	synctest.Test(t, func(*testing.T) {
		tasks := group.New(context.Background())
		clock := timer.New(tasks)
		list := fleet.List{}
		engines := map[string]engine{}
		for i := range f.engines {
			e := fleet.Endpoint{ID: fmt.Sprintf("i-%03d", i), Service: "llm", Domain: domain(i / 3), Slots: slots}
			list = list.With(e)
			engines[e.ID] = engine{slots: make(chan struct{}, slots), slowdown: []float64{0.7, 0.7, 3}[i%3]}
		}
		r := &reportExchange{
			simulation: f, schedulers: make([]*dispatch.Scheduler, f.entries),
			urgent: make([]bool, f.entries), pending: make([]bool, f.entries), datagramTokens: make([]float64, f.entries), lastReport: make([][]time.Time, f.entries),
		}
		for i := range r.schedulers {
			r.lastReport[i] = make([]time.Time, f.entries)
			r.schedulers[i] = dispatch.New(clock, fmt.Sprint("entry", i), domain(i), fleet.NewNotices(), func(urgent bool) { r.changed(i, urgent) })
			r.schedulers[i].SetEndpoints(list)
		}
		stop := clock.Subscribe(reportInterval, r.tick)
		random := rand.New(rand.NewPCG(1, 2))
		requests := group.New(context.Background())
		for end := time.Now().Add(cmp.Or(f.duration, 20*time.Second)); time.Now().Before(end); {
			time.Sleep(time.Duration(random.ExpFloat64() / f.requestsPerSecond * float64(time.Second)))
			k := pickKind(kinds, random.Float64())
			s := r.schedulers[random.IntN(f.entries)]
			durationFactor := 0.3 + random.ExpFloat64()*0.7
			requests.Go(func(ctx context.Context) {
				firstByte := sendRequest(ctx, s, kinds[k], durationFactor, engines)
				mu.Lock()
				defer mu.Unlock()
				res[k].asked++
				switch {
				case firstByte == 0:
					res[k].refused++
				case firstByte <= kinds[k].objective:
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

func pickKind(kinds []requestKind, x float64) int {
	for i, k := range kinds {
		if x < k.share || i == len(kinds)-1 {
			return i
		}
		x -= k.share
	}
	return 0
}

// sendRequest sends one request and returns the time to its first byte, zero when
// it was refused.
func sendRequest(ctx context.Context, s *dispatch.Scheduler, k requestKind, durationFactor float64, engines map[string]engine) time.Duration {
	start := time.Now()
	g, refusal := s.Acquire(ctx, dispatch.Request{
		Service: "llm", Engine: true, Organisation: "o", Tier: k.tier,
		Objective: k.objective, Timeout: 10 * time.Second, Prompt: 2000,
	})
	if refusal != nil {
		return 0
	}
	e := engines[g.Endpoint.ID]
	e.slots <- struct{}{}
	time.Sleep(time.Duration(e.slowdown * float64(100*time.Millisecond)))
	g.Started(fleet.StatedLoad{})
	first := time.Since(start)
	hold := time.Duration(durationFactor * e.slowdown * float64(k.hold))
	time.Sleep(hold)
	<-e.slots
	g.Done(dispatch.Answered, time.Duration(e.slowdown*float64(13*time.Millisecond)))
	return first
}

// fairsKinds are the request kinds of the fairs' site. hold is the time that a
// request holds a slot of an engine of mean speed.
var fairsKinds = []requestKind{
	{tier: 0, share: 0.36, objective: time.Second, hold: 650 * time.Millisecond},
	{tier: 1, share: 0.25, objective: 800 * time.Millisecond, hold: 280 * time.Millisecond},
	{tier: 2, share: 0.39, objective: 600 * time.Millisecond, hold: 900 * time.Millisecond},
}

// Guards against urgent requests that are refused or late in a burst while
// routine ones are served. Five entries send twice the capacity of nine engines.
func TestOverload(t *testing.T) {
	got := simulation{entries: 5, engines: 9, requestsPerSecond: 90, datagramsPerSecond: 400}.run(t, fairsKinds)
	for i, k := range got {
		t.Logf("tier %d: %+v", i, k)
	}
	require.Greater(t, got[0].inTime, 95*got[0].asked/100, "highest tier in time")
	require.Greater(t, got[1].inTime, 80*got[1].asked/100)
	require.Less(t, got[2].late, got[2].asked/10, "what cannot be in time is refused early")
}

// Guards against refusals and late answers while there is capacity for all
// requests.
func TestLowLoad(t *testing.T) {
	got := simulation{entries: 5, engines: 9, requestsPerSecond: 25, datagramsPerSecond: 400}.run(t, fairsKinds)
	for i, k := range got {
		t.Logf("tier %d: %+v", i, k)
		require.Greater(t, k.inTime, 98*k.asked/100)
	}
}

// Guards against a policy that works for one fleet size only.
func TestFleetSizes(t *testing.T) {
	t.Parallel()
	for _, f := range []simulation{
		{entries: 1, engines: 3, requestsPerSecond: 30},
		{entries: 3, engines: 12, requestsPerSecond: 120},
		{entries: 12, engines: 24, requestsPerSecond: 240},
		{entries: 24, engines: 44, requestsPerSecond: 240, duration: 5 * time.Second},
		{entries: 24, engines: 44, requestsPerSecond: 440, duration: 5 * time.Second},
	} {
		f.datagramsPerSecond = 400
		got := f.run(t, fairsKinds)
		t.Logf("%+v: %+v", f, got)
		require.Greater(t, got[0].inTime, 90*got[0].asked/100, "%+v", f)
		require.Greater(t, got[0].inTime*got[2].asked, got[2].inTime*got[0].asked, "%+v", f)
	}
}
