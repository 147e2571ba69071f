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
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"damasktrail.dev/fleet"
	"damasktrail.dev/group"
	"damasktrail.dev/timer"
	"damasktrail.dev/upstream"
)

// fake is an endpoint that gives each connection to a script.
type fake struct {
	address string
	// conns counts the connections.
	conns atomic.Int64
}

func serve(t *testing.T, script func(c net.Conn, r *bufio.Reader)) *fake {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	f := &fake{address: l.Addr().String()}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			f.conns.Add(1)
			go func() {
				defer c.Close()
				script(c, bufio.NewReader(c))
			}()
		}
	}()
	return f
}

// read reads a request whole and returns its id and body.
func read(r *bufio.Reader) (id, body string, ok bool) {
	request, err := http.ReadRequest(r)
	if err != nil {
		return "", "", false
	}
	b, err := io.ReadAll(request.Body)
	return request.Header.Get("Id"), string(b), err == nil
}

func answer(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func pool(t *testing.T) *upstream.Pool {
	t.Helper()
	tasks := group.New(context.Background())
	p := upstream.New(timer.New(tasks), tasks, func() {})
	t.Cleanup(func() {
		p.Close()
		tasks.Close()
	})
	return p
}

func call(id, body string) upstream.Call {
	return upstream.Call{
		Method: http.MethodPost, Target: "/x?y", Host: "h", Header: http.Header{"Id": {id}}, Body: []byte(body),
		Matches: func(_ int, h http.Header) bool { return h.Get("Id") == id },
	}
}

// do makes a call and reads its answer.
func do(p *upstream.Pool, f *fake, c upstream.Call) (string, error) {
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

// Guards against a new connection for each request.
func TestReuse(t *testing.T) {
	f := serve(t, func(c net.Conn, r *bufio.Reader) {
		for {
			id, body, ok := read(r)
			if !ok {
				return
			}
			fmt.Fprint(c, answer(id, body))
		}
	})
	p := pool(t)
	for i := range 5 {
		got, err := do(p, f, call(fmt.Sprint(i), "body"))
		require.NoError(t, err)
		require.Equal(t, "body", got)
	}
	require.Equal(t, int64(1), f.conns.Load())
}

// Guards against an answer that is given to another request: the endpoint sends
// a second answer to each, at once or where the next is expected.
func TestSecondAnswers(t *testing.T) {
	for _, late := range []bool{false, true} {
		f := serve(t, func(c net.Conn, r *bufio.Reader) {
			extra := ""
			for {
				id, body, ok := read(r)
				if !ok {
					return
				}
				if late {
					fmt.Fprint(c, extra+answer(id, body))
					extra = answer(id, "stale")
					continue
				}
				fmt.Fprint(c, answer(id, body)+answer(id, "stale"))
			}
		})
		p := pool(t)
		for i := range 5 {
			got, err := do(p, f, call(fmt.Sprint(i), fmt.Sprint("body", i)))
			require.NoError(t, err)
			require.Equal(t, fmt.Sprint("body", i), got)
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// Guards against an answer that broke off and looks whole.
func TestCutAnswers(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nId: i\r\nContent-Length: 10\r\n\r\n12345",
		"HTTP/1.1 200 OK\r\nId: i\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n12345\r\n",
		"HTTP/1.1 200 OK\r\nId: i\r\nContent-Le",
		"no answer in the protocol\r\n\r\n",
		"",
	} {
		f := serve(t, func(c net.Conn, r *bufio.Reader) {
			if _, _, ok := read(r); ok {
				fmt.Fprint(c, text)
			}
		})
		_, err := do(pool(t), f, call("i", "b"))
		require.Error(t, err, "%q", text)
		var failure *upstream.Error
		if errors.As(err, &failure) {
			require.True(t, failure.Sent, "%q", text)
		}
	}
}

// Guards against a reset that looks like the end of an answer without a length.
func TestResetWithoutLength(t *testing.T) {
	for _, reset := range []bool{false, true} {
		f := serve(t, func(c net.Conn, r *bufio.Reader) {
			if _, _, ok := read(r); !ok {
				return
			}
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nId: i\r\n\r\n12345")
			if reset {
				time.Sleep(20 * time.Millisecond)
				_ = c.(*net.TCPConn).SetLinger(0)
			}
		})
		got, err := do(pool(t), f, call("i", "b"))
		if reset {
			require.Error(t, err)
			continue
		}
		require.NoError(t, err)
		require.Equal(t, "12345", got)
	}
}

// Guards against calling a request sent that cannot have been, and the reverse.
func TestSent(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	closed := &fake{address: l.Addr().String()}
	require.NoError(t, l.Close())
	_, err = do(pool(t), closed, call("i", "b"))
	var failure *upstream.Error
	require.ErrorAs(t, err, &failure)
	require.False(t, failure.Sent)

	silent := serve(t, func(_ net.Conn, r *bufio.Reader) { read(r) })
	_, err = do(pool(t), silent, call("i", "b"))
	require.ErrorAs(t, err, &failure)
	require.True(t, failure.Sent)
}

// Guards against a connection that the endpoint has closed in the meantime.
func TestClosedWhileIdle(t *testing.T) {
	f := serve(t, func(c net.Conn, r *bufio.Reader) {
		if id, body, ok := read(r); ok {
			fmt.Fprint(c, answer(id, body))
		}
	})
	p := pool(t)
	for i := range 3 {
		_, err := do(p, f, call(fmt.Sprint(i), "b"))
		require.NoError(t, err)
		time.Sleep(20 * time.Millisecond)
	}
	require.Equal(t, int64(3), f.conns.Load())
}

// Guards against other bytes where the rest of a long body is due: the endpoint
// answers before it has read the body.
func TestEarlyAnswer(t *testing.T) {
	long := strings.Repeat("x", 8<<20)
	bodies := make(chan int, 4)
	f := serve(t, func(c net.Conn, r *bufio.Reader) {
		for {
			request, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			fmt.Fprint(c, answer(request.Header.Get("Id"), "early"))
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
	p := pool(t)
	got, err := do(p, f, call("1", long))
	require.NoError(t, err)
	require.Equal(t, "early", got)
	got, err = do(p, f, call("2", "b"))
	require.NoError(t, err)
	require.Equal(t, "early", got)
	require.Equal(t, 1, <-bodies)
}

// Guards against header fields of the caller's connection that reach the
// endpoint, and against a changed request line.
func TestHead(t *testing.T) {
	seen := make(chan *http.Request, 1)
	f := serve(t, func(c net.Conn, r *bufio.Reader) {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		seen <- request
		fmt.Fprint(c, answer("i", ""))
	})
	c := call("i", "")
	c.Method, c.Target = http.MethodGet, "/a//b/%2f?x=%20&&"
	c.Header = http.Header{"Id": {"i"}, "Connection": {"keep-alive, X-Hop"}, "X-Hop": {"1"}, "Te": {"trailers"}, "Expect": {"100-continue"}, "X-End": {"2", "3"}}
	_, err := do(pool(t), f, c)
	require.NoError(t, err)
	request := <-seen
	require.Equal(t, "/a//b/%2f?x=%20&&", request.RequestURI)
	require.Equal(t, http.Header{"Id": {"i"}, "X-End": {"2", "3"}}, request.Header)
	require.Equal(t, "h", request.Host)
}

// Guards against an endpoint that works on for a caller that has left.
func TestCancel(t *testing.T) {
	ended := make(chan struct{})
	f := serve(t, func(_ net.Conn, r *bufio.Reader) {
		read(r)
		_, _ = r.ReadByte()
		close(ended)
	})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := pool(t).Do(ctx, fleet.Endpoint{ID: "e", Address: f.address}, call("i", "b"))
	require.ErrorIs(t, err, context.DeadlineExceeded)
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("the connection stays open")
	}
}

// Guards against a kept connection that is used for another process at the same
// address.
func TestRetain(t *testing.T) {
	f := serve(t, func(c net.Conn, r *bufio.Reader) {
		for {
			id, body, ok := read(r)
			if !ok {
				return
			}
			fmt.Fprint(c, answer(id, body))
		}
	})
	p := pool(t)
	_, err := do(p, f, call("1", "b"))
	require.NoError(t, err)
	p.Retain(fleet.Of(fleet.Endpoint{ID: "e", Address: f.address, Born: 9}))
	_, err = do(p, f, call("2", "b"))
	require.NoError(t, err)
	require.Equal(t, int64(2), f.conns.Load())
}
