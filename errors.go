package damasktrail

import (
	"errors"
	"fmt"
)

// ErrNotDispatched marks a call of which no byte has reached the endpoint.
var ErrNotDispatched = errors.New("call was not dispatched")

// ErrCrashed marks a call that failed because the endpoint crashed.
var ErrCrashed = errors.New("endpoint crashed")

// OldFenceError reports that an endpoint refused an order because it has accepted
// one with a higher fence.
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
