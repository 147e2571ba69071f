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
)

// TestLeaving guards against an answer that is cut when an agent ends, and
// against new requests for an endpoint that is leaving.
func TestLeaving(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterConfig{entries: 2, agents: 3, endpointFlags: []string{"--step", "5ms"}, agentFlags: []string{"--inflight", "8"}})
	total := func(i int) (n int) {
		for _, m := range c.endpoints[i].runCounts() {
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
		// A watch of the platform delivers the list at once; the agent still accepts
		// requests with its tickets for 3 s.
		{"the list alone says leaving during a burst", "no new work after 4s, all whole, running", func() {
			c.leaving["agent-1"] = true
			c.publishVMs()
		}, 1, 4 * time.Second},
	}
	for _, r := range rows {
		before := total(r.agent)
		stop := c.startLoad(20 * time.Millisecond) // A single agent can serve this load.
		time.Sleep(time.Second)
		require.Greater(t, total(r.agent), before, "the agent has work before it leaves")
		var tickets []*answer
		for i := range 6 {
			q := newRequest(fmt.Sprint(r.fault, i), 10, 20, false)
			tickets = append(tickets, c.send(c.entries[0], q.withTicket(c.newTicket(c.entries[0]))))
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
			waitFor(t, maxWait, "the agent ended", func() bool { return !c.agents[0].running() })
			got += ", ended"
		} else if c.agents[r.agent].running() {
			got += ", running"
		}
		report(t, "7 leave", "6 7", r.fault, r.want, got)
	}
}

// TestCrashingRequest guards against a request that crashes one endpoint after
// another because its caller sends it again.
func TestCrashingRequest(t *testing.T) {
	t.Parallel()
	rows := []struct {
		fault string
		// after is the number of tokens before the crash, copies the number of
		// requests that are sent at the same time.
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
			c := startCluster(t, clusterConfig{entries: 3, agents: 3 + 2*(r.copies-1), endpointFlags: []string{"--step", "5ms"}})
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
				fmt.Sprintf("%s, last %s, others %s", got, last, c.requestEachEntry("other")))
		})
	}
}

// TestOverload guards against a higher tier that is refused for lack of
// capacity while a lower one is accepted.
func TestOverload(t *testing.T) {
	t.Parallel()
	c := startCluster(t, clusterConfig{
		entries: 2, agents: 2,
		endpointFlags: []string{"--step", "20ms", "--batch", "2"},
		agentFlags:    []string{"--inflight", "2", "--waiting", "4"},
	})
	// A request takes 10 steps of 21 ms, so the two endpoints together complete
	// about 19 requests/s. They receive 38 requests/s for 8 s, a third in each
	// tier.
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
	// An inversion is a request that is refused as full, below the floor or too
	// late for its deadline, while a request of a lower tier that was sent within
	// the second after that refusal got its whole answer.
	inversions, refused := 0, 0
	for i, high := range sent {
		_, reason, _ := strings.Cut(high.verdict, "/")
		if reason != "full" && reason != "floor" && reason != "deadline" {
			continue
		}
		refused++
		end := high.sent.Add(high.duration)
		for j, low := range sent {
			after := low.sent.Sub(end)
			if j%len(tiers) > i%len(tiers) && after > 0 && after <= time.Second && low.verdict == "whole" {
				inversions++
				t.Logf("request %d %s after %s, then %d was accepted %s later", i, high.verdict, high.duration, j, after)
			}
		}
	}
	require.Positive(t, refused, "the load does not overload the endpoints")
	report(t, "9 overload", "2", "200% of two endpoints, three tiers, top tier", fmt.Sprint(counts["appeal whole"], " whole"),
		fmt.Sprint((len(sent)+2)/3, " whole"))
	report(t, "9 overload", "2", "200% of two endpoints, three tiers, order", "0 inversions", fmt.Sprint(inversions, " inversions"))
}
