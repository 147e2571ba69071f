package policy

import (
	"math"

	"damasktrail.dev"
)

const (
	microsecondsPerSecond = 1e6
	// defaultPrefillRate and defaultDecodeRate, in tokens per second, are assumed
	// for agents without reported rates when no candidate has reported any.
	defaultPrefillRate = 8000
	defaultDecodeRate  = 1000
	// relativeTemperature is the softmax temperature as a share of the best
	// candidate's time. A candidate that is slower by this share is still chosen
	// often.
	relativeTemperature = 0.05
	// temperaturePerAge is the softmax temperature in seconds that is added per
	// second of a report's age, because other entries have sent work in the
	// meantime that this entry does not know of.
	temperaturePerAge = 0.05
	// maxProgressSeconds bounds the part of a report's age during which the agent
	// is assumed to have worked on the reported backlog.
	maxProgressSeconds = 1
	// completionSeconds is the time in which an agent should complete one of this
	// entry's open requests. Silence beyond it is added to the agent's expected
	// time, as the agent may be lost or slow.
	completionSeconds = 10
	// lengthFactor is the ratio of the answer length that is checked against the
	// deadline to the expected length, and lateWeight the weight of the time by
	// which such an answer would miss the deadline. If the logarithms of lengths
	// have a standard deviation of 0.6, one answer in 700 exceeds 5 times its
	// expected length and one in 60 exceeds 3 times; with a factor of 3, urgent
	// answers missed their deadlines on slow endpoints.
	lengthFactor = 5
	lateWeight   = 4
	// maxAgeSeconds bounds the report age that adds to the softmax temperature.
	maxAgeSeconds = 10
)

// cost prefers the candidate with the shortest expected time. It chooses at
// random with the softmax of the negative times, so that entries with the same
// old reports do not all choose the same candidate.
type cost struct{ rng rng }

// Choose implements damasktrail.Policy.
func (p *cost) Choose(r damasktrail.Request, candidates []damasktrail.Candidate) (index int, ok bool) {
	if len(candidates) == 0 {
		return 0, false
	}
	var buffer [320]float64
	times := buffer[:0]
	prefill, decode := meanRates(candidates)
	best := math.Inf(1)
	for i := range candidates {
		t := expectedSeconds(&r, &candidates[i], prefill, decode)
		times = append(times, t)
		best = min(best, t)
	}
	mostCachedIndex := mostCached(candidates, times)
	cachedTime, sum := times[mostCachedIndex], 0.0
	for i, t := range times {
		age := min(max(0, candidates[i].Age.Seconds()), maxAgeSeconds)
		temperature := relativeTemperature*best + 1e-3
		w := math.Exp(-(t - best) / (temperature + temperaturePerAge*age))
		// The prefill that a cache saves is certain, regardless of the age of the
		// reports, so its temperature does not grow with the age. It counts up to
		// the lead in time of the agent with the cache.
		missedSeconds := float64(r.Cost.Prefill) * (candidates[mostCachedIndex].CachedShare - candidates[i].CachedShare) / prefill
		if missedSeconds > 0 && t > cachedTime {
			w *= math.Exp(-min(missedSeconds, t-cachedTime) / temperature)
		}
		times[i] = w
		sum += w
	}
	x := p.rng.float() * sum
	for i, w := range times {
		if x -= w; x < 0 {
			return i, true
		}
	}
	return len(times) - 1, true
}

// mostCached returns the index of the candidate with the greatest share of the
// prompt in its cache, and among equals of the one with the shortest time.
func mostCached(candidates []damasktrail.Candidate, times []float64) int {
	res := 0
	for i := range candidates {
		a, b := candidates[i].CachedShare, candidates[res].CachedShare
		if a > b || a == b && times[i] < times[res] {
			res = i
		}
	}
	return res
}

// meanRates returns the mean rates of the candidates that have reported both, or
// the default rates if none has.
func meanRates(candidates []damasktrail.Candidate) (prefill, decode float64) {
	reported := 0.0
	for i := range candidates {
		if l := &candidates[i].Load; l.PrefillRate > 0 && l.DecodeRate > 0 {
			prefill += l.PrefillRate
			decode += l.DecodeRate
			reported++
		}
	}
	if reported == 0 {
		return defaultPrefillRate, defaultDecodeRate
	}
	return prefill / reported, decode / reported
}

// expectedSeconds returns the expected time until the request is complete: the
// agent's backlog and the request's own prefill and decode. prefill and decode
// are the rates to assume for an agent that has not reported any.
func expectedSeconds(r *damasktrail.Request, c *damasktrail.Candidate, prefill, decode float64) float64 {
	if c.Load.PrefillRate > 0 && c.Load.DecodeRate > 0 {
		prefill, decode = c.Load.PrefillRate, c.Load.DecodeRate
	}
	// The endpoint has worked on the reported backlog since the report. This counts
	// for a short time only: a lost agent reports nothing, but is not idle.
	backlog := float64(c.Load.Prefill+c.Sent.Prefill)/prefill + float64(c.Load.Decode+c.Sent.Decode)/decode
	backlog = max(0, backlog-min(c.Age.Seconds(), maxProgressSeconds))
	// The more open requests of this entry an agent has, the more often it should
	// complete one, and the shorter is the silence that makes it suspect.
	if c.Inflight > 0 {
		backlog += max(0, c.Age.Seconds()-maxProgressSeconds-completionSeconds/float64(c.Inflight))
	}
	ownPrefill := float64(r.Cost.Prefill) * (1 - min(max(c.CachedShare, 0), 1)) / prefill
	// Each concurrent answer gets an equal share of the decode rate.
	concurrent := c.Load.Running + 1
	if c.Load.Limit > 0 {
		concurrent = min(concurrent, c.Load.Limit)
	}
	ownDecode := float64(r.Cost.Decode) * float64(concurrent) / decode
	res := backlog + ownPrefill + ownDecode
	if r.Deadline > 0 {
		// Interleaved prefill of other requests makes an answer slower than that. It
		// counts against the deadline only: it varies with the momentary load, and
		// in the comparison of agents it would outweigh their caches.
		slowestDecode := max(ownDecode, float64(r.Cost.Decode)*float64(c.Load.TokenIntervalMicros)/microsecondsPerSecond)
		res += lateWeight * max(0, ownPrefill+lengthFactor*slowestDecode-r.Deadline.Seconds())
	}
	return res
}
