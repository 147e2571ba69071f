package link

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"sync"

	"github.com/quic-go/quic-go"
)

// Dialer opens connections that share a UDP socket. It is safe for use by
// several goroutines.
type Dialer struct {
	tls *tls.Config
	// local is the IP that connections leave from; empty lets the kernel choose.
	local string

	mu sync.Mutex
	// current is the socket of new connections; nil before the first.
	current *socket
}

// socket is a UDP socket that is closed with its last connection once it is no
// longer current.
type socket struct {
	transport *quic.Transport
	// users counts connections, plus one while the socket is current.
	users int
}

// NewDialer returns a dialer that leaves from the IP local.
func NewDialer(local string, t *tls.Config) *Dialer {
	return &Dialer{tls: t, local: local}
}

// Dial connects to address. With fresh set it leaves from a new port, since
// something on the way may have lost track of the old one.
func (d *Dialer) Dial(ctx context.Context, address string, fresh bool) (res *Conn, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("dial %s: %w", address, err)
		}
	}()
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	s, err := d.acquire(fresh)
	if err != nil {
		return nil, err
	}
	release := func() { d.release(s) }
	q, err := s.transport.Dial(ctx, udp, d.tls, config())
	if err != nil {
		release()
		return nil, err
	}
	c, err := newConn(q, release)
	if err != nil {
		return nil, err
	}
	context.AfterFunc(q.Context(), c.release)
	return c, nil
}

func (d *Dialer) acquire(fresh bool) (*socket, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if fresh && d.current != nil {
		d.drop(d.current)
		d.current = nil
	}
	if d.current == nil {
		conn, err := bind(net.JoinHostPort(d.local, "0"))
		if err != nil {
			return nil, err
		}
		d.current = &socket{transport: &quic.Transport{Conn: conn}, users: 1}
	}
	d.current.users++
	return d.current, nil
}

func (d *Dialer) release(s *socket) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.drop(s)
}

// drop needs mu.
func (d *Dialer) drop(s *socket) {
	s.users--
	if s.users == 0 {
		_ = s.transport.Close()
		_ = s.transport.Conn.Close()
	}
}

// Close drops the current socket; it is closed with its last connection.
func (d *Dialer) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.current != nil {
		d.drop(d.current)
		d.current = nil
	}
}
