package document

import (
	"crypto/sha256"
	"fmt"

	"damasktrail.dev/internal/strict"
)

// Problem is one fault of a document, with its path.
type Problem = strict.Problem

// InvalidError says that a document is refused whole.
type InvalidError struct {
	// Problems has 1 to 100 entries in the order in which they were found.
	Problems []Problem
	// Omitted counts the problems beyond these.
	Omitted int
}

// Error implements error with the first problem and the number of the others.
func (e *InvalidError) Error() string {
	return "document is invalid: " + (&strict.Problems{List: e.Problems, Omitted: e.Omitted}).String()
}

// OlderError says that an offered document is older than the one in force.
type OlderError struct {
	// Offered and Held are generations; Offered is lower.
	Offered, Held uint64
}

// Error implements error.
func (e *OlderError) Error() string {
	return fmt.Sprintf("generation %d is older than generation %d in force", e.Offered, e.Held)
}

// ConflictError says that an offered document has the generation of the one in
// force and other content.
type ConflictError struct {
	// Generation is that of both documents.
	Generation uint64
	// Offered and Held are their digests.
	Offered, Held [sha256.Size]byte
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("generation %d has digest %x in force and digest %x in the offered document",
		e.Generation, e.Held[:8], e.Offered[:8])
}

// FromError says that a difference starts from another generation.
type FromError struct {
	// From is the start of the difference, Held the document's generation.
	From, Held uint64
}

// Error implements error.
func (e *FromError) Error() string {
	return fmt.Sprintf("difference starts from generation %d, document has generation %d", e.From, e.Held)
}

// DigestError says that a difference led to other content than it announced.
type DigestError struct {
	// Generation is that of the result.
	Generation uint64
	// Want is the announced digest, Got that of the result.
	Want, Got [sha256.Size]byte
}

// Error implements error.
func (e *DigestError) Error() string {
	return fmt.Sprintf("difference to generation %d gives digest %x, it announced %x",
		e.Generation, e.Got[:8], e.Want[:8])
}

// OperationError says that an operation of a difference cannot be applied.
type OperationError struct {
	// Index is the operation's place in the difference.
	Index int
	// Section and Name are those of the operation.
	Section, Name string
	// Message says what is wrong.
	Message string
}

// Error implements error.
func (e *OperationError) Error() string {
	return fmt.Sprintf("operations[%d]: %s %q: %s", e.Index, e.Section, e.Name, e.Message)
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
