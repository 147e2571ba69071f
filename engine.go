package damasktrail

import (
	"context"
	"time"
)

// Call is one request to an endpoint.
type Call struct {
	// ID identifies the request at the endpoint, for resumption and cancellation.
	ID string
	// Method and Path are the method and path of the HTTP request. Path starts
	// with a slash.
	Method, Path string
	// Type is the content type of Body.
	Type string
	// Body is sent unchanged.
	Body []byte
	// Stream is set if the answer is a server-sent event stream that ends with the
	// event [DONE].
	Stream bool
	// IdleTimeout is the time that an answer in one piece may send no data before
	// the call fails. A slow answer cannot be distinguished from a silent
	// connection. If it is zero, the implementation's own limit applies.
	IdleTimeout time.Duration
}

// Head holds the properties of an answer that are known before its body.
type Head struct {
	// Status is the HTTP status of the endpoint's answer.
	Status int
	// Type is the content type of the answer.
	Type string
}

// Usage holds the token counts of one answer as reported by the endpoint; both are
// zero if it reports none.
type Usage struct {
	// Prefill is the number of prompt tokens processed.
	Prefill int
	// Decode is the number of tokens generated.
	Decode int
}

// Answer is an answer in progress. It is not safe for concurrent use.
type Answer interface {
	// Head returns the status and content type.
	Head() Head
	// Next returns the next part of the body. It returns [io.EOF] only after the
	// whole answer has been received, and another error if the answer is truncated.
	// The slice is valid until the next call.
	Next() ([]byte, error)
	// Usage returns the token counts seen so far.
	Usage() Usage
	// Close releases the answer and cancels the request at the endpoint if the
	// answer is incomplete.
	Close() error
}

// EngineLoad is the load that an endpoint reports. It may be stale.
type EngineLoad struct {
	// Running and Waiting are the numbers of requests that the endpoint runs and
	// queues.
	Running, Waiting int
	// Age is the time since the endpoint measured its load.
	Age time.Duration
}

// Order instructs an endpoint to load a model version with adapters and to assume
// a role. It is a pure function of a document and the endpoint's name.
type Order struct {
	// Fence is the fencing token: the generation of the document from which the
	// order is derived. Orders with equal fences are equal.
	Fence uint64
	// Model, Version and Adapters name what the endpoint must load.
	Model, Version string
	Adapters       []string
	// Role is both, prefill or decode.
	Role string
}

// Engine is the one endpoint that an agent serves. Implementations are safe for
// concurrent use and never repeat a call.
type Engine interface {
	// Run dispatches the call once. The error wraps [ErrNotDispatched] if the
	// endpoint cannot have received the call.
	Run(ctx context.Context, c Call) (Answer, error)
	// Load returns the endpoint's latest report.
	Load(ctx context.Context) (EngineLoad, error)
	// Order sends an order. If the endpoint refuses it because of an old fence, the
	// error is an [*OldFenceError].
	Order(ctx context.Context, o Order) error
	// Healthy checks on a new connection whether the endpoint answers.
	Healthy(ctx context.Context) error
}
