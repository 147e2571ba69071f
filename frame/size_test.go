package frame_test

import (
	"bytes"
	"testing"

	"github.com/stretchr/testify/require"

	"damasktrail.dev"
	"damasktrail.dev/frame"
)

// TestHeartbeatSize guards against heartbeats that exceed the control traffic
// budget: an entry has 264 agents that each send one heartbeat every 10 s. On the
// wire, QUIC, UDP, IP and the acknowledgement add 125 bytes to a frame.
func TestHeartbeatSize(t *testing.T) {
	agent := frame.Heartbeat{Generation: 1 << 40, Load: damasktrail.Load{
		Running: 200, Waiting: 256, Prefill: 400_000, Decode: 90_000, Lowest: 2, Limit: 200,
		PrefillRate: 81234.5, DecodeRate: 12345.6,
	}}
	entry := frame.Heartbeat{Generation: 1 << 40, VMListVersion: 1 << 32, PlatformAgeMillis: 600_000}
	for _, c := range []struct {
		heartbeat frame.Heartbeat
		maxBytes  int
	}{{agent, 80}, {entry, 56}} {
		b, err := frame.Append(nil, frame.KindHeartbeat, c.heartbeat)
		require.NoError(t, err)
		require.LessOrEqual(t, len(b), c.maxBytes)
		raw, err := frame.Read(bytes.NewReader(b))
		require.NoError(t, err)
		got, err := frame.Decode[frame.Heartbeat](raw, frame.KindHeartbeat)
		require.NoError(t, err)
		require.Equal(t, c.heartbeat, got)
	}
}

var chunk = frame.Chunk{
	Position: 17,
	Data: []byte(`id: 17` + "\n" + `data: {"id":"4-17","object":"chat.completion.chunk","created":1,"model":"jury",` +
		`"choices":[{"index":0,"delta":{"content":" damask"},"finish_reason":null}]}` + "\n\n"),
}

// BenchmarkSendChunk encodes a chunk of one token as an agent does before it
// writes it.
func BenchmarkSendChunk(b *testing.B) {
	var buffer []byte
	b.ReportAllocs()
	for b.Loop() {
		var err error
		if buffer, err = frame.AppendChunk(buffer[:0], chunk); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkReceiveChunk reads and decodes a chunk of one token as an entry does.
func BenchmarkReceiveChunk(b *testing.B) {
	data, err := frame.Append(nil, frame.KindChunk, chunk)
	require.NoError(b, err)
	source := bytes.NewReader(data)
	r := frame.NewReader(source)
	b.ReportAllocs()
	for b.Loop() {
		source.Reset(data)
		raw, err := r.Read()
		if err != nil {
			b.Fatal(err)
		}
		if _, err := frame.DecodeChunk(raw); err != nil {
			b.Fatal(err)
		}
	}
}
