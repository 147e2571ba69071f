package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"damasktrail.dev/fleet"
	"damasktrail.dev/group"
	"damasktrail.dev/timer"
	"damasktrail.dev/upstream"
)

// fakeEndpoint is a TCP listener that passes each connection to a handler.
type fakeEndpoint struct {
	address string
	// conns counts the accepted connections.
	conns atomic.Int64
}

func serve(t testing.TB, handle func(c net.Conn, r *bufio.Reader)) *fakeEndpoint {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	f := &fakeEndpoint{address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			f.conns.Add(1)
			go func() {
				defer c.Close()
				handle(c, bufio.NewReader(c))
			}()
		}
	}()
	return f
}

// readRequest reads a complete request and returns its Id field and body.
func readRequest(r *bufio.Reader) (id, body string, ok bool) {
	request, err := http.ReadRequest(r)
	if err != nil {
		return "", "", false
	}
	b, err := io.ReadAll(request.Body)
	return request.Header.Get("Id"), string(b), err == nil
}

func formatResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func newPool(t testing.TB) *upstream.Pool {
	t.Helper()
	tasks := group.New(context.Background())
	p := upstream.New(timer.New(tasks), tasks, func() {})
	t.Cleanup(func() {
		p.Close()
		tasks.Close()
	})
	return p
}

func newCall(id, body string) upstream.Call {
	return upstream.Call{
		Method: http.MethodPost, Target: "/x?y", Host: "h", Header: http.Header{"Id": {id}}, Body: [][]byte{[]byte(body)},
		Matches: matchID(id),
	}
}

// doCall sends a call and returns the body of its response.
func doCall(p *upstream.Pool, f *fakeEndpoint, c upstream.Call) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	a, err := p.Do(ctx, fleet.Endpoint{ID: "e", Address: f.address}, c)
	if err != nil {
		return "", err
	}
	defer a.Close()
	b, err := io.ReadAll(a)
	return string(b), err
}

// echoRequests answers each request with its body.
func echoRequests(c net.Conn, r *bufio.Reader) {
	for {
		id, body, ok := readRequest(r)
		if !ok {
			return
		}
		fmt.Fprint(c, formatResponse(id, body))
	}
}

// Guards against opening a new connection for each request.
func TestReuse(t *testing.T) {
	f := serve(t, echoRequests)
	p := newPool(t)
	for i := range 5 {
		got, err := doCall(p, f, newCall(fmt.Sprint(i), "body"))
		require.NoError(t, err)
		require.Equal(t, "body", got)
	}
	require.Equal(t, int64(1), f.conns.Load())
}

// Guards against returning a response to the wrong request. The endpoint sends a
// second response to each request, either immediately or ahead of the response
// to the next request.
func TestSecondAnswers(t *testing.T) {
	for _, late := range []bool{false, true} {
		f := serve(t, func(c net.Conn, r *bufio.Reader) {
			extra := ""
			for {
				id, body, ok := readRequest(r)
				if !ok {
					return
				}
				if late {
					fmt.Fprint(c, extra+formatResponse(id, body))
					extra = formatResponse(id, "stale")
					continue
				}
				fmt.Fprint(c, formatResponse(id, body)+formatResponse(id, "stale"))
			}
		})
		p := newPool(t)
		for i := range 5 {
			got, err := doCall(p, f, newCall(fmt.Sprint(i), fmt.Sprint("body", i)))
			require.NoError(t, err)
			require.Equal(t, fmt.Sprint("body", i), got)
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// Guards against treating a truncated response as complete.
func TestCutAnswers(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nId: i\r\nContent-Length: 10\r\n\r\n12345",
		"HTTP/1.1 200 OK\r\nId: i\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n",
		"HTTP/1.1 200 OK\r\nId: i\r\nContent-Le",
		"no answer in the protocol\r\n\r\n",
		"",
	} {
		f := serve(t, func(c net.Conn, r *bufio.Reader) {
			if _, _, ok := readRequest(r); ok {
				fmt.Fprint(c, text)
			}
		})
		_, err := doCall(newPool(t), f, newCall("i", "b"))
		require.Error(t, err, "%q", text)
		var failure *upstream.Error
		if errors.As(err, &failure) {
			require.True(t, failure.Sent, "%q", text)
		}
	}
}

// Guards against treating a connection reset as the end of a response without a
// length. Only an orderly close ends such a response.
func TestResetWithoutLength(t *testing.T) {
	for _, reset := range []bool{false, true} {
		f := serve(t, func(c net.Conn, r *bufio.Reader) {
			if _, _, ok := readRequest(r); !ok {
				return
			}
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nId: i\r\n\r\n12345")
			if reset {
				time.Sleep(20 * time.Millisecond)
				_ = c.(*net.TCPConn).SetLinger(0)
			}
		})
		got, err := doCall(newPool(t), f, newCall("i", "b"))
		if reset {
			require.Error(t, err)
			continue
		}
		require.NoError(t, err)
		require.Equal(t, "12345", got)
	}
}

// Guards against reporting a request as sent when no connection was opened, and
// as not sent when the endpoint may have received it.
func TestSent(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	closed := &fakeEndpoint{address: l.Addr().String()}
	require.NoError(t, l.Close())
	_, err = doCall(newPool(t), closed, newCall("i", "b"))
	var failure *upstream.Error
	require.ErrorAs(t, err, &failure)
	require.False(t, failure.Sent)

	silent := serve(t, func(_ net.Conn, r *bufio.Reader) { readRequest(r) })
	_, err = doCall(newPool(t), silent, newCall("i", "b"))
	require.ErrorAs(t, err, &failure)
	require.True(t, failure.Sent)
}

// Guards against reusing an idle connection that the endpoint has closed.
func TestClosedWhileIdle(t *testing.T) {
	f := serve(t, func(c net.Conn, r *bufio.Reader) {
		if id, body, ok := readRequest(r); ok {
			fmt.Fprint(c, formatResponse(id, body))
		}
	})
	p := newPool(t)
	for i := range 3 {
		_, err := doCall(p, f, newCall(fmt.Sprint(i), "b"))
		require.NoError(t, err)
		time.Sleep(20 * time.Millisecond)
	}
	require.Equal(t, int64(3), f.conns.Load())
}

// Guards against reusing a connection on which a long body is still being
// written: the endpoint would read the next request as part of that body. The
// endpoint responds before it has read the body.
func TestEarlyAnswer(t *testing.T) {
	long := strings.Repeat("x", 8<<20)
	bodies := make(chan int, 4)
	f := serve(t, func(c net.Conn, r *bufio.Reader) {
		for {
			request, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			fmt.Fprint(c, formatResponse(request.Header.Get("Id"), "early"))
			time.Sleep(50 * time.Millisecond)
			b, err := io.ReadAll(request.Body)
			if err != nil {
				return
			}
			if strings.Trim(string(b), "xb") != "" {
				t.Error("body has bytes of another request")
			}
			bodies <- len(b)
		}
	})
	p := newPool(t)
	got, err := doCall(p, f, newCall("1", long))
	require.NoError(t, err)
	require.Equal(t, "early", got)
	got, err = doCall(p, f, newCall("2", "b"))
	require.NoError(t, err)
	require.Equal(t, "early", got)
	require.Equal(t, 1, <-bodies)
}

// Guards against forwarding hop-by-hop fields to the endpoint and against
// rewriting the request line.
func TestHead(t *testing.T) {
	seen := make(chan *http.Request, 1)
	f := serve(t, func(c net.Conn, r *bufio.Reader) {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		seen <- request
		fmt.Fprint(c, formatResponse("i", ""))
	})
	c := newCall("i", "")
	c.Method, c.Target = http.MethodGet, "/a//b/%2f?x=%20&&"
	c.Header = http.Header{"Id": {"i"}, "Connection": {"keep-alive, X-Hop"}, "X-Hop": {"1"}, "Te": {"trailers"}, "Expect": {"100-continue"}, "X-End": {"2", "3"}}
	_, err := doCall(newPool(t), f, c)
	require.NoError(t, err)
	request := <-seen
	require.Equal(t, "/a//b/%2f?x=%20&&", request.RequestURI)
	require.Equal(t, http.Header{"Id": {"i"}, "X-End": {"2", "3"}}, request.Header)
	require.Equal(t, "h", request.Host)
}

// Guards against a connection that stays open after the caller has cancelled:
// the endpoint would continue to process the request.
func TestCancel(t *testing.T) {
	ended := make(chan struct{})
	f := serve(t, func(_ net.Conn, r *bufio.Reader) {
		readRequest(r)
		_, _ = r.ReadByte()
		close(ended)
	})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := newPool(t).Do(ctx, fleet.Endpoint{ID: "e", Address: f.address}, newCall("i", "b"))
	require.ErrorIs(t, err, context.DeadlineExceeded)
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("the connection stays open")
	}
}

// Guards against using an idle connection for a new process that has the address
// of an earlier one.
func TestRetain(t *testing.T) {
	f := serve(t, echoRequests)
	p := newPool(t)
	_, err := doCall(p, f, newCall("1", "b"))
	require.NoError(t, err)
	p.Retain(fleet.Of(fleet.Endpoint{ID: "e", Address: f.address, Slots: 3, State: fleet.Leaving}))
	_, err = doCall(p, f, newCall("2", "b"))
	require.NoError(t, err)
	require.Equal(t, int64(1), f.conns.Load(), "the connection to the same process is kept")
	conns := int64(1)
	for _, e := range []fleet.Endpoint{
		{ID: "e", Address: f.address, StartedMillis: 9},
		{ID: "e", Address: f.address, Service: "t"},
		{ID: "e", Address: f.address, Domain: "f"},
		{ID: "e", Address: "127.0.0.1:9"},
		{ID: "f", Address: f.address},
	} {
		p.Retain(fleet.Of(e))
		_, err = doCall(p, f, newCall("2", "b"))
		require.NoError(t, err)
		conns++
		require.Equal(t, conns, f.conns.Load(), "%+v", e)
	}
}

// matchID matches responses by their Id field.
func matchID(id string) func(int, http.Header) upstream.Match {
	return func(_ int, h http.Header) upstream.Match {
		switch h.Get("Id") {
		case id:
			return upstream.Own
		case "":
			return upstream.Unnamed
		}
		return upstream.Other
	}
}

// Guards against an answer that looks complete although the endpoint stopped in its
// head or its body: one cut after each byte is an error.
func TestCutAfterEachByte(t *testing.T) {
	for name, text := range map[string]string{
		"length":  "HTTP/1.1 200 OK\r\nId: i\r\nContent-Type: text/event-stream\r\nContent-Length: 4\r\n\r\nabcd",
		"chunks":  "HTTP/1.1 200 OK\r\nId: i\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\n\r\n",
		"trailer": "HTTP/1.1 200 OK\r\nId: i\r\nTrailer: X\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nabcd\r\n0\r\nX: y\r\n\r\n",
		"neither": "HTTP/1.1 200 OK\r\nId: i\r\n\r\n",
		"old":     "HTTP/1.0 200 OK\r\nId: i\r\n\r\n",
		"interim": "HTTP/1.1 103 Early\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nId: i\r\nContent-Length: 0\r\n\r\n",
	} {
		p := newPool(t)
		for length := range len(text) + 1 {
			f := serve(t, func(c net.Conn, r *bufio.Reader) {
				if _, _, ok := readRequest(r); ok {
					fmt.Fprint(c, text[:length])
				}
			})
			_, err := doCall(p, f, newCall("i", ""))
			if length == len(text) {
				require.NoError(t, err, name)
				continue
			}
			require.Error(t, err, "%s: %q", name, text[:length])
		}
	}
}

// Guards against a probe that opens connections which nobody needs, and against one that
// takes a crashed endpoint for live.
func TestProbe(t *testing.T) {
	f := serve(t, echoRequests)
	p, e := newPool(t), fleet.Endpoint{ID: "e", Address: f.address}
	for range 3 {
		require.NoError(t, p.Probe(context.Background(), e))
	}
	_, err := doCall(p, f, newCall("1", "b"))
	require.NoError(t, err)
	require.NoError(t, p.Probe(context.Background(), e))
	require.EqualValues(t, 1, f.conns.Load())

	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	gone := fleet.Endpoint{ID: "gone", Address: l.Addr().String()}
	require.NoError(t, p.Probe(context.Background(), gone))
	c, err := l.Accept()
	require.NoError(t, err)
	// The listener is closed last.
	require.NoError(t, c.Close())
	time.AfterFunc(time.Millisecond, func() { _ = l.Close() })
	require.ErrorIs(t, p.Probe(context.Background(), gone), syscall.ECONNREFUSED)
}
