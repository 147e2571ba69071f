package gateway

import (
	"errors"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"
)

// Guards against events that are cut, joined or counted wrongly, however the
// bytes arrive.
func TestEvents(t *testing.T) {
	const text = "id: 1\ndata: a\n\nweight-versions: 3\nid: 2\ndata: b\ndata: c\n\n: comment\n\nid:4\r\ndata: d\r\n\r\n"
	readers := map[string]func() io.Reader{
		"at once":     func() io.Reader { return strings.NewReader(text) },
		"by the byte": func() io.Reader { return iotest.OneByteReader(strings.NewReader(text)) },
		"halves":      func() io.Reader { return iotest.HalfReader(strings.NewReader(text)) },
		"with error":  func() io.Reader { return iotest.DataErrReader(strings.NewReader(text)) },
	}
	for name, open := range readers {
		s := newEvents(open())
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
			if b.last != "" {
				last = b.last
			}
		}
		require.Equal(t, text, got.String(), name)
		require.Equal(t, 4, count, name)
		require.Equal(t, "4", last, name)
	}
}

// Guards against half an event at the end of a stream.
func TestPartialEvent(t *testing.T) {
	s := newEvents(strings.NewReader("id: 1\n\nid: 2\nda"))
	b, err := s.next()
	require.NoError(t, err)
	require.Equal(t, "id: 1\n\n", string(b.data))
	_, err = s.next()
	require.ErrorIs(t, err, errPartial)
	s = newEvents(iotest.TimeoutReader(strings.NewReader("id: 1\n\nid: 2\nda")))
	_, err = s.next()
	require.NoError(t, err)
	_, err = s.next()
	require.ErrorIs(t, err, iotest.ErrTimeout)
}

// Guards against an event that grows without end.
func TestLongEvent(t *testing.T) {
	s := newEvents(strings.NewReader(strings.Repeat("x", 2*maxEvent)))
	_, err := s.next()
	require.ErrorIs(t, err, errLongEvent)
}

// FuzzEvents checks that the events of a stream are its bytes.
func FuzzEvents(f *testing.F) {
	f.Add("id: 1\n\nid: 2\n\n", 3)
	f.Add("\n\n\r\n\r\n", 1)
	f.Fuzz(func(t *testing.T, text string, size int) {
		s := newEvents(chunks{strings.NewReader(text), max(1, size%64)})
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

// chunks reads a bounded number of bytes at a time.
type chunks struct {
	r    io.Reader
	size int
}

func (c chunks) Read(b []byte) (int, error) { return c.r.Read(b[:min(len(b), c.size)]) }
