package entry

import (
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
	"damasktrail.dev/frame"
)

// flushRecorder records the data that reaches the caller at each flush, and the
// write deadlines.
type flushRecorder struct {
	http.ResponseWriter
	buffer    string
	flushed   []string
	deadlines []time.Time
}

func (f *flushRecorder) Write(b []byte) (int, error) {
	f.buffer += string(b)
	return len(b), nil
}

func (f *flushRecorder) Flush() {
	f.flushed = append(f.flushed, f.buffer)
	f.buffer = ""
}

func (f *flushRecorder) SetWriteDeadline(t time.Time) error {
	f.deadlines = append(f.deadlines, t)
	return nil
}

func newSlot(t *testing.T) *slot {
	t.Helper()
	_, res := newGate(1).acquire(t.Context(), 0)
	require.NotNil(t, res)
	t.Cleanup(res.release)
	return res
}

// TestOutputFlush guards against a token that is held back until a later one
// arrives, and against a separate flush for each of several tokens that arrived
// together.
func TestOutputFlush(t *testing.T) {
	w := &flushRecorder{ResponseWriter: httptest.NewRecorder()}
	out := newOutput(w, true, newSlot(t))
	out.setHead(frame.Head{Status: http.StatusOK})
	now := time.Unix(1000, 0)
	for _, part := range []struct {
		data string
		more bool
	}{{"a", false}, {"b", true}, {"c", true}, {"d", false}} {
		require.NoError(t, out.write([]byte(part.data), part.more, now))
	}
	require.Equal(t, []string{"a", "bcd"}, w.flushed)
	require.Empty(t, w.buffer)
}

// TestOutputDeadline guards against a slow but active caller that is cut off
// early, and against a deadline that is set for each token.
func TestOutputDeadline(t *testing.T) {
	w := &flushRecorder{ResponseWriter: httptest.NewRecorder()}
	out := newOutput(w, true, newSlot(t))
	out.setHead(frame.Head{Status: http.StatusOK})
	start := time.Unix(1000, 0)
	for d := time.Duration(0); d < 10*time.Second; d += 10 * time.Millisecond {
		now := start.Add(d)
		require.NoError(t, out.write([]byte("x"), false, now))
		left := w.deadlines[len(w.deadlines)-1].Sub(now)
		require.LessOrEqual(t, left, writeTimeout)
		require.Greater(t, left, writeTimeout-deadlineInterval)
	}
	require.Len(t, w.deadlines, 10)
}

// TestOutputAbort guards against a cut answer that loses data not flushed yet,
// or that looks whole.
func TestOutputAbort(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		out := newOutput(w, true, newSlot(t))
		out.setHead(frame.Head{Status: http.StatusOK, Type: "text/event-stream"})
		if out.write([]byte("data: 1\n\n"), true, time.Now()) == nil {
			out.abort(&damasktrail.Refusal{Reason: damasktrail.ReasonLost})
		}
	}))
	defer s.Close()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, s.URL, http.NoBody)
	require.NoError(t, err)
	res, err := s.Client().Do(req)
	require.NoError(t, err)
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	require.Error(t, err, "the connection breaks off")
	require.Regexp(t, `^data: 1\n\ndata: \{.*\}\n\n$`, string(body))
}

// BenchmarkOutput writes tokens to a caller on loopback, with a flush for each
// token and for every eight.
func BenchmarkOutput(b *testing.B) {
	token := []byte("data: " + strings.Repeat("x", 200) + "\n\n")
	for _, batchSize := range []int{1, 8} {
		b.Run(fmt.Sprintf("together-%d", batchSize), func(b *testing.B) {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, p := newGate(1).acquire(context.Background(), 0)
				defer p.release()
				out := newOutput(w, true, p)
				out.setHead(frame.Head{Status: http.StatusOK})
				for i := range b.N {
					if out.write(token, i%batchSize != batchSize-1, time.Now()) != nil {
						return
					}
				}
			}))
			defer s.Close()
			b.ResetTimer()
			req, err := http.NewRequestWithContext(b.Context(), http.MethodGet, s.URL, http.NoBody)
			require.NoError(b, err)
			res, err := s.Client().Do(req)
			require.NoError(b, err)
			defer func() { _ = res.Body.Close() }()
			n, err := io.Copy(io.Discard, res.Body)
			require.NoError(b, err)
			require.Equal(b, int64(b.N*len(token)), n)
		})
	}
}

// Guards against a status of an agent that net/http answers as 200 (0) or panics at.
func TestFinalStatus(t *testing.T) {
	for status, want := range map[int]bool{-1: false, 0: false, 99: false, 101: false, 199: false, 200: true, 599: true, 600: false, 1000: false} {
		require.Equal(t, want, isFinal(status), status)
	}
}
