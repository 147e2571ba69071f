package entry

import (
	"context"
	"time"

	"damasktrail.dev"
	"damasktrail.dev/ticket"
)

// ticketLinkTimeout bounds the wait for a link to the agent of a ticket.
const ticketLinkTimeout = 3 * time.Second

// runTicket serves a request with a ticket. It sends it only to the agent and
// incarnation that issued the ticket, whatever happens there.
func (e *Entry) runTicket(ctx context.Context, c *call, out *output) *damasktrail.Refusal {
	name, incarnation, err := ticket.Target(c.ticket)
	if err != nil {
		return malformed("%v", err)
	}
	for tries := 0; ; tries++ {
		s := e.snapshot.Load()
		r, sess := e.ticketAgent(ctx, name)
		if sess == nil {
			return &damasktrail.Refusal{
				Reason: damasktrail.ReasonLost, Outcome: damasktrail.Unknown,
				RetryAfter: defaultRetryAfter, Detail: "the agent of the ticket cannot be reached",
			}
		}
		if sess.incarnation != incarnation {
			return &damasktrail.Refusal{
				Reason: damasktrail.ReasonIncarnation, Outcome: damasktrail.Unknown,
				Detail: "the agent of the ticket was replaced",
			}
		}
		out.reset()
		refusal := e.attempt(ctx, s, c, r, out)
		if refusal == nil {
			return nil
		}
		linkLost := !c.sent && sess.ended(e.clock.Now())
		if out.started() || ctx.Err() != nil || refusal.Reason != damasktrail.ReasonStale && !linkLost {
			return e.finalRefusal(ctx, refusal, false)
		}
		if tries >= maxStaleRetries {
			return refusal
		}
		if !linkLost {
			e.catchUp(ctx, r)
		}
		e.metrics.Retried(refusal.Reason)
	}
}

// ticketAgent returns the named agent and its live session, or nil if it cannot be
// reached in time. It connects to the agent if that is outside the subset.
func (e *Entry) ticketAgent(ctx context.Context, name string) (*remoteAgent, *session) {
	if r, sess := e.linkedAgent(name); sess != nil {
		return r, sess
	}
	until := e.clock.Now().Add(ticketAgentTTL)
	e.post(func(c *control) {
		if l := e.members.Load(); l != nil {
			if _, found := l.VM(name); found {
				c.ticketAgents[name] = until
				c.linkInputs.dirty = true
			}
		}
	})
	ctx, cancel := context.WithTimeout(ctx, ticketLinkTimeout)
	defer cancel()
	for {
		if r, sess := e.linkedAgent(name); sess != nil {
			return r, sess
		}
		if e.clock.Sleep(ctx, redialBackoffMin) != nil {
			return nil, nil
		}
	}
}

// linkedAgent returns the named agent and its live session, or nil if it has none.
func (e *Entry) linkedAgent(name string) (*remoteAgent, *session) {
	r := e.snapshot.Load().agents[name]
	if r == nil {
		return nil, nil
	}
	return r, r.liveSession(e.clock.Now())
}
