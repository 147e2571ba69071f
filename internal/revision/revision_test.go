package revision_test

import (
	"crypto/sha256"
	"testing"

	"github.com/stretchr/testify/require"

	"damasktrail.dev/internal/revision"
)

// value is a value with arbitrary content.
type value struct {
	number  uint64
	content string
}

func (v *value) Number() uint64            { return v.number }
func (v *value) Digest() [sha256.Size]byte { return sha256.Sum256([]byte(v.content)) }

type difference struct {
	from, to   uint64
	operations int
}

func (x difference) Span() (from, to uint64) { return x.from, x.to }
func (x difference) Len() int                { return x.operations }

// Guards against a number that decreases, and against a history that has gaps or
// grows without bound.
func TestHolder(t *testing.T) {
	operations := 1
	h := revision.New("number", func(from, to *value) difference {
		return difference{from: from.number, to: to.number, operations: operations}
	})
	require.Zero(t, h.Number())
	_, reachable := h.Since(0)
	require.False(t, reachable)
	for n := uint64(1); n <= 100; n++ {
		changed, err := h.Offer(&value{number: n})
		require.NoError(t, err)
		require.True(t, changed)
	}
	changed, err := h.Offer(&value{number: 100})
	require.NoError(t, err)
	require.False(t, changed)
	var older *revision.OlderError
	_, err = h.Offer(&value{number: 99})
	require.ErrorAs(t, err, &older)
	var conflict *revision.ConflictError
	_, err = h.Offer(&value{number: 100, content: "other"})
	require.ErrorAs(t, err, &conflict)
	list, reachable := h.Since(90)
	require.True(t, reachable)
	for i, x := range list {
		require.Equal(t, difference{from: 90 + uint64(i), to: 91 + uint64(i), operations: 1}, x)
	}
	require.Len(t, list, 10)
	_, reachable = h.Since(20)
	require.False(t, reachable, "older than the history")
	operations = 10_000
	_, err = h.Offer(&value{number: 101})
	require.NoError(t, err)
	_, reachable = h.Since(100)
	require.False(t, reachable, "a difference of too many operations is not kept")
}
