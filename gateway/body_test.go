package gateway_test

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// BenchmarkRequest measures an ordinary request with a body, client and endpoint included.
func BenchmarkRequest(b *testing.B) {
	endpoint := &fakeEndpoint{}
	endpoint.Server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
		fmt.Fprint(w, "done")
	}))
	b.Cleanup(endpoint.Close)
	s := start(b, endpoint)
	for _, size := range []int{17_000, 100_000} {
		body := strings.Repeat("x", size)
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+s.settings.Callers+"/read/x", strings.NewReader(body))
				require.NoError(b, err)
				r.Host = "h"
				r.Header.Set("Attempt-Id", fmt.Sprint(size, i))
				r.Header.Set("X-Api-Key", "key")
				answer, err := http.DefaultTransport.RoundTrip(r)
				require.NoError(b, err)
				_, _ = io.Copy(io.Discard, answer.Body)
				require.NoError(b, answer.Body.Close())
				require.Equal(b, http.StatusOK, answer.StatusCode)
			}
		})
	}
}

// rawRequest writes a head and a part of a body to the gateway and returns the status, and
// whether the response states that the connection is closed, and it is. An endless client
// sends until then.
func rawRequest(t *testing.T, s *testGateway, fields, body string, endless bool) (status int, closed bool) {
	t.Helper()
	c, err := net.Dial("tcp4", s.settings.Callers)
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	go func() {
		_, err := io.WriteString(c, "POST /read/x HTTP/1.1\r\nHost: h\r\nX-Api-Key: key\r\nAttempt-Id: raw\r\n"+fields+"\r\n"+body)
		for err == nil && endless {
			_, err = c.Write([]byte(body))
		}
	}()
	r := bufio.NewReader(c)
	res, err := http.ReadResponse(r, nil)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, res.Body)
	require.NoError(t, err)
	require.NoError(t, res.Body.Close())
	_, err = r.ReadByte()
	return res.StatusCode, res.Close && err != nil
}

// Guards against bodies that are read although they will be refused, that are waited for
// beyond the deadline of their request, and against clients that lose the status because
// they are still sending.
func TestBodyThatIsNotRead(t *testing.T) {
	endpoint := newFakeEndpoint(t, respondWith("done"))
	s := start(t, endpoint)
	chunk := fmt.Sprintf("10000\r\n%s\r\n", bytes.Repeat([]byte("x"), 1<<16))
	for name, c := range map[string]struct {
		fields, body string
		endless      bool
		status       int
	}{
		"announced":         {"Content-Length: 1048577\r\n", "", false, http.StatusRequestEntityTooLarge},
		"announced, sent":   {"Content-Length: 1073741824\r\n", strings.Repeat("x", 1<<16), true, http.StatusRequestEntityTooLarge},
		"chunked":           {"Transfer-Encoding: chunked\r\n", chunk, true, http.StatusRequestEntityTooLarge},
		"stalled":           {"Content-Length: 1000\r\nDeadline-Ms: 200\r\n", "x", false, http.StatusRequestTimeout},
		"stalled in chunks": {"Transfer-Encoding: chunked\r\nDeadline-Ms: 200\r\n", chunk, false, http.StatusRequestTimeout},
	} {
		t.Run(name, func(t *testing.T) {
			status, closed := rawRequest(t, s, c.fields, c.body, c.endless)
			require.Equal(t, c.status, status)
			require.True(t, closed)
		})
	}
	require.Zero(t, endpoint.runCount("raw"))
	require.Equal(t, http.StatusOK, s.send("/read/x", "after", strings.Repeat("x", 1<<20)).status)
}
