// Package budget limits retries to a share of fresh requests, so that retries
// cannot multiply an overload. It is pure state without a clock. Start from
// [New].
package budget

const (
	// freshPerRetry is the number of fresh requests that pay for a retry.
	freshPerRetry = 10
	// maxRetries bounds what one organisation saves up.
	maxRetries = 10
	// maxTotal bounds what all organisations save up together. At 2,200
	// organisations of which each saves 10, the loss of a region would otherwise
	// allow 22,000 retries at an entry that gets 65 requests a second.
	maxTotal = 100
	// firstTotal is the credit of all organisations together at the start, so that
	// the few requests on a link that breaks can be retried before the share has
	// built up. An organisation may use all of it.
	firstTotal = 10
)

// Budget holds the retries that are left. It is not safe for concurrent use.
type Budget struct {
	// credit is in fresh requests, at most freshPerRetry*maxRetries for each
	// organisation.
	credit map[string]int
	// total is in fresh requests, at most freshPerRetry*maxTotal.
	total int
}

// New returns a budget with the credit for 10 retries, which any
// organisations may use before they have made requests.
func New() *Budget {
	return &Budget{credit: make(map[string]int), total: freshPerRetry * firstTotal}
}

// Fresh counts a request that is not a retry.
func (b *Budget) Fresh(organisation string) {
	b.credit[organisation] = min(b.of(organisation)+1, freshPerRetry*maxRetries)
	b.total = min(b.total+1, freshPerRetry*maxTotal)
}

func (b *Budget) of(organisation string) int {
	c, found := b.credit[organisation]
	if !found {
		return freshPerRetry * maxRetries
	}
	return c
}

// Take takes one retry and reports whether the organisation had one and all
// organisations together had one.
func (b *Budget) Take(organisation string) bool {
	own := b.of(organisation)
	if own < freshPerRetry || b.total < freshPerRetry {
		return false
	}
	b.credit[organisation] = own - freshPerRetry
	b.total -= freshPerRetry
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
