package standin_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	"damasktrail.dev/standin"
)

func ExampleNewEndpoint() {
	e := standin.NewEndpoint(standin.EndpointOptions{Step: time.Millisecond})
	defer e.Close()
	body := `{"prompt":"hello","max_tokens":3}`
	w := httptest.NewRecorder()
	e.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/completions", strings.NewReader(body)))
	text, err := standin.GeneratedText([]byte(body))
	fmt.Println(strings.Contains(w.Body.String(), text), err, len(e.Runs().Runs))
	// Output: true <nil> 1
}
