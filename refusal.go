package damasktrail

import (
	"fmt"
	"time"
)

// Outcome says what is known about the execution of a refused request.
type Outcome string

const (
	// NotRun is said only by a process that has made running impossible.
	NotRun Outcome = "not run"
	// Unknown is everything else: the request may have run in part or whole.
	Unknown Outcome = "unknown"
)

// Reason is the cause of a refusal or a retry. Each reason has a counter.
type Reason string

// The reasons. The value is the label of the counter and part of callers' errors.
const (
	ReasonUnauthorised Reason = "unauthorised" // no known key
	ReasonMalformed    Reason = "malformed"    // the request cannot be read
	ReasonTooLarge     Reason = "toolarge"     // the body exceeds the limit
	ReasonNoModel      Reason = "nomodel"      // the document has no such model or service
	ReasonNoKey        Reason = "nokey"        // non-idempotent request without a ticket
	ReasonLimit        Reason = "limit"        // the organisation's own limit
	ReasonFull         Reason = "full"         // the queue has no room
	ReasonDeadline     Reason = "deadline"     // the answer would come too late
	ReasonFloor        Reason = "floor"        // the tier is below the admission floor
	ReasonLeaving      Reason = "leaving"      // the endpoint is leaving
	ReasonStale        Reason = "stale"        // the entry's generation is older than the agent's
	ReasonNotReady     Reason = "notready"     // no document or no live endpoint yet
	ReasonPoisoned     Reason = "poisoned"     // the request has crashed endpoints
	ReasonMismatch     Reason = "mismatch"     // the ticket was used with another body
	ReasonDuplicate    Reason = "duplicate"    // the ticket was used and its answer is gone
	ReasonExpired      Reason = "expired"      // the ticket is too old
	ReasonIncarnation  Reason = "incarnation"  // the ticket belongs to another incarnation
	ReasonCrashed      Reason = "crashed"      // the endpoint crashed while running it
	ReasonLost         Reason = "lost"         // the connection was lost after sending
	ReasonCancelled    Reason = "cancelled"    // the caller went away
	ReasonBudget       Reason = "budget"       // the retry budget is spent
	ReasonConflict     Reason = "conflict"     // two documents with one generation
)

// Refusal is the error for a request that got no answer.
type Refusal struct {
	// Reason is one of the constants above.
	Reason Reason
	// Outcome is NotRun or Unknown, never empty.
	Outcome Outcome
	// RetryAfter is when another try may succeed; zero when none can.
	RetryAfter time.Duration
	// Detail is one sentence for the caller, without secrets.
	Detail string
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("refused (%s, %s): %s", r.Reason, r.Outcome, r.Detail)
}

// WithOutcome returns a copy with the outcome o.
func (r *Refusal) WithOutcome(o Outcome) *Refusal {
	res := *r
	res.Outcome = o
	return &res
}

// WithRetryAfter returns a copy that asks for a retry after d.
func (r *Refusal) WithRetryAfter(d time.Duration) *Refusal {
	res := *r
	res.RetryAfter = d
	return &res
}
