package main

import (
	"context"
	"encoding/base64"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"damasktrail.dev"
	"damasktrail.dev/gateway"
	"damasktrail.dev/group"
	"damasktrail.dev/internal/response/responsetest"
	"damasktrail.dev/timer"
)

// config is a configuration, in the store's encoding of values.
var config = base64.StdEncoding.EncodeToString([]byte(`{"version":7,"routes":[],"services":[],"limits":{"max_body_bytes":1024}}`))

// bodies are sound answers of the store by the path of the call.
var bodies = map[string]string{
	"/kv-key":   `{"key":"op/config","value":"` + config + `","revision":5,"as_of":5}`,
	"/kv-range": `{"entries":[],"has_more":false,"as_of":5}`,
	"/kv-watch": `{"events":[{"key":"op/config","value":"` + config + `","revision":6}],"as_of":6}`,
}

// calls are the calls of a directory.
var calls = map[string]func(d damasktrail.Directory) error{
	"read of the table": func(d damasktrail.Directory) error {
		_, err := d.Table(context.Background())
		return err
	},
	"watch of the table": func(d damasktrail.Directory) error {
		_, err := d.WatchTable(context.Background(), damasktrail.Watch{After: 4, Wait: 100 * time.Millisecond})
		return err
	},
	"range of the endpoints": func(d damasktrail.Directory) error {
		_, err := d.Endpoints(context.Background(), true)
		return err
	},
	"watch of the endpoints": func(d damasktrail.Directory) error {
		_, err := d.WatchEndpoints(context.Background(), damasktrail.Watch{After: 4, Wait: 100 * time.Millisecond})
		return err
	},
}

// fakeStore is a store that writes its answers with f.
type fakeStore struct {
	damasktrail.Directory
	requests atomic.Int32
}

// newStore starts a store and returns it with the directory that reads it.
func newStore(t *testing.T, f func(c *net.TCPConn, body string)) *fakeStore {
	t.Helper()
	tasks := group.New(context.Background())
	t.Cleanup(tasks.Close)
	s := &fakeStore{}
	address := responsetest.Serve(t, func(c *net.TCPConn, r *http.Request) {
		s.requests.Add(1)
		f(c, bodies[r.URL.Path])
	})
	s.Directory = newDirectory(gateway.Settings{Directory: address}, timer.New(tasks))
	return s
}

// Guards against broken answers of the store that are taken for sound ones.
func TestBrokenAnswersOfStore(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\n"
	for _, c := range []struct {
		name, head string
		// lost is the number of bytes that are not sent, reset whether a reset follows.
		lost  int
		reset bool
		sound bool
	}{
		{name: "sound", head: sound, sound: true},
		{name: "informational before", head: "HTTP/1.1 103 Early\r\n\r\n" + sound, sound: true},
		{name: "cut", head: sound, lost: 9},
		{name: "reset", head: sound, lost: 9, reset: true},
		{name: "status 000", head: "HTTP/1.1 000 Trouble\r\n"},
		{name: "status 101", head: "HTTP/1.1 101 Switching Protocols\r\n"},
		{name: "status 600", head: "HTTP/1.1 600 Trouble\r\n"},
		{name: "version 2.0", head: "HTTP/2.0 200 OK\r\n"},
		{name: "blank in a name", head: sound + "X Y: z\r\n"},
		{name: "blank after a name", head: sound + "X : z\r\n"},
		{name: "blank before a name", head: sound + "A: b\r\n X: z\r\n"},
		{name: "control byte in a name", head: sound + "X\x01: z\r\n"},
		{name: "length after a blank", head: sound + "Content-Length : 3\r\n"},
		{name: "encoding after a blank", head: sound + "Transfer-Encoding : chunked\r\n"},
	} {
		for _, framing := range responsetest.Framings {
			for call, do := range calls {
				t.Run(fmt.Sprintf("%s, %s, %s", c.name, framing, call), func(t *testing.T) {
					t.Parallel()
					s := newStore(t, func(conn *net.TCPConn, body string) {
						answer := c.head + framing.Whole(body)
						_, _ = io.WriteString(conn, answer[:len(answer)-c.lost])
						if c.reset {
							_ = conn.SetLinger(0)
						}
					})
					begin := time.Now()
					err := do(s)
					if c.sound {
						require.NoError(t, err)
					} else {
						require.Error(t, err)
						require.NotErrorIs(t, err, damasktrail.ErrUnchanged)
					}
					require.Less(t, time.Since(begin), time.Second)
					require.Equal(t, int32(1), s.requests.Load(), "requests sent")
				})
			}
		}
	}
}

// Guards against bytes without end that take the memory of the process.
func TestEndlessAnswersOfStore(t *testing.T) {
	const maxAllocBytes = 64 << 20
	for name, text := range map[string]string{
		"no protocol":            "\x00\xff\x17a",
		"head":                   "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("a", 1000),
		"fields":                 "HTTP/1.1 200 OK\r\n" + strings.Repeat("A: b\r\n", 200),
		"informational answers":  "HTTP/1.1 103 Early\r\nA: b\r\n\r\n",
		"body":                   "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat(" ", 1000),
		"body with a length":     "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n" + strings.Repeat(" ", 1000),
		"body of another status": "HTTP/1.1 503 Trouble\r\n\r\n" + strings.Repeat(" ", 1000),
	} {
		t.Run(name, func(t *testing.T) {
			s := newStore(t, func(c *net.TCPConn, _ string) {
				responsetest.WriteEndless(c, text)
			})
			for call, do := range calls {
				begin := time.Now()
				allocated := responsetest.Allocated(func() { require.Error(t, do(s), call) })
				require.Less(t, time.Since(begin), 2*time.Second, call)
				require.Less(t, allocated, uint64(maxAllocBytes), "%s: bytes allocated", call)
			}
		})
	}
}
