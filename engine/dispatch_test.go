package engine

import (
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a write after seal has reported that nothing was written, and
// against such a report after a write.
func TestSealedConnection(t *testing.T) {
	tests := map[string]struct {
		before, after, sealed bool
	}{
		"nothing written":     {sealed: true},
		"written before":      {before: true},
		"written after":       {after: true, sealed: true},
		"written both times":  {before: true, after: true},
		"used for a new call": {before: true, sealed: true},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			client, server := net.Pipe()
			defer client.Close()
			received := make(chan int, 1)
			go func() {
				n := 0
				for b := make([]byte, 8); ; n++ {
					if _, err := server.Read(b); err != nil {
						received <- n
						return
					}
				}
			}()
			c := &writeTrackingConn{Conn: client}
			want := 0
			if tt.before {
				_, err := c.Write([]byte("x"))
				require.NoError(t, err)
				want++
			}
			if tt.before && tt.sealed {
				c.state.Store(connUnwritten) // GotConn does this for a reused connection.
			}
			require.Equal(t, tt.sealed, c.seal())
			require.Equal(t, tt.sealed, c.seal(), "a second report is the same")
			if tt.after {
				_, err := c.Write([]byte("x"))
				if tt.sealed {
					require.ErrorIs(t, err, errSealed)
				} else {
					require.NoError(t, err)
					want++
				}
			}
			client.Close()
			require.Equal(t, want, <-received)
		})
	}
}

// failingTransport is a transport that fails after it has acquired conn, unless
// that is nil, and has written a byte if write is set.
type failingTransport struct {
	conn  *writeTrackingConn
	write bool
}

// RoundTrip implements http.RoundTripper.
func (f failingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if f.conn != nil {
		httptrace.ContextClientTrace(r.Context()).GotConn(httptrace.GotConnInfo{Conn: f.conn})
	}
	if f.write {
		f.conn.Write([]byte("x"))
	}
	return nil, errors.New("failed")
}

// Guards against a dispatched call that is reported as not dispatched, and against
// the reverse, which would prevent a retry that is safe.
func TestDispatchReportsWrites(t *testing.T) {
	client, server := net.Pipe()
	defer client.Close()
	server.Close()
	for name, tt := range map[string]struct {
		transport  failingTransport
		dispatched bool
	}{
		"no connection": {},
		"no write":      {transport: failingTransport{conn: &writeTrackingConn{Conn: client}}},
		"failed write":  {transport: failingTransport{conn: &writeTrackingConn{Conn: client}, write: true}, dispatched: true},
	} {
		t.Run(name, func(t *testing.T) {
			_, dispatched, err := dispatch(tt.transport, httptest.NewRequest(http.MethodPost, "/", http.NoBody))
			require.Error(t, err)
			require.Equal(t, tt.dispatched, dispatched)
			if c := tt.transport.conn; c != nil && !dispatched {
				_, err := c.Write([]byte("x"))
				require.ErrorIs(t, err, errSealed)
			}
		})
	}
}
