package admin

import (
	"embed"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	"damasktrail.dev/document"
)

const (
	// bodyTimeout limits the time to read the body of a check, so that slow clients
	// cannot hold buffers.
	bodyTimeout = 30 * time.Second
	// maxConcurrentChecks limits the memory that checks use: each holds about twice
	// the size of its document.
	maxConcurrentChecks = 4
	// maxOperations limits the operations in a response: a document of 1 MB can differ
	// in more than 30,000 items.
	maxOperations = 1000

	// contentSecurityPolicy allows only files of this server and, for images, data
	// URLs: the page has an empty one as its icon, so that browsers request no icon.
	contentSecurityPolicy = "default-src 'none'; script-src 'self'; style-src 'self'; connect-src 'self'; img-src data:; " +
		"base-uri 'none'; form-action 'none'; frame-ancestors 'none'"
)

//go:embed console openapi.json
var files embed.FS

// Check is the result of the check of a document.
type Check struct {
	// Generation is the generation of the document in force, 0 when there is none.
	Generation uint64 `json:"generation"`
	// Problems are the problems that [document.Parse] found. The document is valid
	// when there are none.
	Problems []Problem `json:"problems"`
	// Operations turn the document in force into the checked one. There are none when
	// that is not valid, and at most 1000.
	Operations []document.Operation `json:"operations"`
	// Omitted is the number of problems or operations beyond those listed.
	Omitted int `json:"omitted"`
}

// Problem is one fault in a checked document.
type Problem struct {
	// Path is the location of the fault, such as organisations[2].tiers[0]. It is
	// empty for the document as a whole.
	Path    string `json:"path"`
	Message string `json:"message"`
}

// documentHandler serves the document in force and checks other documents against
// it.
type documentHandler struct {
	currentDocument func() *document.Document
	checkSlots      chan struct{}
}

// NewEntry returns the handler for the operators' listener of an entry. Besides the
// routes of [New] it serves the document in force, the check of a document and the
// console. The function currentDocument returns the document in force, or nil before
// the first; count adds n to the counter with the given name.
func NewEntry(p Process, metrics http.Handler, currentDocument func() *document.Document, count func(name string, n int64)) http.Handler {
	g := newRouter(p, metrics)
	s := &documentHandler{currentDocument: currentDocument, checkSlots: make(chan struct{}, maxConcurrentChecks)}
	// The middleware does not apply to routes added before, such as /readyz, where
	// the status of an unready process is no refusal. It does apply to unknown paths.
	g.Use(func(c *gin.Context) {
		c.Next()
		if c.Writer.Status() >= http.StatusBadRequest {
			count("operators_refusals", 1)
		}
	})
	g.GET("/v1/document", s.document)
	g.POST("/v1/check", s.check)
	g.GET("/openapi.json", fileHandler("openapi.json", "application/json"))
	g.GET("/console/", fileHandler("console/index.html", "text/html; charset=utf-8"))
	g.GET("/console/console.css", fileHandler("console/console.css", "text/css; charset=utf-8"))
	g.GET("/console/console.js", fileHandler("console/console.js", "text/javascript; charset=utf-8"))
	return g
}

func fileHandler(name, contentType string) gin.HandlerFunc {
	data, err := files.ReadFile(name)
	if err != nil {
		panic(err) // Unreachable: the names are constant and the files are embedded.
	}
	return func(c *gin.Context) {
		h := c.Writer.Header()
		h.Set("Content-Security-Policy", contentSecurityPolicy)
		h.Set("X-Content-Type-Options", "nosniff")
		h.Set("Referrer-Policy", "no-referrer")
		// A newer release of the process can serve another version of the page.
		h.Set("Cache-Control", "no-cache")
		c.Data(http.StatusOK, contentType, data)
	}
}

func writeError(c *gin.Context, status int, message string) {
	c.JSON(status, gin.H{"error": message})
}

func (s *documentHandler) document(c *gin.Context) {
	d := s.currentDocument()
	if d == nil {
		writeError(c, http.StatusServiceUnavailable, "no document is in force yet")
		return
	}
	c.Header("Generation", strconv.FormatUint(d.Generation, 10))
	c.Header("Cache-Control", "no-store")
	c.Data(http.StatusOK, "application/json", d.Encode())
}

func (s *documentHandler) check(c *gin.Context) {
	// The error is ignored: writers that do not support deadlines, as in tests, are
	// left without one.
	_ = http.NewResponseController(c.Writer).SetReadDeadline(time.Now().Add(bodyTimeout))
	data, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, document.MaxBytes))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		writeError(c, http.StatusRequestEntityTooLarge, "body exceeds the limit of "+strconv.Itoa(document.MaxBytes)+" bytes")
		return
	case err != nil:
		writeError(c, http.StatusBadRequest, "body could not be read")
		return
	}
	select {
	case s.checkSlots <- struct{}{}:
		defer func() { <-s.checkSlots }()
	default:
		writeError(c, http.StatusServiceUnavailable, "too many checks at the same time")
		return
	}
	c.JSON(http.StatusOK, checkDocument(s.currentDocument(), data))
}

// checkDocument checks a document and compares it with current, the document in
// force, which may be nil.
func checkDocument(current *document.Document, data []byte) Check {
	if current == nil {
		current = &document.Document{}
	}
	res := Check{Generation: current.Generation, Problems: []Problem{}, Operations: []document.Operation{}}
	checked, err := document.Parse(data)
	var invalid *document.InvalidError
	if errors.As(err, &invalid) {
		for _, p := range invalid.Problems {
			res.Problems = append(res.Problems, Problem{Path: p.Path, Message: p.Message})
		}
		res.Omitted = invalid.Omitted
		return res
	}
	operations := document.Compare(current, checked).Operations
	if len(operations) > maxOperations {
		res.Omitted = len(operations) - maxOperations
		operations = operations[:maxOperations]
	}
	res.Operations = append(res.Operations, operations...)
	return res
}
