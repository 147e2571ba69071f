// Package response detects answers over HTTP/1.1 that are broken and that net/http takes
// for sound. Start from [NewTransport], or from [NewConn] for a client without a transport.
package response

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// Conn is the client's side of a connection. One goroutine may read while others write.
type Conn struct {
	net.Conn

	// reading is held while head is used, not during a read.
	reading sync.Mutex
	head    head
	// writing is held during a write.
	writing sync.Mutex
	// writeErr is the error of the last write that failed, guarded by writing.
	writeErr error
}

// NewConn returns a connection that reads from and writes to c.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c} }

// Begin expects the answer to the next request, of which buffered has been read already.
// Heads are checked only after the first call.
func (c *Conn) Begin(buffered []byte) error {
	c.reading.Lock()
	defer c.reading.Unlock()
	c.head.begin()
	_, err := c.head.scan(buffered)
	return err
}

// Malformed returns the [*MalformedError] that has ended the connection, nil if there is
// none. A reader may hide it: net/http takes what it has of a line for the whole line.
func (c *Conn) Malformed() error {
	c.reading.Lock()
	defer c.reading.Unlock()
	return c.head.err
}

// checkHead checks bytes that have arrived and returns how many of them are sound.
func (c *Conn) checkHead(p []byte) (int, error) {
	c.reading.Lock()
	defer c.reading.Unlock()
	return c.head.scan(p)
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (n int, err error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err = c.Conn.Write(b)
	c.recordWrite(err)
	return n, err
}

// WriteBuffers writes all buffers, with few system calls if the connection is TCP.
func (c *Conn) WriteBuffers(buffers net.Buffers) (err error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	_, err = buffers.WriteTo(c.Conn)
	c.recordWrite(err)
	return err
}

// recordWrite records the error of a write, if it failed. The caller holds c.writing.
func (c *Conn) recordWrite(err error) {
	if err != nil {
		c.writeErr = err
	}
}

// Read implements net.Conn. It returns [io.EOF] only if the peer has closed its direction
// of the connection. The kernel reports a broken connection to one call only: if a write
// gets the error, the next read finds nothing but the end. Read returns that error then.
// In the head of an answer, it returns a [*MalformedError] in place of a malformed rest.
func (c *Conn) Read(p []byte) (int, error) {
	if err := c.Malformed(); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if sound, malformed := c.checkHead(p[:n]); malformed != nil {
		return sound, malformed
	}
	if !errors.Is(err, io.EOF) {
		return n, err
	}
	if failure := c.brokenWrite(); failure != nil {
		return n, fmt.Errorf("connection broke while the request was written: %w", failure)
	}
	return n, err
}

// brokenWrite returns the error of a write that failed because the connection broke. It
// ends a pending write: the peer sends nothing more, whatever it still gets.
func (c *Conn) brokenWrite() error {
	_ = c.SetWriteDeadline(time.Unix(1, 0))
	c.writing.Lock()
	defer c.writing.Unlock()
	// After an orderly close, writes fail with EPIPE.
	if errors.Is(c.writeErr, os.ErrDeadlineExceeded) || errors.Is(c.writeErr, syscall.EPIPE) {
		return nil
	}
	return c.writeErr
}
