package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"damasktrail.dev/internal/response/responsetest"
)

// readState returns the state of a process that the status command prints.
func readState(t *testing.T, address string) string {
	t.Helper()
	var out, errOut bytes.Buffer
	s := &status{JSON: true, Timeout: 2 * time.Second, out: &out, errOut: &errOut}
	s.Args.Addresses = []string{address}
	_ = s.Execute(nil)
	var list struct{ Processes []process }
	require.NoError(t, json.Unmarshal(out.Bytes(), &list))
	require.Len(t, list.Processes, 1)
	return list.Processes[0].State
}

// Guards against a broken answer that is shown as the state of a process.
func TestBrokenStatus(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\n"
	for name, c := range map[string]struct {
		head, state string
		reset       bool
	}{
		"sound":                  {head: sound, state: "live"},
		"reset":                  {head: sound, state: "unreachable", reset: true},
		"status 000":             {head: "HTTP/1.1 000 Trouble\r\n", state: "unreachable"},
		"status 600":             {head: "HTTP/1.1 600 Trouble\r\n", state: "unreachable"},
		"version 2.0":            {head: "HTTP/2.0 200 OK\r\n", state: "unreachable"},
		"blank in a name":        {head: sound + "X Y: z\r\n", state: "unreachable"},
		"blank after a name":     {head: sound + "X : z\r\n", state: "unreachable"},
		"blank before a name":    {head: sound + "A: b\r\n X: z\r\n", state: "unreachable"},
		"control byte in a name": {head: sound + "X\x01: z\r\n", state: "unreachable"},
	} {
		for _, framing := range responsetest.Framings {
			rest := framing.Whole(statuses["AGENT"])
			t.Run(name+", "+string(framing), func(t *testing.T) {
				t.Parallel()
				address := responsetest.Serve(t, func(conn *net.TCPConn, _ *http.Request) {
					if !c.reset {
						_, _ = io.WriteString(conn, c.head+rest)
						return
					}
					_, _ = io.WriteString(conn, c.head+rest[:len(rest)-9])
					_ = conn.SetLinger(0)
				})
				require.Equal(t, c.state, readState(t, address))
			})
		}
	}
}

// Guards against bytes without end that take the memory of the operator's machine.
func TestEndlessStatus(t *testing.T) {
	const maxAllocBytes = 32 << 20
	for name, text := range map[string]string{
		"no protocol":           "\x00\xff\x17a",
		"head":                  "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("a", 1000),
		"informational answers": "HTTP/1.1 103 Early\r\nA: b\r\n\r\n",
		"body":                  "HTTP/1.1 200 OK\r\n\r\n" + strings.Repeat(" ", 1000),
		"body with a length":    "HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n" + strings.Repeat(" ", 1000),
	} {
		t.Run(name, func(t *testing.T) {
			address := responsetest.Serve(t, func(c *net.TCPConn, _ *http.Request) { responsetest.WriteEndless(c, text) })
			begin := time.Now()
			allocated := responsetest.Allocated(func() { require.Equal(t, "unreachable", readState(t, address)) })
			require.Less(t, time.Since(begin), 3*time.Second)
			require.Less(t, allocated, uint64(maxAllocBytes), "bytes allocated")
		})
	}
}
