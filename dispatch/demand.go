package dispatch

import (
	"math"
	"time"
)

const (
	// arrivalWindow is the time constant of the measured arrival rates. It is longer than
	// the noise of a second and shorter than the bursts that it has to follow.
	arrivalWindow = 6 * time.Second
	// firstDeviations and wholeDeviations times the mean deviation are added to the mean time
	// to the first byte and of the whole answer where most requests must fit.
	firstDeviations = 1
	wholeDeviations = 3
)

// demand is what was measured of the requests of a service, for each tier.
type demand map[int]*tierDemand

// tierDemand is what was measured of the requests of one tier. Without measurements the
// times are zero.
type tierDemand struct {
	// arrivals is the number of requests that arrived, each weighted by an exponential of
	// its age at the time updated; since is the time of the first.
	arrivals       float64
	updated, since time.Time
	// first is the time from the grant of a slot to the first byte, whole that to the end.
	first, whole spread
	// nextReturn is the time at which the next refused request is asked to return.
	nextReturn time.Time
}

// spread is the moving average of a time and of its absolute deviation, in seconds.
type spread struct{ mean, deviation float64 }

// With returns the averages with one more sample.
func (s spread) With(d time.Duration) spread {
	x := d.Seconds()
	if s.mean == 0 {
		return spread{mean: x, deviation: x / 2}
	}
	const weight = smoothing / 2
	return spread{
		mean:      s.mean + weight*(x-s.mean),
		deviation: s.deviation + weight*(math.Abs(x-s.mean)-s.deviation),
	}
}

// plus returns the mean and a number of mean deviations.
func (s spread) plus(deviations float64) time.Duration {
	return time.Duration((s.mean + deviations*s.deviation) * float64(time.Second))
}

// tier returns the measurements of a tier and creates them when absent.
func (d demand) tier(rank int, now time.Time) *tierDemand {
	t, found := d[rank]
	if !found {
		t = &tierDemand{updated: now, since: now}
		d[rank] = t
	}
	return t
}

// arrive records a request.
func (t *tierDemand) arrive(now time.Time) {
	t.arrivals = t.decayed(now) + 1
	t.updated = now
}

// decayed returns the weighted number of arrivals at a time.
func (t *tierDemand) decayed(now time.Time) float64 {
	return t.arrivals * math.Exp(-now.Sub(t.updated).Seconds()/arrivalWindow.Seconds())
}

// perSecond returns the arrival rate. At the start it is the mean over at least half a window.
func (t *tierDemand) perSecond(now time.Time) float64 {
	age := max(now.Sub(t.since), arrivalWindow/2).Seconds()
	window := arrivalWindow.Seconds()
	return t.decayed(now) / (window * (1 - math.Exp(-age/window)))
}

// perSecond returns the arrival rate of the tiers from the highest to a rank, excluded.
func (d demand) perSecond(below int, now time.Time) (res float64) {
	for rank, t := range d {
		if rank < below {
			res += t.perSecond(now)
		}
	}
	return res
}

// recordFirst records the time to the first byte of an attempt. It is called with mu held.
func (g *Grant) recordFirst(now time.Time) {
	t := g.service.demand.tier(g.tier, now)
	t.first = t.first.With(now.Sub(g.grantedAt))
}

// recordWhole records the time that an attempt held its slot.
func (g *Grant) recordWhole(now time.Time) {
	t := g.service.demand.tier(g.tier, now)
	t.whole = t.whole.With(now.Sub(g.grantedAt))
}
