package damasktrail

import (
	"context"
	"time"
)

// Call is one request to an endpoint.
type Call struct {
	// ID identifies the request at the endpoint, for resume and cancel.
	ID string
	// Method and Path are those of the HTTP request. Path starts with a slash.
	Method, Path string
	// Type is the content type of Body.
	Type string
	// Body is sent unchanged.
	Body []byte
	// Stream says that the answer is a server-sent event stream that ends with
	// the event [DONE].
	Stream bool
	// Patience is how long an answer in one piece may send nothing before it is
	// given up. It cannot be told from an answer on a silent connection. Zero
	// leaves it to the implementation.
	Patience time.Duration
}

// Head describes an answer before its first byte.
type Head struct {
	// Status is the HTTP status of the endpoint's answer.
	Status int
	// Type is the content type of the answer.
	Type string
}

// Usage counts the tokens of one answer as the endpoint reports them; both are
// zero when it reports none.
type Usage struct {
	// Prefill is the number of prompt tokens processed.
	Prefill int
	// Decode is the number of tokens generated.
	Decode int
}

// Answer is an answer in progress. It is used by one goroutine.
type Answer interface {
	// Head returns the status and type.
	Head() Head
	// Next returns the next part of the body. It returns [io.EOF] only after the
	// whole answer was received; a cut answer returns another error. The slice
	// is valid until the following call.
	Next() ([]byte, error)
	// Usage returns the token counts seen so far.
	Usage() Usage
	// Close releases the answer and cancels it at the endpoint when unfinished.
	Close() error
}

// EngineLoad is what an endpoint reports of itself. It may be old.
type EngineLoad struct {
	// Running and Waiting count requests inside the endpoint.
	Running, Waiting int
	// Age is the time since the endpoint took the reading.
	Age time.Duration
}

// Order asks an endpoint to hold a model, adapters and version, and to play a
// role. It is a pure function of a document and the endpoint's name.
type Order struct {
	// Fence is the generation of the document that the order comes from. Orders
	// with an equal fence are equal.
	Fence uint64
	// Model, Version and Adapters name what the endpoint holds.
	Model, Version string
	Adapters       []string
	// Role is both, prefill or decode.
	Role string
}

// Engine is the one endpoint that an agent serves. Implementations are safe for
// use by several goroutines and never repeat a call.
type Engine interface {
	// Run dispatches the call once. An error wraps [ErrNotDispatched] when the
	// endpoint cannot have received it.
	Run(ctx context.Context, c Call) (Answer, error)
	// Load returns the endpoint's latest report.
	Load(ctx context.Context) (EngineLoad, error)
	// Order gives an order. A refusal for an old fence is an [*OldFenceError].
	Order(ctx context.Context, o Order) error
	// Healthy reports on a fresh connection whether the endpoint answers.
	Healthy(ctx context.Context) error
}
