package gateway

import (
	"net/http"
	"strings"
)

// requestTarget returns the target of a request in origin form, as it is forwarded: the raw
// path and query that the caller sent, without the scheme and the authority of the absolute
// form. Other forms are returned as they are.
func requestTarget(r *http.Request) string {
	target := r.RequestURI
	if strings.HasPrefix(target, "/") {
		return target
	}
	_, rest, found := strings.Cut(target, "://")
	if !found {
		return target
	}
	i := strings.IndexAny(rest, "/?")
	switch {
	case i < 0:
		return "/"
	case rest[i] == '?':
		return "/" + rest[i:]
	}
	return rest[i:]
}

// targetPath returns the raw path of a target, by which the route is selected. It is not
// decoded or cleaned, so that the endpoint gets the path that selected it.
func targetPath(target string) string {
	path, _, _ := strings.Cut(target, "?")
	return path
}
