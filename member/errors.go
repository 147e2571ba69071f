package member

import (
	"fmt"

	"damasktrail.dev/internal/revision"
	"damasktrail.dev/internal/strict"
)

// Problem is one fault of a list, with its path.
type Problem = strict.Problem

// InvalidError says that a list is refused whole.
type InvalidError struct {
	// Problems has 1 to 100 entries in the order in which they were found.
	Problems []Problem
	// Omitted counts the problems beyond these.
	Omitted int
}

// Error implements error with the first problem and the number of the others.
func (e *InvalidError) Error() string {
	return "VM list is invalid: " + (&strict.Problems{List: e.Problems, Omitted: e.Omitted}).String()
}

// OperationError says that an operation of a difference cannot be applied.
type OperationError struct {
	// Index is the operation's place in the difference.
	Index int
	// Name is that of the VM.
	Name string
	// Message says what is wrong.
	Message string
}

// Error implements error.
func (e *OperationError) Error() string {
	return fmt.Sprintf("operations[%d]: VM %q: %s", e.Index, e.Name, e.Message)
}

type (
	// OlderError says that an offered list is older than the one in force.
	OlderError = revision.OlderError
	// ConflictError says that an offered list has the number of the one in force and
	// other content.
	ConflictError = revision.ConflictError
	// FromError says that a difference starts from another list.
	FromError = revision.FromError
	// DigestError says that a difference led to other content than it announced.
	DigestError = revision.DigestError
	// SizeError says that an encoding exceeds MaxSize.
	SizeError = revision.SizeError
)
