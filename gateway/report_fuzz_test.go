package gateway_test

import (
	"net"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

// FuzzReports guards against a datagram that takes a gateway down or stops it from serving.
func FuzzReports(f *testing.F) {
	confirmation, err := cbor.Marshal([]any{1, 1, 1, 1, 1})
	require.NoError(f, err)
	for _, m := range []map[int]any{
		{1: "peer", 2: 1, 3: 1, 4: 1},
		{
			1: "peer", 2: 2, 3: 2, 4: 9, 5: map[string][]int{"e0": {-1, 1 << 40}, "e9": {3, 3}}, 6: map[string]map[int]int{"s": {-1: 5, 7: -7}},
			7: map[int]any{1: map[string]float64{"small": -1e300, "acme": 1e300}, 3: []string{"127.0.0.1:9", "x"}, 4: []map[string]any{{"f": 1}}, 5: [][]any{{"e0", 0, "s", true, -1.5, 1}, {"e0", 0, "s", true, 1e300, 1 << 62}, {"e9", -1, "", false, 0, -1}}},
			8: true, 9: "d", 10: []string{"e0"}, 11: -5, 12: true, 13: 1 << 60, 14: true, 15: 1 << 60, 16: []string{"e0", "none"},
		},
	} {
		b, err := cbor.Marshal(m)
		require.NoError(f, err)
		f.Add(append(b, confirmation...))
	}
	f.Add([]byte{0x83, 1, 2, 3})
	s := start(f, newFakeEndpoint(f, respondWith("ok")))
	conn, err := net.Dial("udp4", s.settings.Peers)
	require.NoError(f, err)
	f.Cleanup(func() { _ = conn.Close() })
	sent := 0
	f.Fuzz(func(t *testing.T, datagram []byte) {
		if _, err := conn.Write(datagram); err != nil {
			return // Too long for a datagram, or an earlier one is still unread.
		}
		const requestEvery = 1000
		if sent++; sent%requestEvery == 0 {
			time.Sleep(10 * time.Millisecond)
			s.t = t
			require.NoError(t, s.send("/open/x", "id", "").err)
		}
	})
}
