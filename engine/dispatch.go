package engine

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// The states of a recordedConn.
const (
	connClean int32 = iota
	connWritten
	connSealed
)

var errSealed = errors.New("call was given up before its first byte")

// recordedConn knows whether a byte of the current call was written. Sealing it
// prevents a write that a call given up earlier would still make.
type recordedConn struct {
	net.Conn
	state atomic.Int32
}

// Write implements net.Conn.
func (c *recordedConn) Write(b []byte) (int, error) {
	if !c.state.CompareAndSwap(connClean, connWritten) && c.state.Load() == connSealed {
		return 0, errSealed
	}
	return c.Conn.Write(b)
}

// seal reports whether nothing was written, and then nothing ever will be.
func (c *recordedConn) seal() bool {
	return c.state.CompareAndSwap(connClean, connSealed) || c.state.Load() == connSealed
}

// newTransport returns a copy of base for calls to one endpoint.
func newTransport(base *http.Transport, s Settings) *http.Transport {
	t := base.Clone()
	dial := t.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &recordedConn{Conn: c}, nil
	}
	// The endpoint is on the same VM, so a proxy from the environment is not meant.
	t.Proxy = nil
	// Transparent decompression would change the bytes and their length.
	t.DisableCompression = true
	t.MaxResponseHeaderBytes = s.Header
	t.IdleConnTimeout = s.Idle
	t.DisableKeepAlives = s.Idle == 0
	return t
}

// dispatch sends r once. When it fails, dispatched says whether the endpoint may
// have received a part of r.
func dispatch(t http.RoundTripper, r *http.Request) (res *http.Response, dispatched bool, err error) {
	var conn atomic.Pointer[recordedConn]
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			c := info.Conn
			if s, ok := c.(*tls.Conn); ok {
				c = s.NetConn()
			}
			if rc, ok := c.(*recordedConn); ok {
				// A connection is handed out only after its previous request was
				// written in full.
				rc.state.Store(connClean)
				conn.Store(rc)
			}
		},
	})
	res, err = t.RoundTrip(r.WithContext(ctx))
	if err == nil {
		return res, true, nil
	}
	c := conn.Load()
	return nil, c != nil && !c.seal(), err
}

// onceBody is a request body of a type that net/http cannot rewind, so that it
// never sends a request again by itself.
type onceBody struct{ io.Reader }

// Close implements io.Closer.
func (onceBody) Close() error { return nil }
