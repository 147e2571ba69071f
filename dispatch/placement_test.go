package dispatch_test

import (
	"cmp"
	"context"
	"fmt"
	"math"
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
	"damasktrail.dev/timer"
)

// unevenLoad simulates engines of which two of three are fast and one is slow, and requests
// whose prompts and responses differ a hundredfold, at coordinators that each own a failure
// domain.
type unevenLoad struct {
	coordinators, engines int
	requestsPerSecond     float64
	duration              time.Duration
	// disturbed is the part of the time in which an engine takes 2.5 times as long.
	disturbed float64
	// stated says that responses state how long work takes, staleness how old that is.
	stated    bool
	staleness time.Duration
	// equal says that all coordinators have equal turns, as in a small fleet, paced that the
	// choice is by expected times without stated figures.
	equal, paced bool
	seed         uint64
}

// unevenKind is a kind of request of the uneven load.
type unevenKind struct {
	share                    float64
	prompt, promptSigma      float64
	maxPrompt                float64
	output, outputSigma      float64
	maxOutput                float64
	objective, timeout       time.Duration
	valueInTime, valueOfLate float64
}

const (
	unevenSlots = 5
	unevenPause = 500 * time.Millisecond
	// hintSigma is the spread of the expected output around the real one.
	hintSigma = 0.6
)

var unevenKinds = []unevenKind{
	{59, 3720, 1.1, 53_000, 120, 0.7, 1000, time.Second, 12 * time.Second, 7.1, 2},
	{48, 2890, 1.1, 53_000, 52, 0.7, 1000, 1500 * time.Millisecond, 6 * time.Second, 1.4, 0.43},
	{66, 1110, 1.1, 53_000, 172, 1.2, 1700, 2 * time.Second, 12 * time.Second, 0.3, 0.09},
}

// logNormal draws from a log-normal distribution with a mean, cut off at most.
func logNormal(r *rand.Rand, mean, sigma, most float64) int {
	return int(min(max(1, math.Exp(math.Log(mean)-sigma*sigma/2+sigma*r.NormFloat64())), most))
}

// fate is what became of a request.
type fate struct {
	kind, prompt, output int
	// late says that the first event or a later one was late, cut that the response did not
	// end in time.
	late, paused, cut, refused bool
	// full says that all slots of its engine were taken.
	full         bool
	factor       float64
	first, whole time.Duration
}

func (f fate) value() float64 {
	k := unevenKinds[f.kind]
	switch {
	case f.refused || f.cut:
		return 0
	case f.late || f.paused:
		return k.valueOfLate / k.valueInTime
	}
	return 1
}

// unevenEngine reads prompts in chunks between the tokens of all running requests.
type unevenEngine struct {
	factor       float64
	disturbances [][2]time.Time
	mu           sync.Mutex
	jobs         []*job
	wake         chan struct{}
}

// job is a request at an engine.
type job struct {
	prompt, output int
	readyAt        time.Time
	tokens         int
	gap            time.Duration
	events         int
	firstAt, last  time.Time
	started, ended chan struct{}
}

func (e *unevenEngine) factorAt(now time.Time) float64 {
	i, _ := slices.BinarySearchFunc(e.disturbances, now, func(d [2]time.Time, t time.Time) int { return d[1].Compare(t) })
	if i < len(e.disturbances) && !now.Before(e.disturbances[i][0]) {
		return 2.5 * e.factor
	}
	return e.factor
}

// add starts a request and reports whether all slots were taken.
func (e *unevenEngine) add(j *job) (full bool) {
	e.mu.Lock()
	full = len(e.jobs) >= unevenSlots
	e.jobs = append(e.jobs, j)
	e.mu.Unlock()
	select {
	case e.wake <- struct{}{}:
	default:
	}
	return full
}

func (e *unevenEngine) remove(j *job) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.jobs = slices.DeleteFunc(e.jobs, func(o *job) bool { return o == j })
}

func (e *unevenEngine) run(ctx context.Context) {
	for ctx.Err() == nil {
		now := time.Now()
		e.mu.Lock()
		var running []*job
		var reading *job
		next := time.Hour
		for _, j := range e.jobs[:min(len(e.jobs), unevenSlots)] {
			switch {
			case j.prompt > 0 && reading == nil:
				reading = j
			case j.prompt > 0:
			case now.Before(j.readyAt):
				next = min(next, j.readyAt.Sub(now))
			default:
				running = append(running, j)
			}
		}
		e.mu.Unlock()
		if reading == nil && len(running) == 0 {
			select {
			case <-time.After(next):
			case <-e.wake:
			case <-ctx.Done():
			}
			continue
		}
		ms := 0.0
		if len(running) > 0 {
			ms = 4.55 + 0.18*float64(len(running))
		}
		chunk := 0
		if reading != nil {
			chunk = min(4096, reading.prompt)
			ms += float64(chunk) / 61
		}
		time.Sleep(time.Duration(ms * e.factorAt(now) * float64(time.Millisecond)))
		now = time.Now()
		if reading != nil {
			if reading.prompt -= chunk; reading.prompt == 0 {
				reading.readyAt = now.Add(90 * time.Millisecond)
			}
		}
		for _, j := range running {
			e.step(j, now)
		}
	}
}

// step produces a token.
func (e *unevenEngine) step(j *job, now time.Time) {
	j.tokens++
	if j.tokens%4 != 0 && j.tokens < j.output {
		return
	}
	j.events++
	if j.events == 1 {
		j.firstAt = now
		close(j.started)
	} else {
		j.gap = max(j.gap, now.Sub(j.last))
	}
	j.last = now
	if j.tokens >= j.output {
		e.remove(j)
		close(j.ended)
	}
}

// play plays the load and returns the fate of each request.
func (l unevenLoad) play(t *testing.T) (res []fate) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		tasks, engineTasks := group.New(context.Background()), group.New(context.Background())
		clock := timer.New(tasks)
		random := rand.New(rand.NewPCG(l.seed, 7))
		list := fleet.List{}
		engines := map[string]*unevenEngine{}
		for i := range l.engines {
			e := fleet.Endpoint{ID: fmt.Sprintf("i-%03d", i), Service: "llm", Domain: fmt.Sprint("d", i%l.coordinators), Slots: unevenSlots}
			list = list.With(e)
			x := &unevenEngine{factor: []float64{0.68, 0.68, 3}[i/l.coordinators%3], wake: make(chan struct{}, 1)}
			if l.disturbed > 0 {
				for at := time.Now(); at.Before(time.Now().Add(l.duration + 15*time.Second)); {
					at = at.Add(time.Duration(random.ExpFloat64() * 0.4 * (1 - l.disturbed) / l.disturbed * float64(time.Second)))
					end := at.Add(time.Duration((0.2 + 0.4*random.Float64()) * float64(time.Second)))
					x.disturbances = append(x.disturbances, [2]time.Time{at, end})
					at = end
				}
			}
			engines[e.ID] = x
			engineTasks.Go(x.run)
		}
		var mu sync.Mutex
		changed := map[int]bool{}
		schedulers := make([]*dispatch.Scheduler, l.coordinators)
		var names []string
		for i := range schedulers {
			names = append(names, fmt.Sprint("entry", i))
		}
		for i := range schedulers {
			schedulers[i] = dispatch.New(clock, names[i], fmt.Sprint("d", i), fleet.NewNotices(), func(bool) {
				mu.Lock()
				defer mu.Unlock()
				changed[i] = true
			})
			turns := dispatch.OwnerTurns
			if l.equal {
				turns = dispatch.EqualTurns
			}
			schedulers[i].SetFleet(dispatch.Fleet{Turns: turns, Assigning: names})
			schedulers[i].SetAdaptive("llm", l.paced)
			schedulers[i].SetEndpoints(list)
		}
		ticks := 0
		stop := clock.Subscribe(6*time.Millisecond, func(time.Time) {
			mu.Lock()
			due := changed
			changed = map[int]bool{}
			mu.Unlock()
			ticks++
			for i, s := range schedulers {
				if due[i] {
					r := s.Report()
					for j, o := range schedulers {
						if i != j {
							o.SetPeer(names[i], r)
						}
					}
				}
				if ticks%25 == 0 {
					loads := s.ReportLoads(4)
					for j, o := range schedulers {
						if i != j {
							o.MergeLoads(loads)
						}
					}
				}
				if ticks%3 == 0 {
					s.Tick()
				}
			}
		})
		requests := group.New(context.Background())
		total := 0.0
		for _, k := range unevenKinds {
			total += k.share
		}
		for end := time.Now().Add(l.duration); time.Now().Before(end); {
			time.Sleep(time.Duration(random.ExpFloat64() / l.requestsPerSecond * float64(time.Second)))
			f := fate{}
			for x := random.Float64() * total; f.kind < 2 && x >= unevenKinds[f.kind].share; f.kind++ {
				x -= unevenKinds[f.kind].share
			}
			k := unevenKinds[f.kind]
			f.prompt, f.output = logNormal(random, k.prompt, k.promptSigma, k.maxPrompt), logNormal(random, k.output, k.outputSigma, k.maxOutput)
			hint := int(max(1, float64(f.output)*math.Exp(hintSigma*random.NormFloat64())))
			s := schedulers[random.IntN(len(schedulers))]
			requests.Go(func(ctx context.Context) {
				l.send(ctx, s, engines, &f, hint)
				mu.Lock()
				defer mu.Unlock()
				res = append(res, f)
			})
		}
		requests.Wait()
		stop()
		engineTasks.Close()
		tasks.Close()
	})
	return res
}

// send sends one request and records its fate.
func (l unevenLoad) send(ctx context.Context, s *dispatch.Scheduler, engines map[string]*unevenEngine, f *fate, hint int) {
	k, start := unevenKinds[f.kind], time.Now()
	g, refusal := s.Acquire(ctx, dispatch.Request{
		Service: "llm", Engine: true, Organisation: "o", Tier: f.kind, Objective: k.objective, Timeout: k.timeout,
		Prompt: f.prompt, Output: hint, Pause: unevenPause,
	})
	if refusal != nil {
		f.refused = true
		return
	}
	time.Sleep(2 * time.Millisecond)
	e := engines[g.Endpoint.ID]
	f.factor = e.factor
	j := &job{prompt: f.prompt, output: f.output, started: make(chan struct{}), ended: make(chan struct{})}
	f.full = e.add(j)
	deadline := time.After(k.timeout - time.Since(start))
	for started := j.started; ; {
		select {
		case <-started:
			started = nil
			f.first = time.Since(start)
			f.late = f.first > k.objective
			load := fleet.StatedLoad{}
			if l.stated {
				load.Percent = int(100 * e.factorAt(time.Now().Add(-l.staleness)))
			}
			g.Started(load)
			continue
		case <-j.ended:
			f.paused = j.gap > unevenPause
			pace := time.Duration(0)
			if j.events >= 4 {
				pace = j.last.Sub(j.firstAt) / time.Duration(j.events-1)
			}
			g.Done(dispatch.Answered, pace)
		case <-deadline:
			f.cut = true
			e.remove(j)
			g.Done(dispatch.Cancelled, 0)
		}
		f.whole = time.Since(start)
		return
	}
}

// summary is what callers of one kind get.
type summary struct {
	asked, inTime, late, paused, cut, refused int
	slow, full                                int
	// value is the mean part of its value that a request has, longest that of the tenth
	// with the longest responses, widest that of the tenth with the longest prompts.
	value, longest, widest float64
}

func (s summary) String() string {
	return fmt.Sprintf("asked %5d in time %5d late %4d paused %4d cut %3d refused %4d slow %4d full %d value %.3f longest %.3f widest %.3f",
		s.asked, s.inTime, s.late, s.paused, s.cut, s.refused, s.slow, s.full, s.value, s.longest, s.widest)
}

// summarise returns the summaries by kind and the mean value over the kinds.
func summarise(fates []fate) (res [3]summary, worth float64) {
	most := 0.0
	for kind := range unevenKinds {
		var of []fate
		for _, f := range fates {
			if f.kind == kind {
				of = append(of, f)
			}
		}
		s := &res[kind]
		for _, f := range of {
			s.asked++
			switch {
			case f.refused:
				s.refused++
			case f.cut:
				s.cut++
			case f.late:
				s.late++
			case f.paused:
				s.paused++
			default:
				s.inTime++
			}
			if f.factor > 1 {
				s.slow++
			}
			if f.full {
				s.full++
			}
		}
		mean := func(part []fate) (res float64) {
			for _, f := range part {
				res += f.value() / float64(len(part))
			}
			return res
		}
		s.value = mean(of)
		tenth := len(of) / 10
		slices.SortFunc(of, func(a, b fate) int { return cmp.Compare(b.output, a.output) })
		s.longest = mean(of[:tenth])
		slices.SortFunc(of, func(a, b fate) int { return cmp.Compare(b.prompt, a.prompt) })
		s.widest = mean(of[:tenth])
		worth += unevenKinds[kind].valueInTime * float64(s.asked) * s.value
		most += unevenKinds[kind].valueInTime * float64(s.asked)
	}
	return res, worth / most
}

// compare plays a load with the present choice and with that by expected times, and logs what
// callers get by kind.
func (l unevenLoad) compare(t *testing.T) (present, adaptive [3]summary, presentWorth, adaptiveWorth float64) {
	t.Helper()
	l.stated = false
	present, presentWorth = summarise(l.play(t))
	l.stated = true
	adaptive, adaptiveWorth = summarise(l.play(t))
	t.Logf("%+v: worth %.4f, present choice %.4f", l, adaptiveWorth, presentWorth)
	for kind := range unevenKinds {
		t.Logf("    present  %v", present[kind])
		t.Logf("    adaptive %v", adaptive[kind])
	}
	return present, adaptive, presentWorth, adaptiveWorth
}

// Guards against long prompts and long responses on slow endpoints while fast ones can be had
// soon. Two of three engines are fast, prompts and responses differ a hundredfold, and the
// load is 40, 80 and 120% of the capacity. Disturbances cover 15% of the time.
func TestUnevenEndpoints(t *testing.T) {
	t.Parallel()
	for _, rate := range []float64{100, 195, 290} {
		l := unevenLoad{coordinators: 4, engines: 40, requestsPerSecond: rate, duration: 12 * time.Second, disturbed: 0.15}
		present, adaptive, presentWorth, worth := l.compare(t)
		require.Greater(t, worth, presentWorth)
		require.Less(t, 1-adaptive[0].value, (1-present[0].value)/2, "the highest tier loses half as much")
		require.Greater(t, adaptive[0].longest, 0.97, "the longest tenth of the responses of the highest tier")
		require.Greater(t, adaptive[0].widest, 0.97, "the longest tenth of its prompts")
		require.GreaterOrEqual(t, adaptive[2].value+0.02, present[2].value, "the lowest tier")
	}
}

// Guards against requests that are sent to endpoints while they are disturbed: they take 2.5
// times as long in 30% of the time, some hundred milliseconds at a time.
func TestDisturbedEndpoints(t *testing.T) {
	t.Parallel()
	l := unevenLoad{coordinators: 4, engines: 40, requestsPerSecond: 150, duration: 12 * time.Second, disturbed: 0.3, seed: 3}
	present, adaptive, _, _ := l.compare(t)
	require.Less(t, 1-adaptive[0].value, (1-present[0].value)/2, "the highest tier loses half as much")
}

// Guards against figures that are trusted after they have become stale: they are a second
// old when the scheduler learns them, longer than a disturbance lasts.
func TestStaleFigures(t *testing.T) {
	t.Parallel()
	l := unevenLoad{coordinators: 4, engines: 40, requestsPerSecond: 170, duration: 12 * time.Second, disturbed: 0.15, staleness: time.Second, seed: 4}
	present, adaptive, _, _ := l.compare(t)
	require.Less(t, 1-adaptive[0].value, 0.7*(1-present[0].value), "the highest tier loses less")
}

// Guards against coordinators that all choose the same endpoint, since all know it to be the
// best: the engines together have a slot for each request.
func TestCoordinatorsChooseDifferentEndpoints(t *testing.T) {
	t.Parallel()
	l := unevenLoad{coordinators: 4, engines: 24, requestsPerSecond: 110, duration: 12 * time.Second, seed: 5}
	present, adaptive, _, _ := l.compare(t)
	count := func(of [3]summary) (full, asked int) {
		for _, s := range of {
			full, asked = full+s.full, asked+s.asked
		}
		return full, asked
	}
	presentFull, _ := count(present)
	full, asked := count(adaptive)
	require.LessOrEqual(t, full, max(asked/50, presentFull), "requests that find all slots taken")
}

// Guards against a choice that needs stated figures, where the configuration asks for it, and
// against one that fits large fleets only: twelve engines at three entries with equal turns.
func TestWithoutFiguresInSmallFleet(t *testing.T) {
	t.Parallel()
	l := unevenLoad{coordinators: 3, engines: 12, requestsPerSecond: 75, duration: 20 * time.Second, disturbed: 0.15, equal: true, seed: 6}
	_, presentWorth := summarise(l.play(t))
	l.paced = true
	_, worth := summarise(l.play(t))
	t.Logf("%+v: worth %.4f, present choice %.4f", l, worth, presentWorth)
	require.Greater(t, worth, presentWorth)
}
