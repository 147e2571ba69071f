// Package source reads the document and the VM list from a configuration service,
// the platform, which publishes them over HTTP in the format of this project. The
// client cannot write. Start from [New].
package source

import (
	"bytes"
	"compress/gzip"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"damasktrail.dev"
	"damasktrail.dev/internal/progress"
)

const (
	// MaxBytes is the largest value in bytes, after decompression.
	MaxBytes = 1 << 20
	// DefaultWait is the time for which the platform holds a read until there is a
	// newer value. With one read per 30 s, 14 readers that watch two values take 0.93
	// of the 2,000 reads a second.
	DefaultWait = 30 * time.Second
	// waitMargin is added to the wait to give the time to the head of an answer. The
	// platform answers within milliseconds. A silent connection must not delay a change
	// for long, since the change has to be in force everywhere within 9 s.
	waitMargin = 2 * time.Second
	// stallTimeout is the time in which minProgressBytes of an answer must arrive. A
	// whole answer has no time limit, since it may come over a narrow or busy link.
	stallTimeout     = 2 * time.Second
	minProgressBytes = 4 << 10
	// maxAnswerBytes bounds an answer as sent. Compression can make a value larger by a
	// few bytes for each block.
	maxAnswerBytes = MaxBytes + 4096
	// maxDetailBytes limits the part of an error response that is kept.
	maxDetailBytes = 200
)

// StatusError reports a response without a value, such as status 429 above the read
// rate of the platform or 503 when the value is absent.
type StatusError struct {
	// Kind is the value that was read: document or vms.
	Kind string
	// Status is the HTTP status code.
	Status int
	// RetryAfter is the value of the header Retry-After, or zero when the header is
	// absent or not a positive number of seconds.
	RetryAfter time.Duration
	// Detail is the start of the response body.
	Detail string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("platform answered status %d for %s: %s", e.Status, e.Kind, e.Detail)
}

// OlderError reports a response with a value that is not newer than the version in
// the request, as a stale replica sends it.
type OlderError struct {
	// Kind is the value that was read: document or vms.
	Kind string
	// After is the version in the request, Got the version of the response. Got is
	// at most After.
	After, Got uint64
}

// Error implements error.
func (e *OlderError) Error() string {
	return fmt.Sprintf("platform served version %d of %s, a version after %d was requested", e.Got, e.Kind, e.After)
}

// SizeError reports a value that exceeds [MaxBytes].
type SizeError struct {
	// Kind is the value that was read: document or vms.
	Kind string
}

// Error implements error.
func (e *SizeError) Error() string {
	return fmt.Sprintf("%s exceeds the limit of %d bytes", e.Kind, MaxBytes)
}

// Client implements [damasktrail.Source] over HTTP. It is immutable and safe for use
// by several goroutines.
type Client struct {
	baseURL    string
	httpClient *http.Client
	clock      damasktrail.Clock
	wait       time.Duration
}

var _ damasktrail.Source = (*Client)(nil)

// New returns a client of the platform at baseURL, such as "http://10.0.0.1:8500".
// The timeout of httpClient, if any, must exceed the wait of a read.
func New(baseURL string, httpClient *http.Client, clock damasktrail.Clock) *Client {
	return &Client{baseURL: baseURL, httpClient: httpClient, clock: clock, wait: DefaultWait}
}

// WithWait returns a copy whose reads wait up to d for a newer value, instead of
// [DefaultWait]. A call ends at the latest 2 s after d, unless its answer is arriving.
func (c *Client) WithWait(d time.Duration) *Client {
	res := *c
	res.wait = d
	return &res
}

// Document implements [damasktrail.Source]. Besides the errors documented there it
// returns [*StatusError], [*OlderError], [*SizeError] and errors of the connection.
func (c *Client) Document(ctx context.Context, after uint64) (damasktrail.Value, error) {
	return c.read(ctx, "document", after)
}

// VMs implements [damasktrail.Source]. It returns the same errors as Document.
func (c *Client) VMs(ctx context.Context, after uint64) (damasktrail.Value, error) {
	return c.read(ctx, "vms", after)
}

func (c *Client) read(ctx context.Context, kind string, after uint64) (res damasktrail.Value, err error) {
	defer func() {
		if err != nil && !errors.Is(err, damasktrail.ErrUnchanged) {
			err = fmt.Errorf("read %s from the platform: %w", kind, err)
		}
	}()
	query := url.Values{"after": {strconv.FormatUint(after, 10)}, "wait": {c.wait.String()}}
	call := progress.Call{
		Client: c.httpClient, Clock: c.clock,
		Limit: progress.Limit{Head: c.wait + waitMargin, Interval: stallTimeout, MinBytes: minProgressBytes, MaxBytes: maxAnswerBytes},
	}
	// The header is set explicitly, so that compression is also used when it is
	// disabled in the transport.
	header := http.Header{"Accept-Encoding": {"gzip"}}
	answer, err := call.Get(ctx, c.baseURL+"/v1/"+kind+"?"+query.Encode(), header)
	switch {
	case errors.Is(err, progress.ErrTooLong):
		return res, &SizeError{Kind: kind}
	case err != nil:
		return res, err
	case answer.Status == http.StatusNotModified:
		return res, damasktrail.ErrUnchanged
	case answer.Status != http.StatusOK:
		return res, newStatusError(kind, answer)
	}
	res.Version, err = strconv.ParseUint(answer.Header.Get("Generation"), 10, 64)
	if err != nil {
		return damasktrail.Value{}, fmt.Errorf("read the header Generation: %w", err)
	}
	if res.Version <= after {
		return damasktrail.Value{}, &OlderError{Kind: kind, After: after, Got: res.Version}
	}
	res.Data, err = decompress(kind, answer)
	if err != nil {
		return damasktrail.Value{}, err
	}
	return res, nil
}

// decompress returns the decompressed body. It reads up to one byte more than MaxBytes,
// to distinguish a value of that size from a larger one.
func decompress(kind string, answer progress.Answer) ([]byte, error) {
	var reader io.Reader = bytes.NewReader(answer.Body)
	if answer.Header.Get("Content-Encoding") == "gzip" {
		z, err := gzip.NewReader(reader)
		if err != nil {
			return nil, err
		}
		reader = z
	}
	res, err := io.ReadAll(io.LimitReader(reader, MaxBytes+1))
	if err != nil {
		return nil, err
	}
	if len(res) > MaxBytes {
		return nil, &SizeError{Kind: kind}
	}
	return res, nil
}

func newStatusError(kind string, answer progress.Answer) *StatusError {
	detail := answer.Body[:min(len(answer.Body), maxDetailBytes)]
	res := &StatusError{Kind: kind, Status: answer.Status, Detail: string(detail)}
	if seconds, err := strconv.Atoi(answer.Header.Get("Retry-After")); err == nil && seconds > 0 {
		res.RetryAfter = time.Duration(seconds) * time.Second
	}
	return res
}
