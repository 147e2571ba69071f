package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"damasktrail.dev"
	"damasktrail.dev/coordinator"
	"damasktrail.dev/dispatch"
	"damasktrail.dev/fleet"
	"damasktrail.dev/internal/response"
	"damasktrail.dev/telemetry"
	"damasktrail.dev/upstream"
)

const (
	// maxDials is the number of endpoints that may fail to accept a connection
	// before a request is given up. An endpoint that has crashed refuses connections
	// at once.
	maxDials = 6
	// maxBufferedBytes is the size up to which an answer that is not a stream is
	// received completely before any of it is relayed, so that the request can be
	// sent again when its answer is cut off.
	maxBufferedBytes = 256 << 10
)

// errTimeout cancels a request at its deadline.
var errTimeout = errors.New("the time for the answer is over")

// serve answers one request from a caller.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	g.openRequests.Add(1)
	defer g.openRequests.Add(-1)
	if g.drainStart.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	c, st := g.admit(w, r)
	defer c.releaseMemory()
	if st != nil {
		c.refuse(w, st)
		return
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	stop := g.clock.Schedule(c.deadline.Sub(g.clock.Now()), func(time.Time) { cancel(errTimeout) })
	defer stop()
	g.retryShare(c.serviceName).Deposit()
	c.run(ctx, w)
}

// run makes attempts until one yields an answer or no other is allowed.
func (c *call) run(ctx context.Context, w http.ResponseWriter) {
	out := &relay{call: c, writer: w}
	for failedDials := 0; ; {
		grant, st := c.acquire(ctx)
		if st != nil {
			c.finish(ctx, out, st)
			return
		}
		a, err := c.send(ctx, grant, out.lastEventID)
		if err != nil {
			var failure *upstream.Error
			if errors.As(err, &failure) && !failure.Sent && ctx.Err() == nil {
				grant.Done(dispatch.Unreachable, 0)
				c.g.recordUnreachable(grant.Endpoint)
				failedDials++
				if failedDials < maxDials {
					c.recordRetry(grant, damasktrail.ReasonLost, err)
					continue
				}
				c.finish(ctx, out, notRunError(http.StatusServiceUnavailable, damasktrail.ReasonLost, notReadyRetryAfter, "no endpoint takes connections"))
				return
			}
			c.mayHaveRun = true
			if c.handleLost(ctx, grant, err, false) {
				continue
			}
			c.finish(ctx, out, c.unknownOutcome(ctx, err))
			return
		}
		again, st := c.handleAnswer(ctx, grant, a, out)
		if again {
			continue
		}
		c.finish(ctx, out, st)
		return
	}
}

// send sends the request to the endpoint of the grant.
func (c *call) send(ctx context.Context, grant *coordinator.Slot, lastEventID string) (*upstream.Answer, error) {
	g := c.g
	c.endpoint = grant.Endpoint.ID
	if grant.Choice.Waited {
		g.metrics.Count("better_turns_awaited", 1)
	}
	g.log.InfoContext(telemetry.Routine, "request sent", "id", c.fields.ID, "endpoint", c.endpoint, "coordinator", grant.Coordinator, "address", grant.Endpoint.Address, "send", c.sends+1, "wait", c.waitTime,
		"own", grant.Choice.Own, "peers", grant.Choice.Peers, "pace", grant.Choice.Pace, "free", grant.Choice.Free, "percent", grant.Choice.Percent, "factor", grant.Choice.Factor.String(), "after", lastEventID)
	header := g.dialect.Forward(c.request.Header, damasktrail.Dispatch{
		Endpoint:     grant.Endpoint.ID,
		Organisation: c.organisation.Name,
		Remaining:    c.deadline.Sub(g.clock.Now()),
		LastEvent:    lastEventID,
	})
	c.sentAt = g.clock.Now()
	a, err := g.pool.Do(ctx, grant.Endpoint, upstream.Call{
		ID: c.fields.ID, Method: c.request.Method, Target: c.target, Host: c.request.Host, Header: header, Body: c.body,
		Matches: c.match,
	})
	var failure *upstream.Error
	if err == nil || errors.As(err, &failure) && failure.Sent {
		c.sends++
	}
	return a, err
}

// match says whether an answer of an endpoint belongs to the request. A refusal may lack
// the ID.
func (c *call) match(status int, h http.Header) upstream.Match {
	f := c.g.dialect.Answer(status, h)
	switch {
	case f.ID == c.fields.ID:
		return upstream.Own
	case f.ID == "" && f.NotRun:
		return upstream.Unnamed
	}
	return upstream.Other
}

// handleAnswer relays an answer. It reports whether the request is to be sent
// again; otherwise the error, if any, says why the answer was not relayed.
func (c *call) handleAnswer(ctx context.Context, grant *coordinator.Slot, a *upstream.Answer, out *relay) (again bool, st *statusError) {
	defer a.Close()
	fields := c.g.dialect.Answer(a.Status, a.Header)
	c.recordNotice(grant.Endpoint, fields.Notice)
	grant.Stated(fields.Load)
	out.load, out.loadAt = fields.Load, c.g.clock.Now()
	if fields.NotRun {
		return c.handleNotRun(grant, a)
	}
	c.mayHaveRun = true
	if a.Header.Get("Content-Encoding") != "" {
		err := errors.New("answer has an encoding that nobody asked for")
		return c.handleLost(ctx, grant, err, true), c.unknownOutcome(ctx, err)
	}
	if a.Status >= http.StatusInternalServerError && !out.headerSent && c.route.Repeatable() && c.takeRetry() {
		a.Discard()
		grant.Done(dispatch.Failed, 0)
		c.recordRetry(grant, damasktrail.ReasonCrashed, nil)
		return true, nil
	}
	err := out.forward(a, grant)
	switch {
	case err == nil && a.Status >= http.StatusInternalServerError:
		grant.Done(dispatch.Failed, 0)
		return false, nil
	case err == nil:
		c.recordAnswer(c.endpoint, c.sentAt, a.Status, a.Delimited() || out.attemptEvents >= soundEvents)
		grant.Done(dispatch.Answered, out.pace())
		return false, nil
	case errors.Is(err, errCallerGone):
		grant.Done(dispatch.Cancelled, 0)
		return false, c.unknownOutcome(ctx, err)
	}
	return c.handleLost(ctx, grant, err, out.attemptEvents >= soundEvents), c.unknownOutcome(ctx, err)
}

// recordNotice records what an endpoint says of itself.
func (c *call) recordNotice(e fleet.Endpoint, n fleet.Notice) {
	g := c.g
	news := g.notices.Add(e, n, c.sentAt, g.clock.Now())
	g.recordCold(e, n)
	if news.Closure {
		if n.Leaving {
			g.metrics.Count("endpoints_leaving", 1)
		} else {
			g.metrics.Count("endpoint_pauses", 1)
		}
		g.log.Info("endpoint wants no requests", "endpoint", e.ID, "service", e.Service, "leaving", n.Leaving, "pause", n.Pause, "id", c.fields.ID)
	}
	if news.Limit {
		perSecond, limited := g.notices.Limited()[e.Process()]
		g.metrics.Count("endpoint_limit_changes", 1)
		g.log.Info("endpoint changed its limit", "endpoint", e.ID, "service", e.Service, "limited", limited, "rate", perSecond, "id", c.fields.ID)
	}
}

// handleNotRun handles an endpoint's answer that it did not run the request.
func (c *call) handleNotRun(grant *coordinator.Slot, a *upstream.Answer) (again bool, st *statusError) {
	a.Discard()
	result, reason := dispatch.Full, damasktrail.ReasonFull
	if a.Status == http.StatusMisdirectedRequest {
		result, reason = dispatch.Broken, damasktrail.ReasonMismatch
	}
	grant.Done(result, 0)
	if c.sends < c.route.Attempts && c.g.retryShare(c.serviceName).Take() {
		c.recordRetry(grant, reason, nil)
		return true, nil
	}
	if c.mayHaveRun {
		return false, c.unknownOutcome(context.Background(), errors.New("the last endpoint did not run the request"))
	}
	return false, notRunError(http.StatusServiceUnavailable, reason, notReadyRetryAfter, "the endpoint did not run the request")
}

// handleLost handles an attempt that ended without a complete answer, and reports
// whether the request is to be sent again. begun says that the answer was sound until
// then, so that it is not the request that crashed the endpoint.
func (c *call) handleLost(ctx context.Context, grant *coordinator.Slot, err error, begun bool) bool {
	if ctx.Err() != nil {
		grant.Done(dispatch.Cancelled, 0)
		return false
	}
	c.g.log.Info("answer lost", "id", c.fields.ID, "endpoint", c.endpoint, "service", c.serviceName, "organisation", c.organisation.Name,
		"parts", formatParts(c.fields.SharedParts), "events", c.eventCount, "fingerprint", strconv.FormatUint(c.fingerprint, 16), "error", err)
	result := dispatch.Broken
	if lostReason(err) == damasktrail.ReasonGarbled {
		c.g.log.Warn("endpoint sends bytes that are no answer", "endpoint", c.endpoint, "line", malformedLine(err), "error", err)
	} else if !begun && c.recordLoss(ctx, grant.Endpoint) {
		result = dispatch.Unreachable
	}
	grant.Done(result, 0)
	if ctx.Err() == nil && c.route.Repeatable() && !c.g.evidence.Suspected(c.features) && c.takeRetry() {
		c.recordRetry(grant, lostReason(err), err)
		return true
	}
	return false
}

// formatParts returns the parts of a prompt as hexadecimal numbers.
func formatParts(parts []uint64) string {
	var b strings.Builder
	for i, part := range parts {
		if i > 0 {
			b.WriteByte(' ')
		}
		b.WriteString(strconv.FormatUint(part, 16))
	}
	return b.String()
}

// lostReason returns the reason for which an attempt got no complete answer.
func lostReason(err error) damasktrail.Reason {
	if errors.Is(err, upstream.ErrTooLong) || errors.Is(err, errLongEvent) || errors.As(err, new(*response.MalformedError)) {
		return damasktrail.ReasonGarbled
	}
	return damasktrail.ReasonLost
}

// malformedLine returns the line that makes an answer malformed, empty if there is none.
func malformedLine(err error) string {
	var malformed *response.MalformedError
	if errors.As(err, &malformed) {
		return malformed.Line
	}
	return ""
}

// takeRetry reports whether another endpoint may run the request, and charges the
// retry to the service's share.
func (c *call) takeRetry() bool {
	return c.sends < c.route.Attempts && c.g.retryShare(c.serviceName).Take()
}

func (c *call) recordRetry(grant *coordinator.Slot, reason damasktrail.Reason, err error) {
	c.avoid = grant.Endpoint.ID
	c.g.metrics.Retried(reason)
	c.g.log.Info("request sent again", "id", c.fields.ID, "endpoint", grant.Endpoint.ID, "reason", reason, "sends", c.sends, "attempts", c.route.Attempts, "error", err)
}

// unknownOutcome returns the error for a request that may have run.
func (c *call) unknownOutcome(ctx context.Context, err error) *statusError {
	code, reason := http.StatusBadGateway, lostReason(err)
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errTimeout):
		code, reason = http.StatusGatewayTimeout, damasktrail.ReasonDeadline
	case cause != nil:
		reason = damasktrail.ReasonCancelled
	}
	return &statusError{code: code, refusal: &damasktrail.Refusal{Reason: reason, Outcome: damasktrail.Unknown, Detail: err.Error()}}
}

// finish ends the request after its last attempt. st is nil when the complete
// answer was relayed.
func (c *call) finish(ctx context.Context, out *relay, st *statusError) {
	if st == nil {
		c.logEnd("answered", out.statusCode, nil)
		return
	}
	if out.headerSent {
		c.logEnd("cut", out.statusCode, st.refusal)
		c.g.metrics.Refused(st.refusal, strconv.Itoa(c.tier))
		panic(http.ErrAbortHandler)
	}
	if c.mayHaveRun && st.refusal.Outcome == damasktrail.NotRun {
		st = c.unknownOutcome(ctx, st)
	}
	if ctx.Err() != nil && !c.mayHaveRun && errors.Is(context.Cause(ctx), errTimeout) {
		st = notRunError(http.StatusServiceUnavailable, damasktrail.ReasonDeadline, 0, errTimeout.Error())
	}
	c.refuse(out.writer, st)
}

// refuse answers the caller with a refusal and refunds the quota of a request that
// has not run.
func (c *call) refuse(w http.ResponseWriter, st *statusError) {
	r := st.refusal
	if r.Outcome == damasktrail.NotRun && c.cost > 0 {
		c.g.quotas.Refund(c.organisation.Name, c.cost, c.g.clock.Now())
	}
	c.g.metrics.Refused(r, strconv.Itoa(c.tier))
	c.measureRefusal(r)
	c.logEnd("refused", st.code, r)
	if r.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(r.RetryAfter.Seconds(), 'f', 3, 64))
	}
	c.writeRefusal(w, st)
}

// logEnd logs the end of a request and records its latencies.
func (c *call) logEnd(outcome string, code int, r *damasktrail.Refusal) {
	total := c.g.clock.Now().Sub(c.arrived)
	attrs := []any{
		"id", c.fields.ID, "table", c.tableVersion, "age", c.tableAge, "outcome", outcome, "status", code, "route", c.route.Name, "service", c.serviceName, "organisation", c.organisation.Name,
		"tier", c.tier, "endpoint", c.endpoint, "prompt", c.fields.Prompt, "output", c.fields.Output, "sends", c.sends, "ran", c.mayHaveRun, "wait", c.waitTime, "first", c.timeToFirstByte, "whole", total, "events", c.eventCount,
	}
	if r != nil {
		attrs = append(attrs, "reason", r.Reason, "detail", r.Detail, "retry", r.RetryAfter)
	}
	if outcome != "answered" {
		c.g.log.Info("request ended", attrs...)
	} else {
		c.g.log.InfoContext(telemetry.Routine, "request ended", attrs...)
	}
	if c.route.Name == "" {
		return
	}
	class := telemetry.Class{Tier: c.tier, Kind: c.route.Kind.String()}
	c.g.metrics.Latency("wait", class, c.waitTime)
	if outcome == "answered" {
		c.g.durations.add(c.route.Name, total, c.g.clock.Now())
		c.g.metrics.Latency("first", class, c.timeToFirstByte)
		c.g.metrics.Latency("whole", class, total)
		if c.eventCount > 1 {
			c.g.metrics.Latency("pace", class, (total-c.timeToFirstByte)/time.Duration(c.eventCount-1))
		}
	}
}
