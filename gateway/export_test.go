package gateway

import "net/http"

// RequestTarget returns the target that is forwarded and the path that selects the route.
func RequestTarget(r *http.Request) (target, path string) {
	target = requestTarget(r)
	return target, targetPath(target)
}
