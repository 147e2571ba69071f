package memory_test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"damasktrail.dev/group"
	"damasktrail.dev/memory"
	"damasktrail.dev/timer"
)

const size = 8 << 20

func newAccount(t *testing.T) *memory.Account {
	t.Helper()
	tasks := group.New(context.Background())
	t.Cleanup(tasks.Close)
	return memory.New(timer.New(tasks), size)
}

// Guards against ending the body of an ordinary caller, or one that is complete, to make
// room for a crowd.
func TestClientThatHoldsMostMakesRoom(t *testing.T) {
	a := newAccount(t)
	ended := map[string]bool{}
	open := func(client, name string, n int64) *memory.Hold {
		h := a.Open(client, func() { ended[name] = true })
		require.NoError(t, h.Charge(n), name)
		return h
	}
	require.True(t, open("ordinary", "complete", 100_000).Complete())
	open("ordinary", "incomplete", 100_000)
	require.True(t, open("crowd", "accepted", 3<<20).Complete())
	open("crowd", "small", 10_000)
	open("crowd", "large", 1<<20)
	open("other", "needs room", 2<<20)
	require.Equal(t, map[string]bool{"large": true}, ended)
}

// Guards against one client that takes the whole account, also with complete bodies.
func TestClientLeavesRoom(t *testing.T) {
	a := newAccount(t)
	for h := a.Open("crowd", func() {}); h.Charge(1<<20) == nil; h = a.Open("crowd", func() {}) {
		require.True(t, h.Complete())
	}
	require.Less(t, a.Used(), int64(size*3/4))
	require.ErrorIs(t, a.Open("crowd", func() {}).Charge(1<<20), memory.ErrFull)
	require.NoError(t, a.Open("ordinary", func() {}).Charge(1<<20))
}

// Guards against bodies that fill the share of small ones.
func TestSmallBodiesKeepTheirShare(t *testing.T) {
	a := newAccount(t)
	for i := range 100 {
		h := a.Open(fmt.Sprint("client ", i), func() {})
		_ = h.Charge(1 << 20)
		h.Complete()
	}
	for i := range 10 {
		require.NoError(t, a.Open(fmt.Sprint("ordinary ", i), func() {}).Charge(100_000))
	}
}

// Guards against bytes that are never given back: random clients open, charge, end and
// close holds, and the account is at zero when all have left.
func TestAllIsGivenBack(t *testing.T) {
	a := newAccount(t)
	r := rand.New(rand.NewPCG(1, 2))
	var all []*memory.Hold
	for range 20_000 {
		if len(all) < 40 || r.IntN(4) == 0 {
			all = append(all, a.Open(fmt.Sprint("client ", r.IntN(6)), func() {}))
		}
		i := r.IntN(len(all))
		switch h := all[i]; r.IntN(5) {
		case 0:
			h.Complete()
		case 1:
			h.Close()
			all = append(all[:i], all[i+1:]...)
		default:
			_ = h.Charge(int64(r.IntN(300_000)))
		}
		require.LessOrEqual(t, a.Used(), int64(size))
		require.GreaterOrEqual(t, a.Used(), int64(0))
	}
	for _, h := range all {
		h.Close()
		h.Close()
	}
	require.Zero(t, a.Used())
	require.Positive(t, a.Ended())
}

// Guards against a body that is changed or cut, and against reading beyond the limit.
func TestReadBody(t *testing.T) {
	a := newAccount(t)
	for _, n := range []int{0, 1, 16 << 10, 17_000, 100_000, 1 << 20} {
		text := strings.Repeat("0123456789", n/10+1)[:n]
		for _, announced := range []int64{int64(n), -1} {
			h := a.Open("c", func() {})
			blocks, err := h.ReadBody(strings.NewReader(text), announced, 1<<20)
			require.NoError(t, err)
			require.Equal(t, text, string(bytes.Join(blocks, nil)))
			h.Close()
			h = a.Open("c", func() {})
			whole, err := h.ReadAll(strings.NewReader(text), announced, 1<<20)
			require.NoError(t, err)
			require.Equal(t, text, string(whole))
			h.Close()
		}
	}
	r := strings.NewReader(strings.Repeat("x", 1<<20))
	_, err := a.Open("c", func() {}).ReadBody(r, -1, 100_000)
	require.ErrorIs(t, err, memory.ErrTooLarge)
	require.Greater(t, r.Len(), 1<<19, "the rest must not be read")
	_, err = a.Open("c", func() {}).ReadBody(r, 200_000, 100_000)
	require.ErrorIs(t, err, memory.ErrTooLarge)
}

// Guards against a body that goes on after it was ended.
func TestEndedBody(t *testing.T) {
	a := newAccount(t)
	h := a.Open("crowd", func() {})
	require.NoError(t, h.Charge(3<<20))
	time.Sleep(2 * time.Millisecond)
	last := a.Open("crowd", func() {})
	require.NoError(t, last.Charge(3<<20))
	require.ErrorIs(t, h.Charge(1), memory.ErrEnded)
	require.False(t, h.Complete())
	require.True(t, last.Complete())
}
