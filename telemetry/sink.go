package telemetry

import (
	"context"
	"io"
	"sync/atomic"

	"damasktrail.dev/group"
)

const (
	// sinkLines is the number of lines that wait for a slow reader.
	sinkLines = 1024
	// crowdedLines is the number of waiting lines from which routine lines are
	// dropped. What is left is for lines about failures and changes.
	crowdedLines = sinkLines * 3 / 4
)

// Sink writes lines without ever blocking the writer. Lines beyond a bound are
// dropped and counted, routine ones first. It is safe for use by several
// goroutines.
type Sink struct {
	lines            chan []byte
	dropped, routine atomic.Int64
}

// NewSink returns a sink that writes to w as a task of the group. What waits when
// the group ends is written before the task returns.
func NewSink(w io.Writer, tasks *group.Group) *Sink {
	s := &Sink{lines: make(chan []byte, sinkLines)}
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

// flush writes the lines that wait.
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
	kept := append([]byte(nil), line...)
	select {
	case s.lines <- kept:
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// DropRoutine reports whether a routine line is to be dropped, and counts it.
func (s *Sink) DropRoutine() bool {
	if len(s.lines) < crowdedLines {
		return false
	}
	s.routine.Add(1)
	return true
}

// DroppedRoutine returns the number of routine lines that were dropped.
func (s *Sink) DroppedRoutine() int64 { return s.routine.Load() }

// Dropped returns the number of other lines that were dropped.
func (s *Sink) Dropped() int64 { return s.dropped.Load() }
