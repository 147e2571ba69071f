package standin2

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// receiveBufferBytes is what the kernel keeps for a replica that does not read.
const receiveBufferBytes = 16 << 10

// run is a request that a replica has run.
type run struct {
	id, tenant, prefix string
	at                 time.Time
}

// replica is a stand-in of a replica. It answers one request at a time on a connection.
type replica struct {
	world *world
	id    string
	// answer writes the answer to a request.
	answer func(c net.Conn, r *http.Request, body []byte)
	// early begins the answer to a request whose body has not been read yet; nil for none.
	early func(c net.Conn, r *http.Request)

	mu   sync.Mutex
	runs []run
}

// startReplica starts a replica and writes its entry.
func (w *world) startReplica(id, service string, slots int, answer func(c net.Conn, r *http.Request, body []byte)) *replica {
	r := &replica{world: w, id: id, answer: answer}
	// Links have small windows, so a peer that does not read blocks the writer.
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBufferBytes)
		})
	}}
	l, err := config.Listen(context.Background(), "tcp4", "127.0.3.1:0")
	must(err)
	go r.serve(l)
	w.store.put("servers/"+id, encode(map[string]any{
		"service": service, "address": l.Addr().String(), "zone": "lodz-a", "version": "1", "slots": slots,
		"state": "ready", "cold_remaining_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	}))
	return r
}

func (r *replica) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go r.handle(c)
	}
}

func (r *replica) handle(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := request.Header.Get("Attempt-Id")
		if r.early != nil {
			r.early(c, request)
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			r.world.logf("%s cannot read the body of %s: %v", r.id, id, err)
			return
		}
		if e := request.Header.Get("Expected-Replica"); e != "" && e != r.id {
			_, _ = io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: "+id+"\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		r.mu.Lock()
		r.runs = append(r.runs, run{id: id, tenant: request.Header.Get("Tenant"), prefix: strings.Join(request.Header.Values("Prefix-Hash"), ","), at: time.Now()})
		r.mu.Unlock()
		r.world.logf("%s runs %s: %s %s, tenant %q", r.id, id, request.Method, request.RequestURI, request.Header.Get("Tenant"))
		r.answer(c, request, body)
	}
}

// plainAnswer writes a complete plain answer.
func plainAnswer(c net.Conn, r *http.Request, _ []byte) {
	id := r.Header.Get("Attempt-Id")
	body := "the answer to " + id
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: s.%s\r\nContent-Length: %d\r\n\r\n%s", id, id, len(body), body)
}

// beginStream writes the head of a stream.
func beginStream(c net.Conn, id string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nAttempt-Id: %s\r\nResponse-Signature: s.%s\r\n\r\n", id, id)
}

// writeEvents writes the events from first to last, one in each interval.
func writeEvents(c net.Conn, id string, first, last int, interval time.Duration) error {
	for n := first; n <= last; n++ {
		text := fmt.Sprintf("id: %d\ndata: token %d of %s\n\n", n, n, id)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(text), text); err != nil {
			return err
		}
		time.Sleep(interval)
	}
	return nil
}

// endStream ends a stream as complete.
func endStream(c net.Conn) { _, _ = io.WriteString(c, "0\r\n\r\n") }

// ran returns the runs of the requests with that ID.
func (r *replica) ran(id string) (res []run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, x := range r.runs {
		if x.id == id {
			res = append(res, x)
		}
	}
	return res
}

// answer is what a requester got.
type answer struct {
	status int
	body   string
}

// channel is a requester's connection to a gateway.
type channel struct {
	net.Conn
	reader *bufio.Reader
}

// open opens a channel. All that happens on it must end within the limit.
func open(address string, limit time.Duration) (channel, error) {
	c, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		return channel{}, err
	}
	return channel{Conn: c, reader: bufio.NewReader(c)}, c.SetDeadline(time.Now().Add(limit))
}

// send sends bytes of a request.
func (c channel) send(text string) error {
	_, err := io.WriteString(c, text)
	return err
}

// do sends the bytes of one request and reads the answer.
func (c channel) do(request string) (answer, error) {
	if err := c.send(request); err != nil {
		return answer{}, err
	}
	method, _, _ := strings.Cut(request, " ")
	return c.receive(method)
}

// receive reads an answer. The error is nil only if it is complete.
func (c channel) receive(method string) (answer, error) {
	res, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	if err != nil {
		return answer{}, err
	}
	body, err := io.ReadAll(res.Body)
	_ = res.Body.Close()
	return answer{status: res.StatusCode, body: string(body)}, err
}

// request returns the bytes of a request with an ID, a key and a body.
func request(method, target, id, key, body string, deadline time.Duration, extra ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: "+host+"\r\nAttempt-Id: %s\r\nX-Api-Key: %s\r\nDeadline-Ms: %d\r\n", method, target, id, key, deadline.Milliseconds())
	for _, line := range extra {
		b.WriteString(line + "\r\n")
	}
	if body != "" || method == "POST" {
		b.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n")
	}
	b.WriteString("\r\n" + body)
	return b.String()
}
