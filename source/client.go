// Package source reads the document and the VM list that a configuration service
// publishes in the product's own format, over HTTP.
// Nothing can be written through it. Start from [New].
package source

import (
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
)

const (
	// MaxSize is the largest value in bytes, after decompression.
	MaxSize = 1 << 20
	// DefaultWait is the time that a watch waits for news: one read per 30 s is
	// 0.5 of the 2,000 reads a second when 14 readers watch two values.
	DefaultWait = 30 * time.Second
	// margin is the time that a read may take beyond its wait. The platform
	// answers in milliseconds; a connection that went silent must not hold a
	// change for long, since it has to be in force everywhere within 9 s.
	margin = 2 * time.Second
	// maxDetail bounds the text of an error answer that is kept, in bytes.
	maxDetail = 200
)

// StatusError says that the platform answered with a status that gives no
// value: 429 above its read rate, 503 when the value is absent.
type StatusError struct {
	// Kind is the value that was read: document or vms.
	Kind string
	// Status is the HTTP status.
	Status int
	// RetryAfter is the time that the platform asks to wait; zero when unsaid.
	RetryAfter time.Duration
	// Detail is the start of the answer's body.
	Detail string
}

// Error implements error.
func (e *StatusError) Error() string {
	return fmt.Sprintf("platform answered status %d for %s: %s", e.Status, e.Kind, e.Detail)
}

// OlderError says that the platform answered with a value that is not newer
// than the one asked for, as a stale replica does.
type OlderError struct {
	// Kind is the value that was read: document or vms.
	Kind string
	// After is the version that was held, Got the one that was served.
	After, Got uint64
}

// Error implements error.
func (e *OlderError) Error() string {
	return fmt.Sprintf("platform served version %d of %s where one after %d was asked for", e.Got, e.Kind, e.After)
}

// SizeError says that a value exceeds MaxSize.
type SizeError struct {
	// Kind is the value that was read: document or vms.
	Kind string
}

// Error implements error.
func (e *SizeError) Error() string {
	return fmt.Sprintf("%s exceeds the limit of %d bytes", e.Kind, MaxSize)
}

// Client implements damasktrail.Source. It is immutable and safe for use by
// several goroutines.
type Client struct {
	base   string
	client *http.Client
	wait   time.Duration
}

var _ damasktrail.Source = (*Client)(nil)

// New returns a client of the platform at base, such as "http://10.0.0.1:8500".
// The client's own timeout, if any, must exceed the wait of a watch.
func New(base string, client *http.Client) *Client {
	return &Client{base: base, client: client, wait: DefaultWait}
}

// WithWait returns a copy whose watches wait for d, DefaultWait at first. A
// call ends 2 s after that at the latest.
func (c *Client) WithWait(d time.Duration) *Client {
	res := *c
	res.wait = d
	return &res
}

// Document implements damasktrail.Source. Besides the errors said there it
// returns [*StatusError], [*OlderError], [*SizeError] and those of the
// connection.
func (c *Client) Document(ctx context.Context, after uint64) (damasktrail.Value, error) {
	return c.read(ctx, "document", after)
}

// VMs implements damasktrail.Source, with the errors of Document.
func (c *Client) VMs(ctx context.Context, after uint64) (damasktrail.Value, error) {
	return c.read(ctx, "vms", after)
}

func (c *Client) read(ctx context.Context, kind string, after uint64) (res damasktrail.Value, err error) {
	defer func() {
		if err != nil && !errors.Is(err, damasktrail.ErrUnchanged) {
			err = fmt.Errorf("read %s from the platform: %w", kind, err)
		}
	}()
	ctx, cancel := context.WithTimeout(ctx, c.wait+margin)
	defer cancel()
	query := url.Values{"after": {strconv.FormatUint(after, 10)}, "wait": {c.wait.String()}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/v1/"+kind+"?"+query.Encode(), nil)
	if err != nil {
		return res, err
	}
	// Set here, so that a client whose transport has compression off uses it too.
	request.Header.Set("Accept-Encoding", "gzip")
	answer, err := c.client.Do(request)
	if err != nil {
		return res, err
	}
	defer func() { _ = answer.Body.Close() }()
	switch answer.StatusCode {
	case http.StatusOK:
	case http.StatusNotModified:
		return res, damasktrail.ErrUnchanged
	default:
		return res, newStatusError(kind, answer)
	}
	res.Version, err = strconv.ParseUint(answer.Header.Get("Generation"), 10, 64)
	if err != nil {
		return damasktrail.Value{}, fmt.Errorf("read the header Generation: %w", err)
	}
	if res.Version <= after {
		return damasktrail.Value{}, &OlderError{Kind: kind, After: after, Got: res.Version}
	}
	res.Data, err = body(kind, answer)
	if err != nil {
		return damasktrail.Value{}, err
	}
	return res, nil
}

// body reads one byte more than allowed, to tell a value of MaxSize from a
// longer one.
func body(kind string, answer *http.Response) ([]byte, error) {
	var reader io.Reader = answer.Body
	if answer.Header.Get("Content-Encoding") == "gzip" {
		z, err := gzip.NewReader(answer.Body)
		if err != nil {
			return nil, err
		}
		reader = z
	}
	res, err := io.ReadAll(io.LimitReader(reader, MaxSize+1))
	if err != nil {
		return nil, err
	}
	if len(res) > MaxSize {
		return nil, &SizeError{Kind: kind}
	}
	return res, nil
}

func newStatusError(kind string, answer *http.Response) *StatusError {
	detail, _ := io.ReadAll(io.LimitReader(answer.Body, maxDetail))
	res := &StatusError{Kind: kind, Status: answer.StatusCode, Detail: string(detail)}
	if seconds, err := strconv.Atoi(answer.Header.Get("Retry-After")); err == nil && seconds > 0 {
		res.RetryAfter = time.Duration(seconds) * time.Second
	}
	return res
}
