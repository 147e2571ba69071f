package entry

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"damasktrail.dev"
	"damasktrail.dev/frame"
)

// maxBuffered bounds an answer in one piece that is kept until its end was seen.
// A longer one is passed on in chunks, and cutting it is visible by the missing
// last chunk.
const maxBuffered = 8 << 20

// writeTimeout bounds the time for which a caller may read nothing. Its request
// holds a place inside the endpoint for that time.
const writeTimeout = 30 * time.Second

// deadlineInterval is how often the write deadline is moved, at most. A caller
// that reads nothing is given up between writeTimeout less this and writeTimeout.
const deadlineInterval = time.Second

// output writes one answer to the caller. Nothing is written before the first
// data, so that a request can still be retried while its prompt is processed.
type output struct {
	w      http.ResponseWriter
	stream bool
	pass   *pass
	head   frame.Head
	buffer bytes.Buffer
	// written is true once the status was sent.
	written bool
	// timed is when the write deadline was last moved.
	timed time.Time
}

func newOutput(w http.ResponseWriter, stream bool, p *pass) *output {
	return &output{w: w, stream: stream, pass: p}
}

// started reports whether the caller has received a part of the answer.
func (o *output) started() bool {
	return o.written
}

// reset forgets what an attempt left that failed before anything was written.
func (o *output) reset() {
	o.buffer.Reset()
}

// begin keeps the head until there is data.
func (o *output) begin(h frame.Head) {
	o.head = h
}

// data takes a part of the answer, received at now. When more is true another frame
// follows without waiting, and a streamed part may stay in the buffer of the
// connection until that one, which writes it or ends the answer.
func (o *output) data(b []byte, more bool, now time.Time) error {
	if o.buffer.Len() == 0 && !o.written {
		o.pass.begun()
	}
	if !o.stream && !o.written && o.buffer.Len()+len(b) <= maxBuffered {
		o.buffer.Write(b)
		return nil
	}
	if now.Sub(o.timed) >= deadlineInterval {
		o.timed = now
		// Not every ResponseWriter has deadlines; those of net/http have.
		_ = http.NewResponseController(o.w).SetWriteDeadline(now.Add(writeTimeout))
	}
	if !o.written {
		o.writeHead()
		if _, err := o.w.Write(o.buffer.Bytes()); err != nil {
			return err
		}
		o.buffer.Reset()
	}
	if _, err := o.w.Write(b); err != nil {
		return err
	}
	if f, ok := o.w.(http.Flusher); ok && o.stream && !more {
		f.Flush()
	}
	return nil
}

func (o *output) writeHead() {
	if o.head.Type != "" {
		o.w.Header().Set("Content-Type", o.head.Type)
	}
	if o.stream {
		o.w.Header().Set("Cache-Control", "no-store")
	}
	o.w.WriteHeader(o.head.Status)
	o.written = true
}

// end completes a whole answer.
func (o *output) end() error {
	if o.written {
		return nil
	}
	o.w.Header().Set("Content-Length", strconv.Itoa(o.buffer.Len()))
	o.writeHead()
	_, err := o.w.Write(o.buffer.Bytes())
	return err
}

// abort ends an answer of which a part was written. The caller sees an error
// event and then a connection that breaks off, never the end of a whole answer.
func (o *output) abort(r *damasktrail.Refusal) {
	if o.stream {
		if b, err := json.Marshal(newErrorBody(r)); err == nil {
			_, _ = o.w.Write([]byte("data: " + string(b) + "\n\n"))
			if f, ok := o.w.(http.Flusher); ok {
				f.Flush()
			}
		}
	}
	panic(http.ErrAbortHandler)
}
