// Package progress reads answers that may take long to arrive, as on a narrow or busy
// link, but must not stall. Start from [Limit].
package progress

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"damasktrail.dev"
)

var (
	// ErrStalled reports an answer that makes too little progress. It is a
	// [context.DeadlineExceeded].
	ErrStalled = fmt.Errorf("answer stalled: %w", context.DeadlineExceeded)
	// ErrTooLong reports an answer of more bytes than the limit.
	ErrTooLong = errors.New("answer is too long")
)

// Limit bounds how an answer may arrive. It is immutable.
type Limit struct {
	// Interval is the time in which MinBytes, or the end of the answer, must arrive.
	Interval time.Duration
	// MinBytes is at least 1.
	MinBytes int64
	// MaxBytes is the largest size of an answer.
	MaxBytes int64
}

// ReadAll reads the answer to its end. It calls began, unless that is nil, once its
// first bytes have arrived. It calls abort when the answer stalls; abort must end
// reads of the answer. When ReadAll fails, it also returns what has arrived.
func (l Limit) ReadAll(clock damasktrail.Clock, answer io.Reader, began func(), abort func(error)) ([]byte, error) {
	c := &counter{source: answer, began: began}
	stalled := false
	before := int64(0)
	cancel := clock.Subscribe(l.Interval, func(time.Time) {
		count := c.count.Load()
		if count-before < l.MinBytes && !stalled {
			stalled = true
			abort(ErrStalled)
		}
		before = count
	})
	defer cancel()
	res, err := io.ReadAll(io.LimitReader(c, l.MaxBytes+1))
	if err == nil && int64(len(res)) > l.MaxBytes {
		err = ErrTooLong
	}
	return res, err
}

// counter counts the bytes that are read from source.
type counter struct {
	source io.Reader
	count  atomic.Int64
	// began is nil after its call.
	began func()
}

// Read implements io.Reader.
func (c *counter) Read(p []byte) (int, error) {
	n, err := c.source.Read(p)
	c.count.Add(int64(n))
	if n > 0 && c.began != nil {
		c.began()
		c.began = nil
	}
	return n, err
}
