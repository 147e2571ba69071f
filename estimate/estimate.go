// Package estimate learns what requests cost and how fast endpoints are. It is
// pure state without a clock; nothing in it is safe for concurrent use. Start
// from [NewLengths] and [Speed].
package estimate

import (
	"math"
	"math/bits"
	"time"

	"damasktrail.dev"
)

const (
	// defaultBytes is the length of a token in bytes before any was measured;
	// English text and JSON have three to five.
	defaultBytes = 4.0
	// defaultDecode is the length of an answer in tokens before any was measured.
	defaultDecode = 256
	// memory is the number of answers over which a mean forgets about two
	// thirds.
	memory = 50.0
	// trust is the number of answers of an organisation after which its own mean
	// counts as much as that of the model.
	trust = 5.0
	// maxPairs bounds the streams that are learned apart: 2,200 organisations and
	// 24 models, in any size class. Streams beyond it use the model's mean.
	maxPairs = 2200 * 24
)

// Mean is a decayed mean. The zero value has seen nothing.
type Mean struct {
	value, weight float64
}

// With returns the mean after one more value.
func (m Mean) With(x float64) Mean {
	w := min(m.weight+1, memory)
	return Mean{value: m.value + (x-m.value)/w, weight: w}
}

// Value returns the mean, zero when nothing was seen.
func (m Mean) Value() float64 { return m.value }

// Weight returns the number of values that the mean stands for, at most 50.
func (m Mean) Weight() float64 { return m.weight }

// pair names a stream of similar requests. Answers to long prompts differ from
// those to short ones.
type pair struct {
	organisation, model string
	class               int
}

// class returns the size class of a body; each is eight times the one before.
func class(body int) int { return bits.Len(uint(body)) / 3 }

// length is what is learned of one stream of requests: means of the logarithm
// of the length of answers and of its square. A decayed mean of the logarithm
// takes 32 bytes, follows changes and is not moved by a few long answers; with
// the square it gives quantiles, as lengths are close to log-normal.
type length struct {
	log, square Mean
}

// with returns the length after one more answer.
func (l length) with(decode int) length {
	x := math.Log(float64(max(1, decode)))
	return length{log: l.log.With(x), square: l.square.With(x * x)}
}

// Lengths estimates the tokens of requests.
type Lengths struct {
	pairs  map[pair]length
	models map[string]length
	bytes  map[string]Mean
}

// NewLengths returns an estimator that has seen nothing and assumes 4 bytes per
// prompt token and 256 tokens per answer.
func NewLengths() *Lengths {
	return &Lengths{
		pairs: make(map[pair]length), models: make(map[string]length), bytes: make(map[string]Mean),
	}
}

// Learn records an answer to a request with a body of the given bytes. Counts
// that the endpoint did not report are zero and are skipped.
func (l *Lengths) Learn(organisation, model string, body int, u damasktrail.Usage) {
	if u.Prefill > 0 && body > 0 {
		// The mean of tokens per byte is weighed by request, so one long prompt
		// does not outweigh many short ones.
		l.bytes[model] = l.bytes[model].With(float64(u.Prefill) / float64(body))
	}
	if u.Decode <= 0 {
		return
	}
	l.models[model] = l.models[model].with(u.Decode)
	k := pair{organisation, model, class(body)}
	old, found := l.pairs[k]
	if found || len(l.pairs) < maxPairs {
		l.pairs[k] = old.with(u.Decode)
	}
}

// Cost estimates a request with a body of the given bytes. Decode is the mean.
func (l *Lengths) Cost(organisation, model string, body int) damasktrail.Cost {
	perByte := 1 / defaultBytes
	if m := l.bytes[model]; m.Weight() > 0 {
		perByte = m.Value()
	}
	mu, variance := l.decode(organisation, model, body)
	return damasktrail.Cost{
		Prefill: max(1, int(math.Ceil(float64(body)*perByte))),
		Decode:  max(1, int(math.Round(math.Exp(mu+variance/2)))),
	}
}

// Longest estimates the length in tokens that one answer in ten exceeds.
func (l *Lengths) Longest(organisation, model string, body int) int {
	mu, variance := l.decode(organisation, model, body)
	const z = 1.28 // the 0.9 quantile of the normal distribution
	return max(1, int(math.Round(math.Exp(mu+z*math.Sqrt(variance)))))
}

// decode returns the mean and variance of the logarithm of the length. The
// stream's own answers count the more, the more of them were seen.
func (l *Lengths) decode(organisation, model string, body int) (mu, variance float64) {
	m := l.models[model]
	if m.log.Weight() == 0 {
		return math.Log(defaultDecode), 0
	}
	p := l.pairs[pair{organisation, model, class(body)}]
	share := p.log.Weight() / (p.log.Weight() + trust)
	mu = share*p.log.Value() + (1-share)*m.log.Value()
	square := share*p.square.Value() + (1-share)*m.square.Value()
	return mu, max(0, square-mu*mu)
}

// ratio is the assumed number of prompt tokens that cost as much as a generated
// one, until the measurements tell them apart.
const ratio = 8

// ridge is how much the assumed ratio counts against the measurements. Without
// it a constant mix of work makes the two speeds undetermined.
const ridge = 0.02

// decay is what a window keeps of the ones before it.
const decay = 0.95

// Speed measures an endpoint from windows of time in which it was busy: the
// time of a window is the sum of its prefill and decode tokens, each divided by
// its speed. The speeds come from decayed least squares. The zero value has
// seen nothing.
type Speed struct {
	pp, pd, dd, tp, td float64
	weight             float64
}

// With returns the speed after one more window. Windows without work or time
// are skipped.
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

// Rates returns the speeds in tokens per second, zero when nothing was seen.
func (s Speed) Rates() (prefill, decode float64) {
	if s.weight == 0 {
		return 0, 0
	}
	// One parameter: t = k*(prefill/ratio + decode).
	xx := s.pp/(ratio*ratio) + 2*s.pd/ratio + s.dd
	k := (s.tp/ratio + s.td) / xx
	// Two parameters, t = a*prefill + b*decode, drawn towards the one.
	rp, rd := ridge*xx*ratio*ratio, ridge*xx
	pp, dd := s.pp+rp, s.dd+rd
	tp, td := s.tp+rp*k/ratio, s.td+rd*k
	det := pp*dd - s.pd*s.pd
	a, b := (tp*dd-td*s.pd)/det, (td*pp-tp*s.pd)/det
	if det <= 0 || a <= 0 || b <= 0 {
		a, b = k/ratio, k
	}
	return 1 / a, 1 / b
}
