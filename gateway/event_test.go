package gateway

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

// Guards against events that are truncated, joined or counted wrongly, however the
// bytes are split into reads.
func TestEvents(t *testing.T) {
	const text = "id: 1\ndata: a\n\nweight-versions: 3\nid: 2\ndata: b\ndata: c\n\n: comment\n\nid:4\r\ndata: d\r\n\r\n"
	readers := map[string]func() io.Reader{
		"at once":     func() io.Reader { return strings.NewReader(text) },
		"by the byte": func() io.Reader { return iotest.OneByteReader(strings.NewReader(text)) },
		"halves":      func() io.Reader { return iotest.HalfReader(strings.NewReader(text)) },
		"with error":  func() io.Reader { return iotest.DataErrReader(strings.NewReader(text)) },
	}
	for name, open := range readers {
		s := newEventReader(open())
		var got strings.Builder
		count, last := 0, ""
		for {
			b, err := s.next()
			if errors.Is(err, io.EOF) {
				break
			}
			require.NoError(t, err, name)
			got.Write(b.data)
			count += b.count
			if b.lastID != "" {
				last = b.lastID
			}
		}
		require.Equal(t, text, got.String(), name)
		require.Equal(t, 4, count, name)
		require.Equal(t, "4", last, name)
	}
}

// Guards against returning an incomplete event at the end of a stream.
func TestPartialEvent(t *testing.T) {
	s := newEventReader(strings.NewReader("id: 1\n\nid: 2\nda"))
	b, err := s.next()
	require.NoError(t, err)
	require.Equal(t, "id: 1\n\n", string(b.data))
	_, err = s.next()
	require.ErrorIs(t, err, errPartialEvent)
	s = newEventReader(iotest.TimeoutReader(strings.NewReader("id: 1\n\nid: 2\nda")))
	_, err = s.next()
	require.NoError(t, err)
	_, err = s.next()
	require.ErrorIs(t, err, iotest.ErrTimeout)
}

// Guards against an event of unlimited size.
func TestLongEvent(t *testing.T) {
	s := newEventReader(strings.NewReader(strings.Repeat("x", 2*maxEventBytes)))
	_, err := s.next()
	require.ErrorIs(t, err, errLongEvent)
}

// FuzzEvents checks that the events read from a stream are the bytes at its start.
func FuzzEvents(f *testing.F) {
	f.Add("id: 1\n\nid: 2\n\n", 3)
	f.Add("\n\n\r\n\r\n", 1)
	f.Fuzz(func(t *testing.T, text string, size int) {
		s := newEventReader(chunkReader{strings.NewReader(text), max(1, size%64)})
		var got strings.Builder
		for {
			b, err := s.next()
			if err != nil {
				break
			}
			got.Write(b.data)
		}
		if !strings.HasPrefix(text, got.String()) {
			t.Fatalf("%q is not the start of %q", got.String(), text)
		}
	})
}

// chunkReader limits the number of bytes of each read.
type chunkReader struct {
	r    io.Reader
	size int
}

func (c chunkReader) Read(b []byte) (int, error) { return c.r.Read(b[:min(len(b), c.size)]) }
