// Package budget limits retries to a share of fresh requests, separately for
// each organisation, so that retries cannot multiply an overload. It is pure
// state without a clock. Start from [New].
package budget

// The default of section 3.7 of the design page: a retry for each ten fresh
// requests, and at most ten retries saved up.
const (
	freshPerRetry = 10
	maxRetries    = 10
)

// Budget holds the retries that each organisation has left. It is not safe for
// concurrent use.
type Budget struct {
	// credit is in fresh requests, at most freshPerRetry*maxRetries.
	credit map[string]int
}

// New returns a budget in which every organisation starts without credit, so
// that retries never exceed their share even after a restart.
func New() *Budget {
	return &Budget{credit: make(map[string]int)}
}

// Fresh counts a request that is not a retry.
func (b *Budget) Fresh(organisation string) {
	b.credit[organisation] = min(b.credit[organisation]+1, freshPerRetry*maxRetries)
}

// Take takes one retry and reports whether there was one.
func (b *Budget) Take(organisation string) bool {
	if b.credit[organisation] < freshPerRetry {
		return false
	}
	b.credit[organisation] -= freshPerRetry
	return true
}

// Retain forgets the organisations for which keep is false, for instance those
// that a new document no longer has.
func (b *Budget) Retain(keep func(organisation string) bool) {
	for o := range b.credit {
		if !keep(o) {
			delete(b.credit, o)
		}
	}
}
