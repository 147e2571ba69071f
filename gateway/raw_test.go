package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"damasktrail.dev/fleet"
)

// rawGateway is a gateway with one endpoint whose answers a test writes byte by byte.
type rawGateway struct {
	*testGateway
	address string
	renewed int
}

// startWithRaw starts a gateway with an endpoint that reads the head of one request on each
// connection and answers it with f. The connection is closed afterwards.
func startWithRaw(t *testing.T, f func(c *net.TCPConn, r *http.Request)) *rawGateway {
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
				if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					f(c.(*net.TCPConn), r)
				}
			}()
		}
	}()
	g := &rawGateway{testGateway: start(t), address: l.Addr().String()}
	g.renew()
	time.Sleep(100 * time.Millisecond)
	return g
}

// renew adds the endpoint under a new ID.
func (g *rawGateway) renew() {
	g.renewed++
	id := fmt.Sprint("e-", g.renewed)
	g.update(func() {
		g.endpoints = fleet.Of(fleet.Endpoint{ID: id, Service: "s", Address: g.address, Domain: "d", Slots: 4})
	})
}

// sendNew sends a request to the endpoint under a new ID, so that it doesn't back off after
// earlier answers.
func (g *rawGateway) sendNew(path, body string, fields ...string) response {
	g.t.Helper()
	g.renew()
	return g.send(path, fmt.Sprint("id-", g.renewed), body, fields...)
}

// kind is a kind of answer, sent to the requests of a route.
type kind struct{ name, path, contentType, body string }

// kinds returns an answer in one piece and a stream, both not to be sent again.
func kinds() []kind {
	return []kind{
		{"plain", "/send/x", "text/plain", "a body in one piece, long enough for a part of it"},
		{"stream", "/stream/x", "text/event-stream", eventText(1, 9)},
	}
}

// framing is how an endpoint marks the end of a body.
type framing string

const (
	withLength framing = "length"
	inChunks   framing = "chunks"
	withNone   framing = "neither"
)

// framings are all framings.
var framings = []framing{withLength, inChunks, withNone}

// head returns the header fields of an answer.
func (k kind) head(f framing, id string) string {
	res := fmt.Sprintf("Attempt-Id: %s\r\nContent-Type: %s\r\n", id, k.contentType)
	switch f {
	case withLength:
		return res + fmt.Sprintf("Content-Length: %d\r\n", len(k.body))
	case inChunks:
		return res + "Transfer-Encoding: chunked\r\n"
	case withNone:
	}
	return res
}

// encode returns the first size bytes of the body, and its end if these are all.
func (k kind) encode(f framing, size int) string {
	if f != inChunks {
		return k.body[:size]
	}
	res := fmt.Sprintf("%x\r\n%s\r\n", size, k.body[:size])
	if size == len(k.body) {
		res += "0\r\n\r\n"
	}
	return res
}

const (
	shortUploadBytes = 2 << 10
	longUploadBytes  = 900 << 10
	// writtenUploadBytes is written to the kernel at once, but not in one piece with its head.
	writtenUploadBytes = 32 << 10
)

// discard reads at most n bytes of an upload.
func discard(upload io.Reader, n int64) { _, _ = io.CopyN(io.Discard, upload, n) }
