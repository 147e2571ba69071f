package capacity

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestPath alternates between direct requests to endpoints and requests through an
// entry and agents to the same endpoints, and prints tables that compare the two.
func TestPath(t *testing.T) {
	if !testing.Verbose() {
		t.Skip("prints tables and takes two minutes; run it with -v")
	}
	s, err := NewSite(t.TempDir(), "cmd/entry", "cmd/agent", "standin/endpoint")
	require.NoError(t, err)
	defer s.Close()
	t.Run("latency", func(t *testing.T) { measureLatency(t, s) })
	t.Run("cost", func(t *testing.T) { measureCost(t, s) })
	t.Run("room", func(t *testing.T) { measureThroughput(t, s) })
}

// tokensPerAnswer is the mean at the target load of 8 M tokens/s and 35,000
// requests/s.
const tokensPerAnswer = 228

func measureLatency(t *testing.T, s *Site) {
	p, err := s.NewPath(1, time.Millisecond)
	require.NoError(t, err)
	defer p.Stop()
	table := NewTable("streams", "way", "requests/s", "tokens/s", "first p50 ms", "first p99 ms", "per token p50 ms")
	for _, streams := range []int{1, 100, 1000} {
		tokens := tokensPerAnswer
		if streams != 100 {
			tokens = 20 // One stream needs many answers for a p99; with 1,000, answers must end within the run.
		}
		var samples [2][3][]float64
		for range repeats {
			for variant, direct := range []bool{true, false} {
				r, err := p.Run(streams, tokens, 5*time.Second, direct)
				require.NoError(t, err)
				row := []float64{Quantile(r.FirstTokenNanos, 0.5) / 1e6, Quantile(r.FirstTokenNanos, 0.99) / 1e6, Quantile(r.TokenIntervalNanos, 0.5) / 1e6}
				for i, v := range row {
					samples[variant][i] = append(samples[variant][i], v)
				}
				table.Row(streams, []string{"direct", "entry and agent"}[variant], float64(r.Requests)/r.Elapsed.Seconds(),
					float64(r.Tokens)/r.Elapsed.Seconds(), row[0], row[1], row[2])
			}
		}
		var added, ratio [3]float64
		for i := range added {
			a, b := Quantile(samples[0][i], 0.5), Quantile(samples[1][i], 0.5)
			added[i], ratio[i] = b-a, b/a
		}
		table.Row(streams, "added, of medians", "", "", added[0], added[1], added[2])
		table.Row(streams, "ratio, of medians", "", "", ratio[0], ratio[1], ratio[2])
	}
	t.Log(table)
}

func measureCost(t *testing.T, s *Site) {
	p, err := s.NewPath(1, time.Millisecond)
	require.NoError(t, err)
	defer p.Stop()
	table := NewTable("tokens per answer", "requests/s", "tokens/s", "entry us/request", "agent us/request")
	var entry, agent []Point
	for _, tokens := range []int{20, 100, 400} {
		var e, a, requests, generated, lengths []float64
		for range repeats {
			r, err := p.Run(60, tokens, 4*time.Second, false)
			require.NoError(t, err)
			n := float64(r.Requests)
			e, a = append(e, float64(r.EntryCPU)/1e3/n), append(a, float64(r.AgentsCPU)/1e3/n)
			lengths = append(lengths, float64(r.Tokens)/n)
			requests, generated = append(requests, n/r.Elapsed.Seconds()), append(generated, float64(r.Tokens)/r.Elapsed.Seconds())
		}
		x := Quantile(lengths, 0.5)
		table.Row(x, Quantile(requests, 0.5), Quantile(generated, 0.5), Quantile(e, 0.5), Quantile(a, 0.5))
		entry, agent = append(entry, Point{x, Quantile(e, 0.5)}), append(agent, Point{x, Quantile(a, 0.5)})
	}
	table.Fit("entry us by tokens", entry...)
	table.Fit("agent us by tokens", agent...)
	t.Log(table)
}

// measureThroughput offers one entry more than four times its share of the target
// load.
func measureThroughput(t *testing.T, s *Site) {
	p, err := s.NewPath(4, time.Millisecond)
	require.NoError(t, err)
	defer p.Stop()
	table := NewTable("streams", "way", "requests/s", "tokens/s", "first p50 ms", "first p99 ms", "entry cores", "agent cores each")
	for _, streams := range []int{100, 200, 400} {
		for variant, direct := range []bool{true, false} {
			r, err := p.Run(streams, tokensPerAnswer, 5*time.Second, direct)
			require.NoError(t, err)
			table.Row(streams, []string{"direct", "entry and agents"}[variant], float64(r.Requests)/r.Elapsed.Seconds(),
				float64(r.Tokens)/r.Elapsed.Seconds(), Quantile(r.FirstTokenNanos, 0.5)/1e6, Quantile(r.FirstTokenNanos, 0.99)/1e6,
				fmt.Sprintf("%.2f", r.EntryCPU.Seconds()/r.Elapsed.Seconds()),
				fmt.Sprintf("%.2f", r.AgentsCPU.Seconds()/r.Elapsed.Seconds()/float64(len(p.Agents))))
		}
	}
	t.Log(table)
}
