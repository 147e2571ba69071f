package engine_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"damasktrail.dev"
	"damasktrail.dev/engine"
	"damasktrail.dev/group"
	"damasktrail.dev/timer"
)

// fixedServer is an endpoint on a loopback socket that answers every call with the
// same bytes and then closes the connection.
type fixedServer struct {
	net.Listener
	mu sync.Mutex
	// sick is true if health checks get the bytes, too.
	sick bool
	// requestLines holds the method and path of each received request.
	requestLines []string
}

// newFixedServer starts a server that answers calls with answer and health checks
// with status 200.
func newFixedServer(t *testing.T, answer string) *fixedServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &fixedServer{Listener: l}
	tasks := group.New(t.Context())
	tasks.Go(func(context.Context) {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			tasks.Go(func(context.Context) { s.serve(c, answer) })
		}
	})
	t.Cleanup(func() {
		l.Close()
		tasks.Close()
	})
	return s
}

func (s *fixedServer) serve(c net.Conn, answer string) {
	defer c.Close()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	io.Copy(io.Discard, r.Body)
	s.mu.Lock()
	s.requestLines = append(s.requestLines, r.Method+" "+r.URL.Path)
	sick := s.sick
	s.mu.Unlock()
	if r.URL.Path == "/health" && !sick {
		answer = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	}
	io.WriteString(c, answer)
}

// count returns how many requests with the given method and path were received.
func (s *fixedServer) count(line string) (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, l := range s.requestLines {
		if l == line {
			n++
		}
	}
	return n
}

func newClient(t testing.TB, l net.Listener, settings engine.Settings) *engine.Client {
	t.Helper()
	tasks := group.New(context.Background())
	t.Cleanup(tasks.Close)
	return engine.New("http://"+l.Addr().String(), nil, timer.New(tasks), settings)
}

// Guards against incomplete or invalid answers that are accepted as complete, and
// against a call that net/http or the client sends twice.
func TestBrokenAnswers(t *testing.T) {
	const events = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n"
	tests := map[string]struct {
		answer string
		stream bool
		// failure is a part of the error message; empty for a complete answer.
		failure string
		body    string
	}{
		"whole":             {answer: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", body: "ok"},
		"chunked":           {answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", body: "ok"},
		"HTTP/1.0":          {answer: "HTTP/1.0 200 OK\r\nContent-Length: 2\r\n\r\nok", body: "ok"},
		"HTTP/1.0, close":   {answer: "HTTP/1.0 200 OK\r\n\r\nok", failure: "neither a Content-Length nor chunked encoding"},
		"interim answer":    {answer: "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", body: "ok"},
		"interim answers":   {answer: strings.Repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 400), failure: "exceeded"},
		"trailer":           {answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nX: 1\r\n\r\n", body: "ok"},
		"two lengths":       {answer: "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok", failure: "Content-Length"},
		"no protocol":       {answer: "ready\r\n\r\n", failure: "malformed"},
		"no content":        {answer: "HTTP/1.1 204 No Content\r\n\r\n"},
		"ends by close":     {answer: "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok", failure: "neither a Content-Length nor chunked encoding"},
		"short":             {answer: "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", failure: "unexpected EOF", body: "ok"},
		"chunks cut":        {answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", failure: "unexpected EOF", body: "ok"},
		"no answer":         {answer: "", failure: "EOF"},
		"half a head":       {answer: "HTTP/1.1 200 OK\r\nConte", failure: "malformed"},
		"large head":        {answer: "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 9000) + "\r\n\r\n", failure: "exceeded"},
		"large body":        {answer: "HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n", failure: "body of the answer exceeds 4096 bytes"},
		"large chunks":      {answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1100\r\n" + strings.Repeat("x", 0x1100) + "\r\n0\r\n\r\n", failure: "body of the answer exceeds 4096 bytes", body: strings.Repeat("x", 4096)},
		"redirect":          {answer: "HTTP/1.1 302 Found\r\nLocation: /other\r\nContent-Length: 0\r\n\r\n"},
		"stream":            {stream: true, answer: events + "id: 1\ndata: a\n\ndata: [DONE]\n\n", body: "id: 1\ndata: a\n\ndata: [DONE]\n\n"},
		"stream with CRLF":  {stream: true, answer: events + "data: a\r\n\r\ndata:[DONE]\r\n\r\n", body: "data: a\r\n\r\ndata:[DONE]\r\n\r\n"},
		"stream, no ids":    {stream: true, answer: events + "data: a\n\n", failure: "no event ids", body: "data: a\n\n"},
		"stream, no end":    {stream: true, answer: events + "id: 1\ndata: a\n\n", failure: "unexpected EOF", body: "id: 1\ndata: a\n\n"},
		"stream with gap":   {stream: true, answer: events + "id: 1\ndata: a\n\nid: 3\ndata: [DONE]\n\n", failure: "missing", body: "id: 1\ndata: a\n\n"},
		"large event":       {stream: true, answer: events + "data: " + strings.Repeat("x", 9000), failure: "event of the answer exceeds 8192 bytes"},
		"stream, other":     {stream: true, answer: "HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\n\r\nno", body: "no"},
		"stream, no answer": {stream: true, answer: "", failure: "EOF"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := newFixedServer(t, tt.answer)
			c := newClient(t, s, engine.Settings{MaxHeaderBytes: 4096, MaxBodyBytes: 4096, MaxEventBytes: 8192, SilenceTimeout: time.Second})
			for _, method := range []string{http.MethodPost, http.MethodGet} {
				a, err := c.Run(t.Context(), damasktrail.Call{ID: "a", Method: method, Path: "/call", Stream: tt.stream})
				var body string
				if err == nil {
					body, err = readAll(a)
					a.Close()
				}
				if tt.failure == "" {
					require.NoError(t, err)
				} else {
					var lost *engine.LostError
					require.ErrorAs(t, err, &lost)
					require.ErrorContains(t, err, tt.failure)
					require.NotErrorIs(t, err, damasktrail.ErrNotDispatched)
				}
				require.Equal(t, tt.body, body)
				require.Equal(t, 1, s.count(method+" /call"))
				require.Zero(t, s.count("GET /other"))
			}
		})
	}
}

// Guards against an answer that breaks off after any of its bytes and is taken for complete.
func TestCutAfterEachByte(t *testing.T) {
	const events = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct {
		answer string
		stream bool
		// spare is the number of bytes at the end that a complete answer can lack.
		spare int
	}{
		"length":  {answer: "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"},
		"chunked": {answer: "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"},
		// Of a stream, the end of the last event is the end, whatever its chunk says.
		"stream": {answer: events + "23\r\nid: 1\ndata: a\n\nid: 2\ndata: [DONE]\n\n\r\n0\r\n\r\n", stream: true, spare: 7},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for n := range len(c.answer) + 1 {
				s := newFixedServer(t, c.answer[:n])
				client := newClient(t, s, engine.Settings{MaxResumes: 1, SilenceTimeout: time.Second})
				a, err := client.Run(t.Context(), damasktrail.Call{ID: "a", Method: http.MethodPost, Path: "/call", Stream: c.stream})
				if err == nil {
					_, err = readAll(a)
					a.Close()
				}
				require.Equal(t, n >= len(c.answer)-c.spare, err == nil, "%d of %d bytes: %v", n, len(c.answer), err)
				require.Equal(t, 1, s.count("POST /call"))
			}
		})
	}
}

// Guards against a call that reaches the endpoint although its error reports that
// it was not dispatched, which can happen when its context ends around the first
// write.
func TestNotDispatchedIsTrue(t *testing.T) {
	s := newFixedServer(t, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	c := newClient(t, s, engine.Settings{Service: true})
	notDispatched := map[string]bool{}
	for i := range 400 {
		ctx, cancel := context.WithTimeout(t.Context(), time.Duration(i)*time.Microsecond)
		path := fmt.Sprintf("/%d", i)
		a, err := c.Run(ctx, damasktrail.Call{ID: path, Method: http.MethodPost, Path: path, Body: []byte("x")})
		if err == nil {
			a.Close()
		}
		cancel()
		notDispatched[path] = errors.Is(err, damasktrail.ErrNotDispatched)
	}
	time.Sleep(50 * time.Millisecond) // The last dispatched calls may still be on the way.
	undispatched := 0
	for path, reported := range notDispatched {
		if reported {
			undispatched++
			require.Zero(t, s.count("POST "+path), path)
		}
	}
	t.Logf("%d of %d calls were not dispatched", undispatched, len(notDispatched))
	require.NotZero(t, undispatched)
	require.Less(t, undispatched, len(notDispatched))
}

// Guards against a call that net/http sends again by itself because a reused idle
// connection closes before the answer.
func TestKeptConnectionIsNotRetried(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	s := &fixedServer{Listener: l}
	tasks := group.New(t.Context())
	tasks.Go(func(context.Context) {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			r := bufio.NewReader(c)
			for {
				q, err := http.ReadRequest(r)
				if err != nil {
					break
				}
				io.Copy(io.Discard, q.Body)
				s.mu.Lock()
				s.requestLines = append(s.requestLines, q.Method+" "+q.URL.Path)
				s.mu.Unlock()
				if q.URL.Path != "/first" {
					break
				}
				io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			}
			c.Close()
		}
	})
	t.Cleanup(func() {
		l.Close()
		tasks.Close()
	})
	c := newClient(t, l, engine.Settings{Service: true, IdleTimeout: time.Minute})
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut, http.MethodHead} {
		for _, body := range []string{"", "x"} {
			a, err := c.Run(t.Context(), damasktrail.Call{ID: "a", Method: http.MethodGet, Path: "/first"})
			require.NoError(t, err)
			_, err = readAll(a)
			require.NoError(t, err)
			path := "/" + method + body
			_, err = c.Run(t.Context(), damasktrail.Call{ID: "b", Method: method, Path: path, Body: []byte(body)})
			var lost *engine.LostError
			require.ErrorAs(t, err, &lost)
			require.Equal(t, 1, s.count(method+" "+path))
		}
	}
}

func readAll(a damasktrail.Answer) (string, error) {
	var b strings.Builder
	for {
		part, err := a.Next()
		b.Write(part)
		if errors.Is(err, io.EOF) {
			return b.String(), nil
		}
		if err != nil {
			return b.String(), err
		}
	}
}

// BenchmarkToken measures how long a client takes to read one event of a streamed
// answer over a loopback socket.
func BenchmarkToken(b *testing.B) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	defer l.Close()
	tasks := group.New(b.Context())
	defer tasks.Wait()
	tasks.Go(func(context.Context) {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		http.ReadRequest(bufio.NewReader(c))
		w := bufio.NewWriterSize(c, 64<<10)
		io.WriteString(w, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n")
		for i := range b.N {
			fmt.Fprintf(w, "id: %d\ndata: {\"id\":\"a\",\"object\":\"chat.completion.chunk\",\"created\":1,\"model\":\"m\","+
				"\"choices\":[{\"index\":0,\"delta\":{\"content\":\" harbour\"},\"finish_reason\":null}]}\n\n", i+1)
		}
		io.WriteString(w, "data: [DONE]\n\n")
		w.Flush()
	})
	c := newClient(b, l, engine.Settings{})
	a, err := c.Run(b.Context(), damasktrail.Call{ID: "a", Method: http.MethodPost, Path: "/call", Stream: true})
	require.NoError(b, err)
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		if _, err := a.Next(); err != nil {
			b.Fatal(err)
		}
	}
	b.StopTimer()
	a.Close()
}
