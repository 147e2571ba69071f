package engine

import (
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a write that follows the report that a call was not dispatched,
// and against a report that follows a write.
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
			c := &recordedConn{Conn: client}
			want := 0
			if tt.before {
				_, err := c.Write([]byte("x"))
				require.NoError(t, err)
				want++
			}
			if tt.before && tt.sealed {
				c.state.Store(connClean) // what GotConn does
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
