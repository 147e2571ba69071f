package policy_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"damasktrail.dev"
	"damasktrail.dev/policy"
)

func newPolicy(t require.TestingT, name string) damasktrail.Policy {
	p, err := policy.New(name, 7)
	require.NoError(t, err)
	return p
}

// shares returns how often each candidate is chosen in 3000 calls.
func shares(t require.TestingT, p damasktrail.Policy, r damasktrail.Request, c []damasktrail.Candidate) []int {
	res := make([]int, len(c))
	for range 3000 {
		i, ok := p.Choose(r, c)
		require.True(t, ok)
		res[i]++
	}
	return res
}

var request = damasktrail.Request{Cost: damasktrail.Cost{Prefill: 1000, Decode: 100}}

func candidate(speed float64, prefill, decode int) damasktrail.Candidate {
	return damasktrail.Candidate{Load: damasktrail.Load{
		Prefill: prefill, Decode: decode, PrefillRate: 10000 * speed, DecodeRate: 1000 * speed,
	}}
}

// Guards against a policy that ignores one of its inputs.
func TestChoose(t *testing.T) {
	idle := candidate(1, 0, 0)
	busy := candidate(1, 50000, 5000)
	sent := candidate(1, 0, 0)
	sent.Sent = damasktrail.Cost{Prefill: 50000, Decode: 5000}
	moderate := candidate(1, 5000, 500)
	progressed := candidate(1, 5000, 500)
	progressed.Age = time.Second
	lost := candidate(1, 50000, 5000)
	lost.Age = time.Minute
	cached := candidate(1, 0, 0)
	cached.CachedShare = 1
	long := damasktrail.Request{Cost: damasktrail.Cost{Prefill: 20000, Decode: 1}}
	tight := damasktrail.Request{Cost: damasktrail.Cost{Prefill: 100, Decode: 1000}, Deadline: 5 * time.Second}
	slowIdle := candidate(0.4, 0, 0)
	fastBusy := candidate(1, 20000, 0)
	slowToken := candidate(1, 0, 0)
	slowToken.Load.TokenIntervalMicros = 10_000
	crowded := candidate(1, 0, 0)
	crowded.Load.Running, crowded.Inflight = 9, 3
	for _, tt := range []struct {
		policy string
		r      damasktrail.Request
		c      []damasktrail.Candidate
		want   []int
	}{
		{policy.Round, request, []damasktrail.Candidate{idle, busy, busy}, []int{1000, 1000, 1000}},
		{policy.Least, request, []damasktrail.Candidate{idle, crowded, idle}, []int{1500, 0, 1500}},
		{policy.Choices, request, []damasktrail.Candidate{idle, crowded}, []int{3000, 0}},
		{policy.Choices, request, []damasktrail.Candidate{idle, crowded, idle}, []int{1500, 0, 1500}},
		{policy.Cost, request, []damasktrail.Candidate{idle, busy, idle}, []int{1500, 0, 1500}},
		{policy.Cost, request, []damasktrail.Candidate{idle, sent}, []int{3000, 0}},
		{policy.Cost, request, []damasktrail.Candidate{moderate, progressed}, []int{0, 3000}},
		{policy.Cost, request, []damasktrail.Candidate{lost, moderate}, []int{0, 3000}},
		{policy.Cost, request, []damasktrail.Candidate{candidate(1, 0, 0), candidate(0.5, 0, 0)}, []int{3000, 0}},
		{policy.Cost, long, []damasktrail.Candidate{idle, cached}, []int{0, 3000}},
		{policy.Cost, tight, []damasktrail.Candidate{slowIdle, fastBusy}, []int{0, 3000}},
		{policy.Cost, request, []damasktrail.Candidate{{}, busy}, []int{3000, 0}},
		{policy.Cost, tight, []damasktrail.Candidate{slowToken, idle}, []int{0, 3000}},
	} {
		t.Run(tt.policy, func(t *testing.T) {
			require.InDeltaSlice(t, tt.want, shares(t, newPolicy(t, tt.policy), tt.r, tt.c), 150)
		})
	}
}

// Guards against all entries choosing the same agent because of the same old
// reports.
func TestCostSpreadsWithAge(t *testing.T) {
	c := []damasktrail.Candidate{candidate(1, 0, 0), candidate(1, 400, 40), candidate(1, 400, 40), candidate(1, 400, 40)}
	for i := range c {
		c[i].Age = 5 * time.Second
	}
	for _, n := range shares(t, newPolicy(t, policy.Cost), request, c) {
		require.InDelta(t, 750, n, 300)
	}
}

// Guards against a choice without candidates and against accepting an unknown
// name.
func TestNone(t *testing.T) {
	for _, name := range []string{policy.Round, policy.Least, policy.Choices, policy.Cost} {
		_, ok := newPolicy(t, name).Choose(request, nil)
		require.False(t, ok)
	}
	_, err := policy.New("best", 0)
	var unknown *policy.NameError
	require.ErrorAs(t, err, &unknown)
}

// BenchmarkChoose measures a choice among the 264 agents of an entry, drawn
// from 12,000.
func BenchmarkChoose(b *testing.B) {
	fleet := make([]damasktrail.Candidate, 12000)
	for i := range fleet {
		fleet[i] = candidate(1+float64(i%2), i*7919%50000, i*104729%5000)
		fleet[i].Age = time.Duration(i*31%10000) * time.Millisecond
	}
	subset := make([]damasktrail.Candidate, 264)
	for i := range subset {
		subset[i] = fleet[i*45]
	}
	for _, name := range []string{policy.Round, policy.Least, policy.Choices, policy.Cost} {
		b.Run(name, func(b *testing.B) {
			p := newPolicy(b, name)
			b.ReportAllocs()
			for b.Loop() {
				p.Choose(request, subset)
			}
		})
	}
}

// Example chooses the idle one of two agents.
func Example() {
	p, _ := policy.New(policy.Cost, 1)
	i, ok := p.Choose(damasktrail.Request{Cost: damasktrail.Cost{Prefill: 100, Decode: 10}}, []damasktrail.Candidate{
		{Agent: "vm1", Load: damasktrail.Load{Prefill: 90000, PrefillRate: 8000, DecodeRate: 1000}},
		{Agent: "vm2", Load: damasktrail.Load{PrefillRate: 8000, DecodeRate: 1000}},
	})
	fmt.Println(i, ok)
	// Output: 1 true
}

// Guards against choosing an agent without the prompt's prefix in its cache
// because the reports are old, and against choosing the agent with the prefix
// when its backlog takes longer than the cache saves.
func TestCostPrefersCache(t *testing.T) {
	for _, tt := range []struct {
		name    string
		prefill int // backlog of the agent with the cache, in tokens
		want    [2]float64
	}{
		{"idle", 0, [2]float64{0.95, 1}},
		{"busy for longer than the cache saves", 40000, [2]float64{0, 0.05}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			p, err := policy.New("cost", 1)
			require.NoError(t, err)
			warm := damasktrail.Candidate{Agent: "warm", CachedShare: 0.9, Age: time.Second}
			warm.Load.Prefill = tt.prefill
			candidates := []damasktrail.Candidate{{Agent: "cold", Age: time.Second}, warm, {Agent: "other", Age: time.Second}}
			chosen := 0
			const draws = 1000
			for range draws {
				i, ok := p.Choose(damasktrail.Request{Cost: damasktrail.Cost{Prefill: 4000, Decode: 10}}, candidates)
				require.True(t, ok)
				if i == 1 {
					chosen++
				}
			}
			share := float64(chosen) / draws
			require.GreaterOrEqual(t, share, tt.want[0])
			require.LessOrEqual(t, share, tt.want[1])
		})
	}
}
