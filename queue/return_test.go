package queue_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"damasktrail.dev"
	"damasktrail.dev/queue"
)

// Guards against a request that loses its place, or an organisation that loses its share,
// each time that a request is taken out and put back since no slot suits it.
func TestReturn(t *testing.T) {
	now := time.Unix(1000, 0)
	q := queue.New[int](queue.Limits{Requests: 10, Prefill: math.MaxInt})
	for i, organisation := range []string{"a", "a", "b", "a"} {
		_, refusal := q.Push(queue.Item[int]{ID: string(rune('0' + i)), Request: damasktrail.Request{
			Organisation: organisation, Cost: damasktrail.Cost{Prefill: 1000}, Deadline: time.Minute,
		}}, now)
		require.Nil(t, refusal)
	}
	for range 100 {
		first, _ := q.Pop(now)
		second, _ := q.Pop(now)
		require.Equal(t, []string{"0", "2"}, []string{first.ID, second.ID})
		q.Return(second, now)
		q.Return(first, now)
	}
	var order []string
	for it, ok := q.Pop(now); ok; it, ok = q.Pop(now) {
		order = append(order, it.ID)
	}
	require.Equal(t, []string{"0", "2", "1", "3"}, order)
	require.Zero(t, q.Work().Prefill)
}
