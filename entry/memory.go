package entry

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/gin-gonic/gin"

	"damasktrail.dev"
	"damasktrail.dev/conns"
	"damasktrail.dev/memory"
)

const (
	// holdKey is the key of the hold of a request in its context.
	holdKey = "memory.hold"
	// memoryRetryAfter is the retry delay suggested when there is no room for a body.
	memoryRetryAfter = time.Second
	// unreadTime is how long the rest of a refused body is read, at most 256 KiB, so that
	// its client receives the refusal before the connection is reset.
	unreadTime = 500 * time.Millisecond
)

// BoundConnections bounds the connections of callers that a listener accepts, and charges
// their headers to the account of the entry.
func (e *Entry) BoundConnections(l net.Listener) *conns.Listener {
	return conns.Listen(l, e.clock, conns.Limits{Connections: e.settings.Connections, Account: e.memory})
}

// ClientBytes returns the number of bytes that callers hold.
func (e *Entry) ClientBytes() int64 { return e.memory.Used() }

// releaseMemory gives back what a request held.
func releaseMemory(g *gin.Context) {
	defer func() {
		if h, found := g.Get(holdKey); found {
			h.(*memory.Hold).Close()
		}
	}()
	g.Next()
}

// readBody reads the body of a request as far as there is room. Nothing of an incomplete
// body is sent to an agent.
func (e *Entry) readBody(g *gin.Context, c *call) *damasktrail.Refusal {
	control := http.NewResponseController(g.Writer)
	h := e.memory.Open("organisation "+c.organisation.Name, func() { _ = control.SetReadDeadline(time.Unix(1, 0)) })
	g.Set(holdKey, h)
	var err error
	if n := g.Request.ContentLength; n != 0 {
		c.body, err = h.ReadAll(g.Request.Body, n, e.settings.MaxBodyBytes)
	}
	if complete := h.Complete(); err == nil && complete {
		conns.FromContext(g.Request.Context()).Received()
		return nil
	}
	ended := h.Ended()
	h.Close()
	c.body = nil
	g.Header("Connection", "close")
	_ = control.SetReadDeadline(time.Now().Add(unreadTime))
	switch {
	case errors.Is(err, memory.ErrTooLarge):
		return &damasktrail.Refusal{
			Reason: damasktrail.ReasonTooLarge, Outcome: damasktrail.NotRun,
			Detail: fmt.Sprintf("the body exceeds %d bytes", e.settings.MaxBodyBytes),
		}
	case ended, errors.Is(err, memory.ErrFull):
		e.metrics.Count("client_bodies_refused", 1)
		return &damasktrail.Refusal{Reason: damasktrail.ReasonMemory, Outcome: damasktrail.NotRun, RetryAfter: memoryRetryAfter, Detail: "no room for the request"}
	case errors.Is(err, os.ErrDeadlineExceeded):
		return &damasktrail.Refusal{Reason: damasktrail.ReasonStalled, Outcome: damasktrail.NotRun, Detail: "the body was not complete in time"}
	}
	return malformed("the body cannot be read")
}
