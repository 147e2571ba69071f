package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"damasktrail.dev"
	"damasktrail.dev/dispatch"
	"damasktrail.dev/telemetry"
	"damasktrail.dev/upstream"
)

const (
	// maxDials is the number of endpoints that may fail to take a connection
	// before a request is given up. One that has crashed refuses them at once.
	maxDials = 6
	// maxWhole is the size in bytes up to which an answer in one piece is received
	// whole before any of it is passed on, so that one that breaks off can be
	// asked for again.
	maxWhole = 256 << 10
)

// errTimeout ends a request at its limit.
var errTimeout = errors.New("the time for the answer is over")

// serve answers one request of a caller.
func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	g.open.Add(1)
	defer g.open.Add(-1)
	if g.draining.Load() != nil {
		w.Header().Set("Connection", "close")
	}
	c, st := g.admit(w, r)
	if st != nil {
		c.refuse(w, st)
		return
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	stop := g.clock.Schedule(c.limit.Sub(g.clock.Now()), func(time.Time) { cancel(errTimeout) })
	defer stop()
	g.retry(c.target).Fresh()
	c.run(ctx, w)
}

// run makes attempts until one gives an answer or none is left.
func (c *call) run(ctx context.Context, w http.ResponseWriter) {
	out := &relay{call: c, writer: w}
	for dials := 0; ; {
		grant, st := c.acquire(ctx)
		if st != nil {
			c.finish(ctx, out, st)
			return
		}
		a, err := c.send(ctx, grant, out.last)
		if err != nil {
			var failure *upstream.Error
			if errors.As(err, &failure) && !failure.Sent && ctx.Err() == nil {
				grant.Done(dispatch.Unreachable, 0)
				c.g.noteDown(c.endpoint)
				dials++
				if dials < maxDials {
					c.retried(grant, damasktrail.ReasonLost, err)
					continue
				}
				c.finish(ctx, out, deny(http.StatusServiceUnavailable, damasktrail.ReasonLost, notReadyRetry, "no endpoint takes connections"))
				return
			}
			c.mayHaveRun = true
			if c.lost(ctx, grant, err) {
				continue
			}
			c.finish(ctx, out, c.unknown(ctx, err))
			return
		}
		again, st := c.take(ctx, grant, a, out)
		if again {
			continue
		}
		c.finish(ctx, out, st)
		return
	}
}

// send sends the request to the endpoint of the grant.
func (c *call) send(ctx context.Context, grant *dispatch.Grant, last string) (*upstream.Answer, error) {
	g := c.g
	c.endpoint = grant.Endpoint.ID
	g.log.InfoContext(telemetry.Routine, "request sent", "id", c.fields.ID, "endpoint", c.endpoint, "address", grant.Endpoint.Address, "send", c.sends+1, "wait", c.waited,
		"own", grant.Choice.Own, "peers", grant.Choice.Peers, "pace", grant.Choice.Pace, "free", grant.Choice.Free, "after", last)
	header := g.dialect.Forward(c.request.Header, damasktrail.Dispatch{
		Endpoint:     grant.Endpoint.ID,
		Organisation: c.organisation.Name,
		Left:         c.limit.Sub(g.clock.Now()),
		LastEvent:    last,
	})
	target := c.request.RequestURI
	if target == "" || target[0] != '/' {
		target = c.request.URL.RequestURI()
	}
	a, err := g.pool.Do(ctx, grant.Endpoint, upstream.Call{
		Method: c.request.Method, Target: target, Host: c.request.Host, Header: header, Body: c.body,
		Matches: func(code int, h http.Header) bool {
			f := g.dialect.Answer(code, h)
			return f.ID == c.fields.ID || f.ID == "" && f.NotRun
		},
	})
	var failure *upstream.Error
	if err == nil || errors.As(err, &failure) && failure.Sent {
		c.sends++
	}
	return a, err
}

// take passes an answer on. It reports whether the request is to be sent again;
// otherwise the status, if any, says why the answer was not passed on.
func (c *call) take(ctx context.Context, grant *dispatch.Grant, a *upstream.Answer, out *relay) (again bool, st *status) {
	defer a.Close()
	fields := c.g.dialect.Answer(a.Status, a.Header)
	if fields.NotRun {
		return c.notRun(grant, a)
	}
	c.mayHaveRun = true
	if a.Header.Get("Content-Encoding") != "" {
		err := errors.New("answer has an encoding that nobody asked for")
		return c.lost(ctx, grant, err), c.unknown(ctx, err)
	}
	if a.Status >= http.StatusInternalServerError && !out.begun && c.route.Repeatable() && c.mayRepeat() {
		_, _ = io.Copy(io.Discard, a)
		grant.Done(dispatch.Failed, 0)
		c.retried(grant, damasktrail.ReasonCrashed, nil)
		return true, nil
	}
	err := out.pass(a, grant)
	switch {
	case err == nil && a.Status >= http.StatusInternalServerError:
		grant.Done(dispatch.Failed, 0)
		return false, nil
	case err == nil:
		c.g.noteSound(c.endpoint)
		grant.Done(dispatch.Answered, out.pace())
		return false, nil
	case errors.Is(err, errCaller):
		grant.Done(dispatch.Cancelled, 0)
		return false, c.unknown(ctx, err)
	}
	return c.lost(ctx, grant, err), c.unknown(ctx, err)
}

// notRun handles an endpoint's word that it did not run the request.
func (c *call) notRun(grant *dispatch.Grant, a *upstream.Answer) (again bool, st *status) {
	_, _ = io.Copy(io.Discard, a)
	result, reason := dispatch.Full, damasktrail.ReasonFull
	if a.Status == http.StatusMisdirectedRequest {
		result, reason = dispatch.Broken, damasktrail.ReasonMismatch
	}
	grant.Done(result, 0)
	if c.sends < c.route.Attempts && c.g.retry(c.target).Take() {
		c.retried(grant, reason, nil)
		return true, nil
	}
	if c.mayHaveRun {
		return false, c.unknown(context.Background(), errors.New("the last endpoint did not run the request"))
	}
	return false, deny(http.StatusServiceUnavailable, reason, notReadyRetry, "the endpoint did not run the request")
}

// lost handles an attempt that ended without its whole answer, and reports
// whether the request is to be sent again.
func (c *call) lost(ctx context.Context, grant *dispatch.Grant, err error) bool {
	if ctx.Err() != nil {
		grant.Done(dispatch.Cancelled, 0)
		return false
	}
	grant.Done(dispatch.Broken, 0)
	c.g.noteLoss(c.endpoint, c.fingerprint)
	if c.route.Repeatable() && c.mayRepeat() {
		c.retried(grant, damasktrail.ReasonLost, err)
		return true
	}
	return false
}

// mayRepeat reports whether another endpoint may run the request, and counts it.
func (c *call) mayRepeat() bool {
	return c.sends < c.route.Attempts && c.g.retry(c.target).Take()
}

func (c *call) retried(grant *dispatch.Grant, reason damasktrail.Reason, err error) {
	c.avoid = grant.Endpoint.ID
	c.g.metrics.Retried(reason)
	c.g.log.Info("request sent again", "id", c.fields.ID, "endpoint", grant.Endpoint.ID, "reason", reason, "sends", c.sends, "attempts", c.route.Attempts, "error", err)
}

// unknown returns the status of a request that may have run.
func (c *call) unknown(ctx context.Context, err error) *status {
	code, reason := http.StatusBadGateway, damasktrail.ReasonLost
	switch cause := context.Cause(ctx); {
	case errors.Is(cause, errTimeout):
		code, reason = http.StatusGatewayTimeout, damasktrail.ReasonDeadline
	case cause != nil:
		reason = damasktrail.ReasonCancelled
	}
	return &status{code: code, refusal: &damasktrail.Refusal{Reason: reason, Outcome: damasktrail.Unknown, Detail: err.Error()}}
}

// finish ends the request after its last attempt. The status is nil when the
// whole answer was passed on.
func (c *call) finish(ctx context.Context, out *relay, st *status) {
	if st == nil {
		c.ended("answered", out.code, nil)
		return
	}
	if out.begun {
		c.ended("cut", out.code, st.refusal)
		c.g.metrics.Refused(st.refusal, strconv.Itoa(c.tier))
		panic(http.ErrAbortHandler)
	}
	if c.mayHaveRun && st.refusal.Outcome == damasktrail.NotRun {
		st = c.unknown(ctx, st)
	}
	if ctx.Err() != nil && !c.mayHaveRun && errors.Is(context.Cause(ctx), errTimeout) {
		st = deny(http.StatusServiceUnavailable, damasktrail.ReasonDeadline, 0, errTimeout.Error())
	}
	c.refuse(out.writer, st)
}

// refuse tells the caller that there is no answer.
func (c *call) refuse(w http.ResponseWriter, st *status) {
	r := st.refusal
	if r.Outcome == damasktrail.NotRun && c.cost > 0 {
		c.g.quotas.Return(c.organisation.Name, c.cost)
	}
	c.g.metrics.Refused(r, strconv.Itoa(c.tier))
	c.ended("refused", st.code, r)
	if r.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.FormatFloat(r.RetryAfter.Seconds(), 'f', 3, 64))
	}
	http.Error(w, r.Detail, st.code)
}

// ended writes the last line about a request.
func (c *call) ended(outcome string, code int, r *damasktrail.Refusal) {
	whole := c.g.clock.Now().Sub(c.arrived)
	attrs := []any{
		"id", c.fields.ID, "table", c.version, "age", c.age, "outcome", outcome, "status", code, "route", c.route.Name, "service", c.target, "organisation", c.organisation.Name,
		"tier", c.tier, "endpoint", c.endpoint, "prompt", c.fields.Prompt, "output", c.fields.Output, "sends", c.sends, "ran", c.mayHaveRun, "wait", c.waited, "first", c.firstByte, "whole", whole, "events", c.events,
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
	c.g.metrics.Latency("wait", class, c.waited)
	if outcome == "answered" {
		c.g.metrics.Latency("first", class, c.firstByte)
		c.g.metrics.Latency("whole", class, whole)
		if c.events > 1 {
			c.g.metrics.Latency("pace", class, (whole-c.firstByte)/time.Duration(c.events-1))
		}
	}
}
