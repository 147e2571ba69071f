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
	// bodyTimeout bounds the time to read a document to check, so that slow
	// clients cannot hold buffers.
	bodyTimeout = 30 * time.Second
	// maxChecks bounds the checks at a time: each holds about twice its document.
	maxChecks = 4
	// maxOperations bounds the difference in an answer; a document of 1 MB can
	// differ in more than 30,000 items.
	maxOperations = 1000

	// contentPolicy allows only the page's own files, and the empty data URL
	// that keeps browsers from asking for an icon.
	contentPolicy = "default-src 'none'; script-src 'self'; style-src 'self'; connect-src 'self'; img-src data:; " +
		"base-uri 'none'; form-action 'none'; frame-ancestors 'none'"
)

//go:embed console openapi.json
var files embed.FS

// Check is the answer to a document that is to be checked.
type Check struct {
	// Generation is that of the document in force, 0 when there is none.
	Generation uint64 `json:"generation"`
	// Problems are those of [document.Parse]; the document is valid without any.
	Problems []Problem `json:"problems"`
	// Operations lead from the document in force to the checked one when that is
	// valid; at most 1000.
	Operations []document.Operation `json:"operations"`
	// Omitted counts the problems or operations beyond these.
	Omitted int `json:"omitted"`
}

// Problem is one fault of a checked document.
type Problem struct {
	// Path leads to the fault, as in organisations[2].tiers[0]; it is empty for
	// the document as a whole.
	Path    string `json:"path"`
	Message string `json:"message"`
}

// console answers questions about documents.
type console struct {
	inForce func() *document.Document
	checks  chan struct{}
}

// NewEntry returns the handler of the operators' listener of an entry: that of
// [New] with the document in force, the check of another one and the console.
// The function inForce returns nil before the first document; count adds to a
// counter by its name.
func NewEntry(p Process, metrics http.Handler, inForce func() *document.Document, count func(name string, n int64)) http.Handler {
	g := base(p, metrics)
	s := &console{inForce: inForce, checks: make(chan struct{}, maxChecks)}
	// Routes added before, as /readyz, are not affected: an unready process
	// refuses nothing there. The handler of unknown paths is.
	g.Use(func(c *gin.Context) {
		c.Next()
		if c.Writer.Status() >= http.StatusBadRequest {
			count("operators_refusals", 1)
		}
	})
	g.GET("/v1/document", s.document)
	g.POST("/v1/check", s.check)
	g.GET("/openapi.json", file("openapi.json", "application/json"))
	g.GET("/console/", file("console/index.html", "text/html; charset=utf-8"))
	g.GET("/console/console.css", file("console/console.css", "text/css; charset=utf-8"))
	g.GET("/console/console.js", file("console/console.js", "text/javascript; charset=utf-8"))
	return g
}

func file(name, kind string) gin.HandlerFunc {
	data, err := files.ReadFile(name)
	if err != nil {
		panic(err) // The names are constant, and the files embedded.
	}
	return func(c *gin.Context) {
		h := c.Writer.Header()
		h.Set("Content-Security-Policy", contentPolicy)
		h.Set("X-Content-Type-Options", "nosniff")
		h.Set("Referrer-Policy", "no-referrer")
		// A new process may have another page.
		h.Set("Cache-Control", "no-cache")
		c.Data(http.StatusOK, kind, data)
	}
}

func refuse(c *gin.Context, status int, message string) {
	c.JSON(status, gin.H{"error": message})
}

func (s *console) document(c *gin.Context) {
	d := s.inForce()
	if d == nil {
		refuse(c, http.StatusServiceUnavailable, "no document is in force yet")
		return
	}
	c.Header("Generation", strconv.FormatUint(d.Generation, 10))
	c.Header("Cache-Control", "no-store")
	c.Data(http.StatusOK, "application/json", d.Encode())
}

func (s *console) check(c *gin.Context) {
	// Writers that have no deadline, as in tests, are left without one.
	_ = http.NewResponseController(c.Writer).SetReadDeadline(time.Now().Add(bodyTimeout))
	data, err := io.ReadAll(http.MaxBytesReader(c.Writer, c.Request.Body, document.MaxSize))
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		refuse(c, http.StatusRequestEntityTooLarge, "body exceeds the limit of "+strconv.Itoa(document.MaxSize)+" bytes")
		return
	case err != nil:
		refuse(c, http.StatusBadRequest, "body could not be read")
		return
	}
	select {
	case s.checks <- struct{}{}:
		defer func() { <-s.checks }()
	default:
		refuse(c, http.StatusServiceUnavailable, "too many checks at the same time")
		return
	}
	c.JSON(http.StatusOK, compare(s.inForce(), data))
}

// compare checks a document and compares it with the one in force, which is nil
// when there is none.
func compare(from *document.Document, data []byte) Check {
	if from == nil {
		from = &document.Document{}
	}
	res := Check{Generation: from.Generation, Problems: []Problem{}, Operations: []document.Operation{}}
	to, err := document.Parse(data)
	var invalid *document.InvalidError
	if errors.As(err, &invalid) {
		for _, p := range invalid.Problems {
			res.Problems = append(res.Problems, Problem{Path: p.Path, Message: p.Message})
		}
		res.Omitted = invalid.Omitted
		return res
	}
	operations := document.Compare(from, to).Operations
	if len(operations) > maxOperations {
		res.Omitted = len(operations) - maxOperations
		operations = operations[:maxOperations]
	}
	res.Operations = append(res.Operations, operations...)
	return res
}
