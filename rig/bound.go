package rig

import (
	"slices"
)

// Bound returns a number of useful answers that no policy exceeds which serves
// the tiers in their order: it answers every request of a tier before one of the
// next, the cheapest of a tier first, until the work that all endpoints can do
// until the last deadline is used up. Requests need no more than their own work
// in full batches, wait for nothing and are never in two places, so the bound is
// above what can be reached.
func Bound(d Deployment, s Setup, seed uint64) int {
	w := newWorld(d, s, Arms[0], seed)
	var requests []*request
	w.recorded = &requests
	w.traffic(d, seed)
	w.loop.run(epoch.Add(s.Length))
	work := map[string]*[len(tierShares)][]float64{model: {}, service: {}}
	for _, r := range requests {
		tiers := work[r.info.Model]
		tiers[r.info.Tier] = append(tiers[r.info.Tier], leastWork(r))
	}
	left := s.Length + tierDeadlines[len(tierDeadlines)-1]
	speed := float64(d.Fast) + float64(d.Slow)/2
	res := answerable(work[model], speed*left.Seconds())
	return res + answerable(work[service], float64(d.Services)/serviceSlow*left.Seconds())
}

// leastWork is the time in seconds that an endpoint of normal speed needs for a
// request when its batch is full.
func leastWork(r *request) float64 {
	perToken := stepDecode.Seconds() + stepBase.Seconds()/slots
	return float64(r.prompt)*stepPrefill.Seconds() + float64(r.output-1)*perToken
}

// answerable counts the requests that fit into the work, in order of tiers and
// the cheapest of a tier first.
func answerable(tiers *[len(tierShares)][]float64, work float64) int {
	res := 0
	for _, t := range tiers {
		slices.Sort(t)
		for _, w := range t {
			if work < w {
				return res
			}
			work -= w
			res++
		}
	}
	return res
}
