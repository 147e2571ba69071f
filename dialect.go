package damasktrail

import (
	"net/http"
	"time"

	"damasktrail.dev/fleet"
)

// Ranges of the numbers that a request may state. The largest in use are 100,000 tokens
// and 60 s; sums over all requests that wait in a process stay far below the range of an
// int64.
const (
	// MaxPromptTokens and MaxOutputTokens bound the tokens of the prompt and of the answer.
	MaxPromptTokens = 1 << 24
	MaxOutputTokens = 1 << 24
	// MaxDeadline bounds the time that a caller waits.
	MaxDeadline = time.Hour
)

// CallFields holds the header fields of a caller's request that the scheduler
// uses.
type CallFields struct {
	// ID identifies one attempt by the caller.
	ID string
	// Key is the caller's key in plain text.
	Key string
	// Deadline is the time that the caller waits, from the arrival of the request;
	// zero if the caller does not specify it.
	Deadline time.Duration
	// Counted is set if the caller specifies Prompt and Output.
	Counted bool
	// Prompt is the number of prompt tokens, Output the maximum number of
	// generated tokens.
	Prompt, Output int
	// Expected is the expected number of generated tokens, zero when the caller does not
	// state it. It is right in the median and often far off.
	Expected int
	// SharedParts identifies the parts of the prompt that other prompts may have too,
	// in order. Equal parts have equal values.
	SharedParts []uint64
	// OutOfRange is the name of a field with a number out of its range, empty if there is
	// none. Such a request must be refused.
	OutOfRange string
}

// Dispatch holds the values that the scheduler adds to a forwarded request.
type Dispatch struct {
	// Endpoint is the ID of the only endpoint that may run the request. Any other
	// endpoint refuses it.
	Endpoint string
	// Organisation is empty when the route is anonymous.
	Organisation string
	// Remaining is the time until the deadline, after which the answer is useless.
	Remaining time.Duration
	// LastEvent is the ID of the last event that the caller has received of the
	// stream. If it is empty, the caller's own header field is forwarded.
	LastEvent string
}

// AnswerFields holds the header fields of an endpoint's answer that the scheduler
// uses.
type AnswerFields struct {
	// ID is the ID of the answered request; empty if the endpoint does not send it.
	ID string
	// NotRun is set if the endpoint has not run the request and never will.
	NotRun bool
	// Notice is what the endpoint says of itself.
	Notice fleet.Notice
	// Load is what it states of its load.
	Load fleet.StatedLoad
}

// Dialect decodes and encodes the header fields that callers, the scheduler and
// endpoints exchange with plain HTTP requests. Implementations are safe for
// concurrent use.
type Dialect interface {
	// Call decodes the header of a caller's request.
	Call(h http.Header) CallFields
	// Forward returns the header of the request to the endpoint: the caller's
	// header without hop-by-hop fields, the caller's key and fields that only the
	// scheduler may set, and with the fields of d.
	Forward(h http.Header, d Dispatch) http.Header
	// Deliver returns the header of an endpoint's answer for the caller: without
	// hop-by-hop fields, but with all that callers need of it.
	Deliver(h http.Header) http.Header
	// Answer decodes the status and header of an endpoint's answer.
	Answer(status int, h http.Header) AnswerFields
}
