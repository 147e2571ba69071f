// Package health detects slow and failing agents of one model and ejects them from
// selection for a limited time (outlier detection). It is pure state; callers pass
// the current time. Start from [New].
package health

import (
	"cmp"
	"slices"
	"time"
)

const (
	// meanWindow is the number of answers after which earlier ones have lost about
	// two thirds of their weight in a moving average. With 6, five consecutive
	// failures eject any agent.
	meanWindow = 6
	// minSamples is the number of answers needed to evaluate an agent.
	minSamples = 5
	// slowFactor times the median time between tokens is the most that an agent may
	// take. Two hardware generations differ by less.
	slowFactor = 4
	// maxFailureRate is the share of failures from which an agent is ejected.
	maxFailureRate = 0.5
	// firstEjection is the duration of the first ejection. It doubles with each
	// consecutive one, up to maxEjection.
	firstEjection = 5 * time.Second
	maxEjection   = time.Minute
)

// movingAverage is an exponential moving average.
type movingAverage struct {
	value, weight float64
}

// add returns the average after one more sample.
func (m movingAverage) add(x float64) movingAverage {
	w := min(m.weight+1, meanWindow)
	return movingAverage{value: m.value + (x-m.value)/w, weight: w}
}

// agent is the state of one agent.
type agent struct {
	name string
	// failureRate averages 1 for each failure and 0 for each answer.
	failureRate movingAverage
	// tokenSeconds averages the time between tokens.
	tokenSeconds movingAverage
	// ejectedUntil is the end of the ejection.
	ejectedUntil time.Time
	// ejections counts consecutive ejections.
	ejections int
	// ejectionScore is the score at the last ejection.
	ejectionScore float64
}

// Group is the set of agents of one model, as observed by one entry. It is not
// safe for concurrent use.
type Group struct {
	agents map[string]*agent
}

// New returns an empty group.
func New() *Group {
	return &Group{agents: make(map[string]*agent)}
}

// SetAgents replaces the agents of the group by the named ones. It keeps the state of
// agents that stay; new agents are not ejected.
func (g *Group) SetAgents(names []string) {
	old := g.agents
	g.agents = make(map[string]*agent, len(names))
	for _, n := range names {
		if g.agents[n] = old[n]; g.agents[n] == nil {
			g.agents[n] = &agent{name: n}
		}
	}
}

// Remove removes the agent, so that its state does not pass to another of its name.
func (g *Group) Remove(name string) { delete(g.agents, name) }

// RecordAnswer records a complete answer with the mean time between its tokens, zero
// when it has too few tokens.
func (g *Group) RecordAnswer(name string, tokenInterval time.Duration, now time.Time) {
	a := g.agents[name]
	if a == nil {
		return
	}
	a.failureRate = a.failureRate.add(0)
	if tokenInterval > 0 {
		a.tokenSeconds = a.tokenSeconds.add(tokenInterval.Seconds())
	}
	if g.score(a, g.median()) > 0 {
		g.ejectIfUnhealthy(a, now)
	} else if a.failureRate.weight >= minSamples {
		a.ejections = 0
	}
}

// RecordFailure records a crash or a lost connection. A refusal is not a failure.
func (g *Group) RecordFailure(name string, now time.Time) {
	a := g.agents[name]
	if a == nil {
		return
	}
	a.failureRate = a.failureRate.add(1)
	g.ejectIfUnhealthy(a, now)
}

// Ejected reports whether an agent is ejected now.
func (g *Group) Ejected(name string, now time.Time) bool {
	a := g.agents[name]
	return a != nil && now.Before(a.ejectedUntil)
}

// ejectIfUnhealthy ejects an agent whose score is above zero. At most half of the
// group is ejected at a time; an agent with a higher score replaces the ejected one
// with the lowest.
func (g *Group) ejectIfUnhealthy(a *agent, now time.Time) {
	score := g.score(a, g.median())
	if score == 0 || now.Before(a.ejectedUntil) {
		return
	}
	var ejected []*agent
	for _, o := range g.agents {
		if now.Before(o.ejectedUntil) {
			ejected = append(ejected, o)
		}
	}
	if len(ejected) >= len(g.agents)/2 {
		if len(ejected) == 0 {
			return
		}
		leastUnhealthy := slices.MinFunc(ejected, func(x, y *agent) int {
			return cmp.Or(cmp.Compare(x.ejectionScore, y.ejectionScore), cmp.Compare(x.name, y.name))
		})
		if leastUnhealthy.ejectionScore >= score {
			return
		}
		leastUnhealthy.ejectedUntil = now
	}
	a.ejectedUntil = now.Add(min(firstEjection<<min(a.ejections, 10), maxEjection))
	a.ejections++
	a.ejectionScore = score
	// After the ejection the agent is evaluated on new samples only.
	a.failureRate = movingAverage{}
	a.tokenSeconds = movingAverage{}
}

// score returns zero for a healthy agent, and otherwise a value that grows with its
// failure rate and slowness.
func (g *Group) score(a *agent, median float64) float64 {
	res := 0.0
	if a.failureRate.weight >= minSamples && a.failureRate.value >= maxFailureRate {
		res += 1000 * a.failureRate.value
	}
	if a.tokenSeconds.weight >= minSamples && median > 0 && a.tokenSeconds.value > slowFactor*median {
		res += a.tokenSeconds.value / median
	}
	return res
}

// median returns the median over the agents of the time between tokens in seconds,
// zero when fewer than two agents have enough samples.
func (g *Group) median() float64 {
	var intervals []float64
	for _, a := range g.agents {
		if a.tokenSeconds.weight >= minSamples {
			intervals = append(intervals, a.tokenSeconds.value)
		}
	}
	if len(intervals) < 2 {
		return 0
	}
	slices.Sort(intervals)
	return intervals[(len(intervals)-1)/2]
}
