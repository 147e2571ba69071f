// Package admin serves operators of a process: health, readiness, metrics and
// status, and at an entry the document in force and a console of forms. It
// changes nothing. Start from [New] and [NewEntry].
package admin

import (
	"net/http"

	"github.com/gin-gonic/gin"
)

// Process is what the listener shows.
type Process interface {
	// Ready reports whether the process takes new work.
	Ready() bool
	// Status returns a value to show as JSON, without secrets.
	Status() any
}

// New returns the handler of the operators' listener of an agent; that of an
// entry is made by [NewEntry].
func New(p Process, metrics http.Handler) http.Handler { return base(p, metrics) }

func base(p Process, metrics http.Handler) *gin.Engine {
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
