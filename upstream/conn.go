package upstream

import (
	"bufio"
	"bytes"
	"cmp"
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

	"damasktrail.dev/internal/response"
)

const (
	// maxInlineWriteBytes is the size up to which a request is written before its
	// response is read. A larger request is written concurrently, because an
	// endpoint may respond before it has read all of it.
	maxInlineWriteBytes = 8 << 10
	// maxResponses bounds the responses that are read for one request, including
	// responses to other requests and informational (1xx) responses.
	maxResponses    = 4
	readBufferBytes = 4 << 10
	// maxHeadBytes bounds the head of one response: its status line and header.
	maxHeadBytes = 32 << 10
	// maxDiscardBytes and maxDiscardTime bound what is read of a body that nobody
	// gets, so that its connection can be used again.
	maxDiscardBytes = 64 << 10
	maxDiscardTime  = 100 * time.Millisecond
)

// errMismatch reports that no response on the connection matched the request.
var errMismatch = errors.New("answers belong to other requests")

// ErrTooLong reports that an endpoint sent more bytes than an answer may have at that
// place.
var ErrTooLong = errors.New("endpoint sends more bytes than an answer may have")

// boundedReader fails with ErrTooLong when more than left bytes are read. A negative
// value is no bound.
type boundedReader struct {
	reader io.Reader
	left   int
}

// Read implements io.Reader.
func (b *boundedReader) Read(p []byte) (int, error) {
	if b.left < 0 {
		return b.reader.Read(p)
	}
	if b.left == 0 {
		return 0, ErrTooLong
	}
	n, err := b.reader.Read(p[:min(len(p), b.left)])
	b.left -= n
	return n, err
}

// conn is a connection to an endpoint. It carries one request at a time.
type conn struct {
	pool    *Pool
	key     key
	tcp     *net.TCPConn
	wire    *response.Conn // reads and writes tcp
	bound   *boundedReader
	reader  *bufio.Reader
	expires time.Time
	// sent reports whether any byte of the current request may have been sent.
	sent bool
	// used is true once a request was sent, lastID is the ID of the last one.
	used      bool
	lastID    string
	closeOnce sync.Once
}

func newConn(p *Pool, k key, tcp *net.TCPConn) *conn {
	wire := response.NewConn(tcp)
	bound := &boundedReader{reader: wire, left: -1}
	return &conn{pool: p, key: k, tcp: tcp, wire: wire, bound: bound, reader: bufio.NewReaderSize(bound, readBufferBytes)}
}

func (c *conn) close() {
	c.closeOnce.Do(func() { _ = c.tcp.Close() })
}

// reusable reports whether the connection is open and has no unread data. Data
// on an idle connection would be read as the response to the next request.
func (c *conn) reusable() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	raw, err := c.tcp.SyscallConn()
	if err != nil {
		return false
	}
	wouldBlock := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		wouldBlock = errors.Is(err, unix.EAGAIN)
		return true
	})
	return err == nil && wouldBlock
}

func setUserTimeout(c *net.TCPConn, d time.Duration) error {
	raw, err := c.SyscallConn()
	if err != nil {
		return err
	}
	var sockoptErr error
	err = raw.Control(func(fd uintptr) {
		sockoptErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return os.NewSyscallError("setsockopt", sockoptErr)
}

// do sends the request and reads the header of its response. It closes the
// connection if ctx ends.
func (c *conn) do(ctx context.Context, call Call) (*Answer, error) {
	stop := context.AfterFunc(ctx, c.close)
	reused := c.used
	c.used, c.lastID = true, call.ID
	written := c.write(call)
	res, err := c.response(call, reused) //nolint:bodyclose // Answer.Close closes the connection.
	if err != nil {
		stop()
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	return &Answer{Status: res.StatusCode, Header: res.Header, conn: c, response: res, written: written, stop: stop}, nil
}

func (c Call) bodySize() (res int) {
	for _, block := range c.Body {
		res += len(block)
	}
	return res
}

// write sends the request and returns a channel that receives the result. A
// request larger than maxInlineWriteBytes is written by a separate goroutine.
func (c *conn) write(call Call) <-chan error {
	head := encodeHead(call)
	written := make(chan error, 1)
	if len(head)+call.bodySize() <= maxInlineWriteBytes {
		for _, block := range call.Body {
			head = append(head, block...)
		}
		n, err := c.wire.Write(head)
		c.sent = n > 0 || err == nil
		written <- err
		return written
	}
	c.sent = true
	started := c.pool.tasks.Go(func(context.Context) {
		written <- c.wire.WriteBuffers(append(net.Buffers{head}, call.Body...))
	})
	if !started {
		c.close()
	}
	return written
}

// response reads the header of the response to this request. It skips
// informational (1xx) responses and responses to other requests. reused says that the
// connection has carried other requests before.
func (c *conn) response(call Call, reused bool) (*http.Response, error) {
	request := &http.Request{Method: call.Method}
	for range maxResponses {
		if err := c.beginHead(); err != nil {
			return nil, err
		}
		c.bound.left = maxHeadBytes
		res, err := http.ReadResponse(c.reader, request)
		c.bound.left = -1
		if err != nil {
			return nil, cmp.Or(c.wire.Malformed(), err)
		}
		if res.StatusCode < http.StatusOK {
			continue
		}
		match := call.Matches(res.StatusCode, res.Header)
		if match == Own || match == Unnamed && !reused {
			return res, nil
		}
		if match == Unnamed || res.Close {
			return nil, errMismatch
		}
		if err := c.discard(res.Body); err != nil {
			return nil, err
		}
	}
	return nil, errMismatch
}

// beginHead expects the head of a response, of which a part may have been read.
func (c *conn) beginHead() error {
	buffered, err := c.reader.Peek(c.reader.Buffered())
	if err != nil {
		return err
	}
	return c.wire.Begin(buffered)
}

// discard reads the rest of a body, at most maxDiscardBytes for maxDiscardTime.
func (c *conn) discard(body io.Reader) error {
	if err := c.tcp.SetReadDeadline(c.pool.clock.Now().Add(maxDiscardTime)); err != nil {
		return err
	}
	n, err := io.CopyN(io.Discard, body, maxDiscardBytes+1)
	if n > maxDiscardBytes {
		return ErrTooLong
	}
	if !errors.Is(err, io.EOF) {
		return err
	}
	return c.tcp.SetReadDeadline(time.Time{})
}

// hopByHopFields are the header fields that apply to a single connection and
// are not forwarded.
var hopByHopFields = map[string]bool{
	"Connection": true, "Content-Length": true, "Expect": true, "Host": true, "Keep-Alive": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// EndToEnd calls f with each end-to-end field of h. It skips the hop-by-hop
// fields, which include those that the Connection field lists, except the fields in keep: the
// sender cannot make these hop-by-hop. The names in keep are in canonical form.
func EndToEnd(h http.Header, keep []string, f func(name, value string)) {
	named := map[string]bool{}
	for _, value := range h["Connection"] {
		for _, name := range strings.Split(value, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	for _, name := range keep {
		delete(named, name)
	}
	for name, values := range h {
		if hopByHopFields[name] || named[name] {
			continue
		}
		for _, v := range values {
			f(name, v)
		}
	}
}

// encodeHead returns the encoded request line and header.
func encodeHead(call Call) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", call.Method, call.Target, call.Host)
	EndToEnd(call.Header, nil, func(name, value string) {
		b.WriteString(name)
		b.WriteString(": ")
		b.WriteString(value)
		b.WriteString("\r\n")
	})
	if call.bodySize() > 0 || call.Method != http.MethodGet && call.Method != http.MethodHead {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(call.bodySize()))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// Answer is a response whose body may not have been read yet. It must be closed
// and is not safe for concurrent use.
type Answer struct {
	Status int
	Header http.Header

	conn     *conn
	response *http.Response
	written  <-chan error
	stop     func() bool
	complete bool
}

// Read reads the body. It returns [io.EOF] only at the end of the complete body;
// a truncated body ends with another error.
func (a *Answer) Read(b []byte) (int, error) {
	n, err := a.response.Body.Read(b)
	if errors.Is(err, io.EOF) {
		a.complete = true
	}
	return n, err
}

// Delimited reports whether the answer states its length or comes in chunks. Any other
// ends with its connection, and a crash of the endpoint can look the same.
func (a *Answer) Delimited() bool {
	return a.response.ContentLength >= 0 || len(a.response.TransferEncoding) > 0
}

// Discard reads the rest of the body, so that the connection can be used again. It
// gives up when the rest is long or late.
func (a *Answer) Discard() {
	// A rest that is not read completely makes Close close the connection.
	a.complete = a.conn.discard(a.response.Body) == nil
}

// Close returns the connection to the pool if the request was written and the
// response was read completely, and closes it otherwise.
func (a *Answer) Close() {
	c := a.conn
	if !a.stop() || !a.complete || a.response.Close || c.reader.Buffered() > 0 {
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
		// The request is not completely written. The endpoint would read the next
		// request on the connection as the rest of this body.
		c.close()
		return
	}
	c.expires = c.pool.clock.Now().Add(keepAliveTimeout(a.Header))
	c.pool.release(c)
}

// maxKeepAliveSeconds bounds the timeout of the Keep-Alive field.
const maxKeepAliveSeconds = 24 * 3600

// keepAliveTimeout returns how long the pool may keep the connection idle: the
// timeout of the Keep-Alive field less idleMargin, or defaultIdleTimeout if there
// is none in range.
func keepAliveTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !found {
			continue
		}
		if s, err := strconv.Atoi(value); err == nil && s >= 0 && s <= maxKeepAliveSeconds {
			return max(0, time.Duration(s)*time.Second-idleMargin)
		}
	}
	return defaultIdleTimeout
}
