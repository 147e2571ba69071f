package conns_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"damasktrail.dev/conns"
	"damasktrail.dev/group"
	"damasktrail.dev/memory"
	"damasktrail.dev/timer"
)

// start serves requests on a bounded listener.
func start(t *testing.T, limits conns.Limits, h http.HandlerFunc) *conns.Listener {
	t.Helper()
	tasks := group.New(context.Background())
	t.Cleanup(tasks.Close)
	clock := timer.New(tasks)
	inner, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	if limits.Account == nil {
		limits.Account = memory.New(clock, 1<<20)
	}
	l := conns.Listen(inner, clock, limits)
	server := &http.Server{Handler: h, ConnState: l.StateChanged, ConnContext: conns.Context}
	tasks.Go(func(context.Context) { _ = server.Serve(l) })
	t.Cleanup(func() { _ = server.Close() })
	return l
}

func dial(t *testing.T, l net.Listener, from, text string) net.Conn {
	t.Helper()
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}
	c, err := d.Dial("tcp4", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_, err = io.WriteString(c, text)
	require.NoError(t, err)
	require.NoError(t, c.SetReadDeadline(time.Now().Add(5*time.Second)))
	return c
}

const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

// Guards against closing a connection with a complete request, and against keeping idle ones
// where a new one needs room.
func TestIdleConnectionMakesRoom(t *testing.T) {
	release := make(chan struct{})
	l := start(t, conns.Limits{Connections: 4}, func(w http.ResponseWriter, r *http.Request) {
		conns.FromContext(r.Context()).Received()
		<-release
	})
	busy := []net.Conn{dial(t, l, "127.0.0.2", request), dial(t, l, "127.0.0.3", request)}
	time.Sleep(100 * time.Millisecond)
	idle := dial(t, l, "127.0.0.2", "GET / HT")
	require.Eventually(t, func() bool { return l.Open() == 3 }, 5*time.Second, time.Millisecond)
	busy = append(busy, dial(t, l, "127.0.0.3", request), dial(t, l, "127.0.0.4", request))
	_, err := idle.Read(make([]byte, 1))
	require.Error(t, err, "the idle connection must be closed")
	require.Eventually(t, func() bool { return l.Closed() == 1 }, 5*time.Second, time.Millisecond)
	time.Sleep(100 * time.Millisecond)
	_, err = dial(t, l, "127.0.0.5", "").Read(make([]byte, 1))
	require.Error(t, err, "there is no room")
	require.Equal(t, int64(1), l.Refused())
	close(release)
	for _, c := range busy {
		b := make([]byte, 15)
		_, err := io.ReadFull(c, b)
		require.NoError(t, err)
		require.Equal(t, "HTTP/1.1 200 OK", string(b))
	}
}

// Guards against headers that are never given back, or that take more than there is room
// for.
func TestHeadersAreCharged(t *testing.T) {
	tasks := group.New(context.Background())
	t.Cleanup(tasks.Close)
	a := memory.New(timer.New(tasks), 1<<20)
	l := start(t, conns.Limits{Account: a}, func(http.ResponseWriter, *http.Request) {})
	var all []net.Conn
	for range 20 {
		all = append(all, dial(t, l, "127.0.0.2", "GET / HTTP/1.1\r\nX: "+strings.Repeat("x", 40<<10)))
	}
	require.Eventually(t, func() bool { return a.Used() > 0 && l.Open() < 20 }, 5*time.Second, time.Millisecond)
	require.LessOrEqual(t, a.Used(), int64(1<<20))
	for _, c := range all {
		_ = c.Close()
	}
	require.Eventually(t, func() bool { return a.Used() == 0 && l.Open() == 0 }, 5*time.Second, time.Millisecond)
}

// Guards against a client that holds a response for ever by not reading it.
func TestStalledResponse(t *testing.T) {
	failed := make(chan error, 1)
	l := start(t, conns.Limits{WriteTimeout: 100 * time.Millisecond}, func(w http.ResponseWriter, r *http.Request) {
		for {
			if _, err := w.Write(make([]byte, 1<<20)); err != nil {
				failed <- err
				return
			}
		}
	})
	dial(t, l, "127.0.0.2", request)
	select {
	case <-failed:
	case <-time.After(10 * time.Second):
		t.Fatal("the response is still being written")
	}
	require.Eventually(t, func() bool { return l.Stalled() == 1 }, 5*time.Second, time.Millisecond)
}
