package group_test

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"

	"damasktrail.dev/group"
)

// Guards against goroutines that start after Close and outlive their owner.
func TestGroupStartsNothingAfterClose(t *testing.T) {
	g := group.New(context.Background())
	ran := make(chan struct{})
	require.True(t, g.Go(func(ctx context.Context) {
		<-ctx.Done()
		close(ran)
	}))
	g.Close()
	<-ran
	require.False(t, g.Go(func(context.Context) { t.Error("ran after Close") }))
}
