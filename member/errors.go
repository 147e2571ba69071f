package member

import (
	"crypto/sha256"
	"fmt"

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

// OlderError says that an offered list is older than the one in force.
type OlderError struct {
	// Offered and Held are versions; Offered is lower.
	Offered, Held uint64
}

// Error implements error.
func (e *OlderError) Error() string {
	return fmt.Sprintf("VM list version %d is older than version %d in force", e.Offered, e.Held)
}

// ConflictError says that an offered list has the version of the one in force
// and other content.
type ConflictError struct {
	// Version is that of both lists.
	Version uint64
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("VM list version %d was offered with other content than that in force", e.Version)
}

// FromError says that a difference starts from another version.
type FromError struct {
	// From is the start of the difference, Held the list's version.
	From, Held uint64
}

// Error implements error.
func (e *FromError) Error() string {
	return fmt.Sprintf("difference starts from version %d, VM list has version %d", e.From, e.Held)
}

// DigestError says that a difference led to other content than it announced.
type DigestError struct {
	// Version is that of the result.
	Version uint64
	// Want is the announced digest, Got that of the result.
	Want, Got [sha256.Size]byte
}

// Error implements error.
func (e *DigestError) Error() string {
	return fmt.Sprintf("difference to version %d gives digest %x, it announced %x",
		e.Version, e.Got[:8], e.Want[:8])
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

// SizeError says that an encoding is too large.
type SizeError struct {
	// Size is in bytes; MaxSize is the limit.
	Size int
}

// Error implements error.
func (e *SizeError) Error() string {
	return fmt.Sprintf("%d bytes exceed the limit of %d", e.Size, MaxSize)
}
