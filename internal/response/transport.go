package response

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
)

// maxHeaderBytes bounds the header of an answer. The bound of net/http is 10 MB.
const maxHeaderBytes = 32 << 10

// transport is an http.Transport on connections that check answers.
type transport struct{ base *http.Transport }

// NewTransport returns a round tripper that sends requests as a copy of base does and
// fails if the answer is broken in a way that a [Conn] detects. A header may have 32 KiB,
// unless base states a bound. Heads of answers over TLS are not checked.
func NewTransport(base *http.Transport) http.RoundTripper {
	t := base.Clone()
	if t.MaxResponseHeaderBytes == 0 {
		t.MaxResponseHeaderBytes = maxHeaderBytes
	}
	dial := t.DialContext
	if dial == nil {
		dial = new(net.Dialer).DialContext
	}
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
	return &transport{base: t}
}

// RoundTrip implements http.RoundTripper.
func (t *transport) RoundTrip(r *http.Request) (*http.Response, error) {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*Conn); ok {
			// The transport has read nothing ahead on a connection that it hands out.
			_ = c.Begin(nil)
		}
	}}
	return t.base.RoundTrip(r.WithContext(httptrace.WithClientTrace(r.Context(), trace)))
}
