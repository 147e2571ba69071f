package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"damasktrail.dev"
	"damasktrail.dev/entry"
	"damasktrail.dev/group"
	"damasktrail.dev/internal/response/responsetest"
	"damasktrail.dev/timer"
)

// newService starts a configuration service that writes its answers with f, and returns
// the source that reads it.
func newService(t *testing.T, f func(c *net.TCPConn)) damasktrail.Source {
	t.Helper()
	tasks := group.New(context.Background())
	t.Cleanup(tasks.Close)
	address := responsetest.Serve(t, func(c *net.TCPConn, _ *http.Request) { f(c) })
	return newSource(entry.Settings{Platform: "http://" + address}, timer.New(tasks))
}

// Guards against broken answers of the configuration service that are taken for sound ones.
func TestBrokenAnswersOfService(t *testing.T) {
	const sound, body = "HTTP/1.1 200 OK\r\nGeneration: 9\r\n", `{"generation":9}`
	for name, c := range map[string]struct {
		head  string
		reset bool
		sound bool
	}{
		"sound":                  {head: sound, sound: true},
		"reset":                  {head: sound, reset: true},
		"status 000":             {head: "HTTP/1.1 000 Trouble\r\nGeneration: 9\r\n"},
		"status 600":             {head: "HTTP/1.1 600 Trouble\r\nGeneration: 9\r\n"},
		"version 2.0":            {head: "HTTP/2.0 200 OK\r\nGeneration: 9\r\n"},
		"blank in a name":        {head: sound + "X Y: z\r\n"},
		"blank after a name":     {head: sound + "X : z\r\n"},
		"blank before a name":    {head: sound + " X: z\r\n"},
		"control byte in a name": {head: sound + "X\x01: z\r\n"},
		"encoding after a blank": {head: sound + "Transfer-Encoding : chunked\r\n"},
	} {
		for _, framing := range responsetest.Framings {
			rest := framing.Whole(body)
			t.Run(name+", "+string(framing), func(t *testing.T) {
				t.Parallel()
				source := newService(t, func(conn *net.TCPConn) {
					if !c.reset {
						_, _ = io.WriteString(conn, c.head+rest)
						return
					}
					_, _ = io.WriteString(conn, c.head+rest[:len(rest)-9])
					_ = conn.SetLinger(0)
				})
				for _, read := range []func(context.Context, uint64) (damasktrail.Value, error){source.Document, source.VMs} {
					v, err := read(t.Context(), 1)
					if c.sound {
						require.NoError(t, err)
						require.Equal(t, damasktrail.Value{Version: 9, Data: []byte(body)}, v)
						continue
					}
					require.Error(t, err)
					require.NotErrorIs(t, err, damasktrail.ErrUnchanged)
					require.Zero(t, v)
				}
			})
		}
	}
}

// Guards against bytes without end that take the memory of the process.
func TestEndlessAnswersOfService(t *testing.T) {
	const maxAllocBytes = 16 << 20
	for name, text := range map[string]string{
		"no protocol":           "\x00\xff\x17a",
		"head":                  "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("a", 1000),
		"fields":                "HTTP/1.1 200 OK\r\n" + strings.Repeat("A: b\r\n", 200),
		"informational answers": "HTTP/1.1 103 Early\r\nA: b\r\n\r\n",
		"body":                  "HTTP/1.1 200 OK\r\nGeneration: 9\r\n\r\n" + strings.Repeat(" ", 1000),
		"body with a length":    "HTTP/1.1 200 OK\r\nGeneration: 9\r\nContent-Length: 1000000000000\r\n\r\n" + strings.Repeat(" ", 1000),
	} {
		t.Run(name, func(t *testing.T) {
			source := newService(t, func(c *net.TCPConn) {
				responsetest.WriteEndless(c, text)
			})
			begin := time.Now()
			allocated := responsetest.Allocated(func() {
				_, err := source.Document(t.Context(), 1)
				require.Error(t, err)
			})
			require.Less(t, time.Since(begin), 2*time.Second)
			require.Less(t, allocated, uint64(maxAllocBytes), "bytes allocated")
		})
	}
}
