package telemetry

import (
	"context"
	"io"
	"log/slog"
)

type routineKey struct{}

// Routine is the context of lines that are dropped first when the reader of the
// log is slow, such as those of requests that were served.
var Routine = context.WithValue(context.Background(), routineKey{}, true)

// Logger returns a logger that writes JSON lines to w. Each message starts with
// the part's name and a colon. If w is a [Sink], lines that are logged with the
// context [Routine] are dropped first.
func Logger(w io.Writer, part string, level slog.Level) *slog.Logger {
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level})
	sink, _ := w.(*Sink)
	return slog.New(prefixed{Handler: handler, prefix: part + ": ", sink: sink})
}

// prefixed puts a fixed prefix before each message.
type prefixed struct {
	slog.Handler
	prefix string
	// sink is nil when lines are written elsewhere.
	sink *Sink
}

// Handle implements slog.Handler.
func (p prefixed) Handle(ctx context.Context, r slog.Record) error {
	if p.sink != nil && ctx.Value(routineKey{}) != nil && p.sink.DropRoutine() {
		return nil
	}
	res := slog.NewRecord(r.Time, r.Level, p.prefix+r.Message, r.PC)
	r.Attrs(func(a slog.Attr) bool {
		res.AddAttrs(a)
		return true
	})
	return p.Handler.Handle(ctx, res)
}

// WithAttrs implements slog.Handler.
func (p prefixed) WithAttrs(attrs []slog.Attr) slog.Handler {
	return prefixed{Handler: p.Handler.WithAttrs(attrs), prefix: p.prefix, sink: p.sink}
}

// WithGroup implements slog.Handler.
func (p prefixed) WithGroup(name string) slog.Handler {
	return prefixed{Handler: p.Handler.WithGroup(name), prefix: p.prefix, sink: p.sink}
}
