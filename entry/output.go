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

// maxBuffered bounds the size of a non-streamed answer that is buffered until
// it is complete. A longer answer is passed on in HTTP chunks; the caller
// recognises a cut one by the missing last chunk.
const maxBuffered = 8 << 20

// writeTimeout bounds the time for which a caller may read nothing, since its
// request holds a slot inside the endpoint for that time.
const writeTimeout = 30 * time.Second

// deadlineInterval is the minimum time between two updates of the write
// deadline. A caller that reads nothing is therefore disconnected between
// writeTimeout less deadlineInterval and writeTimeout.
const deadlineInterval = time.Second

// output writes one answer to the caller. Nothing is written before the first
// data, so that a request can still be retried while its prompt is processed.
type output struct {
	w      http.ResponseWriter
	stream bool
	slot   *slot
	head   frame.Head
	buffer bytes.Buffer
	// headWritten is true once the status was sent.
	headWritten bool
	// deadlineSet is when the write deadline was last updated.
	deadlineSet time.Time
}

func newOutput(w http.ResponseWriter, stream bool, p *slot) *output {
	return &output{w: w, stream: stream, slot: p}
}

// started reports whether a part of the answer was sent to the caller.
func (o *output) started() bool {
	return o.headWritten
}

// reset discards the data of an attempt that failed before anything was sent.
func (o *output) reset() {
	o.buffer.Reset()
}

// setHead keeps the head until there is data.
func (o *output) setHead(h frame.Head) {
	o.head = h
}

// write takes a part of the answer, received at now. When moreReady is true,
// another frame can be read without waiting, and a streamed part may stay in
// the connection's buffer until that frame is written or ends the answer.
func (o *output) write(b []byte, moreReady bool, now time.Time) error {
	if o.buffer.Len() == 0 && !o.headWritten {
		o.slot.firstToken()
	}
	if !o.stream && !o.headWritten && o.buffer.Len()+len(b) <= maxBuffered {
		o.buffer.Write(b)
		return nil
	}
	if now.Sub(o.deadlineSet) >= deadlineInterval {
		o.deadlineSet = now
		// Not every ResponseWriter supports deadlines; those of net/http do.
		_ = http.NewResponseController(o.w).SetWriteDeadline(now.Add(writeTimeout))
	}
	if !o.headWritten {
		o.writeHead()
		if _, err := o.w.Write(o.buffer.Bytes()); err != nil {
			return err
		}
		o.buffer.Reset()
	}
	if _, err := o.w.Write(b); err != nil {
		return err
	}
	if f, ok := o.w.(http.Flusher); ok && o.stream && !moreReady {
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
	o.headWritten = true
}

// finish completes a whole answer.
func (o *output) finish() error {
	if o.headWritten {
		return nil
	}
	o.w.Header().Set("Content-Length", strconv.Itoa(o.buffer.Len()))
	o.writeHead()
	_, err := o.w.Write(o.buffer.Bytes())
	return err
}

// abort ends an answer that was sent in part. The caller sees an error event if
// the answer is streamed, and then a broken connection, never the end of a
// whole answer.
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
