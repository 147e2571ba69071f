package gateway_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"damasktrail.dev/fleet"
	"damasktrail.dev/internal/response/responsetest"
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
	g := &rawGateway{testGateway: start(t), address: responsetest.Serve(t, f)}
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

// head returns the header fields of an answer.
func (k kind) head(f responsetest.Framing, id string) string {
	return fmt.Sprintf("Attempt-Id: %s\r\nContent-Type: %s\r\n", id, k.contentType) + f.Field(len(k.body))
}

const (
	shortUploadBytes = 2 << 10
	longUploadBytes  = 900 << 10
	// writtenUploadBytes is written to the kernel at once, but not in one piece with its head.
	writtenUploadBytes = 32 << 10
)

// discard reads at most n bytes of an upload.
func discard(upload io.Reader, n int64) { _, _ = io.CopyN(io.Discard, upload, n) }
