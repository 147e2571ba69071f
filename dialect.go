package damasktrail

import (
	"net/http"
	"time"
)

// CallFields is what the header of a caller's request says to the scheduler.
type CallFields struct {
	// ID identifies one attempt of the caller.
	ID string
	// Key is the caller's key in plain text.
	Key string
	// Deadline is how long the caller waits from the arrival of the request; zero
	// when it does not say.
	Deadline time.Duration
	// Counted says that Prompt and Output are given.
	Counted bool
	// Prompt is the number of prompt tokens, Output the greatest number of
	// generated tokens.
	Prompt, Output int
}

// Dispatch is what the scheduler adds to a request that it sends on.
type Dispatch struct {
	// Endpoint is the ID of the endpoint that may run it. Any other refuses.
	Endpoint string
	// Organisation is empty when the route is anonymous.
	Organisation string
	// Left is the time until the answer is useless.
	Left time.Duration
	// LastEvent is the last event of the stream that the caller has, empty when
	// the scheduler adds none to what the caller sent.
	LastEvent string
}

// AnswerFields is what the header of an endpoint's answer says to the scheduler.
type AnswerFields struct {
	// ID is that of the request that is answered; empty when it is unsaid.
	ID string
	// NotRun says that the endpoint did not run the request and never will.
	NotRun bool
}

// Dialect reads and writes the header fields in which callers, scheduler and
// endpoints speak of a plain HTTP request. Implementations are safe for use by
// several goroutines.
type Dialect interface {
	// Call reads a caller's header.
	Call(h http.Header) CallFields
	// Forward returns the header of the request to the endpoint: that of the
	// caller without the fields of one connection, the caller's key and all that
	// only the scheduler may set.
	Forward(h http.Header, d Dispatch) http.Header
	// Answer reads the header of an endpoint's answer.
	Answer(status int, h http.Header) AnswerFields
}
