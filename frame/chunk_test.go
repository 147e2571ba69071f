package frame_test

import (
	"bytes"
	"encoding/binary"
	"io"
	"math"
	"testing"

	"github.com/stretchr/testify/require"

	"damasktrail.dev/frame"
)

// Guards against a chunk whose position or data change when it is encoded and
// decoded without reflection, at each size of a CBOR head, and against bytes that
// differ from those of the CBOR library.
func TestDecodeChunk(t *testing.T) {
	for _, position := range []uint64{0, 23, 24, 255, 256, 65535, 65536, math.MaxUint32, math.MaxUint32 + 1, math.MaxUint64} {
		for _, size := range []int{0, 1, 23, 24, 255, 256, 65535, 65536} {
			want := frame.Chunk{Position: position, Data: bytes.Repeat([]byte{'x'}, size)}
			b, err := frame.Append(nil, frame.KindChunk, want)
			require.NoError(t, err)
			plain, err := frame.AppendChunk([]byte("before"), want)
			require.NoError(t, err)
			require.Equal(t, append([]byte("before"), b...), plain)
			raw, err := frame.Read(bytes.NewReader(b))
			require.NoError(t, err)
			got, err := frame.DecodeChunk(raw)
			require.NoError(t, err)
			require.Equal(t, want, got)
			raw.Body = raw.Body[:len(raw.Body)-1]
			_, err = frame.DecodeChunk(raw)
			require.Error(t, err, "a cut body")
		}
	}
	_, err := frame.AppendChunk(nil, frame.Chunk{Data: make([]byte, frame.MaxSize)})
	require.ErrorContains(t, err, "exceeds the limit")
	_, err = frame.DecodeChunk(frame.Raw{Kind: frame.KindEnd, Body: []byte{0xa0}})
	require.EqualError(t, err, "frame of kind 4 where kind 3 is expected")
}

// FuzzDecodeChunk guards against a body that Decode and DecodeChunk decode to
// different results.
func FuzzDecodeChunk(f *testing.F) {
	b, err := frame.Append(nil, frame.KindChunk, chunk)
	require.NoError(f, err)
	f.Add(b[5:])
	f.Fuzz(func(t *testing.T, body []byte) {
		raw := frame.Raw{Kind: frame.KindChunk, Body: body}
		want, wantErr := frame.Decode[frame.Chunk](raw, frame.KindChunk)
		got, err := frame.DecodeChunk(raw)
		require.Equal(t, wantErr == nil, err == nil)
		if err == nil {
			require.Equal(t, want.Position, got.Position)
			require.True(t, bytes.Equal(want.Data, got.Data))
		}
	})
}

// Guards against a reader that loses or mixes up frames, blocks although it has
// buffered the next frame, or reports a truncated frame as ready.
func TestReader(t *testing.T) {
	var stream []byte
	ends := []int{}
	for i, size := range []int{3, 0, 900, 5000, 7} {
		var err error
		stream, err = frame.Append(stream, frame.KindChunk, frame.Chunk{Position: uint64(i), Data: bytes.Repeat([]byte{byte('a' + i)}, size)})
		require.NoError(t, err)
		ends = append(ends, len(stream))
	}
	source := bytes.NewReader(stream)
	r := frame.NewReader(source)
	require.False(t, r.Ready())
	for i, size := range []int{3, 0, 900, 5000, 7} {
		raw, err := r.Read()
		require.NoError(t, err)
		m, err := frame.DecodeChunk(raw)
		require.NoError(t, err)
		require.Equal(t, frame.Chunk{Position: uint64(i), Data: bytes.Repeat([]byte{byte('a' + i)}, size)}, m)
		taken := len(stream) - source.Len()
		require.Equal(t, i+1 < len(ends) && taken >= ends[i+1], r.Ready(), "after frame %d", i)
	}
	_, err := r.Read()
	require.Equal(t, io.EOF, err)

	cut := frame.NewReader(bytes.NewReader(stream[:ends[1]-1]))
	_, err = cut.Read()
	require.NoError(t, err)
	require.False(t, cut.Ready())
	_, err = cut.Read()
	require.ErrorIs(t, err, io.ErrUnexpectedEOF)

	_, err = frame.NewReader(bytes.NewReader(stream[:3])).Read()
	require.ErrorIs(t, err, io.ErrUnexpectedEOF, "cut in the header")

	over := binary.BigEndian.AppendUint32(nil, frame.MaxSize+1)
	_, err = frame.NewReader(bytes.NewReader(append(over, byte(frame.KindChunk)))).Read()
	require.EqualError(t, err, "frame of 2097153 bytes exceeds the limit of 2097152")
}
