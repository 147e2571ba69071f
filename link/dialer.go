package link

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"sync"

	"github.com/quic-go/quic-go"
)

// Dialer opens connections that share one UDP socket. It is safe for concurrent
// use.
type Dialer struct {
	tlsConfig *tls.Config
	// localIP is the source IP of connections; empty lets the kernel choose.
	localIP string

	mu sync.Mutex
	// current is the socket that new connections use; nil when none is open.
	current *socket
}

// socket is a reference-counted UDP socket. It is closed when its last
// connection ends and it is no longer the dialer's current socket.
type socket struct {
	transport *quic.Transport
	// refs is the number of connections, plus one while the socket is current.
	// Dialer.mu guards it.
	refs int
}

// NewDialer returns a dialer that leaves from the IP local.
func NewDialer(localIP string, tlsConfig *tls.Config) *Dialer {
	return &Dialer{tlsConfig: tlsConfig, localIP: localIP}
}

// Dial connects to address. If newPort is set, it uses a new socket and thus a
// new source port, because a middlebox on the path may have lost its state for
// the old port.
func (d *Dialer) Dial(ctx context.Context, address string, newPort bool) (res *Conn, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("dial %s: %w", address, err)
		}
	}()
	udp, err := net.ResolveUDPAddr("udp", address)
	if err != nil {
		return nil, err
	}
	s, err := d.acquire(newPort)
	if err != nil {
		return nil, err
	}
	release := func() { d.release(s) }
	q, err := s.transport.Dial(ctx, udp, d.tlsConfig, quicConfig())
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

// acquire returns the current socket with one more reference. It opens a socket
// if there is none or newPort is set.
func (d *Dialer) acquire(newPort bool) (*socket, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if newPort && d.current != nil {
		d.releaseLocked(d.current)
		d.current = nil
	}
	if d.current == nil {
		conn, err := bind(net.JoinHostPort(d.localIP, "0"))
		if err != nil {
			return nil, err
		}
		d.current = &socket{transport: &quic.Transport{Conn: conn}, refs: 1}
	}
	d.current.refs++
	return d.current, nil
}

func (d *Dialer) release(s *socket) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.releaseLocked(s)
}

// releaseLocked gives up one reference to s and closes s with the last one. The
// caller holds d.mu.
func (d *Dialer) releaseLocked(s *socket) {
	s.refs--
	if s.refs == 0 {
		_ = s.transport.Close()
		_ = s.transport.Conn.Close()
	}
}

// Close gives up the current socket, which is closed when its last connection
// ends. Open connections stay usable.
func (d *Dialer) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.current != nil {
		d.releaseLocked(d.current)
		d.current = nil
	}
}
