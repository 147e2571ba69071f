package rig

import "time"

// constant is a load that does not change.
func constant(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// burst is a load of 200% between two times and of 70% before and after.
func burst(from, to time.Duration) func(time.Duration) float64 {
	return func(at time.Duration) float64 {
		if at >= from && at < to {
			return 2
		}
		return 0.7
	}
}

// Overload is the case of 150% for long.
const Overload = "overload 150%"

// Cases are the cases of the table.
var Cases = []Setup{
	{Name: "steady 70%", Length: 5 * time.Minute, Rate: constant(0.7)},
	{Name: "burst 200%", Length: 5 * time.Minute, Rate: burst(time.Minute, 2*time.Minute)},
	{Name: Overload, Length: 10 * time.Minute, Rate: constant(1.5)},
	{Name: "endpoint slow x10", Length: 5 * time.Minute, Rate: constant(0.7), Act: func(w *world) {
		w.loop.after(time.Minute, func() { w.agents[0].endpoint.slow *= 10 })
		w.loop.after(3*time.Minute, func() { w.agents[0].endpoint.slow /= 10 })
	}},
	{
		Name: "reports old, lost", Length: 5 * time.Minute, Rate: constant(0.85),
		reportDelay: 5 * time.Second, reportLoss: 0.5,
	},
	{Name: "crash in burst", Length: 5 * time.Minute, Rate: burst(time.Minute, 2*time.Minute), Act: func(w *world) {
		w.loop.after(90*time.Second, func() { w.agents[0].endpoint.crash(restartTime) })
	}},
	{Name: "domain lost", Length: 5 * time.Minute, Rate: constant(0.7), Act: func(w *world) {
		w.loop.after(2*time.Minute, func() { w.lose("domain0") })
	}},
	{Name: "nightly batch", Length: 5 * time.Minute, Rate: constant(0.5), Batch: 0.8},
	{Name: "crashing request", Length: 5 * time.Minute, Rate: constant(0.7), resend: 20, Act: func(w *world) {
		w.loop.after(time.Minute, w.poison)
	}},
}

// Together runs the product's own arm in the case of overload.
func Together(d Deployment, seed uint64) Report {
	return overload(d, seed, false)
}

// Alone runs the product's own arm in the case of overload with the requests of
// the highest tier only.
func Alone(d Deployment, seed uint64) Report {
	return overload(d, seed, true)
}

// overload runs the product's own arm in the case of overload.
func overload(d Deployment, seed uint64, only bool) Report {
	var res Report
	for _, s := range Cases {
		if s.Name == Overload {
			s.Only = only
			res = Run(d, s, Arms[len(Arms)-1], seed)
		}
	}
	return res
}
