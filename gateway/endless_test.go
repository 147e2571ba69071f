package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"damasktrail.dev/internal/response/responsetest"
)

// sendEndless writes a text to the connection of a request until it is closed.
func sendEndless(text string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer c.Close()
		block := []byte(strings.Repeat(text, 64<<10/len(text)))
		for {
			if _, err := c.Write(block); err != nil {
				return
			}
		}
	}
}

// Guards against an endpoint whose bytes never end: it took the memory of the whole
// VM, and the requests that were sent again took that of the next. Ten callers send a
// hundred requests to one such endpoint and one that is sound; the few that the retry
// budget does not let go on fail, and nothing comes late.
func TestEndlessEndpoint(t *testing.T) {
	for name, text := range map[string]string{
		"no protocol":    "\x00\xff\x17a",
		"header":         "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("a", 1000),
		"failure":        "HTTP/1.1 500 Oops\r\nContent-Length: 1000000000\r\n\r\n" + strings.Repeat("a", 1000),
		"event":          "HTTP/1.1 200 OK\r\nAttempt-Id: x\r\nContent-Type: text/event-stream\r\n\r\ndata: " + strings.Repeat("a", 1000),
		"early response": "HTTP/1.1 103 Early\r\nX: y\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			bad, sound := newFakeEndpoint(t, sendEndless(text)), newFakeEndpoint(t, respondWith("answer"))
			s := start(t, bad, sound)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			var wg sync.WaitGroup
			var mu sync.Mutex
			answered, slowest, outcomes := 0, time.Duration(0), map[string]int{}
			for caller := range 10 {
				wg.Add(1)
				go func() {
					defer wg.Done()
					for i := range 10 {
						begin := time.Now()
						got := s.send("/open/x", fmt.Sprintf("%s-%d-%d", name, caller, i), "")
						mu.Lock()
						slowest = max(slowest, time.Since(begin))
						outcomes[fmt.Sprint(got.status, got.err, got.body)]++
						if got.err == nil && got.status == http.StatusOK {
							assert.Equal(t, "answer", got.body)
							answered++
						}
						mu.Unlock()
					}
				}()
			}
			wg.Wait()
			runtime.ReadMemStats(&after)
			require.Greater(t, answered, 80, "%v", outcomes)
			require.Less(t, slowest, 2*time.Second)
			const maxAllocBytes = 100 * 512 << 10
			require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(maxAllocBytes), "bytes allocated")
		})
	}
}

// Guards against a stream whose event never ends: the gateway kept it in memory up to
// its limit of 1 MiB and twice that for each stream. The largest events of the sites
// have 400 bytes.
func TestEndlessEvent(t *testing.T) {
	e := newFakeEndpoint(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for {
			if _, err := w.Write([]byte("data: " + strings.Repeat("a", 1<<10))); err != nil {
				return
			}
		}
	})
	s := start(t, e)
	begin := time.Now()
	got := s.send("/stream/x", "1", "")
	require.Equal(t, http.StatusBadGateway, got.status)
	require.Contains(t, got.body, "event is too long")
	require.Less(t, time.Since(begin), time.Second)
}

// Guards against a body without end that the gateway keeps: its caller reads all of it until
// the request's deadline.
func TestEndlessBody(t *testing.T) {
	const (
		maxAllocBytes = 16 << 20
		deadline      = 500 * time.Millisecond
	)
	for _, k := range kinds() {
		for name, rest := range map[string]struct{ begin, repeat string }{
			"length":      {"Content-Length: 1000000000000\r\n\r\n", k.body},
			"chunks":      {"Transfer-Encoding: chunked\r\n\r\n", fmt.Sprintf("%x\r\n%s\r\n", len(k.body), k.body)},
			"neither":     {"\r\n", k.body},
			"chunk line":  {"Transfer-Encoding: chunked\r\n\r\n5;", "aaaaaaaa"},
			"trailer":     {"Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n", "A: b\r\n"},
			"empty lines": {"\r\n", "\r\n"},
		} {
			t.Run(k.name+", "+name, func(t *testing.T) {
				s := startWithRaw(t, func(c *net.TCPConn, r *http.Request) {
					_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+k.head(responsetest.Neither, r.Header.Get("Attempt-Id"))+rest.begin)
					responsetest.WriteEndless(c, rest.repeat)
				})
				s.renew()
				r, err := http.NewRequest(http.MethodPost, "http://"+s.settings.Callers+k.path, nil)
				require.NoError(t, err)
				r.Host = "h"
				r.Header = http.Header{"Attempt-Id": {"id"}, "X-Api-Key": {"key"}, "Deadline-Ms": {fmt.Sprint(deadline.Milliseconds())}}
				begin := time.Now()
				var answer *http.Response
				allocated := responsetest.Allocated(func() {
					answer, err = http.DefaultTransport.RoundTrip(r)
					if err == nil {
						_, err = io.Copy(io.Discard, answer.Body)
						answer.Body.Close()
					}
				})
				require.True(t, err != nil || answer.StatusCode != http.StatusOK, "an answer without end is whole")
				require.Less(t, time.Since(begin), deadline+time.Second)
				require.Less(t, allocated, uint64(maxAllocBytes), "bytes allocated")
			})
		}
	}
}
