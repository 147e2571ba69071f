package entry

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gin-gonic/gin"

	"damasktrail.dev"
)

const (
	chatPath     = "/v1/chat/completions"
	ticketsPath  = "/v1/tickets"
	servicesPath = "/v1/services/"
)

// bodyReadTimeout bounds the time to read a request's body.
const bodyReadTimeout = 30 * time.Second

// routes returns the HTTP handler of the callers' interface.
func (e *Entry) routes() http.Handler {
	gin.SetMode(gin.ReleaseMode)
	// No recovery middleware: net/http confines a panic to its own request, and
	// abort panics with http.ErrAbortHandler on purpose.
	g := gin.New()
	g.HandleMethodNotAllowed = true
	g.Use(releaseMemory)
	g.POST(chatPath, e.handleChat)
	g.POST("/v1/completions", e.handleChat)
	g.GET("/v1/models", e.handleModels)
	g.POST(ticketsPath, e.handleTicket)
	g.Any(servicesPath+":name/*path", e.handleService)
	g.NoRoute(func(c *gin.Context) {
		writeRefusal(c.Writer, &damasktrail.Refusal{
			Reason: damasktrail.ReasonNoModel, Outcome: damasktrail.NotRun,
			Detail: fmt.Sprintf("path %q does not exist", c.Request.URL.Path),
		}, false)
	})
	return g
}

// readRequest authenticates a request and reads its body. It is the first step
// of all handlers.
func (e *Entry) readRequest(g *gin.Context) (*snapshot, *call, *damasktrail.Refusal) {
	s := e.snapshot.Load()
	if s == nil {
		return nil, &call{}, &damasktrail.Refusal{
			Reason: damasktrail.ReasonNotReady, Outcome: damasktrail.NotRun,
			RetryAfter: defaultRetryAfter, Detail: "the entry has no document yet",
		}
	}
	c := &call{
		id:          e.incarnation + "-" + strconv.FormatUint(e.lastRequestID.Add(1), 36),
		method:      g.Request.Method,
		path:        g.Request.URL.Path,
		contentType: g.GetHeader("Content-Type"),
		idempotent:  true,
		arrived:     e.clock.Now(),
	}
	// The ticket is set before the request can be refused: only an agent may say
	// that a request with a ticket was not run.
	if c.path != ticketsPath && (g.GetHeader(headerIdempotent) == "false" || strings.HasPrefix(c.path, servicesPath)) {
		c.ticket = g.GetHeader(headerTicket)
	}
	if refusal := c.authenticate(s.document, g.Request.Header); refusal != nil {
		return s, c, refusal
	}
	_ = http.NewResponseController(g.Writer).SetReadDeadline(time.Now().Add(bodyReadTimeout))
	if refusal := e.readBody(g, c); refusal != nil {
		return s, c, refusal
	}
	_ = http.NewResponseController(g.Writer).SetReadDeadline(time.Time{})
	return s, c, nil
}

// handleChat serves chat completions and plain completions.
func (e *Entry) handleChat(g *gin.Context) {
	s, c, refusal := e.readRequest(g)
	if refusal == nil {
		refusal = c.readChat(s.document)
	}
	if refusal == nil {
		refusal = c.readOptions(g.Request.Header)
	}
	e.serve(g, c, refusal)
}

// handleService serves a call of a plain service.
func (e *Entry) handleService(g *gin.Context) {
	s, c, refusal := e.readRequest(g)
	if refusal == nil {
		refusal = c.readService(s.document, g.Param("name"), g.Param("path"), g.Request.URL.RawQuery)
	}
	if refusal == nil {
		refusal = c.readOptions(g.Request.Header)
	}
	e.serve(g, c, refusal)
}

// serve runs a request that was read, or refuses it.
func (e *Entry) serve(g *gin.Context, c *call, refusal *damasktrail.Refusal) {
	if refusal != nil {
		e.refuse(g.Writer, c, refusal)
		return
	}
	c.fillRequest(e.stats.newRequest(c.organisation.Name, c.target, len(c.body)))
	if refusal := e.limits.acquire(c.organisation, c.arrived); refusal != nil {
		e.refuse(g.Writer, c, refusal)
		return
	}
	defer e.limits.release(c.organisation.Name)
	ctx, slot := e.gate.acquire(g.Request.Context(), c.tier.Rank)
	if slot == nil {
		e.refuse(g.Writer, c, errShed.WithOutcome(damasktrail.NotRun))
		return
	}
	defer slot.release()
	out := newOutput(g.Writer, c.stream, slot)
	refusal = e.run(ctx, c, out)
	switch {
	case refusal == nil:
		e.metrics.Count("answers", 1)
	case out.started():
		e.recordRefusal(c, refusal)
		out.abort(refusal)
	case g.Request.Context().Err() != nil:
		e.recordRefusal(c, refusal) // The caller left; nothing can be written.
	default:
		e.refuse(g.Writer, c, refusal)
	}
}

func (e *Entry) recordRefusal(c *call, r *damasktrail.Refusal) {
	e.metrics.Refused(r, c.tier.Name)
	e.log.Debug("refused", "id", c.id, "reason", r.Reason, "outcome", r.Outcome, "detail", r.Detail)
}

// refuse answers a request with a refusal. Only the agent of a ticket may say
// that its request was not run, because another entry may have sent it.
func (e *Entry) refuse(w http.ResponseWriter, c *call, r *damasktrail.Refusal) {
	if c.ticket != "" && !c.notRunConfirmed {
		r = r.WithOutcome(damasktrail.Unknown)
	}
	e.recordRefusal(c, r)
	writeRefusal(w, r, c.idempotent || r.Outcome == damasktrail.NotRun)
}

// handleModels lists the models of the document.
func (e *Entry) handleModels(g *gin.Context) {
	s, c, refusal := e.readRequest(g)
	if refusal != nil {
		e.refuse(g.Writer, c, refusal)
		return
	}
	type model struct {
		ID      string `json:"id"`
		Object  string `json:"object"`
		Created int64  `json:"created"`
		OwnedBy string `json:"owned_by"`
	}
	list := make([]model, 0, len(s.document.Models))
	for _, m := range s.document.Models {
		list = append(list, model{ID: m.Name, Object: "model", OwnedBy: "damasktrail"})
	}
	g.JSON(http.StatusOK, gin.H{"object": "list", "data": list})
}

// ticketBody asks for a ticket for a model or a service.
type ticketBody struct {
	Model   string `json:"model"`
	Service string `json:"service"`
}

// ticketAnswer is a ticket and its remaining lifetime in milliseconds.
type ticketAnswer struct {
	Ticket        string `json:"ticket"`
	ExpiresMillis int64  `json:"expires"`
}

// handleTicket issues a ticket through an agent.
func (e *Entry) handleTicket(g *gin.Context) {
	s, c, refusal := e.readRequest(g)
	if refusal == nil {
		refusal = c.readTicket(s.document)
	}
	if refusal == nil {
		if refusal = e.limits.acquire(c.organisation, c.arrived); refusal == nil {
			defer e.limits.release(c.organisation.Name)
		}
	}
	if refusal != nil {
		e.refuse(g.Writer, c, refusal)
		return
	}
	c.fillRequest(damasktrail.Cost{}, 0)
	t, refusal := e.issueTicket(g.Request.Context(), c)
	if refusal != nil {
		e.refuse(g.Writer, c, refusal)
		return
	}
	g.JSON(http.StatusOK, t)
}

// issueTicket asks the chosen agent for a ticket, and then others if it issues
// none.
func (e *Entry) issueTicket(ctx context.Context, c *call) (res ticketAnswer, refusal *damasktrail.Refusal,
) {
	excluded := map[string]bool{}
	for {
		s := e.snapshot.Load()
		r := e.choose(s, c, excluded)
		if r == nil {
			return res, &damasktrail.Refusal{
				Reason: damasktrail.ReasonNotReady, Outcome: damasktrail.NotRun,
				RetryAfter: defaultRetryAfter, Detail: "no endpoint gives a ticket now",
			}
		}
		excluded[r.vm.Name] = true
		sess := r.session.Load()
		if sess == nil {
			continue
		}
		wait, cancel := context.WithTimeout(ctx, dialTimeout)
		t, err := sess.requestTicket(wait, c.organisation.Name, c.target)
		cancel()
		if err == nil && t.Refusal == nil {
			res.Ticket, res.ExpiresMillis = t.Ticket, t.ExpiresInMillis
			return res, nil
		}
		if ctx.Err() != nil {
			return res, &damasktrail.Refusal{
				Reason: damasktrail.ReasonCancelled, Outcome: damasktrail.NotRun, Detail: "the caller is gone",
			}
		}
	}
}

// servicePath returns the path and query that the service receives.
func servicePath(path, query string) string {
	if !strings.HasPrefix(path, "/") {
		path = "/" + path
	}
	if query != "" {
		path += "?" + query
	}
	return path
}
