// Package upstream sends requests to endpoints over HTTP/1.1 through a pool of
// persistent connections. It sends each request once and never retries; an
// [Error] reports whether the endpoint may have received any part of the
// request. Start from [New].
package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"damasktrail.dev"
	"damasktrail.dev/fleet"
	"damasktrail.dev/group"
)

const (
	// dialTimeout bounds the TCP handshake. It is shorter than the one second
	// after which a lost SYN is retransmitted.
	dialTimeout = 400 * time.Millisecond
	// tcpUserTimeout is the maximum time that sent data may stay unacknowledged
	// (TCP_USER_TIMEOUT). An idle connection may leave keepalive probes unanswered
	// for about the same time.
	tcpUserTimeout = 2 * time.Second
	// keepAliveIdle is the idle time before the first TCP keepalive probe,
	// keepAliveInterval the time between probes.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	// defaultIdleTimeout is how long an idle connection is kept when the response
	// has no Keep-Alive timeout. With one, the connection is kept for that timeout
	// less idleMargin, so that the pool closes it before the endpoint does.
	defaultIdleTimeout = 4 * time.Second
	idleMargin         = time.Second
	// probeTimeout bounds the handshake of a probe. probeWait is how long a probe waits
	// for an endpoint that crashes to close its other connections and its listener.
	probeTimeout = 150 * time.Millisecond
	probeWait    = 10 * time.Millisecond
	// maxIdleConns bounds the idle connections to one endpoint.
	maxIdleConns = 32
)

// Error reports that a request got no response.
type Error struct {
	// Address is the address of the endpoint.
	Address string
	// Sent reports whether the endpoint may have received any part of the request.
	Sent bool
	// Err is the cause.
	Err error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Sent {
		return fmt.Sprintf("no answer from %s: %v", e.Address, e.Err)
	}
	return fmt.Sprintf("request not sent to %s: %v", e.Address, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Match says whether a response belongs to a request.
type Match int

const (
	// Other is the response to another request.
	Other Match = iota
	// Own is the response to this request.
	Own
	// Unnamed is a response that does not say to which request it belongs. It is taken
	// for that of this request if the connection has carried no other.
	Unnamed
)

// Call is a request to an endpoint.
type Call struct {
	// ID identifies the request. It is not sent twice in a row on one connection, where a
	// second copy of the earlier response could be taken for the later one.
	ID string
	// Method, Target and Host are sent unchanged.
	Method, Target, Host string
	// Header is sent without its hop-by-hop fields.
	Header http.Header
	// Body is the body in blocks, which are not changed.
	Body [][]byte
	// Matches says whether a response belongs to this request. It is needed because an
	// endpoint may send a second response to an earlier request.
	Matches func(status int, h http.Header) Match
}

// key identifies the endpoint process at the other end of a connection. born
// differs between processes that use the same id and address one after another, unless it
// is unknown; a process with another service or failure domain is another one, too.
type key struct {
	id, address, service, domain string
	born                         int64
}

func keyOf(e fleet.Endpoint) key {
	return key{id: e.ID, address: e.Address, service: e.Service, domain: e.Domain, born: e.StartedMillis}
}

// Pool holds the idle connections to all endpoints. It is safe for concurrent
// use.
type Pool struct {
	clock damasktrail.Clock
	tasks *group.Group
	// onOpen is called once for each new connection.
	onOpen func()

	mu   sync.Mutex
	idle map[key][]*conn
	// idleCount is the number of connections in idle, maxIdle its bound, zero for none.
	idleCount, maxIdle int
}

// New returns an empty pool. It calls onOpen once for each new connection.
func New(clock damasktrail.Clock, tasks *group.Group, onOpen func()) *Pool {
	return &Pool{clock: clock, tasks: tasks, onOpen: onOpen, idle: map[key][]*conn{}}
}

// LimitIdle bounds the idle connections to all endpoints together; zero is no bound. It is
// called before the pool is used.
func (p *Pool) LimitIdle(n int) { p.maxIdle = n }

// Retain closes the idle connections to endpoint processes that are not in the
// list.
func (p *Pool) Retain(list fleet.List) {
	p.mu.Lock()
	var drop []*conn
	for k, conns := range p.idle {
		e, found := list.Find(k.id)
		if found && keyOf(e) == k {
			continue
		}
		drop = append(drop, conns...)
		delete(p.idle, k)
	}
	p.idleCount -= len(drop)
	p.mu.Unlock()
	for _, c := range drop {
		c.close()
	}
}

// Expire closes the connections whose idle timeout has passed.
func (p *Pool) Expire(now time.Time) {
	p.mu.Lock()
	var drop []*conn
	for k, conns := range p.idle {
		keep := conns[:0]
		for _, c := range conns {
			if now.After(c.expires) {
				drop = append(drop, c)
			} else {
				keep = append(keep, c)
			}
		}
		if len(keep) == 0 {
			delete(p.idle, k)
			continue
		}
		p.idle[k] = keep
	}
	p.idleCount -= len(drop)
	p.mu.Unlock()
	for _, c := range drop {
		c.close()
	}
}

// Close closes all idle connections.
func (p *Pool) Close() { p.Retain(fleet.List{}) }

// Do sends a request and returns its response once the header has been read; the
// caller reads the body from it. The error is an [*Error]. The connection is
// closed if ctx ends before [Answer.Close] is called.
func (p *Pool) Do(ctx context.Context, e fleet.Endpoint, call Call) (*Answer, error) {
	c, err := p.acquire(ctx, e, call.ID)
	if err != nil {
		return nil, &Error{Address: e.Address, Err: err}
	}
	a, err := c.do(ctx, call)
	if err != nil {
		c.close()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &Error{Address: e.Address, Sent: c.sent, Err: err}
	}
	return a, nil
}

// acquire returns an idle connection that is still usable, or dials a new one.
func (p *Pool) acquire(ctx context.Context, e fleet.Endpoint, requestID string) (*conn, error) {
	k := keyOf(e)
	if c := p.popUsable(k, requestID); c != nil {
		c.sent = false
		return c, nil
	}
	return p.dial(ctx, k, dialTimeout)
}

// popUsable removes an idle connection that is still usable from the pool and returns
// it, or nil if there is none. It closes those that are not.
func (p *Pool) popUsable(k key, requestID string) *conn {
	for {
		c := p.pop(k, requestID)
		if c == nil || p.clock.Now().Before(c.expires) && c.reusable() {
			return c
		}
		c.close()
	}
}

// pop removes the most recently used idle connection that did not carry the request
// last, and returns it, or nil if there is none.
func (p *Pool) pop(k key, requestID string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[k]
	for i, c := range slices.Backward(conns) {
		if c.lastID == "" || c.lastID != requestID {
			p.idle[k] = slices.Delete(conns, i, i+1)
			p.idleCount--
			return c
		}
	}
	return nil
}

// release returns a connection to the pool, or closes it if the pool already
// holds maxIdleConns for its endpoint or maxIdle in total.
func (p *Pool) release(c *conn) {
	p.mu.Lock()
	full := len(p.idle[c.key]) >= maxIdleConns || p.maxIdle > 0 && p.idleCount >= p.maxIdle
	if !full {
		p.idleCount++
		p.idle[c.key] = append(p.idle[c.key], c)
	}
	p.mu.Unlock()
	if full {
		c.close()
	}
}

// Probe finds out whether an endpoint still accepts connections after one has broken. It
// opens a connection, which is kept for a later request, unless an idle one has stayed
// open. The error is that of the handshake.
func (p *Pool) Probe(ctx context.Context, e fleet.Endpoint) (err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("probe %s: %w", e.Address, err)
		}
	}()
	if err := p.clock.Sleep(ctx, probeWait); err != nil {
		return err
	}
	k := keyOf(e)
	c := p.popUsable(k, "")
	if c == nil {
		if c, err = p.dial(ctx, k, probeTimeout); err != nil {
			return err
		}
		c.expires = p.clock.Now().Add(defaultIdleTimeout)
	}
	p.release(c)
	return nil
}

func (p *Pool) dial(ctx context.Context, k key, timeout time.Duration) (*conn, error) {
	d := net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: int(tcpUserTimeout / keepAliveInterval),
		},
	}
	nc, err := d.DialContext(ctx, "tcp4", k.address)
	if err != nil {
		return nil, err
	}
	tcp, ok := nc.(*net.TCPConn)
	if !ok {
		_ = nc.Close()
		return nil, errors.New("connection is not TCP")
	}
	if err := setUserTimeout(tcp, tcpUserTimeout); err != nil {
		_ = nc.Close()
		return nil, err
	}
	p.onOpen()
	return newConn(p, k, tcp), nil
}
