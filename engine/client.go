// Package engine is the client of the one endpoint that an agent serves, over
// HTTP. It dispatches each call once, resumes streams whose connection breaks or
// goes silent, and tells a lost answer from a crashed endpoint. Start from [New].
package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"syscall"
	"time"

	"damasktrail.dev"
)

// streamHeader names the call at the endpoint for resume and cancel.
const streamHeader = "Stream-Id"

// maxReportBytes limits the answer to a load or order request.
const maxReportBytes = 64 << 10

// Pauses between health checks after a broken answer. A dying process closes its
// connections before its listener, so the first checks can still be accepted and
// then reset.
const (
	crashChecks = 5
	crashPause  = 20 * time.Millisecond
)

// Client implements [damasktrail.Engine] over HTTP. It is safe for use by several
// goroutines and starts none that outlive an answer.
type Client struct {
	base     string
	clock    damasktrail.Clock
	settings Settings
	// calls carries calls; asks opens a connection for each request.
	calls, asks *http.Transport
}

// New returns a client of the endpoint at base, a URL without a path. It takes
// only the transport of client, which must be nil or an [*http.Transport], and
// copies it; any other transport is replaced by [http.DefaultTransport], because
// connections must be observed. Timeouts, cookies and redirects of client are not
// used.
func New(base string, client *http.Client, clock damasktrail.Clock, settings Settings) *Client {
	settings = settings.withDefaults()
	transport, ok := http.DefaultTransport.(*http.Transport)
	if !ok {
		transport = &http.Transport{}
	}
	if client != nil {
		if t, ok := client.Transport.(*http.Transport); ok {
			transport = t
		}
	}
	fresh := settings
	fresh.Idle = 0
	return &Client{
		base:     strings.TrimSuffix(base, "/"),
		clock:    clock,
		settings: settings,
		calls:    newTransport(transport, settings),
		asks:     newTransport(transport, fresh),
	}
}

// Run dispatches the call once and returns when the head of the answer is there.
// An error wraps [damasktrail.ErrNotDispatched] exactly when no byte reached the
// endpoint; otherwise it is a [*LostError], a [*CrashedError] or the error of
// ctx. The answer ends with ctx.
//
// A stream is given up after the limits Silence, Resumes and Ask: with the
// defaults after about 30 s when nothing answers, and after 80 s when the endpoint
// accepts each resume but sends no event. The ids of events must be numbers that
// rise by one; a stream without ids ends at its first failure.
func (c *Client) Run(ctx context.Context, call damasktrail.Call) (_ damasktrail.Answer, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("run: %w", err)
		}
	}()
	if err := ctx.Err(); err != nil {
		return nil, &DispatchError{ID: call.ID, Err: err}
	}
	a := newAnswer(ctx, c, call)
	r, err := c.request(a.next(), call) //nolint:contextcheck // the answer holds ctx
	if err != nil {
		a.release()
		return nil, &DispatchError{ID: call.ID, Err: err}
	}
	a.wait()
	res, dispatched, err := dispatch(c.calls, r) //nolint:bodyclose // the answer closes it
	a.pause()
	if err == nil {
		a.begin(res)
		return a, nil
	}
	if !dispatched {
		a.release()
		return nil, &DispatchError{ID: call.ID, Err: err}
	}
	if err := a.recover(a.cause(err)); err != nil { //nolint:contextcheck // the answer holds ctx
		a.err = err
		a.Close() //nolint:errcheck,contextcheck // the call has failed already
		return nil, err
	}
	return a, nil
}

// request builds the request of a call. It must not be replayable by net/http.
func (c *Client) request(ctx context.Context, call damasktrail.Call) (*http.Request, error) {
	var body io.Reader = onceBody{bytes.NewReader(call.Body)}
	if len(call.Body) == 0 && call.Method == http.MethodPost {
		// Without this, an empty POST would be sent in chunks.
		body = http.NoBody
	}
	r, err := http.NewRequestWithContext(ctx, call.Method, c.base+call.Path, body)
	if err != nil {
		return nil, err
	}
	r.ContentLength = int64(len(call.Body))
	if call.Type != "" {
		r.Header.Set("Content-Type", call.Type)
	}
	r.Header.Set(streamHeader, call.ID)
	return r, nil
}

// Load returns the endpoint's latest report.
func (c *Client) Load(ctx context.Context) (_ damasktrail.EngineLoad, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("load: %w", err)
		}
	}()
	var report struct {
		Running int   `json:"running"`
		Waiting int   `json:"waiting"`
		Age     int64 `json:"age"`
	}
	if err := c.ask(ctx, http.MethodGet, "/v1/load", nil, func(status int, body []byte) error {
		if status != http.StatusOK {
			return &StatusError{http.MethodGet, "/v1/load", status}
		}
		return json.Unmarshal(body, &report)
	}); err != nil {
		return damasktrail.EngineLoad{}, err
	}
	return damasktrail.EngineLoad{
		Running: report.Running,
		Waiting: report.Waiting,
		Age:     time.Duration(report.Age) * time.Millisecond,
	}, nil
}

// Order gives an order. It returns a [*damasktrail.OldFenceError] when the
// endpoint holds a higher fencing number.
func (c *Client) Order(ctx context.Context, o damasktrail.Order) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("order: %w", err)
		}
	}()
	body, err := json.Marshal(map[string]any{
		"fence": o.Fence, "model": o.Model, "version": o.Version, "adapters": o.Adapters, "role": o.Role,
	})
	if err != nil {
		return err
	}
	return c.ask(ctx, http.MethodPost, "/v1/orders", body, func(status int, body []byte) error {
		switch status {
		case http.StatusOK, http.StatusAccepted, http.StatusNoContent:
			return nil
		case http.StatusConflict:
			var held struct {
				Held uint64 `json:"held"`
			}
			if err := json.Unmarshal(body, &held); err != nil {
				return err
			}
			return &damasktrail.OldFenceError{Sent: o.Fence, Held: held.Held}
		}
		return &StatusError{http.MethodPost, "/v1/orders", status}
	})
}

// Healthy reports on a fresh connection whether the endpoint answers. An error
// that wraps [syscall.ECONNREFUSED] means that no process listens.
func (c *Client) Healthy(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("health check: %w", err)
		}
	}()
	return c.ask(ctx, http.MethodGet, "/health", nil, func(status int, _ []byte) error {
		if status != http.StatusOK {
			return &StatusError{http.MethodGet, "/health", status}
		}
		return nil
	})
}

// ask sends a small request on a fresh connection and gives the answer to read.
func (c *Client) ask(ctx context.Context, method, path string, body []byte, read func(int, []byte) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := c.clock.Schedule(c.settings.Ask, func(time.Time) { cancel(&SilenceError{c.settings.Ask}) })
	defer stop()
	r, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	res, err := c.asks.RoundTrip(r)
	if err != nil {
		return causeOf(ctx, err)
	}
	defer res.Body.Close() //nolint:errcheck // it was read
	data, err := io.ReadAll(io.LimitReader(res.Body, maxReportBytes+1))
	if err != nil {
		return causeOf(ctx, err)
	}
	if len(data) > maxReportBytes {
		return &LimitError{"body", maxReportBytes}
	}
	return read(res.StatusCode, data)
}

// resume asks for a stream after an event. The context of ctx is that of the
// connection.
func (c *Client) resume(ctx context.Context, id string, after uint64) (*http.Response, error) {
	path := "/v1/streams/" + url.PathEscape(id)
	query := "?after=" + strconv.FormatUint(after, 10)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+path+query, http.NoBody)
	if err != nil {
		return nil, err
	}
	res, err := c.asks.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if res.StatusCode != http.StatusOK {
		res.Body.Close() //nolint:errcheck // it is not read
		return nil, &StatusError{http.MethodGet, path, res.StatusCode}
	}
	return res, nil
}

// cancel asks the endpoint to stop a call. A stream that is gone already is no
// failure.
func (c *Client) cancel(ctx context.Context, id string) error {
	path := "/v1/streams/" + url.PathEscape(id)
	return c.ask(ctx, http.MethodDelete, path, nil, func(status int, _ []byte) error {
		switch status {
		case http.StatusOK, http.StatusNoContent, http.StatusNotFound:
			return nil
		}
		return &StatusError{http.MethodDelete, path, status}
	})
}

// refused reports whether a fresh health check finds no process that listens.
func (c *Client) refused(ctx context.Context) bool {
	for range crashChecks {
		err := c.Healthy(ctx)
		var silence *SilenceError
		if err == nil || errors.As(err, &silence) || ctx.Err() != nil {
			return false
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			return true
		}
		if c.clock.Sleep(ctx, crashPause) != nil {
			return false
		}
	}
	return false
}

// causeOf returns the cause for which ctx ended, or err while it goes on.
func causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}
