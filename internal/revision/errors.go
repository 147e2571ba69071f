package revision

import (
	"crypto/sha256"
	"fmt"
)

// OlderError reports an offered value that is older than the value in force.
type OlderError struct {
	// Kind names the number, such as "generation".
	Kind string
	// Offered and Held are the numbers of the offered value and of the value in
	// force. Offered is less than Held.
	Offered, Held uint64
}

// Error implements error.
func (e *OlderError) Error() string {
	return fmt.Sprintf("%s %d is older than %s %d in force", e.Kind, e.Offered, e.Kind, e.Held)
}

// ConflictError reports an offered value that has the number of the value in force
// but different content.
type ConflictError struct {
	// Kind names the number, such as "generation".
	Kind string
	// Number is the number of both values.
	Number uint64
	// Offered and Held are the digests of the offered value and of the value in
	// force. They differ.
	Offered, Held [sha256.Size]byte
}

// Error implements error.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s %d has digest %x in force and digest %x in the offered value", e.Kind, e.Number, e.Held[:8], e.Offered[:8])
}

// FromError reports a difference that does not start from the value to which it is
// applied.
type FromError struct {
	// ValueName names the type of the value, such as "document", and Kind its number, such
	// as "generation".
	ValueName, Kind string
	// From is the number from which the difference starts, Held that of the value.
	// They differ.
	From, Held uint64
}

// Error implements error.
func (e *FromError) Error() string {
	return fmt.Sprintf("difference starts from %s %d, %s has %s %d", e.Kind, e.From, e.ValueName, e.Kind, e.Held)
}

// DigestError reports a difference whose result does not have the digest that the
// difference announces.
type DigestError struct {
	// Kind names the number, such as "generation".
	Kind string
	// Number is the number of the result.
	Number uint64
	// Want is the announced digest, Got the digest of the result. They differ.
	Want, Got [sha256.Size]byte
}

// Error implements error.
func (e *DigestError) Error() string {
	return fmt.Sprintf("difference to %s %d gives digest %x, it announced %x", e.Kind, e.Number, e.Got[:8], e.Want[:8])
}

// SizeError reports an encoding that is too large.
type SizeError struct {
	// Size and Limit are in bytes. Size is greater than Limit.
	Size, Limit int
}

// Error implements error.
func (e *SizeError) Error() string {
	return fmt.Sprintf("%d bytes exceed the limit of %d", e.Size, e.Limit)
}
