package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"damasktrail.dev/coordinator"
	"damasktrail.dev/fleet"
	"damasktrail.dev/routing"
	"damasktrail.dev/upstream"
)

// errCallerGone is returned when the answer cannot be written to the caller.
var errCallerGone = errors.New("the caller left")

// errNotContinued is returned when the answer of a later attempt does not go on where the
// stream broke off.
var errNotContinued = errors.New("stream is not continued")

// errNoEvent is returned when a stream whose end is that of its connection ends before its
// first event.
var errNoEvent = errors.New("connection ended before the first event")

// errEndedByCrash is returned when only the end of its connection ended an answer and the
// endpoint then accepts no connections.
var errEndedByCrash = errors.New("endpoint crashed at the end of an answer without length")

// minPaceEvents is the least number of events from which the pace of a stream is
// measured.
const minPaceEvents = 4

// relay forwards the answers of one or more attempts to the caller as one answer.
type relay struct {
	call   *call
	writer http.ResponseWriter
	// headerSent is true once the caller has received a part of the answer.
	headerSent bool
	// statusCode and contentType are the HTTP status and the content type sent to the
	// caller.
	statusCode  int
	contentType string
	// lastEventID is the ID of the last event sent to the caller.
	lastEventID string
	// attemptEvents, firstEventTime and lastEventTime are the number of events of
	// the last attempt and the arrival times of the first and last of them, from
	// which its pace is calculated.
	attemptEvents                 int
	firstEventTime, lastEventTime time.Time
	// load is what the header of the last attempt's answer states of the load of its
	// endpoint, loadAt the time at which it arrived.
	load   fleet.StatedLoad
	loadAt time.Time
}

// forward relays one answer. It returns nil when the complete answer was relayed,
// errCallerGone when the caller left, and another error when the answer was cut
// off.
func (r *relay) forward(a *upstream.Answer, grant *coordinator.Slot) error {
	r.attemptEvents = 0
	if r.call.route.Kind == routing.Streaming && a.Status == http.StatusOK {
		if own := a.Header.Get("Content-Type"); r.headerSent && own != r.contentType {
			return fmt.Errorf("%w: content type %q", errNotContinued, own)
		}
		return r.forwardStream(a, grant)
	}
	if r.headerSent {
		return fmt.Errorf("%w: status %d", errNotContinued, a.Status)
	}
	return r.forwardBody(a, grant)
}

// forwardBody relays an answer that is not an event stream.
func (r *relay) forwardBody(a *upstream.Answer, grant *coordinator.Slot) error {
	prefix, size, whole, err := r.readPrefix(a)
	if err != nil {
		return err
	}
	if whole && r.endedByCrash(a, grant) {
		return errEndedByCrash
	}
	grant.Started(r.statedLoad())
	r.call.timeToFirstByte = r.call.g.clock.Now().Sub(r.call.arrived)
	if whole {
		r.writer.Header().Set("Content-Length", strconv.Itoa(size))
	}
	r.writeHeader(a)
	for _, block := range prefix {
		if _, err := r.writer.Write(block); err != nil { // #nosec G705 -- an endpoint's answer is passed on unchanged.
			return errCallerGone
		}
	}
	if whole {
		return nil
	}
	buffer := make([]byte, blockBytes)
	for {
		n, err := a.Read(buffer)
		if _, writeErr := r.writer.Write(buffer[:n]); writeErr != nil {
			return errCallerGone
		}
		if errors.Is(err, io.EOF) {
			if r.endedByCrash(a, grant) {
				return errEndedByCrash
			}
			return nil
		}
		if err != nil {
			return err
		}
	}
}

func ignoreEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// endStream ends an event stream whose last event has been relayed.
func (r *relay) endStream(a *upstream.Answer, grant *coordinator.Slot) error {
	if r.attemptEvents == 0 && !a.Delimited() {
		return errNoEvent
	}
	if r.endedByCrash(a, grant) {
		return errEndedByCrash
	}
	if !r.headerSent {
		r.writeHeader(a)
	}
	return nil
}

// endedByCrash reports whether the end of an answer that does not state its length can be
// that of a crash, which looks the same: the endpoint accepts no connections any more.
func (r *relay) endedByCrash(a *upstream.Answer, grant *coordinator.Slot) bool {
	if a.Delimited() {
		return false
	}
	err := r.call.g.pool.Probe(context.WithoutCancel(r.call.request.Context()), grant.Endpoint)
	return errors.Is(err, syscall.ECONNREFUSED)
}

// forwardStream relays an event stream, complete events only.
func (r *relay) forwardStream(a *upstream.Answer, grant *coordinator.Slot) error {
	s := newEventReader(a)
	held := cap(s.buffer)
	control := http.NewResponseController(r.writer)
	for {
		b, err := s.next()
		r.call.hold.Add(int64(cap(s.buffer) - held))
		held = cap(s.buffer)
		if errors.Is(err, io.EOF) {
			return r.endStream(a, grant)
		}
		if err != nil {
			return err
		}
		if r.attemptEvents == 0 && !follows(b.firstID, r.lastEventID) {
			return fmt.Errorf("%w: event %s after event %s", errNotContinued, b.firstID, r.lastEventID)
		}
		now := r.call.g.clock.Now()
		if r.attemptEvents == 0 {
			grant.Started(r.statedLoad())
			r.firstEventTime = now
		}
		if !r.headerSent {
			r.call.timeToFirstByte = now.Sub(r.call.arrived)
			r.writeHeader(a)
		}
		if r.attemptEvents < soundEvents && r.attemptEvents+b.count >= soundEvents {
			r.call.recordSound()
		}
		r.attemptEvents += b.count
		r.call.eventCount += b.count
		r.lastEventTime = now
		if b.lastID != "" {
			r.lastEventID = b.lastID
		}
		if _, err := r.writer.Write(b.data); err != nil {
			return errCallerGone
		}
		if err := control.Flush(); err != nil {
			return errCallerGone
		}
	}
}

// follows reports whether an event can come after another. Only numbers are compared.
func follows(id, last string) bool {
	i, err := strconv.ParseUint(id, 10, 64)
	j, lastErr := strconv.ParseUint(last, 10, 64)
	return err != nil || lastErr != nil || i > j
}

// writeHeader sends the status and header of an answer to the caller.
func (r *relay) writeHeader(a *upstream.Answer) {
	h := r.writer.Header()
	for name, values := range r.call.g.dialect.Deliver(a.Header) {
		h[name] = append(h[name], values...)
	}
	if _, found := a.Header["Content-Type"]; !found {
		h["Content-Type"] = nil
	}
	if _, found := a.Header["Date"]; !found {
		h["Date"] = nil
	}
	r.headerSent, r.statusCode, r.contentType = true, a.Status, a.Header.Get("Content-Type")
	r.writer.WriteHeader(a.Status)
}

// statedLoad returns what the answer states of the load of its endpoint, with its age.
func (r *relay) statedLoad() fleet.StatedLoad {
	res := r.load
	if res.Percent > 0 {
		res.Age = r.call.g.clock.Now().Sub(r.loadAt)
	}
	return res
}

// pace returns the mean time between the events of the last attempt, zero when
// there were too few.
func (r *relay) pace() time.Duration {
	if r.attemptEvents < minPaceEvents {
		return 0
	}
	return r.lastEventTime.Sub(r.firstEventTime) / time.Duration(r.attemptEvents-1)
}
