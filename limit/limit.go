// Package limit adapts the number of in-flight requests that an agent allows at its
// endpoint, so that requests wait in the agent's queue, where tiers are known, and
// not inside the endpoint. It is pure state without a clock. Start from [New].
package limit

import "time"

// Settings configure a limit. [Defaults] returns the values in use for an engine.
type Settings struct {
	// Min and Max bound the limit of in-flight requests.
	Min, Max int
	// Token is the target for the time between two tokens of an answer. The
	// target is higher where the endpoint cannot reach it efficiently, see
	// [Limit]; with zero only efficiency counts.
	Token time.Duration
	// MinUnloadedRatio times the unloaded time between tokens is the lower bound
	// of the target. At 2.5 a batch reaches 60% of its unbounded throughput, at 6
	// it reaches 83%.
	MinUnloadedRatio float64
	// Prefill bounds the pending prefill work at the endpoint. A request is
	// admitted while less than this is pending. Zero is no bound.
	Prefill time.Duration
}

// Defaults returns the settings for an engine. Token is the design target of 64 ms
// between tokens; Prefill is half of the design target of 0.52 s to the first
// token.
func Defaults() Settings {
	return Settings{Min: 4, Max: 256, Token: 64 * time.Millisecond, MinUnloadedRatio: 2.5, Prefill: 260 * time.Millisecond}
}

// ServiceDefaults returns the settings for a plain service, which has no tokens. Its
// agent observes the time of complete answers. The latency that its callers expect
// is unknown, so the settings favour throughput.
func ServiceDefaults() Settings {
	return Settings{Min: 4, Max: 256, MinUnloadedRatio: 6}
}

const (
	// initialLimit is the limit before the first measurement.
	initialLimit = 16
	// decreaseFactor multiplies the limit at a decrease.
	decreaseFactor = 0.9
	// smoothing is the weight of a new sample in the moving average of the time
	// between tokens.
	smoothing = 0.1
	// retainFactor multiplies the weight of earlier samples in the linear
	// regression at each sample. ridgeWeight is the relative weight of the
	// assumption that the unloaded time is zero. The assumption lowers the limit,
	// and the samples at the lower limit show whether it is true.
	retainFactor = 0.998
	ridgeWeight  = 0.00002
)

// Limit is a concurrency limit with additive increase and multiplicative decrease,
// controlled by the time between tokens. The target is the greater of the one in
// the settings and a multiple of the unloaded time, which Limit estimates by linear
// regression of times on numbers of requests: below that multiple, fewer requests
// make an endpoint slower, not faster. With a limit of n, it adds one per n answers
// that met the target while the limit was in use, and subtracts a tenth at most
// once per n answers. It is not safe for concurrent use.
type Limit struct {
	settings Settings
	limit    float64
	// tokenSeconds is the moving average of the samples; zero before the first.
	tokenSeconds float64
	// pastSlowStart is set by the first decrease in Observe; until then the limit
	// grows by one per two answers.
	pastSlowStart bool
	// Exponentially decayed sums for the linear regression of seconds on in-flight
	// requests.
	sumWeight, sumRequests, sumRequestsSquared, sumSeconds, sumRequestsSeconds float64
	// samplesSinceDecrease counts the samples since the last decrease.
	samplesSinceDecrease int
}

// New returns a limit that starts at 16 requests.
func New(s Settings) *Limit {
	return &Limit{settings: s, limit: float64(min(max(initialLimit, s.Min), s.Max))}
}

// Value returns the number of requests that may be in flight at the endpoint.
func (l *Limit) Value() int { return int(l.limit) }

// TokenInterval returns the moving average of the time between tokens, zero before the
// first measurement.
func (l *Limit) TokenInterval() time.Duration {
	return time.Duration(l.tokenSeconds * float64(time.Second))
}

// Observe records an answer: the mean time between its tokens, and the number of
// requests in flight at the endpoint when it ended.
func (l *Limit) Observe(tokenInterval time.Duration, inFlight int) {
	if tokenInterval <= 0 {
		return
	}
	if l.tokenSeconds == 0 {
		l.tokenSeconds = tokenInterval.Seconds()
	}
	l.tokenSeconds += smoothing * (tokenInterval.Seconds() - l.tokenSeconds)
	n := float64(inFlight)
	l.sumWeight, l.sumRequests, l.sumRequestsSquared = l.sumWeight*retainFactor+1, l.sumRequests*retainFactor+n, l.sumRequestsSquared*retainFactor+n*n
	l.sumSeconds, l.sumRequestsSeconds = l.sumSeconds*retainFactor+tokenInterval.Seconds(), l.sumRequestsSeconds*retainFactor+n*tokenInterval.Seconds()
	l.samplesSinceDecrease++
	switch {
	case l.tokenSeconds <= max(l.settings.Token.Seconds(), l.settings.MinUnloadedRatio*l.unloadedSeconds()):
		// A limit that is not in use gives no evidence about a higher one.
		if inFlight+1 >= l.Value() {
			step := 1 / l.limit
			if !l.pastSlowStart {
				step = 0.5
			}
			l.limit = min(l.limit+step, float64(l.settings.Max))
		}
	case l.samplesSinceDecrease >= l.Value():
		l.limit = max(l.limit*decreaseFactor, float64(l.settings.Min))
		l.samplesSinceDecrease = 0
		l.pastSlowStart = true
	}
}

// unloadedSeconds estimates the time between tokens without load.
func (l *Limit) unloadedSeconds() float64 {
	weight := l.sumWeight + ridgeWeight*l.sumWeight
	det := weight*l.sumRequestsSquared - l.sumRequests*l.sumRequests
	if det <= 0 {
		return 0
	}
	return max(0, (l.sumSeconds*l.sumRequestsSquared-l.sumRequests*l.sumRequestsSeconds)/det)
}

// Admits reports whether one more request may be sent to the endpoint: inFlight is
// the number of in-flight requests, pendingPrefillTokens the number of prompt
// tokens of those without a first token, and prefillRate the measured prefill speed
// in tokens per second, zero when unknown.
func (l *Limit) Admits(inFlight, pendingPrefillTokens int, prefillRate float64) bool {
	if inFlight >= l.Value() {
		return false
	}
	return pendingPrefillTokens == 0 || prefillRate <= 0 || l.settings.Prefill == 0 || float64(pendingPrefillTokens) < prefillRate*l.settings.Prefill.Seconds()
}
