// Package health takes slow and failing agents of one model out of choice for
// a while. It is pure state that is told the time. Start from [New].
package health

import (
	"cmp"
	"slices"
	"time"
)

const (
	// memory is the number of answers over which a mean forgets about two thirds.
	// With 6, five failures in a row eject any agent.
	memory = 6
	// minSamples is the number of answers before an agent is judged.
	minSamples = 5
	// slow is how many times the median time per token an agent may take. Two
	// hardware generations differ by less.
	slow = 4
	// failing is the share of failures from which an agent is taken out.
	failing = 0.5
	// firstEjection doubles with each ejection in a row, up to maxEjection.
	firstEjection = 5 * time.Second
	maxEjection   = time.Minute
)

// mean is a decayed mean.
type mean struct {
	value, weight float64
}

// with returns the mean after one more value.
func (m mean) with(x float64) mean {
	w := min(m.weight+1, memory)
	return mean{value: m.value + (x-m.value)/w, weight: w}
}

// agent is what is known of one agent.
type agent struct {
	name string
	// failures is 1 for a failure and 0 for an answer.
	failures mean
	// token is the time between tokens in seconds.
	token mean
	// until is the end of the ejection.
	until time.Time
	// ejections counts ejections in a row.
	ejections int
	// bad is the score at the last ejection.
	bad float64
}

// Group is the agents of one model as one entry sees them. It is not safe for
// concurrent use.
type Group struct {
	agents map[string]*agent
}

// New returns a group in which every agent is in choice.
func New() *Group {
	return &Group{agents: make(map[string]*agent)}
}

// Retain makes the group consist of the named agents. What is known of those
// that stay is kept.
func (g *Group) Retain(names []string) {
	old := g.agents
	g.agents = make(map[string]*agent, len(names))
	for _, n := range names {
		if g.agents[n] = old[n]; g.agents[n] == nil {
			g.agents[n] = &agent{name: n}
		}
	}
}

// Answer records a whole answer with the mean time between its tokens, zero
// when it has too few.
func (g *Group) Answer(name string, token time.Duration, now time.Time) {
	a := g.agents[name]
	if a == nil {
		return
	}
	a.failures = a.failures.with(0)
	if token > 0 {
		a.token = a.token.with(token.Seconds())
	}
	if g.score(a, g.median()) > 0 {
		g.judge(a, now)
	} else if a.failures.weight >= minSamples {
		a.ejections = 0
	}
}

// Fail records a crash or a lost connection. Refusals are no failures.
func (g *Group) Fail(name string, now time.Time) {
	a := g.agents[name]
	if a == nil {
		return
	}
	a.failures = a.failures.with(1)
	g.judge(a, now)
}

// Ejected reports whether an agent is out of choice now.
func (g *Group) Ejected(name string, now time.Time) bool {
	a := g.agents[name]
	return a != nil && now.Before(a.until)
}

// judge ejects an agent when it is bad enough. At most half of the group is out
// at a time; a worse agent takes the place of the best of those that are out.
func (g *Group) judge(a *agent, now time.Time) {
	score := g.score(a, g.median())
	if score == 0 || now.Before(a.until) {
		return
	}
	var out []*agent
	for _, o := range g.agents {
		if now.Before(o.until) {
			out = append(out, o)
		}
	}
	if len(out) >= len(g.agents)/2 {
		if len(out) == 0 {
			return
		}
		best := slices.MinFunc(out, func(x, y *agent) int { return cmp.Or(cmp.Compare(x.bad, y.bad), cmp.Compare(x.name, y.name)) })
		if best.bad >= score {
			return
		}
		best.until = now
	}
	a.until = now.Add(min(firstEjection<<min(a.ejections, 10), maxEjection))
	a.ejections++
	a.bad = score
	// It is judged afresh when it comes back.
	a.failures = mean{}
	a.token = mean{}
}

// score is zero for an agent that stays and grows with how bad it is.
func (g *Group) score(a *agent, median float64) float64 {
	res := 0.0
	if a.failures.weight >= minSamples && a.failures.value >= failing {
		res += 1000 * a.failures.value
	}
	if a.token.weight >= minSamples && median > 0 && a.token.value > slow*median {
		res += a.token.value / median
	}
	return res
}

// median returns the median time between tokens of the agents measured, zero
// when fewer than two are.
func (g *Group) median() float64 {
	var tokens []float64
	for _, a := range g.agents {
		if a.token.weight >= minSamples {
			tokens = append(tokens, a.token.value)
		}
	}
	if len(tokens) < 2 {
		return 0
	}
	slices.Sort(tokens)
	return tokens[(len(tokens)-1)/2]
}
