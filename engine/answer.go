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

// readBytes is the size of a read from a connection, that of net/http's buffer.
const readBytes = 4 << 10

// maxUsageBytes limits the answers in one piece whose usage is read. An answer of
// 20,000 tokens, the longest in the benches, has about 100 KB.
const maxUsageBytes = 1 << 20

var (
	doneData  = []byte("[DONE]")
	usageData = []byte(`"usage":`)
)

// answer is an answer in progress. Only the watchdog runs beside its goroutine.
type answer struct {
	ctx  context.Context
	c    *Client
	call damasktrail.Call
	head damasktrail.Head
	// limit is the permitted silence, by the kind of the answer.
	limit time.Duration
	// stream is true for an answer that must end with the event [DONE].
	stream bool

	// body, conn and cancel belong to the current connection.
	body   io.ReadCloser
	conn   context.Context
	cancel context.CancelCauseFunc
	// stop ends the watchdog of the current connection.
	stop atomic.Pointer[func()]
	// waiting is the time in nanoseconds since which the connection is waited
	// for, or zero.
	waiting atomic.Int64

	// buf[start:end] was read and not delivered; scanned bytes of it hold no end
	// of an event.
	buf                 []byte
	start, end, scanned int
	// last is the id of the last event delivered; delivered counts the events.
	last, delivered uint64
	// resumes counts the connections since the last new event.
	resumes int
	// whole collects an answer in one piece for its usage, up to maxUsageBytes.
	whole []byte
	// length is the number of bytes delivered of an answer in one piece.
	length int64

	usage damasktrail.Usage
	// err is what Next returns from now on; io.EOF after a whole answer.
	err    error
	closed bool
}

func newAnswer(ctx context.Context, c *Client, call damasktrail.Call) *answer {
	a := &answer{ctx: ctx, c: c, call: call, stream: call.Stream && !c.settings.Service}
	switch {
	case call.Stream:
		a.limit = c.settings.Silence
	case call.IdleTimeout > 0:
		a.limit = min(call.IdleTimeout, c.settings.Whole)
	default:
		a.limit = c.settings.Whole
	}
	return a
}

// next returns the context of a new connection and starts its watchdog.
func (a *answer) next() context.Context {
	a.conn, a.cancel = context.WithCancelCause(a.ctx)
	a.watch(a.conn, a.cancel, a.limit)
	return a.conn
}

// watch cancels the connection when it was waited for during the limit. One
// timer per connection, set again when it fires, is cheaper than one per read.
func (a *answer) watch(conn context.Context, cancel context.CancelCauseFunc, d time.Duration) {
	stop := a.c.clock.Schedule(d, func(now time.Time) {
		if conn.Err() != nil {
			return
		}
		left := a.limit
		if since := a.waiting.Load(); since != 0 {
			left -= time.Duration(now.UnixNano() - since)
		}
		if left <= 0 {
			cancel(&SilenceError{a.limit})
			return
		}
		a.watch(conn, cancel, left)
	})
	a.stop.Store(&stop)
}

func (a *answer) wait()  { a.waiting.Store(a.c.clock.Now().UnixNano()) }
func (a *answer) pause() { a.waiting.Store(0) }

// cause returns why the current connection failed with err.
func (a *answer) cause(err error) error { return causeOf(a.conn, err) }

// begin takes the response of a connection. Bytes of an event that an earlier
// connection did not complete are dropped, since the endpoint sends it again.
func (a *answer) begin(res *http.Response) {
	a.body = res.Body
	a.start, a.end, a.scanned = 0, 0, 0
	if a.buf != nil {
		return
	}
	a.buf = make([]byte, readBytes)
	a.head = damasktrail.Head{Status: res.StatusCode, Type: res.Header.Get("Content-Type")}
	kind, _, err := mime.ParseMediaType(a.head.Type)
	a.stream = a.stream && err == nil && kind == "text/event-stream" && res.StatusCode == http.StatusOK
	if a.stream {
		return
	}
	if res.ContentLength > a.c.settings.Body {
		a.fail(&LimitError{"body", a.c.settings.Body})
	} else if res.ContentLength < 0 && len(res.TransferEncoding) == 0 {
		// Such an answer ends with its connection, which looks like a cut.
		a.fail(errNoLength)
	}
}

// Head implements [damasktrail.Answer].
func (a *answer) Head() damasktrail.Head { return a.head }

// Usage implements [damasktrail.Answer].
func (a *answer) Usage() damasktrail.Usage { return a.usage }

// Next returns one event of a streamed answer, or the next bytes of any other.
func (a *answer) Next() ([]byte, error) {
	for a.err == nil {
		if !a.stream {
			return a.nextBytes()
		}
		if event := a.takeEvent(); event != nil {
			if a.accept(event) {
				return event, nil
			}
			continue
		}
		if a.err != nil {
			break
		}
		if err := a.read(); err != nil {
			a.err = a.recover(a.cause(err))
		}
	}
	return nil, a.err
}

// nextBytes returns the next bytes of an answer in one piece.
func (a *answer) nextBytes() ([]byte, error) {
	a.wait()
	n, err := a.body.Read(a.buf)
	a.pause()
	if room := a.c.settings.Body - a.length; int64(n) > room {
		a.fail(&LimitError{"body", a.c.settings.Body})
		return a.buf[:room], nil
	}
	a.length += int64(n)
	if len(a.whole)+n <= maxUsageBytes {
		a.whole = append(a.whole, a.buf[:n]...)
	}
	switch {
	case errors.Is(err, io.EOF):
		a.readUsage(a.whole)
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

// read adds bytes of the connection to the buffer.
func (a *answer) read() error {
	if a.start > 0 {
		copy(a.buf, a.buf[a.start:a.end])
		a.end -= a.start
		a.start = 0
	}
	if a.end == len(a.buf) {
		if len(a.buf) >= a.c.settings.Event {
			return &LimitError{"event", int64(a.c.settings.Event)}
		}
		a.buf = append(a.buf, make([]byte, len(a.buf))...)
	}
	a.wait()
	n, err := a.body.Read(a.buf[a.end:])
	a.pause()
	a.end += n
	if n > 0 {
		return nil
	}
	if errors.Is(err, io.EOF) {
		// The stream has not shown [DONE].
		return io.ErrUnexpectedEOF
	}
	return err
}

// takeEvent removes the first complete event from the buffer, with the blank
// line that ends it. It returns nil when there is none.
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

// accept reads the id, the usage and the end from an event. It reports false for
// an event that was delivered before the stream was resumed.
func (a *answer) accept(event []byte) bool {
	id, data := parseEvent(event)
	if id != 0 {
		if id <= a.last {
			return false
		}
		if a.last != 0 && id != a.last+1 || a.last == 0 && a.delivered == 0 && a.resumes > 0 && id != 1 {
			a.fail(errGap)
			return false
		}
		a.last = id
	}
	if data == nil {
		// A comment keeps the connection alive and is no progress.
		return true
	}
	a.delivered++
	a.resumes = 0
	if bytes.Equal(data, doneData) {
		a.finish()
	} else if bytes.Contains(data, usageData) {
		a.readUsage(data)
	}
	return true
}

// parseEvent returns the numeric id of an event, or zero, and its last data line.
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

// parseID returns zero for text that is not a number of at most 18 digits.
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

// readUsage takes the token counts from an OpenAI object that has them.
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

// recover continues a stream on a new connection after the current one failed
// with err. It returns the error of the answer when that is impossible.
func (a *answer) recover(err error) error {
	a.release()
	if ctxErr := a.ctx.Err(); ctxErr != nil {
		return context.Cause(a.ctx)
	}
	var limit *LimitError
	if !a.stream || errors.As(err, &limit) {
		return a.broken(err)
	}
	if a.delivered > 0 && a.last == 0 {
		return a.broken(errors.Join(err, errNoEventID))
	}
	for a.resumes < a.c.settings.Resumes {
		a.resumes++
		res, resumeErr := a.reconnect() //nolint:bodyclose // release closes it
		if resumeErr == nil {
			a.begin(res)
			return nil
		}
		a.release()
		if a.ctx.Err() != nil {
			return context.Cause(a.ctx)
		}
		err = errors.Join(err, resumeErr)
		var status *StatusError
		if errors.As(resumeErr, &status) {
			break
		}
	}
	return a.broken(err)
}

// reconnect asks for the stream on a new connection.
func (a *answer) reconnect() (*http.Response, error) {
	conn := a.next()
	cancel, limit := a.cancel, a.c.settings.Ask
	stop := a.c.clock.Schedule(limit, func(time.Time) { cancel(&SilenceError{limit}) })
	defer stop()
	res, err := a.c.resume(conn, a.call.ID, a.last)
	if err != nil {
		return nil, causeOf(conn, err)
	}
	return res, nil
}

// broken returns the error of an answer that ends because of err.
func (a *answer) broken(err error) error {
	a.release()
	if a.ctx.Err() != nil {
		return context.Cause(a.ctx)
	}
	var limit *LimitError
	if !errors.As(err, &limit) && a.c.refused(a.ctx) {
		return &CrashedError{ID: a.call.ID, Events: a.last, Err: err}
	}
	return &LostError{ID: a.call.ID, Events: a.last, Err: err}
}

func (a *answer) fail(err error) { a.err = a.broken(err) }

// finish ends a whole answer.
func (a *answer) finish() {
	a.err = io.EOF
	a.release()
}

// release gives up the current connection.
func (a *answer) release() {
	a.pause()
	if stop := a.stop.Load(); stop != nil {
		(*stop)()
	}
	if a.cancel != nil {
		a.cancel(nil)
	}
	if a.body != nil {
		a.body.Close() //nolint:errcheck // nothing is left to do
		a.body = nil
	}
}

// Close implements [damasktrail.Answer]. It takes at most the limit Ask.
func (a *answer) Close() error {
	if a.closed {
		return nil
	}
	a.closed = true
	a.release()
	if a.err == nil {
		a.err = errClosed
	}
	var crashed *CrashedError
	if a.c.settings.Service || errors.Is(a.err, io.EOF) || errors.As(a.err, &crashed) {
		return nil
	}
	return a.c.cancel(context.WithoutCancel(a.ctx), a.call.ID)
}
