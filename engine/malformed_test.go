package engine_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"damasktrail.dev"
	"damasktrail.dev/engine"
)

// malformedAnswers begin with a status or a field that no answer has and are sound else.
var malformedAnswers = map[string]string{
	"status 000":                   "HTTP/1.1 000 Trouble\r\nContent-Length: 2\r\n\r\nok",
	"status 000, chunks":           "HTTP/1.1 000 Trouble\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"status 099":                   "HTTP/1.1 099 Trouble\r\nContent-Length: 2\r\n\r\nok",
	"status 600":                   "HTTP/1.1 600 Trouble\r\nContent-Length: 2\r\n\r\nok",
	"status +20":                   "HTTP/1.1 +20 OK\r\nContent-Length: 2\r\n\r\nok",
	"change of protocol":           "HTTP/1.1 101 Switching Protocols\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\nok",
	"version 2.0":                  "HTTP/2.0 200 OK\r\nContent-Length: 2\r\n\r\nok",
	"blank in a name":              "HTTP/1.1 200 OK\r\nX Y: z\r\nContent-Length: 2\r\n\r\nok",
	"blank after a name":           "HTTP/1.1 200 OK\r\nX : z\r\nContent-Length: 2\r\n\r\nok",
	"blank before a name":          "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n X: z\r\n\r\nok",
	"tab before a name":            "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\tX: z\r\n\r\nok",
	"control byte in a name":       "HTTP/1.1 200 OK\r\nX\x01: z\r\nContent-Length: 2\r\n\r\nok",
	"control byte in a value":      "HTTP/1.1 200 OK\r\nX: z\x00\r\nContent-Length: 2\r\n\r\nok",
	"encoding after a blank":       "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\nContent-Length: 12\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"encoding in version 1.0":      "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\nContent-Length: 12\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"blank in a name, then events": "HTTP/1.1 200 OK\r\nX Y: z\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\nid: 1\ndata: [DONE]\n\n",
}

// Guards against an endpoint's answer that no answer can be and that reaches the caller: the
// agent passed on status 000, which the entry made status 200.
func TestMalformedAnswers(t *testing.T) {
	for name, answer := range malformedAnswers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for _, settings := range []engine.Settings{{}, {Service: true}} {
				for _, stream := range []bool{false, true} {
					for _, method := range []string{http.MethodPost, http.MethodGet} {
						s := newFixedServer(t, answer)
						settings.MaxResumes, settings.SilenceTimeout = 1, time.Second
						a, err := newClient(t, s, settings).Run(t.Context(), damasktrail.Call{ID: "a", Method: method, Path: "/call", Stream: stream})
						if err == nil {
							_, err = readAll(a)
							a.Close()
						}
						require.ErrorAs(t, err, new(*engine.LostError), "%s, stream %t, service %t", method, stream, settings.Service)
						require.Equal(t, 1, s.count(method+" /call"))
					}
				}
			}
		})
	}
}

// Guards against an order, a report or a health check that such an answer confirms.
func TestMalformedControlAnswers(t *testing.T) {
	for name, answer := range malformedAnswers {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := newFixedServer(t, answer)
			s.mu.Lock()
			s.sick = true
			s.mu.Unlock()
			c := newClient(t, s, engine.Settings{})
			require.Error(t, c.Order(t.Context(), damasktrail.Order{Fence: 1, Model: "m"}))
			_, err := c.Load(t.Context())
			require.Error(t, err)
			require.Error(t, c.Healthy(t.Context()))
		})
	}
}
