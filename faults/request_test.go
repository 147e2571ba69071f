package faults

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"damasktrail.dev/standin"
	"damasktrail.dev/ticket"
)

// TestKilledProcess guards against a request that runs twice at an endpoint, a
// partial answer that is presented as whole, and a false "not run", when a
// process is killed while it holds the request.
func TestKilledProcess(t *testing.T) {
	t.Parallel()
	// The outcomes are those of an idempotent streamed request, an idempotent
	// whole one and one with a ticket. The request with the ticket is sent again
	// through another entry, as are idempotent requests whose entry was killed;
	// the last part is the number of runs at the first and at the second endpoint.
	const (
		retried = "whole, ran 1+1"
		resent  = "broken, again whole, ran at most once per send"
		kept    = "broken, again whole, ran 1"
	)
	rows := []struct {
		victim, step string
		want         [3]string
	}{
		// Requests that wait at an agent whose endpoint was killed move to another
		// agent at once; one with a ticket waits for the restart.
		{"endpoint", "queued", [3]string{"whole, ran 0+1", "whole, ran 0+1", "whole, again whole, ran 1+0"}},
		{"endpoint", "prefill", [3]string{retried, retried, "unknown/crashed, again unknown/crashed, ran 1+0"}},
		{"endpoint", "decode", [3]string{"cut, ran 1+0", retried, "unknown/crashed, again unknown/crashed, ran 1+0"}},
		{"endpoint", "last", [3]string{"cut, ran 1+0", retried, "unknown/crashed, again unknown/crashed, ran 1+0"}},
		{"agent", "queued", [3]string{"whole, ran 0+1", "whole, ran 0+1", "unknown/lost, again unknown/lost, again unknown/incarnation, ran 0+0"}},
		{"agent", "prefill", [3]string{retried, retried, "unknown/lost, again unknown/lost, again unknown/incarnation, ran 1+0"}},
		{"agent", "decode", [3]string{"cut, ran 1+0", retried, "unknown/lost, again unknown/lost, again unknown/incarnation, ran 1+0"}},
		{"agent", "last", [3]string{"cut, ran 1+0", retried, "unknown/lost, again unknown/lost, again unknown/incarnation, ran 1+0"}},
		{"entry", "queued", [3]string{resent, resent, kept}},
		{"entry", "prefill", [3]string{resent, resent, kept}},
		{"entry", "decode", [3]string{"cut, again whole, ran at most once per send", resent, kept}},
		{"entry", "last", [3]string{"cut, again whole, ran at most once per send", resent, kept}},
	}
	for _, r := range rows {
		t.Run(r.victim+" "+r.step, func(t *testing.T) {
			t.Parallel()
			s := clusterConfig{entries: 2, agents: 2, idleEndpoints: 1, endpointRelays: r.step == "last", endpointFlags: []string{"--step", "20ms"}}
			if r.victim == "entry" {
				s.agents, s.idleEndpoints = 1, 0
			}
			if r.step == "queued" {
				s.agentFlags = []string{"--inflight", "1"}
			}
			c := startCluster(t, s)
			sent, got := c.placeRequests(r.step)
			if s.idleEndpoints > 0 {
				c.endpoints[1].start()
				c.waitUntilUsable(1)
			}
			c.killFirst(r.victim)
			for i, kind := range []string{"streamed", "whole", "ticket"} {
				observed := got[i].wait()
				if r.victim == "entry" || i == 2 {
					observed += ", again " + c.send(c.entries[1], sent[i]).wait()
				}
				if r.victim == "agent" && i == 2 { // The first resend still used the link to the killed agent.
					observed += ", again " + c.send(c.entries[1], sent[i]).wait()
				}
				ran := c.runCounts(sent[i])
				switch {
				case r.victim != "entry":
					observed += fmt.Sprintf(", ran %d+%d", ran[0], ran[1])
				case i == 2 || ran[0] > 2:
					observed += fmt.Sprintf(", ran %d", ran[0])
				default:
					observed += ", ran at most once per send"
				}
				report(t, "1 kill", "1 3 4 5", fmt.Sprintf("kill %s, request %s, %s", r.victim, r.step, kind), r.want[i], observed)
			}
		})
	}
}

// placeRequests brings a streamed request, a whole one and one with a ticket to
// the given step at the first endpoint.
func (c *cluster) placeRequests(step string) (sent [3]request, got [3]*answer) {
	c.t.Helper()
	prompt, tokens := 50, 30
	endpoint := c.endpoints[0]
	switch step {
	case "queued":
		endpoint.fault(standin.EndpointFault{Slow: 20})
		blocker := newRequest(c.t.Name()+" blocker", 10, 10, true)
		c.send(c.entries[0], blocker)
		waitFor(c.t, maxWait, "the blocker runs", func() bool { return c.runCounts(blocker)[0] == 1 })
	case "prefill":
		prompt = 1000
		endpoint.fault(standin.EndpointFault{Slow: 40})
	case "decode":
		endpoint.fault(standin.EndpointFault{Slow: 20})
	case "last":
		c.endpointRelays[0].hold.Store(true)
	}
	ticket := c.newTicket(c.entries[0])
	sent[2] = newRequest(c.t.Name()+" ticket", prompt, tokens, false).withTicket(ticket)
	sent[1] = newRequest(c.t.Name()+" whole", prompt, tokens, false)
	sent[0] = newRequest(c.t.Name()+" streamed", prompt, tokens, true)
	for i := 2; i >= 0; i-- {
		got[i] = c.send(c.entries[0], sent[i])
		waitFor(c.t, maxWait, "the request is in place", func() bool {
			if step == "queued" {
				s, _ := c.agents[0].status()
				return s.Load.Waiting == 3-i
			}
			return c.runCounts(sent[i])[0] == 1
		})
	}
	waitFor(c.t, maxWait, "the step is reached", func() bool {
		return (step != "decode" || got[0].tokens.Load() >= 2) && (step != "last" || c.endpointRelays[0].held.Load() == 3)
	})
	for _, a := range got {
		select {
		case <-a.done:
			c.t.Fatalf("a request ended early: %s", a.verdict)
		default:
		}
	}
	return sent, got
}

// killFirst kills the first process of the kind. An endpoint and an agent are
// started again, as the platform does.
func (c *cluster) killFirst(victim string) {
	switch victim {
	case "endpoint":
		c.endpoints[0].killEndpoint()
		for _, r := range c.endpointRelays[:min(1, len(c.endpointRelays))] {
			r.close()
		}
		time.Sleep(time.Second)
		c.endpoints[0].start()
	case "agent":
		c.agents[0].kill()
		c.agents[0].start()
	case "entry":
		c.entries[0].kill()
		c.endpoints[0].fault(standin.EndpointFault{})
		for _, r := range c.endpointRelays {
			r.hold.Store(false)
			close(r.released)
		}
	}
}

// TestTicketsAtDeadEndpoint guards against refusing requests with a ticket, which can run
// only at their endpoint, because it died before its agent noticed.
func TestTicketsAtDeadEndpoint(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterConfig{entries: 1, agents: 1, endpointFlags: []string{"--step", "5ms"}})
	for i := range 3 {
		r := newRequest(fmt.Sprintf("%s %d", t.Name(), i), 10, 10, i == 0).withTicket(c.newTicket(c.entries[0]))
		c.endpoints[0].killEndpoint()
		got := c.send(c.entries[0], r)
		time.Sleep(time.Second)
		c.endpoints[0].start()
		observed := fmt.Sprintf("%s, ran %d", got.wait(), c.runCounts(r)[0])
		report(t, "2 ticket", "5", fmt.Sprintf("endpoint dies unnoticed, request %d", i), "whole, ran 1", observed)
	}
}

// TestTickets guards against a second run of a request with a ticket, and
// against a ticket that is accepted for another request.
func TestTickets(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterConfig{entries: 2, agents: 2, endpointFlags: []string{"--step", "5ms"}})
	one, two := c.entries[0], c.entries[1]
	// Each row gets a new request with a ticket.
	rows := []struct {
		fault, want string
		run         func(r request) []*answer
	}{
		{"sent twice at once through two entries", "whole whole, ran 1", func(r request) []*answer {
			return []*answer{c.send(one, r), c.send(two, r)}
		}},
		{"sent again after the answer, streamed", "whole whole, ran 1", func(r request) []*answer {
			return []*answer{c.send(one, r).waitDone(), c.send(two, r)}
		}},
		{"sent again with another body", "whole not run/mismatch, ran 1", func(r request) []*answer {
			other := newRequest("another body", 10, 10, true).withTicket(r.ticket)
			return []*answer{c.send(one, r).waitDone(), c.send(two, other)}
		}},
		{"sent by another organisation", "not run/mismatch whole, ran 1", func(r request) []*answer {
			other := r
			other.key = "liege"
			return []*answer{c.send(two, other).waitDone(), c.send(one, r)}
		}},
		{"without a ticket (428)", "not run/nokey, ran 0", func(r request) []*answer {
			a := c.send(one, r.withTicket("")).waitDone()
			require.Equal(t, 428, a.status)
			return []*answer{a}
		}},
		{"agent replaced after the answer", "whole unknown/lost unknown/incarnation, ran 1", func(r request) []*answer {
			a := c.send(one, r).waitDone()
			name, _, err := ticket.Target(r.ticket)
			require.NoError(t, err)
			for _, p := range c.agents {
				if p.name == name {
					p.kill()
					p.start()
				}
			}
			return []*answer{a, c.send(two, r).waitDone(), c.send(two, r)}
		}},
	}
	for i, r := range rows {
		q := newRequest("ticket row "+r.fault, 10, 10, i%2 == 1).withTicket(c.newTicket(one))
		var got []string
		for _, a := range r.run(q) {
			got = append(got, a.wait())
		}
		ran := c.runCounts(q)
		report(t, "2 ticket", "5", r.fault, r.want, fmt.Sprintf("%s, ran %d", strings.Join(got, " "), ran[0]+ran[1]))
	}
}

// waitDone waits for the end of the answer and returns the answer.
func (a *answer) waitDone() *answer {
	a.wait()
	return a
}
