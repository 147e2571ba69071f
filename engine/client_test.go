package engine_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"damasktrail.dev"
	"damasktrail.dev/engine"
	"damasktrail.dev/group"
	"damasktrail.dev/standin"
	"damasktrail.dev/timer"
)

// Guards against a streamed answer that loses or repeats bytes when its
// connection is cut in the middle of events.
func TestCutStreamIsResumed(t *testing.T) {
	e := standin.NewEndpoint(standin.EndpointOptions{})
	defer e.Close()
	s := httptest.NewServer(e.Handler())
	defer s.Close()
	e.SetFault(standin.EndpointFault{Cut: 4})
	clock := timer.New(group.New(t.Context()))
	c := engine.New(s.URL, nil, clock, engine.Settings{})
	a, err := c.Run(t.Context(), damasktrail.Call{
		ID: "a", Method: http.MethodPost, Path: "/v1/completions",
		Body: []byte(`{"prompt":"hello","stream":true,"max_tokens":20}`), Stream: true,
	})
	require.NoError(t, err)
	events := 0
	for {
		_, err := a.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		require.NoError(t, err)
		events++
	}
	require.Equal(t, 22, events)
	require.NoError(t, a.Close())
	_, err = c.Load(context.Background())
	require.NoError(t, err)
}
