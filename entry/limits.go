package entry

import (
	"sync"
	"time"

	"damasktrail.dev"
	"damasktrail.dev/document"
)

const (
	// retryFull is the advice when there is no room.
	retryFull = time.Second
)

// limits applies the rate and inflight limits of organisations at this entry.
type limits struct {
	mu    sync.Mutex
	usage map[string]*usage
}

// usage is a token bucket that holds at most one second of the rate, and at
// least one request.
type usage struct {
	tokens float64
	at     time.Time
	open   int
}

func newLimits() *limits {
	return &limits{usage: map[string]*usage{}}
}

// enter counts a request or refuses it. The caller calls leave when it was
// counted.
func (l *limits) enter(o document.Organisation, now time.Time) *damasktrail.Refusal {
	l.mu.Lock()
	defer l.mu.Unlock()
	burst := max(o.Rate, 1)
	u, found := l.usage[o.Name]
	if !found {
		u = &usage{tokens: burst, at: now}
		l.usage[o.Name] = u
	}
	u.tokens = min(burst, u.tokens+now.Sub(u.at).Seconds()*o.Rate)
	u.at = now
	if u.open >= o.Inflight {
		return overLimit("too many open requests", retryFull)
	}
	if u.tokens < 1 {
		return overLimit("too many requests per second", time.Duration((1-u.tokens)/o.Rate*float64(time.Second)))
	}
	u.tokens--
	u.open++
	return nil
}

func overLimit(detail string, retry time.Duration) *damasktrail.Refusal {
	return &damasktrail.Refusal{
		Reason: damasktrail.ReasonLimit, Outcome: damasktrail.NotRun,
		RetryAfter: max(retry, time.Millisecond), Detail: "the organisation has " + detail,
	}
}

func (l *limits) leave(organisation string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.usage[organisation].open--
}
