package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"damasktrail.dev"
	"damasktrail.dev/conns"
	"damasktrail.dev/memory"
	"damasktrail.dev/routing"
	"damasktrail.dev/upstream"
)

const (
	// memoryPart is the part of the process's memory, one of memoryPart parts, that clients
	// may hold. The collector starts to work harder at 0.6 of the memory; the rest of that
	// is for connections, goroutines, tables and garbage.
	memoryPart = 4
	// connectionMemoryPart is the part for connections, connectionBytes what one needs:
	// its buffers, the stack of its goroutine and its entries in tables.
	connectionMemoryPart = 6
	connectionBytes      = 24 << 10
	// Of 20 descriptors, 8 are for callers, as many for the endpoints that run their
	// requests, 2 for idle connections to endpoints, and 2 for all else: files, the store,
	// peers, operators and readiness probes.
	descriptorParts = 20
	callerParts     = 8
	idleParts       = 2
	// operatorPart is the part of the descriptors, one of operatorPart parts, for operators
	// and as many for readiness probes.
	operatorPart            = 50
	minOperatorConnections  = 4
	defaultResponseStall    = 30 * time.Second
	maxResponseStall        = time.Hour
	maxClientConnections    = 1 << 20
	maxClientMemoryBytes    = 1 << 40
	clientReportingInterval = time.Second

	// requestBytes is charged for a request besides its header and body: the stack of its
	// handler, its connection to an endpoint and the buffers of both.
	requestBytes = 16 << 10
	// memoryRetryAfter is the retry delay suggested when there is no room for a body.
	memoryRetryAfter = time.Second
	// unreadTime is how long the rest of a refused request is read, so that its connection
	// can be used again. The rest is at most 256 KiB; net/http closes the connection
	// otherwise.
	unreadTime = time.Second
	// lingerTime is how long a connection stays open after the refusal of a request that
	// was not read to its end, so that its client receives the refusal before the
	// connection is reset.
	lingerTime = 500 * time.Millisecond
)

// ClientLimits bound what clients hold in a process. A zero value is derived from the
// memory and the descriptors of the process.
type ClientLimits struct {
	// MemoryBytes bounds the bytes of bodies, headers and buffered responses.
	MemoryBytes int64
	// Connections bounds the connections of callers.
	Connections int
	// ResponseStall is the longest time in which a client may take nothing of a response.
	ResponseStall time.Duration
}

// clientLimits returns the limits in force.
func (s Settings) clientLimits() ClientLimits {
	res := s.Clients
	if res.MemoryBytes == 0 {
		res.MemoryBytes = s.MemoryBytes / memoryPart
	}
	if res.Connections == 0 {
		res.Connections = s.MaxFiles * callerParts / descriptorParts
		if byMemory := int(min(s.MemoryBytes/connectionMemoryPart/connectionBytes, maxClientConnections)); byMemory > 0 && (res.Connections == 0 || byMemory < res.Connections) {
			res.Connections = byMemory
		}
	}
	if res.ResponseStall == 0 {
		res.ResponseStall = defaultResponseStall
	}
	return res
}

// OperatorConnections is the bound of the connections to the operators' listener, and of
// those to the one for readiness probes; zero if there is none.
func (s Settings) OperatorConnections() int {
	if s.MaxFiles == 0 {
		return 0
	}
	return max(minOperatorConnections, s.MaxFiles/operatorPart)
}

// publishClients adds the metrics of what clients hold.
func (g *Gateway) publishClients() error {
	connections := func(f func(*conns.Listener) int64) func() float64 {
		return func() float64 {
			if l := g.callers.Load(); l != nil {
				return float64(f(l))
			}
			return 0
		}
	}
	m := g.metrics
	return errors.Join(
		m.Gauge("client_bytes", "Bytes that clients hold: headers, bodies and buffered responses.", func() float64 { return float64(g.memory.Used()) }),
		m.Gauge("client_bodies_ended", "Incomplete bodies and headers ended to make room for others.", func() float64 { return float64(g.memory.Ended()) }),
		m.Gauge("client_connections", "Open connections of callers.", connections(func(l *conns.Listener) int64 { return int64(l.Open()) })),
		m.Gauge("client_connections_closed", "Connections of callers closed to make room for others.", connections((*conns.Listener).Closed)),
		m.Gauge("client_connections_refused", "New connections of callers closed at once.", connections((*conns.Listener).Refused)),
		m.Gauge("client_headers_refused", "Connections closed because there was no room for a header.", connections((*conns.Listener).HeadersRefused)),
		m.Gauge("client_responses_stalled", "Connections closed because a response was not taken.", connections((*conns.Listener).Stalled)),
	)
}

// clientCounts are the numbers of clients that were cut off since the start.
type clientCounts struct{ bodies, closed, refused, headers, stalled int64 }

// logClients logs once an interval that clients were cut off to make room.
func (g *Gateway) logClients(time.Time) {
	l := g.callers.Load()
	now := clientCounts{bodies: g.memory.Ended(), closed: l.Closed(), refused: l.Refused(), headers: l.HeadersRefused(), stalled: l.Stalled()}
	last := g.clientCounts
	if now == last {
		return
	}
	g.clientCounts = now
	g.log.Warn("clients cut off", "bodies", now.bodies-last.bodies, "connections", now.closed-last.closed, "refused", now.refused-last.refused,
		"headers", now.headers-last.headers, "stalled", now.stalled-last.stalled, "bytes", g.memory.Used(), "open", l.Open())
}

// clientName returns the name under which a request is charged.
func (c *call) clientName() string {
	if c.authenticated {
		return "organisation " + c.organisation.Name
	}
	if conn := conns.FromContext(c.request.Context()); conn != nil {
		return "address " + conn.Address()
	}
	return "address " + c.request.RemoteAddr
}

// readBody reads the body until the deadline of the request, as far as there is room.
func (c *call) readBody(w http.ResponseWriter, limits routing.Limits) *statusError {
	r := c.request
	if limits.BodyBytes > 0 && r.ContentLength > limits.BodyBytes {
		c.bodyEnded = true
		return tooLargeError()
	}
	control := http.NewResponseController(w)
	c.hold = c.g.memory.Open(c.clientName(), func() { _ = control.SetReadDeadline(time.Unix(1, 0)) })
	err := c.hold.Charge(requestBytes)
	if err == nil && r.ContentLength != 0 {
		_ = control.SetReadDeadline(c.deadline)
		c.body, err = c.hold.ReadBody(r.Body, r.ContentLength, limits.BodyBytes)
	}
	if complete := c.hold.Complete(); err == nil && complete {
		_ = control.SetReadDeadline(time.Time{})
		conns.FromContext(r.Context()).Received()
		return nil
	}
	c.bodyEnded = r.ContentLength != 0
	st := c.bodyError(err)
	c.releaseMemory()
	return st
}

// bodyError returns the refusal of a request whose body was not read. Nothing of it has
// been sent to an endpoint.
func (c *call) bodyError(err error) *statusError {
	switch {
	case c.hold.Ended(), errors.Is(err, memory.ErrFull):
		return notRunError(http.StatusServiceUnavailable, damasktrail.ReasonMemory, memoryRetryAfter, "no room for the request")
	case errors.Is(err, memory.ErrTooLarge):
		return tooLargeError()
	case errors.Is(err, os.ErrDeadlineExceeded):
		return notRunError(http.StatusRequestTimeout, damasktrail.ReasonStalled, 0, "the body was not complete at the deadline")
	}
	return notRunError(http.StatusBadRequest, damasktrail.ReasonMalformed, 0, "body cannot be read: "+err.Error())
}

func tooLargeError() *statusError {
	return notRunError(http.StatusRequestEntityTooLarge, damasktrail.ReasonTooLarge, 0, "body exceeds the limit")
}

// releaseMemory gives back what the request holds. It may be called more than once.
func (c *call) releaseMemory() {
	c.body = nil
	if c.hold != nil {
		c.hold.Close()
	}
}

// writeRefusal writes a refusal. If the body was ended, the connection is closed without
// reading the rest.
func (c *call) writeRefusal(w http.ResponseWriter, st *statusError) {
	control := http.NewResponseController(w)
	if !c.bodyEnded {
		if c.request.ContentLength != 0 && c.body == nil {
			_ = control.SetReadDeadline(time.Now().Add(unreadTime))
		}
		http.Error(w, st.refusal.Detail, st.code)
		return
	}
	c.releaseMemory()
	// http.Error would remove the length, without which the client would miss the end.
	h := w.Header()
	h.Set("Connection", "close")
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(st.refusal.Detail)+1))
	w.WriteHeader(st.code)
	_, _ = io.WriteString(w, st.refusal.Detail+"\n") // #nosec G705 -- plain text
	_ = control.Flush()
	_ = control.SetReadDeadline(time.Unix(1, 0))
	if conn := conns.FromContext(c.request.Context()); conn != nil && conn.CloseWrite() == nil {
		_ = c.g.clock.Sleep(context.WithoutCancel(c.request.Context()), lingerTime)
	}
}

const (
	// firstBlockBytes and blockBytes are the sizes of the blocks into which the beginning
	// of a response is read.
	firstBlockBytes = 4 << 10
	blockBytes      = 16 << 10
)

// readPrefix reads the beginning of a response, at most maxBufferedBytes and as far as there
// is room. It reports whether that is the whole response.
func (r *relay) readPrefix(a *upstream.Answer) (prefix [][]byte, size int, whole bool, err error) {
	for size < maxBufferedBytes {
		n := blockBytes
		if size == 0 {
			n = firstBlockBytes
		}
		n = min(n, maxBufferedBytes-size)
		// The first block is part of what is charged for every request.
		if size > 0 && r.call.hold.Charge(int64(n)) != nil {
			return prefix, size, false, nil //nolint:nilerr // The response is relayed unbuffered.
		}
		block, err := memory.Fill(a, make([]byte, n))
		prefix, size = append(prefix, block), size+len(block)
		if err != nil {
			return prefix, size, true, ignoreEOF(err)
		}
	}
	return prefix, size, false, nil
}
