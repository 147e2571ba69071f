package gateway

import (
	"bytes"
	"errors"
	"io"
)

// errPartial says that a stream ended in the middle of an event.
var errPartial = errors.New("stream ended inside an event")

// maxEvent bounds one event of a stream in bytes.
const maxEvent = 1 << 20

// errLongEvent says that an event exceeds maxEvent.
var errLongEvent = errors.New("event is too long")

// batch is one or more whole events of a stream.
type batch struct {
	// data is valid until the next call.
	data []byte
	// last is the id of the last event that has one, empty when none has.
	last string
	// count is the number of events.
	count int
}

// events splits a server-sent event stream into whole events.
type events struct {
	reader io.Reader
	buffer []byte
	// used is the length of the events that were returned before.
	used int
}

func newEvents(r io.Reader) *events { return &events{reader: r, buffer: make([]byte, 0, 4<<10)} }

// next returns the events that have arrived, at least one. It returns [io.EOF]
// after the last one of a stream that was received whole.
func (s *events) next() (batch, error) {
	s.buffer = append(s.buffer[:0], s.buffer[s.used:]...)
	s.used = 0
	for {
		if end := lastEnd(s.buffer); end > 0 {
			s.used = end
			return newBatch(s.buffer[:end]), nil
		}
		if len(s.buffer) > maxEvent {
			return batch{}, errLongEvent
		}
		if cap(s.buffer)-len(s.buffer) < 1<<10 {
			s.buffer = append(make([]byte, 0, 2*cap(s.buffer)), s.buffer...)
		}
		n, err := s.reader.Read(s.buffer[len(s.buffer):cap(s.buffer)])
		s.buffer = s.buffer[:len(s.buffer)+n]
		if err == nil || n > 0 && lastEnd(s.buffer) > 0 {
			continue
		}
		if errors.Is(err, io.EOF) && len(s.buffer) > 0 {
			return batch{}, errPartial
		}
		return batch{}, err
	}
}

// lastEnd returns the length of the whole events at the start of b.
func lastEnd(b []byte) int {
	end := 0
	if i := bytes.LastIndex(b, []byte("\n\n")); i >= 0 {
		end = i + len("\n\n")
	}
	if i := bytes.LastIndex(b, []byte("\r\n\r\n")); i >= 0 {
		end = max(end, i+len("\r\n\r\n"))
	}
	return end
}

func newBatch(data []byte) batch {
	res := batch{data: data}
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
			res.last = string(bytes.TrimPrefix(id, []byte(" ")))
		}
	}
	return res
}
