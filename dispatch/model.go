package dispatch

import (
	"cmp"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"damasktrail.dev/fleet"
)

const (
	// modelWeight is the weight of a new sample in the sums of the time model, so that it
	// follows about the last 200 responses.
	modelWeight = 0.005
	// initialFirst and initialPerPromptToken are the assumed time to the first event of an
	// empty prompt and the time for each of its tokens, until they are measured.
	initialFirst          = 0.1
	initialPerPromptToken = 20e-6
	// minFitSamples is the number of samples from which the time to the first event is
	// fitted.
	minFitSamples = 20
	// refreshInterval is the time between two computations of what depends on all
	// endpoints.
	refreshInterval = time.Second
	// maxContradiction is the ratio between the stated and the measured pace of an
	// endpoint from which on the measured one is used.
	maxContradiction = 3
)

// timeModel has the measured times of the requests of one service, in seconds at an
// endpoint whose factor is 1.
type timeModel struct {
	// count, x, y, xx, xy are decaying sums for a linear fit of the time to the first event
	// (y) over the prompt tokens that are processed until then (x).
	count, x, y, xx, xy float64
	samples             int
	// decodeSeconds and decodeTokens are decaying sums over the times from the first to
	// the last event and over the expected output tokens, of responses with an expectation.
	decodeSeconds, decodeTokens float64
	// meanDecode, meanHold and meanPrompt are moving averages of the time from the first to
	// the last event, of the time that a slot is held, and of the prompt tokens.
	meanDecode, meanHold, meanPrompt float64
	// first and perPromptToken are the result of the fit.
	first, perPromptToken float64
	// event is the time between events, zero while unknown.
	event float64
	// usual is the mean lasting factor of the endpoints that state figures, zero while there
	// is none.
	usual float64
	// refreshed is the time at which event and usual were computed.
	refreshed time.Time
}

func newTimeModel() *timeModel {
	return &timeModel{first: initialFirst, perPromptToken: initialPerPromptToken, meanHold: initialHold.Seconds(), meanDecode: initialHold.Seconds() - initialFirst}
}

// addFirst adds a sample of the time to the first event.
func (m *timeModel) addFirst(tokens, seconds float64) {
	const keep = 1 - modelWeight
	m.count, m.x, m.y = m.count*keep+1, m.x*keep+tokens, m.y*keep+seconds
	m.xx, m.xy = m.xx*keep+tokens*tokens, m.xy*keep+tokens*seconds
	m.samples++
	if m.samples < minFitSamples {
		return
	}
	meanX, meanY := m.x/m.count, m.y/m.count
	variance, covariance := m.xx/m.count-meanX*meanX, m.xy/m.count-meanX*meanY
	// Prompts that hardly differ show no slope.
	if variance > 0.01*meanX*meanX {
		m.perPromptToken = min(max(covariance/variance, 0), meanY/max(meanX, 1))
	}
	m.first = max(0, meanY-m.perPromptToken*meanX)
}

// addDecode adds a sample of the time from the first to the last event.
func (m *timeModel) addDecode(output int, seconds float64) {
	const keep = 1 - modelWeight
	m.meanDecode += 4 * modelWeight * (seconds - m.meanDecode)
	if output > 0 {
		m.decodeSeconds, m.decodeTokens = m.decodeSeconds*keep+seconds, m.decodeTokens*keep+float64(output)
	}
}

// decode returns the expected time from the first to the last event.
func (m *timeModel) decode(output int) float64 {
	if output == 0 || m.decodeTokens == 0 {
		return m.meanDecode
	}
	return float64(output) * m.decodeSeconds / m.decodeTokens
}

// refresh computes the time between events from the endpoints that state figures, as a
// median, so that a few that state nonsense do not matter. Without such endpoints it is the
// median of all, whose factor is then 1.
func (v *service) refresh(now time.Time) {
	m := v.model
	if now.Sub(m.refreshed) < refreshInterval {
		return
	}
	m.refreshed = now
	var stated, all []float64
	m.usual = 0
	known := 0.0
	for _, e := range v.endpoints {
		if e.stated.Known() {
			known++
			m.usual += (e.stated.Lasting() - m.usual) / known
		}
		if e.paceSeconds == 0 {
			continue
		}
		all = append(all, e.paceSeconds)
		if e.stated.Known() {
			stated = append(stated, e.paceSeconds/e.stated.Lasting())
		}
	}
	if len(stated) > 0 {
		all = stated
	}
	if len(all) > 0 {
		slices.Sort(all)
		m.event = all[len(all)/2]
	}
}

// factor returns how long work takes at an endpoint over a time from now on: as it states,
// unless the time between its events contradicts that or it states nothing.
func (v *service) factor(e *endpoint, over time.Duration, now time.Time) float64 {
	if v.model.event == 0 || e.paceSeconds == 0 {
		if e.stated.Known() {
			return e.stated.Mean(over, now)
		}
		// While few endpoints are known, the mean of these says little of the others.
		return max(1, v.model.usual)
	}
	measured := e.paceSeconds / v.model.event
	if !e.stated.Known() {
		return measured
	}
	if ratio := measured / e.stated.Lasting(); ratio > maxContradiction || ratio < 1.0/maxContradiction {
		return measured
	}
	return e.stated.Mean(over, now)
}

// addStated records what a response of an endpoint states.
func (v *service) addStated(e *endpoint, x fleet.StatedLoad, now time.Time) {
	x = x.Valid()
	if x.Percent == 0 {
		return
	}
	e.stated = e.stated.With(x, now)
	v.statedAt = now
}

// measureFirst adds the time to the first event of the attempt to the model.
func (g *Grant) measureFirst(now time.Time) {
	v, e := g.service, g.service.endpoints[g.Endpoint.ID]
	if e == nil || g.started {
		return
	}
	g.startedAt = now
	v.model.meanPrompt += 4 * modelWeight * (float64(g.prompt) - v.model.meanPrompt)
	if !g.whole {
		v.model.addFirst(float64(g.prompt+g.promptAhead), now.Sub(g.grantedAt).Seconds()/v.factor(e, 0, now))
	}
}

// measureEnd adds the time of a complete response to the model.
func (g *Grant) measureEnd(e *endpoint, now time.Time) {
	v := g.service
	if !g.started || g.startedAt.IsZero() {
		return
	}
	m, held := v.model, now.Sub(g.grantedAt)
	factor := v.factor(e, held, now)
	decode := now.Sub(g.startedAt).Seconds() / factor
	if g.whole {
		// Such a response starts when it has ended.
		decode = max(0, held.Seconds()/factor-m.first-m.perPromptToken*float64(g.prompt+g.promptAhead))
	}
	m.addDecode(g.output, decode)
	m.meanHold += 4 * modelWeight * (held.Seconds()/factor - m.meanHold)
}

// ReportLoads returns the lasting estimates of endpoints that state figures to this entry: at
// most the given number, a random choice if there are more.
func (s *Scheduler) ReportLoads(limit int) (res []fleet.LoadReport) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for _, v := range s.services {
		if !v.adaptive(now) {
			continue
		}
		for _, e := range v.endpoints {
			if at := e.stated.StatedAt(); !at.IsZero() && now.Sub(at) < statedRetention {
				res = append(res, fleet.LoadReport{ID: e.ID, StartedMillis: e.StartedMillis, Percent: int(math.Round(100 * e.stated.Lasting()))})
			}
		}
	}
	slices.SortFunc(res, func(a, b fleet.LoadReport) int { return cmp.Compare(a.ID, b.ID) })
	rand.Shuffle(len(res), func(i, j int) { res[i], res[j] = res[j], res[i] })
	return res[:min(limit, len(res))]
}

// MergeLoads records the estimates of another entry.
func (s *Scheduler) MergeLoads(reports []fleet.LoadReport) {
	if len(reports) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	byProcess := make(map[fleet.Process]fleet.LoadReport, len(reports))
	for _, r := range reports {
		byProcess[r.Process()] = r
	}
	for _, v := range s.services {
		for e := range maps.Values(v.endpoints) {
			r, found := byProcess[e.Process()]
			if !found || e.stated.Known() {
				continue
			}
			if e.stated = e.stated.WithReport(r); e.stated.Known() {
				v.statedAt = s.clock.Now()
			}
		}
	}
}
