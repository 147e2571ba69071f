// Package estimate estimates the cost of requests and the speed of endpoints from
// measurements. It has no clock, and nothing in it is safe for concurrent use.
// Start from [NewLengths] and [Speed].
package estimate

import (
	"math"
	"math/bits"
	"time"

	"damasktrail.dev"
)

const (
	// defaultBytesPerToken is assumed until a prompt has been measured. English
	// text and JSON have three to five bytes per token.
	defaultBytesPerToken = 4.0
	// defaultAnswerTokens is assumed until an answer has been measured.
	defaultAnswerTokens = 256
	// maxMeanWeight is the maximum weight of a mean in samples. At this weight a
	// mean is an exponential moving average in which older samples lose about two
	// thirds of their weight per 50 new ones.
	maxMeanWeight = 50.0
	// priorWeight is the weight of the model's mean in samples: a stream with that
	// many samples counts as much as the model.
	priorWeight = 5.0
	// maxStreams bounds the number of streams with statistics of their own: 2,200
	// organisations with 24 models each, whatever the size classes. Further
	// streams use the statistics of the model.
	maxStreams = 2200 * 24
)

// Mean is the arithmetic mean of up to 50 samples and an exponential moving
// average after that. The zero value has no samples.
type Mean struct {
	value, weight float64
}

// With returns the mean with one more sample.
func (m Mean) With(x float64) Mean {
	w := min(m.weight+1, maxMeanWeight)
	return Mean{value: m.value + (x-m.value)/w, weight: w}
}

// Value returns the mean, or zero if there are no samples.
func (m Mean) Value() float64 { return m.value }

// Weight returns the number of samples, at most 50.
func (m Mean) Weight() float64 { return m.weight }

// stream identifies a stream of similar requests. The size class is part of it
// because answers to long prompts differ from those to short ones.
type stream struct {
	organisation, model string
	class               int
}

// sizeClass returns the size class of a body of the given bytes. Class bounds grow
// by a factor of eight.
func sizeClass(body int) int { return bits.Len(uint(body)) / 3 }

// logLength holds the statistics of the answer lengths of a stream: the means of
// the logarithm of the length and of its square. A moving average of the
// logarithm takes 32 bytes, follows changes and is robust against a few long
// answers. With the square it gives quantiles, as lengths are approximately
// log-normal.
type logLength struct {
	mean, meanSquare Mean
}

// with returns the statistics with one more answer of the given tokens.
func (l logLength) with(decode int) logLength {
	x := math.Log(float64(max(1, decode)))
	return logLength{mean: l.mean.With(x), meanSquare: l.meanSquare.With(x * x)}
}

// Lengths estimates the prompt and answer lengths of requests in tokens.
type Lengths struct {
	streams       map[stream]logLength
	models        map[string]logLength
	tokensPerByte map[string]Mean
}

// NewLengths returns an estimator without samples, which assumes 4 bytes per
// prompt token and 256 tokens per answer.
func NewLengths() *Lengths {
	return &Lengths{
		streams: make(map[stream]logLength), models: make(map[string]logLength), tokensPerByte: make(map[string]Mean),
	}
}

// Learn records the answer to a request with a body of the given bytes. Zero
// counts, which the endpoint did not report, are skipped.
func (l *Lengths) Learn(organisation, model string, body int, u damasktrail.Usage) {
	if u.Prefill > 0 && body > 0 {
		// Each request has the same weight in the mean of tokens per byte, so that
		// one long prompt does not outweigh many short ones.
		l.tokensPerByte[model] = l.tokensPerByte[model].With(float64(u.Prefill) / float64(body))
	}
	if u.Decode <= 0 {
		return
	}
	l.models[model] = l.models[model].with(u.Decode)
	k := stream{organisation, model, sizeClass(body)}
	old, found := l.streams[k]
	if found || len(l.streams) < maxStreams {
		l.streams[k] = old.with(u.Decode)
	}
}

// Cost estimates the cost of a request with a body of the given bytes. Decode is
// the mean of the answer length.
func (l *Lengths) Cost(organisation, model string, body int) damasktrail.Cost {
	tokensPerByte := 1 / defaultBytesPerToken
	if m := l.tokensPerByte[model]; m.Weight() > 0 {
		tokensPerByte = m.Value()
	}
	mu, variance := l.logMoments(organisation, model, body)
	return damasktrail.Cost{
		Prefill: max(1, int(math.Ceil(float64(body)*tokensPerByte))),
		Decode:  max(1, int(math.Round(math.Exp(mu+variance/2)))),
	}
}

// DecodeP90 estimates the 0.9 quantile of the number of generated tokens.
func (l *Lengths) DecodeP90(organisation, model string, body int) int {
	mu, variance := l.logMoments(organisation, model, body)
	const z = 1.28 // the 0.9 quantile of the normal distribution
	return max(1, int(math.Round(math.Exp(mu+z*math.Sqrt(variance)))))
}

// logMoments returns the mean and variance of the logarithm of the answer length.
// The stream's own statistics gain weight over those of the model with the number
// of its samples.
func (l *Lengths) logMoments(organisation, model string, body int) (mu, variance float64) {
	m := l.models[model]
	if m.mean.Weight() == 0 {
		return math.Log(defaultAnswerTokens), 0
	}
	own := l.streams[stream{organisation, model, sizeClass(body)}]
	ownShare := own.mean.Weight() / (own.mean.Weight() + priorWeight)
	mu = ownShare*own.mean.Value() + (1-ownShare)*m.mean.Value()
	square := ownShare*own.meanSquare.Value() + (1-ownShare)*m.meanSquare.Value()
	return mu, max(0, square-mu*mu)
}

// prefillPerDecode is the assumed number of prompt tokens that take as long as one
// generated token, used until the measurements determine both speeds.
const prefillPerDecode = 8

// ridge is the strength of the ridge regularisation towards prefillPerDecode.
// Without it, the two speeds are undetermined when the mix of work is constant.
const ridge = 0.02

// decay is the factor by which the weight of earlier windows shrinks per window.
const decay = 0.95

// Speed measures the speeds of an endpoint from time windows in which it was
// busy. The time of a window is the sum of its prefill tokens divided by the
// prefill speed and its decode tokens divided by the decode speed. The speeds are
// fitted by least squares with exponentially decaying weights. The zero value has
// no samples.
type Speed struct {
	// Decayed sums over the windows of products of prefill tokens (p), decode
	// tokens (d) and time in seconds (t).
	pp, pd, dd, tp, td float64
	weight             float64
}

// With returns the speed with one more window. Windows without work or time are
// skipped.
func (s Speed) With(busy time.Duration, prefill, decode float64) Speed {
	t := busy.Seconds()
	if t <= 0 || prefill+decode <= 0 {
		return s
	}
	return Speed{
		pp: s.pp*decay + prefill*prefill, pd: s.pd*decay + prefill*decode, dd: s.dd*decay + decode*decode,
		tp: s.tp*decay + t*prefill, td: s.td*decay + t*decode,
		weight: s.weight*decay + 1,
	}
}

// Rates returns the speeds in tokens per second, or zero if there are no samples.
func (s Speed) Rates() (prefill, decode float64) {
	if s.weight == 0 {
		return 0, 0
	}
	// Fit with one parameter: t = k*(prefill/prefillPerDecode + decode).
	xx := s.pp/(prefillPerDecode*prefillPerDecode) + 2*s.pd/prefillPerDecode + s.dd
	k := (s.tp/prefillPerDecode + s.td) / xx
	// Fit with two parameters, t = a*prefill + b*decode, regularised towards the
	// fit with one.
	rp, rd := ridge*xx*prefillPerDecode*prefillPerDecode, ridge*xx
	pp, dd := s.pp+rp, s.dd+rd
	tp, td := s.tp+rp*k/prefillPerDecode, s.td+rd*k
	det := pp*dd - s.pd*s.pd
	a, b := (tp*dd-td*s.pd)/det, (td*pp-tp*s.pd)/det
	if det <= 0 || a <= 0 || b <= 0 {
		a, b = k/prefillPerDecode, k
	}
	return 1 / a, 1 / b
}
