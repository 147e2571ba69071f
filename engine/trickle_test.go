package engine_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"damasktrail.dev"
	"damasktrail.dev/engine"
	"damasktrail.dev/engine/enginetest"
	"damasktrail.dev/group"
	"damasktrail.dev/timer"
)

// piece returns the piece with the number i of an answer, empty at its end.
type piece func(i int) string

// repeat returns the same piece for ever.
func repeat(text string) piece { return func(int) string { return text } }

// events returns n events, each after a number of comments, and the end of the stream.
func events(n, comments int) piece {
	return func(i int) string {
		event := i/(comments+1) + 1
		switch {
		case i%(comments+1) < comments:
			return ": wait\n\n"
		case event < n:
			return fmt.Sprintf("id: %d\ndata: x\n\n", event)
		case event == n:
			return fmt.Sprintf("id: %d\ndata: [DONE]\n\n", event)
		}
		return ""
	}
}

// Guards against answers that never end because the endpoint sends something now and then,
// and against cutting slow ones that get on.
func TestTricklingAnswers(t *testing.T) {
	const (
		never   = time.Hour
		stalled = "answer made no progress"
		silent  = "connection sent nothing complete"
	)
	for _, c := range []struct {
		name     string
		stream   bool
		service  bool
		idle     time.Duration
		interval time.Duration
		piece    piece
		// failure is the error that ends the answer, empty for a complete one, and within
		// the time by which it ends.
		failure string
		within  time.Duration
	}{
		{"comments only", true, false, 0, 5 * time.Second, repeat(": wait\n\n"), stalled, 11 * time.Minute},
		{"the same event", true, false, 0, 5 * time.Second, repeat("id: 1\ndata: x\n\n"), stalled, 11 * time.Minute},
		{"bytes of an event", true, false, 0, 5 * time.Second, repeat("x"), silent, 2 * time.Minute},
		{"bytes of a body", false, false, 30 * time.Second, 5 * time.Second, repeat("x"), stalled, time.Minute},
		{"bytes of a body, no deadline", false, false, 0, 5 * time.Second, repeat("x"), stalled, 21 * time.Minute},
		{"bytes of the body of a service", false, true, 30 * time.Second, 5 * time.Second, repeat("x"), stalled, time.Minute},
		{"slow events", true, false, 0, 19 * time.Second, events(100, 0), "", never},
		{"slow events between comments", true, false, 0, 15 * time.Second, events(5, 35), "", never},
		{"slow body", false, false, 30 * time.Second, 5 * time.Second, func(i int) string { return "xxxx"[i:] }, "", 30 * time.Second},
		{"slow stream of a service", true, true, 0, 15 * time.Second, events(200, 0), "", never},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				network := enginetest.NewNetwork()
				tasks := group.New(context.Background())
				server := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					if r.Method == http.MethodDelete || r.URL.Path == "/health" {
						return
					}
					if c.stream {
						w.Header().Set("Content-Type", "text/event-stream")
					}
					for i := 0; r.Context().Err() == nil; i++ {
						time.Sleep(c.interval)
						text := c.piece(i)
						if text == "" {
							return
						}
						_, _ = io.WriteString(w, text)
						_ = http.NewResponseController(w).Flush()
					}
				})}
				tasks.Go(func(context.Context) { _ = server.Serve(network) })
				defer func() {
					_ = server.Close()
					network.Crash()
					time.Sleep(c.interval) // The handler notices the closed connection.
					tasks.Close()
				}()
				client := engine.New("http://endpoint.test", network.Client(), timer.New(tasks), engine.Settings{Service: c.service})
				start := time.Now()
				ctx, cancel := context.WithTimeout(t.Context(), 2*never)
				defer cancel()
				a, err := client.Run(ctx, damasktrail.Call{ID: "a", Method: http.MethodPost, Path: "/call", Stream: c.stream, IdleTimeout: c.idle})
				if err == nil {
					_, err = readAll(a)
					_ = a.Close()
				}
				if c.failure == "" {
					require.NoError(t, err)
				} else {
					require.ErrorAs(t, err, new(*engine.LostError))
					require.ErrorContains(t, err, c.failure)
				}
				require.LessOrEqual(t, time.Since(start), c.within)
			})
		})
	}
}
