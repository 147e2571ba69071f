package damasktrail

import (
	"context"
	"errors"
)

// ErrUnchanged is returned by a [Source] or [Directory] if a watch ends without a
// newer value.
var ErrUnchanged = errors.New("value is unchanged")

// Value is one version of a published value.
type Value struct {
	// Version increases with each publication; for a document it is the generation.
	Version uint64
	// Data is the value as published, at most 1 MB.
	Data []byte
}

// Source provides read-only access to the values that the platform publishes. Each
// call counts against the platform's limit on the read rate.
type Source interface {
	// Document waits for a document newer than the version after and returns it.
	// It returns [ErrUnchanged] if the watch ends without one.
	Document(ctx context.Context, after uint64) (Value, error)
	// VMs waits for a VM list newer than the version after and returns it.
	// It returns [ErrUnchanged] if the watch ends without one.
	VMs(ctx context.Context, after uint64) (Value, error)
}
