package frame_test

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"testing"

	"github.com/stretchr/testify/require"

	"damasktrail.dev/frame"
)

// Guards against a truncated, oversized or invalid frame that is accepted as a
// valid one.
func TestRead(t *testing.T) {
	whole, err := frame.Append(nil, frame.KindChunk, frame.Chunk{Position: 3, Data: []byte("abc")})
	require.NoError(t, err)
	for _, c := range []struct {
		name  string
		input []byte
		want  string
	}{
		{"whole", whole, ""},
		{"nothing", nil, "EOF"},
		{"cut in the header", whole[:3], "unexpected EOF"},
		{"cut after the header", whole[:5], "unexpected EOF"},
		{"cut in the body", whole[:len(whole)-1], "unexpected EOF"},
		{"over the limit", []byte{0, 0x20, 0, 1, 3}, "frame of 2097153 bytes exceeds the limit of 2097152"},
		{"other kind", append([]byte{0, 0, 0, 1, 4}, 0xa0), "frame of kind 4 where kind 3 is expected"},
		{"duplicate field", []byte{0, 0, 0, 7, 3, 0xa2, 0x61, 'p', 1, 0x61, 'p', 2}, `decode frame of kind 3: cbor: found duplicate map key "p" at map element index 1`},
		{"endless map", []byte{0, 0, 0, 2, 3, 0xbf, 0xff}, "decode frame of kind 3: cbor: indefinite-length map isn't allowed"},
	} {
		t.Run(c.name, func(t *testing.T) {
			raw, err := frame.Read(bytes.NewReader(c.input))
			var m frame.Chunk
			if err == nil {
				m, err = frame.Decode[frame.Chunk](raw, frame.KindChunk)
			}
			if c.want == "" {
				require.NoError(t, err)
				require.Equal(t, frame.Chunk{Position: 3, Data: []byte("abc")}, m)
				return
			}
			require.EqualError(t, err, c.want)
		})
	}
}

// FuzzRead guards against input that makes the decoder panic or read beyond the
// end of the frame.
func FuzzRead(f *testing.F) {
	seed, err := frame.Append(nil, frame.KindOpen, frame.Open{ID: "a-1", Body: []byte("{}")})
	require.NoError(f, err)
	f.Add(seed)
	f.Add([]byte{0, 0, 0, 1, 7, 0xa0})
	f.Fuzz(func(t *testing.T, data []byte) {
		r := bytes.NewReader(data)
		raw, err := frame.Read(r)
		if err != nil {
			return
		}
		require.LessOrEqual(t, len(raw.Body), len(data)-5)
		_, _ = frame.Decode[frame.Open](raw, raw.Kind)
		_, _ = frame.Decode[frame.Heartbeat](raw, raw.Kind)
		_, _ = frame.Decode[frame.Change](raw, raw.Kind)
		_, _ = frame.Decode[frame.End](raw, raw.Kind)
	})
}

// Example writes one message to a buffer and reads it back.
func Example() {
	var b bytes.Buffer
	if err := frame.Write(&b, frame.KindPull, frame.Pull{Topic: frame.TopicDocument, From: 7}); err != nil {
		fmt.Println(err)
		return
	}
	raw, err := frame.Read(&b)
	if err != nil {
		fmt.Println(err)
		return
	}
	m, err := frame.Decode[frame.Pull](raw, frame.KindPull)
	fmt.Println(m.Topic, m.From, err)
	_, err = frame.Read(&b)
	fmt.Println(errors.Is(err, io.EOF))
	// Output:
	// document 7 <nil>
	// true
}
