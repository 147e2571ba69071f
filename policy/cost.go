package policy

import (
	"math"

	"damasktrail.dev"
)

const (
	// microsecond is the number of microseconds in a second.
	microsecond = 1e6
	// defaultPrefill and defaultDecode are speeds in tokens per second, assumed
	// for an agent that has not reported any while no other has either.
	defaultPrefill = 8000
	defaultDecode  = 1000
	// spread is the share of the best candidate's time by which another may be
	// worse and still be chosen often.
	spread = 0.05
	// doubt is the share of a report's age that is added to the spread: other
	// entries sent work since then that this one does not know of.
	doubt = 0.05
	// maxDone bounds the age, in seconds, for which an agent is taken to have
	// worked on what it reported.
	maxDone = 1
	// answer is the time in seconds in which one of this entry's open requests
	// should end. An agent that is silent for longer is taken to be late by the
	// rest, as it may be lost or slow.
	answer = 10
	// longer is how many times its expected length an answer may reach, and late
	// the weight of the time by which it would then miss the deadline. Where the
	// logarithms of lengths deviate by 0.6, one answer in 700 is longer; with 3
	// times the length one in 60 was, and urgent ones ended late on slow endpoints.
	longer = 5
	late   = 4
	// maxDoubt bounds the age that counts, in seconds.
	maxDoubt = 10
)

// cost takes the candidate with the shortest expected time, spread over those
// that are nearly as good so that entries with the same old reports do not all
// choose the same one.
type cost struct{ draw draw }

// Choose implements damasktrail.Policy.
func (p *cost) Choose(r damasktrail.Request, candidates []damasktrail.Candidate) (index int, ok bool) {
	if len(candidates) == 0 {
		return 0, false
	}
	var buffer [320]float64
	times := buffer[:0]
	prefill, decode := speeds(candidates)
	best := math.Inf(1)
	for i := range candidates {
		t := expected(&r, &candidates[i], prefill, decode)
		times = append(times, t)
		best = min(best, t)
	}
	cached := mostCached(candidates, times)
	cachedTime, sum := times[cached], 0.0
	for i, t := range times {
		age := min(max(0, candidates[i].Age.Seconds()), maxDoubt)
		narrow := spread*best + 1e-3
		w := math.Exp(-(t - best) / (narrow + doubt*age))
		// The prefill that a cache saves is certain, however old the reports are. It
		// counts as far as the agent with the cache is the better one.
		missed := float64(r.Cost.Prefill) * (candidates[cached].Cached - candidates[i].Cached) / prefill
		if missed > 0 && t > cachedTime {
			w *= math.Exp(-min(missed, t-cachedTime) / narrow)
		}
		times[i] = w
		sum += w
	}
	x := p.draw.float() * sum
	for i, w := range times {
		if x -= w; x < 0 {
			return i, true
		}
	}
	return len(times) - 1, true
}

// mostCached returns the candidate with the greatest part of the prompt in its
// cache, and of several the one with the shortest time.
func mostCached(candidates []damasktrail.Candidate, times []float64) int {
	res := 0
	for i := range candidates {
		a, b := candidates[i].Cached, candidates[res].Cached
		if a > b || a == b && times[i] < times[res] {
			res = i
		}
	}
	return res
}

// speeds returns the mean speeds of the candidates that reported any.
func speeds(candidates []damasktrail.Candidate) (prefill, decode float64) {
	known := 0.0
	for i := range candidates {
		if l := &candidates[i].Load; l.PrefillRate > 0 && l.DecodeRate > 0 {
			prefill += l.PrefillRate
			decode += l.DecodeRate
			known++
		}
	}
	if known == 0 {
		return defaultPrefill, defaultDecode
	}
	return prefill / known, decode / known
}

// expected returns the seconds until the request would be complete: the time
// for the work that is there and the request's own.
func expected(r *damasktrail.Request, c *damasktrail.Candidate, prefill, decode float64) float64 {
	if c.Load.PrefillRate > 0 && c.Load.DecodeRate > 0 {
		prefill, decode = c.Load.PrefillRate, c.Load.DecodeRate
	}
	// The endpoint has worked on what it reported since then. This counts for a
	// short time only: an agent that is lost reports nothing and is not idle.
	ahead := float64(c.Load.Prefill+c.Sent.Prefill)/prefill + float64(c.Load.Decode+c.Sent.Decode)/decode
	ahead = max(0, ahead-min(c.Age.Seconds(), maxDone))
	// An agent with many requests of this entry ends one of them often.
	if c.Inflight > 0 {
		ahead += max(0, c.Age.Seconds()-maxDone-answer/float64(c.Inflight))
	}
	own := float64(r.Cost.Prefill) * (1 - min(max(c.Cached, 0), 1)) / prefill
	// Tokens of one answer come at the speed of all divided by their number.
	inside := c.Load.Running + 1
	if c.Load.Limit > 0 {
		inside = min(inside, c.Load.Limit)
	}
	answering := float64(r.Cost.Decode) * float64(inside) / decode
	res := ahead + own + answering
	if r.Deadline > 0 {
		// Prefill of others in between makes an answer slower than that speed. This
		// counts against the deadline only: it varies with the load of the moment,
		// and in the comparison of agents it would outweigh their caches.
		streaming := max(answering, float64(r.Cost.Decode)*float64(c.Load.Token)/microsecond)
		res += late * max(0, own+longer*streaming-r.Deadline.Seconds())
	}
	return res
}
