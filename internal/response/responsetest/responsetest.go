// Package responsetest plays HTTP servers whose answers a test writes byte by byte. Start
// from [Serve].
package responsetest

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"damasktrail.dev/group"
)

// Serve starts a server on loopback and returns its address. It reads the head of one
// request on each connection, answers it with f and closes the connection.
func Serve(t testing.TB, f func(c *net.TCPConn, r *http.Request)) string {
	t.Helper()
	l, err := net.ListenTCP("tcp4", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	tasks := group.New(context.Background())
	tasks.Go(func(context.Context) {
		for {
			c, err := l.AcceptTCP()
			if err != nil {
				return
			}
			tasks.Go(func(context.Context) { serve(c, f) })
		}
	})
	return l.Addr().String()
}

func serve(c *net.TCPConn, f func(c *net.TCPConn, r *http.Request)) {
	defer func() { _ = c.Close() }()
	if r, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
		f(c, r)
	}
}

// Framing is how a server marks the end of a body.
type Framing string

// The framings of HTTP/1.1.
const (
	Length  Framing = "length"
	Chunks  Framing = "chunks"
	Neither Framing = "neither" // The body ends with its connection.
)

// Framings are all framings.
var Framings = []Framing{Length, Chunks, Neither}

// Field returns the line of the header for a body of n bytes, empty if there is none.
func (f Framing) Field(n int) string {
	switch f {
	case Length:
		return fmt.Sprintf("Content-Length: %d\r\n", n)
	case Chunks:
		return "Transfer-Encoding: chunked\r\n"
	case Neither:
	}
	return ""
}

// Encode returns the first n bytes of the body, and its end if these are all.
func (f Framing) Encode(body string, n int) string {
	if f != Chunks {
		return body[:n]
	}
	res := fmt.Sprintf("%x\r\n%s\r\n", n, body[:n])
	if n == len(body) {
		res += "0\r\n\r\n"
	}
	return res
}

// Whole returns the line for a body, the end of the header and the body.
func (f Framing) Whole(body string) string {
	return f.Field(len(body)) + "\r\n" + f.Encode(body, len(body))
}

// WriteEndless writes a text over and over until the connection is closed.
func WriteEndless(w io.Writer, text string) {
	const blockBytes = 64 << 10
	for block := []byte(strings.Repeat(text, blockBytes/len(text))); ; {
		if _, err := w.Write(block); err != nil {
			return
		}
	}
}

// Allocated returns how many bytes the process allocates during f.
func Allocated(f func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	f()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}
