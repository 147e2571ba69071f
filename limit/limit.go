// Package limit finds how much work an agent lets into its endpoint, so that
// requests wait in the agent's queue, where tiers are known, and not inside the
// endpoint. It is pure state without a clock. Start from [New].
package limit

import "time"

// Settings bound a limit. [Defaults] has the values in use.
type Settings struct {
	// Min and Max bound the number of requests inside the endpoint.
	Min, Max int
	// Token is the time between two tokens of an answer that the limit aims at.
	// The aim is higher where the endpoint cannot do this efficiently, see
	// [Limit]; with zero only efficiency counts.
	Token time.Duration
	// Knee is how many times the time at no load the aim is at least. At 2.5 a
	// batch does 60% of what it could do without any bound, at 6 it does 83%.
	Knee float64
	// Prefill is how much time of prefill may be started inside the endpoint.
	// A request is let in while less than this is pending. Zero is no bound.
	Prefill time.Duration
}

// Defaults returns the settings for an engine. Token is the design's aim of 64
// ms between tokens; Prefill is half of its aim of 0.52 s to the first token.
func Defaults() Settings {
	return Settings{Min: 4, Max: 256, Token: 64 * time.Millisecond, Knee: 2.5, Prefill: 260 * time.Millisecond}
}

// Service returns the settings for a plain service, which has no tokens. Its
// agent observes the time of whole answers. Nothing is known of the time that
// its callers expect, so throughput counts for more.
func Service() Settings {
	return Settings{Min: 4, Max: 256, Knee: 6}
}

const (
	// start is the limit before any measurement.
	start = 16
	// backoff is the factor of a decrease.
	backoff = 0.9
	// smoothing is the share of a new sample in the mean time per token.
	smoothing = 0.1
	// forget is what a sample leaves of the line through the ones before it, and
	// ridge the weight of the assumption that there is no time at no load. The
	// assumption makes the limit fall, which shows whether it is true.
	forget = 0.998
	ridge  = 0.00002
)

// Limit is additive increase and multiplicative decrease on the time between
// tokens. The aim is the greater of the one in the settings and a multiple
// of the time at no load, which it estimates by a line through times and numbers of
// requests: below that, fewer requests make an endpoint slower, not faster. It raises the number by one for each limit's worth of answers that
// were within the aim while the limit was in use, and lowers it by a tenth at
// most once per limit's worth of answers. It is not safe for concurrent use.
type Limit struct {
	settings Settings
	value    float64
	// token is the decayed mean of the samples in seconds; zero before the first.
	token float64
	// settled is set by the first decrease; until then the limit grows by one for
	// each two answers.
	settled bool
	// The decayed sums for the line through (requests inside, seconds).
	one, x, xx, y, xy float64
	// since counts the samples since the last decrease.
	since int
}

// New returns a limit that starts at 16 requests.
func New(s Settings) *Limit {
	return &Limit{settings: s, value: float64(min(max(start, s.Min), s.Max))}
}

// Value returns the number of requests that may be inside the endpoint.
func (l *Limit) Value() int { return int(l.value) }

// Token returns the mean time between tokens, zero when not yet measured.
func (l *Limit) Token() time.Duration { return time.Duration(l.token * float64(time.Second)) }

// Observe records an answer: the mean time between its tokens, and how many
// requests were inside the endpoint when it ended.
func (l *Limit) Observe(token time.Duration, inside int) {
	if token <= 0 {
		return
	}
	if l.token == 0 {
		l.token = token.Seconds()
	}
	l.token += smoothing * (token.Seconds() - l.token)
	n := float64(inside)
	l.one, l.x, l.xx = l.one*forget+1, l.x*forget+n, l.xx*forget+n*n
	l.y, l.xy = l.y*forget+token.Seconds(), l.xy*forget+n*token.Seconds()
	l.since++
	switch {
	case l.token <= max(l.settings.Token.Seconds(), l.settings.Knee*l.unloaded()):
		// An unused limit says nothing about what a higher one would do.
		if inside+1 >= l.Value() {
			step := 1 / l.value
			if !l.settled {
				step = 0.5
			}
			l.value = min(l.value+step, float64(l.settings.Max))
		}
	case l.since >= l.Value():
		l.value = max(l.value*backoff, float64(l.settings.Min))
		l.since = 0
		l.settled = true
	}
}

// unloaded estimates the time between tokens at no load in seconds.
func (l *Limit) unloaded() float64 {
	one := l.one + ridge*l.one
	det := one*l.xx - l.x*l.x
	if det <= 0 {
		return 0
	}
	return max(0, (l.y*l.xx-l.x*l.xy)/det)
}

// Fail records that the endpoint broke a request off for lack of room.
func (l *Limit) Fail() {
	l.value = max(l.value*backoff, float64(l.settings.Min))
	l.since = 0
}

// Admits reports whether one more request may enter: inside is the number of
// requests inside the endpoint, pending the prefill tokens of those without a
// first token, and rate the measured prefill speed in tokens per second, zero
// when unknown.
func (l *Limit) Admits(inside, pending int, rate float64) bool {
	if inside >= l.Value() {
		return false
	}
	return pending == 0 || rate <= 0 || l.settings.Prefill == 0 || float64(pending) < rate*l.settings.Prefill.Seconds()
}
