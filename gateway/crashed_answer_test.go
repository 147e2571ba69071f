package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"damasktrail.dev/fleet"
)

// serveUndelimited answers each request with an answer that only the end of its connection
// ends. If crash is set, the listener is closed just before.
func serveUndelimited(l net.Listener, contentType, body string, crash bool) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			r, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nContent-Type: %s\r\n\r\n%s", r.Header.Get("Attempt-Id"), contentType, body)
			time.Sleep(20 * time.Millisecond)
			if crash {
				_ = l.Close()
			}
		}()
	}
}

// Guards against an answer without length that a crash of its endpoint broke off and that
// reaches the caller as complete, and against cutting sound ones.
func TestUndelimitedAnswerOfCrashedEndpoint(t *testing.T) {
	const events = "text/event-stream"
	for _, c := range []struct {
		name, path, contentType, body string
		crash                         bool
		status                        int
		complete                      bool
	}{
		{"plain, sound", "/read/x", "text/plain", "answer", false, http.StatusOK, true},
		{"plain, crash", "/read/x", "text/plain", "ans", true, http.StatusBadGateway, true},
		{"plain, may not run twice, crash", "/send/x", "text/plain", "ans", true, http.StatusBadGateway, true},
		{"stream, sound", "/stream/x", events, eventText(1, 6), false, http.StatusOK, true},
		{"stream, crash between events", "/stream/x", events, eventText(1, 3), true, http.StatusOK, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			require.NoError(t, err)
			t.Cleanup(func() { _ = l.Close() })
			go serveUndelimited(l, c.contentType, c.body, c.crash)
			s := start(t)
			s.update(func() {
				s.endpoints = fleet.Of(fleet.Endpoint{ID: "e", Service: "s", Address: l.Addr().String(), Domain: "d", Slots: 4})
			})
			time.Sleep(100 * time.Millisecond)
			got := s.send(c.path, "id", "")
			if c.complete {
				require.NoError(t, got.err)
				require.Equal(t, c.status, got.status)
				require.Equal(t, c.status == http.StatusOK, got.body == c.body, got.body)
				return
			}
			require.True(t, got.err != nil || got.status != c.status, "%d %q", got.status, got.body)
		})
	}
}
