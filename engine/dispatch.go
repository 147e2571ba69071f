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

	"damasktrail.dev/internal/response"
)

// The states of a [writeTrackingConn].
const (
	connUnwritten int32 = iota
	connWritten
	connSealed
)

var errSealed = errors.New("call was abandoned before its first byte was written")

// writeTrackingConn records whether a byte of the current call was written. Sealing
// it prevents an abandoned call from writing later.
type writeTrackingConn struct {
	net.Conn
	state atomic.Int32
}

// Write implements net.Conn.
func (c *writeTrackingConn) Write(b []byte) (int, error) {
	if !c.state.CompareAndSwap(connUnwritten, connWritten) && c.state.Load() == connSealed {
		return 0, errSealed
	}
	return c.Conn.Write(b)
}

// seal reports whether nothing was written; if so, all later writes fail.
func (c *writeTrackingConn) seal() bool {
	return c.state.CompareAndSwap(connUnwritten, connSealed) || c.state.Load() == connSealed
}

// newTransport returns a copy of base for requests to one endpoint.
func newTransport(base *http.Transport, s Settings) http.RoundTripper {
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
		return &writeTrackingConn{Conn: c}, nil
	}
	// The endpoint is on the same VM, so proxy settings of the environment do not
	// apply.
	t.Proxy = nil
	// Transparent decompression would change the bytes and their number.
	t.DisableCompression = true
	t.MaxResponseHeaderBytes = s.MaxHeaderBytes
	t.IdleConnTimeout = s.IdleTimeout
	t.DisableKeepAlives = s.IdleTimeout == 0
	return response.NewTransport(t)
}

// dispatch sends r once. If it fails, dispatched reports whether the endpoint may
// have received a part of r.
func dispatch(t http.RoundTripper, r *http.Request) (res *http.Response, dispatched bool, err error) {
	var conn atomic.Pointer[writeTrackingConn]
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			c := info.Conn
			if s, ok := c.(*tls.Conn); ok {
				c = s.NetConn()
			}
			if checked, ok := c.(*response.Conn); ok {
				c = checked.Conn
			}
			if rc, ok := c.(*writeTrackingConn); ok {
				// The transport reuses a connection only after the previous request
				// was written in full.
				rc.state.Store(connUnwritten)
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

// nonRewindableBody is a request body of a type that net/http cannot rewind, so
// that net/http never sends a request again by itself.
type nonRewindableBody struct{ io.Reader }

// Close implements io.Closer.
func (nonRewindableBody) Close() error { return nil }
