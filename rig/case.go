package rig

import "time"

// constant returns a load that does not change.
func constant(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// burst returns a load of 200% between two times and of 70% before and after.
func burst(from, to time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < to {
			return 2
		}
		return 0.7
	}
}

// Overload is the name of the case with a lasting load of 150%.
const Overload = "overload 150%"

// Cases lists the cases of the table.
var Cases = []Case{
	{Name: "steady 70%", Duration: 5 * time.Minute, Load: constant(0.7)},
	{Name: "burst 200%", Duration: 5 * time.Minute, Load: burst(time.Minute, 2*time.Minute)},
	{Name: Overload, Duration: 10 * time.Minute, Load: constant(1.5)},
	{Name: "endpoint slow x10", Duration: 5 * time.Minute, Load: constant(0.7), InjectFaults: func(s *simulation) {
		s.loop.after(time.Minute, func() { s.agents[0].endpoint.slowdown *= 10 })
		s.loop.after(3*time.Minute, func() { s.agents[0].endpoint.slowdown /= 10 })
	}},
	{
		Name: "reports old, lost", Duration: 5 * time.Minute, Load: constant(0.85),
		reportDelay: 5 * time.Second, reportLossRatio: 0.5,
	},
	{Name: "crash in burst", Duration: 5 * time.Minute, Load: burst(time.Minute, 2*time.Minute), InjectFaults: func(s *simulation) {
		s.loop.after(90*time.Second, func() { s.agents[0].endpoint.crash(restartTime) })
	}},
	{Name: "domain lost", Duration: 5 * time.Minute, Load: constant(0.7), InjectFaults: func(s *simulation) {
		s.loop.after(2*time.Minute, func() { s.loseDomain("domain0") })
	}},
	{Name: "nightly batch", Duration: 5 * time.Minute, Load: constant(0.5), BatchLoad: 0.8},
	{Name: "crashing request", Duration: 5 * time.Minute, Load: constant(0.7), maxResends: 20, InjectFaults: func(s *simulation) {
		s.loop.after(time.Minute, s.sendCrashingRequest)
	}},
}

// RunOverload runs the product's arm in the overload case.
func RunOverload(d Deployment, seed uint64) Report {
	return overload(d, seed, false)
}

// RunOverloadTopTier runs the product's arm in the overload case with the
// requests of the highest tier only.
func RunOverloadTopTier(d Deployment, seed uint64) Report {
	return overload(d, seed, true)
}

// overload runs the product's arm in the overload case.
func overload(d Deployment, seed uint64, topTierOnly bool) Report {
	var res Report
	for _, c := range Cases {
		if c.Name == Overload {
			c.TopTierOnly = topTierOnly
			res = Run(d, c, Arms[len(Arms)-1], seed)
		}
	}
	return res
}
