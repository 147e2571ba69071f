package faults

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"damasktrail.dev/standin"
	"damasktrail.dev/ticket"
)

// issuingAgent returns the index of the agent that issued a ticket.
func (c *cluster) issuingAgent(text string) int {
	name, _, err := ticket.Target(text)
	require.NoError(c.t, err)
	for i, p := range c.agents {
		if p.name == name {
			return i
		}
	}
	c.t.Fatalf("the ticket is from unknown agent %q", name)
	return 0
}

// sendUntilRunning sends requests to the entry until one runs at the endpoint
// of the agent, and returns that request and its answer.
func (c *cluster) sendUntilRunning(e *process, agent int, name string, tokens int, stream bool) (request, *answer) {
	c.t.Helper()
	for n := range 50 {
		r := newRequest(fmt.Sprint(c.t.Name(), name, n), 10, tokens, stream)
		a := c.send(e, r)
		waitFor(c.t, maxWait, "the request runs", func() bool { ran := c.runCounts(r); return ran[0]+ran[1] == 1 })
		if c.runCounts(r)[agent] == 1 {
			return r, a
		}
	}
	c.t.Fatalf("no request reached agent %d", agent)
	return request{}, nil
}

// inProgress holds a streamed request, a whole one and one with a ticket that
// run at the same agent.
type inProgress struct {
	agent int
	sent  [3]request
	got   [3]*answer
}

// startInProgress starts the three requests. Finding one that runs at the agent
// of the ticket can take longer than an answer, so it starts over until all
// three are in progress at the same time.
func (c *cluster) startInProgress(e *process, name string, tokens int) (res inProgress) {
	c.t.Helper()
	for try := range 20 {
		unique := fmt.Sprintf("%s %d", name, try)
		text := c.newTicket(e)
		res.agent = c.issuingAgent(text)
		res.sent[2] = newRequest(c.t.Name()+unique+" ticket", 10, tokens, false).withTicket(text)
		res.got[2] = c.send(e, res.sent[2])
		waitFor(c.t, maxWait, "the ticket runs", func() bool { return c.runCounts(res.sent[2])[res.agent] == 1 })
		res.sent[1], res.got[1] = c.sendUntilRunning(e, res.agent, unique+" whole", tokens, false)
		res.sent[0], res.got[0] = c.sendUntilRunning(e, res.agent, unique+" streamed", tokens, true)
		waitFor(c.t, maxWait, "the stream has begun", func() bool { return res.got[0].tokens.Load() > 0 })
		// The endpoint takes 20 ms for a token, so at least half of the first answer
		// is left.
		if time.Since(res.got[2].sent) < time.Duration(tokens)*10*time.Millisecond {
			return res
		}
	}
	c.t.Fatal("three requests were never in progress together")
	return res
}

// reportOutcomes reports how requests in progress ended. At the end it sends
// the request with the ticket a second time, through the given entry.
func (c *cluster) reportOutcomes(section, fault string, p inProgress, again *process, want [3]string) {
	c.t.Helper()
	for i, kind := range []string{"streamed", "whole", "ticket"} {
		got := p.got[i].wait()
		ran := c.runCounts(p.sent[i])
		if i == 2 {
			got += ", again " + c.send(again, p.sent[i]).wait()
			ran = c.runCounts(p.sent[i])
		}
		report(c.t, section, "1 3 4 5", fault+", "+kind, want[i], fmt.Sprintf("%s, ran %d+%d", got, ran[p.agent], ran[1-p.agent]))
	}
}

// The rows of this file take longest. Tests start in source order, so the name
// of the file sorts first.

// TestPausedProcess guards against a process that resumes late and then runs a
// request again, cuts an answer that it could complete, or uses an outdated
// document.
func TestPausedProcess(t *testing.T) {
	t.Parallel()
	survived := [3]string{"whole, ran 1+0", "whole, ran 1+0", "whole, again whole, ran 1+0"}
	lost := [3]string{"cut, ran 1+0", "whole, ran 1+1", "unknown/lost, again whole, ran 1+0"}
	// The pauses exceed more and more of these timeouts: the ping of a link (2 s),
	// the silence of a link with attempts (6 s), the silence of a link between
	// entries (12 s) and the idle timeout (30 s).
	rows := []struct {
		victim string
		pause  time.Duration
		want   [3]string
	}{
		{"entry", 3 * time.Second, survived},
		{"entry", 8 * time.Second, survived},
		{"entry", 14 * time.Second, survived},
		{"entry", 35 * time.Second, lost},
		{"agent", 3 * time.Second, survived},
		{"agent", 8 * time.Second, lost},
		{"agent", 35 * time.Second, lost},
	}
	for _, victim := range []string{"entry", "agent"} {
		t.Run(victim, func(t *testing.T) {
			t.Parallel()
			c := startCluster(t, clusterConfig{entries: 2, agents: 2, endpointFlags: []string{"--step", "20ms"}})
			watch := c.watchGenerations()
			generation := uint64(1)
			for _, r := range rows {
				if r.victim != victim {
					continue
				}
				fault := fmt.Sprintf("stop %s for %2.0f s", victim, r.pause.Seconds())
				p := c.startInProgress(c.entries[0], fault, 100)
				stopped, others := c.entries[0], c.entries[1:]
				if victim == "agent" {
					stopped, others = c.agents[p.agent], c.entries
				}
				stopped.signal(syscall.SIGSTOP)
				generation++
				c.publishDocument(generation)
				var meanwhile []*answer
				for i, e := range others {
					meanwhile = append(meanwhile, c.send(e, newRequest(fmt.Sprint(t.Name(), fault, " meanwhile ", i), 10, 10, true)))
				}
				time.Sleep(r.pause)
				stopped.signal(syscall.SIGCONT)
				report(t, "4 stop", "8", fault+", new document after", "within 9s", c.waitForGeneration(generation, rolloutBound))
				report(t, "4 stop", "3", fault+", requests meanwhile and after", "whole, whole", verdicts(meanwhile)+", "+c.requestEachEntry(fault+" after"))
				c.reportOutcomes("4 stop", fault, p, c.entries[1], r.want)
			}
			report(t, "4 stop", "8", "stop "+victim+", generations during all rows", "none fell", watch.stopAndReport())
		})
	}
}

// TestSilentLink guards against an answer that never ends, and against a link
// that is not replaced, when a connection goes silent permanently.
func TestSilentLink(t *testing.T) {
	t.Parallel()
	for _, d := range []struct {
		name     string
		up, down bool
	}{{"up", true, false}, {"down", false, true}, {"both", true, true}} {
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			c := startCluster(t, clusterConfig{entries: 3, agents: 2, relays: true, endpointFlags: []string{"--step", "20ms"}})
			p := c.startInProgress(c.entries[0], "", 400)
			// The link of entry 0 is in use; those of entries 1 and 2 are idle.
			// Entry 1 gets requests at once, entry 2 none.
			relay := c.agents[p.agent].relay
			relay.silenceFlows(d.up, d.down)
			begun := time.Now()
			var got []*answer
			for i := range 6 {
				got = append(got, c.send(c.entries[1], newRequest(fmt.Sprint(t.Name(), i), 10, 10, i%2 == 0)))
			}
			report(t, "5 link", "3", "idle link silent "+d.name+", then requests", "whole", verdicts(got))
			c.reportOutcomes("5 link", "link in use silent "+d.name, p, c.entries[0],
				[3]string{"cut, ran 1+0", "whole, ran 1+1", "unknown/lost, again whole, ran 1+0"})
			// An idle link ends 30 s after the last datagram that its entry received.
			// While only the direction to the agent is silent, the agent sends its next
			// heartbeat within 10 s and retransmits it until its own timeout of 30 s.
			limit := 40 * time.Second
			if !d.down {
				limit = 75 * time.Second
			}
			waitFor(t, limit+maxWait, "all links are replaced", func() bool { return relay.answeredFlows() == len(c.entries) })
			report(t, "5 link", "3", "idle link silent "+d.name+", no request, replaced", "within "+limit.String(), withinLimit(time.Since(begun), limit))
			t.Logf("all links replaced after %s", time.Since(begun))
		})
	}
	t.Run("endpoint", func(t *testing.T) {
		t.Parallel()
		c := startCluster(t, clusterConfig{entries: 2, agents: 2, endpointFlags: []string{"--step", "20ms"}})
		p := c.startInProgress(c.entries[0], "", 100)
		c.endpoints[p.agent].fault(standin.EndpointFault{Silence: standin.SilenceOpen})
		a := c.send(c.entries[1], newRequest("after the silence", 10, 10, true))
		report(t, "5 link", "3", "connections to the endpoint silent, new request", "whole", a.wait())
		report(t, "5 link", "1 3", "connections to the endpoint silent, streamed", "whole within 25s, ran 1",
			fmt.Sprintf("%s %s, ran %d", p.got[0].wait(), withinLimit(p.got[0].duration, 25*time.Second), c.runCounts(p.sent[0])[p.agent]))
	})
}

// TestSilentWhole guards against an answer without streaming that occupies its
// caller and a slot of the endpoint long after its deadline, because the
// connection to the endpoint went silent.
func TestSilentWhole(t *testing.T) {
	t.Parallel()
	const limit = 25 * time.Second
	c := startCluster(t, clusterConfig{entries: 1, agents: 1, endpointFlags: []string{"--step", "20ms"}})
	r := newRequest(t.Name(), 10, 100, false)
	r.deadline = 20 * time.Second
	a := c.send(c.entries[0], r)
	waitFor(t, maxWait, "it runs", func() bool { return c.runCounts(r)[0] == 1 })
	c.endpoints[0].fault(standin.EndpointFault{Silence: standin.SilenceOpen})
	got := "open after " + limit.String()
	select {
	case <-a.done:
		got = a.verdict
	case <-time.After(limit):
	}
	report(t, "5 link", "3", "connection to the endpoint silent, whole, deadline 20 s", "unknown/lost", got)
}
