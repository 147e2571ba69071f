// Package admin serves the HTTP interface for the operators of a process: health,
// readiness, metrics and status, and at an entry also the document in force and a
// web console with forms. The interface is read-only. Start from [New] and
// [NewEntry].
package admin

import (
	"net/http"

	"github.com/gin-gonic/gin"
)

// Process provides the state of the process that is served.
type Process interface {
	// Ready reports whether the process accepts new work.
	Ready() bool
	// Status returns the value to serve as JSON. It must contain no secrets.
	Status() any
}

// New returns the handler for the operators' listener of an agent. [NewEntry]
// returns the handler for that of an entry.
func New(p Process, metrics http.Handler) http.Handler { return newRouter(p, metrics) }

func newRouter(p Process, metrics http.Handler) *gin.Engine {
	gin.SetMode(gin.ReleaseMode)
	g := gin.New()
	g.GET("/healthz", func(c *gin.Context) { c.String(http.StatusOK, "ok\n") })
	g.GET("/readyz", func(c *gin.Context) {
		if !p.Ready() {
			c.String(http.StatusServiceUnavailable, "not ready\n")
			return
		}
		c.String(http.StatusOK, "ready\n")
	})
	g.GET("/metrics", gin.WrapH(metrics))
	g.GET("/v1/status", func(c *gin.Context) { c.JSON(http.StatusOK, p.Status()) })
	return g
}
