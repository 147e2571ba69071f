package budget

import "sync"

// safetyMargin is the part of a fleet's bound that the entries use together, so
// that time windows that include a restart stay within the bound.
const safetyMargin = 0.7

// Share is one entry's part of a fleet-wide bound on retries: a ratio of the first
// attempts, plus a fixed slack. It is safe for concurrent use.
type Share struct {
	mu sync.Mutex
	// ratio is the credit for a first attempt, in retries.
	ratio float64
	// slack is the slack of the whole fleet, in retries.
	slack float64
	// maxCredit bounds the credit.
	maxCredit float64
	// credit is at most limit.
	credit float64
}

// NewShare returns the share of one entry of a fleet with the given number of
// entries. It starts with half of its part of the slack.
func NewShare(ratio, slack float64, entries int) *Share {
	res := &Share{ratio: safetyMargin * ratio, slack: safetyMargin * slack}
	res.SetEntries(entries)
	res.credit = res.maxCredit / 2
	return res
}

// AllowsRetry reports whether a share with the given ratio and slack can ever allow a retry.
// It is that of a fleet of one entry, which has the largest share.
func AllowsRetry(ratio, slack float64) bool {
	s := NewShare(ratio, slack, 1)
	return s.credit >= 1 || s.ratio > 0 && s.maxCredit >= 1
}

// SetEntries sets the number of entries that share the slack.
func (s *Share) SetEntries(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.maxCredit = s.slack / float64(max(n, 1))
	s.credit = min(s.credit, s.maxCredit)
}

// Deposit adds the credit for a first attempt.
func (s *Share) Deposit() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.credit = min(s.credit+s.ratio, s.maxCredit)
}

// Take reports whether one retry may be sent, and deducts it.
func (s *Share) Take() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.credit < 1 {
		return false
	}
	s.credit--
	return true
}
