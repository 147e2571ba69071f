package member

import (
	"fmt"

	"damasktrail.dev/internal/revision"
	"damasktrail.dev/internal/strict"
)

// Problem is one validation failure in a list, with its path.
type Problem = strict.Problem

// InvalidError reports that a list failed validation and is rejected as a whole.
type InvalidError struct {
	// Problems has 1 to 100 entries in the order of detection.
	Problems []Problem
	// Omitted is the number of further problems.
	Omitted int
}

// Error returns the first problem and the number of the others.
func (e *InvalidError) Error() string {
	return "VM list is invalid: " + (&strict.Problems{List: e.Problems, Omitted: e.Omitted}).String()
}

// OperationError reports that an operation of a difference cannot be applied.
type OperationError struct {
	// Index is the position of the operation in the difference.
	Index int
	// Name is the name of the VM.
	Name string
	// Message describes the fault.
	Message string
}

// Error implements error.
func (e *OperationError) Error() string {
	return fmt.Sprintf("operations[%d]: VM %q: %s", e.Index, e.Name, e.Message)
}

type (
	// OlderError reports that an offered list is older than the one in force.
	OlderError = revision.OlderError
	// ConflictError reports that an offered list has the same version as the one
	// in force but different content.
	ConflictError = revision.ConflictError
	// FromError reports that a difference starts from a different list.
	FromError = revision.FromError
	// DigestError reports that the result of a difference does not have the digest
	// that the difference announced.
	DigestError = revision.DigestError
	// SizeError reports that an encoding exceeds MaxBytes.
	SizeError = revision.SizeError
)
