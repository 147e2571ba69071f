package source_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"damasktrail.dev"
	"damasktrail.dev/group"
	"damasktrail.dev/source"
	"damasktrail.dev/standin"
	"damasktrail.dev/timer"
)

// platform is a stand-in for the platform on loopback, with its control listener.
type platform struct {
	*standin.Platform
	baseURL, controlURL string
}

func newPlatform(t *testing.T, rate int) platform {
	tasks := group.New(context.Background())
	t.Cleanup(tasks.Close)
	p := standin.NewPlatform(standin.PlatformOptions{Clock: timer.New(tasks), Rate: rate})
	server, control := httptest.NewServer(p.Handler()), httptest.NewServer(p.Control())
	t.Cleanup(server.Close)
	t.Cleanup(control.Close)
	return platform{p, server.URL, control.URL}
}

func newClock(t *testing.T) damasktrail.Clock {
	tasks := group.New(context.Background())
	t.Cleanup(tasks.Close)
	return timer.New(tasks)
}

func (p platform) put(t *testing.T, path, body string) int {
	request, err := http.NewRequest(http.MethodPut, p.controlURL+path, strings.NewReader(body))
	require.NoError(t, err)
	response, err := http.DefaultClient.Do(request)
	require.NoError(t, err)
	response.Body.Close()
	return response.StatusCode
}

func document(generation int) string {
	return fmt.Sprintf(`{"generation": %d, "padding": %q}`, generation, strings.Repeat("x", 2000))
}

// checkContract tests the behaviour that each damasktrail.Source must have. publish
// publishes a document and a VM list of the given version.
func checkContract(t *testing.T, s damasktrail.Source, publish func(version int)) {
	ctx := context.Background()
	publish(3)
	for name, read := range map[string]func(context.Context, uint64) (damasktrail.Value, error){
		"document": s.Document, "vms": s.VMs,
	} {
		t.Run(name, func(t *testing.T) {
			v, err := read(ctx, 0)
			require.NoError(t, err)
			require.Equal(t, uint64(3), v.Version)
			require.NotEmpty(t, v.Data)
			repeated, err := read(ctx, 2)
			require.NoError(t, err)
			require.Equal(t, v, repeated)

			_, err = read(ctx, 3)
			require.ErrorIs(t, err, damasktrail.ErrUnchanged)
			_, err = read(ctx, 9)
			require.ErrorIs(t, err, damasktrail.ErrUnchanged)

			cancelled, cancel := context.WithCancel(ctx)
			cancel()
			_, err = read(cancelled, 3)
			require.ErrorIs(t, err, context.Canceled)
		})
	}
	watched := make(chan damasktrail.Value, 1)
	go func() {
		v, _ := s.Document(ctx, 3)
		watched <- v
	}()
	publish(5)
	require.Equal(t, uint64(5), (<-watched).Version)
}

// Guards against a client and a platform that do not implement the same protocol,
// with and without compression in the transport.
func TestContract(t *testing.T) {
	for name, transport := range map[string]*http.Transport{"default": {}, "no compression": {DisableCompression: true}} {
		t.Run(name, func(t *testing.T) {
			p := newPlatform(t, 0)
			defer transport.CloseIdleConnections()
			s := source.New(p.baseURL, &http.Client{Transport: transport}, newClock(t)).WithWait(200 * time.Millisecond)
			checkContract(t, s, func(version int) {
				require.Equal(t, http.StatusNoContent, p.put(t, "/control/document", document(version)))
				require.Equal(t, http.StatusNoContent, p.put(t, "/control/vms", fmt.Sprintf(`{"version": %d, "vms": []}`, version)))
			})
			v, err := s.Document(context.Background(), 0)
			require.NoError(t, err)
			require.Equal(t, document(5), string(v.Data))
			counts := p.Counts()
			require.Less(t, counts.Bytes, uint64(2000), "served without compression")
			require.Zero(t, counts.Waiting)
			require.Equal(t, uint64(4), counts.VMs, "the cancelled read is not sent")
			require.Equal(t, uint64(6), counts.Document)
		})
	}
}

// Guards against a faulty response of the platform that a reader takes for a new
// value.
func TestFaults(t *testing.T) {
	ctx := context.Background()
	p := newPlatform(t, 0)
	s := source.New(p.baseURL, http.DefaultClient, newClock(t)).WithWait(50 * time.Millisecond)
	var status *source.StatusError
	_, err := s.Document(ctx, 0)
	require.ErrorAs(t, err, &status, "no document has been published")
	require.Equal(t, http.StatusServiceUnavailable, status.Status)
	for g := 1; g <= 4; g++ {
		require.NoError(t, p.PublishDocument([]byte(document(g))))
	}

	require.Equal(t, http.StatusNoContent, p.put(t, "/control/fault", `{"mode": "absent"}`))
	_, err = s.Document(ctx, 0)
	require.ErrorAs(t, err, &status)
	require.EqualError(t, err, "read document from the platform: platform answered status 503 for document: value is absent\n")

	require.Equal(t, http.StatusNoContent, p.put(t, "/control/fault", `{"mode": "stale", "generation": 2}`))
	v, err := s.Document(ctx, 0)
	require.NoError(t, err)
	require.Equal(t, uint64(2), v.Version)
	var older *source.OlderError
	_, err = s.Document(ctx, 4)
	require.ErrorAs(t, err, &older)
	require.Equal(t, source.OlderError{Kind: "document", After: 4, Got: 2}, *older)

	require.NoError(t, p.SetFault(standin.PlatformFault{Mode: standin.FaultStale}))
	require.NoError(t, p.PublishDocument([]byte(document(5))))
	v, err = s.Document(ctx, 0)
	require.NoError(t, err)
	require.Equal(t, uint64(4), v.Version, "a stale platform serves the newest version from before the fault")

	require.Equal(t, http.StatusNoContent, p.put(t, "/control/fault", `{"mode": "late", "delay": "150ms"}`))
	start := time.Now()
	v, err = s.Document(ctx, 0)
	require.NoError(t, err)
	require.Equal(t, uint64(5), v.Version)
	require.GreaterOrEqual(t, time.Since(start), 150*time.Millisecond)

	require.Equal(t, http.StatusBadRequest, p.put(t, "/control/fault", `{"mode": "late"}`))
	require.Equal(t, http.StatusBadRequest, p.put(t, "/control/fault", `{"mode": "sad"}`))
	require.Equal(t, http.StatusBadRequest, p.put(t, "/control/document", `{}`))
	require.Equal(t, http.StatusBadRequest, p.put(t, "/control/document", document(6)+strings.Repeat(" ", 1<<20)))
	require.NoError(t, p.SetFault(standin.PlatformFault{Mode: standin.FaultNone}))
	_, err = s.Document(ctx, 5)
	require.ErrorIs(t, err, damasktrail.ErrUnchanged)
}

// Guards against a stand-in that does not limit the read rate as the platform does:
// tests would then not detect clients that read too often.
func TestReadRate(t *testing.T) {
	p := newPlatform(t, 5)
	require.NoError(t, p.PublishDocument([]byte(document(1))))
	s := source.New(p.baseURL, http.DefaultClient, newClock(t))
	refused := 0
	for range 20 {
		_, err := s.Document(context.Background(), 0)
		var status *source.StatusError
		if err != nil {
			require.ErrorAs(t, err, &status)
			require.Equal(t, http.StatusTooManyRequests, status.Status)
			require.Equal(t, time.Second, status.RetryAfter)
			refused++
		}
	}
	require.GreaterOrEqual(t, refused, 10)
	require.Equal(t, uint64(20), p.Counts().Document)
	require.Equal(t, uint64(refused), p.Counts().Refused)
}

// Guards against invalid responses that the client accepts.
func TestClientRefuses(t *testing.T) {
	zeros := func(n int) string { return strings.Repeat("0", n) }
	for name, c := range map[string]struct {
		header     http.Header
		status     int
		body, want string
	}{
		"1 MB":            {http.Header{"Generation": {"1"}}, 200, zeros(1 << 20), ""},
		"over 1 MB":       {http.Header{"Generation": {"1"}}, 200, zeros(1<<20 + 1), "document exceeds the limit of 1048576 bytes"},
		"no generation":   {http.Header{}, 200, "{}", "read the header Generation"},
		"generation zero": {http.Header{"Generation": {"0"}}, 200, "{}", "platform served version 0 of document, a version after 0 was requested"},
		"broken gzip":     {http.Header{"Generation": {"1"}, "Content-Encoding": {"gzip"}}, 200, zeros(100), "gzip: invalid header"},
		"cut":             {http.Header{"Generation": {"1"}, "Content-Length": {"10"}}, 200, "{}", "unexpected EOF"},
		"error page":      {http.Header{}, 500, zeros(1 << 16), "platform answered status 500 for document: " + zeros(200)},
		"not found":       {http.Header{}, 404, "", "status 404"},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				for k, v := range c.header {
					w.Header()[k] = v
				}
				w.WriteHeader(c.status)
				_, _ = io.Copy(w, bytes.NewReader([]byte(c.body)))
			}))
			defer server.Close()
			v, err := source.New(server.URL, server.Client(), newClock(t)).Document(context.Background(), 0)
			if c.want == "" {
				require.NoError(t, err)
				require.Len(t, v.Data, len(c.body))
				return
			}
			require.ErrorContains(t, err, c.want)
			require.Zero(t, v)
			require.Less(t, len(err.Error()), 400)
		})
	}
}

// Guards against a read that never ends on a connection that has gone silent.
func TestSilentConnection(t *testing.T) {
	release := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }))
	defer server.Close()
	defer close(release)
	start := time.Now()
	_, err := source.New(server.URL, server.Client(), newClock(t)).WithWait(100*time.Millisecond).Document(context.Background(), 0)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.Less(t, time.Since(start), 4*time.Second)
}

// Guards against a read that is cut although its answer arrives without a pause, and
// would be begun anew for ever on a narrow link.
func TestSlowAnswer(t *testing.T) {
	const pieces, pieceBytes, pause = 60, 10_000, 50 * time.Millisecond
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Generation", "7")
		for range pieces {
			fmt.Fprint(w, strings.Repeat("x", pieceBytes))
			w.(http.Flusher).Flush()
			time.Sleep(pause)
		}
	}))
	defer server.Close()
	v, err := source.New(server.URL, server.Client(), newClock(t)).WithWait(100*time.Millisecond).Document(context.Background(), 0)
	require.NoError(t, err)
	require.Len(t, v.Data, pieces*pieceBytes)
}

// Guards against a read that never ends because a byte arrives now and then.
func TestTricklingAnswer(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Generation", "7")
		for r.Context().Err() == nil {
			fmt.Fprint(w, "x")
			w.(http.Flusher).Flush()
			time.Sleep(50 * time.Millisecond)
		}
	}))
	defer server.Close()
	start := time.Now()
	_, err := source.New(server.URL, server.Client(), newClock(t)).Document(context.Background(), 0)
	require.ErrorIs(t, err, context.DeadlineExceeded)
	require.Less(t, time.Since(start), 5*time.Second)
}
