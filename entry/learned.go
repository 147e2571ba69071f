package entry

import (
	"sync"
	"time"

	"damasktrail.dev"
	"damasktrail.dev/budget"
	"damasktrail.dev/estimate"
	"damasktrail.dev/health"
)

// learned is what the entry learns from its own requests: lengths of answers,
// agents that are slow or fail, and what is left of the retry budgets. A mutex
// guards it, since each request updates it only at its start and end.
type learned struct {
	mu      sync.Mutex
	lengths *estimate.Lengths
	budget  *budget.Budget
	// health maps targets to their agents.
	health map[string]*health.Group
}

func newLearned() *learned {
	return &learned{lengths: estimate.NewLengths(), budget: budget.New(), health: map[string]*health.Group{}}
}

// retain adapts to the agents of a target.
func (l *learned) retain(targets map[string][]*remote) {
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
		g.Retain(names)
	}
	for t := range l.health {
		if _, found := targets[t]; !found {
			delete(l.health, t)
		}
	}
}

// fresh counts a new request and estimates its cost and the greatest number of
// tokens that its answer is likely to have.
func (l *learned) fresh(organisation, target string, body int) (cost damasktrail.Cost, longest int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.budget.Fresh(organisation)
	return l.lengths.Cost(organisation, target, body), l.lengths.DecodeP90(organisation, target, body)
}

// retry pays for a retry after a possible dispatch and reports whether the
// budget allowed it.
func (l *learned) retry(organisation string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.budget.Take(organisation)
}

// answered records a whole answer; token is the mean time between its tokens,
// zero when unknown.
func (l *learned) answered(c *call, agent string, u damasktrail.Usage, token time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lengths.Learn(c.organisation.Name, c.target, len(c.body), u)
	if g, found := l.health[c.target]; found {
		g.Answer(agent, token, now)
	}
}

// failed records a crash or a lost link.
func (l *learned) failed(target, agent string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if g, found := l.health[target]; found {
		g.Fail(agent, now)
	}
}

// ejected reports which agents of a target are out of choice.
func (l *learned) ejected(target, agent string, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	g, found := l.health[target]
	return found && g.Ejected(agent, now)
}
