package engine

import (
	"errors"
	"fmt"
	"time"

	"damasktrail.dev"
)

var (
	errNoLength      = errors.New("answer has neither a Content-Length nor chunked encoding")
	errMissingEvents = errors.New("events are missing from the stream")
	errClosed        = errors.New("answer is closed")
	errNoEventID     = errors.New("stream cannot be resumed because it has no event ids")
)

// DispatchError reports that no byte of a call reached the endpoint. It wraps
// [damasktrail.ErrNotDispatched] and the cause.
type DispatchError struct {
	// ID is the ID of the call.
	ID string
	// Err is the cause, such as a refused connection.
	Err error
}

// Error implements error.
func (e *DispatchError) Error() string {
	return fmt.Sprintf("call %s was not dispatched: %v", e.ID, e.Err)
}

// Unwrap returns [damasktrail.ErrNotDispatched] and the cause.
func (e *DispatchError) Unwrap() []error {
	return []error{damasktrail.ErrNotDispatched, e.Err}
}

// LostError reports an answer that ended early and could not be resumed. The call
// may have run partly or completely.
type LostError struct {
	// ID is the ID of the call.
	ID string
	// LastEventID is the id of the last delivered event; zero when there is none.
	LastEventID uint64
	// Err is the reason why the answer ended early or could not be resumed.
	Err error
}

// Error implements error.
func (e *LostError) Error() string {
	return fmt.Sprintf("answer to call %s was lost after event %d: %v", e.ID, e.LastEventID, e.Err)
}

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Err }

// CrashedError reports an answer that ended early and whose endpoint then refused
// new connections. The call may have run partly. It wraps
// [damasktrail.ErrCrashed] and the cause.
type CrashedError struct {
	// ID is the ID of the call.
	ID string
	// LastEventID is the id of the last delivered event; zero when there is none.
	LastEventID uint64
	// Err is the reason why the answer ended early.
	Err error
}

// Error implements error.
func (e *CrashedError) Error() string {
	return fmt.Sprintf("endpoint crashed during call %s after event %d: %v", e.ID, e.LastEventID, e.Err)
}

// Unwrap returns [damasktrail.ErrCrashed] and the cause.
func (e *CrashedError) Unwrap() []error { return []error{damasktrail.ErrCrashed, e.Err} }

// StatusError reports an unexpected HTTP status of the endpoint.
type StatusError struct {
	// Method and Path are the method and path of the request.
	Method, Path string
	// Status is the HTTP status of the answer.
	Status int
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s %s: endpoint answered status %d", e.Method, e.Path, e.Status)
}

// SilenceError reports a connection that sent nothing, or no complete event of a stream,
// for too long.
type SilenceError struct {
	// Limit is the timeout that was exceeded.
	Limit time.Duration
}

// Error implements error.
func (e *SilenceError) Error() string {
	return fmt.Sprintf("connection sent nothing complete for %v", e.Limit)
}

// StallError reports an answer that came no further for too long, although its connection
// was not silent.
type StallError struct {
	// Limit is the timeout that was exceeded.
	Limit time.Duration
}

// Error implements error.
func (e *StallError) Error() string {
	return fmt.Sprintf("answer made no progress for %v", e.Limit)
}

// LimitError reports an answer that exceeds a size limit.
type LimitError struct {
	// Part is the part that exceeds the limit, "body" or "event".
	Part string
	// Limit is the limit in bytes.
	Limit int64
}

// Error implements error.
func (e *LimitError) Error() string {
	return fmt.Sprintf("%s of the answer exceeds %d bytes", e.Part, e.Limit)
}
