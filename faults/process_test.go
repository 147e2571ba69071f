package faults

import (
	"context"
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"damasktrail.dev/standin"
	"damasktrail.dev/ticket"
)

// issuer returns the index of the agent that issued a ticket.
func (c *cluster) issuer(text string) int {
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

// running starts requests at the entry until the endpoint of the agent runs one,
// and returns that one.
func (c *cluster) running(e *process, agent int, name string, tokens int, stream bool) (request, *answer) {
	c.t.Helper()
	for n := range 50 {
		r := newRequest(fmt.Sprint(c.t.Name(), name, n), 10, tokens, stream)
		a := c.send(e, r)
		await(c.t, forever, "the request runs", func() bool { ran := c.ran(r); return ran[0]+ran[1] == 1 })
		if c.ran(r)[agent] == 1 {
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

func (c *cluster) begin(e *process, name string, tokens int) (res inProgress) {
	c.t.Helper()
	text := c.ticket(e, "ghent")
	res.agent = c.issuer(text)
	res.sent[2] = newRequest(c.t.Name()+name+" ticket", 10, tokens, false).withTicket(text)
	res.got[2] = c.send(e, res.sent[2])
	await(c.t, forever, "the ticket runs", func() bool { return c.ran(res.sent[2])[res.agent] == 1 })
	res.sent[1], res.got[1] = c.running(e, res.agent, name+" whole", tokens, false)
	res.sent[0], res.got[0] = c.running(e, res.agent, name+" streamed", tokens, true)
	await(c.t, forever, "the stream has begun", func() bool { return res.got[0].tokens.Load() > 0 })
	return res
}

// outcomes reports what became of requests in progress. The ticket is sent again
// through the entry at the end.
func (c *cluster) outcomes(section, fault string, p inProgress, again *process, want [3]string) {
	c.t.Helper()
	for i, kind := range []string{"streamed", "whole", "ticket"} {
		got := p.got[i].wait()
		ran := c.ran(p.sent[i])
		if i == 2 {
			got += ", again " + c.send(again, p.sent[i]).wait()
			ran = c.ran(p.sent[i])
		}
		report(c.t, section, "1 3 4 5", fault+", "+kind, want[i], fmt.Sprintf("%s, ran %d+%d", got, ran[p.agent], ran[1-p.agent]))
	}
}

// TestPausedProcess guards against a process that wakes late and then runs a
// request again, cuts an answer that it could give, or uses an old document.
func TestPausedProcess(t *testing.T) {
	t.Parallel()
	survived := [3]string{"whole, ran 1+0", "whole, ran 1+0", "whole, again whole, ran 1+0"}
	lost := [3]string{"cut, ran 1+0", "whole, ran 1+1", "unknown/lost, again whole, ran 1+0"}
	// The timeouts are those for the ping of a link (2 s), the silence of a link
	// with attempts (6 s), that of a link between entries (12 s) and the idle
	// timeout (30 s).
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
		{"agent", 14 * time.Second, lost},
		{"agent", 35 * time.Second, lost},
	}
	for _, victim := range []string{"entry", "agent"} {
		t.Run(victim, func(t *testing.T) {
			t.Parallel()
			c := start(t, shape{entries: 2, agents: 2, endpoint: []string{"--step", "20ms"}})
			watch := c.watch()
			generation := uint64(1)
			for _, r := range rows {
				if r.victim != victim {
					continue
				}
				fault := fmt.Sprintf("stop %s for %2.0f s", victim, r.pause.Seconds())
				p := c.begin(c.entries[0], fault, 100)
				stopped, others := c.entries[0], c.entries[1:]
				if victim == "agent" {
					stopped, others = c.agents[p.agent], c.entries
				}
				stopped.signal(syscall.SIGSTOP)
				generation++
				c.publish(generation)
				var meanwhile []*answer
				for i, e := range others {
					meanwhile = append(meanwhile, c.send(e, newRequest(fmt.Sprint(t.Name(), fault, " meanwhile ", i), 10, 10, true)))
				}
				time.Sleep(r.pause)
				stopped.signal(syscall.SIGCONT)
				report(t, "4 stop", "8", fault+", new document after", "within 9s", c.everywhere(generation, rolloutBound))
				report(t, "4 stop", "3", fault+", requests meanwhile and after", "whole, whole", verdicts(meanwhile)+", "+c.asked(fault+" after"))
				c.outcomes("4 stop", fault, p, c.entries[1], r.want)
			}
			report(t, "4 stop", "8", "stop "+victim+", generations during all rows", "none fell", watch.fell())
		})
	}
}

// TestSilentLink guards against an answer that never ends, and against a link
// that is not replaced, when a connection goes silent for good.
func TestSilentLink(t *testing.T) {
	t.Parallel()
	for _, d := range []struct {
		name     string
		up, down bool
	}{{"up", true, false}, {"down", false, true}, {"both", true, true}} {
		t.Run(d.name, func(t *testing.T) {
			t.Parallel()
			c := start(t, shape{entries: 3, agents: 2, relays: true, endpoint: []string{"--step", "20ms"}})
			p := c.begin(c.entries[0], "", 400)
			// The link of entry 0 is in use; those of entries 1 and 2 are idle.
			// Entry 1 gets requests at once, entry 2 none.
			relay := c.agents[p.agent].front
			relay.silence(d.up, d.down)
			begun := time.Now()
			var got []*answer
			for i := range 6 {
				got = append(got, c.send(c.entries[1], newRequest(fmt.Sprint(t.Name(), i), 10, 10, i%2 == 0)))
			}
			report(t, "5 link", "3", "idle link silent "+d.name+", then requests", "whole", verdicts(got))
			c.outcomes("5 link", "link in use silent "+d.name, p, c.entries[0],
				[3]string{"cut, ran 1+0", "whole, ran 1+1", "unknown/lost, again whole, ran 1+0"})
			// An idle link ends 30 s after the last datagram that its entry
			// received. While only the way up is silent, the agent goes on to send
			// for its own 30 s.
			limit := 40 * time.Second
			if !d.down {
				limit = 70 * time.Second
			}
			await(t, limit+forever, "all links are replaced", func() bool { return relay.answered() == len(c.entries) })
			report(t, "5 link", "3", "idle link silent "+d.name+", no request, replaced", "within "+limit.String(), bound(time.Since(begun), limit))
			t.Logf("all links replaced after %s", time.Since(begun))
		})
	}
	t.Run("endpoint", func(t *testing.T) {
		t.Parallel()
		c := start(t, shape{entries: 2, agents: 2, endpoint: []string{"--step", "20ms"}})
		p := c.begin(c.entries[0], "", 100)
		c.endpoints[p.agent].fault(standin.EndpointFault{Silence: standin.SilenceOpen})
		a := c.send(c.entries[1], newRequest("after the silence", 10, 10, true))
		report(t, "5 link", "3", "connections to the endpoint silent, new request", "whole", a.wait())
		report(t, "5 link", "1 3", "connections to the endpoint silent, streamed", "whole within 25s, ran 1",
			fmt.Sprintf("%s %s, ran %d", p.got[0].wait(), bound(p.got[0].took, 25*time.Second), c.ran(p.sent[0])[p.agent]))
	})
}

// TestSilentWhole guards against an answer in one piece that holds its caller
// and a place in the endpoint long after its deadline, because the connection
// to the endpoint went silent.
func TestSilentWhole(t *testing.T) {
	t.Parallel()
	const limit = 25 * time.Second
	c := start(t, shape{entries: 1, agents: 1, endpoint: []string{"--step", "20ms"}})
	r := newRequest(t.Name(), 10, 100, false)
	r.deadline = 20 * time.Second
	a := c.send(c.entries[0], r)
	await(t, forever, "it runs", func() bool { return c.ran(r)[0] == 1 })
	c.endpoints[0].fault(standin.EndpointFault{Silence: standin.SilenceOpen})
	got := "open after " + limit.String()
	select {
	case <-a.done:
		got = a.verdict
	case <-time.After(limit):
	}
	report(t, "5 link", "3", "connection to the endpoint silent, whole, deadline 20 s", "unknown/lost", got)
}

// TestLeaving guards against an answer that is cut by the end of an agent, and
// against new work for an endpoint that is leaving.
func TestLeaving(t *testing.T) {
	t.Parallel()
	c := start(t, shape{entries: 2, agents: 3, endpoint: []string{"--step", "5ms"}, agent: []string{"--inflight", "8"}})
	total := func(i int) (n int) {
		for _, m := range c.endpoints[i].runs() {
			n += m
		}
		return n
	}
	rows := []struct {
		fault, want string
		leave       func()
		agent       int
		grace       time.Duration
	}{
		{"SIGTERM during a burst, the list lags", "no new work after 3s, all whole, ended", func() { c.agents[0].signal(syscall.SIGTERM) }, 0, 3 * time.Second},
		// A watch of the platform brings the list at once; the agent keeps its
		// word for tickets for 3 s.
		{"the list alone says leaving during a burst", "no new work after 4s, all whole, running", func() {
			c.leaving["agent-1"] = true
			c.list()
		}, 1, 4 * time.Second},
	}
	for _, r := range rows {
		before := total(r.agent)
		stop := c.load(20 * time.Millisecond) // One agent alone can serve it.
		time.Sleep(time.Second)
		require.Greater(t, total(r.agent), before, "the agent has work before it leaves")
		var tickets []*answer
		for i := range 6 {
			q := newRequest(fmt.Sprint(r.fault, i), 10, 20, false)
			tickets = append(tickets, c.send(c.entries[0], q.withTicket(c.ticket(c.entries[0], "ghent"))))
		}
		r.leave()
		time.Sleep(r.grace)
		then := total(r.agent)
		time.Sleep(2 * time.Second)
		got := fmt.Sprintf("no new work after %s", r.grace)
		if n := total(r.agent) - then; n > 0 {
			got = fmt.Sprintf("%d runs after %s", n, r.grace)
		}
		got += ", all " + strings.Join([]string{stop(), verdicts(tickets)}, " and ")
		got = strings.Replace(got, "whole and whole", "whole", 1)
		if r.agent == 0 {
			await(t, forever, "the agent ended", func() bool { return !c.agents[0].running() })
			got += ", ended"
		} else if c.agents[r.agent].running() {
			got += ", running"
		}
		report(t, "7 leave", "6 7", r.fault, r.want, got)
	}
}

// TestCrashingRequest guards against a request that crashes endpoint after
// endpoint as its caller sends it again.
func TestCrashingRequest(t *testing.T) {
	t.Parallel()
	rows := []struct {
		fault string
		// after is the number of tokens before the crash, copies how many
		// requests are sent at the same moment.
		after, copies int
		stream        bool
	}{
		{"sent again through every entry, whole", 0, 1, false},
		{"sent again through every entry, streamed, after 3 tokens", 3, 1, true},
		{"two copies at once, sent again through every entry", 0, 2, true},
	}
	for _, r := range rows {
		t.Run(r.fault, func(t *testing.T) {
			t.Parallel()
			c := start(t, shape{entries: 3, agents: 5, endpoint: []string{"--step", "5ms"}})
			for _, p := range c.endpoints {
				p.fault(standin.EndpointFault{Marker: "falls over", After: r.after})
			}
			q := newRequest("falls over", 10, 10, r.stream)
			last := ""
			for round := range 3 * len(c.entries) {
				var got []*answer
				for i := range r.copies {
					got = append(got, c.send(c.entries[(round+i)%len(c.entries)], q))
				}
				last = verdicts(got)
			}
			crashed := 0
			for _, p := range c.endpoints {
				if !p.running() {
					crashed++
				}
			}
			limit := 2
			if r.copies > 1 {
				limit += r.copies
			}
			got := fmt.Sprintf("at most %d crashes", limit)
			if crashed > limit {
				got = fmt.Sprintf("%d crashes", crashed)
			}
			t.Logf("%d endpoints crashed", crashed)
			report(t, "8 crash", "1", r.fault, fmt.Sprintf("at most %d crashes, last not run/poisoned, others whole", limit),
				fmt.Sprintf("%s, last %s, others %s", got, last, c.asked("other")))
		})
	}
}

// TestOverload guards against a higher tier that is refused for lack of room
// while a lower one is accepted.
func TestOverload(t *testing.T) {
	t.Parallel()
	c := start(t, shape{
		entries: 2, agents: 2,
		endpoint: []string{"--step", "20ms", "--batch", "2"},
		agent:    []string{"--inflight", "2", "--waiting", "4"},
	})
	// A request takes 10 steps of 21 ms, so the two endpoints together end about
	// 19 a second. They get 38 for 8 s, each third of one tier.
	var sent []*answer
	ctx, cancel := context.WithTimeout(t.Context(), 8*time.Second)
	defer cancel()
	for i := 0; ctx.Err() == nil; i++ {
		r := newRequest(fmt.Sprint("overload ", i), 10, 10, true)
		r.tier = tiers[i%len(tiers)]
		sent = append(sent, c.send(c.entries[i/len(tiers)%2], r))
		time.Sleep(time.Second / 38)
	}
	counts := map[string]int{}
	for i, a := range sent {
		counts[tiers[i%len(tiers)]+" "+a.wait()]++
	}
	t.Log(counts)
	// An inversion is a request refused as full, below the floor or too late for
	// its deadline, and a request of a lower tier that was sent within the second
	// after that refusal and got its whole answer.
	inversions, refused := 0, 0
	for i, high := range sent {
		_, reason, _ := strings.Cut(high.verdict, "/")
		if reason != "full" && reason != "floor" && reason != "deadline" {
			continue
		}
		refused++
		end := high.sent.Add(high.took)
		for j, low := range sent {
			after := low.sent.Sub(end)
			if j%len(tiers) > i%len(tiers) && after > 0 && after <= time.Second && low.verdict == "whole" {
				inversions++
				t.Logf("request %d %s after %s, then %d was accepted %s later", i, high.verdict, high.took, j, after)
			}
		}
	}
	require.Positive(t, refused, "the load is no overload")
	report(t, "9 overload", "2", "200% of two endpoints, three tiers, top tier", fmt.Sprint(counts["appeal whole"], " whole"),
		fmt.Sprint((len(sent)+2)/3, " whole"))
	report(t, "9 overload", "2", "200% of two endpoints, three tiers, order", "0 inversions", fmt.Sprint(inversions, " inversions"))
}
