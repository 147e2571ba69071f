package standin

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// request is one requester attempt.
type request struct {
	id, method, path, body string
	// fields are header lines besides Host, Attempt-Id and Content-Length.
	fields []string
	// wait is how long the requester waits.
	wait time.Duration
}

// answer is what the requester got; status is 0 if there was no complete answer.
type answer struct {
	status int
	header http.Header
	body   string
	took   time.Duration
	err    error
}

// send sends a request on a new channel.
func (w *world) send(address string, q request) (res answer) {
	start := time.Now()
	defer func() {
		res.took = time.Since(start)
		w.note("requester: %s %s at %s: status %d after %d ms, error %v", q.id, q.path, address, res.status, res.took.Milliseconds(), res.err)
	}()
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	_ = c.SetDeadline(start.Add(q.wait))
	var b bytes.Buffer
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\n", q.method, q.path, host, q.id)
	for _, f := range q.fields {
		b.WriteString(f + "\r\n")
	}
	if q.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n" + q.body)
	if _, err := c.Write(b.Bytes()); err != nil {
		return answer{err: err}
	}
	r, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: q.method})
	if err != nil {
		return answer{err: err}
	}
	text, err := io.ReadAll(r.Body)
	if err != nil {
		return answer{err: err}
	}
	return answer{status: r.StatusCode, header: r.Header, body: string(text)}
}
