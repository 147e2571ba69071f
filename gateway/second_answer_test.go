package gateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"damasktrail.dev/fleet"
)

// repeatingEndpoint refuses the first request on each connection. To each later one it
// writes that refusal once more, runs the request and answers it.
type repeatingEndpoint struct {
	// refusal is the refusal; %s is the ID of the request.
	refusal string
	mu      sync.Mutex
	runs    map[string]int
}

// serve handles the connections of a listener.
func (e *repeatingEndpoint) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go e.serveConn(c)
	}
}

func (e *repeatingEndpoint) serveConn(c net.Conn) {
	defer c.Close()
	refusal := ""
	for r := bufio.NewReader(c); ; {
		request, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		id := request.Header.Get("Attempt-Id")
		if refusal == "" {
			refusal = fmt.Sprintf(e.refusal, id)
			fmt.Fprint(c, refusal)
			continue
		}
		fmt.Fprint(c, refusal)
		e.mu.Lock()
		e.runs[id]++
		e.mu.Unlock()
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nContent-Length: 2\r\n\r\nok", id)
	}
}

func (e *repeatingEndpoint) runCount(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

// Guards against an earlier refusal that an endpoint writes once more on a kept
// connection: callers were told 'not run' for requests that ran, and such a request ran
// a second time.
func TestRepeatedRefusal(t *testing.T) {
	for name, refusal := range map[string]string{
		"with an ID":    "HTTP/1.1 503 Full\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
		"without an ID": "HTTP/1.1 503 Full\r\nX-Request: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp4", "127.0.0.1:0")
			require.NoError(t, err)
			defer l.Close()
			e := &repeatingEndpoint{refusal: refusal, runs: map[string]int{}}
			go e.serve(l)
			s := start(t)
			s.update(func() {
				s.endpoints = s.endpoints.With(fleet.Endpoint{ID: "e", Service: "s", Address: l.Addr().String(), Domain: "d", Slots: 4})
			})
			outcomes := map[string]int{}
			for i := range 8 {
				id := fmt.Sprint("id-", i)
				got := s.send("/send/x", id, "body")
				require.NoError(t, got.err)
				outcomes[fmt.Sprint(got.status, " ran ", e.runCount(id))]++
				require.LessOrEqual(t, e.runCount(id), 1, "runs of %s", id)
				if got.status == http.StatusServiceUnavailable {
					require.Zero(t, e.runCount(id), "%s was refused as not run", id)
				}
				time.Sleep(20 * time.Millisecond)
			}
			t.Log(outcomes)
		})
	}
}

// Guards against an error of the next endpoint in the middle of a stream that broke off,
// and against a stream that looks complete because of it.
func TestErrorAfterBrokenStream(t *testing.T) {
	for name, second := range map[string]http.HandlerFunc{
		"failure": func(w http.ResponseWriter, _ *http.Request) {
			http.Error(w, "oops\n\n", http.StatusInternalServerError)
		},
		"not run": respondNotRun(http.StatusServiceUnavailable),
		"refusal": func(w http.ResponseWriter, _ *http.Request) { http.Error(w, "no\n\n", http.StatusBadRequest) },
		"another kind of answer": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/html")
			fmt.Fprint(w, "<p>maintenance</p>\n\n")
		},
		"empty": func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) },
		"begin again": func(w http.ResponseWriter, r *http.Request) {
			r.Header.Del("Last-Event-Id")
			streamEvents(20, 0)(w, r)
		},
	} {
		t.Run(name, func(t *testing.T) {
			var once sync.Once
			handler := func(w http.ResponseWriter, r *http.Request) {
				first := false
				once.Do(func() { first = true })
				if first {
					streamEvents(20, 7)(w, r)
					return
				}
				second(w, r)
			}
			s := start(t, newFakeEndpoint(t, handler), newFakeEndpoint(t, handler))
			got := s.send("/resume/x", "id", "body")
			require.Equal(t, eventText(1, 7), got.body)
			require.Error(t, got.err, "the stream was cut off")
		})
	}
}
