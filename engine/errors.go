package engine

import (
	"errors"
	"fmt"
	"time"

	"damasktrail.dev"
)

var (
	errNoLength  = errors.New("answer has neither a length nor chunks")
	errGap       = errors.New("events are missing in the resumed stream")
	errClosed    = errors.New("answer is closed")
	errNoEventID = errors.New("stream has no event ids to resume after")
)

// DispatchError says that no byte of a call reached the endpoint. It wraps
// [damasktrail.ErrNotDispatched] and the cause.
type DispatchError struct {
	// ID is that of the call.
	ID string
	// Err is the cause, such as a refused connection.
	Err error
}

// Error implements error.
func (e *DispatchError) Error() string {
	return fmt.Sprintf("call %s was not dispatched: %v", e.ID, e.Err)
}

// Unwrap returns the mark and the cause.
func (e *DispatchError) Unwrap() []error {
	return []error{damasktrail.ErrNotDispatched, e.Err}
}

// LostError says that an answer broke off and could not be resumed. The call may
// have run in part or whole.
type LostError struct {
	// ID is that of the call.
	ID string
	// Events is the id of the last event that was delivered, zero when none.
	Events uint64
	// Err is why the answer broke off or could not be resumed.
	Err error
}

// Error implements error.
func (e *LostError) Error() string {
	return fmt.Sprintf("answer to call %s was lost after event %d: %v", e.ID, e.Events, e.Err)
}

// Unwrap returns the cause.
func (e *LostError) Unwrap() error { return e.Err }

// CrashedError says that an answer broke off and that the endpoint then refused
// new connections. The call may have run in part.
type CrashedError struct {
	// ID is that of the call.
	ID string
	// Events is the id of the last event that was delivered, zero when none.
	Events uint64
	// Err is why the answer broke off.
	Err error
}

// Error implements error.
func (e *CrashedError) Error() string {
	return fmt.Sprintf("endpoint crashed during call %s after event %d: %v", e.ID, e.Events, e.Err)
}

// Unwrap returns the mark and the cause.
func (e *CrashedError) Unwrap() []error { return []error{damasktrail.ErrCrashed, e.Err} }

// StatusError is an unexpected HTTP status of the endpoint.
type StatusError struct {
	// Method and Path are those of the request.
	Method, Path string
	// Status is the HTTP status of the answer.
	Status int
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("%s %s: endpoint answered status %d", e.Method, e.Path, e.Status)
}

// SilenceError says that a connection sent nothing for too long.
type SilenceError struct {
	// Limit is the time that was exceeded.
	Limit time.Duration
}

// Error implements error.
func (e *SilenceError) Error() string {
	return fmt.Sprintf("connection sent nothing for %v", e.Limit)
}

// LimitError says that an answer exceeded a size limit.
type LimitError struct {
	// Part is body or event.
	Part string
	// Limit is the limit in bytes.
	Limit int64
}

// Error implements error.
func (e *LimitError) Error() string {
	return fmt.Sprintf("%s of the answer exceeds %d bytes", e.Part, e.Limit)
}
