package response_test

import (
	"io"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"damasktrail.dev/internal/response"
)

// connect returns the two sides of a connection.
func connect(t *testing.T) (client *response.Conn, server *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	c, err := net.Dial("tcp4", l.Addr().String())
	require.NoError(t, err)
	s, err := l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = c.Close()
		_ = s.Close()
	})
	return response.NewConn(c), s.(*net.TCPConn)
}

// Guards against a reset that looks like the end of an answer because a write got its
// error, and against an orderly end that looks like a reset.
func TestEndOfConnection(t *testing.T) {
	closeWrite := func(c *net.TCPConn) { _ = c.CloseWrite() }
	reset := func(c *net.TCPConn) {
		_ = c.SetLinger(0)
		_ = c.Close()
	}
	write := func(c *response.Conn) error {
		_, err := c.Write([]byte("upload"))
		return err
	}
	writeBuffers := func(c *response.Conn) error { return c.WriteBuffers(net.Buffers{[]byte("up"), []byte("load")}) }
	// failure is the error of the write, end that of the read after the part that was sent.
	for _, c := range []struct {
		name         string
		close        []func(*net.TCPConn)
		write        func(*response.Conn) error
		failure, end error
	}{
		{"reset, no write", []func(*net.TCPConn){reset}, nil, nil, syscall.ECONNRESET},
		{"reset, write", []func(*net.TCPConn){reset}, write, syscall.ECONNRESET, syscall.ECONNRESET},
		{"reset, write of buffers", []func(*net.TCPConn){reset}, writeBuffers, syscall.ECONNRESET, syscall.ECONNRESET},
		{"end, no write", []func(*net.TCPConn){closeWrite}, nil, nil, io.EOF},
		{"end, write", []func(*net.TCPConn){closeWrite}, write, nil, io.EOF},
		{"end and reset, write", []func(*net.TCPConn){closeWrite, reset}, write, syscall.EPIPE, io.EOF},
		{"end and reset, write of buffers", []func(*net.TCPConn){closeWrite, reset}, writeBuffers, syscall.EPIPE, io.EOF},
	} {
		t.Run(c.name, func(t *testing.T) {
			client, server := connect(t)
			_, err := server.Write([]byte("part"))
			require.NoError(t, err)
			for _, f := range c.close {
				f(server)
				time.Sleep(20 * time.Millisecond)
			}
			if c.write != nil {
				require.ErrorIs(t, c.write(client), c.failure)
			}
			b := make([]byte, 8)
			n, err := client.Read(b)
			if n > 0 {
				require.Equal(t, "part", string(b[:n]))
				_, err = client.Read(b)
			}
			require.ErrorIs(t, err, c.end)
			_, err = client.Read(b)
			require.Error(t, err, "the end stays")
		})
	}
}

// Guards against a read that waits for a write that nobody takes.
func TestEndDuringPendingWrite(t *testing.T) {
	client, server := connect(t)
	written := make(chan error, 1)
	go func() { written <- client.WriteBuffers(net.Buffers{make([]byte, 64<<20)}) }()
	time.Sleep(20 * time.Millisecond)
	require.NoError(t, server.CloseWrite())
	_, err := client.Read(make([]byte, 8))
	require.Equal(t, io.EOF, err)
	select {
	case err := <-written:
		require.ErrorIs(t, err, os.ErrDeadlineExceeded)
	case <-time.After(5 * time.Second):
		require.Fail(t, "the write goes on")
	}
}
