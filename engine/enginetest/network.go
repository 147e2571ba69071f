package enginetest

import (
	"context"
	"net"
	"net/http"
	"sync"
	"syscall"
)

// Network is an in-memory network with one listener. Unlike a socket, it can be
// used in a testing/synctest bubble. It is safe for concurrent use.
type Network struct {
	accepted chan net.Conn
	done     chan struct{}

	mu sync.Mutex
	// conns holds the server side of all accepted connections.
	conns  []net.Conn
	closed bool
}

// NewNetwork returns a network whose listener is open.
func NewNetwork() *Network {
	return &Network{accepted: make(chan net.Conn), done: make(chan struct{})}
}

// Client returns an HTTP client that connects to the listener, whatever the
// address of the request.
func (n *Network) Client() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: n.dial}}
}

// dial connects to the listener. If the listener is closed, it returns the error
// of a refused connection, as a socket does.
func (n *Network) dial(ctx context.Context, network, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case n.accepted <- server:
		return client, nil
	case <-n.done:
		return nil, &net.OpError{Op: "dial", Net: network, Err: syscall.ECONNREFUSED}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept implements net.Listener.
func (n *Network) Accept() (net.Conn, error) {
	select {
	case c := <-n.accepted:
		n.mu.Lock()
		defer n.mu.Unlock()
		n.conns = append(n.conns, c)
		return c, nil
	case <-n.done:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. Later connections are refused.
func (n *Network) Close() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.closed {
		n.closed = true
		close(n.done)
	}
	return nil
}

// Crash closes the listener and all connections, as the kernel does when a process
// ends.
func (n *Network) Crash() {
	n.Close() //nolint:errcheck // it returns nil
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		c.Close() //nolint:errcheck // the other end sees it
	}
}

// Addr implements net.Listener.
func (n *Network) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }
