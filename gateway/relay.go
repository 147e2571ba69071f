package gateway

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"damasktrail.dev/dispatch"
	"damasktrail.dev/routing"
	"damasktrail.dev/upstream"
)

// errCaller says that the caller does not take the answer.
var errCaller = errors.New("the caller left")

// minPaceEvents is the number of events from which the pace of a stream counts.
const minPaceEvents = 4

// relay passes the answers of one or more attempts on as one answer.
type relay struct {
	call   *call
	writer http.ResponseWriter
	// begun says that the caller has got a part of the answer.
	begun bool
	// code is the status that the caller got.
	code int
	// last is the id of the last event that was passed on.
	last string
	// events, started and ended measure the pace of the last attempt's events.
	events         int
	started, ended time.Time
}

// pass relays one answer. It returns nil when the whole answer was passed on,
// errCaller when the caller left, and another error when the answer broke off.
func (r *relay) pass(a *upstream.Answer, grant *dispatch.Grant) error {
	r.events = 0
	if r.call.route.Kind == routing.Streaming && a.Status == http.StatusOK {
		return r.stream(a, grant)
	}
	if r.begun {
		return fmt.Errorf("stream is not continued: status %d", a.Status)
	}
	return r.whole(a, grant)
}

// whole relays an answer in one piece.
func (r *relay) whole(a *upstream.Answer, grant *dispatch.Grant) error {
	first, err := io.ReadAll(io.LimitReader(a, maxWhole))
	if err != nil {
		return err
	}
	grant.Started()
	r.call.firstByte = r.call.g.clock.Now().Sub(r.call.arrived)
	if len(first) < maxWhole {
		r.writer.Header().Set("Content-Length", strconv.Itoa(len(first)))
	}
	r.head(a)
	if _, err := r.writer.Write(first); err != nil { // #nosec G705 -- an endpoint's answer is passed on unchanged.
		return errCaller
	}
	if len(first) < maxWhole {
		return nil
	}
	buffer := make([]byte, 32<<10)
	for {
		n, err := a.Read(buffer)
		if _, writeErr := r.writer.Write(buffer[:n]); writeErr != nil {
			return errCaller
		}
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// stream relays an event stream, whole events only.
func (r *relay) stream(a *upstream.Answer, grant *dispatch.Grant) error {
	s := newEvents(a)
	control := http.NewResponseController(r.writer)
	for {
		b, err := s.next()
		if errors.Is(err, io.EOF) {
			if !r.begun {
				r.head(a)
			}
			return nil
		}
		if err != nil {
			return err
		}
		now := r.call.g.clock.Now()
		if r.events == 0 {
			grant.Started()
			r.started = now
		}
		if !r.begun {
			r.call.firstByte = now.Sub(r.call.arrived)
			r.head(a)
		}
		r.events += b.count
		r.call.events += b.count
		r.ended = now
		if b.last != "" {
			r.last = b.last
		}
		if _, err := r.writer.Write(b.data); err != nil {
			return errCaller
		}
		if err := control.Flush(); err != nil {
			return errCaller
		}
	}
}

// head passes the status and header on.
func (r *relay) head(a *upstream.Answer) {
	h := r.writer.Header()
	upstream.EndToEnd(a.Header, h.Add)
	if _, found := a.Header["Content-Type"]; !found {
		h["Content-Type"] = nil
	}
	if _, found := a.Header["Date"]; !found {
		h["Date"] = nil
	}
	r.begun, r.code = true, a.Status
	r.writer.WriteHeader(a.Status)
}

// pace returns the mean time between events, zero when there were too few.
func (r *relay) pace() time.Duration {
	if r.events < minPaceEvents {
		return 0
	}
	return r.ended.Sub(r.started) / time.Duration(r.events-1)
}
