package admin_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/iotest"

	"github.com/gin-gonic/gin"
	"github.com/stretchr/testify/require"

	"damasktrail.dev/admin"
	"damasktrail.dev/document"
	"damasktrail.dev/entry"
)

type process struct{}

func (process) Ready() bool { return false }
func (process) Status() any { return entry.Status{Agents: []entry.AgentStatus{{}}} }

// newHandler returns the handler of an entry with d in force, and its count of
// refusals.
func newHandler(d *document.Document) (h http.Handler, refusals *int64) {
	refusals = new(int64)
	return admin.NewEntry(process{}, http.NotFoundHandler(), func() *document.Document { return d },
		func(name string, n int64) {
			if name == "operators_refusals" {
				*refusals += n
			}
		}), refusals
}

func request(h http.Handler, method, path, body string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(method, path, strings.NewReader(body)))
	return w
}

func sampleDocument(t *testing.T) (*document.Document, string) {
	data, err := os.ReadFile("../samples/diary.json")
	require.NoError(t, err)
	d, err := document.Parse(data)
	require.NoError(t, err)
	return d, string(data)
}

// Guards against a problem without its path, a comparison with the wrong document,
// and operations for an invalid document.
func TestCheck(t *testing.T) {
	d, text := sampleDocument(t)
	change := func(pairs ...string) string {
		res := strings.NewReplacer(pairs...).Replace(text)
		require.NotEqual(t, text, res)
		return res
	}
	for name, c := range map[string]struct {
		body       string
		none       bool
		problems   []string
		operations []string
	}{
		"same":     {body: text},
		"no JSON":  {body: "{", problems: []string{""}},
		"set":      {body: change(`"context": 65536`, `"context": 5`), operations: []string{"set models diary"}},
		"delete":   {body: change(`"sets": [`, `"sets": [{"name": "b", "kind": "service"},`, `{"name": "pl-c", "region": "pl"}`, `{"name": "pl-d", "region": "pl"}`), operations: []string{"delete domains pl-c", "set domains pl-d", "set sets b"}},
		"policy":   {body: change(`"cost"`, `"round"`), operations: []string{"set policy round"}},
		"problems": {body: change(`"model": "diary"`, `"model": "other"`, `["order"]`, `["order", "x"]`, `"30s"`, `30`, `"rate": 50`, `"rate": "50"`), problems: []string{"tiers[0].deadline", "organisations[2].rate", "organisations[3].rate", "tiers[0].deadline", "sets[0].model", "organisations[1].tiers[1]", "organisations[2].rate", "organisations[3].rate"}},
		"unknown":  {body: change(`"policy"`, `"polity"`), problems: []string{"polity"}},
		"no document yet": {
			body: `{"generation": 1, "tiers": [{"name": "a", "rank": 0, "deadline": "1s"}]}`, none: true,
			operations: []string{"set policy cost", "set tiers a"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			held := d
			if c.none {
				held = nil
			}
			h, refusals := newHandler(held)
			w := request(h, http.MethodPost, "/v1/check", c.body)
			require.Equal(t, http.StatusOK, w.Code)
			var got admin.Check
			require.NoError(t, json.Unmarshal(w.Body.Bytes(), &got))
			var problems, operations []string
			for _, p := range got.Problems {
				problems = append(problems, p.Path)
				require.NotEmpty(t, p.Message)
			}
			for _, o := range got.Operations {
				operations = append(operations, o.Action+" "+o.Section+" "+o.Name)
			}
			require.Equal(t, c.problems, problems)
			require.Equal(t, c.operations, operations)
			require.Equal(t, c.none, got.Generation == 0)
			require.Zero(t, *refusals)
			require.NotContains(t, w.Body.String(), "null")
		})
	}
}

// Guards against a refusal without a reason or that is not counted.
func TestRefusals(t *testing.T) {
	for name, c := range map[string]struct {
		method, path, body string
		status             int
		message            string
	}{
		"too large":  {http.MethodPost, "/v1/check", strings.Repeat(" ", document.MaxBytes+1), http.StatusRequestEntityTooLarge, "limit of 1048576 bytes"},
		"none yet":   {http.MethodGet, "/v1/document", "", http.StatusServiceUnavailable, "no document is in force yet"},
		"no path":    {http.MethodGet, "/v1/other", "", http.StatusNotFound, ""},
		"no writing": {http.MethodPost, "/v1/document", "{}", http.StatusNotFound, ""},
	} {
		t.Run(name, func(t *testing.T) {
			h, refusals := newHandler(nil)
			w := request(h, c.method, c.path, c.body)
			require.Equal(t, c.status, w.Code)
			require.Contains(t, w.Body.String(), c.message)
			require.EqualValues(t, 1, *refusals)
		})
	}
}

// Guards against concurrent checks that together exhaust the memory of an entry, and
// against slots that are not released.
func TestChecksAtATime(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	h := admin.NewEntry(process{}, http.NotFoundHandler(), func() *document.Document {
		started <- struct{}{}
		<-release
		return nil
	}, func(string, int64) {})
	var checks sync.WaitGroup
	for range 4 {
		checks.Go(func() { request(h, http.MethodPost, "/v1/check", "{}") })
		<-started
	}
	require.Equal(t, http.StatusServiceUnavailable, request(h, http.MethodPost, "/v1/check", "{}").Code)
	close(release)
	checks.Wait()
	checks.Go(func() { <-started })
	require.Equal(t, http.StatusOK, request(h, http.MethodPost, "/v1/check", "{}").Code)
	checks.Wait()
}

// Guards against an incomplete body that is checked as a document.
func TestCheckOfBrokenBody(t *testing.T) {
	h, refusals := newHandler(nil)
	w := httptest.NewRecorder()
	body := io.MultiReader(strings.NewReader("{}"), iotest.ErrReader(io.ErrUnexpectedEOF))
	h.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/check", body))
	require.Equal(t, http.StatusBadRequest, w.Code)
	require.EqualValues(t, 1, *refusals)
}

// Guards against a response that is much larger than the document: each problem can
// quote a long name, and each small item can cause an operation.
func TestCheckIsBounded(t *testing.T) {
	h, _ := newHandler(nil)
	long := fmt.Sprintf(`{"name": "%s", "kind": "engine"},`, strings.Repeat("a", 5000))
	w := request(h, http.MethodPost, "/v1/check", `{"sets": [`+strings.Repeat(long, 200)+`{}]}`)
	var got admin.Check
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &got))
	require.Len(t, got.Problems, 100)
	require.Positive(t, got.Omitted)
	require.Less(t, w.Body.Len(), 200_000)

	items := make([]string, 3000)
	for i := range items {
		items[i] = fmt.Sprintf(`{"name": "%d", "region": "a"}`, i)
	}
	w = request(h, http.MethodPost, "/v1/check", `{"generation": 1, "tiers": [{"name": "a", "rank": 0, "deadline": "1s"}], "domains": [`+strings.Join(items, ",")+`]}`)
	require.NoError(t, json.Unmarshal(w.Body.Bytes(), &got))
	require.Empty(t, got.Problems)
	require.Len(t, got.Operations, 1000)
	require.Equal(t, 2002, got.Omitted)
}

// Guards against a served document that the console could not submit again, because
// it does not parse or has other content.
func TestDocument(t *testing.T) {
	d, _ := sampleDocument(t)
	h, _ := newHandler(d)
	w := request(h, http.MethodGet, "/v1/document", "")
	require.Equal(t, http.StatusOK, w.Code)
	require.Equal(t, "1", w.Header().Get("Generation"))
	got, err := document.Parse(w.Body.Bytes())
	require.NoError(t, err)
	require.Equal(t, d.Digest(), got.Digest())
}

// Guards against routes that the OpenAPI description lacks, described routes that do
// not exist, and responses with other fields than described.
func TestDescription(t *testing.T) {
	d, text := sampleDocument(t)
	h, _ := newHandler(d)
	var api struct {
		Paths      map[string]map[string]any
		Components struct {
			Schemas map[string]struct {
				Required   []string
				Properties map[string]any
			}
		}
	}
	require.NoError(t, json.Unmarshal(request(h, http.MethodGet, "/openapi.json", "").Body.Bytes(), &api))
	var described, routes []string
	for path, methods := range api.Paths {
		for m := range methods {
			described = append(described, strings.ToUpper(m)+" "+path)
		}
	}
	for _, r := range h.(*gin.Engine).Routes() {
		if !strings.HasPrefix(r.Path, "/console/") {
			routes = append(routes, r.Method+" "+r.Path)
		}
	}
	require.ElementsMatch(t, routes, described)

	var status, check, refusal map[string]any
	require.NoError(t, json.Unmarshal(request(h, http.MethodGet, "/v1/status", "").Body.Bytes(), &status))
	require.NoError(t, json.Unmarshal(request(h, http.MethodPost, "/v1/check", text).Body.Bytes(), &check))
	empty, _ := newHandler(nil)
	require.NoError(t, json.Unmarshal(request(empty, http.MethodGet, "/v1/document", "").Body.Bytes(), &refusal))
	for name, value := range map[string]any{
		"Status": status, "Agent": status["agents"].([]any)[0], "Check": check, "Error": refusal,
	} {
		var fields []string
		for f := range value.(map[string]any) {
			fields = append(fields, f)
		}
		require.ElementsMatch(t, api.Components.Schemas[name].Required, fields, name)
	}
}

// Guards against a page that loads from other hosts or runs code from markup, and
// against a field of the document that the forms do not have.
func TestConsole(t *testing.T) {
	h, _ := newHandler(nil)
	var content string
	for path, kind := range map[string]string{
		"/console/": "text/html", "/console/console.css": "text/css", "/console/console.js": "text/javascript",
	} {
		w := request(h, http.MethodGet, path, "")
		require.Equal(t, http.StatusOK, w.Code)
		require.Contains(t, w.Header().Get("Content-Type"), kind)
		policy := w.Header().Get("Content-Security-Policy")
		require.Contains(t, policy, "default-src 'none'")
		require.NotContains(t, policy, "unsafe")
		content += w.Body.String()
	}
	for _, forbidden := range []string{
		`(?i)https?:`, `(?i)(src|href)="(/|[a-z]+:[^,])`, `@import`, `url\(`, `(?i)<[^>]*\son[a-z]+\s*=`, `(?i)<[^>]*\sstyle\s*=`, `(?i)<style`,
		`(?i)<script>`, `javascript:`, `innerHTML`, `outerHTML`, `insertAdjacentHTML`, `document\.write`, `\beval\(`, `new Function`, `\.on[a-z]+\s*=`,
	} {
		require.NotRegexp(t, forbidden, content)
	}
	var missing []string
	var visit func(reflect.Type)
	visit = func(s reflect.Type) {
		for _, f := range reflect.VisibleFields(s) {
			name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
			if name == "" {
				continue
			}
			if !regexp.MustCompile(`key: "` + name + `"`).MatchString(content) {
				missing = append(missing, name)
			}
			if f.Type.Kind() == reflect.Slice && f.Type.Elem().Kind() == reflect.Struct {
				visit(f.Type.Elem())
			}
		}
	}
	visit(reflect.TypeFor[document.Document]())
	slices.Sort(missing)
	require.Empty(t, missing)
}
