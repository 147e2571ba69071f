package dispatch

// Waiting returns the numbers of waiting requests that can still meet their objective, and of
// those that no longer can. Requests of services that are not adaptive count with the first.
func (s *Scheduler) Waiting() (inTime, overdue int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.clock.Now()
	for _, v := range s.services {
		v.waiting.Regroup(now)
		v.waiting.EachGroup(func(_ int, late bool, count int) {
			if late {
				overdue += count
			} else {
				inTime += count
			}
		})
	}
	return inTime, overdue
}
