package telemetry_test

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"damasktrail.dev/group"
	"damasktrail.dev/telemetry"
)

// Guards against a stalled log reader that blocks requests: lines beyond the
// bound are dropped and counted.
func TestSinkNeverBlocks(t *testing.T) {
	tasks := group.New(context.Background())
	reader, writer := io.Pipe()
	s := telemetry.NewSink(writer, tasks)
	log := telemetry.Logger(s, "gateway", slog.LevelInfo)
	for i := range 5000 {
		log.Info("request ended", "number", i)
	}
	require.Greater(t, s.Dropped(), int64(3000))
	require.Less(t, s.Dropped(), int64(4500))
	require.NoError(t, reader.Close())
	tasks.Close()
}

// Guards against the loss of lines about failed requests when lines about
// served requests fill the queue.
func TestSinkDropsRoutineLinesFirst(t *testing.T) {
	tasks := group.New(context.Background())
	reader, writer := io.Pipe()
	s := telemetry.NewSink(writer, tasks)
	log := telemetry.Logger(s, "gateway", slog.LevelInfo).With("vm", "a")
	for range 4000 {
		log.InfoContext(telemetry.Routine, "request ended", "outcome", "answered")
	}
	for range 200 {
		log.Info("request ended", "outcome", "refused")
	}
	require.Zero(t, s.Dropped())
	require.Greater(t, s.DroppedRoutine(), int64(3000))
	require.NoError(t, reader.Close())
	tasks.Close()
}

// lockedBuffer is a buffer whose writes are serialised.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// Guards against the loss of the last lines of a process.
func TestSinkFlushes(t *testing.T) {
	tasks := group.New(context.Background())
	var out lockedBuffer
	log := telemetry.Logger(telemetry.NewSink(&out, tasks), "gateway", slog.LevelInfo)
	for range 100 {
		log.Info("stopped")
	}
	tasks.Close()
	require.Equal(t, 100, bytes.Count(out.b.Bytes(), []byte("gateway: stopped")))
}
