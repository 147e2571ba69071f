package agent

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"damasktrail.dev"
	"damasktrail.dev/limit"
	"damasktrail.dev/queue"
	"damasktrail.dev/suspect"
	"damasktrail.dev/ticket"
)

// trackedRequest is a request with the decisions that the control state made on
// it.
type trackedRequest struct {
	w          *work
	arrived    time.Time
	dispatches int
	refusal    *damasktrail.Refusal
	finished   bool
}

// machine applies random events to the control state, one after the other.
type machine struct {
	t        *rapid.T
	c        *control
	now      time.Time
	issuer   *ticket.Issuer
	requests []*trackedRequest
	// tickets holds the tickets issued so far.
	tickets []string
}

func newMachine(t *rapid.T) *machine {
	now := time.Unix(1000, 0)
	issuer := ticket.NewIssuer("a", "i", []byte("secret"), now)
	settings := limit.Defaults()
	settings.Min, settings.Max = 2, 4
	m := &machine{
		t: t, now: now, issuer: issuer,
		c: newControl(queue.Limits{Requests: 6, Prefill: 600}, limit.New(settings), ticket.NewLedger(issuer, 1<<10), 1),
	}
	m.c.recordHealthCheck(true, now)
	return m
}

// arrive admits a request with a random prompt.
func (m *machine) arrive(tier int, fingerprint uint64, ticketText string) {
	m.admit(rapid.IntRange(1, 300).Draw(m.t, "prefill"), tier, fingerprint, ticketText)
}

// admit admits a request whose prompt has the given number of tokens.
func (m *machine) admit(prefill, tier int, fingerprint uint64, ticketText string) {
	x := &trackedRequest{arrived: m.now}
	x.w = &work{
		id:     fmt.Sprintf("r%d", len(m.requests)),
		ticket: ticketText,
		stream: true,
		request: damasktrail.Request{
			Organisation: "o", Model: "m", Tier: tier, Fingerprint: fingerprint,
			Cost:     damasktrail.Cost{Prefill: prefill, Decode: 10},
			Deadline: 20 * time.Second,
		},
		start:  func() { x.dispatches++ },
		refuse: func(r *damasktrail.Refusal) { require.Nil(m.t, x.refusal, "refused twice"); x.refusal = r },
	}
	if ticketText != "" {
		x.w.id = ticketText
		state, refusal := m.c.ledger.Begin(ticketText, "o", "m", [32]byte{1}, m.now)
		if state != ticket.Fresh {
			// A resend is never admitted a second time.
			require.True(m.t, state != ticket.None || refusal != nil)
			return
		}
	}
	m.requests = append(m.requests, x)
	m.c.admit(x.w, -1, m.now)
	if x.refusal != nil && x.refusal.Reason == damasktrail.ReasonFull {
		require.LessOrEqual(m.t, m.c.waiting.Lowest(), tier, "a lower tier waits where a higher one was refused")
	}
}

// running returns a random dispatched request that has not ended.
func (m *machine) running() *trackedRequest {
	var list []*trackedRequest
	for _, x := range m.requests {
		if x.dispatches > 0 && !x.finished {
			list = append(list, x)
		}
	}
	if len(list) == 0 {
		return nil
	}
	return list[rapid.IntRange(0, len(list)-1).Draw(m.t, "running")]
}

func (m *machine) finish(x *trackedRequest, complete bool) {
	x.finished = true
	if x.w.ticket != "" {
		if complete {
			require.True(m.t, m.c.ledger.Finish(x.w.ticket, ticket.Answer{Status: 200}))
		} else {
			require.True(m.t, m.c.ledger.Fail(x.w.ticket, cancelledRefusal()))
		}
	}
	m.c.finish(x.w, complete, m.now)
}

// checkInvariants checks what must hold after every event.
func (m *machine) checkInvariants(*rapid.T) {
	suspects := 0
	for _, x := range m.requests {
		require.LessOrEqual(m.t, x.dispatches, 1, "dispatched twice")
		if x.dispatches > 0 {
			require.True(m.t, x.refusal == nil || x.refusal.Outcome == damasktrail.Unknown, "a request that ran was reported as not run")
		}
		if x.refusal != nil && x.refusal.Outcome == damasktrail.NotRun && x.w.ticket != "" {
			state, refusal := m.c.ledger.Begin(x.w.ticket, "o", "m", [32]byte{1}, m.now)
			require.Equal(m.t, ticket.None, state, "a ticket is still valid after its request was reported as not run")
			require.NotNil(m.t, refusal)
		}
		if x.dispatches > 0 && !x.finished && m.c.suspects.Crashes(x.w.request.Fingerprint, m.now) > 0 {
			suspects++
		}
		if !m.c.leavingSince.IsZero() && x.dispatches > 0 {
			require.Less(m.t, x.w.dispatchedAt.Sub(m.c.leavingSince), ticketGrace, "work dispatched long after leaving")
		}
		if !m.c.leavingSince.IsZero() && x.arrived.After(m.c.leavingSince) {
			refuseExpected := x.w.ticket == "" || x.arrived.Sub(m.c.leavingSince) >= ticketGrace
			require.False(m.t, refuseExpected && x.dispatches > 0, "new work after leaving")
		}
	}
	require.LessOrEqual(m.t, len(m.c.running), 4)
	require.LessOrEqual(m.t, suspects, 1, "two suspects run together")
}

// Checks the guarantees that depend on the agent's control state: a request is
// dispatched at most once, "not run" is final, no request of a lower tier waits
// where one of a higher tier is refused, and a leaving endpoint gets no new
// requests.
func TestControl(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		tier := rapid.IntRange(0, 2)
		fingerprint := rapid.Uint64Range(1, 5)
		t.Repeat(map[string]func(*rapid.T){
			"": m.checkInvariants,
			"arrive": func(t *rapid.T) {
				m.arrive(tier.Draw(t, "tier"), fingerprint.Draw(t, "fingerprint"), "")
			},
			"issue": func(*rapid.T) {
				text, err := m.issuer.Issue("o", "m", time.Minute, m.now)
				require.NoError(m.t, err)
				m.tickets = append(m.tickets, text)
			},
			"use ticket": func(t *rapid.T) {
				if len(m.tickets) == 0 {
					return
				}
				m.arrive(tier.Draw(t, "tier"), fingerprint.Draw(t, "fingerprint"), rapid.SampledFrom(m.tickets).Draw(t, "ticket"))
			},
			"cancel": func(t *rapid.T) {
				if len(m.requests) > 0 {
					m.c.cancel(rapid.SampledFrom(m.requests).Draw(t, "request").w.id, m.now)
				}
			},
			"first token": func(*rapid.T) {
				if x := m.running(); x != nil {
					m.c.recordFirstToken(x.w, m.now)
				}
			},
			"finish": func(t *rapid.T) {
				if x := m.running(); x != nil {
					m.finish(x, rapid.Bool().Draw(t, "whole"))
				}
			},
			"crash": func(*rapid.T) {
				for _, x := range m.requests {
					if x.dispatches > 0 && !x.finished {
						m.c.recordCrash(x.w, m.now)
						m.finish(x, false)
					}
				}
				m.c.recordHealthCheck(false, m.now)
				require.Empty(m.t, m.c.running)
				for _, x := range m.requests {
					require.True(m.t, x.w.ticket != "" || x.dispatches > 0 || x.refusal != nil || m.c.healthy, "a request waits at an unhealthy endpoint")
				}
			},
			"unreachable": func(*rapid.T) {
				x := m.running()
				if x == nil {
					return
				}
				m.c.undispatched(x.w, m.now)
				if x.w.ticket == "" {
					x.finished = true
					return
				}
				x.dispatches--
				m.c.requeue(x.w, time.Second, m.now)
				require.True(m.t, x.refusal != nil || x.dispatches == 0, "a request is sent to an endpoint that cannot be reached")
			},
			"recover": func(*rapid.T) { m.c.recordHealthCheck(true, m.now) },
			"wait": func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 8000).Draw(t, "ms")) * time.Millisecond)
				m.c.expire(m.now)
				m.c.measure(m.now)
			},
			"leave": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "rare") == 0 {
					m.c.leave(m.now)
				}
			},
		})
		m.finishAll(t)
	})
}

// finishAll finishes all running requests and checks that every request got
// exactly one outcome.
func (m *machine) finishAll(t *rapid.T) {
	m.now = m.now.Add(time.Minute)
	m.c.expire(m.now)
	for x := m.running(); x != nil; x = m.running() {
		m.finish(x, true)
	}
	m.checkInvariants(t)
	for _, x := range m.requests {
		require.True(t, x.dispatches == 1 || x.refusal != nil, "request without an outcome")
	}
	m.c.leave(m.now)
	require.True(t, m.c.drained(m.now.Add(ticketGrace)))
}

// Guards against refusing requests with a ticket that were admitted before the agent
// noticed that their endpoint cannot be reached, and against sending them there.
func TestTicketsWaitForUnreachableEndpoint(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		for i := range rapid.IntRange(1, 6).Draw(t, "tickets") {
			text, err := m.issuer.Issue("o", "m", time.Minute, m.now)
			require.NoError(t, err)
			m.admit(10, 0, uint64(10+i), text)
		}
		for x := m.running(); x != nil; x = m.running() {
			m.c.undispatched(x.w, m.now)
			x.dispatches--
			m.c.requeue(x.w, time.Second, m.now)
		}
		for _, x := range m.requests {
			require.Nil(t, x.refusal)
			require.Zero(t, x.dispatches)
		}
		m.c.recordHealthCheck(true, m.now)
		for x := m.running(); x != nil; x = m.running() {
			m.finish(x, true)
		}
		for _, x := range m.requests {
			require.Nil(t, x.refusal)
			require.Equal(t, 1, x.dispatches)
		}
	})
}

// Guards against a request that crashes the endpoint of one agent more than
// twice, and against requests that ran at the same time being refused as its
// cause.
func TestCrashIdentifiesRequest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		const crashingFingerprint = 1
		crashes := 0
		for round := range 6 {
			m.arrive(1, crashingFingerprint, "")
			m.arrive(1, uint64(10+round), "")
			m.arrive(1, uint64(20+round), "")
			crashing := false
			for _, x := range m.requests {
				crashing = crashing || x.dispatches > 0 && !x.finished && x.w.request.Fingerprint == crashingFingerprint
			}
			for _, x := range m.requests {
				if x.dispatches > 0 && !x.finished {
					if crashing {
						m.c.recordCrash(x.w, m.now)
					}
					m.finish(x, !crashing)
				}
			}
			if crashing {
				crashes++
				m.c.recordHealthCheck(false, m.now)
			}
			m.now = m.now.Add(time.Second)
			m.c.expire(m.now)
			m.c.recordHealthCheck(true, m.now)
		}
		require.LessOrEqual(t, crashes, suspect.PoisonThreshold)
		for round := range 6 {
			require.Less(t, m.c.suspects.Crashes(uint64(10+round), m.now), suspect.PoisonThreshold)
		}
	})
}
