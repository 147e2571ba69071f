// Package engine implements an HTTP client for the one endpoint that an agent
// serves. It dispatches each call once, resumes streams whose connection breaks
// or stops sending, and distinguishes a lost answer from a crashed endpoint. Start
// from [New].
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

// streamIDHeader carries the ID of a call, by which the endpoint resumes or
// cancels it.
const streamIDHeader = "Stream-Id"

// maxControlBodyBytes limits the answer to a control request, such as a load or
// order request.
const maxControlBodyBytes = 64 << 10

// The number and interval of health checks after a broken answer. A dying process
// closes its connections before its listener, so it may still accept and then
// reset the connections of the first checks.
const (
	crashCheckAttempts = 5
	crashCheckInterval = 20 * time.Millisecond
)

// Client implements [damasktrail.Engine] over HTTP. It is safe for concurrent use
// and starts no goroutine that outlives an answer.
type Client struct {
	baseURL  string
	clock    damasktrail.Clock
	settings Settings
	// callTransport sends calls. controlTransport sends control and resume requests
	// and opens a new connection for each.
	callTransport, controlTransport http.RoundTripper
}

// New returns a client of the endpoint at baseURL, a URL without a path. Of
// client, which may be nil, it uses only the transport, which it copies; the
// timeout, cookies and redirect policy are ignored. A transport that is not an
// [*http.Transport] is replaced by [http.DefaultTransport], because the client
// must observe the connections.
func New(baseURL string, client *http.Client, clock damasktrail.Clock, settings Settings) *Client {
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
	controlSettings := settings
	controlSettings.IdleTimeout = 0
	return &Client{
		baseURL:          strings.TrimSuffix(baseURL, "/"),
		clock:            clock,
		settings:         settings,
		callTransport:    newTransport(transport, settings),
		controlTransport: newTransport(transport, controlSettings),
	}
}

// Run dispatches the call once and returns when the header of the answer has
// arrived. An error wraps [damasktrail.ErrNotDispatched] exactly when no byte
// reached the endpoint; otherwise it is a [*LostError], a [*CrashedError] or the
// error of ctx. The answer ends when ctx does.
//
// A stream is given up according to SilenceTimeout, MaxResumes and ControlTimeout
// of [Settings]: with the defaults, after about 30 s if the endpoint does not
// answer, and after 80 s if it accepts each resume but sends no event. The ids of
// events must be consecutive numbers. A stream without ids cannot be resumed and
// ends at its first failure.
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
	r, err := c.request(a.newConnContext(), call) //nolint:contextcheck // the answer holds ctx
	if err != nil {
		a.releaseConn()
		return nil, &DispatchError{ID: call.ID, Err: err}
	}
	a.startWait()
	res, dispatched, err := dispatch(c.callTransport, r) //nolint:bodyclose // the answer closes it
	a.endWait()
	if err == nil {
		a.attach(res)
		return a, nil
	}
	if !dispatched {
		a.releaseConn()
		return nil, &DispatchError{ID: call.ID, Err: err}
	}
	if err := a.resume(a.cause(err)); err != nil { //nolint:contextcheck // the answer holds ctx
		a.err = err
		a.Close() //nolint:errcheck,contextcheck // the call has failed already
		return nil, err
	}
	return a, nil
}

// request builds the HTTP request of a call, in a form that net/http cannot send
// again by itself.
func (c *Client) request(ctx context.Context, call damasktrail.Call) (*http.Request, error) {
	var body io.Reader = nonRewindableBody{bytes.NewReader(call.Body)}
	if len(call.Body) == 0 && call.Method == http.MethodPost {
		// Any other empty body would make net/http use chunked encoding.
		body = http.NoBody
	}
	r, err := http.NewRequestWithContext(ctx, call.Method, c.baseURL+call.Path, body)
	if err != nil {
		return nil, err
	}
	r.ContentLength = int64(len(call.Body))
	if call.Type != "" {
		r.Header.Set("Content-Type", call.Type)
	}
	r.Header.Set(streamIDHeader, call.ID)
	return r, nil
}

// Load returns the latest load report of the endpoint.
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
	if err := c.controlRequest(ctx, http.MethodGet, "/v1/load", nil, func(status int, body []byte) error {
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

// Order sends an order to the endpoint. It returns a
// [*damasktrail.OldFenceError] when the endpoint holds a higher fencing number.
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
	return c.controlRequest(ctx, http.MethodPost, "/v1/orders", body, func(status int, body []byte) error {
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

// Healthy checks on a new connection whether the endpoint answers. An error that
// wraps [syscall.ECONNREFUSED] means that no process listens at its address.
func (c *Client) Healthy(ctx context.Context) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("health check: %w", err)
		}
	}()
	return c.controlRequest(ctx, http.MethodGet, "/health", nil, func(status int, _ []byte) error {
		if status != http.StatusOK {
			return &StatusError{http.MethodGet, "/health", status}
		}
		return nil
	})
}

// controlRequest sends a small request on a new connection and passes the status
// and body of the answer to read.
func (c *Client) controlRequest(ctx context.Context, method, path string, body []byte, read func(int, []byte) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := c.clock.Schedule(c.settings.ControlTimeout, func(time.Time) { cancel(&SilenceError{c.settings.ControlTimeout}) })
	defer stop()
	r, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	res, err := c.controlTransport.RoundTrip(r)
	if err != nil {
		return causeOf(ctx, err)
	}
	defer res.Body.Close() //nolint:errcheck // it was read
	data, err := io.ReadAll(io.LimitReader(res.Body, maxControlBodyBytes+1))
	if err != nil {
		return causeOf(ctx, err)
	}
	if len(data) > maxControlBodyBytes {
		return &LimitError{"body", maxControlBodyBytes}
	}
	return read(res.StatusCode, data)
}

// resume requests the events of a stream that follow the event with the id after.
// ctx is the context of the new connection.
func (c *Client) resume(ctx context.Context, id string, after uint64) (*http.Response, error) {
	path := "/v1/streams/" + url.PathEscape(id)
	query := "?after=" + strconv.FormatUint(after, 10)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, c.baseURL+path+query, http.NoBody)
	if err != nil {
		return nil, err
	}
	res, err := c.controlTransport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if res.StatusCode != http.StatusOK {
		res.Body.Close() //nolint:errcheck // it is not read
		return nil, &StatusError{http.MethodGet, path, res.StatusCode}
	}
	return res, nil
}

// cancel asks the endpoint to stop a call. It returns no error if the endpoint
// does not know the call any more.
func (c *Client) cancel(ctx context.Context, id string) error {
	path := "/v1/streams/" + url.PathEscape(id)
	return c.controlRequest(ctx, http.MethodDelete, path, nil, func(status int, _ []byte) error {
		switch status {
		case http.StatusOK, http.StatusNoContent, http.StatusNotFound:
			return nil
		}
		return &StatusError{http.MethodDelete, path, status}
	})
}

// refusesConnections reports whether health checks on new connections find that no
// process listens at the endpoint's address.
func (c *Client) refusesConnections(ctx context.Context) bool {
	for range crashCheckAttempts {
		err := c.Healthy(ctx)
		var silence *SilenceError
		if err == nil || errors.As(err, &silence) || ctx.Err() != nil {
			return false
		}
		if errors.Is(err, syscall.ECONNREFUSED) {
			return true
		}
		if c.clock.Sleep(ctx, crashCheckInterval) != nil {
			return false
		}
	}
	return false
}

// causeOf returns the cancellation cause of ctx, or err if ctx is not cancelled.
func causeOf(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return cause
	}
	return err
}
