package entry

import (
	"sync"
	"time"

	"damasktrail.dev"
	"damasktrail.dev/budget"
	"damasktrail.dev/estimate"
	"damasktrail.dev/health"
)

// requestStats holds what the entry learns from its own requests: lengths of
// answers, health of agents, and the remaining retry budgets. A mutex guards
// it, since each request updates it only at its start and end.
type requestStats struct {
	mu      sync.Mutex
	lengths *estimate.Lengths
	budget  *budget.Budget
	// health maps targets to the health of their agents.
	health map[string]*health.Group
}

func newRequestStats() *requestStats {
	return &requestStats{lengths: estimate.NewLengths(), budget: budget.New(), health: map[string]*health.Group{}}
}

// retain keeps the health of the given targets and their agents only, and adds
// new ones.
func (l *requestStats) retain(targets map[string][]*remoteAgent) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for t, list := range targets {
		names := make([]string, len(list))
		for i, r := range list {
			names[i] = r.vm.Name
		}
		g, found := l.health[t]
		if !found {
			g = health.New()
			l.health[t] = g
		}
		g.SetAgents(names)
	}
	for t := range l.health {
		if _, found := targets[t]; !found {
			delete(l.health, t)
		}
	}
}

// newRequest counts a new request and estimates its cost and the 0.9 quantile of
// the number of generated tokens.
func (l *requestStats) newRequest(organisation, target string, body int) (cost damasktrail.Cost, decodeP90 int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.budget.Deposit(organisation)
	return l.lengths.Cost(organisation, target, body), l.lengths.DecodeP90(organisation, target, body)
}

// takeRetry charges the retry budget for a retry of an attempt that may have
// run, and reports whether the budget allowed it.
func (l *requestStats) takeRetry(organisation string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.budget.Take(organisation)
}

// recordAnswer records a whole answer; token is the mean time between its
// tokens, zero when unknown.
func (l *requestStats) recordAnswer(c *call, agent string, u damasktrail.Usage, token time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lengths.Learn(c.organisation.Name, c.target, len(c.body), u)
	if g, found := l.health[c.target]; found {
		g.RecordAnswer(agent, token, now)
	}
}

// recordFailure records a crash or a lost link.
func (l *requestStats) recordFailure(target, agent string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if g, found := l.health[target]; found {
		g.RecordFailure(agent, now)
	}
}

// ejected reports whether an agent of a target is ejected at the moment.
func (l *requestStats) ejected(target, agent string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	g, found := l.health[target]
	return found && g.Ejected(agent, now)
}
