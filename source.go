package damasktrail

import (
	"context"
	"errors"
)

// ErrUnchanged is returned by a [Source] when its watch ended without a newer
// value.
var ErrUnchanged = errors.New("value is unchanged")

// Value is one read of a published value.
type Value struct {
	// Version grows with each publication; it is the generation of a document.
	Version uint64
	// Data is the value as published, at most 1 MB.
	Data []byte
}

// Source reads the values that the platform publishes. Nothing can be written
// through it. Each call counts against the platform's read rate.
type Source interface {
	// Document waits for a document newer than after and returns it.
	// It returns [ErrUnchanged] when the watch ends without one.
	Document(ctx context.Context, after uint64) (Value, error)
	// VMs waits for a VM list newer than after and returns it.
	// It returns [ErrUnchanged] when the watch ends without one.
	VMs(ctx context.Context, after uint64) (Value, error)
}
