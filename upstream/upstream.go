// Package upstream sends requests to endpoints over HTTP/1.1 and keeps their
// connections for the next ones. It sends each request once and says, when that
// fails, whether the endpoint can have received any of it. Start from [New].
package upstream

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"damasktrail.dev"
	"damasktrail.dev/fleet"
	"damasktrail.dev/group"
)

const (
	// dialTimeout bounds the opening of a connection. An opening packet that is
	// lost is repeated only after a second.
	dialTimeout = 400 * time.Millisecond
	// userTimeout is how long sent bytes may stay unacknowledged, and about how
	// long an idle connection may leave keepalive probes unanswered.
	userTimeout = 2 * time.Second
	// keepAliveIdle and keepAliveInterval are the times of keepalive probes.
	keepAliveIdle     = time.Second
	keepAliveInterval = time.Second
	// idleLife is how long a connection is kept without use when the endpoint does
	// not say how long it keeps it, and idleMargin how much earlier than the
	// endpoint it is dropped.
	idleLife   = 4 * time.Second
	idleMargin = time.Second
	// maxIdle bounds the unused connections to one endpoint.
	maxIdle = 32
)

// Error says that a request got no answer.
type Error struct {
	// Address is that of the endpoint.
	Address string
	// Sent says that the endpoint may have received the request.
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

// Call is a request to an endpoint.
type Call struct {
	// Method, Target and Host stand in the request as they are here.
	Method, Target, Host string
	// Header is sent without the fields that concern one connection.
	Header http.Header
	Body   []byte
	// Matches reports whether an answer belongs to this request. An endpoint may
	// send a second answer to an earlier one.
	Matches func(status int, h http.Header) bool
}

// key identifies the process that a connection leads to.
type key struct {
	id, address string
	born        int64
}

func keyOf(e fleet.Endpoint) key { return key{id: e.ID, address: e.Address, born: e.Born} }

// Pool holds the connections to all endpoints. It is safe for use by several
// goroutines.
type Pool struct {
	clock damasktrail.Clock
	tasks *group.Group
	// opened is called for each new connection.
	opened func()

	mu   sync.Mutex
	idle map[key][]*conn
}

// New returns a pool without connections.
func New(clock damasktrail.Clock, tasks *group.Group, opened func()) *Pool {
	return &Pool{clock: clock, tasks: tasks, opened: opened, idle: map[key][]*conn{}}
}

// Retain closes the unused connections to endpoints that are not in the list.
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
	p.mu.Unlock()
	for _, c := range drop {
		c.close()
	}
}

// Expire closes connections that were unused for long.
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
	p.mu.Unlock()
	for _, c := range drop {
		c.close()
	}
}

// Close closes all unused connections.
func (p *Pool) Close() { p.Retain(fleet.List{}) }

// Do sends a request and returns the head of its answer. The error is an
// [*Error]. The connection is closed when ctx ends before the answer was read.
func (p *Pool) Do(ctx context.Context, e fleet.Endpoint, call Call) (*Answer, error) {
	c, err := p.take(ctx, e)
	if err != nil {
		return nil, &Error{Address: e.Address, Err: err}
	}
	a, err := c.do(ctx, call)
	if err != nil {
		c.close()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, &Error{Address: e.Address, Sent: c.touched, Err: err}
	}
	return a, nil
}

// take returns a kept connection that is sound, or a new one.
func (p *Pool) take(ctx context.Context, e fleet.Endpoint) (*conn, error) {
	k := keyOf(e)
	for {
		c := p.pop(k)
		if c == nil {
			return p.dial(ctx, k)
		}
		if p.clock.Now().Before(c.expires) && c.quiet() {
			c.touched = false
			return c, nil
		}
		c.close()
	}
}

func (p *Pool) pop(k key) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idle[k]
	if len(conns) == 0 {
		return nil
	}
	c := conns[len(conns)-1]
	p.idle[k] = conns[:len(conns)-1]
	return c
}

// put keeps a connection for the next request.
func (p *Pool) put(c *conn) {
	p.mu.Lock()
	full := len(p.idle[c.key]) >= maxIdle
	if !full {
		p.idle[c.key] = append(p.idle[c.key], c)
	}
	p.mu.Unlock()
	if full {
		c.close()
	}
}

func (p *Pool) dial(ctx context.Context, k key) (*conn, error) {
	d := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: int(userTimeout / keepAliveInterval),
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
	if err := setUserTimeout(tcp, userTimeout); err != nil {
		_ = nc.Close()
		return nil, err
	}
	p.opened()
	return newConn(p, k, tcp), nil
}
