package upstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// inlineWrite is the largest request in bytes that is written before its
	// answer is read. A longer one may be answered before it is read.
	inlineWrite = 8 << 10
	// maxStrange is the number of answers to other requests that are passed over.
	maxStrange = 4
	readBuffer = 4 << 10
)

// errStrange says that only answers to other requests came.
var errStrange = errors.New("answers belong to other requests")

// conn is one connection to an endpoint. It carries one request at a time.
type conn struct {
	pool    *Pool
	key     key
	tcp     *net.TCPConn
	reader  *bufio.Reader
	expires time.Time
	// touched says that bytes of the current request may have left.
	touched bool
	closing sync.Once
}

func newConn(p *Pool, k key, tcp *net.TCPConn) *conn {
	return &conn{pool: p, key: k, tcp: tcp, reader: bufio.NewReaderSize(tcp, readBuffer)}
}

func (c *conn) close() {
	c.closing.Do(func() { _ = c.tcp.Close() })
}

// quiet reports whether the endpoint has neither closed the connection nor sent
// anything since the last answer.
func (c *conn) quiet() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.tcp.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && quiet
}

func setUserTimeout(c *net.TCPConn, d time.Duration) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	err = raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return os.NewSyscallError("setsockopt", failed)
}

// do sends the request and reads the head of its answer.
func (c *conn) do(ctx context.Context, call Call) (*Answer, error) {
	stop := context.AfterFunc(ctx, c.close)
	written := c.write(call)
	response, err := c.response(call) //nolint:bodyclose // Answer.Close closes the connection.
	if err != nil {
		stop()
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	return &Answer{Status: response.StatusCode, Header: response.Header, conn: c, response: response, written: written, stop: stop}, nil
}

// write sends the request and returns a channel that gets the result. Long
// requests are written by a task of their own.
func (c *conn) write(call Call) <-chan error {
	head := encodeHead(call)
	written := make(chan error, 1)
	if len(head)+len(call.Body) <= inlineWrite {
		n, err := c.tcp.Write(append(head, call.Body...))
		c.touched = n > 0 || err == nil
		written <- err
		return written
	}
	c.touched = true
	started := c.pool.tasks.Go(func(context.Context) {
		buffers := net.Buffers{head, call.Body}
		_, err := buffers.WriteTo(c.tcp)
		written <- err
	})
	if !started {
		c.close()
	}
	return written
}

// response reads the head of the answer to this request.
func (c *conn) response(call Call) (*http.Response, error) {
	request := &http.Request{Method: call.Method}
	for range maxStrange {
		res, err := http.ReadResponse(c.reader, request)
		if err != nil {
			return nil, err
		}
		if res.StatusCode < http.StatusOK {
			continue
		}
		if call.Matches(res.StatusCode, res.Header) {
			return res, nil
		}
		if res.Close {
			return nil, errStrange
		}
		if _, err := io.Copy(io.Discard, res.Body); err != nil {
			return nil, err
		}
	}
	return nil, errStrange
}

// hopFields concern one connection only.
var hopFields = map[string]bool{
	"Connection": true, "Content-Length": true, "Expect": true, "Host": true, "Keep-Alive": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// EndToEnd calls f with each field of h that does not concern one connection
// only.
func EndToEnd(h http.Header, f func(name, value string)) {
	named := map[string]bool{}
	for _, value := range h["Connection"] {
		for _, name := range strings.Split(value, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for name, values := range h {
		if hopFields[name] || named[name] {
			continue
		}
		for _, v := range values {
			f(name, v)
		}
	}
}

// encodeHead returns the request line and the header fields.
func encodeHead(call Call) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", call.Method, call.Target, call.Host)
	EndToEnd(call.Header, func(name, value string) {
		b.WriteString(name)
		b.WriteString(": ")
		b.WriteString(value)
		b.WriteString("\r\n")
	})
	if len(call.Body) > 0 || call.Method != http.MethodGet && call.Method != http.MethodHead {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(call.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// Answer is an answer in progress. It is used by one goroutine.
type Answer struct {
	Status int
	Header http.Header

	conn     *conn
	response *http.Response
	written  <-chan error
	stop     func() bool
	whole    bool
}

// Read reads the body. It returns [io.EOF] only after the whole body; a body
// that was cut off ends with another error.
func (a *Answer) Read(b []byte) (int, error) {
	n, err := a.response.Body.Read(b)
	if errors.Is(err, io.EOF) {
		a.whole = true
	}
	return n, err
}

// Close keeps the connection for the next request when the answer was read whole
// and closes it otherwise.
func (a *Answer) Close() {
	c := a.conn
	if !a.stop() || !a.whole || a.response.Close || c.reader.Buffered() > 0 {
		c.close()
		return
	}
	select {
	case err := <-a.written:
		if err != nil {
			c.close()
			return
		}
	default:
		// The endpoint has not read the whole request; what comes next on the
		// connection would be taken for the rest of it.
		c.close()
		return
	}
	c.expires = c.pool.clock.Now().Add(keptFor(a.Header))
	c.pool.put(c)
}

// keptFor returns how long the endpoint keeps an unused connection, less a
// margin.
func keptFor(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !found {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil {
			return max(0, time.Duration(s)*time.Second-idleMargin)
		}
	}
	return idleLife
}
