package estimate_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"damasktrail.dev"
	"damasktrail.dev/estimate"
)

// Guards against estimates that do not follow an organisation's own answers, and
// against useless estimates for an organisation without any.
func TestCost(t *testing.T) {
	l := estimate.NewLengths()
	require.Equal(t, damasktrail.Cost{Prefill: 250, Decode: 256}, l.Cost("a", "m", 1000))
	rnd := rand.New(rand.NewPCG(1, 2))
	for range 500 {
		l.Learn("a", "m", 300, damasktrail.Usage{Prefill: 100, Decode: int(100 * math.Exp(rnd.NormFloat64()/2))})
		l.Learn("b", "m", 300, damasktrail.Usage{Prefill: 100, Decode: 1000})
	}
	a, b, c := l.Cost("a", "m", 300), l.Cost("b", "m", 300), l.Cost("c", "m", 300)
	require.InDelta(t, 100, a.Prefill, 1)
	require.InDelta(t, 113, a.Decode, 45)
	require.InDelta(t, 1000, b.Decode, 250)
	require.Greater(t, c.Decode, a.Decode)
	require.InDelta(t, 320, l.DecodeP90("a", "m", 300), 200)
	l.Learn("a", "m", 300, damasktrail.Usage{})
	require.Equal(t, a, l.Cost("a", "m", 300), "a missing count changed the estimate")
}

// Guards against wrong speeds when the mix of prefill and decode varies, and
// against undetermined speeds when it is constant.
func TestSpeed(t *testing.T) {
	var s estimate.Speed
	p, d := s.Rates()
	require.Zero(t, p+d)
	rnd := rand.New(rand.NewPCG(1, 2))
	window := func(prefill, decode float64) time.Duration {
		return time.Duration((prefill/10000 + decode/1000) * (0.9 + 0.2*rnd.Float64()) * float64(time.Second))
	}
	for range 200 {
		prefill, decode := rnd.Float64()*5000, rnd.Float64()*500
		s = s.With(window(prefill, decode), prefill, decode)
	}
	p, d = s.Rates()
	require.InEpsilon(t, 10000, p, 0.2)
	require.InEpsilon(t, 1000, d, 0.2)
	s = estimate.Speed{}
	for range 200 {
		s = s.With(window(4000, 400), 4000, 400)
	}
	p, d = s.Rates()
	require.InEpsilon(t, 0.8, 4000/p+400/d, 0.1)
	require.Equal(t, s, s.With(0, 1, 1).With(time.Second, 0, 0))
}

// BenchmarkCost measures one estimate with 52,800 streams.
func BenchmarkCost(b *testing.B) {
	l := estimate.NewLengths()
	orgs := make([]string, 2200)
	for i := range orgs {
		orgs[i] = fmt.Sprint("organisation", i)
		for m := range 24 {
			l.Learn(orgs[i], string(rune('a'+m)), 1000, damasktrail.Usage{Prefill: 200, Decode: 100})
		}
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		l.Cost(orgs[i%len(orgs)], "a", 1000)
	}
}

// Example estimates a request after one answer.
func Example() {
	l := estimate.NewLengths()
	l.Learn("acme", "writer", 800, damasktrail.Usage{Prefill: 200, Decode: 50})
	fmt.Println(l.Cost("acme", "writer", 4000))
	// Output: {1000 50}
}
