package telemetry

import (
	"context"
	"io"
	"log/slog"
)

// Logger returns a logger that writes JSON lines to w. Each message starts with
// the part's name and a colon.
func Logger(w io.Writer, part string, level slog.Level) *slog.Logger {
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level})
	return slog.New(prefixed{Handler: handler, prefix: part + ": "})
}

// prefixed puts a fixed prefix before each message.
type prefixed struct {
	slog.Handler
	prefix string
}

// Handle implements slog.Handler.
func (p prefixed) Handle(ctx context.Context, r slog.Record) error {
	res := slog.NewRecord(r.Time, r.Level, p.prefix+r.Message, r.PC)
	r.Attrs(func(a slog.Attr) bool {
		res.AddAttrs(a)
		return true
	})
	return p.Handler.Handle(ctx, res)
}

// WithAttrs implements slog.Handler.
func (p prefixed) WithAttrs(attrs []slog.Attr) slog.Handler {
	return prefixed{Handler: p.Handler.WithAttrs(attrs), prefix: p.prefix}
}

// WithGroup implements slog.Handler.
func (p prefixed) WithGroup(name string) slog.Handler {
	return prefixed{Handler: p.Handler.WithGroup(name), prefix: p.prefix}
}
