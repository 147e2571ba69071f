// Package conns bounds the connections that a server accepts, and charges the headers that
// are read from them to an account. Start from [Listen].
package conns

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"damasktrail.dev"
	"damasktrail.dev/memory"
)

const (
	// headerFactor is the memory that a header takes while it is parsed, as a multiple of
	// its bytes: the line buffer that grows, and the fields.
	headerFactor = 2
	// stalledTime is how long nothing has moved on a connection with an incomplete request
	// or response before it may be closed to make room.
	stalledTime = 500 * time.Millisecond
	// writePieceBytes is what must be written within the write timeout.
	writePieceBytes = 64 << 10
	// socketBufferBytes bounds what the kernel keeps of a connection in each direction. The
	// kernel doubles it. It allows 12 MB/s at a round trip of 10 ms.
	socketBufferBytes = 128 << 10
	// sharedPart is the part of the connections, one of sharedPart parts, that an address
	// with more than half of all connections leaves to the others.
	sharedPart = 8
)

// Limits bound the connections of a listener.
type Limits struct {
	// Connections is the largest number of connections, zero for no bound.
	Connections int
	// WriteTimeout is the longest time in which a client may take nothing of a response,
	// zero for no bound.
	WriteTimeout time.Duration
	// Account is charged with the bytes of headers, unless it is nil.
	Account *memory.Account
}

// phase is what a connection is doing.
type phase int32

const (
	// waiting for a request, or for the rest of its header.
	waiting phase = iota
	// receiving the body of a request.
	receiving
	// running a request that is complete.
	running
	// closing after a refusal whose request was not read to its end.
	closing
)

// Listener bounds the connections of the listener inside.
type Listener struct {
	net.Listener
	clock  damasktrail.Clock
	limits Limits
	// closed and refused count connections closed to make room, and new ones refused,
	// headers those closed because there was no room for a header, stalled those whose
	// client did not take a response.
	closed, refused, headers, stalled atomic.Int64

	mu        sync.Mutex
	open      map[*Conn]struct{}
	addresses map[string]int
}

// Listen returns a listener that bounds the connections of l.
func Listen(l net.Listener, clock damasktrail.Clock, limits Limits) *Listener {
	return &Listener{Listener: l, clock: clock, limits: limits, open: map[*Conn]struct{}{}, addresses: map[string]int{}}
}

// Open returns the number of open connections.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

// Closed returns the number of connections that were closed to make room for others.
func (l *Listener) Closed() int64 { return l.closed.Load() }

// Refused returns the number of new connections that were closed at once.
func (l *Listener) Refused() int64 { return l.refused.Load() }

// HeadersRefused returns the number of connections that were closed because there was no
// room for a header.
func (l *Listener) HeadersRefused() int64 { return l.headers.Load() }

// Stalled returns the number of connections whose client did not take a response within the
// write timeout.
func (l *Listener) Stalled() int64 { return l.stalled.Load() }

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.admit(inner); c != nil {
			return c, nil
		}
		l.refused.Add(1)
		_ = inner.Close()
	}
}

// admit makes room for a new connection. It returns nil if there is none.
func (l *Listener) admit(inner net.Conn) *Conn {
	c := &Conn{Conn: inner, listener: l, address: host(inner)}
	c.moved.Store(l.clock.Now().UnixNano())
	l.mu.Lock()
	var victim *Conn
	if full, own := l.full(c.address); full {
		if victim = l.victim(c.address, own); victim == nil {
			l.mu.Unlock()
			return nil
		}
		l.removeLocked(victim)
	}
	l.open[c] = struct{}{}
	l.addresses[c.address]++
	l.mu.Unlock()
	if victim != nil {
		l.closed.Add(1)
		_ = victim.Close()
	}
	if t, ok := inner.(*net.TCPConn); ok && l.limits.Connections > 0 {
		_ = t.SetReadBuffer(socketBufferBytes)
		_ = t.SetWriteBuffer(socketBufferBytes)
	}
	return c
}

// full reports whether there is no room for a connection from an address, and whether that
// is because of the share of the address.
func (l *Listener) full(address string) (full, own bool) {
	limit := l.limits.Connections
	if limit <= 0 {
		return false, false
	}
	if len(l.open) >= limit {
		return true, false
	}
	own = len(l.open) >= limit-limit/sharedPart && l.addresses[address] > limit/2
	return own, own
}

// victim returns the connection to close for a new one: the one that closes anyway or has
// waited longest without a complete header, else the one on which a body or a response has
// stalled longest.
func (l *Listener) victim(address string, own bool) *Conn {
	now := l.clock.Now().UnixNano()
	var res *Conn
	var resStalled bool
	for c := range l.open {
		if own && c.address != address {
			continue
		}
		moved, stalled, ok := c.evictable(now)
		if !ok || res != nil && stalled && !resStalled {
			continue
		}
		if res == nil || resStalled && !stalled || moved < res.since(resStalled) {
			res, resStalled = c, stalled
		}
	}
	return res
}

func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.removeLocked(c)
}

func (l *Listener) removeLocked(c *Conn) {
	if _, found := l.open[c]; !found {
		return
	}
	delete(l.open, c)
	if l.addresses[c.address]--; l.addresses[c.address] == 0 {
		delete(l.addresses, c.address)
	}
}

// StateChanged is the ConnState function of the server of the listener.
func (l *Listener) StateChanged(c net.Conn, s http.ConnState) {
	own, ok := c.(*Conn)
	if !ok {
		return
	}
	if s == http.StateActive {
		own.begin()
	}
	if s == http.StateIdle {
		own.idle()
	}
}

type contextKey struct{}

// Context is the ConnContext function of the server of the listener.
func Context(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, c)
}

// FromContext returns the connection of a request, nil if it is not that of a Listener.
func FromContext(ctx context.Context) *Conn {
	c, _ := ctx.Value(contextKey{}).(*Conn)
	return c
}

// Conn is a connection of a Listener.
type Conn struct {
	net.Conn
	listener *Listener
	// address is the IP address of the client.
	address string
	phase   atomic.Int32
	// moved is when the phase waiting began or a byte of a body was read, writing is when
	// the write in progress began, zero if there is none; both are Unix nanoseconds.
	moved, writing atomic.Int64

	mu sync.Mutex
	// header is charged with the header of the current request, nil before its first byte.
	header *memory.Hold
	closed bool
}

func host(c net.Conn) string {
	if a, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return a.IP.String()
	}
	return c.RemoteAddr().String()
}

// Address returns the IP address of the client.
func (c *Conn) Address() string { return c.address }

// evictable reports whether the connection may be closed to make room, since when nothing
// has moved, and whether that is because it is stalled.
func (c *Conn) evictable(now int64) (moved int64, stalled, ok bool) {
	switch phase(c.phase.Load()) {
	case waiting, closing:
		return c.moved.Load(), false, true
	case receiving:
		moved = c.moved.Load()
		return moved, true, now-moved >= int64(stalledTime)
	case running:
	}
	moved = c.writing.Load()
	return moved, true, moved != 0 && now-moved >= int64(stalledTime)
}

func (c *Conn) since(stalled bool) int64 {
	if stalled && phase(c.phase.Load()) == running {
		return c.writing.Load()
	}
	return c.moved.Load()
}

func (c *Conn) now() int64 { return c.listener.clock.Now().UnixNano() }

// Read implements net.Conn. The bytes of a header are charged as they arrive.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	switch phase(c.phase.Load()) {
	case waiting:
		if n > 0 && !c.chargeHeader(int64(n)) {
			c.listener.headers.Add(1)
			_ = c.Close()
			return 0, memory.ErrFull
		}
	case receiving:
		c.moved.Store(c.now())
	case running, closing:
	}
	return n, err
}

func (c *Conn) chargeHeader(n int64) bool {
	if c.listener.limits.Account == nil {
		return true
	}
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		return false
	}
	if c.header == nil {
		c.header = c.listener.limits.Account.Open("address "+c.address, func() { _ = c.Close() })
	}
	h := c.header
	c.mu.Unlock()
	return h.Charge(headerFactor*n) == nil
}

// begin is called when a header is complete.
func (c *Conn) begin() {
	c.moved.Store(c.now())
	c.phase.Store(int32(receiving))
	c.mu.Lock()
	h := c.header
	c.mu.Unlock()
	if h != nil && !h.Complete() {
		_ = c.Close()
	}
}

// Received is called when the body of a request is complete. A connection with a complete
// request is not closed to make room unless its client does not take the response.
func (c *Conn) Received() {
	if c != nil {
		c.phase.Store(int32(running))
	}
}

// idle is called when the connection waits for the next request.
func (c *Conn) idle() {
	c.moved.Store(c.now())
	c.phase.Store(int32(waiting))
	c.releaseHeader(false)
}

func (c *Conn) releaseHeader(closed bool) {
	c.mu.Lock()
	h := c.header
	c.header = nil
	c.closed = c.closed || closed
	c.mu.Unlock()
	if h != nil {
		h.Close()
	}
}

// Write implements net.Conn. Each piece must be taken within the write timeout.
func (c *Conn) Write(b []byte) (written int, err error) {
	defer c.writing.Store(0)
	for {
		piece := b[written:min(len(b), written+writePieceBytes)]
		now := c.listener.clock.Now()
		c.writing.Store(now.UnixNano())
		if d := c.listener.limits.WriteTimeout; d > 0 {
			if err := c.SetWriteDeadline(now.Add(d)); err != nil {
				return written, err
			}
		}
		n, err := c.Conn.Write(piece)
		written += n
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.listener.stalled.Add(1)
		}
		if err != nil || written == len(b) {
			return written, err
		}
	}
}

// CloseWrite ends the responses on the connection. The client can read them although it
// has not sent all of its request: a connection closed at once would be reset, and the
// client might lose the response.
func (c *Conn) CloseWrite() error {
	c.moved.Store(c.now())
	c.phase.Store(int32(closing))
	t, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return errors.ErrUnsupported
	}
	return t.CloseWrite()
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.listener.remove(c)
	c.releaseHeader(true)
	return c.Conn.Close()
}
