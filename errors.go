package damasktrail

import (
	"errors"
	"fmt"
)

// ErrNotDispatched marks a call of which no byte reached the endpoint.
var ErrNotDispatched = errors.New("call was not dispatched")

// OldFenceError says that an endpoint refused an order.
type OldFenceError struct {
	// Sent is the fence of the refused order.
	Sent uint64
	// Held is the highest fence that the endpoint has accepted.
	Held uint64
}

// Error implements error.
func (e *OldFenceError) Error() string {
	return fmt.Sprintf("endpoint refused fence %d, it holds %d", e.Sent, e.Held)
}

// CrashedError says that the endpoint crashed while it ran a call.
type CrashedError struct {
	// Err is what the connection reported.
	Err error
}

// Error implements error.
func (e *CrashedError) Error() string {
	return fmt.Sprintf("endpoint crashed: %v", e.Err)
}

// Unwrap returns the connection's error.
func (e *CrashedError) Unwrap() error {
	return e.Err
}
