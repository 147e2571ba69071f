package telemetry

import (
	"context"
	"io"
	"log/slog"
)

type routineKey struct{}

// Routine is the context for log lines that are dropped first when the reader
// of the log is slow, such as those of served requests.
var Routine = context.WithValue(context.Background(), routineKey{}, true)

// Logger returns a logger that writes JSON lines to w. Each message starts with
// the component's name and a colon. If w is a [Sink], lines that are logged
// with the context [Routine] are dropped first.
func Logger(w io.Writer, component string, level slog.Level) *slog.Logger {
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level})
	sink, _ := w.(*Sink)
	return slog.New(prefixHandler{Handler: handler, prefix: component + ": ", sink: sink})
}

// prefixHandler adds a fixed prefix to each message.
type prefixHandler struct {
	slog.Handler
	prefix string
	// sink is nil when the lines do not go to a Sink.
	sink *Sink
}

// Handle implements slog.Handler.
func (p prefixHandler) Handle(ctx context.Context, r slog.Record) error {
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
func (p prefixHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return prefixHandler{Handler: p.Handler.WithAttrs(attrs), prefix: p.prefix, sink: p.sink}
}

// WithGroup implements slog.Handler.
func (p prefixHandler) WithGroup(name string) slog.Handler {
	return prefixHandler{Handler: p.Handler.WithGroup(name), prefix: p.prefix, sink: p.sink}
}
