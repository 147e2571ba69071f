package gateway_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"damasktrail.dev/fleet"
	"damasktrail.dev/routing"
)

// Guards against changing a request, a status or an answer in transit.
func TestPassesOn(t *testing.T) {
	p := newFakeEndpoint(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Own", "1")
		w.WriteHeader(http.StatusAccepted)
		fmt.Fprint(w, "answer")
	})
	s := start(t, p)
	got := s.send("/send/a%2Fb//c?x=%20&y", "id1", "the body", "X-Caller", "2", "Tenant", "forged", "Expected-Replica", "forged")
	require.NoError(t, got.err)
	require.Equal(t, http.StatusAccepted, got.status)
	require.Equal(t, "answer", got.body)
	require.Equal(t, "sig-id1", got.header.Get("Response-Signature"))
	require.Equal(t, "1", got.header.Get("X-Own"))
	r := p.lastRequest()
	require.Equal(t, "/send/a%2Fb//c?x=%20&y", r.RequestURI)
	require.Equal(t, "2", r.Header.Get("X-Caller"))
	require.Equal(t, []string{"acme"}, r.Header.Values("Tenant"))
	require.Equal(t, []string{"e0"}, r.Header.Values("Expected-Replica"))
	require.Empty(t, r.Header.Values("X-Api-Key"))
	var left int
	_, err := fmt.Sscan(r.Header.Get("Deadline-Ms"), &left)
	require.NoError(t, err)
	require.InDelta(t, 1900, left, 100)
}

// Guards against wrong refusals, and against refusing a request that ran.
func TestRefusals(t *testing.T) {
	p := newFakeEndpoint(t, respondWith("ok"))
	s := start(t, p)
	for _, c := range []struct {
		name, path, key, body string
		status                int
	}{
		{"unknown route", "/none/x", "key", "", http.StatusNotFound},
		{"unknown key", "/read/x", "other", "", http.StatusUnauthorized},
		{"no key", "/read/x", "", "", http.StatusUnauthorized},
		{"anonymous", "/open/x", "", "", http.StatusOK},
		{"large body", "/send/x", "key", strings.Repeat("x", 2<<20), http.StatusRequestEntityTooLarge},
		{"known", "/read/x", "key", "", http.StatusOK},
	} {
		got := s.send(c.path, c.name, c.body, "X-Api-Key", c.key)
		require.Equal(t, c.status, got.status, c.name)
		require.Equal(t, c.status == http.StatusOK, p.runCount(c.name) > 0, c.name)
	}
}

// Guards against running more than a quota allows, and against a refusal without
// Retry-After.
func TestQuota(t *testing.T) {
	s := start(t, newFakeEndpoint(t, respondWith("ok")))
	statuses := map[int]int{}
	for i := range 20 {
		got := s.send("/read/x", fmt.Sprint(i), "", "X-Api-Key", "small")
		statuses[got.status]++
		if got.status == http.StatusTooManyRequests {
			require.NotEmpty(t, got.header.Get("Retry-After"))
		}
	}
	require.Equal(t, map[int]int{http.StatusOK: 10, http.StatusTooManyRequests: 10}, statuses)
}

// Guards against running a request twice that may run only once, and against
// claiming that a request has not run when it may have.
func TestAtMostOnce(t *testing.T) {
	for name, c := range map[string]struct {
		path   string
		first  http.HandlerFunc
		status int
	}{
		"lost answer":           {"/send/x", closeWithoutAnswer, http.StatusBadGateway},
		"lost answer, stream":   {"/stream/x", closeWithoutAnswer, http.StatusBadGateway},
		"lost answer, read":     {"/read/x", closeWithoutAnswer, http.StatusOK},
		"lost answer, resume":   {"/resume/x", closeWithoutAnswer, http.StatusOK},
		"failure":               {"/send/x", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }, http.StatusInternalServerError},
		"failure, read":         {"/read/x", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }, http.StatusOK},
		"failure, resume":       {"/resume/x", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }, http.StatusOK},
		"refusal":               {"/send/x", respondNotRun(503), http.StatusOK},
		"wrong endpoint":        {"/send/x", respondNotRun(421), http.StatusOK},
		"unmarked refusal":      {"/send/x", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }, http.StatusServiceUnavailable},
		"answer with an encode": {"/send/x", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Content-Encoding", "gzip") }, http.StatusBadGateway},
	} {
		t.Run(name, func(t *testing.T) {
			var once sync.Once
			handler := func(w http.ResponseWriter, r *http.Request) {
				first := false
				once.Do(func() { first = true })
				if first {
					c.first(w, r)
					return
				}
				streamEvents(2, 0)(w, r)
			}
			a, b := newFakeEndpoint(t, handler), newFakeEndpoint(t, handler)
			s := start(t, a, b)
			got := s.send(c.path, "id", "body")
			require.NoError(t, got.err)
			require.Equal(t, c.status, got.status)
			runs := a.runCount("id") + b.runCount("id")
			if got.status == http.StatusOK {
				require.Equal(t, 2, runs)
				return
			}
			require.Equal(t, 1, runs)
			if got.header.Get("Response-Signature") == "" {
				require.NotEqual(t, http.StatusServiceUnavailable, got.status, "the answer claims that a request which ran has not run")
			}
		})
	}
}

// Guards against a request that no endpoint ran and that is not refused as not run.
func TestNotRun(t *testing.T) {
	s := start(t, newFakeEndpoint(t, respondNotRun(503)), newFakeEndpoint(t, respondNotRun(503)))
	for _, path := range []string{"/send/x", "/stream/x", "/read/x"} {
		got := s.send(path, "id", "body")
		require.Equal(t, http.StatusServiceUnavailable, got.status, path)
		require.NotEmpty(t, got.header.Get("Retry-After"))
		require.Empty(t, got.header.Get("Response-Signature"))
	}
}

// Guards against streams with missing, duplicate or truncated events, and against a
// stream that was cut off and looks complete.
func TestStreams(t *testing.T) {
	s := start(t, newFakeEndpoint(t, streamEvents(20, 0)))
	got := s.send("/stream/x", "id", "body")
	require.NoError(t, got.err)
	require.Equal(t, eventText(1, 20), got.body)
	require.Equal(t, "text/event-stream", got.header.Get("Content-Type"))
	got = s.send("/stream/x", "id", "body", "Last-Event-Id", "15")
	require.Equal(t, eventText(16, 20), got.body)

	s = start(t, newFakeEndpoint(t, streamEvents(20, 7)))
	got = s.send("/stream/x", "id", "body")
	require.Error(t, got.err, "the stream was cut off")
	require.Equal(t, eventText(1, 7), got.body)
}

// Guards against giving up a resumable stream when its endpoint breaks off.
func TestResume(t *testing.T) {
	var once sync.Once
	handler := func(w http.ResponseWriter, r *http.Request) {
		breakAfter := 0
		once.Do(func() { breakAfter = 7 })
		streamEvents(20, breakAfter)(w, r)
	}
	a, b := newFakeEndpoint(t, handler), newFakeEndpoint(t, handler)
	s := start(t, a, b)
	got := s.send("/resume/x", "id", "body")
	require.NoError(t, got.err)
	require.Equal(t, eventText(1, 20), got.body)
	require.Equal(t, 2, a.runCount("id")+b.runCount("id"))
	require.Equal(t, []string{"sig-id"}, got.header.Values("Response-Signature"))
}

// Guards against holding events back until later ones arrive.
func TestEventsAtOnce(t *testing.T) {
	next := make(chan struct{})
	p := newFakeEndpoint(t, func(w http.ResponseWriter, _ *http.Request) {
		for i := range 3 {
			fmt.Fprintf(w, "id: %d\n\n", i)
			_ = http.NewResponseController(w).Flush()
			<-next
		}
	})
	s := start(t, p)
	r, err := http.NewRequest(http.MethodPost, "http://"+s.settings.Callers+"/stream/x", nil)
	require.NoError(t, err)
	r.Host = "h"
	r.Header.Set("X-Api-Key", "key")
	r.Header.Set("Attempt-Id", "id")
	answer, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	defer answer.Body.Close()
	buffer := make([]byte, 64)
	for i := range 3 {
		n, err := answer.Body.Read(buffer)
		require.NoError(t, err)
		require.Equal(t, fmt.Sprintf("id: %d\n\n", i), string(buffer[:n]))
		next <- struct{}{}
	}
}

// Guards against an endpoint that continues to work for a caller that has
// disconnected.
func TestCallerLeaves(t *testing.T) {
	began, ended := make(chan struct{}), make(chan struct{})
	p := newFakeEndpoint(t, func(_ http.ResponseWriter, r *http.Request) {
		close(began)
		<-r.Context().Done()
		close(ended)
	})
	s := start(t, p)
	ctx, cancel := context.WithCancel(context.Background())
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.settings.Callers+"/stream/x", strings.NewReader("body"))
	require.NoError(t, err)
	r.Host = "h"
	r.Header.Set("X-Api-Key", "key")
	r.Header.Set("Attempt-Id", "id")
	go func() {
		<-began
		cancel()
	}()
	_, err = http.DefaultClient.Do(r)
	require.Error(t, err)
	select {
	case <-ended:
	case <-time.After(2 * time.Second):
		t.Fatal("the endpoint continues after the caller has left")
	}
}

// Guards against keeping a caller waiting beyond the timeout, and against claiming
// that a request has not run while an endpoint still runs it.
func TestTimeout(t *testing.T) {
	release := make(chan struct{})
	p := newFakeEndpoint(t, func(http.ResponseWriter, *http.Request) { <-release })
	defer close(release)
	s := start(t, p)
	began := time.Now()
	got := s.send("/send/x", "id", "body", "Deadline-Ms", "700")
	require.Equal(t, http.StatusGatewayTimeout, got.status)
	require.InDelta(t, 700*time.Millisecond, time.Since(began), float64(250*time.Millisecond))
}

// Guards against running a request with a key that may have been revoked: the
// directory has been unreachable for longer than keys may be trusted.
func TestStaleKeys(t *testing.T) {
	p := newFakeEndpoint(t, respondWith("ok"))
	s := start(t, p)
	s.setTable(2, []routing.Organisation{{Name: "acme", Keys: []string{"new"}}})
	require.Eventually(t, func() bool {
		return s.send("/read/x", "a", "").status == http.StatusUnauthorized
	}, 2*time.Second, 10*time.Millisecond)
	require.Equal(t, http.StatusOK, s.send("/read/x", "b", "", "X-Api-Key", "new").status)
	s.update(func() { s.down = true })
	require.Eventually(t, func() bool { return !s.ready() }, 5*time.Second, 10*time.Millisecond)
	require.Equal(t, http.StatusServiceUnavailable, s.send("/read/x", "c", "", "X-Api-Key", "new").status)
	require.Zero(t, p.runCount("c"))
	require.Equal(t, http.StatusServiceUnavailable, s.send("/read/x", "d", "", "X-Api-Key", "newer").status, "an outdated table gives only temporary refusals")
	require.Equal(t, http.StatusOK, s.send("/open/x", "e", "").status, "anonymous routes are still served")
	s.update(func() { s.down = false })
	require.Eventually(t, s.ready, 5*time.Second, 10*time.Millisecond)
}

// Guards against sending new requests to an endpoint that is leaving.
func TestLeavingEndpoint(t *testing.T) {
	a, b := newFakeEndpoint(t, respondWith("a")), newFakeEndpoint(t, respondWith("b"))
	s := start(t, a, b)
	e, _ := s.endpoints.Find("e0")
	e.State = fleet.Leaving
	s.update(func() { s.endpoints = s.endpoints.With(e) })
	time.Sleep(100 * time.Millisecond)
	for i := range 10 {
		require.Equal(t, "b", s.send("/read/x", fmt.Sprint(i), "").body)
	}
}

// Guards against a shutdown that cuts an answer off, that still reports the gateway
// as ready, that accepts requests which it cannot finish, or that does not end.
func TestDrain(t *testing.T) {
	p := newFakeEndpoint(t, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(600 * time.Millisecond)
		fmt.Fprint(w, "late")
	})
	s := start(t, p)
	answers := make(chan response, 1)
	go func() { answers <- s.send("/send/x", "open", "body") }()
	require.Eventually(t, func() bool { return p.runCount("open") == 1 }, 2*time.Second, time.Millisecond)
	drained := make(chan time.Duration, 1)
	begin := time.Now()
	go func() {
		s.gateway.Drain(context.Background())
		drained <- time.Since(begin)
	}()
	require.Eventually(t, func() bool { return !s.ready() }, 500*time.Millisecond, 5*time.Millisecond)
	got := <-answers
	require.NoError(t, got.err)
	require.Equal(t, "late", got.body)
	require.Equal(t, "late", s.send("/send/x", "early", "body").body, "a request that comes early in a shutdown is served")
	time.Sleep(2600*time.Millisecond - time.Since(begin))
	got = s.send("/send/x", "refused", "body")
	require.Equal(t, http.StatusServiceUnavailable, got.status)
	require.Zero(t, p.runCount("refused"))
	require.Equal(t, "1.000", got.header.Get("Retry-After"), "no other entry is known to take it at once")
	require.Less(t, <-drained, s.settings.Grace)
}

// Guards against cutting off requests that were accepted just before the end of a shutdown.
func TestCloseAnswersAcceptedRequests(t *testing.T) {
	const requests = 8
	accepted, closing := make(chan struct{}, requests), make(chan struct{})
	p := newFakeEndpoint(t, func(w http.ResponseWriter, _ *http.Request) {
		accepted <- struct{}{}
		<-closing
		time.Sleep(50 * time.Millisecond)
		fmt.Fprint(w, "late")
	})
	s := start(t, p)
	answers := make(chan response, requests)
	for i := range requests {
		go func() { answers <- s.send("/send/x", fmt.Sprint(i), "body") }()
	}
	for range requests {
		<-accepted
	}
	close(closing)
	require.NoError(t, s.gateway.Close())
	for range requests {
		got := <-answers
		require.NoError(t, got.err)
		require.Equal(t, "late", got.body)
	}
}

// Guards against giving up a request although no endpoint has received it.
func TestUnreachable(t *testing.T) {
	down, up := newFakeEndpoint(t, respondWith("gone")), newFakeEndpoint(t, respondWith("sound"))
	s := start(t, down, up)
	down.Close()
	for i := range 5 {
		got := s.send("/send/x", fmt.Sprint(i), "body")
		require.Equal(t, "sound", got.body)
	}
}

// Guards against a request that crashes one endpoint after another: it is refused
// after two crashes. Requests that were only lost are not refused.
func TestCrashes(t *testing.T) {
	var endpoints []*fakeEndpoint
	for range 3 {
		p := newFakeEndpoint(t, respondWith("ok"))
		p.handler = func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path != "/send/deadly" {
				respondWith("ok")(w, r)
				return
			}
			_ = p.Listener.Close()
			closeWithoutAnswer(w, r)
		}
		endpoints = append(endpoints, p)
	}
	s := start(t, endpoints...)
	crashes := 0
	for i := range 8 {
		id := fmt.Sprint("deadly", i)
		status := s.send("/send/deadly", id, "body").status
		if status == http.StatusBadGateway {
			crashes++
		} else {
			require.Equal(t, http.StatusServiceUnavailable, status)
		}
		time.Sleep(700 * time.Millisecond)
		require.Equal(t, http.StatusOK, s.send("/send/other", fmt.Sprint("other", i), "body").status)
	}
	require.Equal(t, 2, crashes)
}

// Guards against a request that arrives as a shutdown ends and is cut off after an
// endpoint received it. In one of a series of scored runs this violated the score
// LOST.
func TestEndOfDrain(t *testing.T) {
	p := newFakeEndpoint(t, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(15 * time.Millisecond)
		fmt.Fprint(w, "ok")
	})
	s := start(t, p)
	replies := map[string]response{}
	var mu sync.Mutex
	var callers sync.WaitGroup
	stop := make(chan struct{})
	for c := range 3 {
		callers.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(25 * time.Millisecond):
				}
				id := fmt.Sprint(c, "-", i)
				got := s.send("/send/x", id, "body", "Deadline-Ms", "300")
				mu.Lock()
				replies[id] = got
				mu.Unlock()
			}
		})
	}
	s.gateway.Drain(context.Background())
	time.Sleep(100 * time.Millisecond) // A process may be delayed between Drain and Close.
	require.NoError(t, s.gateway.Close())
	close(stop)
	callers.Wait()
	for id, got := range replies {
		if p.runCount(id) > 0 {
			require.NoError(t, got.err, id)
			require.Equal(t, "ok", got.body, id)
		}
	}
}

// Guards against closing a connection as idle after a request on it has been read
// completely: net/http counts a connection as idle until the handler begins. In one
// of a series of scored runs this violated the score LOST, 18 ms after SIGTERM.
func TestStartOfDrain(t *testing.T) {
	p := newFakeEndpoint(t, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(15 * time.Millisecond)
		fmt.Fprint(w, "ok")
	})
	s := start(t, p)
	conns := make([]net.Conn, 20)
	for i := range conns {
		c, err := net.Dial("tcp4", s.settings.Callers)
		require.NoError(t, err)
		defer c.Close()
		conns[i] = c
		require.Equal(t, "ok", sendOn(t, c, fmt.Sprint("first", i)))
	}
	drained := make(chan struct{})
	go func() {
		s.gateway.Drain(context.Background())
		close(drained)
	}()
	require.Eventually(t, func() bool { return !s.ready() }, time.Second, time.Millisecond)
	for i, c := range conns {
		require.Equal(t, "ok", sendOn(t, c, fmt.Sprint("second", i)), "an open connection is closed only after an answer with Connection: close")
	}
	<-drained
}

// sendOn sends a request on a connection and returns the body of its answer.
func sendOn(t *testing.T, c net.Conn, id string) string {
	t.Helper()
	_, err := fmt.Fprintf(c, "POST /send/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: %s\r\nX-Api-Key: key\r\nDeadline-Ms: 900\r\nContent-Length: 0\r\n\r\n", id)
	require.NoError(t, err)
	answer, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	defer answer.Body.Close()
	b, err := io.ReadAll(answer.Body)
	require.NoError(t, err)
	return string(b)
}
