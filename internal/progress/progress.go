// Package progress reads answers over HTTP that may take long to arrive, as on a narrow
// or busy link, but must not stall. Start from [Call].
package progress

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
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

// Limit bounds how an answer may arrive. There is no bound on the time for all of it.
type Limit struct {
	// Head is the longest time from the request to the head of the answer.
	Head time.Duration
	// Interval is the time in which MinBytes of the body, or its end, must arrive.
	Interval time.Duration
	// MinBytes is at least 1.
	MinBytes int64
	// MaxBytes is the largest size of the body.
	MaxBytes int64
}

// Answer is the answer to a call.
type Answer struct {
	Status int
	Header http.Header
	// Body is what has arrived, which is the whole body unless the call failed.
	Body []byte
	// Took is the time from the head of the answer to the end of what has arrived.
	Took time.Duration
}

// Call sends requests. It is immutable and safe for concurrent use.
type Call struct {
	Client *http.Client
	Clock  damasktrail.Clock
	Limit  Limit
	// Began is called once the first bytes of the body have arrived, unless it is nil.
	Began func()
}

// Get sends a GET request and reads the answer to its end. It returns
// [context.DeadlineExceeded] if the head is late, [ErrStalled], [ErrTooLong], the cause
// with which ctx ends, or an error of the connection.
func (c Call) Get(ctx context.Context, url string, header http.Header) (res Answer, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	defer func() {
		if err != nil {
			err = cmp.Or(context.Cause(ctx), err)
		}
	}()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return res, err
	}
	maps.Copy(request.Header, header)
	stop := c.Clock.Schedule(c.Limit.Head, func(time.Time) { cancel(context.DeadlineExceeded) })
	response, err := c.Client.Do(request)
	stop()
	if err != nil {
		return res, err
	}
	defer func() { _ = response.Body.Close() }()
	res.Status, res.Header = response.StatusCode, response.Header
	if response.ContentLength > c.Limit.MaxBytes {
		return res, ErrTooLong
	}
	head := c.Clock.Now()
	res.Body, err = c.readBody(response.Body, cancel)
	res.Took = c.Clock.Now().Sub(head)
	return res, err
}

// readBody reads the body and calls abort when it stalls.
func (c Call) readBody(body io.Reader, abort func(error)) ([]byte, error) {
	r := &countingReader{source: body, began: c.Began}
	before := int64(0)
	cancel := c.Clock.Subscribe(c.Limit.Interval, func(time.Time) {
		count := r.count.Load()
		if count-before < c.Limit.MinBytes {
			abort(ErrStalled)
		}
		before = count
	})
	defer cancel()
	res, err := io.ReadAll(io.LimitReader(r, c.Limit.MaxBytes+1))
	if err == nil && int64(len(res)) > c.Limit.MaxBytes {
		err = ErrTooLong
	}
	return res, err
}

// countingReader counts the bytes that are read from source.
type countingReader struct {
	source io.Reader
	count  atomic.Int64
	// began is nil after its call.
	began func()
}

// Read implements io.Reader.
func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.source.Read(p)
	r.count.Add(int64(n))
	if n > 0 && r.began != nil {
		r.began()
		r.began = nil
	}
	return n, err
}
