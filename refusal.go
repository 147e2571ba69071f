package damasktrail

import (
	"fmt"
	"time"
)

// Outcome states whether a refused request may have run.
type Outcome string

const (
	// NotRun means that the request has not run and cannot run any more. Only a
	// process that has ensured this may report it.
	NotRun Outcome = "not run"
	// Unknown covers all other cases: the request may have run partly or
	// completely.
	Unknown Outcome = "unknown"
)

// Reason is the cause of a refusal or a retry. Each reason has its own counter.
type Reason string

// The reasons. The values are labels of the counters and appear in errors to
// callers.
const (
	ReasonUnauthorised Reason = "unauthorised" // the key is missing or unknown
	ReasonMalformed    Reason = "malformed"    // the request cannot be parsed
	ReasonTooLarge     Reason = "toolarge"     // the body exceeds the limit, or a stated number its range
	ReasonStalled      Reason = "stalled"      // the body was not complete at the deadline
	ReasonMemory       Reason = "memory"       // clients hold as many bytes as there is room for
	ReasonNoModel      Reason = "nomodel"      // the document has no such model or service
	ReasonNoKey        Reason = "nokey"        // non-idempotent request without a ticket
	ReasonLimit        Reason = "limit"        // a limit of the organisation is reached
	ReasonFull         Reason = "full"         // the queue is full
	ReasonDeadline     Reason = "deadline"     // the answer would miss the deadline
	ReasonFloor        Reason = "floor"        // the tier is below the admission floor
	ReasonLeaving      Reason = "leaving"      // the endpoint is leaving
	ReasonStale        Reason = "stale"        // the entry's generation is older than the agent's
	ReasonNotReady     Reason = "notready"     // no document or no live endpoint yet
	ReasonPoisoned     Reason = "poisoned"     // the request has crashed endpoints
	ReasonMismatch     Reason = "mismatch"     // the ticket was used with another body
	ReasonDuplicate    Reason = "duplicate"    // the ticket was used and its answer is no longer kept
	ReasonExpired      Reason = "expired"      // the ticket is too old
	ReasonIncarnation  Reason = "incarnation"  // the ticket belongs to another incarnation
	ReasonCrashed      Reason = "crashed"      // the endpoint crashed while running it
	ReasonLost         Reason = "lost"         // the connection was lost after the request was sent
	ReasonGarbled      Reason = "garbled"      // the endpoint sent bytes that are no answer
	ReasonCancelled    Reason = "cancelled"    // the caller disconnected
	ReasonBudget       Reason = "budget"       // the retry budget is used up
	ReasonConflict     Reason = "conflict"     // two documents have the same generation
)

// Refusal is the error for a request that got no answer.
type Refusal struct {
	// Reason is one of the constants above.
	Reason Reason
	// Outcome is NotRun or Unknown, never empty.
	Outcome Outcome
	// RetryAfter is the time after which a retry may succeed; zero if none can.
	RetryAfter time.Duration
	// Detail is one sentence for the caller. It contains no secrets.
	Detail string
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("refused (%s, %s): %s", r.Reason, r.Outcome, r.Detail)
}

// WithOutcome returns a copy of the refusal with the outcome o.
func (r *Refusal) WithOutcome(o Outcome) *Refusal {
	res := *r
	res.Outcome = o
	return &res
}

// WithRetryAfter returns a copy of the refusal with the RetryAfter d.
func (r *Refusal) WithRetryAfter(d time.Duration) *Refusal {
	res := *r
	res.RetryAfter = d
	return &res
}
