package entry

import (
	"hash/crc64"
	"net/http"
	"time"

	"damasktrail.dev"
	"damasktrail.dev/frame"
	"damasktrail.dev/link"
)

// maxStatus is the highest HTTP status.
const maxStatus = 599

var crcTable = crc64.MakeTable(crc64.ECMA)

// receive relays the frames of an answer until its end.
func (e *Entry) receive(c *call, r *remoteAgent, sess *session, stream *link.Stream, out *output) *damasktrail.Refusal {
	var chunks, digest uint64
	var firstChunk time.Time
	headReceived, status := false, 0
	for {
		raw, err := stream.Receive()
		if err != nil {
			return lost("the link broke before the end of the answer")
		}
		now := e.clock.Now()
		sess.lastReceived.Store(now.UnixNano())
		switch raw.Kind {
		case frame.KindHead:
			h, err := frame.Decode[frame.Head](raw, frame.KindHead)
			if err != nil || headReceived || !isFinal(h.Status) {
				return e.protocolError(err)
			}
			headReceived, status = true, h.Status
			out.setHead(h)
		case frame.KindChunk:
			m, err := frame.DecodeChunk(raw)
			if err != nil || !headReceived || m.Position != chunks {
				return e.protocolError(err)
			}
			switch chunks++; chunks {
			case 1:
				firstChunk = now
			case soundChunks:
				e.recordSound(c, status, now)
			}
			digest = crc64.Update(digest, crcTable, m.Data)
			if err := out.write(m.Data, stream.Ready(), now); err != nil {
				return &damasktrail.Refusal{
					Reason: damasktrail.ReasonCancelled, Outcome: damasktrail.Unknown, Detail: "the caller is gone",
				}
			}
		case frame.KindEnd:
			m, err := frame.Decode[frame.End](raw, frame.KindEnd)
			if err != nil || !headReceived || m.Chunks != chunks || m.Digest != digest {
				return e.protocolError(err)
			}
			r.record(m.Load, now)
			e.affinity.record(c.prefixes, r.vm.Name)
			e.recordSound(c, status, now)
			e.compareEndGeneration(sess, m.Generation)
			e.stats.recordAnswer(c, r.vm.Name, damasktrail.Usage{Prefill: m.Prefill, Decode: m.Decode}, meanInterval(firstChunk, now, chunks), now)
			if err := out.finish(); err != nil {
				return &damasktrail.Refusal{
					Reason: damasktrail.ReasonCancelled, Outcome: damasktrail.Unknown, Detail: "the caller is gone",
				}
			}
			return nil
		case frame.KindRefuse:
			return e.receiveRefusal(c, r, sess, raw, chunks)
		default:
			return e.protocolError(nil)
		}
	}
}

// isFinal reports whether an answer may have the HTTP status. Informational statuses (1xx)
// precede an answer.
func isFinal(status int) bool { return status >= http.StatusOK && status <= maxStatus }

// receiveRefusal returns the refusal that ends an attempt after the given number of
// chunks.
func (e *Entry) receiveRefusal(c *call, r *remoteAgent, sess *session, raw frame.Raw, chunks uint64) *damasktrail.Refusal {
	m, err := frame.Decode[frame.Refuse](raw, frame.KindRefuse)
	if err != nil {
		return e.protocolError(err)
	}
	now := e.clock.Now()
	r.record(m.Load, now)
	e.compareEndGeneration(sess, m.Generation)
	if m.Reason == damasktrail.ReasonCrashed && chunks < soundChunks {
		e.recordCrash(c, r.vm.Name, now)
	}
	// A stale request is refused before its ticket is checked.
	c.notRunConfirmed = m.Outcome == damasktrail.NotRun && m.Reason != damasktrail.ReasonStale
	return m.Refusal()
}

// meanInterval returns the mean time between the chunks of an answer, zero when
// there are fewer than minChunks.
func meanInterval(first, last time.Time, chunks uint64) time.Duration {
	const minChunks = 4
	if chunks < minChunks {
		return 0
	}
	return last.Sub(first) / time.Duration(chunks-1)
}

// protocolError counts and logs a frame that does not continue the answer, and
// returns the refusal for it.
func (e *Entry) protocolError(err error) *damasktrail.Refusal {
	e.metrics.Count("protocol_errors", 1)
	e.log.Warn("agent's answer violates the protocol", "error", err)
	return lost("the answer was not whole")
}
