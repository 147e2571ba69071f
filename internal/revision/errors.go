package revision

import (
	"crypto/sha256"
	"fmt"
)

// OlderError says that an offered value is older than the one in force.
type OlderError struct {
	Kind string
	// Offered and Held are numbers; Offered is lower.
	Offered, Held uint64
}

// Error implements error.
func (e *OlderError) Error() string {
	return fmt.Sprintf("%s %d is older than %s %d in force", e.Kind, e.Offered, e.Kind, e.Held)
}

// ConflictError says that an offered value has the number of the one in force and
// other content.
type ConflictError struct {
	Kind string
	// Number is that of both values.
	Number uint64
	// Offered and Held are their digests.
	Offered, Held [sha256.Size]byte
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s %d has digest %x in force and digest %x in the offered value", e.Kind, e.Number, e.Held[:8], e.Offered[:8])
}

// FromError says that a difference starts from another value.
type FromError struct {
	// Noun names the value, Kind its number.
	Noun, Kind string
	// From is the start of the difference, Held the number of the value.
	From, Held uint64
}

// Error implements error.
func (e *FromError) Error() string {
	return fmt.Sprintf("difference starts from %s %d, %s has %s %d", e.Kind, e.From, e.Noun, e.Kind, e.Held)
}

// DigestError says that a difference led to other content than it announced.
type DigestError struct {
	Kind string
	// Number is that of the result.
	Number uint64
	// Want is the announced digest, Got that of the result.
	Want, Got [sha256.Size]byte
}

// Error implements error.
func (e *DigestError) Error() string {
	return fmt.Sprintf("difference to %s %d gives digest %x, it announced %x", e.Kind, e.Number, e.Got[:8], e.Want[:8])
}

// SizeError says that an encoding is too large.
type SizeError struct {
	// Size is in bytes, greater than Limit.
	Size, Limit int
}

// Error implements error.
func (e *SizeError) Error() string {
	return fmt.Sprintf("%d bytes exceed the limit of %d", e.Size, e.Limit)
}
