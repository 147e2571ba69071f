package entry_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"damasktrail.dev/standin"
)

// replaceEndpoint starts an endpoint in place of the first one. It answers requests whose
// path holds /files/ with the bytes of answer, and others as before.
func (f *fleet) replaceEndpoint(t *testing.T, answer func() string) {
	t.Helper()
	address := f.servers[0].Listener.Addr().String()
	require.NoError(t, f.servers[0].Config.Close())
	e := f.endpoints[0]
	server := &http.Server{ConnContext: e.ConnContext, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.Contains(r.URL.Path, "/files/") {
			e.Handler().ServeHTTP(w, r)
			return
		}
		c, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			_, _ = io.WriteString(c, answer())
			_ = c.Close()
		}
	})}
	l, err := net.Listen("tcp4", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(l) }()
}

// Guards against an answer that no answer can be and that an agent and an entry pass on:
// status 000 reached the caller as 200.
func TestMalformedAnswerOfEndpoint(t *testing.T) {
	const length, chunks = "Content-Length: 2\r\n\r\nok", "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"
	f := newFleet(t, 1, standin.EndpointOptions{Kind: standin.KindService})
	answer := ""
	f.replaceEndpoint(t, func() string { return answer })
	for _, head := range []string{
		"HTTP/1.1 000 Trouble\r\n", "HTTP/1.1 099 Trouble\r\n", "HTTP/1.1 600 Trouble\r\n", "HTTP/1.1 101 Switching Protocols\r\n", "HTTP/2.0 200 OK\r\n",
		"HTTP/1.1 200 OK\r\nX Y: z\r\n", "HTTP/1.1 200 OK\r\nX : z\r\n", "HTTP/1.1 200 OK\r\nA: b\r\n X: z\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n", "HTTP/1.1 200 OK\r\nX\x01: z\r\n",
	} {
		for _, rest := range []string{length, chunks, "\r\nok"} {
			answer = head + rest
			begin := time.Now()
			status, _, body := send("GET", f.callers[0]+"/v1/services/dossier/files/7", "")
			assert.Equal(t, http.StatusBadGateway, status, "%q: %s", answer, body)
			assert.Less(t, time.Since(begin), time.Second, "%q", answer)
		}
	}
	answer = "HTTP/1.1 200 OK\r\n" + chunks
	status, _, body := send("GET", f.callers[0]+"/v1/services/dossier/files/7", "")
	require.Equal(t, http.StatusOK, status, body)
	require.Equal(t, "ok", body)
}
