package entry

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"mime"
	"net/http"
	"strconv"
	"time"

	"damasktrail.dev"
	"damasktrail.dev/document"
	"damasktrail.dev/suspect"
)

// The headers of the callers' interface.
const (
	headerTier       = "Damasktrail-Tier"
	headerDeadline   = "Damasktrail-Deadline"
	headerIdempotent = "Damasktrail-Idempotent"
	headerTicket     = "Idempotency-Key"
	headerOutcome    = "Damasktrail-Outcome"
	headerReason     = "Damasktrail-Reason"
	headerRetry      = "X-Should-Retry"
)

// call is one request of a caller. It is owned by the goroutine that serves it.
type call struct {
	id           string
	organisation document.Organisation
	tier         document.Tier
	// target is what agents serve: a model, or the set of a service.
	target      string
	method      string
	path        string
	contentType string
	body        []byte
	stream      bool
	// maxTokens is the caller's limit on the answer in tokens; zero when it set
	// none.
	maxTokens int
	// decodeP90 is the estimated 0.9 quantile of the number of generated tokens,
	// at most maxTokens if that is set.
	decodeP90 int
	// prefixes are the beginnings of the prompt, used to find agents that have
	// them cached.
	prefixes []prefix
	// idempotent is true if the request may run more than once.
	idempotent bool
	ticket     string
	// sent is true if the agent of the latest attempt may have got any byte of the
	// request.
	sent bool
	// notRunConfirmed is true if the agent of the latest attempt confirmed that it
	// did not run the request.
	notRunConfirmed bool
	arrived         time.Time
	request         damasktrail.Request
	// sharedMessages are the messages of a chat but the last, which other chats may have
	// too.
	sharedMessages []json.RawMessage
	// features is what the request may have in common with others.
	features suspect.Request
	// tried is true if the request is let through to show whether what it has in common
	// with crashed ones is innocent.
	tried bool
}

// malformed returns the refusal of a request that cannot be read.
func malformed(format string, args ...any) *damasktrail.Refusal {
	return &damasktrail.Refusal{
		Reason: damasktrail.ReasonMalformed, Outcome: damasktrail.NotRun,
		Detail: fmt.Sprintf(format, args...),
	}
}

// chatBody is the part of an OpenAI request that the entry reads.
type chatBody struct {
	Model string `json:"model"`
	// Messages holds the conversation of a chat completion.
	Messages            []json.RawMessage `json:"messages"`
	Stream              bool              `json:"stream"`
	MaxTokens           int               `json:"max_tokens"`
	MaxCompletionTokens int               `json:"max_completion_tokens"`
}

// authenticate finds the organisation of the caller's key in the document, and
// sets it and the tier.
func (c *call) authenticate(d *document.Document, h http.Header) *damasktrail.Refusal {
	unauthorised := &damasktrail.Refusal{
		Reason: damasktrail.ReasonUnauthorised, Outcome: damasktrail.NotRun, Detail: "the key is not known",
	}
	const scheme = "Bearer "
	key := h.Get("Authorization")
	if len(key) <= len(scheme) || key[:len(scheme)] != scheme {
		return unauthorised
	}
	o, found := d.OrganisationByKey(key[len(scheme):])
	if !found {
		return unauthorised
	}
	c.organisation = o
	name := o.Tiers[0]
	if wanted := h.Get(headerTier); wanted != "" {
		name = ""
		for _, t := range o.Tiers {
			if t == wanted {
				name = t
			}
		}
		if name == "" {
			return malformed("organisation %q may not use tier %q", o.Name, wanted)
		}
	}
	c.tier, _ = d.Tier(name)
	return nil
}

// readOptions reads the headers with the deadline, the mark for non-idempotent
// requests and the ticket.
func (c *call) readOptions(h http.Header) *damasktrail.Refusal {
	c.request.Deadline = c.tier.Deadline
	if text := h.Get(headerDeadline); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms <= 0 {
			return malformed("%s must be a positive number of milliseconds, not %q", headerDeadline, text)
		}
		if ms < c.tier.Deadline.Milliseconds() {
			c.request.Deadline = time.Duration(ms) * time.Millisecond
		}
	}
	switch text := h.Get(headerIdempotent); text {
	case "":
	case "true":
		// No effect: the document lists the repeatable methods of a service, and
		// the caller cannot allow others.
	case "false":
		c.idempotent = false
	default:
		return malformed("%s must be true or false, not %q", headerIdempotent, text)
	}
	c.ticket = h.Get(headerTicket)
	if c.idempotent {
		// Client libraries send idempotency keys of their own with requests that may
		// be repeated.
		c.ticket = ""
		return nil
	}
	if c.ticket == "" {
		return &damasktrail.Refusal{
			Reason: damasktrail.ReasonNoKey, Outcome: damasktrail.NotRun,
			Detail: "a non-idempotent request needs a ticket from POST /v1/tickets in " + headerTicket,
		}
	}
	return nil
}

// readChat reads the body of an OpenAI request.
func (c *call) readChat(d *document.Document) *damasktrail.Refusal {
	if t, _, err := mime.ParseMediaType(c.contentType); err != nil || t != "application/json" {
		return malformed("the content type must be application/json, not %q", c.contentType)
	}
	var b chatBody
	if err := json.Unmarshal(c.body, &b); err != nil {
		return malformed("the body is not valid JSON: %v", err)
	}
	m, found := d.Model(b.Model)
	if !found {
		return &damasktrail.Refusal{
			Reason: damasktrail.ReasonNoModel, Outcome: damasktrail.NotRun,
			Detail: fmt.Sprintf("model %q does not exist", b.Model),
		}
	}
	if c.path == chatPath && len(b.Messages) == 0 {
		return malformed("a chat completion needs at least one message")
	}
	c.target, c.stream = m.Name, b.Stream
	if len(b.Messages) > 0 {
		c.sharedMessages = b.Messages[:len(b.Messages)-1]
	}
	c.maxTokens = max(b.MaxTokens, b.MaxCompletionTokens)
	return nil
}

// fillRequest fills in the fields that scheduling decisions use: cost, tier,
// prefixes and fingerprint.
func (c *call) fillRequest(cost damasktrail.Cost, decodeP90 int) {
	c.decodeP90 = decodeP90
	if c.maxTokens > 0 {
		cost.Decode = min(cost.Decode, c.maxTokens)
		c.decodeP90 = min(c.decodeP90, c.maxTokens)
	}
	c.request.Cost = cost
	c.request.Organisation = c.organisation.Name
	c.request.Model = c.target
	c.request.Tier = c.tier.Rank
	c.prefixes = prefixesOf(c.target, c.body)
	c.request.Fingerprint = digest(c.organisation.Name, c.target, c.path, string(c.body))
	parts := make([]suspect.Feature, len(c.sharedMessages))
	for i, m := range c.sharedMessages {
		parts[i] = digest(c.target, string(m))
	}
	c.features = suspect.NewRequest(c.request.Fingerprint, parts)
}

func digest(parts ...string) uint64 {
	h := fnv.New64a()
	for _, p := range parts {
		_, _ = h.Write([]byte(strconv.Itoa(len(p))))
		_, _ = h.Write([]byte{':'})
		_, _ = h.Write([]byte(p))
	}
	return h.Sum64()
}

// remaining returns the time until the deadline.
func (c *call) remaining(now time.Time) time.Duration {
	return c.request.Deadline - now.Sub(c.arrived)
}

// readService reads a call of a plain service.
func (c *call) readService(d *document.Document, name, path, query string) *damasktrail.Refusal {
	s, found := d.Service(name)
	if !found {
		return &damasktrail.Refusal{
			Reason: damasktrail.ReasonNoModel, Outcome: damasktrail.NotRun,
			Detail: fmt.Sprintf("service %q does not exist", name),
		}
	}
	c.target = s.Set
	c.path = servicePath(path, query)
	c.idempotent = false
	for _, m := range s.Idempotent {
		if m == c.method {
			c.idempotent = true
		}
	}
	return nil
}

// readTicket reads the body of a request for a ticket.
func (c *call) readTicket(d *document.Document) *damasktrail.Refusal {
	var b ticketBody
	if err := json.Unmarshal(c.body, &b); err != nil {
		return malformed("the body is not valid JSON: %v", err)
	}
	if (b.Model == "") == (b.Service == "") {
		return malformed("the body must name either a model or a service")
	}
	c.target = b.Model
	if b.Service != "" {
		s, found := d.Service(b.Service)
		if !found {
			return &damasktrail.Refusal{
				Reason: damasktrail.ReasonNoModel, Outcome: damasktrail.NotRun,
				Detail: fmt.Sprintf("service %q does not exist", b.Service),
			}
		}
		c.target = s.Set
		return nil
	}
	if _, found := d.Model(b.Model); !found {
		return &damasktrail.Refusal{
			Reason: damasktrail.ReasonNoModel, Outcome: damasktrail.NotRun,
			Detail: fmt.Sprintf("model %q does not exist", b.Model),
		}
	}
	return nil
}
