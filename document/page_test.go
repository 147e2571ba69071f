package document_test

import (
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"damasktrail.dev/document"
)

// fieldPaths returns the paths of all fields of a type in the notation of
// docs/document.md.
func fieldPaths(t reflect.Type, prefix string) []string {
	var res []string
	for _, f := range reflect.VisibleFields(t) {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		if name == "" {
			continue
		}
		if f.Type.Kind() == reflect.Slice && f.Type.Elem().Kind() == reflect.Struct {
			res = append(res, fieldPaths(f.Type.Elem(), prefix+name+"[].")...)
			continue
		}
		res = append(res, prefix+name)
	}
	return res
}

// Guards against a documentation page that lacks a field or lists one that no
// longer exists.
func TestPageListsEveryField(t *testing.T) {
	page, err := os.ReadFile("../docs/document.md")
	require.NoError(t, err)
	var listed []string
	for _, m := range regexp.MustCompile("(?m)^\\| `([^`]+)` \\|").FindAllStringSubmatch(string(page), -1) {
		listed = append(listed, m[1])
	}
	want := fieldPaths(reflect.TypeFor[document.Document](), "")
	slices.Sort(listed)
	slices.Sort(want)
	require.Equal(t, want, listed)
}

// Guards against invalid samples, which users could not publish.
func TestSamples(t *testing.T) {
	files, err := filepath.Glob("../samples/*.json")
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, f := range files {
		data, err := os.ReadFile(f)
		require.NoError(t, err)
		_, err = document.Parse(data)
		require.NoError(t, err, f)
	}
}
