package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"mime"
	"net/http"
	"sync/atomic"
	"time"

	"damasktrail.dev"
)

// readBufferBytes is the initial size of the read buffer of an answer. It equals
// that of net/http's own buffer.
const readBufferBytes = 4 << 10

// maxUsageBytes is the maximum size of a non-streamed answer whose usage is read.
// An answer of 20,000 tokens, the longest in the benchmarks, has about 100 KB.
const maxUsageBytes = 1 << 20

var (
	doneData = []byte("[DONE]")
	usageKey = []byte(`"usage":`)
)

// answer implements [damasktrail.Answer]. It is used by one goroutine; only its
// watchdogs run concurrently.
type answer struct {
	ctx    context.Context
	client *Client
	call   damasktrail.Call
	head   damasktrail.Head
	// waits is the time that the answer has waited for the endpoint.
	waits waits
	// eventStream reports whether the answer is an event stream, which must end
	// with the event [DONE].
	eventStream bool

	// body, connCtx and cancelConn belong to the current connection.
	body       io.ReadCloser
	connCtx    context.Context
	cancelConn context.CancelCauseFunc
	// stopWatchdog stops the watchdog of the current connection.
	stopWatchdog atomic.Pointer[func()]

	// buf[start:end] was read and not yet delivered. Its first scanned bytes hold
	// no end of an event.
	buf                 []byte
	start, end, scanned int
	// lastID is the id of the last delivered event; zero when there is none.
	// deliveredEvents is the number of events delivered, without comments.
	lastID, deliveredEvents uint64
	// resumes is the number of attempts to resume the stream since the last new
	// event.
	resumes int
	// usageBody collects the body of a non-streamed answer, up to maxUsageBytes,
	// to read its usage.
	usageBody []byte
	// deliveredBytes is the number of body bytes of a non-streamed answer that
	// were delivered.
	deliveredBytes int64

	usage damasktrail.Usage
	// err is the error that Next returns once the answer has ended; io.EOF after
	// a complete answer.
	err    error
	closed bool
}

func newAnswer(ctx context.Context, c *Client, call damasktrail.Call) *answer {
	return &answer{ctx: ctx, client: c, call: call, eventStream: call.Stream && !c.settings.Service, waits: newWaits(c.settings, call)}
}

// newConnContext returns the context of a new connection and starts the watchdog
// of the connection.
func (a *answer) newConnContext() context.Context {
	a.connCtx, a.cancelConn = context.WithCancelCause(a.ctx)
	a.startWatchdog(a.connCtx, a.cancelConn, a.waits.silenceTimeout)
	return a.connCtx
}

// startWatchdog schedules a check, after d, that cancels the connection if the answer has
// waited too long. One timer per connection that is rescheduled when it fires is
// cheaper than one timer per read.
func (a *answer) startWatchdog(conn context.Context, cancel context.CancelCauseFunc, d time.Duration) {
	stop := a.client.clock.Schedule(d, func(now time.Time) {
		if conn.Err() != nil {
			return
		}
		left, err := a.waits.check(now)
		if err != nil {
			cancel(err)
			return
		}
		a.startWatchdog(conn, cancel, left)
	})
	a.stopWatchdog.Store(&stop)
}

// startWait and endWait delimit the time during which a read or request is pending.
func (a *answer) startWait() { a.waits.start(a.client.clock.Now()) }
func (a *answer) endWait()   { a.waits.end(a.client.clock.Now()) }

// cause returns the cause of the failure err of the current connection.
func (a *answer) cause(err error) error { return causeOf(a.connCtx, err) }

// attach continues the answer with the response of a new connection. It discards
// an incomplete event of an earlier connection, because the endpoint sends that
// event again.
func (a *answer) attach(res *http.Response) {
	a.body = res.Body
	a.start, a.end, a.scanned = 0, 0, 0
	if a.buf != nil {
		return
	}
	a.buf = make([]byte, readBufferBytes)
	a.head = damasktrail.Head{Status: res.StatusCode, Type: res.Header.Get("Content-Type")}
	kind, _, err := mime.ParseMediaType(a.head.Type)
	a.eventStream = a.eventStream && err == nil && kind == "text/event-stream" && res.StatusCode == http.StatusOK
	if a.eventStream {
		return
	}
	if res.ContentLength > a.client.settings.MaxBodyBytes {
		a.fail(&LimitError{"body", a.client.settings.MaxBodyBytes})
	} else if res.ContentLength < 0 && len(res.TransferEncoding) == 0 {
		// The end of such an answer is the end of its connection, which cannot be
		// distinguished from a truncated answer.
		a.fail(errNoLength)
	}
}

// Head implements [damasktrail.Answer].
func (a *answer) Head() damasktrail.Head { return a.head }

// Usage implements [damasktrail.Answer].
func (a *answer) Usage() damasktrail.Usage { return a.usage }

// Next implements [damasktrail.Answer]. It returns one event of an event stream,
// or the next bytes of any other answer.
func (a *answer) Next() ([]byte, error) {
	for a.err == nil {
		if !a.eventStream {
			return a.nextBytes()
		}
		if event := a.takeEvent(); event != nil {
			a.endWait()
			if a.acceptEvent(event) {
				return event, nil
			}
			continue
		}
		if a.err != nil {
			break
		}
		if err := a.read(); err != nil {
			a.err = a.resume(a.cause(err))
		}
	}
	return nil, a.err
}

// nextBytes returns the next bytes of an answer that is no event stream.
func (a *answer) nextBytes() ([]byte, error) {
	a.startWait()
	n, err := a.body.Read(a.buf)
	a.endWait()
	if room := a.client.settings.MaxBodyBytes - a.deliveredBytes; int64(n) > room {
		a.fail(&LimitError{"body", a.client.settings.MaxBodyBytes})
		return a.buf[:room], nil
	}
	a.deliveredBytes += int64(n)
	if len(a.usageBody)+n <= maxUsageBytes {
		a.usageBody = append(a.usageBody, a.buf[:n]...)
	}
	switch {
	case errors.Is(err, io.EOF):
		a.readUsage(a.usageBody)
		a.finish()
	case err != nil:
		a.fail(a.cause(err))
	}
	if n > 0 {
		return a.buf[:n], nil
	}
	if a.err != nil {
		return nil, a.err
	}
	return a.buf[:0], nil
}

// read reads from the connection into the buffer, which grows up to the limit of
// an event.
func (a *answer) read() error {
	if a.start > 0 {
		copy(a.buf, a.buf[a.start:a.end])
		a.end -= a.start
		a.start = 0
	}
	if a.end == len(a.buf) {
		if len(a.buf) >= a.client.settings.MaxEventBytes {
			return &LimitError{"event", int64(a.client.settings.MaxEventBytes)}
		}
		a.buf = append(a.buf, make([]byte, len(a.buf))...)
	}
	a.startWait() // It goes on until an event is complete.
	n, err := a.body.Read(a.buf[a.end:])
	a.end += n
	if n > 0 {
		return nil
	}
	if errors.Is(err, io.EOF) {
		// The stream ended without the event [DONE].
		return io.ErrUnexpectedEOF
	}
	return err
}

// takeEvent removes the first complete event from the buffer and returns it with
// the blank line that ends it. It returns nil when no event is complete.
func (a *answer) takeEvent() []byte {
	data := a.buf[a.start:a.end]
	for i := a.scanned; i < len(data); i++ {
		if data[i] != '\n' {
			continue
		}
		if i > 0 && data[i-1] == '\n' || i > 2 && data[i-1] == '\r' && data[i-2] == '\n' {
			a.start += i + 1
			a.scanned = 0
			return data[:i+1]
		}
	}
	a.scanned = len(data)
	return nil
}

// acceptEvent updates the answer with the id and the usage of an event and ends
// it at the event [DONE]. It reports false for an event that must not be
// delivered: one that was delivered before the stream was resumed, or one that
// follows missing events.
func (a *answer) acceptEvent(event []byte) bool {
	id, data := parseEvent(event)
	if id != 0 {
		if id <= a.lastID {
			return false
		}
		if a.lastID != 0 && id != a.lastID+1 || a.lastID == 0 && a.deliveredEvents == 0 && a.resumes > 0 && id != 1 {
			a.fail(errMissingEvents)
			return false
		}
		a.lastID = id
	}
	if data == nil {
		// A comment keeps the connection alive but does not count as progress.
		return true
	}
	a.deliveredEvents++
	a.resumes = 0
	a.waits.progress()
	if bytes.Equal(data, doneData) {
		a.finish()
	} else if bytes.Contains(data, usageKey) {
		a.readUsage(data)
	}
	return true
}

// parseEvent returns the numeric id of an event, or zero when it has none, and its
// last data line, or nil.
func parseEvent(event []byte) (id uint64, data []byte) {
	for len(event) > 0 {
		line := event
		if i := bytes.IndexByte(event, '\n'); i >= 0 {
			line, event = event[:i], event[i+1:]
		} else {
			event = nil
		}
		line = bytes.TrimSuffix(line, []byte{'\r'})
		if value, found := bytes.CutPrefix(line, []byte("data:")); found {
			data = bytes.TrimPrefix(value, []byte{' '})
		} else if value, found := bytes.CutPrefix(line, []byte("id:")); found {
			id = parseID(bytes.TrimPrefix(value, []byte{' '}))
		}
	}
	return id, data
}

// parseID parses an event id. It returns zero for text that is not a decimal
// number of at most 18 digits.
func parseID(text []byte) (id uint64) {
	if len(text) > 18 {
		return 0
	}
	for _, b := range text {
		if b < '0' || b > '9' {
			return 0
		}
		id = id*10 + uint64(b-'0')
	}
	return id
}

// readUsage sets the usage from the token counts of an OpenAI object, if it has
// any.
func (a *answer) readUsage(data []byte) {
	var o struct {
		Usage *struct {
			Prompt     int `json:"prompt_tokens"`
			Completion int `json:"completion_tokens"`
		} `json:"usage"`
	}
	if json.Unmarshal(data, &o) == nil && o.Usage != nil {
		a.usage = damasktrail.Usage{Prefill: o.Usage.Prompt, Decode: o.Usage.Completion}
	}
}

// resume continues an event stream on a new connection after the current one
// failed with err. It returns the terminal error of the answer if it cannot.
func (a *answer) resume(err error) error {
	a.releaseConn()
	if ctxErr := a.ctx.Err(); ctxErr != nil {
		return context.Cause(a.ctx)
	}
	var limit *LimitError
	var stall *StallError
	if !a.eventStream || errors.As(err, &limit) || errors.As(err, &stall) {
		return a.terminalError(err)
	}
	if a.deliveredEvents > 0 && a.lastID == 0 {
		return a.terminalError(errors.Join(err, errNoEventID))
	}
	for a.resumes < a.client.settings.MaxResumes {
		a.resumes++
		res, resumeErr := a.reconnect() //nolint:bodyclose // release closes it
		if resumeErr == nil {
			a.attach(res)
			return nil
		}
		a.releaseConn()
		if a.ctx.Err() != nil {
			return context.Cause(a.ctx)
		}
		err = errors.Join(err, resumeErr)
		var status *StatusError
		if errors.As(resumeErr, &status) {
			break
		}
	}
	return a.terminalError(err)
}

// reconnect requests the rest of the stream on a new connection.
func (a *answer) reconnect() (*http.Response, error) {
	conn := a.newConnContext()
	cancel, limit := a.cancelConn, a.client.settings.ControlTimeout
	stop := a.client.clock.Schedule(limit, func(time.Time) { cancel(&SilenceError{limit}) })
	defer stop()
	res, err := a.client.resume(conn, a.call.ID, a.lastID)
	if err != nil {
		return nil, causeOf(conn, err)
	}
	return res, nil
}

// terminalError closes the connection and returns the error with which the answer
// ends because of err. It checks whether the endpoint has crashed.
func (a *answer) terminalError(err error) error {
	a.releaseConn()
	if a.ctx.Err() != nil {
		return context.Cause(a.ctx)
	}
	var limit *LimitError
	if !errors.As(err, &limit) && a.client.refusesConnections(a.ctx) {
		return &CrashedError{ID: a.call.ID, LastEventID: a.lastID, Err: err}
	}
	return &LostError{ID: a.call.ID, LastEventID: a.lastID, Err: err}
}

func (a *answer) fail(err error) { a.err = a.terminalError(err) }

// finish ends a complete answer.
func (a *answer) finish() {
	a.err = io.EOF
	a.releaseConn()
}

// releaseConn cancels the current connection and stops its watchdog.
func (a *answer) releaseConn() {
	a.endWait()
	if stop := a.stopWatchdog.Load(); stop != nil {
		(*stop)()
	}
	if a.cancelConn != nil {
		a.cancelConn(nil)
	}
	if a.body != nil {
		a.body.Close() //nolint:errcheck // nothing is left to do
		a.body = nil
	}
}

// Close implements [damasktrail.Answer]. It returns within
// [Settings.ControlTimeout].
func (a *answer) Close() error {
	if a.closed {
		return nil
	}
	a.closed = true
	a.releaseConn()
	if a.err == nil {
		a.err = errClosed
	}
	var crashed *CrashedError
	if a.client.settings.Service || errors.Is(a.err, io.EOF) || errors.As(a.err, &crashed) {
		return nil
	}
	return a.client.cancel(context.WithoutCancel(a.ctx), a.call.ID)
}
