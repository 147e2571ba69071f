// Package budget limits retries to a share of first attempts, so that retries
// cannot amplify an overload. It is pure state without a clock. Start from
// [New].
package budget

const (
	// requestsPerRetry is the number of first attempts that earn one retry.
	requestsPerRetry = 10
	// maxRetries bounds the retries that one organisation accumulates.
	maxRetries = 10
	// maxTotalRetries bounds the retries that all organisations accumulate together.
	// With 2,200 organisations of 10 retries each, the loss of a region would otherwise
	// allow 22,000 retries at an entry that gets 65 requests a second.
	maxTotalRetries = 100
	// initialTotalRetries is the credit of all organisations together at the start, so
	// that the few requests on a link that breaks can be retried before credit has
	// accumulated. One organisation may use all of it.
	initialTotalRetries = 10
)

// Budget tracks the remaining retries. It is not safe for concurrent use.
type Budget struct {
	// credit is counted in first attempts, at most requestsPerRetry*maxRetries for
	// each organisation.
	credit map[string]int
	// total is counted in first attempts, at most requestsPerRetry*maxTotalRetries.
	total int
}

// New returns a budget with credit for 10 retries, which any organisation may use
// before it has sent requests.
func New() *Budget {
	return &Budget{credit: make(map[string]int), total: requestsPerRetry * initialTotalRetries}
}

// Deposit adds the credit for a first attempt of the organisation.
func (b *Budget) Deposit(organisation string) {
	b.credit[organisation] = min(b.creditOf(organisation)+1, requestsPerRetry*maxRetries)
	b.total = min(b.total+1, requestsPerRetry*maxTotalRetries)
}

func (b *Budget) creditOf(organisation string) int {
	c, found := b.credit[organisation]
	if !found {
		return requestsPerRetry * maxRetries
	}
	return c
}

// Take deducts one retry from the credit of the organisation and from that of all
// organisations together. It deducts nothing and returns false when either has less
// than one.
func (b *Budget) Take(organisation string) bool {
	own := b.creditOf(organisation)
	if own < requestsPerRetry || b.total < requestsPerRetry {
		return false
	}
	b.credit[organisation] = own - requestsPerRetry
	b.total -= requestsPerRetry
	return true
}

// Retain removes the organisations for which keep returns false, for instance those
// that a new document no longer has. A removed organisation that returns starts
// with full credit.
func (b *Budget) Retain(keep func(organisation string) bool) {
	for o := range b.credit {
		if !keep(o) {
			delete(b.credit, o)
		}
	}
}
