package telemetry

import (
	"context"
	"io"
	"sync/atomic"

	"damasktrail.dev/group"
)

const (
	// sinkBufferLines is the number of lines that can be queued for a slow
	// reader.
	sinkBufferLines = 1024
	// routineThresholdLines is the number of queued lines from which routine
	// lines are dropped. The remaining capacity is reserved for lines about
	// failures and changes.
	routineThresholdLines = sinkBufferLines * 3 / 4
)

// Sink is a line writer that never blocks its caller. Lines beyond a bound are
// dropped and counted, routine ones first. It is safe for use by several
// goroutines.
type Sink struct {
	lines                   chan []byte
	dropped, droppedRoutine atomic.Int64
}

// NewSink returns a sink that writes to w in a goroutine of tasks. Lines that
// are queued when the group ends are written before the goroutine returns.
func NewSink(w io.Writer, tasks *group.Group) *Sink {
	s := &Sink{lines: make(chan []byte, sinkBufferLines)}
	tasks.Go(func(ctx context.Context) {
		for {
			select {
			case line := <-s.lines:
				_, _ = w.Write(line)
			case <-ctx.Done():
				s.flush(w)
				return
			}
		}
	})
	return s
}

// flush writes the queued lines.
func (s *Sink) flush(w io.Writer) {
	for {
		select {
		case line := <-s.lines:
			_, _ = w.Write(line)
		default:
			return
		}
	}
}

// Write implements [io.Writer]. It never fails.
func (s *Sink) Write(line []byte) (int, error) {
	queued := append([]byte(nil), line...)
	select {
	case s.lines <- queued:
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// DropRoutine reports whether a routine line must be dropped, and if so counts
// it.
func (s *Sink) DropRoutine() bool {
	if len(s.lines) < routineThresholdLines {
		return false
	}
	s.droppedRoutine.Add(1)
	return true
}

// DroppedRoutine returns the number of routine lines that were dropped.
func (s *Sink) DroppedRoutine() int64 { return s.droppedRoutine.Load() }

// Dropped returns the number of other lines that were dropped.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }
