package entry

import (
	"sync"
	"time"

	"damasktrail.dev"
	"damasktrail.dev/document"
)

const (
	// defaultRetryAfter is the retry delay advised to callers when there is no
	// room or no agent can be reached.
	defaultRetryAfter = time.Second
)

// limits applies the rate limits and in-flight limits of organisations at this
// entry.
type limits struct {
	mu    sync.Mutex
	usage map[string]*usage
}

// usage is the token bucket and the number of in-flight requests of one
// organisation. The bucket holds at most one second of the rate, and at least
// one request.
type usage struct {
	tokens   float64
	refilled time.Time
	inflight int
}

func newLimits() *limits {
	return &limits{usage: map[string]*usage{}}
}

// acquire counts a request or refuses it. The caller must call release for a
// request that was counted.
func (l *limits) acquire(o document.Organisation, now time.Time) *damasktrail.Refusal {
	l.mu.Lock()
	defer l.mu.Unlock()
	burst := max(o.Rate, 1)
	u, found := l.usage[o.Name]
	if !found {
		u = &usage{tokens: burst, refilled: now}
		l.usage[o.Name] = u
	}
	u.tokens = min(burst, u.tokens+now.Sub(u.refilled).Seconds()*o.Rate)
	u.refilled = now
	if u.inflight >= o.Inflight {
		return overLimit("too many open requests", defaultRetryAfter)
	}
	if u.tokens < 1 {
		return overLimit("too many requests per second", time.Duration((1-u.tokens)/o.Rate*float64(time.Second)))
	}
	u.tokens--
	u.inflight++
	return nil
}

func overLimit(detail string, retryAfter time.Duration) *damasktrail.Refusal {
	return &damasktrail.Refusal{
		Reason: damasktrail.ReasonLimit, Outcome: damasktrail.NotRun,
		RetryAfter: max(retryAfter, time.Millisecond), Detail: "the organisation has " + detail,
	}
}

func (l *limits) release(organisation string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.usage[organisation].inflight--
}
