package rig

import (
	"slices"
)

// Bound returns an upper bound on the useful answers of any policy that serves
// the tiers in order: it answers every request of a tier before any of the
// next, the cheapest of a tier first, until the work that all endpoints can do
// before the last deadline is used up. The bound cannot be reached, as it
// assumes that requests cost only their own work in full batches, never wait
// and never occupy two endpoints.
func Bound(d Deployment, c Case, seed uint64) int {
	sim := newSimulation(d, c, Arms[0], seed)
	var requests []*request
	sim.recorded = &requests
	sim.scheduleTraffic(d, seed)
	sim.loop.run(epoch.Add(c.Duration))
	work := map[string]*[len(tierShares)][]float64{model: {}, service: {}}
	for _, r := range requests {
		tiers := work[r.info.Model]
		tiers[r.info.Tier] = append(tiers[r.info.Tier], minWorkSeconds(r))
	}
	left := c.Duration + tierDeadlines[len(tierDeadlines)-1]
	speed := float64(d.Fast) + float64(d.Slow)/2
	res := countAnswerable(work[model], speed*left.Seconds())
	return res + countAnswerable(work[service], float64(d.Services)/serviceSlowdown*left.Seconds())
}

// minWorkSeconds returns the time that an endpoint of normal speed needs for a
// request when its batch is full.
func minWorkSeconds(r *request) float64 {
	perToken := decodeTimePerToken.Seconds() + stepBaseTime.Seconds()/slots
	return float64(r.promptTokens)*prefillTimePerToken.Seconds() + float64(r.outputTokens-1)*perToken
}

// countAnswerable returns the number of requests that fit into the given
// seconds of work, in order of tiers and the cheapest of a tier first.
func countAnswerable(tiers *[len(tierShares)][]float64, work float64) int {
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
