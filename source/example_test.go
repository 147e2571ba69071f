package source_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"

	"damasktrail.dev/group"
	"damasktrail.dev/source"
	"damasktrail.dev/standin"
	"damasktrail.dev/timer"
)

func Example() {
	tasks := group.New(context.Background())
	defer tasks.Close()
	clock := timer.New(tasks)
	p := standin.NewPlatform(standin.PlatformOptions{Clock: clock})
	_ = p.PublishDocument([]byte(`{"generation": 7}`))
	server := httptest.NewServer(p.Handler())
	defer server.Close()
	value, err := source.New(server.URL, http.DefaultClient, clock).Document(context.Background(), 0)
	fmt.Println(value.Version, string(value.Data), err)
	// Output: 7 {"generation": 7} <nil>
}
