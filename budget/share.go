package budget

import "sync"

// shareMargin is the part of a fleet's bound that the entries use together, so
// that windows that overlap a restart stay within it.
const shareMargin = 0.7

// Share is one entry's part of a bound on repeated requests that all entries of
// a fleet keep together: a ratio of the fresh requests, and a slack besides. It
// is safe for use by several goroutines.
type Share struct {
	mu sync.Mutex
	// ratio is the credit for a fresh request, in repeated requests.
	ratio float64
	// slack is that of the whole fleet.
	slack float64
	// limit bounds the credit.
	limit float64
	// credit is at most limit.
	credit float64
}

// NewShare returns the share of one of a number of entries. It starts with half
// of its part of the slack.
func NewShare(ratio, slack float64, entries int) *Share {
	res := &Share{ratio: shareMargin * ratio, slack: shareMargin * slack}
	res.SetEntries(entries)
	res.credit = res.limit / 2
	return res
}

// SetEntries tells the number of entries that share the slack.
func (s *Share) SetEntries(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = s.slack / float64(max(n, 1))
	s.credit = min(s.credit, s.limit)
}

// Fresh counts a request that is sent for the first time.
func (s *Share) Fresh() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.credit = min(s.credit+s.ratio, s.limit)
}

// Take reports whether one request may be repeated, and counts it.
func (s *Share) Take() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.credit < 1 {
		return false
	}
	s.credit--
	return true
}
