package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"damasktrail.dev/internal/response/responsetest"
)

// uploadBeforeReset is the part of a long upload that is read before its connection is
// reset.
const uploadBeforeReset = 16 << 10

// Guards against a part of an answer that is taken for all of it because the endpoint reset
// the connection while the upload was being written: the write got the error of the reset,
// and the read only the end of the connection.
func TestResetDuringUpload(t *testing.T) {
	const plays = 15
	for _, upload := range []struct {
		name  string
		bytes int
		// read is the part of the upload that the endpoint reads before its reset.
		read int64
	}{
		{"short upload", shortUploadBytes, shortUploadBytes},
		{"long upload, reset amid it", longUploadBytes, uploadBeforeReset},
		{"long upload, not read", longUploadBytes, 0},
		{"long upload, written whole", writtenUploadBytes, 0},
		{"long upload, read whole", longUploadBytes, longUploadBytes},
	} {
		for _, k := range kinds() {
			for _, f := range responsetest.Framings {
				t.Run(fmt.Sprintf("%s, %s, %s", upload.name, k.name, f), func(t *testing.T) {
					t.Parallel()
					s := startWithRaw(t, func(c *net.TCPConn, r *http.Request) {
						part := strings.Index(k.body, "\n\n") + len("\n\n")
						_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+k.head(f, r.Header.Get("Attempt-Id"))+"\r\n"+f.Encode(k.body, max(part, len(k.body)/3)))
						discard(r.Body, upload.read)
						_ = c.SetLinger(0)
					})
					outcomes := map[string]int{}
					for range plays {
						got := s.sendNew(k.path, strings.Repeat("x", upload.bytes))
						outcomes[fmt.Sprint(got.status, got.err)]++
					}
					require.Zero(t, outcomes["200 <nil>"], "parts taken for whole answers: %v", outcomes)
				})
			}
		}
	}
}

// Guards against whole answers that are taken for broken ones because the endpoint doesn't
// read the upload to its end: it closes its direction, and may reset the connection when
// more of the upload arrives.
func TestEarlyEndOfUpload(t *testing.T) {
	const plays = 5
	for name, afterwards := range map[string]func(upload io.Reader){
		"reset":     func(io.Reader) {},
		"read on":   func(upload io.Reader) { discard(upload, longUploadBytes) },
		"left open": func(io.Reader) { time.Sleep(50 * time.Millisecond) },
	} {
		for _, k := range kinds() {
			for _, f := range responsetest.Framings {
				t.Run(fmt.Sprintf("%s, %s, %s", name, k.name, f), func(t *testing.T) {
					t.Parallel()
					s := startWithRaw(t, func(c *net.TCPConn, r *http.Request) {
						discard(r.Body, uploadBeforeReset)
						_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n"+k.head(f, r.Header.Get("Attempt-Id"))+"\r\n"+f.Encode(k.body, len(k.body)))
						_ = c.CloseWrite()
						afterwards(r.Body)
					})
					for range plays {
						got := s.sendNew(k.path, strings.Repeat("x", longUploadBytes))
						require.NoError(t, got.err)
						require.Equal(t, http.StatusOK, got.status, got.body)
						require.Equal(t, k.body, got.body)
					}
				})
			}
		}
	}
}
