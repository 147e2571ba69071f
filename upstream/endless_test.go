package upstream_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"damasktrail.dev/fleet"
	"damasktrail.dev/upstream"
)

// endlessBytes is what an endpoint of these tests sends unless the connection is
// closed before, maxAllocBytes what the pool may allocate meanwhile.
const (
	endlessBytes  = 256 << 20
	maxAllocBytes = 4 << 20
)

// serveEndless serves an endpoint that sends a prefix, and then a text over and over.
func serveEndless(t *testing.T, prefix, text string) *fakeEndpoint {
	return serve(t, func(c net.Conn, r *bufio.Reader) {
		if _, _, ok := readRequest(r); !ok {
			return
		}
		_, _ = io.WriteString(c, prefix)
		block := []byte(strings.Repeat(text, max(1, (64<<10)/len(text))))
		for sent := 0; sent < endlessBytes; sent += len(block) {
			if _, err := c.Write(block); err != nil {
				return
			}
		}
	})
}

// Guards against an endpoint whose bytes never end: a head or the body of another
// request's answer was read to its end, which took up to 1.1 GB for 256 MiB sent, more
// than a small VM has. The request counts as sent, since the endpoint may have run it.
func TestEndless(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	for _, tt := range []struct{ name, prefix, text string }{
		{"status line", "HTTP/1.1 200 ", "O"},
		{"header field", head + "Id: 1\r\nX: ", "a"},
		{"header fields", head + "Id: 1\r\n", "X: abcdefgh\r\n"},
		{"informational responses", "", "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n"},
		{"body of another answer with a length", head + "Id: 9\r\nContent-Length: 1000000000\r\n\r\n", "a"},
		{"body of another answer in chunks", head + "Id: 9\r\nTransfer-Encoding: chunked\r\n\r\n", "4\r\nabcd\r\n"},
		{"no protocol", "", "\x00\xff\x17"},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := serveEndless(t, tt.prefix, tt.text)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			begin := time.Now()
			_, err := doCall(newPool(t), f, newCall("1", ""))
			runtime.ReadMemStats(&after)
			var failure *upstream.Error
			require.ErrorAs(t, err, &failure)
			require.True(t, failure.Sent)
			require.Less(t, after.TotalAlloc-before.TotalAlloc, uint64(maxAllocBytes), "bytes allocated")
			require.Less(t, time.Since(begin), 2*time.Second)
		})
	}
}

// Guards against a head that is as long as that of a sound endpoint may be: the
// largest of the sites have under 1 KB.
func TestLongHead(t *testing.T) {
	f := serve(t, func(c net.Conn, r *bufio.Reader) {
		if _, _, ok := readRequest(r); ok {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nId: 1\r\nX: "+strings.Repeat("a", 24<<10)+"\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	got, err := doCall(newPool(t), f, newCall("1", ""))
	require.NoError(t, err)
	require.Equal(t, "ok", got)
}

// Guards against discarding the rest of an answer without end: the request could not
// be sent elsewhere before its deadline. A short rest leaves the connection usable.
func TestDiscard(t *testing.T) {
	for _, tt := range []struct {
		name, prefix, text string
		reused             bool
	}{
		{"without end", "HTTP/1.1 500 Oops\r\nId: 1\r\nContent-Length: 1000000000\r\n\r\n", "a", false},
		{"silent", "HTTP/1.1 500 Oops\r\nId: 1\r\nContent-Length: 10\r\n\r\nabc", "", false},
		{"short", "HTTP/1.1 500 Oops\r\nId: 1\r\nContent-Length: 3\r\n\r\nabc", "", true},
	} {
		t.Run(tt.name, func(t *testing.T) {
			f := serve(t, func(c net.Conn, r *bufio.Reader) {
				for {
					if _, _, ok := readRequest(r); !ok {
						return
					}
					_, _ = io.WriteString(c, tt.prefix)
					for sent := 0; sent < endlessBytes && tt.text != ""; sent += 64 << 10 {
						if _, err := io.WriteString(c, strings.Repeat(tt.text, 64<<10)); err != nil {
							return
						}
					}
				}
			})
			p := newPool(t)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			for range 2 {
				begin := time.Now()
				a, err := p.Do(ctx, fleet.Endpoint{ID: "e", Address: f.address}, newCall("1", ""))
				require.NoError(t, err)
				require.Equal(t, http.StatusInternalServerError, a.Status)
				a.Discard()
				a.Close()
				require.Less(t, time.Since(begin), time.Second)
			}
			require.Equal(t, tt.reused, f.conns.Load() == 1)
		})
	}
}
