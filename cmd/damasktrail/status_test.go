package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// serveRaw starts a process that writes its status with f, and returns its address.
func serveRaw(t *testing.T, f func(c *net.TCPConn)) string {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					f(c.(*net.TCPConn))
				}
			}()
		}
	}()
	return l.Addr().String()
}

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
	text := statuses["AGENT"]
	framings := map[string]string{
		"length":  fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(text), text),
		"chunks":  fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(text), text),
		"neither": "\r\n" + text,
	}
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
		for framing, rest := range framings {
			t.Run(name+", "+framing, func(t *testing.T) {
				t.Parallel()
				address := serveRaw(t, func(conn *net.TCPConn) {
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
			address := serveRaw(t, func(c *net.TCPConn) {
				for block := []byte(strings.Repeat(text, 64)); ; {
					if _, err := c.Write(block); err != nil {
						return
					}
				}
			})
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			begin := time.Now()
			require.Equal(t, "unreachable", readState(t, address))
			runtime.ReadMemStats(&after)
			require.Less(t, time.Since(begin), 3*time.Second)
			require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(maxAllocBytes), "bytes allocated")
		})
	}
}
