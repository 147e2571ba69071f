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

// tracked is a request with what the control state decided about it.
type tracked struct {
	w       *work
	arrived time.Time
	started int
	refusal *damasktrail.Refusal
	ended   bool
}

// machine drives the control state with random events in a fixed order.
type machine struct {
	t      *rapid.T
	c      *control
	now    time.Time
	issuer *ticket.Issuer
	all    []*tracked
	// tickets are those issued so far.
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
	m.c.health(true, now)
	return m
}

func (m *machine) arrive(tier int, fingerprint uint64, text string) {
	x := &tracked{arrived: m.now}
	x.w = &work{
		id:     fmt.Sprintf("r%d", len(m.all)),
		ticket: text,
		stream: true,
		request: damasktrail.Request{
			Organisation: "o", Model: "m", Tier: tier, Fingerprint: fingerprint,
			Cost:     damasktrail.Cost{Prefill: rapid.IntRange(1, 300).Draw(m.t, "prefill"), Decode: 10},
			Deadline: 20 * time.Second,
		},
		start:  func() { x.started++ },
		refuse: func(r *damasktrail.Refusal) { require.Nil(m.t, x.refusal, "refused twice"); x.refusal = r },
	}
	if text != "" {
		x.w.id = text
		state, refusal := m.c.ledger.Begin(text, "o", "m", [32]byte{1}, m.now)
		if state != ticket.Fresh {
			// A resend is never admitted a second time.
			require.True(m.t, state != ticket.None || refusal != nil)
			return
		}
	}
	m.all = append(m.all, x)
	m.c.arrive(x.w, -1, m.now)
	if x.refusal != nil && x.refusal.Reason == damasktrail.ReasonFull {
		require.LessOrEqual(m.t, m.c.waiting.Lowest(), tier, "a lower tier waits where a higher one was refused")
	}
}

// running returns a random dispatched request that has not ended.
func (m *machine) running() *tracked {
	var list []*tracked
	for _, x := range m.all {
		if x.started > 0 && !x.ended {
			list = append(list, x)
		}
	}
	if len(list) == 0 {
		return nil
	}
	return list[rapid.IntRange(0, len(list)-1).Draw(m.t, "running")]
}

func (m *machine) end(x *tracked, whole bool) {
	x.ended = true
	if x.w.ticket != "" {
		if whole {
			require.True(m.t, m.c.ledger.Finish(x.w.ticket, ticket.Answer{Status: 200}))
		} else {
			require.True(m.t, m.c.ledger.Fail(x.w.ticket, cancelled()))
		}
	}
	m.c.finish(x.w, whole, m.now)
}

// check holds after every event.
func (m *machine) check(*rapid.T) {
	suspects := 0
	for _, x := range m.all {
		require.LessOrEqual(m.t, x.started, 1, "dispatched twice")
		if x.started > 0 {
			require.True(m.t, x.refusal == nil || x.refusal.Outcome == damasktrail.Unknown, "not run was said of a request that ran")
		}
		if x.refusal != nil && x.refusal.Outcome == damasktrail.NotRun && x.w.ticket != "" {
			state, again := m.c.ledger.Begin(x.w.ticket, "o", "m", [32]byte{1}, m.now)
			require.Equal(m.t, ticket.None, state, "a ticket lives on after not run")
			require.NotNil(m.t, again)
		}
		if x.started > 0 && !x.ended && m.c.suspects.Crashes(x.w.request.Fingerprint, m.now) > 0 {
			suspects++
		}
		if !m.c.left.IsZero() && x.started > 0 {
			require.Less(m.t, x.w.dispatched.Sub(m.c.left), leaveGrace, "work dispatched long after leaving")
		}
		if !m.c.left.IsZero() && x.arrived.After(m.c.left) {
			late := x.w.ticket == "" || x.arrived.Sub(m.c.left) >= leaveGrace
			require.False(m.t, late && x.started > 0, "new work after leaving")
		}
	}
	require.LessOrEqual(m.t, len(m.c.running), 4)
	require.LessOrEqual(m.t, suspects, 1, "two suspects run together")
}

// Guards the promises that rest on the agent's control state: a request is
// dispatched at most once, "not run" is final, no lower tier waits where a
// higher one is refused, and a leaving endpoint gets no new work.
func TestControl(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		tier := rapid.IntRange(0, 2)
		fingerprint := rapid.Uint64Range(1, 5)
		t.Repeat(map[string]func(*rapid.T){
			"": m.check,
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
				if len(m.all) > 0 {
					m.c.cancel(rapid.SampledFrom(m.all).Draw(t, "request").w.id, m.now)
				}
			},
			"first token": func(*rapid.T) {
				if x := m.running(); x != nil {
					m.c.began(x.w, m.now)
				}
			},
			"finish": func(t *rapid.T) {
				if x := m.running(); x != nil {
					m.end(x, rapid.Bool().Draw(t, "whole"))
				}
			},
			"crash": func(*rapid.T) {
				for _, x := range m.all {
					if x.started > 0 && !x.ended {
						m.c.crashedWith(x.w, m.now)
						m.end(x, false)
					}
				}
				m.c.health(false, m.now)
				require.Empty(m.t, m.c.running)
				for _, x := range m.all {
					require.True(m.t, x.w.ticket != "" || x.started > 0 || x.refusal != nil || m.c.healthy, "a request waits at a dead endpoint")
				}
			},
			"recover": func(*rapid.T) { m.c.health(true, m.now) },
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
		m.settle(t)
	})
}

// settle ends all that runs and checks that every request got its one outcome.
func (m *machine) settle(t *rapid.T) {
	m.now = m.now.Add(time.Minute)
	m.c.expire(m.now)
	for x := m.running(); x != nil; x = m.running() {
		m.end(x, true)
	}
	m.check(t)
	for _, x := range m.all {
		require.True(t, x.started == 1 || x.refusal != nil, "request without an outcome")
	}
	m.c.leave(m.now)
	require.True(t, m.c.drained(m.now.Add(leaveGrace)))
}

// Guards against a crashing request that takes down more than two endpoints of
// one agent, and against its neighbours being named with it.
func TestCrashNamesItsCause(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		const culprit = 1
		crashed := 0
		for round := range 6 {
			m.arrive(1, culprit, "")
			m.arrive(1, uint64(10+round), "")
			m.arrive(1, uint64(20+round), "")
			inside := false
			for _, x := range m.all {
				inside = inside || x.started > 0 && !x.ended && x.w.request.Fingerprint == culprit
			}
			for _, x := range m.all {
				if x.started > 0 && !x.ended {
					if inside {
						m.c.crashedWith(x.w, m.now)
					}
					m.end(x, !inside)
				}
			}
			if inside {
				crashed++
				m.c.health(false, m.now)
			}
			m.now = m.now.Add(time.Second)
			m.c.expire(m.now)
			m.c.health(true, m.now)
		}
		require.LessOrEqual(t, crashed, suspect.PoisonThreshold)
		for round := range 6 {
			require.Less(t, m.c.suspects.Crashes(uint64(10+round), m.now), suspect.PoisonThreshold)
		}
	})
}
