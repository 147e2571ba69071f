package gateway

import (
	"bytes"
	"cmp"
	"errors"
	"io"
)

// errPartialEvent is returned when a stream ends in the middle of an event.
var errPartialEvent = errors.New("stream ended inside an event")

// maxEventBytes is the maximum size of one event of a stream.
const maxEventBytes = 128 << 10

// errLongEvent is returned when an event exceeds maxEventBytes.
var errLongEvent = errors.New("event is too long")

// eventBatch is one or more complete events of a stream.
type eventBatch struct {
	// data is valid until the next call of eventReader.next.
	data []byte
	// firstID and lastID are the IDs of the first and the last event that have one, empty
	// when none has.
	firstID, lastID string
	// count is the number of events.
	count int
}

// eventReader splits a server-sent event stream into complete events.
type eventReader struct {
	reader io.Reader
	buffer []byte
	// consumed is the length of the events in buffer that were returned before.
	consumed int
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{reader: r, buffer: make([]byte, 0, 4<<10)}
}

// next returns the events that have arrived, at least one. It returns [io.EOF]
// after the last event of a stream that was received completely.
func (s *eventReader) next() (eventBatch, error) {
	s.buffer = append(s.buffer[:0], s.buffer[s.consumed:]...)
	s.consumed = 0
	for {
		if end := completeLength(s.buffer); end > 0 {
			s.consumed = end
			return newEventBatch(s.buffer[:end]), nil
		}
		if len(s.buffer) > maxEventBytes {
			return eventBatch{}, errLongEvent
		}
		if cap(s.buffer)-len(s.buffer) < 1<<10 {
			s.buffer = append(make([]byte, 0, 2*cap(s.buffer)), s.buffer...)
		}
		n, err := s.reader.Read(s.buffer[len(s.buffer):cap(s.buffer)])
		s.buffer = s.buffer[:len(s.buffer)+n]
		if err == nil || n > 0 && completeLength(s.buffer) > 0 {
			continue
		}
		if errors.Is(err, io.EOF) && len(s.buffer) > 0 {
			return eventBatch{}, errPartialEvent
		}
		return eventBatch{}, err
	}
}

// completeLength returns the length of the complete events at the start of b.
func completeLength(b []byte) int {
	end := 0
	if i := bytes.LastIndex(b, []byte("\n\n")); i >= 0 {
		end = i + len("\n\n")
	}
	if i := bytes.LastIndex(b, []byte("\r\n\r\n")); i >= 0 {
		end = max(end, i+len("\r\n\r\n"))
	}
	return end
}

func newEventBatch(data []byte) eventBatch {
	res := eventBatch{data: data}
	empty := true
	for line := range bytes.Lines(data) {
		line = bytes.TrimRight(line, "\r\n")
		if len(line) == 0 {
			if !empty {
				res.count++
			}
			empty = true
			continue
		}
		empty = false
		if id, found := bytes.CutPrefix(line, []byte("id:")); found {
			res.lastID = string(bytes.TrimPrefix(id, []byte(" ")))
			res.firstID = cmp.Or(res.firstID, res.lastID)
		}
	}
	return res
}
