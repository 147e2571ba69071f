package engine_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"

	"damasktrail.dev"
	"damasktrail.dev/engine"
	"damasktrail.dev/group"
	"damasktrail.dev/standin"
	"damasktrail.dev/timer"
)

func ExampleNew() {
	endpoint := standin.NewEndpoint(standin.EndpointOptions{})
	defer endpoint.Close()
	server := httptest.NewServer(endpoint.Handler())
	defer server.Close()
	tasks := group.New(context.Background())
	defer tasks.Close()

	c := engine.New(server.URL, nil, timer.New(tasks), engine.Settings{})
	answer, err := c.Run(context.Background(), damasktrail.Call{
		ID:     "one",
		Method: http.MethodPost,
		Path:   "/v1/completions",
		Body:   []byte(`{"prompt":"hello","max_tokens":4,"stream":true,"stream_options":{"include_usage":true}}`),
		Stream: true,
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	defer answer.Close()
	events := 0
	for ; err == nil; events++ {
		_, err = answer.Next()
	}
	fmt.Println(errors.Is(err, io.EOF), events-1, answer.Usage())
	// Output: true 7 {2 4}
}
